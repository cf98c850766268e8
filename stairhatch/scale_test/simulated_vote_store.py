"""A simulated vote store, which writes a voter's state to a virtual disk after the duration of a sync."""

from __future__ import annotations

import random
from collections.abc import Callable

from stairhatch.fault_injection.virtual_disk import DISK_SYNC_S, VirtualDisk
from stairhatch.fleet.effects import PersistedState, PersistFencingToken, PersistVotes
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.store import StoredState
from stairhatch.scale_test.virtual_clock import VirtualClock

STORAGE_ID_BITS = 64


class SimulatedVoteStore:
    """Replacement for `VoterStore` during one incarnation of a softswitch."""

    def __init__(self, clock: VirtualClock, rng: random.Random, disk: VirtualDisk) -> None:
        """Read the stored state from the disk and increment the disk's incarnation number."""
        self.clock = clock
        self.rng = rng
        self.disk = disk
        self.is_closed = False
        if not disk.storage_id:
            disk.storage_id = f"{rng.getrandbits(STORAGE_ID_BITS):016x}"
        disk.incarnation += 1
        version = StorageVersion(disk.storage_id, disk.incarnation, disk.vote_count)
        votes = tuple(disk.votes.values())
        persisted = PersistedState(version, disk.admitted, votes, dict(disk.known_versions), disk.voter_set)
        self.stored = StoredState(persisted, dict(disk.fencing_tokens))

    def persist(self, write: PersistVotes | PersistFencingToken, done: Callable[[str], None]) -> None:
        """Schedule a write to the disk; after the sync, `done` is called with an empty error."""
        self.clock.call_later(self.rng.uniform(*DISK_SYNC_S), self._finish, write, done)

    def close(self) -> None:
        """Discard all writes that are not synced yet, because the process has ended."""
        self.is_closed = True

    def _finish(self, write: PersistVotes | PersistFencingToken, done: Callable[[str], None]) -> None:
        if self.is_closed:
            return
        if isinstance(write, PersistVotes):
            self.disk.apply(write)
        else:
            self.disk.fencing_tokens[write.lease] = write.fencing_token
        done("")
