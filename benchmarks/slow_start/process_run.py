"""Runs slow start scenarios with real processes on loopback, one warming server after another."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.platform_settings import complete_settings
from benchmarks.slow_start.real_servers import CALL_DURATION_S, SITE, MemberCallers, WarmableServer
from benchmarks.slow_start.results import SlowStartResult
from benchmarks.slow_start.scenarios import Scenario
from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, endpoint_line
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.processor import ProcessorState
from stairhatch.fault_injection.member_config import loopback_host
from stairhatch.node.address import format_address

ROOT = Path(__file__).resolve().parents[2]
MEMBERS = (20, 30)  # number of members for even and for odd seeds
SCENARIOS = (Scenario.CALM, Scenario.RESTARTED, Scenario.LATE, Scenario.ALONE)
SCENARIO_S = 13.0  # duration of each scenario
LATE_S = 3.0  # delay of the second coordinator's list in the scenario LATE
LEARNING_S = 2.5 * CALL_DURATION_S  # duration of calls before the first scenario
POLL_INTERVAL_S = 0.1


def settings_json(members: int) -> dict[str, Any]:
    """Return the settings that are common to all members: all but the instance index."""
    safety = SITE.safety
    return {
        "balancers": members,
        "classes": [
            {"name": "read-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1, "late_worth": 0.2}
        ],
        "family_info": {
            "allowed_pools": [[0, 1, 2, 3]],
            "clear_wait_s": 0.5,
            "retransmit_s": SITE.retransmit_s,
            "call_length_s": [CALL_DURATION_S],
        },
        "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
        "permissions": {
            "send_cap": 6,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_s": 2.0,
            "connect_timeout_s": SITE.connect_timeout_s,
        },
        "safety": {
            "answer_slack_s": 0.02,
            "drain_grace_s": 1.0,
            "cold_from": safety.initial_capacity_fraction,
            "warm_after_s": safety.warm_up_s,
            "fall_multiple": safety.overload_multiple,
            "fall_s": safety.overload_window_s,
        },
    }


class SlowStartProcessRun:
    """A run of all scenarios with one seed; each scenario replaces server number 0 by a warming server."""

    def __init__(self, seed: int, directory: Path) -> None:
        self.seed = seed
        self.member_count = MEMBERS[seed % 2]
        self._directory = directory
        self._rng = random.Random(seed)
        self._host = loopback_host()
        # Each coordinator has half of the members; the second one may publish late.
        self._coordinators = (CoordinatorEmulator(), CoordinatorEmulator())
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._addresses = {n: (self._host, free_port(self._host)) for n in range(self.member_count)}
        self._servers: dict[str, WarmableServer] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._settings = settings_json(self.member_count)

    async def run(self) -> list[dict[str, Any]]:
        """Run all scenarios in turn. Returns their results as JSON objects."""
        try:
            await self._start()
            return [await self._run_scenario(scenario, index) for index, scenario in enumerate(SCENARIOS)]
        finally:
            await self._end()

    async def _start(self) -> None:
        """Start servers, members and callers, and wait while the members learn the servers' capacities."""
        for coordinator in self._coordinators:
            await coordinator.listen(self._host)
        names = [f"r{number}" for number in range(SITE.servers)]
        records = [
            endpoint_line(name, (await self._start_server(name)).address, number)
            for number, name in enumerate(names)
        ]
        self._publish(records)
        await asyncio.sleep(0.05)
        for number in range(self.member_count):
            self._start_member(number)
        while not self._all_ready():  # noqa: ASYNC110 - only the logs show readiness
            await asyncio.sleep(POLL_INTERVAL_S)
        rate = SITE.capacity * SITE.load * SITE.servers / self.member_count
        for address in self._addresses.values():
            callers = MemberCallers(rate, self._rng.getrandbits(60))
            self._tasks.append(asyncio.create_task(callers.run(address)))
        await asyncio.sleep(LEARNING_S)

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            process.kill()
            process.wait()
        for server in self._servers.values():
            await server.close()
        for coordinator in self._coordinators:
            coordinator.close()

    def _start_member(self, number: int) -> None:
        """Start a member, or start it again after it was killed."""
        coordinator = self._coordinators[number % 2]
        config = {
            "name": f"n{number}",
            "listen": format_address(self._addresses[number]),
            "console": f"{self._host}:{free_port(self._host)}",
            "seed": str(self._rng.getrandbits(60)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": format_address(coordinator.address),
            "known": {"index": len(coordinator.events), "updates": list(coordinator.events)},
            "settings": complete_settings({**self._settings, "me": number}),
        }
        path = self._directory / f"n{number}.json"
        path.write_text(json.dumps(config))
        with self._log_path(number).open("ab") as log:
            self._processes[number] = subprocess.Popen(
                [sys.executable, "-m", "stairhatch"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "RELAY_CONFIG": str(path), "TMPDIR": str(self._directory)},
            )

    def _log_path(self, number: int) -> Path:
        return self._directory / f"n{number}.log"

    def _all_ready(self) -> bool:
        """Return whether the log of every member contains the event `ready`."""
        return all(" ready " in self._log_path(number).read_text() for number in self._processes)

    async def _start_server(self, name: str) -> WarmableServer:
        server = self._servers[name] = WarmableServer(self._rng.getrandbits(60))
        await server.listen(self._host)
        return server

    def _publish(self, records: list[dict[str, Any]], late_s: float = 0.0) -> None:
        """Publish records at the first coordinator now, and at the second one `late_s` seconds later."""
        prompt, late = self._coordinators
        prompt.publish(records)
        asyncio.get_running_loop().call_later(late_s, late.publish, records)

    async def _run_scenario(self, scenario: Scenario, index: int) -> dict[str, Any]:
        """Run one scenario: replace server number 0 by a warming server, and disturb the fleet meanwhile.

        Returns the result as a JSON object.
        """
        old_name = "r0" if index == 0 else f"c{index - 1}"
        server = await self._start_server(f"c{index}")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert server.processor is not None
        server.processor.start_cold(started_at)
        await self._replace_server(old_name, f"c{index}", LATE_S if scenario is Scenario.LATE else 0.0)
        await asyncio.sleep(self._rng.uniform(2.0, 4.0))
        killed = self._restart_half() if scenario is Scenario.RESTARTED else 0
        if scenario is Scenario.ALONE:
            await self._remove_other_servers()
        await asyncio.sleep(started_at + SCENARIO_S - loop.time())
        setup_times_s = [at - started_at for at in server.setup_times_s]
        result = SlowStartResult(setup_times_s=setup_times_s, site=SITE, activations=killed)
        has_crashed = server.processor.state is ProcessorState.CRASHED
        return self._result_json(scenario, result, has_crashed)

    async def _replace_server(self, old_name: str, name: str, late_s: float) -> None:
        old, new = self._servers[old_name], self._servers[name]
        self._publish(
            [
                endpoint_line(old_name, old.address, 0, "terminated"),
                endpoint_line(name, new.address, 0, "in_service", int(1000 * time.time())),
            ],
            late_s,
        )
        await old.close()

    def _restart_half(self) -> int:
        """Kill half of the members and start them again. Returns the number of restarted members."""
        numbers = self._rng.sample(range(self.member_count), self.member_count // 2)
        for number in numbers:
            self._processes[number].kill()
            self._processes[number].wait()
            self._start_member(number)
        return len(numbers)

    async def _remove_other_servers(self) -> None:
        names = {number: f"r{number}" for number in range(1, SITE.servers)}
        self._publish(
            [
                endpoint_line(name, self._servers[name].address, number, "terminated")
                for number, name in names.items()
            ]
        )
        for name in names.values():
            await self._servers[name].close()

    def _result_json(self, scenario: Scenario, result: SlowStartResult, has_crashed: bool) -> dict[str, Any]:
        window = result.fullest_window()
        return {
            "seed": self.seed,
            "processes": self.member_count,
            "story": scenario.value,
            "killed": result.activations,
            "fullest": window.setups,
            "begun_s": round(window.began_s, 2),
            "budget": round(SITE.budget(window.began_s), 1),
            "bound": round(SITE.bound(window.began_s), 1),
            "share": round(window.bound_fraction, 3),
            "early": result.early_setups(),
            "bearable": round(result.bearable_early_setups()),
            "fell": has_crashed,
        }
