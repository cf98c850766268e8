"""What becomes of a datagram on its way: owns the dice of a relay that loses, copies, delays and reorders,
from a seed. Free of I/O; it must never look into a datagram.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
Millis = Annotated[float, Meta(ge=0, le=60_000)]


class DatagramConditions(Struct, forbid_unknown_fields=True, frozen=True):
    """How the way is. All zero is a clear one."""

    loss: Share = 0.0
    copies: Share = 0.0
    delay_ms: Millis = 0.0
    jitter_ms: Millis = 0.0  # evenly between 0 and this, on top
    late: Share = 0.0  # so many come `late_ms` later than they should, behind others
    late_ms: Millis = 0.0

    @property
    def clear(self) -> bool:
        """Whether a relay would change nothing."""
        return not (self.loss or self.copies or self.delay_ms or self.jitter_ms or self.late)


@dataclass(slots=True)
class DatagramLink:
    """One direction between two parties."""

    weather: DatagramConditions
    chance: random.Random
    lost: int = 0
    copied: int = 0
    late: int = 0

    def fate(self) -> tuple[float, ...]:
        """After how many seconds a datagram arrives, once for each time it does; empty: never.

        Three numbers are drawn for each datagram whatever comes of it, so that one that is lost changes
        nothing for the next.
        """
        weather = self.weather
        lost, copied, behind = (self.chance.random() for _ in range(3))
        jitter = [self.chance.random() for _ in range(2)]
        if lost < weather.loss:
            self.lost += 1
            return ()
        times = [weather.delay_ms + weather.jitter_ms * jitter[0]]
        if copied < weather.copies:
            self.copied += 1
            times.append(weather.delay_ms + weather.jitter_ms * jitter[1])
        if behind < weather.late:
            self.late += 1
            times[0] += weather.late_ms
        return tuple(each / 1000 for each in times)
