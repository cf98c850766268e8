"""The rejection of a request: the status and headers of its response, and the reason."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestRejection:
    """The non-2xx response with which a request is rejected."""

    status: int
    reason: str = ""  # logged, not sent; "" if nothing is logged
    headers: tuple[tuple[str, str], ...] = ()  # (name, value) pairs of the response
