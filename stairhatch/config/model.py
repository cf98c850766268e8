"""The configuration of one softswitch (`Config`), its error, and functions that both readers use."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from stairhatch.overload.settings import Settings
from stairhatch.settings.parser import settings_from_object
from stairhatch.settings.shapes import ObjectShape

if TYPE_CHECKING:
    from stairhatch.fleet.config import FleetConfig
    from stairhatch.scope.config import ScopeConfig
    from stairhatch.sip.config import SipConfig


NO_DOCUMENTED_KEYS = ObjectShape({})


class ConfigError(ValueError):
    """Raised for an unusable configuration; the text has the key or the file, and the reason."""


@dataclass(frozen=True, eq=False, repr=False)
class Config:
    """Configuration of one softswitch. A component whose field is None is not started.

    A reload logs the names of changed fields in `restart_required`, so these names equal the files' keys.
    """

    name: str
    settings: Settings
    seed: str = ""  # of the random source; "": a random seed
    sockets: int = 1024  # maximum number of open descriptors
    memory_mb: int = 192
    drain_s: float = math.inf  # all pending calls are answered within this time after SIGTERM
    listen: tuple[str, int] | None = None  # the platform frontend
    inherited: int | None = None  # the descriptor of its listening socket if the platform owns that socket
    sip: SipConfig | None = None  # the appliance's frontend
    coordinator: tuple[str, int] | None = None
    known: Any = None  # the initial endpoint list, in the form of a coordinator's answer
    console: tuple[str, int] | None = None  # the admin endpoint
    syslog: tuple[str, int] | str | None = None  # the receiver's address, or the path of its socket
    tracing: bool = False
    fleet: FleetConfig | None = None  # the appliance's membership in a fleet
    scope: ScopeConfig | None = None  # the servers to connect to; None: all servers of the endpoint list
    raw: Any = None  # the decoded file; a reload is rejected if it lacks a required key of it
    reload_schema: ObjectShape = NO_DOCUMENTED_KEYS  # which keys of `raw` are required


def checked_settings(raw: Any, complete: bool) -> Settings:
    """Return the settings in the decoded text `raw`.

    Raises SettingsError if a key cannot be used, or if `complete` is set and a key is missing. Raises
    ConfigError if there is no class or if two classes have the same name.
    """
    settings = settings_from_object(raw, complete=complete).settings
    class_names = [each.name for each in settings.classes]
    if not class_names:
        raise ConfigError("settings.classes: the list is empty")
    if len(set(class_names)) < len(class_names):
        raise ConfigError("settings.classes: two classes have the same name")
    return settings


def read_text(path: str) -> str:
    """Return the text of a UTF-8 file. Raises ConfigError with the file's path if it cannot be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {error}") from error
