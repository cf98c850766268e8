"""SIP (RFC 3261 and its kin), from bytes to dialogs: state machines that are fed bytes or messages and given
the clock. Each module owns one layer and knows only those above it in this list:

- `message`: bytes to messages and back, for both fronts
- `grammar`: what stands inside the headers
- `transactions`: the four machines of section 17, and what must be remembered when they are over
- `dialogs`: identity, route set and order of requests of a dialog
- `sessions`: offer and answer, session timers, reliable provisional answers
- `auth`: who may call
- `flows`: the ways that messages come and go, as machines without a socket
- `front`: the appliance's user agent, between these and the core

None may know a socket, a file or an event loop. This package imports nothing by itself: the platform's thin
front uses `message` alone, and pays for no more.
"""
