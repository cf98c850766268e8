"""Puts a run's virtual clock, disks and random numbers in place of those of the fleet.

`FleetRuntime` looks up `clock`, `VoterStore` and `secrets` in its module at each use.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from stairhatch.fleet import runtime as fleet_runtime
from stairhatch.scale_test.simulated_vote_store import SimulatedVoteStore

OpenStore = Callable[[str], SimulatedVoteStore]  # by the name of the data directory


class SeededSecrets:
    """Takes the place of the module `secrets`, so that a run can be repeated from its seed."""

    def __init__(self, rng: random.Random) -> None:
        """Draw from the random numbers of a run."""
        self.randbits = rng.getrandbits


@contextmanager
def virtual_environment(
    clock: Callable[[], float], rng: random.Random, open_store: OpenStore
) -> Iterator[None]:
    """Run the fleets on a virtual clock, disks and random numbers inside the block."""

    def create_store(data_directory: Path, _call_on_loop: object) -> SimulatedVoteStore:
        """Open the store of a data directory on the virtual disk."""
        return open_store(str(data_directory))

    replacements: dict[str, Any] = {
        "clock": clock,
        "secrets": SeededSecrets(rng),
        "VoterStore": create_store,
    }
    originals = {name: getattr(fleet_runtime, name) for name in replacements}
    try:
        for name, replacement in replacements.items():
            setattr(fleet_runtime, name, replacement)
        yield
    finally:
        for name, original in originals.items():
            setattr(fleet_runtime, name, original)
