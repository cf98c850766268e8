"""The network and event loop of the fleet of a simulated softswitch."""

from __future__ import annotations

from stairhatch.fleet.runtime import FleetRuntime
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.simulated_network import Address
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.virtual_clock import ProcessClock


class SimulatedFleetNetwork(ProcessClock):
    """The part of `Network` that `FleetRuntime` uses, on the virtual clock and the simulated network."""

    def __init__(self, context: SimulationContext, machine: int, address: Address) -> None:
        """For one incarnation of the softswitch on a machine."""
        super().__init__(context.clock, context.meter, ProcessorPart.LEASES)
        self.context = context
        self.machine = machine
        self.address = address

    @property
    def loop(self) -> SimulatedFleetNetwork:
        """The event loop: the scheduling methods of this object."""
        return self

    def open_datagram_port(self, address: Address, port: FleetRuntime) -> None:  # noqa: ARG002 - its own
        """Send the datagrams of the fleet over the simulated network."""

        def send() -> None:
            """Send what the fleet has written, unless its process has ended."""
            while port.output:
                data, (host, _) = port.output.popleft()
                if not self.has_ended:
                    self.context.network.send_datagram(self.machine, self.address, host, data)

        port.notify_writable = send
