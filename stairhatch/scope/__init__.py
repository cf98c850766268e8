"""Overload control limited to the servers of services that callers use; off by default (docs/scope.md).

- `config`: the configuration of services
- `server_sets`: groups call classes into sets by the servers that they share
- `set_index`: finds the set of a call class or of a server's number
- `listed_endpoints`: holds the complete endpoint list, in scope or not
- `scoped_set`: a set in scope with its own controller
- `sets_in_scope`: all sets in scope
- `timer_owners`: finds the sets that a timer belongs to
- `handover`: transfers the state of sets that merge or split
- `controller`: routes each event to its set, with the interface of a single controller
"""
