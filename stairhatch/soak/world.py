"""Emulated environment of a trial: the roster servers, and the endpoint lists of the coordinators.

A server's number identifies its place. The server at a place can fail, restart, or be replaced by another
one. Each softswitch reaches the place at a separate port and has a separate coordinator.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.soak.coordinator import TrialCoordinator
from stairhatch.soak.port import HOST, Port
from stairhatch.soak.roster_server import RosterServer, TrialContext

IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"


@dataclass
class Place:
    """Place of a roster server: its number, the present server, and one port for each softswitch."""

    number: int
    server: RosterServer
    ports: list[Port]
    generation: int = 1  # incremented with each replacement server
    is_busy: bool = False  # a failure is in progress
    started_ms: int = 0  # the start of the server's process in Unix time; 0 for the first one


@dataclass
class World:
    """Environment of a trial: all places, and a coordinator for each softswitch, by its index."""

    context: TrialContext
    coordinators: list[TrialCoordinator] = field(default_factory=list)
    places: list[Place] = field(default_factory=list)
    former_ports: list[Port] = field(default_factory=list)  # of former addresses; they refuse connections
    # The lines of the endpoint list of each softswitch, by instance id.
    listed_lines: list[dict[str, dict[str, Any]]] = field(default_factory=list)

    async def open(self) -> None:
        """Start the coordinators and servers and put all servers on the endpoint lists.

        Raises OSError if a port cannot be bound.
        """
        context = self.context
        for index in range(context.deployment.softswitches):
            coordinator = TrialCoordinator(f"n{index}", context.record, context.rng)
            self.coordinators.append(await coordinator.listen_at_any_port())
            self.listed_lines.append({})
        for number in range(context.deployment.servers):
            server = self._new_server(f"s-{number}", number)
            self.places.append(Place(number, server, self._new_ports(server)))
        for place in self.places:
            self._update_lines(place, IN_SERVICE)

    def close(self) -> None:
        """Close all coordinators, connections and ports."""
        for coordinator in self.coordinators:
            coordinator.close()
        for place in self.places:
            place.server.is_alive = False
            place.server.abort_connections()
        for port in [*self.former_ports, *(each for place in self.places for each in place.ports)]:
            port.close()

    # ---- starting and replacing servers ----

    def _new_server(self, instance: str, number: int) -> RosterServer:
        return RosterServer(instance, number, self.context)

    def _new_ports(self, server: RosterServer) -> list[Port]:
        ports = [Port(partial(server.accept, index)) for index in range(self.context.deployment.softswitches)]
        for port in ports:
            port.accept()
        return ports

    def may_fail(self, place: Place) -> bool:
        """Return whether the server at a place may fail now.

        It may if it is alive without a failure in progress, and at least one other place has none either.
        """
        others = [each for each in self.places if each is not place and not each.is_busy]
        return not place.is_busy and place.server.is_alive and len(others) >= 1

    def restart(self, place: Place) -> None:
        """Start a new process of the server at a place, with the same instance id and address."""
        self._start_at_same_address(place, place.server.instance)

    def replace(self, place: Place, same_address: bool) -> None:
        """Start a replacement server with a new instance id, at the same address or at a new one."""
        place.generation += 1
        instance = f"s-{place.number}-{place.generation}"
        if same_address:
            self._start_at_same_address(place, instance)
            return
        old_ports = place.ports
        self.former_ports += old_ports
        place.server = self._new_server(instance, place.number)
        place.server.start_cold()
        place.ports = self._new_ports(place.server)
        place.started_ms = _now_ms()
        place.is_busy = False
        for port in old_ports:
            port.refuse()

    def _start_at_same_address(self, place: Place, instance: str) -> None:
        place.server = self._new_server(instance, place.number)
        place.server.start_cold()
        place.started_ms = _now_ms()
        place.is_busy = False
        for index, port in enumerate(place.ports):
            port.on_accept = partial(place.server.accept, index)
            port.accept()

    # ---- the endpoint list ----

    def publish(self, place: Place, lifecycle: str, instance: str = "") -> None:
        """Publish a lifecycle for the server at a place, or for the `instance` that was there before."""
        for index, line in enumerate(self._update_lines(place, lifecycle, instance)):
            self.coordinators[index].publish([line])

    def publish_start(self, place: Place) -> None:
        """Publish that the server at a place is in service, with the time of its start."""
        self.publish(place, IN_SERVICE)

    def known_events(self, softswitch: int) -> dict[str, Any]:
        """Restart the event numbering of a softswitch's coordinator and return the `known` object.

        That object is part of the configuration of a softswitch process that is about to start.
        """
        coordinator = self.coordinators[softswitch]
        coordinator.restart_numbering(list(self.listed_lines[softswitch].values()))
        return {"index": len(coordinator.events), "updates": list(coordinator.events)}

    def _update_lines(self, place: Place, lifecycle: str, instance: str = "") -> list[dict[str, Any]]:
        """Update a server's line on every softswitch's list and return the lines, by softswitch index.

        A terminated server's line is removed from the lists and still returned.
        """
        listed_name = instance or place.server.instance
        lines = []
        for index, listed_lines in enumerate(self.listed_lines):
            address = (HOST, place.ports[index].number)
            line = {**endpoint_line(listed_name, address, place.number, lifecycle, place.started_ms)}
            if instance:  # a listed server keeps its line, only the lifecycle changes
                line = {**listed_lines.get(listed_name, line), "lifecycle": lifecycle}
            lines.append(line)
            listed_lines[listed_name] = line
            if lifecycle == TERMINATED:
                del listed_lines[listed_name]
        return lines


def _now_ms() -> int:
    return int(time.time() * 1000)
