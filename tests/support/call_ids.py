"""Call ids in the platform's form: sixteen hexadecimal digits, unique within the test process."""

from __future__ import annotations

from itertools import count

_NUMBERS = count(0xC0000001)


def next_call_id() -> str:
    """Return an id that no other call of this process has."""
    return f"{next(_NUMBERS):016x}"
