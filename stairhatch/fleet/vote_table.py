"""The votes of one voter: the holder, fencing token and expiry for each lease.

A vote without a holder stores only the fencing token, since a voter never votes for the same token again.
Times are in seconds of the clock that the voter's callers use.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.fleet.effects import Vote
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.fleet.messages import (
    VOTES_PER_PAGE,
    LeaseRelease,
    LeaseRequest,
    RejectionReason,
    VoteReport,
)

MAX_LEASES = 4096
WITHHELD = "-"  # placeholder holder; no member can get the lease while the vote lasts
SUCCESSOR_PRIORITY_S = 1.0  # how long a released lease is reserved for the named successor, at most


@dataclass(frozen=True, slots=True)
class VoteRejection:
    """The content of a rejection: its reason, and hints for the requester's next attempt."""

    reason: str
    highest_token: int = 0
    holder: str | None = None
    remaining_s: float = 0.0  # time until the voter may grant the lease


@dataclass(frozen=True, slots=True)
class Successor:
    """The member that a holder named as its successor when it released a lease."""

    member: str
    preferred_until: float


class VoteTable:
    """Table of one voter's votes, by lease."""

    def __init__(self, votes: Iterable[Vote], timings: LeaseTimings, now: float) -> None:
        """`votes` come from disk and count as cast at `now`, since renewals are not written."""
        self.timings = timings
        self.by_lease = {each.lease: each for each in votes}
        self.expires_at: dict[str, float] = {}
        self.successors: dict[str, Successor] = {}
        self.restart_durations(now)

    def duration_s(self, vote: Vote) -> float:
        """Return how long a vote binds this voter, in seconds, extended by the clock drift bound."""
        return max(vote.duration_s, self.timings.duration_s) * (1 + self.timings.clock_drift)

    @property
    def longest_binding_s(self) -> float:
        """The longest time that any vote may bind a voter, in seconds, extended by the clock drift bound."""
        longest_s = max([self.timings.duration_s, *(each.duration_s for each in self.by_lease.values())])
        return longest_s * (1 + self.timings.clock_drift)

    def restart_durations(self, now: float) -> None:
        """Let all votes count as cast at `now`."""
        self.expires_at = {
            each.lease: now + self.duration_s(each)
            for each in self.by_lease.values()
            if each.holder is not None
        }

    def remaining_s(self, lease: str, now: float) -> float:
        """Return the remaining time of the vote for a lease in seconds; negative without a valid vote."""
        return self.expires_at.get(lease, -math.inf) - now

    def rejection(self, now: float, request: LeaseRequest) -> VoteRejection | None:
        """Return the rejection that the votes require for a request; None if it may be granted."""
        current_vote = self.by_lease.get(request.lease)
        if current_vote is None:
            return self._rejection_of_new_lease()
        same_holder = (request.holder, request.incarnation) == (current_vote.holder, current_vote.incarnation)
        if same_holder and request.fencing_token == current_vote.fencing_token:
            return None
        remaining_s = self.remaining_s(request.lease, now)
        if current_vote.holder is not None and remaining_s > 0 and not same_holder:
            return VoteRejection(
                RejectionReason.HELD.value, current_vote.fencing_token, current_vote.holder, remaining_s
            )
        if reservation := self._reservation(now, request, current_vote):
            return reservation
        if request.fencing_token <= current_vote.fencing_token:
            holder = current_vote.holder if remaining_s > 0 else None
            return VoteRejection(RejectionReason.TOKEN_TOO_LOW.value, current_vote.fencing_token, holder)
        return None

    def _rejection_of_new_lease(self) -> VoteRejection | None:
        if len(self.by_lease) < MAX_LEASES:
            return None
        return VoteRejection(RejectionReason.TOO_MANY_LEASES.value, remaining_s=self.timings.duration_s)

    def _reservation(self, now: float, request: LeaseRequest, current_vote: Vote) -> VoteRejection | None:
        """Return the rejection if the lease is reserved for a successor other than the requester."""
        successor = self.successors.get(request.lease)
        if successor is None or successor.member == request.holder or now >= successor.preferred_until:
            return None
        return VoteRejection(
            RejectionReason.RESERVED.value,
            current_vote.fencing_token,
            successor.member,
            successor.preferred_until - now,
        )

    def all(self) -> tuple[Vote, ...]:
        """Return all votes, one for each lease."""
        return tuple(self.by_lease.values())

    def cast(self, vote: Vote) -> None:
        """Store a new vote, which replaces the previous vote for the lease."""
        self.by_lease[vote.lease] = vote

    def extend(self, now: float, vote: Vote) -> None:
        """Restart the duration of a vote at `now`, and remove a reservation of the lease."""
        self.expires_at[vote.lease] = now + self.duration_s(vote)
        self.successors.pop(vote.lease, None)

    def is_cast_for(self, release: LeaseRelease) -> bool:
        """Return whether the vote for the lease is for the releasing member and its fencing token."""
        current_vote = self.by_lease.get(release.lease)
        return current_vote is not None and (
            current_vote.holder,
            current_vote.incarnation,
            current_vote.fencing_token,
        ) == (
            release.holder,
            release.incarnation,
            release.fencing_token,
        )

    def release(self, now: float, release: LeaseRelease) -> None:
        """Release a lease; the vote's fencing token stays stored.

        Reserve the lease for the successor if the release names one.
        """
        self.expires_at.pop(release.lease, None)
        if release.successor:
            preferred_until = now + min(SUCCESSOR_PRIORITY_S, self.timings.duration_s)
            self.successors[release.lease] = Successor(release.successor, preferred_until)
        self.by_lease[release.lease] = Vote(release.lease, self.by_lease[release.lease].fencing_token)

    def take_over(self, now: float, report: VoteReport) -> bool:
        """Adopt another voter's vote; return whether this changed the table.

        The adopted vote binds for its whole duration from `now`. If there are two holders for one lease,
        either of them may have a majority: the higher token is stored, and the lease is withheld from all
        members for the duration.
        """
        old = self.by_lease.get(report.lease, Vote(report.lease, 0))
        new = Vote(
            report.lease,
            report.fencing_token,
            report.holder or None,
            report.incarnation,
            report.duration_ms / 1000,
        )
        same_holder = (old.holder, old.incarnation) == (new.holder, new.incarnation)
        is_newer = report.fencing_token > old.fencing_token
        if not is_newer and (same_holder or new.holder is None):
            return False
        if (old.holder is not None and not same_holder) or not is_newer:
            token = max(old.fencing_token, report.fencing_token)
            new = Vote(report.lease, token, WITHHELD, 0, max(old.duration_s, new.duration_s))
        self.by_lease[report.lease] = new
        self.successors.pop(report.lease, None)
        self.expires_at.pop(report.lease, None)
        if new.holder is not None:
            self.expires_at[report.lease] = now + self.duration_s(new)
        return True

    def page(self, now: float, after_lease: str) -> tuple[tuple[VoteReport, ...], bool]:
        """Return the page of votes after `after_lease` in order of lease names, and whether more follow."""
        names = sorted(name for name in self.by_lease if name > after_lease)
        reports = tuple(self._report(now, self.by_lease[name]) for name in names[:VOTES_PER_PAGE])
        return reports, len(names) > VOTES_PER_PAGE

    def _report(self, now: float, vote: Vote) -> VoteReport:
        if self.expires_at.get(vote.lease, -math.inf) > now:
            duration_ms = math.ceil(vote.duration_s * 1000)
            holder = vote.holder or ""
            return VoteReport(vote.lease, vote.fencing_token, holder, vote.incarnation, duration_ms)
        return VoteReport(vote.lease, vote.fencing_token, "", 0, 0)
