"""One softswitch among others: owns its claims, its vote if it is a voter, its fences, and which message goes
to which of them. A state machine that is told the time with each message and answers with effects; it must
never know a socket, a disk or a call.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from stairhatch.fleet.effects import Effect, PeerAddress, PersistedState
from stairhatch.fleet.fencing import FencingTokens
from stairhatch.fleet.lease import LeaseClient, LeaseState, LeaseTimings
from stairhatch.fleet.lease_observer import LeaseObserver
from stairhatch.fleet.messages import (
    FleetMessage,
    LeaseGranted,
    LeaseQuery,
    LeaseRejected,
    LeaseRelease,
    LeaseRequest,
    LeaseStatus,
    StatusReply,
    StatusRequest,
    StorageVersion,
    Superseded,
)
from stairhatch.fleet.voter import Voter

MAX_OBSERVED_LEASES = 64


@dataclass(frozen=True, slots=True)
class MemberId:
    """Which process this is: the name that the operators gave it, and this start of it."""

    name: str
    incarnation: int


class ClusterMember:
    """The decisions of one softswitch about shared work."""

    def __init__(
        self,
        who: MemberId,
        voters: dict[str, PeerAddress],
        terms: LeaseTimings,
        chance: random.Random,
        now: float,
        kept: PersistedState | None = None,
        fences: dict[str, int] | None = None,
        epoch: int = 1,
    ) -> None:
        """`epoch`: of this list of voters, counted up with each change of it."""
        self.epoch = epoch
        self.who, self.voters, self.terms, self.chance = who, voters, terms, chance
        self.claims: dict[str, LeaseClient] = {}
        self.marks: dict[str, StorageVersion] = {}
        self.fences = FencingTokens(fences)
        self.watches: dict[str, LeaseObserver] = {}
        self.voter = Voter(who.name, voters, terms, kept, now, 1, epoch) if kept is not None else None

    def claim(self, name: str) -> LeaseClient:
        """A claim as this softswitch asks for it; made at the first call."""
        if name not in self.claims:
            me = self.who.name, self.who.incarnation
            self.claims[name] = LeaseClient(
                name, me, self.voters, self.terms, self.chance, self.marks, self.epoch
            )
        return self.claims[name]

    def watch(self, now: float, name: str) -> LeaseObserver | None:
        """A claim is watched, whoever holds it; None where too many are."""
        if name not in self.watches:
            if len(self.watches) >= MAX_OBSERVED_LEASES:
                for old in [each for each, watch in self.watches.items() if now >= watch.until]:
                    del self.watches[old]
            if len(self.watches) >= MAX_OBSERVED_LEASES:
                return None
            self.watches[name] = LeaseObserver(name, self.voters)
        self.watches[name].wish(now)
        return self.watches[name]

    def may_act(self, now: float, name: str) -> bool:
        """`Claim.may_act` of a claim by its name."""
        found = self.claims.get(name)
        return found is not None and found.may_act(now)

    def due(self) -> float:
        """When `tick` should be called next."""
        dues = [each.due for each in self.claims.values() if each.stage is not LeaseState.IDLE]
        dues += [each.until for each in self.claims.values() if each.stage is LeaseState.HELD]
        dues += [each.due for each in self.watches.values()]
        if self.voter is not None:
            dues.append(self.voter.due)
        return min(dues, default=math.inf)

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        out: list[Effect] = self.voter.tick(now) if self.voter is not None else []
        for claim in list(self.claims.values()):
            out += claim.tick(now)
        for watch in self.watches.values():
            out += watch.tick(now)
        return out

    def written(self, now: float, number: int, fault: str = "") -> list[Effect]:
        """A `Write` has ended."""
        return self.voter.written(now, number, fault) if self.voter is not None else []

    def handle(self, now: float, sender: PeerAddress, message: FleetMessage) -> list[Effect]:
        """A message has come."""
        match message:
            case LeaseGranted() if message.claim in self.claims:
                return self.claims[message.claim].granted(now, message)
            case LeaseRejected() if message.claim in self.claims:
                return self.claims[message.claim].refused(now, message)
            case Superseded() if message.claim in self.claims:
                return self.claims[message.claim].stand_down(now, message.highest)
            case LeaseStatus() if message.claim in self.watches:
                self.watches[message.claim].shown(now, message)
                return []
        if self.voter is None:
            return []
        match message:
            case LeaseRequest():
                return self.voter.asked(now, sender, message)
            case LeaseRelease():
                return self.voter.given_back(now, message)
            case LeaseQuery():
                return self.voter.look(now, message, sender)
            case StatusRequest():
                return self.voter.called(now, message)
            case StatusReply():
                return self.voter.answered(now, message)
        return []
