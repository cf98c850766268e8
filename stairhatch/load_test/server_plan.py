"""The roster servers of a load as its file has them, and what happens to which of them when."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field


class ServerFaultKind(StrEnum):
    """What happens to a server."""

    SLOW_DOWN = "slow"
    HANG = "hang"
    RECOVER = "recover"  # from a slow-down or a hang
    START_COLD = "cold"  # its process dies, another starts at once
    DRAIN = "drain"
    GO_DOWN = "down"
    COME_UP = "up"


class ServerFault(Struct, forbid_unknown_fields=True, frozen=True):
    """Something that happens to a server at a time of the load."""

    at_s: Annotated[float, Meta(ge=0, le=86_400)] = field(name="at")
    server: Annotated[int, Meta(ge=0, le=255)]  # its index
    kind: ServerFaultKind = field(name="what")
    slowdown: Annotated[float, Meta(gt=0, le=1000)] = field(name="times", default=3.0)


class ServerPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """The servers of a load."""

    count: Annotated[int, Meta(ge=1, le=64)] = 2
    setup_ms: Annotated[float, Meta(gt=0, le=60_000)] = field(name="set_up_ms", default=1.0)
    max_queue_delay_s: Annotated[float, Meta(gt=0, le=60)] = field(name="longest_wait_s", default=3.0)
    faults: tuple[ServerFault, ...] = field(name="trouble", default=())
