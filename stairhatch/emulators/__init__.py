"""Stand-ins for what the softswitch meets outside, written for tests, the conformance suite and the
demonstration: `behaviour` says what a roster server does with a call, by the number called and free of I/O;
`roster` is such a server on a socket, `caller` a SIP caller. They must never be imported by the program
itself.
"""
