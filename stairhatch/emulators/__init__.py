"""Emulators of what a softswitch meets outside, for tests, load, conformance and the demonstration.

- `server_emulator`: a roster server on a socket or on anything that writes; it answers by a script
  (`scripted_replies`) or as its processor can (`processor`).
- `coordinator_emulator`: a coordinator that answers long polls for the endpoint list.
- `caller_emulator`: SIP callers over UDP or TCP.
- `observations`: what servers and callers observe of each call, for whoever checks it.
- `ports`: free ports of this machine.

`processor` and `scripted_replies` are free of I/O. The softswitch itself must never import this package.
"""
