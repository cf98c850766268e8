"""What operators configure of services: `[scope]` of the appliance's file."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.settings import UNKNOWN_INSTANCE


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """What is configured for some call classes: `[[scope.services]]`."""

    classes: tuple[str, ...]
    instance_count: int | None = None  # of softswitches that ever have such calls; None: the whole fleet
    instance_index: int = UNKNOWN_INSTANCE  # which of those this one is
    always_in_scope: bool = False


@dataclass(frozen=True, slots=True)
class ScopeConfig:
    """The table `[scope]`."""

    idle_s: float = 600.0  # a set without a call for so long leaves the scope
    services: tuple[ServiceConfig, ...] = ()
