"""The project's own conformance suite of SIP.

`cases` and `steps` read what is sent and what must come back, as data. `environment` says what a case is
played in: `in_process` runs the program's own protocols under a virtual clock, `sockets` asks a program over
loopback. `player` plays a case as its caller, `suite` plays all of them, `report` prints the results, and
`mutations` holds deliberate mistakes in these protocols, which the suite has to find. The program itself
never imports this package, and nothing is sent to an address that is not of this machine.
"""
