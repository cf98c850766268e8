"""What a softswitch is told of its fleet: owns that form. It must never read a file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from stairhatch.fleet.effects import PeerAddress
from stairhatch.fleet.lease import LeaseTimings

MAX_VOTERS = 9


@dataclass(frozen=True)
class FleetConfig:
    """`[fleet]` of the appliance's file."""

    fleet: str
    name: str  # this softswitch's
    listen: PeerAddress
    voters: dict[str, PeerAddress]
    epoch: int = 1  # of that list, counted up with each change
    secret: bytes = field(default=b"", repr=False)
    folder: Path | None = None
    history: Path | None = None
    terms: LeaseTimings = field(default_factory=LeaseTimings)
    numbers: bool = True  # which of `balancers` this one is, is claimed
    list: bool = False  # one follows the coordinator for all
    restarts: int = 0  # so many may be in a planned restart at a time; 0: nobody asks

    @property
    def votes(self) -> bool:
        """Whether this softswitch is one of the voters."""
        return self.name in self.voters
