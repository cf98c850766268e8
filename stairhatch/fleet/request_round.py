"""One round of a lease request: the same request to all voters, and their answers so far."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRound:
    """One request to all voters, and their answers so far."""

    started_at: float
    fencing_token: int
    granted_by: set[str] = field(default_factory=set)
    remaining_s: dict[str, float] = field(default_factory=dict)  # by rejecting voter: until it may grant
    low_token_count: int = 0  # rejections because of a higher token that no current holder has
    holders: Counter[str] = field(default_factory=Counter)  # rejections by the holder that they name

    def unanswered(self, voters: Iterable[str]) -> list[str]:
        """Return those voters that have neither granted nor rejected the request."""
        return [name for name in voters if name not in self.granted_by and name not in self.remaining_s]

    def majority_holder(self, majority: int) -> str | None:
        """Return the holder that at least `majority` rejections name; None if there is none."""
        if not self.holders:
            return None
        holder, count = self.holders.most_common(1)[0]
        return holder if count >= majority else None
