"""The emulated roster servers of a load, with the injection of their faults and their observations."""

from __future__ import annotations

import asyncio
import random
import time

from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.processor import Processor, ProcessorProfile, ProcessorState
from stairhatch.emulators.server_emulator import ServerEmulator, ServerObserver
from stairhatch.load_test.event_loop_stall import EventLoopStall
from stairhatch.load_test.server_plan import ServerFault, ServerFaultKind, ServerPlan
from stairhatch.load_test.worker_messages import ServerObservation, ServersResult, ServerSummary

LINES = 100_000  # of each server; high enough never to limit the calls
SEED_FACTOR = 31  # keeps the seeds of up to 31 servers apart between runs


class RosterServers:
    """Group of the roster servers of a run, with their faults and the record of their observations."""

    def __init__(self, plan: ServerPlan, seed: int) -> None:
        """Create the servers of a plan, without listening; `seed` is the run's."""
        self.plan = plan
        self.record: list[ServerObservation] = []
        self.stall = EventLoopStall()
        profile = ProcessorProfile(setup_s=plan.setup_ms / 1000, max_queue_delay_s=plan.max_queue_delay_s)
        self.processors = [
            Processor(profile, random.Random(seed * SEED_FACTOR + index)) for index in range(plan.count)
        ]
        self.servers = [ServerEmulator(lines=LINES, processor=each) for each in self.processors]
        for index, server in enumerate(self.servers):
            server.observer = self._observer(f"r{index}")

    def _observer(self, name: str) -> ServerObserver:
        def observe(kind: ObservationKind, number: str) -> None:
            self.record.append(ServerObservation(time.monotonic(), kind, number, name))

        return observe

    async def open(self) -> list[int]:
        """Start listening on every server, and return their ports in order of the servers."""
        return [(await server.listen()).address[1] for server in self.servers]

    async def run(self, begin_at: float) -> None:
        """Inject the faults at their times and measure the event loop's stalls, until cancelled.

        `begin_at` is the beginning of the load in seconds of the machine's monotonic clock.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.stall.watch())
            for fault in sorted(self.plan.faults, key=lambda each: each.at_s):
                await asyncio.sleep(max(0.0, begin_at + fault.at_s - time.monotonic()))
                if fault.server < len(self.servers):
                    await self._inject(fault)

    async def _inject(self, fault: ServerFault) -> None:
        server, processor = self.servers[fault.server], self.processors[fault.server]
        now = asyncio.get_running_loop().time()
        match fault.kind:
            case ServerFaultKind.SLOW_DOWN:
                processor.slowdown = fault.slowdown
            case ServerFaultKind.HANG:
                processor.hang()
            case ServerFaultKind.RECOVER:
                processor.slowdown = 1.0
                processor.recover(now)
            case ServerFaultKind.START_COLD:
                server.abort_connections()
                processor.start_cold(now)
            case ServerFaultKind.DRAIN:
                processor.state = ProcessorState.DRAINING
            case ServerFaultKind.GO_DOWN:
                await server.close()
                processor.state = ProcessorState.GONE
            case ServerFaultKind.COME_UP:
                processor.start_cold(now)
                await server.listen(*server.address)

    def result(self) -> ServersResult:
        """Return the observations, the longest event loop stall, and a summary of each server."""
        summaries = [
            ServerSummary(each.state.value, each.rejected_count, each.wasted_work_s)
            for each in self.processors
        ]
        return ServersResult(self.record, self.stall.longest_s, summaries)
