"""A simulated softswitch: a machine with a disk, and the current incarnation of its process."""

from __future__ import annotations

from collections import Counter

from stairhatch.fault_injection.virtual_disk import VirtualDisk
from stairhatch.scale_test.call_generator import GeneratedCall
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.list_changes import RunningSoftswitch
from stairhatch.scale_test.simulated_network import Address
from stairhatch.scale_test.simulated_vote_store import SimulatedVoteStore
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.softswitch_incarnation import SoftswitchIdentity, SoftswitchIncarnation
from stairhatch.scale_test.topology import softswitch_name

FLEET_PORT = 5090
DRAIN_CHECK_INTERVAL_S = 0.05


class SimulatedSoftswitch:
    """A softswitch of a run, whether its process runs or not."""

    def __init__(self, context: SimulationContext, index: int, coordinator: Address) -> None:
        """Create a softswitch that is not started, on a machine that is on, with an empty disk."""
        self.context = context
        self.machine = index
        self.name = softswitch_name(index)
        self.address = (self.name, FLEET_PORT)
        self.machine_on = True
        self.incarnation: SoftswitchIncarnation | None = None
        self.has_instance_index = False  # holds a leased instance index
        self._disk = VirtualDisk()
        self._identity = SoftswitchIdentity(
            machine=index, name=self.name, address=self.address, coordinator=coordinator
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.incarnation is not None

    def is_ready(self) -> bool:
        """Return whether the process runs and serves."""
        return self.incarnation is not None and self.incarnation.is_ready()

    def counters(self) -> Counter[str]:
        """Return the counters of the process, empty if it does not run."""
        return (
            Counter() if self.incarnation is None else Counter(self.incarnation.call_manager.counters.counts)
        )

    def running(self) -> RunningSoftswitch | None:
        """Return machine and start time of the process, or None if it does not run."""
        if self.incarnation is None:
            return None
        return RunningSoftswitch(self.machine, self.incarnation.started_at)

    def start(self) -> None:
        """Start the process, unless it already runs or the machine is off."""
        if self.incarnation is not None or not self.machine_on:
            return
        self.incarnation = SoftswitchIncarnation(self.context, self._identity, self._disk, self.log)
        self.incarnation.start()

    def restart(self) -> bool:
        """Begin a planned restart: drain, end and start the process.

        Return False, without a restart, if no process runs or it is already shutting down.
        """
        incarnation = self.incarnation
        if incarnation is None or incarnation.call_manager.readiness.shutting_down:
            return False
        incarnation.begin_shutdown()
        deadline = self.context.clock.now + self.context.plan.drain_timeout_s
        self._end_when_drained(incarnation, deadline)
        return True

    def power_off(self) -> None:
        """Power the machine off; its peers receive no notification."""
        self.machine_on = False
        self._end(powered_off=True)

    def power_on(self) -> None:
        """Power the machine on and start the process."""
        self.machine_on = True
        self.start()

    def open_store(self) -> SimulatedVoteStore:
        """Open and return the vote store of the running process."""
        assert self.incarnation is not None
        return self.incarnation.open_store()

    def receive_datagram(self, data: bytes, sender: Address) -> None:
        """Pass a fleet datagram to the process; discard it if no process runs."""
        if self.incarnation is not None:
            self.incarnation.receive_datagram(data, sender)

    def offer(self, request: GeneratedCall) -> None:
        """Offer a call to the process; if no process runs, record the call as unreachable."""
        if self.incarnation is not None:
            self.incarnation.offer(request)
        else:
            result = SimulatedCallResult.UNREACHABLE
            self.context.calls.record_result(request, result, self.context.elapsed_s)

    def log(self, event: str, **fields: object) -> None:
        """Evaluate a log event of the process: applied list lines, leased index and faults are recorded."""
        running = self.running()
        if event == "server_listed" and running is not None:
            now = self.context.clock.now
            self.context.list_changes.record_received(running, str(fields["server"]), now)
        elif event == "fleet" and fields.get("what") == "instance_index":
            self.has_instance_index = fields["index"] != "none"
        elif event == "fault":
            self.context.record_fault(self.name, fields.get("why"))

    def _end_when_drained(self, incarnation: SoftswitchIncarnation, deadline: float) -> None:
        if self.incarnation is not incarnation:
            return
        clock = self.context.clock
        if clock.now < deadline and not incarnation.is_drained():
            clock.call_later(DRAIN_CHECK_INTERVAL_S, self._end_when_drained, incarnation, deadline)
            return
        incarnation.leave_fleet()
        self._end(powered_off=False)
        clock.call_later(self.context.plan.restart_downtime_s, self.start)

    def _end(self, powered_off: bool) -> None:
        incarnation, self.incarnation = self.incarnation, None
        if incarnation is not None:
            incarnation.end(powered_off)
