"""The leases that one voter has voted for: to whom, under which fencing token, and until when.

A vote without a holder keeps the fencing token alone: a token that was voted for is never voted for again.
Times are seconds of the clock that the voter is called with.
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
WITHHELD = "-"  # the holder of a lease that nobody is to get for its duration
SUCCESSOR_PRIORITY_S = 1.0  # a successor that a holder names is preferred for so long


@dataclass(frozen=True, slots=True)
class VoteRejection:
    """Why a lease request is rejected, and what the requester may go by."""

    reason: str
    highest_token: int = 0
    holder: str | None = None
    remaining_s: float = 0.0  # nothing is to be had before that


@dataclass(frozen=True, slots=True)
class Successor:
    """A member that a holder named as it released a lease."""

    member: str
    preferred_until: float


class VoteTable:
    """The votes of one voter, by lease."""

    def __init__(self, votes: Iterable[Vote], timings: LeaseTimings, now: float) -> None:
        """Votes that were on disk count as cast at `now`: a renewal is not written."""
        self.timings = timings
        self.by_lease = {each.lease: each for each in votes}
        self.expires_at: dict[str, float] = {}
        self.successors: dict[str, Successor] = {}
        self.restart_durations(now)

    def duration_s(self, vote: Vote) -> float:
        """For how long a vote binds this voter; the clock drift bound is added."""
        return max(vote.duration_s, self.timings.duration_s) * (1 + self.timings.clock_drift)

    @property
    def longest_binding_s(self) -> float:
        """For how long any vote for these leases may bind a voter; the clock drift bound is added."""
        longest_s = max([self.timings.duration_s, *(each.duration_s for each in self.by_lease.values())])
        return longest_s * (1 + self.timings.clock_drift)

    def restart_durations(self, now: float) -> None:
        """All votes count as cast at this moment."""
        self.expires_at = {
            each.lease: now + self.duration_s(each)
            for each in self.by_lease.values()
            if each.holder is not None
        }

    def remaining_s(self, lease: str, now: float) -> float:
        """Of the vote for a lease; negative once it is over."""
        return self.expires_at.get(lease, -math.inf) - now

    def rejection(self, now: float, request: LeaseRequest) -> VoteRejection | None:
        """The reason to reject a request by the votes cast; None where there is none."""
        cast = self.by_lease.get(request.lease)
        if cast is None:
            return self._rejection_of_new_lease()
        same_holder = (request.holder, request.incarnation) == (cast.holder, cast.incarnation)
        if same_holder and request.fencing_token == cast.fencing_token:
            return None
        remaining_s = self.remaining_s(request.lease, now)
        if cast.holder is not None and remaining_s > 0 and not same_holder:
            return VoteRejection(RejectionReason.HELD.value, cast.fencing_token, cast.holder, remaining_s)
        if reservation := self._reservation(now, request, cast):
            return reservation
        if request.fencing_token <= cast.fencing_token:
            holder = cast.holder if remaining_s > 0 else None
            return VoteRejection(RejectionReason.TOKEN_TOO_LOW.value, cast.fencing_token, holder)
        return None

    def _rejection_of_new_lease(self) -> VoteRejection | None:
        if len(self.by_lease) < MAX_LEASES:
            return None
        return VoteRejection(RejectionReason.TOO_MANY_LEASES.value, remaining_s=self.timings.duration_s)

    def _reservation(self, now: float, request: LeaseRequest, cast: Vote) -> VoteRejection | None:
        """The lease is kept for a moment for the successor that its last holder named."""
        successor = self.successors.get(request.lease)
        if successor is None or successor.member == request.holder or now >= successor.preferred_until:
            return None
        return VoteRejection(
            RejectionReason.RESERVED.value,
            cast.fencing_token,
            successor.member,
            successor.preferred_until - now,
        )

    def all(self) -> tuple[Vote, ...]:
        """One for each lease that was voted for."""
        return tuple(self.by_lease.values())

    def cast(self, vote: Vote) -> None:
        """A new vote, in place of the one for that lease before it."""
        self.by_lease[vote.lease] = vote

    def extend(self, now: float, vote: Vote) -> None:
        """A vote binds anew from here."""
        self.expires_at[vote.lease] = now + self.duration_s(vote)
        self.successors.pop(vote.lease, None)

    def is_cast_for(self, release: LeaseRelease) -> bool:
        """Whether a release is by whom the lease was voted to, under that token."""
        cast = self.by_lease.get(release.lease)
        return cast is not None and (cast.holder, cast.incarnation, cast.fencing_token) == (
            release.holder,
            release.incarnation,
            release.fencing_token,
        )

    def release(self, now: float, release: LeaseRelease) -> None:
        """The holder wants the lease no longer; its token stays voted for."""
        self.expires_at.pop(release.lease, None)
        if release.successor:
            preferred_until = now + min(SUCCESSOR_PRIORITY_S, self.timings.duration_s)
            self.successors[release.lease] = Successor(release.successor, preferred_until)
        self.by_lease[release.lease] = Vote(release.lease, self.by_lease[release.lease].fencing_token)

    def take_over(self, now: float, report: VoteReport) -> bool:
        """Adopt what another voter has voted for; whether that changed anything.

        Who has the lease may hold
        it for its duration from now. Where two holders are reported for one lease, a majority may stand
        behind either: the higher token counts, and for the duration nobody gets the lease.
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
        """The votes for the leases that follow this one by name, and whether more follow these."""
        names = sorted(name for name in self.by_lease if name > after_lease)
        reports = tuple(self._report(now, self.by_lease[name]) for name in names[:VOTES_PER_PAGE])
        return reports, len(names) > VOTES_PER_PAGE

    def _report(self, now: float, vote: Vote) -> VoteReport:
        if self.expires_at.get(vote.lease, -math.inf) > now:
            duration_ms = math.ceil(vote.duration_s * 1000)
            holder = vote.holder or ""
            return VoteReport(vote.lease, vote.fencing_token, holder, vote.incarnation, duration_ms)
        return VoteReport(vote.lease, vote.fencing_token, "", 0, 0)
