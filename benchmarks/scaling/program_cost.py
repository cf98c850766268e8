"""Measures processor time, memory, descriptors, messages and bytes of the program, run on loopback."""

from __future__ import annotations

import asyncio
import random
import statistics
import time

import uvloop

from benchmarks.scaling.callers import SEED, SoftswitchCaller, run_calls
from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.measurement import Measurement, MeasurementOptions
from benchmarks.scaling.softswitch_process import SERVING_TIMEOUT_S, SoftswitchProcess
from benchmarks.scaling.workload import (
    CALL_DURATION_S,
    CALL_RATE,
    CALLS_S,
    REST_S,
    SERVICE_SERVERS,
    SETTLE_S,
)

SMALL_LIST = 24
SHORT_REST_S = 2.0
CHANGES = 5  # of the endpoint list; the result is the median of their delays
PLACING_INTERVAL_S = 0.002


def measure_by_servers(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure the program at rest, under calls and at list changes, by servers listed.

    A figure that fails at a size is recorded as unavailable; the other figures are still measured.
    """
    measurement = Measurement()
    figures, unavailable = measurement.figures, measurement.unavailable
    with SoftswitchProcess(size) as softswitch:
        time.sleep(SETTLE_S)
        figures["program_links_by_servers"] = float(softswitch.server_counts().connections)
        figures["program_memory_by_servers"] = softswitch.memory_mb()
        figures["program_descriptors_by_servers"] = float(softswitch.descriptors())
        if softswitch.startup_s is None:
            unavailable.append(f"the softswitch was not serving after {SERVING_TIMEOUT_S:.0f} s")
        else:
            figures["program_start_by_servers"] = softswitch.startup_s
        rest = softswitch.figures_at_rest(REST_S)
        figures["program_rest_by_servers"] = rest.core_percent
        figures["program_bytes_by_servers"] = rest.server_bytes
        figures["program_messages_by_servers"] = rest.server_messages
        figures["program_list_bytes_by_servers"] = rest.list_bytes
        figures["program_list_messages_by_servers"] = rest.list_messages
        try:
            run = uvloop.run(run_calls(softswitch, CALLS_S, CALL_RATE))
            figures["program_call_by_servers"] = run.processor_ms_a_call(rest.core_percent)
        except UnavailableFigureError as error:
            unavailable.append(str(error))
        time.sleep(CALL_DURATION_S)
        try:
            figures["program_change_by_servers"] = statistics.median(
                softswitch.seconds_until_change_in_force(number) for number in range(CHANGES)
            )
        except UnavailableFigureError as error:
            unavailable.append(str(error))
    return measurement


def measure_by_rate(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure the processor time per call, by calls per second."""
    with SoftswitchProcess(SMALL_LIST) as softswitch:
        time.sleep(SETTLE_S)
        rest = softswitch.figures_at_rest(SHORT_REST_S)
        run = uvloop.run(run_calls(softswitch, CALLS_S, size))
    return Measurement(figures={"program_call_by_rate": run.processor_ms_a_call(rest.core_percent)})


def measure_by_established_calls(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure the resident memory, by established calls."""
    with SoftswitchProcess(SMALL_LIST) as softswitch:
        uvloop.run(_establish_calls(softswitch, size))
        time.sleep(SETTLE_S)
        return Measurement(figures={"program_memory_by_calls": softswitch.memory_mb()})


async def _establish_calls(softswitch: SoftswitchProcess, count: int) -> None:
    """Establish calls and keep them. Raises UnavailableFigureError if a call fails."""
    rng = random.Random(SEED)
    caller = await SoftswitchCaller.connect(softswitch.address, duration_s=0.0)
    for serial in range(1, count + 1):
        caller.place_call(serial, rng.randrange(SERVICE_SERVERS))
        await asyncio.sleep(PLACING_INTERVAL_S)
    await caller.wait_until_answered()
    if caller.failed:
        raise UnavailableFigureError(f"{caller.failed} calls failed")
    caller.transport.close()
