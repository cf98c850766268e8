"""What the program is told, in one form whatever it was told by: owns that form. `platform` reads the
platform's variables and JSON, `appliance` the operators' TOML, with a schema and a library of its own;
neither imports the other. It must never start anything or decide anything about a call.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from stairhatch.overload.settings import Settings
from stairhatch.settings.parser import settings_from_object

if TYPE_CHECKING:
    from stairhatch.fleet.config import FleetConfig
    from stairhatch.scope.config import ScopeConfig
    from stairhatch.sip.front import SipConfig


class ConfigError(ValueError):
    """A configuration that can't be used."""


@dataclass(frozen=True)
class Config:
    """What the program is told."""

    name: str
    settings: Settings
    seed: str = ""
    sockets: int = 1024
    memory_mb: int = 192
    drain_s: float = math.inf  # what is unanswered so long after SIGTERM is answered then, if not before
    listen: tuple[str, int] | None = None  # the platform's front
    inherited: int | None = None  # the descriptor of its socket, where the platform owns that
    sip: SipConfig | None = None  # the appliance's front
    coordinator: tuple[str, int] | None = None
    known: Any = None
    console: tuple[str, int] | None = None  # the operators' door
    syslog: tuple[str, int] | str | None = None
    tracing: bool = False
    fleet: FleetConfig | None = None  # the appliance's part in shared work
    scope: ScopeConfig | None = None  # which servers are kept to, where that is not all of the list
    raw: Any = None  # as it was read, of what must not lose a key


def checked_settings(raw: Any, complete: bool) -> Settings:
    """The settings, in which each class can be told by its name. SettingsError where a key can't be used, or
    is missing where they have to be complete.
    """
    settings = settings_from_object(raw, complete=complete).settings
    names = [kind.name for kind in settings.classes]
    if not names or len(set(names)) < len(names):
        raise ConfigError(f"settings.classes: {'two have one name' if names else 'there is none'}")
    return settings


def read_file(path: str) -> str:
    """A file's text; ConfigError that names it where it can't be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
