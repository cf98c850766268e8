"""One cluster member: its lease clients and observers, its voter if it has one, and message dispatch.

This is a sans-I/O protocol: each method takes the current time and returns effects. It uses no sockets, no
disk and no calls. `runtime` drives it in the program, and `fault_injection` drives it on a virtual clock.
"""

from __future__ import annotations

import math
import random

from stairhatch.fleet.effects import Effect, MemberId, MemberState, PeerAddress
from stairhatch.fleet.fencing import FencingTokens
from stairhatch.fleet.lease import LeaseClient, LeaseConfig, LeaseState
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


class ClusterMember:
    """Sans-I/O protocol of one softswitch for the leases of its fleet."""

    def __init__(
        self,
        identity: MemberId,
        config: LeaseConfig,
        random_source: random.Random,
        now: float,
        persisted: MemberState,
    ) -> None:
        """`persisted` is the content of the data directory; without `voter_state` the member is no voter."""
        self.identity = identity
        self.config = config
        self.random_source = random_source
        self.leases: dict[str, LeaseClient] = {}
        self.storage_versions: dict[str, StorageVersion] = {}
        self.fencing_tokens = FencingTokens(persisted.fencing_tokens)
        self.observers: dict[str, LeaseObserver] = {}
        self.voter: Voter | None = None
        if persisted.voter_state is not None:
            self.voter = Voter(identity.name, config, persisted.voter_state, now)

    def lease(self, name: str) -> LeaseClient:
        """Return this member's client of a lease; the first call creates it."""
        if name not in self.leases:
            self.leases[name] = LeaseClient(
                name,
                self.identity,
                self.config,
                self.random_source,
                self.storage_versions,
            )
        return self.leases[name]

    def observe(self, now: float, name: str) -> LeaseObserver | None:
        """Start or continue to observe a lease, and return its observer.

        Return None if `MAX_OBSERVED_LEASES` other leases have active observers.
        """
        if name not in self.observers:
            if len(self.observers) >= MAX_OBSERVED_LEASES:
                for expired in [
                    lease for lease, observer in self.observers.items() if now >= observer.active_until
                ]:
                    del self.observers[expired]
            if len(self.observers) >= MAX_OBSERVED_LEASES:
                return None
            self.observers[name] = LeaseObserver(name, self.config.voters)
        self.observers[name].extend(now)
        return self.observers[name]

    def may_act(self, now: float, name: str) -> bool:
        """Return whether this member holds the named lease at `now` (see `LeaseClient.may_act`)."""
        lease = self.leases.get(name)
        return lease is not None and lease.may_act(now)

    def next_due_at(self) -> float:
        """When `tick` should be called next."""
        due_times = [each.due_at for each in self.leases.values() if each.state is not LeaseState.IDLE]
        due_times += [each.expires_at for each in self.leases.values() if each.state is LeaseState.HELD]
        due_times += [each.due_at for each in self.observers.values()]
        if self.voter is not None:
            due_times.append(self.voter.due_at)
        return min(due_times, default=math.inf)

    def tick(self, now: float) -> list[Effect]:
        """Let the voter, the lease clients and the observers do what is due."""
        effects: list[Effect] = self.voter.tick(now) if self.voter is not None else []
        for lease in list(self.leases.values()):
            effects += lease.tick(now)
        for observer in self.observers.values():
            effects += observer.tick(now)
        return effects

    def write_completed(self, now: float, write_id: int, fault: str = "") -> list[Effect]:
        """Handle the end of a `PersistVotes`; `fault` describes its failure, "" means success."""
        return self.voter.write_completed(now, write_id, fault) if self.voter is not None else []

    def handle(self, now: float, sender: PeerAddress, message: FleetMessage) -> list[Effect]:
        """Handle a message and return the effects.

        Ignore answers for leases that this member neither requests nor observes, and requests to a voter if
        this member is no voter.
        """
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
        return self._handle_as_voter(self.voter, now, sender, message) if self.voter is not None else []

    def _handle_as_voter(
        self, voter: Voter, now: float, sender: PeerAddress, message: FleetMessage
    ) -> list[Effect]:
        match message:
            case LeaseRequest():
                return voter.handle_request(now, sender, message)
            case LeaseRelease():
                return voter.handle_release(now, message)
            case LeaseQuery():
                return voter.handle_query(now, message, sender)
            case StatusRequest():
                return voter.handle_status_request(now, message)
            case StatusReply():
                return voter.handle_status_reply(now, message)
        return []
