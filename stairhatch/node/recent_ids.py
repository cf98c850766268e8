"""Ids that are kept for a while, up to a maximum number."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable


class RecentIds:
    """The ids that were added lately; the oldest are dropped first."""

    def __init__(self, clock: Callable[[], float], kept_s: float, max_kept: int) -> None:
        """Keep each id for `kept_s` seconds of the clock, and `max_kept` ids at most."""
        self._clock, self._kept_s, self.max_kept = clock, kept_s, max_kept
        self._added_at: OrderedDict[str, float] = OrderedDict()  # oldest first

    def __contains__(self, ident: str) -> bool:
        """Return whether an id is kept."""
        return ident in self._added_at

    def __len__(self) -> int:
        """Return the number of kept ids."""
        return len(self._added_at)

    def add(self, ident: str) -> None:
        """Keep an id from now on, and drop expired and surplus ids."""
        now = self._clock()
        self._added_at[ident] = now
        self._added_at.move_to_end(ident)
        while len(self._added_at) > self.max_kept or next(iter(self._added_at.values())) < now - self._kept_s:
            self._added_at.popitem(last=False)
