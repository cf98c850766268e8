"""The processor model of a plan's roster servers, the same for simulated and for real runs."""

from __future__ import annotations

import random

from stairhatch.emulators.processor import Processor, ProcessorProfile
from stairhatch.scale_test.schema import ScalePlan

SEED_FACTOR = 31  # so that the servers of two neighbouring seeds differ


def processor_profile(plan: ScalePlan) -> ProcessorProfile:
    """Return what the roster servers of a plan can do."""
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
    """Return the processor of one roster server, seeded by the plan and the server's number."""
    return Processor(processor_profile(plan), random.Random(plan.seed * SEED_FACTOR + server))
