"""The record of one voter's writes: the state on disk, the writes in progress, and the grants that wait.

A lease is granted only after its vote has been synced to disk; until then, the grant is stored under the id
of the write. The votes of a failed write are written again before the voter resumes voting.
"""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.fleet.effects import PeerAddress, PersistedState, PersistVotes, Vote
from stairhatch.fleet.messages import LeaseGranted, StorageVersion
from stairhatch.fleet.voter_set import VoterSet


@dataclass(frozen=True, slots=True)
class PendingGrant:
    """A grant that is sent once its vote is on disk."""

    destination: PeerAddress
    message: LeaseGranted


@dataclass(frozen=True, slots=True)
class CompletedWrite:
    """The content of one write, whether it succeeded or not."""

    leases: tuple[str, ...]  # the leases whose newest vote was part of this write
    storage_version: StorageVersion
    voter_set: VoterSet | None
    grant: PendingGrant | None  # the grant that waited for this write


class VoteLog:
    """Record of one voter's writes to disk, in progress and completed."""

    def __init__(self, persisted: PersistedState) -> None:
        """`persisted` is the content of the data directory."""
        self.storage_version = persisted.storage_version  # on disk; only this version is reported to others
        self.voter_set = persisted.voter_set  # on disk
        self.known_versions = dict(persisted.known_versions)  # of the other voters, by name
        self.vote_count = persisted.storage_version.vote_count  # includes votes that are not on disk yet
        self.has_unsaved_state = persisted.voter_set is None  # voter set or known versions await a write
        self.last_write_id = 1
        self.pending_grants: dict[int, PendingGrant] = {}  # by write id
        self.under_way: dict[str, int] = {}  # by lease: id of the write in progress with its newest vote
        self.unwritten: dict[str, Vote] = {}  # by lease: newest vote, if no write of it has succeeded
        self._storage_versions: dict[int, StorageVersion] = {}
        self._voter_sets: dict[int, VoterSet] = {}

    @property
    def next_storage_version(self) -> StorageVersion:
        """The storage version that will be on disk once all present votes are."""
        written = self.storage_version
        return StorageVersion(written.storage_id, written.incarnation, self.vote_count)

    def write(self, votes: tuple[Vote, ...], voter_set: VoterSet) -> PersistVotes:
        """Return a write of these votes, the voter set and the known versions of the other voters."""
        self.last_write_id += 1
        version = self.next_storage_version
        self._storage_versions[self.last_write_id] = version
        self._voter_sets[self.last_write_id] = voter_set
        self.has_unsaved_state = False
        known = dict(self.known_versions)
        return PersistVotes(self.last_write_id, version, votes, known, True, voter_set)

    def cast(self, vote: Vote, voter_set: VoterSet) -> PersistVotes:
        """Count a new vote and return the write of it."""
        self.vote_count += 1
        self.unwritten[vote.lease] = vote
        write = self.write((vote,), voter_set)
        self.under_way[vote.lease] = write.write_id
        return write

    def retry(self, voter_set: VoterSet) -> PersistVotes:
        """Return a new write of all votes of which no write has succeeded."""
        write = self.write(tuple(self.unwritten.values()), voter_set)
        self.under_way = dict.fromkeys(self.unwritten, write.write_id)
        return write

    def grant_once_written(self, write: PersistVotes, grant: PendingGrant) -> None:
        """Store a grant until the write of its vote succeeds."""
        self.pending_grants[write.write_id] = grant

    def withhold_grant(self, lease: str) -> None:
        """Drop the grant that waits for the write in progress for a lease, if there is one."""
        if lease in self.under_way:
            self.pending_grants.pop(self.under_way[lease], None)

    def withhold_all_grants(self) -> None:
        """Drop all grants that wait for a write."""
        self.pending_grants.clear()

    def complete(self, write_id: int) -> CompletedWrite:
        """Remove a write that has ended, successfully or not, and return its content."""
        return CompletedWrite(
            tuple(lease for lease, pending_id in self.under_way.items() if pending_id == write_id),
            self._storage_versions.pop(write_id, self.storage_version),
            self._voter_sets.pop(write_id, None),
            self.pending_grants.pop(write_id, None),
        )

    def abandon(self, write: CompletedWrite) -> None:
        """Handle a failed write while the voter does not vote; it writes all votes when it starts to vote."""
        for lease in write.leases:
            del self.under_way[lease]

    def mark_persisted(self, write: CompletedWrite) -> None:
        """Record the content of a successful write as on disk.

        Writes may end out of order: an older vote count or voter set does not replace a newer one.
        """
        if write.storage_version.vote_count >= self.storage_version.vote_count:
            self.storage_version = write.storage_version
        if write.voter_set is not None and (
            self.voter_set is None or write.voter_set.epoch >= self.voter_set.epoch
        ):
            self.voter_set = write.voter_set
        for lease in write.leases:
            del self.under_way[lease]
            self.unwritten.pop(lease, None)

    def mark_unsaved(self) -> None:
        """Mark the voter set as changed, so that it is written even without a new vote."""
        self.has_unsaved_state = True

    def raise_vote_count_above(self, seen: StorageVersion) -> None:
        """Raise the vote count above the one that another voter knows of this storage.

        Otherwise that voter would again find this storage behind. Versions of other storages are ignored.
        """
        if seen.storage_id == self.storage_version.storage_id:
            self.vote_count = max(self.vote_count, seen.vote_count + 1)

    def record_version(self, voter: str, version: StorageVersion, *, is_voting: bool) -> None:
        """Store the storage version of another voter.

        A new storage replaces a known one only if `is_voting` is true: the voter votes from the new storage.
        """
        known = self.known_versions.get(voter)
        if known is not None and known.storage_id == version.storage_id:
            # Each number is compared by itself: a data directory that was restored from an old copy and then
            # opened may have a higher incarnation but a lower vote count.
            version = StorageVersion(
                version.storage_id,
                max(known.incarnation, version.incarnation),
                max(known.vote_count, version.vote_count),
            )
        elif known is not None and not is_voting:
            return
        if version != known:
            self.known_versions[voter] = version
            self.has_unsaved_state = True

    def is_older_than(self, seen: StorageVersion) -> bool:
        """Return whether `seen`, a known version of the same storage, is newer than this storage."""
        return seen.incarnation > self.storage_version.incarnation or seen.vote_count > self.vote_count
