"""The relayed endpoint list at work: `endpoint_relay` joined to service discovery and the other members.

The holder of the lease `list` tells the voters its list with its fencing token, and once per poll interval
that it is there. Nothing that a voter passes on was heard from another voter.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.effects import Effect, LeaseEventKind, PeerAddress
from stairhatch.fleet.endpoint_relay import (
    EndpointList,
    EndpointListAssembler,
    EndpointListFollower,
    RelayTimings,
    to_updates,
)
from stairhatch.fleet.event_recorder import HistoryFile
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import EndpointUpdate, FleetMessage, Subscribe
from stairhatch.node.counters import Counters
from stairhatch.node.service_discovery import ServiceDiscoveryClient

ENDPOINT_LIST_LEASE = "list"
PASSED_ON = "-"  # stands as the holder in what a voter passes on


class RelayDriver(Protocol):
    """What the relay is joined to."""

    config: FleetConfig
    member: ClusterMember
    counters: Counters
    history: HistoryFile

    def send(self, destination: PeerAddress, message: FleetMessage) -> None:
        """Send a message."""

    def carry_out(self, effects: list[Effect]) -> None:
        """Do what the decisions ask."""


class EndpointListRelay:
    """The endpoint list as one member follows it, and hands it on where it holds the lease."""

    def __init__(
        self,
        driver: RelayDriver,
        clock: Callable[[], float],
        between_check_and_write: Callable[[], None],
    ) -> None:
        """`between_check_and_write` is called between the check of the lease and the first message."""
        self.directory: ServiceDiscoveryClient | None = None  # None: this member follows no list
        self.endpoint_list = EndpointList()
        self.follower = EndpointListFollower(list(driver.config.voters), RelayTimings(), clock())
        self._driver = driver
        self._config = driver.config
        self._member = driver.member
        self._clock = clock
        self._between_check_and_write = between_check_and_write
        self._assembler = EndpointListAssembler()
        self._holder_heard_at = -math.inf
        self._heartbeat_at = -math.inf
        self._polls_coordinator = False
        self._handed_on_index = 0

    def start(self, now: float) -> None:
        """Request the lease, where the list is relayed."""
        if self._is_relayed:
            self._member.lease(ENDPOINT_LIST_LEASE).request(now)

    @property
    def _is_relayed(self) -> bool:
        return self._config.relay_endpoint_list and self.directory is not None

    def may_poll_coordinator(self) -> bool:
        """Whether the coordinator is to be polled by this member now."""
        now = self._clock()
        is_holder = self._member.may_act(now, ENDPOINT_LIST_LEASE)
        return self.follower.polls_coordinator(now, is_holder, self.endpoint_list.index > 0)

    def coordinator_answered(self, answer: Any) -> None:
        """The coordinator has answered this member."""
        self.endpoint_list.apply(answer)
        self._hand_on()

    def tick(self, now: float) -> None:
        """What is due: the holder's heartbeat, a question to a voter, and whether to poll the coordinator."""
        if self.directory is None or not self._config.relay_endpoint_list:
            return
        is_holder = self._member.may_act(self._clock(), ENDPOINT_LIST_LEASE)
        if is_holder and now - self._heartbeat_at >= self.follower.timings.poll_interval_s:
            self._heartbeat_at = now
            token = self._member.leases[ENDPOINT_LIST_LEASE].fencing_token
            self._send_to_voters([self._nothing_new(self._config.member_name, token)])
        voter = self.follower.voter_to_poll(now, is_holder, self._holder_heard_at)
        if voter is not None and voter != self._config.member_name:
            self._driver.send(self._config.voters[voter], Subscribe(self.endpoint_list.index))
        polls_coordinator = self.may_poll_coordinator()
        if polls_coordinator and not self._polls_coordinator:
            self.directory.reconnect_now()
        self._polls_coordinator = polls_coordinator

    def _nothing_new(self, holder: str, token: int) -> EndpointUpdate:
        return EndpointUpdate(holder, token, self.endpoint_list.index, 0, 1, b"")

    def _send_to_voters(self, updates: list[EndpointUpdate]) -> None:
        for name, place in self._config.voters.items():
            if name != self._config.member_name:
                for each in updates:
                    self._driver.send(place, each)

    def _hand_on(self) -> None:
        """The holder tells the voters, once an index, with its token; the check stands right before."""
        checked = self._clock()
        if not self._member.may_act(checked, ENDPOINT_LIST_LEASE):
            return
        if self.endpoint_list.index == self._handed_on_index:
            return
        self._handed_on_index = self.endpoint_list.index
        token = self._member.leases[ENDPOINT_LIST_LEASE].fencing_token
        updates = to_updates(self.endpoint_list, self._config.member_name, token)
        self._driver.history.write("acted", claim=ENDPOINT_LIST_LEASE, ticket=token, checked=checked)
        self._between_check_and_write()
        self._send_to_voters(updates)

    def handle_subscribe(self, peer: PeerAddress, request: Subscribe) -> None:
        """Somebody asks for updates: of the list that the holder handed on, under the holder's token."""
        now = self._clock()
        token = self._member.fencing_tokens.highest.get(ENDPOINT_LIST_LEASE, 0)
        holder = PASSED_ON
        if self._member.may_act(now, ENDPOINT_LIST_LEASE):
            token = self._member.leases[ENDPOINT_LIST_LEASE].fencing_token
            holder = self._config.member_name
        elif not token or now - self._holder_heard_at > self.follower.timings.fallback_after_s:
            return  # the holder is not heard here either; what another voter says is not passed on again
        if request.after_index >= self.endpoint_list.index:
            self._driver.send(peer, self._nothing_new(holder, token))
            return
        for each in to_updates(self.endpoint_list, holder, token):
            self._driver.send(peer, each)

    def handle_update(self, now: float, peer: PeerAddress, update: EndpointUpdate) -> None:
        """The list as its holder has it, or the word that nothing is new."""
        if self.directory is None:
            return
        check = self._member.fencing_tokens.check(ENDPOINT_LIST_LEASE, update.fencing_token, peer)
        self._driver.carry_out(check.effects)
        if not check.is_accepted:
            return
        self.follower.handle_update(now)
        if update.holder != PASSED_ON:
            self._holder_heard_at = now
        if not update.data:
            if update.index > self.endpoint_list.index:  # what was handed on has been lost
                self._driver.send(peer, Subscribe(self.endpoint_list.index))
            else:
                self.directory.confirm_relayed()
            return
        if not update.part_index:  # the token was accepted, whatever comes of the list
            self._driver.history.write(
                LeaseEventKind.TOKEN_ACCEPTED.value,
                claim=ENDPOINT_LIST_LEASE,
                ticket=update.fencing_token,
                index=update.index,
            )
        answer = self._assembler.add(update)
        if answer is None or update.index <= self.endpoint_list.index:
            return
        self._driver.counters.add("fleet_lists_accepted")
        self.endpoint_list.apply(answer)
        self.directory.accept_relayed(self.endpoint_list.to_answer())
