"""Measures the set-up time that the softswitch adds to a call."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

import uvloop

from benchmarks.scaling.callers import ServerCaller, SoftswitchCaller, run_poisson_process
from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.measurement import Measurement, MeasurementOptions
from benchmarks.scaling.softswitch_process import SoftswitchProcess
from benchmarks.scaling.workload import CALL_DURATION_S, CALL_RATE, SERVICE_SERVERS, SETTLE_S

BLOCKS = 7  # of calls through the softswitch, alternating with as many blocks of direct calls
WARM_UP_BLOCKS = 2  # one through the softswitch and one direct; their times are discarded
BLOCK_S = 1.0
PAUSE_S = 0.1  # between two blocks
SEED = 5
QUANTILES = {"p50": 0.5, "p99": 0.99}


def measure_by_servers(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure added and direct set-up times, in milliseconds, for a number of listed servers."""
    with SoftswitchProcess(size) as softswitch:
        time.sleep(SETTLE_S)
        through_s, direct_s = uvloop.run(_setup_times(softswitch))
    measurement = Measurement()
    for name, fraction in QUANTILES.items():
        through_ms, direct_ms = (1000 * quantile(times, fraction) for times in (through_s, direct_s))
        measurement.figures[f"added_{name}_by_servers"] = through_ms - direct_ms
        measurement.figures[f"direct_{name}_by_servers"] = direct_ms
    return measurement


def quantile(values: list[float], fraction: float) -> float:
    """Return the nearest-rank quantile of the values; `fraction` is between 0 and 1."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


async def _setup_times(softswitch: SoftswitchProcess) -> tuple[list[float], list[float]]:
    """Return set-up times in seconds: those through the softswitch, and those directly at the servers.

    Blocks of the two kinds alternate, so that both are measured under the same conditions. Raises
    UnavailableFigureError if a call failed or was not answered.
    """
    serials, rng = itertools.count(1), random.Random(SEED)
    through = await SoftswitchCaller.connect(softswitch.address, CALL_DURATION_S)
    direct_times_s: list[float] = []
    direct = [
        await ServerCaller.connect(address, direct_times_s)
        for address in softswitch.server_addresses[:SERVICE_SERVERS]
    ]

    def call_through() -> None:
        through.place_call(next(serials), rng.randrange(SERVICE_SERVERS))

    def call_directly() -> None:
        direct[rng.randrange(SERVICE_SERVERS)].place_call(next(serials))

    for block in range(2 * BLOCKS + WARM_UP_BLOCKS):
        if block == WARM_UP_BLOCKS:
            through.setup_times_s.clear()
            direct_times_s.clear()
        await run_poisson_process(BLOCK_S, CALL_RATE, rng, call_directly if block % 2 else call_through)
        await asyncio.sleep(PAUSE_S)
    if through.failed or through.sent_at or any(caller.sent_at for caller in direct):
        raise UnavailableFigureError("some calls failed or were not answered")
    through.transport.close()
    for caller in direct:
        caller.transport.close()
    return through.setup_times_s, direct_times_s
