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
        self.identity, self.voters, self.timings, self.random_source = who, voters, terms, chance
        self.leases: dict[str, LeaseClient] = {}
        self.storage_versions: dict[str, StorageVersion] = {}
        self.fencing_tokens = FencingTokens(fences)
        self.observers: dict[str, LeaseObserver] = {}
        self.voter = Voter(who.name, voters, terms, kept, now, 1, epoch) if kept is not None else None

    def lease(self, name: str) -> LeaseClient:
        """A claim as this softswitch asks for it; made at the first call."""
        if name not in self.leases:
            me = self.identity.name, self.identity.incarnation
            self.leases[name] = LeaseClient(
                name, me, self.voters, self.timings, self.random_source, self.storage_versions, self.epoch
            )
        return self.leases[name]

    def observe(self, now: float, name: str) -> LeaseObserver | None:
        """A claim is watched, whoever holds it; None where too many are."""
        if name not in self.observers:
            if len(self.observers) >= MAX_OBSERVED_LEASES:
                for old in [each for each, watch in self.observers.items() if now >= watch.active_until]:
                    del self.observers[old]
            if len(self.observers) >= MAX_OBSERVED_LEASES:
                return None
            self.observers[name] = LeaseObserver(name, self.voters)
        self.observers[name].extend(now)
        return self.observers[name]

    def may_act(self, now: float, name: str) -> bool:
        """`Claim.may_act` of a claim by its name."""
        found = self.leases.get(name)
        return found is not None and found.may_act(now)

    def next_due_at(self) -> float:
        """When `tick` should be called next."""
        dues = [each.due_at for each in self.leases.values() if each.state is not LeaseState.IDLE]
        dues += [each.expires_at for each in self.leases.values() if each.state is LeaseState.HELD]
        dues += [each.due_at for each in self.observers.values()]
        if self.voter is not None:
            dues.append(self.voter.due_at)
        return min(dues, default=math.inf)

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        out: list[Effect] = self.voter.tick(now) if self.voter is not None else []
        for claim in list(self.leases.values()):
            out += claim.tick(now)
        for watch in self.observers.values():
            out += watch.tick(now)
        return out

    def write_completed(self, now: float, number: int, fault: str = "") -> list[Effect]:
        """A `Write` has ended."""
        return self.voter.write_completed(now, number, fault) if self.voter is not None else []

    def handle(self, now: float, sender: PeerAddress, message: FleetMessage) -> list[Effect]:
        """A message has come."""
        match message:
            case LeaseGranted() if message.lease in self.leases:
                return self.leases[message.lease].handle_granted(now, message)
            case LeaseRejected() if message.lease in self.leases:
                return self.leases[message.lease].handle_rejected(now, message)
            case Superseded() if message.lease in self.leases:
                return self.leases[message.lease].step_down(now, message.highest_token)
            case LeaseStatus() if message.lease in self.observers:
                self.observers[message.lease].handle_status(now, message)
                return []
        if self.voter is None:
            return []
        match message:
            case LeaseRequest():
                return self.voter.handle_request(now, sender, message)
            case LeaseRelease():
                return self.voter.handle_release(now, message)
            case LeaseQuery():
                return self.voter.handle_query(now, message, sender)
            case StatusRequest():
                return self.voter.handle_status_request(now, message)
            case StatusReply():
                return self.voter.handle_status_reply(now, message)
        return []
