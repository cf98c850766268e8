"""Configuration of the scope: the table `[scope]` of the appliance's configuration file."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.settings import UNKNOWN_INSTANCE


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """The configuration of one service, a group of call classes: an entry of `[[scope.services]]`."""

    classes: tuple[str, ...]
    instance_count: int | None = None  # softswitches that ever get these calls; None: the whole fleet
    instance_index: int = UNKNOWN_INSTANCE  # index of this softswitch among those
    always_in_scope: bool = False


@dataclass(frozen=True, slots=True)
class ScopeConfig:
    """The values of the table `[scope]`, with the defaults of its keys."""

    idle_s: float = 600.0  # a set leaves the scope after this time without a new call
    services: tuple[ServiceConfig, ...] = ()
