"""Measures how a call's processor time divides among the parts of the program, by timers inside it."""

from __future__ import annotations

import json
import time

import uvloop

from benchmarks.scaling.callers import run_calls
from benchmarks.scaling.instrumented_program import SPANS, WRITTEN_AT
from benchmarks.scaling.measurement import Measurement, MeasurementOptions, wait_until
from benchmarks.scaling.slope_files import ROOT
from benchmarks.scaling.softswitch_process import SoftswitchProcess
from benchmarks.scaling.workload import CALL_RATE, CALLS_S, SETTLE_S

INSTRUMENTED_PROGRAM = (str(ROOT / "benchmarks" / "scale.py"), "--inside")


def measure_by_servers(size: int, _options: MeasurementOptions) -> Measurement:
    """Measure milliseconds per call of each part of the program, for a number of listed servers."""
    with SoftswitchProcess(size, INSTRUMENTED_PROGRAM) as softswitch:
        time.sleep(SETTLE_S)
        run = uvloop.run(run_calls(softswitch, CALLS_S, CALL_RATE))
        path = softswitch.spans_path
        text = wait_until(
            lambda: path.read_text() if path.exists() else "",
            "the time spans written by the instrumented program",
        )
    after: dict[str, float] = json.loads(text)
    before: dict[str, float] = json.loads(run.spans_before) if run.spans_before else {}
    # The spans are written at intervals of their own, and the time between the two files read here includes
    # calls from before and after the measured window: only the window's share of that time counts.
    fraction = run.duration_s / (after[WRITTEN_AT] - before.get(WRITTEN_AT, 0.0)) if before else 1.0
    figures = {
        f"call_{name}_by_servers": 1000
        * fraction
        * (after.get(name, 0.0) - before.get(name, 0.0))
        / run.calls
        for name in SPANS
    }
    main_ms = 1000 * run.processor.main_thread_s / run.calls
    figures["call_loop_by_servers"] = main_ms - sum(figures.values())
    figures["call_log_thread_by_servers"] = 1000 * run.processor.other_threads_s / run.calls
    figures["call_waits_by_servers"] = run.voluntary_switches / run.calls
    return Measurement(figures=figures)
