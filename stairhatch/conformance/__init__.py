"""The project's own conformance suite of SIP: `cases` reads what is sent and what must come as data, `stage`
is where a case is played (over sockets, or in process under a clock set by hand), `run` plays it, `report`
prints what came of it, and `faults` are changes to the running program's machines that the suite must find.
It must never be imported by the program itself, nor send anything to an address that is not of this machine.
"""
