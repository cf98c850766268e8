"""The configuration of one softswitch (`Config`), the error for one that cannot be used, and reading aids."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from stairhatch.overload.settings import Settings
from stairhatch.settings.parser import settings_from_object

if TYPE_CHECKING:
    from stairhatch.fleet.config import FleetConfig
    from stairhatch.scope.config import ScopeConfig
    from stairhatch.sip.config import SipConfig


class ConfigError(ValueError):
    """A configuration that cannot be used. The text names the key, or the file, and says why."""


@dataclass(frozen=True, eq=False, repr=False)
class Config:
    """What the program is configured with. A part whose field is None is not started.

    Field names are keys of the files where they are logged as such (`restart_required` of a reload).
    """

    name: str
    settings: Settings
    seed: str = ""  # of the random source; empty: chance
    sockets: int = 1024  # descriptors that the process may hold
    memory_mb: int = 192
    drain_s: float = math.inf  # what is unanswered so long after SIGTERM is answered then, if not before
    listen: tuple[str, int] | None = None  # the platform frontend
    inherited: int | None = None  # the descriptor of its socket, where the platform owns that
    sip: SipConfig | None = None  # the appliance's frontend
    coordinator: tuple[str, int] | None = None
    known: Any = None  # the servers known at the start, in the form of a coordinator's answer
    console: tuple[str, int] | None = None  # the admin endpoint
    syslog: tuple[str, int] | str | None = None  # an address, or the path of a socket
    tracing: bool = False
    fleet: FleetConfig | None = None  # the appliance's part in shared work
    scope: ScopeConfig | None = None  # which servers are kept to, where that is not all of the list
    raw: Any = None  # the decoded text, of which a reload may lose no key


def checked_settings(raw: Any, complete: bool) -> Settings:
    """Return the settings, in which each class has a name of its own.

    Raises SettingsError where a key cannot be used, or is missing where they have to be complete, and
    ConfigError where the classes cannot be told apart.
    """
    settings = settings_from_object(raw, complete=complete).settings
    names = [each.name for each in settings.classes]
    if not names:
        raise ConfigError("settings.classes: there is none")
    if len(set(names)) < len(names):
        raise ConfigError("settings.classes: two have one name")
    return settings


def read_text(path: str) -> str:
    """Return a file's text. Raises ConfigError that names the file if it cannot be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {error}") from error
