"""An attempt to set up a call as the roster server observed it in a trial. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.soak.record import Kind, Observation

CLEAR_ENDS = frozenset({Kind.REJECTED, Kind.FAILED})
UNCLEAR_ENDS = frozenset({Kind.SETUP_LOST, Kind.GIVEN_UP, Kind.LINK_ENDED})


@dataclass(slots=True)
class ServerAttempt:
    """Attempt of a call at one server, as that server observed it."""

    server: str
    ended_at: float | None = None
    is_unclear: bool = False

    def observe(self, seen: Observation) -> None:
        """Record the first end of the attempt, and whether that end leaves the set-up's effect unclear."""
        if self.ended_at is None and seen.kind in CLEAR_ENDS | UNCLEAR_ENDS | {Kind.CALL_OVER}:
            self.ended_at = seen.at
            self.is_unclear = seen.kind not in CLEAR_ENDS
