"""Real processes on loopback, which meet one warming server after another."""

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
MEMBERS = (20, 30)  # of even and of odd seeds
SCENARIOS = (Scenario.CALM, Scenario.RESTARTED, Scenario.LATE, Scenario.ALONE)
SCENARIO_S = 13.0  # of each scenario, one after the other
LATE_S = 3.0
LEARNING_S = 2.5 * CALL_DURATION_S
POLL_INTERVAL_S = 0.1


def settings_json(members: int) -> dict[str, Any]:
    """Return the settings of all members but for the instance index."""
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
    """All scenarios of one seed, one after the other; each replaces server number 0 by one that warms up."""

    def __init__(self, seed: int, directory: Path) -> None:
        self.seed = seed
        self.member_count = MEMBERS[seed % 2]
        self._directory = directory
        self._rng = random.Random(seed)
        self._host = loopback_host()
        self._coordinators = (CoordinatorEmulator(), CoordinatorEmulator())  # of the prompt and the late half
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._addresses = {n: (self._host, free_port(self._host)) for n in range(self.member_count)}
        self._servers: dict[str, WarmableServer] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._settings = settings_json(self.member_count)

    async def run(self) -> list[dict[str, Any]]:
        """Play every scenario. Returns what was counted, as it is kept."""
        try:
            await self._start()
            return [await self._play(scenario, index) for index, scenario in enumerate(SCENARIOS)]
        finally:
            await self._end()

    async def _start(self) -> None:
        """Start servers, members and callers, and let the members learn what the servers can bear."""
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
        while not self._all_ready():  # noqa: ASYNC110 - it is read in their logs: there is no event
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
        """Start a member, or the next one under its number."""
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
        """Return whether every member has logged that it is ready."""
        return all(" ready " in self._log_path(number).read_text() for number in self._processes)

    async def _start_server(self, name: str) -> WarmableServer:
        server = self._servers[name] = WarmableServer(self._rng.getrandbits(60))
        await server.listen(self._host)
        return server

    def _publish(self, records: list[dict[str, Any]], late_s: float = 0.0) -> None:
        """Publish a change at both coordinators, at the second one so much later."""
        prompt, late = self._coordinators
        prompt.publish(records)
        asyncio.get_running_loop().call_later(late_s, late.publish, records)

    async def _play(self, scenario: Scenario, index: int) -> dict[str, Any]:
        """Replace the server of number 0 by one that warms up, and do what the scenario says."""
        old_name = "r0" if index == 0 else f"c{index - 1}"
        server = await self._start_server(f"c{index}")
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert server.processor is not None
        server.processor.start_cold(began)
        await self._replace_server(old_name, f"c{index}", LATE_S if scenario is Scenario.LATE else 0.0)
        await asyncio.sleep(self._rng.uniform(2.0, 4.0))
        killed = self._restart_half() if scenario is Scenario.RESTARTED else 0
        if scenario is Scenario.ALONE:
            await self._lose_other_servers()
        await asyncio.sleep(began + SCENARIO_S - loop.time())
        setup_times_s = [at - began for at in server.setup_times_s]
        result = SlowStartResult(setup_times_s=setup_times_s, site=SITE, activations=killed)
        has_fallen = server.processor.state is ProcessorState.CRASHED
        return self._result_json(scenario, result, has_fallen)

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
        """Kill half of the members and start them again. Returns how many."""
        numbers = self._rng.sample(range(self.member_count), self.member_count // 2)
        for number in numbers:
            self._processes[number].kill()
            self._processes[number].wait()
            self._start_member(number)
        return len(numbers)

    async def _lose_other_servers(self) -> None:
        names = {number: f"r{number}" for number in range(1, SITE.servers)}
        self._publish(
            [
                endpoint_line(name, self._servers[name].address, number, "terminated")
                for number, name in names.items()
            ]
        )
        for name in names.values():
            await self._servers[name].close()

    def _result_json(self, scenario: Scenario, result: SlowStartResult, has_fallen: bool) -> dict[str, Any]:
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
            "fell": has_fallen,
        }
