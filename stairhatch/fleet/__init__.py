"""Leases among several softswitches: a majority of voters grants a task to one holder at a time.

The decisions are free of I/O. `lease` is the client that requests one lease, and `voter` grants leases (with
`vote_table`, `vote_log`, `voter_state` and `peer_replies`). `voter_set` has the voters of an epoch, and
`member` combines these parts for one process. `fencing` checks fencing tokens at a receiver, `lease_pool`
chooses one of several leases, and `lease_observer` finds the holder of a lease. `instance_index`,
`restart_slots` and `endpoint_relay` are the tasks that need leases. Messages, clock and random source are
passed in, so that the same code runs in the program, on a virtual clock and in an exhaustive search
(`fault_injection`). `store` is the data directory, `messages` the wire format, and `runtime` connects all
parts to the program.

No part may delay or decide a call: without a majority, a peer or a disk, the shared tasks stop and calls
continue. The table `[fleet]` in the appliance's file enables the fleet; the platform's program imports none
of this package.
"""
