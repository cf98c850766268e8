"""Decisions on the servers of those services alone that callers ask for; off by default (docs/scope.md).

- `config`: what the operators tell of services
- `server_sets`: how classes fall into sets by the servers that they share
- `set_index`: which set a class or a server's number belongs to
- `listed_endpoints`: the complete endpoint list, in scope or not
- `scoped_set`: a set in scope with its own controller
- `sets_in_scope`: all of them
- `timer_owners`: whom a timer wakes
- `handover`: what sets that merge or split hand on
- `controller`: takes each event to the set that it concerns, behind the face of one controller
"""
