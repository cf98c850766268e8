"""What of one voter is on disk, what is on its way there, and which answers wait for it.

A lease is granted only after the vote is synced: the grant is kept here by the number of its write. A write
that fails leaves its votes among those that are written again before the voter votes once more.
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

    leases: tuple[str, ...]  # whose newest vote it was to put on disk
    storage_version: StorageVersion
    voter_set: VoterSet | None
    grant: PendingGrant | None


class VoteLog:
    """The writes of one voter."""

    def __init__(self, kept: PersistedState) -> None:
        """`kept` is what the data directory held."""
        self.storage_version = kept.storage_version  # on disk, so that others may be told of it
        self.voter_set = kept.voter_set  # on disk
        self.known_versions = dict(kept.known_versions)  # of the other voters
        self.vote_count = kept.storage_version.vote_count  # with those that are not on disk yet
        self.has_unsaved_state = kept.voter_set is None  # a known version, or the voter set
        self.last_write_id = 1
        self.pending_grants: dict[int, PendingGrant] = {}
        self.under_way: dict[str, int] = {}  # by lease, the write that holds its newest vote
        self.unwritten: dict[str, Vote] = {}
        self._storage_versions: dict[int, StorageVersion] = {}
        self._voter_sets: dict[int, VoterSet] = {}

    @property
    def next_storage_version(self) -> StorageVersion:
        """Once all that is under way is on disk."""
        written = self.storage_version
        return StorageVersion(written.storage_id, written.incarnation, self.vote_count)

    def write(self, votes: tuple[Vote, ...], voter_set: VoterSet) -> PersistVotes:
        """Put these votes on disk, with the voter set and the versions known of others."""
        self.last_write_id += 1
        version = self.next_storage_version
        self._storage_versions[self.last_write_id] = version
        self._voter_sets[self.last_write_id] = voter_set
        self.has_unsaved_state = False
        known = dict(self.known_versions)
        return PersistVotes(self.last_write_id, version, votes, known, True, voter_set)

    def cast(self, vote: Vote, voter_set: VoterSet) -> PersistVotes:
        """Put a new vote on disk."""
        self.vote_count += 1
        self.unwritten[vote.lease] = vote
        write = self.write((vote,), voter_set)
        self.under_way[vote.lease] = write.write_id
        return write

    def retry(self, voter_set: VoterSet) -> PersistVotes:
        """Put all votes on disk that no write has put there."""
        write = self.write(tuple(self.unwritten.values()), voter_set)
        self.under_way = dict.fromkeys(self.unwritten, write.write_id)
        return write

    def grant_once_written(self, write: PersistVotes, grant: PendingGrant) -> None:
        """Keep a grant until its vote is on disk."""
        self.pending_grants[write.write_id] = grant

    def withhold_grant(self, lease: str) -> None:
        """The vote under way for a lease, if any, must not be answered any more."""
        if lease in self.under_way:
            self.pending_grants.pop(self.under_way[lease], None)

    def withhold_all_grants(self) -> None:
        """No vote under way must be answered any more."""
        self.pending_grants.clear()

    def complete(self, write_id: int) -> CompletedWrite:
        """A write has ended, successfully or not; return its content."""
        return CompletedWrite(
            tuple(lease for lease, under in self.under_way.items() if under == write_id),
            self._storage_versions.pop(write_id, self.storage_version),
            self._voter_sets.pop(write_id, None),
            self.pending_grants.pop(write_id, None),
        )

    def abandon(self, write: CompletedWrite) -> None:
        """A write failed whose votes are written anew when the voter votes again."""
        for lease in write.leases:
            del self.under_way[lease]

    def mark_persisted(self, write: CompletedWrite) -> None:
        """A write succeeded. Writes may end out of order: nothing on disk goes back."""
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
        """The voter set has changed: it belongs on disk with the next write."""
        self.has_unsaved_state = True

    def count_beyond(self, seen: StorageVersion) -> None:
        """Others have seen this very storage so far: without that they would find it behind again."""
        if seen.storage_id == self.storage_version.storage_id:
            self.vote_count = max(self.vote_count, seen.vote_count + 1)

    def record_version(self, voter: str, version: StorageVersion, *, is_voting: bool) -> None:
        """Remember how far another voter has come; a new storage of its only once it votes from it."""
        old = self.known_versions.get(voter)
        if old is not None and old.storage_id == version.storage_id:
            # Each by itself: a directory that is put back old has started once more, with fewer votes.
            version = StorageVersion(
                version.storage_id,
                max(old.incarnation, version.incarnation),
                max(old.vote_count, version.vote_count),
            )
        elif old is not None and not is_voting:
            return
        if version != old:
            self.known_versions[voter] = version
            self.has_unsaved_state = True

    def is_older_than(self, seen: StorageVersion) -> bool:
        """Whether others have seen more of this very storage than is in it."""
        return seen.incarnation > self.storage_version.incarnation or seen.vote_count > self.vote_count
