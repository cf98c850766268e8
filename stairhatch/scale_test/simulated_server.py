"""A simulated roster server, which runs protocol and processor model of the emulator on the virtual clock."""

from __future__ import annotations

from typing import Any

from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.processor import ProcessorState
from stairhatch.emulators.server_emulator import ServerEmulator, ServerEmulatorConnection
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.roster_processor import create_processor
from stairhatch.scale_test.simulated_connection import ConnectionEnd, Side, SimulatedConnection
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.topology import instance_name

SERVER_PORT = 7000
HOSTS_PER_SUBNET = 250


class SimulatedTransport:
    """Replacement for the emulator's asyncio transport that writes to the server side of a connection."""

    def __init__(self, connection: SimulatedConnection) -> None:
        """Create a transport for a simulated connection."""
        self._connection = connection

    def write(self, data: bytes) -> None:
        """Send bytes to the softswitch."""
        self._connection.send(Side.SERVER, data)

    def abort(self) -> None:
        """Close the connection from the server side."""
        self._connection.close(Side.SERVER)

    close = abort


class SimulatedServer:
    """A machine with a roster server, whose process can be replaced by a cold one."""

    def __init__(self, context: SimulationContext, index: int) -> None:
        """Create a warm server on a machine that is powered on."""
        self.context = context
        self.machine = index
        subnet, host = divmod(index, HOSTS_PER_SUBNET)
        self.address = (f"10.0.{subnet}.{host + 1}", SERVER_PORT)
        self.cold_start_count = 0
        self.machine_on = True
        # arrival times of set-ups at the cold server, by cold start
        self.cold_setup_times: list[list[float]] = []
        self.processor = create_processor(context.plan, index)
        self.emulator = ServerEmulator(
            lines=context.plan.server.call_capacity,
            processor=self.processor,
            timers=context.emulator_clock,
            load_report_interval_s=context.plan.server.load_report_interval_s,
        )
        self.emulator.observer = self._observe
        self._connections: dict[SimulatedConnection, None] = {}

    @property
    def instance(self) -> str:
        """The instance name of the current process in the endpoint list."""
        return instance_name(self.machine, self.cold_start_count)

    def endpoint_line(self, state: str = "in_service") -> dict[str, Any]:
        """Return the endpoint list line of the current process, with the given lifecycle state."""
        started_at = self.processor.started_cold_at
        started_ms = int(1000 * started_at) if started_at else 0
        return endpoint_line(self.instance, self.address, self.machine, state, started_ms)

    def is_machine_on(self) -> bool:
        """Return whether the machine is powered on."""
        return self.machine_on

    def is_listening(self) -> bool:
        """Return whether the process accepts connections: it has neither crashed nor ended."""
        return self.processor.state not in (ProcessorState.CRASHED, ProcessorState.GONE)

    def accept(self, connection: SimulatedConnection) -> ConnectionEnd:
        """Accept a connection and return the callbacks of its server side."""
        meter = self.context.meter
        protocol = ServerEmulatorConnection(self.emulator)
        self._connections[connection] = None

        def receive(data: bytes) -> None:
            """Pass bytes to the emulator and charge the time to the emulators."""
            meter.enter(ProcessorPart.EMULATORS)
            protocol.data_received(data)
            meter.leave()

        def lost() -> None:
            """Notify the emulator that the connection has ended."""
            self._connections.pop(connection, None)
            protocol.connection_lost(None)

        self.context.emulator_clock.call_soon(protocol.connection_made, SimulatedTransport(connection))
        return ConnectionEnd(receive=receive, lost=lost)

    def kill(self) -> None:
        """End the process, which closes its connections to the softswitches."""
        self.emulator.abort_connections()
        self._connections.clear()

    def power_off(self) -> None:
        """Power the machine off; its peers receive no notification."""
        for connection in self._connections:
            connection.drop()
        self.kill()
        self.machine_on = False

    def start_cold(self) -> None:
        """Start a cold process; the machine is powered on if it was off."""
        self.cold_start_count += 1
        self.machine_on = True
        self.cold_setup_times.append([])
        self.processor.start_cold(self.context.clock.now)

    def _observe(self, kind: ObservationKind, called_number: str) -> None:
        now = self.context.clock.now
        if kind is ObservationKind.ESTABLISHED:
            self.context.calls.record_server(called_number, self.machine)
        elif kind is ObservationKind.SETUP_RECEIVED and self.cold_setup_times and self._is_cold(now):
            self.cold_setup_times[-1].append(now)

    def _is_cold(self, now: float) -> bool:
        started_at = self.processor.started_cold_at
        return started_at is not None and now - started_at < self.processor.profile.warm_up_s
