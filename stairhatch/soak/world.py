"""The roster servers of a trial and what the coordinators list of them.

A place is one of the servers' numbers. The server that has it may fail, be replaced, or come back; each
softswitch reaches it at a port of its own and learns of it from a coordinator of its own.
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
    """The server that has a number just now, and its port for each softswitch."""

    number: int
    server: RosterServer
    ports: list[Port]
    generation: int = 1
    is_busy: bool = False  # a failure is under way
    started_ms: int = 0


@dataclass
class World:
    """All places, and the coordinators by the index of their softswitch."""

    context: TrialContext
    coordinators: list[TrialCoordinator] = field(default_factory=list)
    places: list[Place] = field(default_factory=list)
    left_ports: list[Port] = field(default_factory=list)  # nobody listens there any more
    listed: list[dict[str, dict[str, Any]]] = field(default_factory=list)  # lines, by softswitch and id

    async def open(self) -> None:
        """Open all ports and coordinators, and list all servers."""
        context = self.context
        for index in range(context.deployment.softswitches):
            coordinator = TrialCoordinator(f"n{index}", context.record, context.rng)
            self.coordinators.append(await coordinator.listen_at_any_port())
            self.listed.append({})
        for number in range(context.deployment.servers):
            server = self._new_server(f"s-{number}", number)
            self.places.append(Place(number, server, self._new_ports(server)))
        for place in self.places:
            self._note_line(place, IN_SERVICE)

    def close(self) -> None:
        """End everything."""
        for coordinator in self.coordinators:
            coordinator.close()
        for place in self.places:
            place.server.is_alive = False
            place.server.abort_connections()
        for port in [*self.left_ports, *(each for place in self.places for each in place.ports)]:
            port.close()

    # ---- servers ----

    def _new_server(self, instance: str, number: int) -> RosterServer:
        return RosterServer(instance, number, self.context)

    def _new_ports(self, server: RosterServer) -> list[Port]:
        ports = [Port(partial(server.accept, index)) for index in range(self.context.deployment.softswitches)]
        for port in ports:
            port.accept()
        return ports

    def may_fail(self, place: Place) -> bool:
        """Whether a server may fail now: it has not failed already, and others are left."""
        others = [each for each in self.places if each is not place and not each.is_busy]
        return not place.is_busy and place.server.is_alive and len(others) >= 1

    def restart(self, place: Place) -> None:
        """Start the server's process again, under its id and at its address."""
        self._occupy(place, place.server.instance)

    def replace(self, place: Place, same_address: bool) -> None:
        """Start another machine, by a new id, at the same address or at another."""
        place.generation += 1
        instance = f"s-{place.number}-{place.generation}"
        if same_address:
            self._occupy(place, instance)
            return
        old_ports = place.ports
        self.left_ports += old_ports
        place.server = self._new_server(instance, place.number)
        place.server.start_cold()
        place.ports = self._new_ports(place.server)
        place.started_ms = _now_ms()
        place.is_busy = False
        for port in old_ports:
            port.refuse()

    def _occupy(self, place: Place, instance: str) -> None:
        place.server = self._new_server(instance, place.number)
        place.server.start_cold()
        place.started_ms = _now_ms()
        place.is_busy = False
        for index, port in enumerate(place.ports):
            port.on_accept = partial(place.server.accept, index)
            port.accept()

    # ---- the endpoint list ----

    def publish(self, place: Place, lifecycle: str, instance: str = "") -> None:
        """Publish what has become of the server of a place, or of one that had it before."""
        for index, line in enumerate(self._note_line(place, lifecycle, instance)):
            self.coordinators[index].publish([line])

    def publish_start(self, place: Place) -> None:
        """Publish that the server of a place is in service, with its start."""
        self.publish(place, IN_SERVICE)

    def known(self, softswitch: int) -> dict[str, Any]:
        """Begin the numbering of events anew for a process that starts; returns its known events."""
        coordinator = self.coordinators[softswitch]
        coordinator.begin_anew(list(self.listed[softswitch].values()))
        return {"index": len(coordinator.events), "updates": list(coordinator.events)}

    def _note_line(self, place: Place, lifecycle: str, instance: str = "") -> list[dict[str, Any]]:
        """Return the line of a server for each softswitch, which its list has from now on."""
        name = instance or place.server.instance
        lines = []
        for index, listed in enumerate(self.listed):
            address = (HOST, place.ports[index].number)
            line = {**endpoint_line(name, address, place.number, lifecycle, place.started_ms)}
            if instance:  # it is known already: the list says only what has become of it
                line = {**listed.get(name, line), "lifecycle": lifecycle}
            lines.append(line)
            listed[name] = line
            if lifecycle == TERMINATED:
                del listed[name]
        return lines


def _now_ms() -> int:
    return int(time.time() * 1000)
