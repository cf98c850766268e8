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
        set_up_s=server.setup_work_ms / 1000,
        longest_wait_s=server.max_wait_s,
        cold_from=server.cold_capacity,
        warm_after_s=server.warm_up_s,
        fall_multiple=server.overload_multiple,
        fall_s=server.overload_window_s,
    )


def create_processor(plan: ScalePlan, server: int) -> Processor:
    """Return the processor of one roster server, seeded by the plan and the server's number."""
    return Processor(processor_profile(plan), random.Random(plan.seed * SEED_FACTOR + server))
