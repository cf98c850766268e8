"""The fleet configuration of a softswitch, as read from the appliance's configuration file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from stairhatch.fleet.effects import PeerAddress
from stairhatch.fleet.lease import LeaseTimings

MAX_VOTERS = 9


@dataclass(frozen=True)
class FleetConfig:
    """The section `[fleet]` of the appliance's configuration file."""

    fleet_name: str
    member_name: str
    listen: PeerAddress
    voters: dict[str, PeerAddress]  # by name
    epoch: int = 1  # of the voter set; each change of the set increments it
    secret: bytes = field(default=b"", repr=False)
    data_directory: Path | None = None
    history_path: Path | None = None
    timings: LeaseTimings = field(default_factory=LeaseTimings)
    lease_instance_index: bool = True  # lease one of `settings.balancers` indices
    relay_endpoint_list: bool = False  # one member polls the coordinator for all members
    restart_slots: int = 0  # planned restarts at a time, at most; 0: restarts need no slot

    @property
    def is_voter(self) -> bool:
        """Whether this member is one of the configured voters."""
        return self.member_name in self.voters
