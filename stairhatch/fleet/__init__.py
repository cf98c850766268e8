"""Work that has one holder at a time among several softswitches, by leases that a majority of voters grants.

Decisions, free of I/O: `lease` is one lease as a member requests it, `voter` one that grants (with
`vote_table`, `vote_log`, `voter_state`, `peer_replies`), `voter_set` which voters count, `member` joins them
for one process. `fencing` is what a receiver goes by, `lease_pool` one of several leases, `lease_observer`
who holds one; `instance_index`, `restart_slots` and `endpoint_relay` are the works done under leases.
Messages, clock and random source are passed in, so that one code runs in the program, on a virtual clock and
under exhaustive search (`fault_injection`). `store` is the data directory, `messages` the wire, `runtime`
joins all to the program.

No part may delay or decide a call: without a majority, a peer or a disk shared work rests and calls go on.
Switched on by `[fleet]` in the appliance's file; the platform's program imports none of it.
"""
