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

    fleet_name: str
    member_name: str  # this softswitch's
    listen: PeerAddress
    voters: dict[str, PeerAddress]
    epoch: int = 1  # of that list, counted up with each change
    secret: bytes = field(default=b"", repr=False)
    data_directory: Path | None = None
    history_path: Path | None = None
    timings: LeaseTimings = field(default_factory=LeaseTimings)
    lease_instance_index: bool = True  # which of `balancers` this one is, is claimed
    relay_endpoint_list: bool = False  # one follows the coordinator for all
    restart_slots: int = 0  # so many may be in a planned restart at a time; 0: nobody asks

    @property
    def is_voter(self) -> bool:
        """Whether this softswitch is one of the voters."""
        return self.member_name in self.voters
