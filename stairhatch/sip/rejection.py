"""How a request is rejected: the status of its response, and why."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestRejection:
    """The non-2xx response to a request."""

    status: int
    reason: str = ""  # for the log
    headers: tuple[tuple[str, str], ...] = ()
