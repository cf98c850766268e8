"""The observation of a lease by a member that does not request it.

An observer queries all voters at intervals. It reports a holder if a majority of the voters names the same
holder with the same fencing token, and no holder otherwise. The queries stop `OBSERVATION_S` after the last
call of `LeaseObserver.extend`. The result is for display only: the lease may have expired by the time that
the result is read, so no action may depend on it.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from stairhatch.fleet.effects import Effect, PeerAddress, SendMessage
from stairhatch.fleet.messages import LeaseQuery, LeaseStatus

QUERY_INTERVAL_S = 0.5
OBSERVATION_S = 5.0  # how long the queries continue after the last call of `extend`
STATUS_VALID_S = 2.0  # a voter's status is ignored once it is older


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """The state of a lease, combined from the statuses of the voters."""

    holder: str | None = None  # None: no majority of the voters names the same holder
    fencing_token: int = 0  # of the holder; without a holder the highest reported token
    remaining_s: float = 0.0  # the shortest remaining time that a voter reports for the holder
    answered_voters: int = 0  # how many voters answered within `STATUS_VALID_S`


@dataclass(frozen=True, slots=True)
class NamedHolder:
    """The holder of a lease that one voter names, with its fencing token."""

    name: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class ReceivedStatus:
    """The status that one voter reported, with the time of its arrival."""

    at: float
    status: LeaseStatus

    def remaining_s(self, now: float) -> float:
        """Return how long the vote of this voter still lasts, in seconds; negative once it has expired."""
        return self.status.remaining_ms / 1000 - (now - self.at)

    @property
    def holder(self) -> NamedHolder | None:
        """The holder that the voter names; None if the voter names no holder."""
        return NamedHolder(self.status.holder, self.status.fencing_token) if self.status.holder else None


@dataclass(slots=True)
class LeaseObserver:
    """Observer of one lease; it queries the voters while it is active."""

    lease: str
    voters: dict[str, PeerAddress]
    active_until: float = -math.inf
    due_at: float = math.inf  # when the next query is sent
    _query_id: int = 0
    _statuses: dict[str, ReceivedStatus] = field(default_factory=dict)

    def extend(self, now: float) -> None:
        """Keep the observer active for `OBSERVATION_S` from `now`; if it was inactive, query at once."""
        if now >= self.active_until:
            self.due_at = now
        self.active_until = now + OBSERVATION_S

    def tick(self, now: float) -> list[Effect]:
        """Return the queries to all voters if they are due, otherwise nothing."""
        if now >= self.active_until:
            self.due_at = math.inf
        if now < self.due_at:
            return []
        self.due_at = now + QUERY_INTERVAL_S
        self._query_id += 1
        query = LeaseQuery(self.lease, self._query_id)
        return [SendMessage(address, query) for address in self.voters.values()]

    def handle_status(self, now: float, message: LeaseStatus) -> None:
        """Store a voter's status; a delayed status does not replace the answer to a newer query."""
        previous = self._statuses.get(message.voter)
        is_newest = previous is None or previous.status.query_id <= message.query_id
        if message.voter in self.voters and is_newest:
            self._statuses[message.voter] = ReceivedStatus(now, message)

    def observed(self, now: float) -> ObservedLease:
        """Return the state of the lease at `now` according to the recent statuses."""
        recent = [each for each in self._statuses.values() if now - each.at <= STATUS_VALID_S]
        highest_token = max((each.status.fencing_token for each in recent), default=0)
        holders = Counter(each.holder for each in recent if each.remaining_s(now) > 0)
        holder, count = holders.most_common(1)[0] if holders else (None, 0)
        if holder is None or count < len(self.voters) // 2 + 1:
            return ObservedLease(None, highest_token, 0.0, len(recent))
        remaining_s = min(each.remaining_s(now) for each in recent if each.holder == holder)
        return ObservedLease(holder.name, holder.fencing_token, remaining_s, len(recent))
