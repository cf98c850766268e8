"""The processor time of a run by the part that it went to."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class Meter:
    """Processor seconds by part. Time belongs to the innermost part that was entered."""

    def __init__(self) -> None:
        self.seconds: Counter[str] = Counter()
        self._stack: list[str] = ["rest"]
        self._since = time.perf_counter()

    def enter(self, part: str) -> None:
        """From now on it is this one's."""
        now = time.perf_counter()
        self.seconds[self._stack[-1]] += now - self._since  # type: ignore[assignment]
        self._since = now
        self._stack.append(part)

    def leave(self) -> None:
        """And from now on the one's before."""
        now = time.perf_counter()
        self.seconds[self._stack.pop()] += now - self._since  # type: ignore[assignment]
        self._since = now

    @contextmanager
    def of(self, part: str) -> Iterator[None]:
        """Both."""
        self.enter(part)
        try:
            yield
        finally:
            self.leave()
