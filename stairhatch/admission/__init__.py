"""The softswitch's own overload protection (RFC 5390, RFC 6357): which new requests it admits.

The controller (`stairhatch.overload`) decides for the servers' sake; this package decides for the sake of the
softswitch's own processor, and when one source sends more than its rate limit.

- `overload_detector`: how overloaded the processor is, from the event loop's delay, with hysteresis
- `rate_limits`: what a source and its network may send
- `feedback`: feedback to callers that support overload control (RFC 7339, RFC 7415)
- `admission_control`: joins these into one decision for each request

No module knows a socket, a message or a clock of its own. The platform's program imports none of them.
"""
