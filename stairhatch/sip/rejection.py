"""A request that is not taken: with which status it is answered, and why."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rejection:
    """The non-2xx response to a request."""

    status: int
    reason: str = ""  # for the log
    headers: tuple[tuple[str, str], ...] = ()
