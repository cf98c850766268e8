"""Model of the conditions of a network link: loss, duplication, delay and reordering of datagrams.

All effects are drawn from a seed. The module does no I/O and does not inspect datagrams.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct, field

Fraction = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=60_000)]


class DatagramConditions(Struct, forbid_unknown_fields=True, frozen=True):
    """The conditions of a link; all zero means a perfect link. Fractions are of all datagrams."""

    loss: Fraction = 0.0
    duplication: Fraction = field(name="copies", default=0.0)
    delay_ms: Milliseconds = 0.0
    jitter_ms: Milliseconds = 0.0  # largest additional delay; the additional delay is uniform from 0 on
    reordering: Fraction = field(name="late", default=0.0)  # fraction that arrives after later datagrams
    reordering_delay_ms: Milliseconds = field(name="late_ms", default=0.0)  # additional, if reordered

    @property
    def is_perfect(self) -> bool:
        """Whether the link delivers each datagram once and without delay, so that no relay is needed."""
        return not (self.loss or self.duplication or self.delay_ms or self.jitter_ms or self.reordering)


@dataclass(slots=True)
class DatagramLink:
    """One direction of a link, with its counts of affected datagrams."""

    conditions: DatagramConditions
    rng: random.Random
    lost_count: int = 0
    duplicated_count: int = 0
    reordered_count: int = 0

    def draw_delays_s(self) -> tuple[float, ...]:
        """Return the delay in seconds of each arrival of a datagram: none if it is lost, two if duplicated.

        Five random numbers are drawn for every datagram, so that the loss of one datagram does not change the
        draws of the next.
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
