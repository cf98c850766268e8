"""Overload control for the servers of services that callers ask for; off by default (docs/scope.md).

- `config`: what operators configure of services
- `server_sets`: how classes fall into sets by the servers that they share
- `set_index`: which set a class or a server's number belongs to
- `listed_endpoints`: the complete endpoint list, in scope or not
- `scoped_set`: a set in scope with its own controller
- `sets_in_scope`: all of them
- `timer_owners`: which sets a timer belongs to
- `handover`: the state that sets hand on where they merge or split
- `controller`: routes each event to the set that it concerns, behind the interface of one controller
"""
