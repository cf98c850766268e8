"""What becomes of datagrams on a network link: losses, copies, delays and reordering, drawn from a seed.

Free of I/O; no datagram is looked into.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct, field

Fraction = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=60_000)]


class DatagramConditions(Struct, forbid_unknown_fields=True, frozen=True):
    """The conditions on a link. All zero is a perfect one."""

    loss: Fraction = 0.0
    duplication: Fraction = field(name="copies", default=0.0)
    delay_ms: Milliseconds = 0.0
    jitter_ms: Milliseconds = 0.0  # evenly between 0 and this, on top
    reordering: Fraction = field(name="late", default=0.0)  # come later, behind others
    reordering_delay_ms: Milliseconds = field(name="late_ms", default=0.0)  # by so much

    @property
    def is_perfect(self) -> bool:
        """Whether a relay would change nothing."""
        return not (self.loss or self.duplication or self.delay_ms or self.jitter_ms or self.reordering)


@dataclass(slots=True)
class DatagramLink:
    """One direction of a link between two parties."""

    conditions: DatagramConditions
    rng: random.Random
    lost_count: int = 0
    duplicated_count: int = 0
    reordered_count: int = 0

    def draw_delays_s(self) -> tuple[float, ...]:
        """Return after how many seconds a datagram arrives, once for each time it does; empty: never.

        Five numbers are drawn for each datagram whatever comes of it, so that one that is lost changes
        nothing for the next.
        """
        conditions = self.conditions
        lost, duplicated, reordered = (self.rng.random() for _ in range(3))
        jitters_ms = [conditions.jitter_ms * self.rng.random() for _ in range(2)]
        if lost < conditions.loss:
            self.lost_count += 1
            return ()
        delays_ms = [conditions.delay_ms + jitters_ms[0]]
        if duplicated < conditions.duplication:
            self.duplicated_count += 1
            delays_ms.append(conditions.delay_ms + jitters_ms[1])
        if reordered < conditions.reordering:
            self.reordered_count += 1
            delays_ms[0] += conditions.reordering_delay_ms
        return tuple(each / 1000 for each in delays_ms)
