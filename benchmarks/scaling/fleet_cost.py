"""Measures the load of many softswitches on the coordinator and on one roster server."""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence
from typing import Any

from benchmarks.scaling.counting_emulators import Coordinator, RosterServers
from benchmarks.scaling.emulator_processes import ChangeEndpointRequest, EmulatorProcess, emulator_processes
from benchmarks.scaling.measurement import Measurement, MeasurementOptions, wait_until
from benchmarks.scaling.simulated_softswitches import FollowerStatus, ListFollowers, ServerClients
from benchmarks.scaling.workload import REST_S, SETTLE_S
from stairhatch.emulators.coordinator_emulator import endpoint_line

PROCESSES = 4  # among which the softswitches are divided
LISTED = 24
UNUSED_ADDRESS = ("127.0.0.1", 9)
CHANGES = 5  # of the endpoint list; the result is the median of their delays
CHANGE_PAUSE_S = 0.2
SLOW_POLL_S = 0.1


def measure_by_followers(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure propagation delay, polls and bytes of the endpoint list, by softswitches that follow it."""
    records = [endpoint_line(f"r{index}", UNUSED_ADDRESS, index) for index in range(LISTED)]
    with emulator_processes([Coordinator(records)]) as (coordinator,):
        address = coordinator.start_message
        services = [ListFollowers(count, address) for count in _softswitches_per_process(size)]
        with emulator_processes(services) as followers:
            wait_until(
                lambda: _follower_status(followers).updates >= 1, "the first endpoint list at every follower"
            )
            before, after, elapsed_s = _counts_at_rest(coordinator)
            delays = [
                _seconds_until_all_updated(coordinator, followers, records[number], updates=number + 2)
                for number in range(CHANGES)
            ]
    return Measurement(
        figures={
            "change_last_by_members": statistics.median(delays),
            "coordinator_questions_by_members": (after.polls - before.polls) / elapsed_s,
            "coordinator_bytes_by_members": (after.bytes - before.bytes) / elapsed_s,
        }
    )


def measure_by_clients(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure connections, load reports and bytes at one roster server, by softswitches connected to it."""
    with emulator_processes([RosterServers(1)]) as (server,):
        (address,) = server.start_message
        services = [ServerClients(count, address) for count in _softswitches_per_process(size)]
        with emulator_processes(services) as clients:
            wait_until(
                lambda: sum(process.status() for process in clients) == size,
                "the connections of all softswitches",
                poll_s=SLOW_POLL_S,
            )
            before, after, elapsed_s = _counts_at_rest(server)
    return Measurement(
        figures={
            "server_connections_by_senders": float(after.connections),
            "server_messages_by_senders": (after.messages_out - before.messages_out) / elapsed_s,
            "server_bytes_by_senders": (after.bytes - before.bytes) / elapsed_s,
        }
    )


def _softswitches_per_process(size: int) -> list[int]:
    """Divide softswitches among processes. Returns the number of each process; 0 is left out."""
    counts = [size // PROCESSES + (index < size % PROCESSES) for index in range(PROCESSES)]
    return [count for count in counts if count]


def _counts_at_rest(process: EmulatorProcess) -> tuple[Any, Any, float]:
    """Return the counts before and after an interval without calls, and the interval in seconds."""
    time.sleep(SETTLE_S)
    before, began = process.status(), time.monotonic()
    time.sleep(REST_S)
    return before, process.status(), time.monotonic() - began


def _follower_status(followers: Sequence[EmulatorProcess]) -> FollowerStatus:
    """Return the smallest update count and the latest update time of the followers of all processes."""
    statuses: list[FollowerStatus] = [process.status() for process in followers]
    return FollowerStatus(
        updates=min(status.updates for status in statuses),
        last_update_at=max(status.last_update_at for status in statuses),
    )


def _seconds_until_all_updated(
    coordinator: EmulatorProcess,
    followers: Sequence[EmulatorProcess],
    record: dict[str, Any],
    updates: int,
) -> float:
    """Publish a server as terminating. Returns the seconds until the last follower has applied the update."""
    published_at = coordinator.request(ChangeEndpointRequest({**record, "lifecycle": "terminating"}))
    wait_until(
        lambda: _follower_status(followers).updates >= updates,
        "a changed endpoint list at every follower",
        poll_s=SLOW_POLL_S,
    )
    delay_s: float = _follower_status(followers).last_update_at - published_at
    time.sleep(CHANGE_PAUSE_S)
    return delay_s
