"""The roster servers of a load and their faults, as given in the file."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field


class ServerFaultKind(StrEnum):
    """Kind of a server fault. The values are written in the file."""

    SLOW_DOWN = "slow"  # all work takes `slowdown` times as long
    HANG = "hang"  # accepts set-ups and answers none
    RECOVER = "recover"  # from a slow-down or a hang
    START_COLD = "cold"  # the process dies and a cold one replaces it at once
    DRAIN = "drain"  # rejects new set-ups
    GO_DOWN = "down"  # stops listening and aborts its connections
    COME_UP = "up"  # listens again at its address, as a cold process


class ServerFault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault of one server at a time of the load."""

    at_s: Annotated[float, Meta(ge=0, le=86_400)] = field(name="at")  # after the beginning of the load
    server: Annotated[int, Meta(ge=0, le=255)]  # index; one beyond the last server is ignored
    kind: ServerFaultKind = field(name="what")
    slowdown: Annotated[float, Meta(gt=0, le=1000)] = field(name="times", default=3.0)  # for SLOW_DOWN


class ServerPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """The roster servers of a load, with their processors' parameters and their faults."""

    count: Annotated[int, Meta(ge=1, le=64)] = 2
    setup_ms: Annotated[float, Meta(gt=0, le=60_000)] = field(name="set_up_ms", default=1.0)  # processor time
    max_queue_delay_s: Annotated[float, Meta(gt=0, le=60)] = field(name="longest_wait_s", default=3.0)
    faults: tuple[ServerFault, ...] = field(name="trouble", default=())
