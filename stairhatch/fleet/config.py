"""What a softswitch is configured with for its fleet, as read from the appliance's file."""

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
    member_name: str
    listen: PeerAddress
    voters: dict[str, PeerAddress]
    epoch: int = 1  # of the voters, counted up with each change of them
    secret: bytes = field(default=b"", repr=False)
    data_directory: Path | None = None
    history_path: Path | None = None
    timings: LeaseTimings = field(default_factory=LeaseTimings)
    lease_instance_index: bool = True  # which of `settings.balancers` this one is, is leased
    relay_endpoint_list: bool = False  # one member follows the coordinator for all
    restart_slots: int = 0  # so many may be in a planned restart at a time; 0: none needs a slot

    @property
    def is_voter(self) -> bool:
        """Whether this softswitch is one of the voters."""
        return self.member_name in self.voters
