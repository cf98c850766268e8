"""What many softswitches cost the coordinator that they follow and a roster server that they connect to."""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence
from typing import Any

from benchmarks.scaling.counting_emulators import Coordinator, RosterServers
from benchmarks.scaling.emulator_processes import ChangeEndpoint, EmulatorProcess, emulator_processes
from benchmarks.scaling.measurement import Measurement, MeasurementOptions, wait_until
from benchmarks.scaling.simulated_softswitches import FollowerStatus, ListFollowers, ServerClients
from benchmarks.scaling.workload import REST_S, SETTLE_S
from stairhatch.emulators.coordinator_emulator import endpoint_line

PROCESSES = 4  # that the softswitches share
LISTED = 24
UNUSED_ADDRESS = ("127.0.0.1", 9)
CHANGES = 5  # of the list; their median counts
CHANGE_PAUSE_S = 0.2
SLOW_POLL_S = 0.1


def measure_by_followers(size: int, _options: MeasurementOptions) -> Measurement:
    """By softswitches that follow one coordinator."""
    records = [endpoint_line(f"r{index}", UNUSED_ADDRESS, index) for index in range(LISTED)]
    with emulator_processes([Coordinator(records)]) as (coordinator,):
        address = coordinator.first_answer
        services = [ListFollowers(count, address) for count in _shares(size)]
        with emulator_processes(services) as followers:
            wait_until(lambda: _follower_status(followers).updates >= 1, "the list at all")
            before, after, passed = _counts_at_rest(coordinator)
            delays = [
                _seconds_until_all_have_it(coordinator, followers, records[number], updates=number + 2)
                for number in range(CHANGES)
            ]
    return Measurement(
        figures={
            "change_last_by_members": statistics.median(delays),
            "coordinator_questions_by_members": (after.polls - before.polls) / passed,
            "coordinator_bytes_by_members": (after.bytes - before.bytes) / passed,
        }
    )


def measure_by_clients(size: int, _options: MeasurementOptions) -> Measurement:
    """By softswitches with a connection to one roster server."""
    with emulator_processes([RosterServers(1)]) as (server,):
        (address,) = server.first_answer
        services = [ServerClients(count, address) for count in _shares(size)]
        with emulator_processes(services) as clients:
            wait_until(
                lambda: sum(process.status() for process in clients) == size, "all links", poll_s=SLOW_POLL_S
            )
            before, after, passed = _counts_at_rest(server)
    return Measurement(
        figures={
            "server_connections_by_senders": float(after.connections),
            "server_messages_by_senders": (after.messages_out - before.messages_out) / passed,
            "server_bytes_by_senders": (after.bytes - before.bytes) / passed,
        }
    )


def _shares(size: int) -> list[int]:
    """Return how many softswitches each process has; one without any is not started."""
    counts = [size // PROCESSES + (index < size % PROCESSES) for index in range(PROCESSES)]
    return [count for count in counts if count]


def _counts_at_rest(process: EmulatorProcess) -> tuple[Any, Any, float]:
    """Return what was counted before and after a time at rest, and its length in seconds."""
    time.sleep(SETTLE_S)
    before, began = process.status(), time.monotonic()
    time.sleep(REST_S)
    return before, process.status(), time.monotonic() - began


def _follower_status(followers: Sequence[EmulatorProcess]) -> FollowerStatus:
    """Return how far the followers of all processes have come."""
    statuses: list[FollowerStatus] = [process.status() for process in followers]
    return FollowerStatus(
        updates=min(status.updates for status in statuses),
        last_at=max(status.last_at for status in statuses),
    )


def _seconds_until_all_have_it(
    coordinator: EmulatorProcess,
    followers: Sequence[EmulatorProcess],
    record: dict[str, Any],
    updates: int,
) -> float:
    """Publish a server as leaving. Returns how long the last follower took to take that in."""
    published_at = coordinator.ask(ChangeEndpoint({**record, "lifecycle": "terminating"}))
    wait_until(lambda: _follower_status(followers).updates >= updates, "a change at all", poll_s=SLOW_POLL_S)
    delay_s: float = _follower_status(followers).last_at - published_at
    time.sleep(CHANGE_PAUSE_S)
    return delay_s
