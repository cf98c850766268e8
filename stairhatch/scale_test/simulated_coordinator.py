"""A simulated coordinator, which answers long polls for the endpoint list of one region."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from stairhatch.emulators.coordinator_emulator import EndpointEventLog, parse_poll_request
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.simulated_connection import ConnectionEnd, Side, SimulatedConnection
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.virtual_clock import ScheduledEvent

COORDINATOR_PORT = 8000

EndpointLine = dict[str, Any]  # a line of the endpoint list, decoded from JSON


class ChangeStamp(NamedTuple):
    """Version of a list line: the latest change takes effect, at equal times that of the higher region."""

    time: float
    region: int


@dataclass(frozen=True, slots=True)
class PendingPoll:
    """A long poll that waits for the next change of the list."""

    after: int  # number of events that the softswitch has already received
    timeout: ScheduledEvent


class SimulatedCoordinator:
    """The coordinator of one region, which replicates its list changes to those of the other regions."""

    def __init__(self, context: SimulationContext, region: int) -> None:
        """Create a coordinator with an empty list; `peers` is set once all coordinators exist."""
        self.context = context
        self.region = region
        self.machine = context.topology.first_machine_in_region(region)
        self.address = (f"10.9.{region}.1", COORDINATOR_PORT)
        self.list = EndpointEventLog()
        self.peers: list[SimulatedCoordinator] = []  # coordinators of the other regions
        self.superseded = 0  # lines that arrived after a newer version of the same line
        self._pending_polls: dict[SimulatedConnection, PendingPoll] = {}
        self._stamps: dict[str, ChangeStamp] = {}  # of the latest change of each line, by instance
        # time at which the last replicated change arrives, by region
        self._last_arrival: dict[int, float] = {}

    def is_machine_on(self) -> bool:
        """Return True: the machine of a coordinator is never powered off."""
        return True

    def is_listening(self) -> bool:
        """Return True: a coordinator always accepts connections."""
        return True

    def set_initial_list(self, lines: list[EndpointLine]) -> None:
        """Publish the initial lines, stamped older than any change."""
        self._stamps.update((line["instanceId"], ChangeStamp(0.0, self.region)) for line in lines)
        self.list.publish(lines, reset=True)

    def change(self, lines: list[EndpointLine]) -> None:
        """Change lines of the list in this region and replicate the change to the other regions."""
        stamp = ChangeStamp(self.context.clock.now, self.region)
        self.apply(lines, stamp)
        for peer in self.peers:
            self._replicate(peer, lines, stamp)

    def apply(self, lines: list[EndpointLine], stamp: ChangeStamp) -> None:
        """Apply the lines that are not older than the known version, and answer the pending polls.

        Older lines are counted in `superseded`.
        """
        newer = [line for line in lines if stamp >= self._stamps.get(line["instanceId"], stamp)]
        self.superseded += len(lines) - len(newer)
        self._stamps.update((line["instanceId"], stamp) for line in newer)
        if newer:
            self.list.publish(newer)
            for connection, poll in list(self._pending_polls.items()):
                poll.timeout.cancel()
                self._answer(connection, poll.after)

    def instances_in_service(self) -> set[str]:
        """Return the instances of the roster servers that the current list has in service."""
        states: dict[str, str] = {}
        for event in self.list.events:
            for line in event["endpoints"]["instances"]:
                states[line["instanceId"]] = line["lifecycle"]
        return {instance for instance, state in states.items() if state == "in_service"}

    def accept(self, connection: SimulatedConnection) -> ConnectionEnd:
        """Accept a connection and return the callbacks of its server side."""
        buffered = b""

        def receive(data: bytes) -> None:
            """Answer each complete poll request."""
            nonlocal buffered
            with self.context.meter.measuring(ProcessorPart.EMULATORS):
                self.list.poll_bytes += len(data)
                *lines, buffered = (buffered + data).split(b"\n")
                for line in lines:
                    if line.startswith(b"GET "):
                        self._poll(connection, line)

        def lost() -> None:
            """Cancel the pending poll of the connection, if any."""
            if connection in self._pending_polls:
                self._pending_polls.pop(connection).timeout.cancel()

        return ConnectionEnd(receive=receive, lost=lost)

    def _replicate(self, peer: SimulatedCoordinator, lines: list[EndpointLine], stamp: ChangeStamp) -> None:
        clock, network = self.context.clock, self.context.network
        arrival = clock.now + network.stream_delay_s(self.machine, peer.machine)
        arrival = max(arrival, self._last_arrival.get(peer.region, 0.0))
        self._last_arrival[peer.region] = arrival
        clock.call_at(arrival, peer.apply, lines, stamp)

    def _poll(self, connection: SimulatedConnection, request: bytes) -> None:
        after, wait_s = parse_poll_request(request)
        self.list.poll_count += 1
        if len(self.list.events) > after:
            self._answer(connection, after)
            return
        timeout = self.context.clock.call_later(wait_s, self._answer, connection, after)
        self._pending_polls[connection] = PendingPoll(after, timeout)

    def _answer(self, connection: SimulatedConnection, after: int) -> None:
        self._pending_polls.pop(connection, None)
        connection.send(Side.SERVER, self.list.answer(after))
