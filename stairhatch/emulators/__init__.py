"""Emulators of the softswitch's peers, for tests, load runs, conformance runs and the demonstration.

- `server_emulator`: a roster server on a socket or on any object with a transport's `write`; it replies by a
  script (`scripted_replies`) or as fast as a modelled processor allows (`processor`).
- `coordinator_emulator`: a coordinator that answers long polls for the endpoint list.
- `caller_emulator`: SIP callers over UDP or TCP.
- `observations`: the kinds of events that emulated servers and callers report about a call, for checkers.
- `ports`: the address type, and free ports of the local machine.

`processor` and `scripted_replies` do no I/O. The softswitch itself must never import this package.
"""
