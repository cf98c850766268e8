"""Admission control that protects the softswitch itself from overload (RFC 5390, RFC 6357).

The controller (`stairhatch.overload`) protects the servers. This package protects the softswitch's own
processor, and limits each source to its rate.

- `overload_detector`: derives the overload level from the event loop's delay, with hysteresis
- `rate_limits`: limits the calls of a source and of its network
- `feedback`: feedback to callers that support overload control (RFC 7339, RFC 7415)
- `admission_control`: combines these into one decision for each request

The modules use no socket, no message and no clock of their own. The platform's program imports none of them.
"""
