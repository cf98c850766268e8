"""Replaces clock, vote store and random numbers of the fleet by those of a simulated run.

The replacement works because `FleetRuntime` looks up `clock`, `VoterStore` and `secrets` in its module at
each use.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from stairhatch.fleet import runtime as fleet_runtime
from stairhatch.scale_test.simulated_vote_store import SimulatedVoteStore

OpenStore = Callable[[str], SimulatedVoteStore]  # takes the name of the data directory


class SeededSecrets:
    """Replacement for the module `secrets`, which makes a run repeatable from its seed."""

    def __init__(self, rng: random.Random) -> None:
        """Draw from the random generator of a run."""
        self.randbits = rng.getrandbits


@contextmanager
def virtual_environment(
    clock: Callable[[], float], rng: random.Random, open_store: OpenStore
) -> Iterator[None]:
    """Context manager in which all fleets use a virtual clock, virtual disks and seeded random numbers."""

    def create_store(data_directory: Path, _call_on_loop: object) -> SimulatedVoteStore:
        """Open the store of a data directory on its virtual disk."""
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
