"""Who holds a lease, by what the voters answer to a member that does not request it.

A holder is seen once a majority of the voters names it with one fencing token; nobody holds the lease once a
majority says so or says nothing that agrees. Voters are asked while somebody observes, which must be said
again each `OBSERVATION_S`. Nothing may be done under what is seen here: it may be over by the time that it is
read.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from stairhatch.fleet.effects import Effect, PeerAddress, SendMessage
from stairhatch.fleet.messages import LeaseQuery, LeaseStatus

QUERY_INTERVAL_S = 0.5
OBSERVATION_S = 5.0  # so long after it was last asked for
STATUS_VALID_S = 2.0  # an older status of a voter is not used


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """What the voters say of a lease together."""

    holder: str | None = None
    fencing_token: int = 0  # the highest that was reported
    remaining_s: float = 0.0  # of the lease, by the voter that says least
    answered_voters: int = 0  # lately


@dataclass(frozen=True, slots=True)
class NamedHolder:
    """Who holds the lease by one voter, under which fencing token."""

    name: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class ReceivedStatus:
    """The status that one voter reported, and when."""

    at: float
    status: LeaseStatus

    def remaining_s(self, now: float) -> float:
        """Of the lease by this voter."""
        return self.status.remaining_ms / 1000 - (now - self.at)

    @property
    def holder(self) -> NamedHolder | None:
        """The holder that it names."""
        return NamedHolder(self.status.holder, self.status.fencing_token) if self.status.holder else None


@dataclass(slots=True)
class LeaseObserver:
    """One lease that is observed."""

    lease: str
    voters: dict[str, PeerAddress]
    active_until: float = -math.inf
    due_at: float = math.inf
    _query_id: int = 0
    _statuses: dict[str, ReceivedStatus] = field(default_factory=dict)

    def extend(self, now: float) -> None:
        """Somebody observes, from here on for a while."""
        if now >= self.active_until:
            self.due_at = now
        self.active_until = now + OBSERVATION_S

    def tick(self, now: float) -> list[Effect]:
        """Ask all voters, where that is due."""
        if now >= self.active_until:
            self.due_at = math.inf
        if now < self.due_at:
            return []
        self.due_at = now + QUERY_INTERVAL_S
        self._query_id += 1
        query = LeaseQuery(self.lease, self._query_id)
        return [SendMessage(place, query) for place in self.voters.values()]

    def handle_status(self, now: float, message: LeaseStatus) -> None:
        """A voter has answered; a late answer does not replace a newer one."""
        old = self._statuses.get(message.voter)
        is_newest = old is None or old.status.query_id <= message.query_id
        if message.voter in self.voters and is_newest:
            self._statuses[message.voter] = ReceivedStatus(now, message)

    def observed(self, now: float) -> ObservedLease:
        """What the answers come to at this moment."""
        recent = [each for each in self._statuses.values() if now - each.at <= STATUS_VALID_S]
        highest = max((each.status.fencing_token for each in recent), default=0)
        holders = Counter(each.holder for each in recent if each.remaining_s(now) > 0)
        holder, count = holders.most_common(1)[0] if holders else (None, 0)
        if holder is None or count < len(self.voters) // 2 + 1:
            return ObservedLease(None, highest, 0.0, len(recent))
        remaining_s = min(each.remaining_s(now) for each in recent if each.holder == holder)
        return ObservedLease(holder.name, holder.fencing_token, remaining_s, len(recent))
