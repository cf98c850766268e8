"""What a softswitch is told of its fleet: owns that form. It must never read a file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from stairhatch.fleet.claims import Terms
from stairhatch.fleet.effects import Place

MOST_VOTERS = 9


@dataclass(frozen=True)
class FleetConfig:
    """`[fleet]` of the appliance's file."""

    fleet: str
    name: str  # this softswitch's
    listen: Place
    voters: dict[str, Place]
    epoch: int = 1  # of that list, counted up with each change
    secret: bytes = field(default=b"", repr=False)
    folder: Path | None = None
    history: Path | None = None
    terms: Terms = field(default_factory=Terms)
    numbers: bool = True  # which of `balancers` this one is, is claimed
    list: bool = False  # one follows the coordinator for all
    restarts: int = 0  # so many may be in a planned restart at a time; 0: nobody asks

    @property
    def votes(self) -> bool:
        """Whether this softswitch is one of the voters."""
        return self.name in self.voters
