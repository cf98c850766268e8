"""Network and event loop for the fleet member of a simulated softswitch."""

from __future__ import annotations

from stairhatch.fleet.runtime import FleetRuntime
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.simulated_network import Address
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.virtual_clock import ProcessClock


class SimulatedFleetNetwork(ProcessClock):
    """Simulated replacement for the part of `Network` that `FleetRuntime` uses, including its event loop."""

    def __init__(self, context: SimulationContext, machine: int, address: Address) -> None:
        """Create the network of one softswitch incarnation; `address` is its fleet's datagram port."""
        super().__init__(context.clock, context.meter, ProcessorPart.LEASES)
        self.context = context
        self.machine = machine
        self.address = address

    @property
    def loop(self) -> SimulatedFleetNetwork:
        """The event loop; this object has its scheduling methods."""
        return self

    def open_datagram_port(self, address: Address, port: FleetRuntime) -> None:  # noqa: ARG002 - not needed
        """Connect the fleet member's datagram output to the simulated network."""

        def send() -> None:
            """Send all queued datagrams; discard them if the process has ended."""
            while port.output:
                data, (host, _) = port.output.popleft()
                if not self.has_ended:
                    self.context.network.send_datagram(self.machine, self.address, host, data)

        port.notify_writable = send
