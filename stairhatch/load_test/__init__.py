"""Load on a softswitch of this machine, from a seed: `plan` says when which call is due, `habit` what a
caller does after an answer, `weather` what becomes of a datagram on its way, `processor` how a roster server
bears its work, `record` and `rules` what crossed the sockets and whether it was allowed, `tally` what came
of it. These are free of I/O; `office`, `rosters`, `relay` and `run` carry them on sockets. Nothing here is
imported by the program itself, and no load may leave this machine.
"""
