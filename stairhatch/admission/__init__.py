"""What the softswitch itself can take (RFC 5390, 6357): whether a new request is served, answered 503 at
once, or put behind others, when its own processor runs short or one source sends more than its share. The
decision module decides for the roster servers' sake; this decides for our own.

- `budget`: how short the processor is, from what the loop measures, with hysteresis
- `buckets`: what a source and its network may send
- `feedback`: what callers that know overload control are told (RFC 7339, RFC 7415)
- `gate`: joins these: one verdict for each request

No module knows a socket, a message or a clock of its own. None is imported by the platform's program.
"""
