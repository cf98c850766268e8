"""Lines that a roster server sends."""

from __future__ import annotations


def started_line(ident: str) -> bytes:
    """Return the line that establishes a call."""
    return b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode()


def finish_line(ident: str, cause: int = 16) -> bytes:
    """Return the line that releases a call with a Q.850 cause."""
    return b'{"verb":"FINISH","tag":"%s","opts":{},"rc":%d}\n' % (ident.encode(), cause)
