"""Who holds a claim, for who does not want it: owns which voters are asked and what their answers come to. It
must never be acted under: what is seen here is over by the time that it is read.

A holder is seen once a majority of the voters names it with one ticket; nobody holds it once a majority says
so or says nothing that agrees. Voters are asked while somebody watches, which wants to be said again.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from stairhatch.fleet.effects import Effect, PeerAddress, SendMessage
from stairhatch.fleet.messages import LeaseQuery, LeaseStatus

QUERY_INTERVAL_S = 0.5  # between two looks
OBSERVATION_S = 5.0  # so long after the last wish
STATUS_VALID_S = 2.0  # what a voter said longer ago counts no longer


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """What the voters say of a claim together."""

    holder: str = ""  # "" for nobody
    fencing_token: int = 0  # the highest that was heard of
    remaining_s: float = 0.0  # of the term, by the voter that says least
    answered_voters: int = 0  # that have answered lately


@dataclass(slots=True)
class LeaseObserver:
    """One claim that is watched."""

    lease: str
    voters: dict[str, PeerAddress]
    active_until: float = -math.inf
    due_at: float = math.inf
    _query_id: int = 0
    _statuses: dict[str, tuple[float, LeaseStatus]] = field(default_factory=dict)

    def extend(self, now: float) -> None:
        """Somebody watches, from here on for a while."""
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
        look = LeaseQuery(self.lease, self._query_id)
        return [SendMessage(place, look) for place in self.voters.values()]

    def handle_status(self, now: float, message: LeaseStatus) -> None:
        """A voter has answered; a late answer does not go over a newer one."""
        old = self._statuses.get(message.voter)
        if message.voter in self.voters and (old is None or old[1].query_id <= message.query_id):
            self._statuses[message.voter] = now, message

    def observed(self, now: float) -> ObservedLease:
        """What the answers come to at this moment."""
        said = {name: (at, each) for name, (at, each) in self._statuses.items() if now - at <= STATUS_VALID_S}
        ticket = max((each.fencing_token for _, each in said.values()), default=0)
        left = {name: each.remaining_ms / 1000 - (now - at) for name, (at, each) in said.items()}
        held = Counter(
            (each.holder, each.fencing_token) for name, (_, each) in said.items() if left[name] > 0
        )
        (holder, its), count = held.most_common(1)[0] if held else (("", 0), 0)
        if not holder or count < len(self.voters) // 2 + 1:
            return ObservedLease("", ticket, 0.0, len(said))
        same = [
            name for name, (_, each) in said.items() if (each.holder, each.fencing_token) == (holder, its)
        ]
        least = min(left[name] for name in same)
        return ObservedLease(holder, its, least, len(said))
