"""One cluster member: its leases, its vote if it is a voter, and which message goes to which of them.

A protocol without I/O: it is told the time with each message and answers with effects. It knows no socket, no
disk and no call; `runtime` drives it in the program, `fault_injection` on a virtual clock.
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
    """The decisions of one softswitch about shared work."""

    def __init__(
        self,
        identity: MemberId,
        config: LeaseConfig,
        random_source: random.Random,
        now: float,
        persisted: MemberState,
    ) -> None:
        """`persisted` is what its data directory held; without a voter's state it is no voter."""
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
        """A lease as this member requests it; made at the first call."""
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
        """Begin or continue to observe a lease; None where too many are observed."""
        if name not in self.observers:
            if len(self.observers) >= MAX_OBSERVED_LEASES:
                for old in [
                    each for each, observer in self.observers.items() if now >= observer.active_until
                ]:
                    del self.observers[old]
            if len(self.observers) >= MAX_OBSERVED_LEASES:
                return None
            self.observers[name] = LeaseObserver(name, self.config.voters)
        self.observers[name].extend(now)
        return self.observers[name]

    def may_act(self, now: float, name: str) -> bool:
        """`LeaseClient.may_act` of a lease by its name."""
        lease = self.leases.get(name)
        return lease is not None and lease.may_act(now)

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
        effects: list[Effect] = self.voter.tick(now) if self.voter is not None else []
        for lease in list(self.leases.values()):
            effects += lease.tick(now)
        for observer in self.observers.values():
            effects += observer.tick(now)
        return effects

    def write_completed(self, now: float, write_id: int, fault: str = "") -> list[Effect]:
        """A `PersistVotes` has ended; `fault` says what went wrong, "" for nothing."""
        return self.voter.write_completed(now, write_id, fault) if self.voter is not None else []

    def handle(self, now: float, sender: PeerAddress, message: FleetMessage) -> list[Effect]:
        """Handle a message. One for a lease that this member does not request is ignored."""
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
