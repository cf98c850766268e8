"""The project's own SIP conformance suite.

`cases` and `steps` read the case files, which list the messages to send and the messages to expect.
`environment` defines the interface of the environment that a case is played in: `in_process` runs the
program's own protocols under a virtual clock, `sockets` tests a running program over loopback. `player` plays
a case as its caller, `suite` plays all cases, `report` formats the results, and `mutations` holds deliberate
faults in the program's protocols, each of which the suite must find. The program itself never imports this
package, and the suite sends nothing to an address of another machine.
"""
