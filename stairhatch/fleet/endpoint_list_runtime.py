"""Driver of the endpoint list relay: connects `endpoint_relay` to service discovery and the other members.

The holder of the lease `list` sends its list with its fencing token to the voters, and a heartbeat once per
poll interval. A voter relays the list only while it receives updates from the holder itself; updates from
another voter alone are not relayed.
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
RELAYED_HOLDER = "-"  # the holder field of updates that a voter relays


class RelayDriver(Protocol):
    """The interface that the relay needs from the fleet runtime."""

    config: FleetConfig
    member: ClusterMember
    counters: Counters
    history: HistoryFile

    def send(self, destination: PeerAddress, message: FleetMessage) -> None:
        """Send a message to another member."""

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out effects in their order."""


class EndpointListRelay:
    """Relay of the endpoint list in one member, which follows the list and publishes it as lease holder."""

    def __init__(
        self,
        driver: RelayDriver,
        clock: Callable[[], float],
        between_check_and_write: Callable[[], None],
    ) -> None:
        """Create an empty list; `clock` is the leases' clock.

        `between_check_and_write` is called between the check of the lease and the first message.
        """
        self.discovery: ServiceDiscoveryClient | None = None  # None: this member uses no endpoint list
        self.endpoint_list = EndpointList()
        self.follower = EndpointListFollower(list(driver.config.voters), RelayTimings(), clock())
        self._driver = driver
        self._config = driver.config
        self._member = driver.member
        self._clock = clock
        self._between_check_and_write = between_check_and_write
        self._assembler = EndpointListAssembler()
        self._last_holder_update_at = -math.inf
        self._last_heartbeat_at = -math.inf
        self._polls_coordinator = False
        self._published_index = 0

    def start(self, now: float) -> None:
        """Request the lease `list` if the endpoint list is relayed."""
        if self._is_relayed:
            self._member.lease(ENDPOINT_LIST_LEASE).request(now)

    @property
    def _is_relayed(self) -> bool:
        return self._config.relay_endpoint_list and self.discovery is not None

    def may_poll_coordinator(self) -> bool:
        """Return whether this member should poll the coordinator now, rather than rely on relayed lists."""
        now = self._clock()
        is_holder = self._member.may_act(now, ENDPOINT_LIST_LEASE)
        return self.follower.polls_coordinator(now, is_holder, self.endpoint_list.index > 0)

    def coordinator_answered(self, answer: Any) -> None:
        """Apply a coordinator's answer to the list; publish the list if this member holds the lease."""
        self.endpoint_list.apply(answer)
        self._publish()

    def tick(self, now: float) -> None:
        """Send the holder's heartbeat or poll a voter, if due.

        When this member has to poll the coordinator from now on, service discovery connects at once.
        """
        if self.discovery is None or not self._config.relay_endpoint_list:
            return
        is_holder = self._member.may_act(self._clock(), ENDPOINT_LIST_LEASE)
        if is_holder and now - self._last_heartbeat_at >= self.follower.timings.poll_interval_s:
            self._last_heartbeat_at = now
            token = self._member.leases[ENDPOINT_LIST_LEASE].fencing_token
            self._send_to_voters([self._unchanged_update(self._config.member_name, token)])
        voter = self.follower.voter_to_poll(now, is_holder, self._last_holder_update_at)
        if voter is not None and voter != self._config.member_name:
            self._driver.send(self._config.voters[voter], Subscribe(self.endpoint_list.index))
        polls_coordinator = self.may_poll_coordinator()
        if polls_coordinator and not self._polls_coordinator:
            self.discovery.reconnect_now()
        self._polls_coordinator = polls_coordinator

    def _unchanged_update(self, holder: str, token: int) -> EndpointUpdate:
        return EndpointUpdate(holder, token, self.endpoint_list.index, 0, 1, b"")

    def _send_to_voters(self, updates: list[EndpointUpdate]) -> None:
        for name, address in self._config.voters.items():
            if name != self._config.member_name:
                for each in updates:
                    self._driver.send(address, each)

    def _publish(self) -> None:
        """Send the list to the voters, once per index, if this member holds the lease.

        The lease is checked right before the messages are sent.
        """
        checked_at = self._clock()
        if not self._member.may_act(checked_at, ENDPOINT_LIST_LEASE):
            return
        if self.endpoint_list.index == self._published_index:
            return
        self._published_index = self.endpoint_list.index
        token = self._member.leases[ENDPOINT_LIST_LEASE].fencing_token
        updates = to_updates(self.endpoint_list, self._config.member_name, token)
        self._driver.history.write("acted", claim=ENDPOINT_LIST_LEASE, ticket=token, checked=checked_at)
        self._between_check_and_write()
        self._send_to_voters(updates)

    def handle_subscribe(self, peer: PeerAddress, request: Subscribe) -> None:
        """Answer a member's poll with the list if it is newer, under the fencing token of the holder.

        No answer is sent if this member is not the holder and has received nothing from the holder lately.
        """
        now = self._clock()
        token = self._member.fencing_tokens.highest.get(ENDPOINT_LIST_LEASE, 0)
        holder = RELAYED_HOLDER
        if self._member.may_act(now, ENDPOINT_LIST_LEASE):
            token = self._member.leases[ENDPOINT_LIST_LEASE].fencing_token
            holder = self._config.member_name
        elif not token or now - self._last_holder_update_at > self.follower.timings.fallback_after_s:
            return  # no recent update from the holder itself; updates from another voter are not relayed
        if request.after_index >= self.endpoint_list.index:
            self._driver.send(peer, self._unchanged_update(holder, token))
            return
        for each in to_updates(self.endpoint_list, holder, token):
            self._driver.send(peer, each)

    def handle_update(self, now: float, peer: PeerAddress, update: EndpointUpdate) -> None:
        """Handle a part of the list or a heartbeat; ignore it if its fencing token is rejected.

        A complete list that is newer than this member's own goes to service discovery. If a heartbeat shows
        a newer index, the sender is polled for the list.
        """
        if self.discovery is None:
            return
        check = self._member.fencing_tokens.check(ENDPOINT_LIST_LEASE, update.fencing_token, peer)
        self._driver.carry_out(check.effects)
        if not check.is_accepted:
            return
        self.follower.handle_update(now)
        if update.holder != RELAYED_HOLDER:
            self._last_holder_update_at = now
        if not update.data:
            if update.index > self.endpoint_list.index:  # the update with that index was lost
                self._driver.send(peer, Subscribe(self.endpoint_list.index))
            else:
                self.discovery.confirm_relayed()
            return
        if not update.part_index:  # the token was accepted, even if the list is incomplete or outdated
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
        self.discovery.accept_relayed(self.endpoint_list.to_answer())
