"""Builds the processor model of a plan's roster servers, identically for simulated and for real runs."""

from __future__ import annotations

import random

from stairhatch.emulators.processor import Processor, ProcessorProfile
from stairhatch.scale_test.schema import ScalePlan

SEED_FACTOR = 31  # keeps the processor seeds of consecutive plan seeds apart, for up to 31 servers


def processor_profile(plan: ScalePlan) -> ProcessorProfile:
    """Return speed, queue limit, cold start and overload behaviour of the plan's roster servers."""
    server = plan.server
    return ProcessorProfile(
        setup_s=server.setup_work_ms / 1000,
        max_queue_delay_s=server.max_wait_s,
        initial_capacity_fraction=server.cold_capacity,
        warm_up_s=server.warm_up_s,
        overload_multiple=server.overload_multiple,
        overload_window_s=server.overload_window_s,
    )


def create_processor(plan: ScalePlan, server: int) -> Processor:
    """Return the processor model of one roster server, seeded by the plan's seed and the server's index."""
    return Processor(processor_profile(plan), random.Random(plan.seed * SEED_FACTOR + server))
