"""A simulated coordinator: the endpoint list of one region, answered by long polls on the virtual clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from stairhatch.emulators.coordinator_emulator import EndpointEventLog, parse_poll_request
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.simulated_connection import ConnectionEnd, Side, SimulatedConnection
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.virtual_clock import ScheduledEvent

COORDINATOR_PORT = 8000

EndpointLine = dict[str, Any]  # as the list has it in JSON


class ChangeStamp(NamedTuple):
    """Orders changes of one line: the later one applies, and of two at one time the higher region's."""

    time: float
    region: int


@dataclass(frozen=True, slots=True)
class PendingPoll:
    """A long poll that waits for the next change."""

    after: int  # the last change that the softswitch knows
    timeout: ScheduledEvent


class SimulatedCoordinator:
    """The coordinator of one region. A change made at it is replicated to those of the other regions."""

    def __init__(self, context: SimulationContext, region: int) -> None:
        """Start with an empty list."""
        self.context = context
        self.region = region
        self.machine = context.topology.first_machine_in_region(region)
        self.address = (f"10.9.{region}.1", COORDINATOR_PORT)
        self.list = EndpointEventLog()
        self.peers: list[SimulatedCoordinator] = []  # of the other regions
        self.superseded = 0  # lines that came after a newer one
        self._pending_polls: dict[SimulatedConnection, PendingPoll] = {}
        self._stamps: dict[str, ChangeStamp] = {}  # of the last change, by instance
        self._last_arrival: dict[int, float] = {}  # of what was replicated, by region

    def is_machine_on(self) -> bool:
        """Return whether its machine is on: always."""
        return True

    def is_listening(self) -> bool:
        """Return whether it takes connections: always."""
        return True

    def set_initial_list(self, lines: list[EndpointLine]) -> None:
        """Have these lines from the beginning, older than any change."""
        self._stamps.update((line["instanceId"], ChangeStamp(0.0, self.region)) for line in lines)
        self.list.publish(lines, reset=True)

    def change(self, lines: list[EndpointLine]) -> None:
        """Change lines of the list, here and then in the other regions."""
        stamp = ChangeStamp(self.context.clock.now, self.region)
        self.apply(lines, stamp)
        for peer in self.peers:
            self._replicate(peer, lines, stamp)

    def apply(self, lines: list[EndpointLine], stamp: ChangeStamp) -> None:
        """Take a change, unless a newer one of the line is known, and answer the pending polls."""
        newer = [line for line in lines if stamp >= self._stamps.get(line["instanceId"], stamp)]
        self.superseded += len(lines) - len(newer)
        self._stamps.update((line["instanceId"], stamp) for line in newer)
        if newer:
            self.list.publish(newer)
            for connection, poll in list(self._pending_polls.items()):
                poll.timeout.cancel()
                self._answer(connection, poll.after)

    def instances_in_service(self) -> set[str]:
        """Return the roster servers that are in service by the list as it is now."""
        states: dict[str, str] = {}
        for event in self.list.events:
            for line in event["endpoints"]["instances"]:
                states[line["instanceId"]] = line["lifecycle"]
        return {instance for instance, state in states.items() if state == "in_service"}

    def accept(self, connection: SimulatedConnection) -> ConnectionEnd:
        """Accept a connection, and return its server side."""
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
            """Drop the poll that waits on the connection."""
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
