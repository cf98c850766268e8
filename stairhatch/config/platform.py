"""The platform's configuration: owns the reading of its RELAY_ variables and of the JSON file they name. It
must take what it doesn't know without a word, since the platform may tell more than this program needs, and
must put nothing in the place of what it needs and is not told.
"""

from __future__ import annotations

import json
from typing import Any

from stairhatch.config import Config, ConfigError, checked_settings, read_file
from stairhatch.node.directory import DirectoryError, parse_address, read_events
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.schema import MAX_COUNT, NumberShape, ObjectShape, TextShape, validate

RESTART_S, UPGRADE_S = 3.0, 5.0  # a planned restart's SIGKILL, and one where a process follows
SIZE = NumberShape(1, MAX_COUNT)
KEYS = ObjectShape(
    {
        "name": TextShape(),
        "seed": TextShape(),
        "limits": ObjectShape({"sockets": SIZE, "memory_mb": SIZE}),
        "settings": ObjectShape({}),  # looked at by itself
        "known": ObjectShape({}),
    },
    optional=frozenset(("name", "seed")),  # one is in RELAY_NAME too, without the other chance decides
)


def read_platform(environ: dict[str, str]) -> Config:
    """Read the platform's variables and the file they name. ConfigError names the key that can't be used."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        return _config(json.loads(read_file(path)), environ)
    except json.JSONDecodeError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    except RecursionError:
        raise ConfigError(f"{path}: no JSON: nested too deep") from None
    except (ConfigError, SettingsError, ValueError) as error:
        where = "" if str(error).startswith(path) else f"{path}: "
        raise ConfigError(f"{where}{error}") from None


def _config(raw: Any, environ: dict[str, str]) -> Config:
    """The configuration in the decoded file and the variables."""
    if not isinstance(raw, dict):
        raise ConfigError("the file holds no JSON object")
    validate(raw, KEYS, "", complete=True)
    name = environ.get("RELAY_NAME") or raw.get("name")
    if not name:
        raise ConfigError("name: is missing")
    settings = checked_settings(raw["settings"], complete=True)
    inherited = _descriptor(environ.get("RELAY_INHERITED_FD"))
    _check_known(raw["known"])
    return Config(
        name=name,
        settings=settings,
        seed=raw.get("seed", ""),
        sockets=int(raw["limits"]["sockets"]),
        memory_mb=int(raw["limits"]["memory_mb"]),
        listen=_address("RELAY_LISTEN", environ) or _address("listen", raw, needed=True),
        coordinator=_address("coordinator", raw, needed=True),
        console=_address("RELAY_CONSOLE", environ) or _address("console", raw),
        known=raw["known"],
        drain_s=(RESTART_S if inherited is None else UPGRADE_S),
        inherited=inherited,
        raw=raw,
        tracing=environ.get("STAIRHATCH_TRACE") == "1",
    )


def _address(key: str, told: dict[str, Any], needed: bool = False) -> tuple[str, int] | None:
    """An address under a key or a variable's name; None where it is not told and need not be."""
    if key not in told and needed:
        raise ConfigError(f"{key}: is missing")
    if not told.get(key) and not needed:
        return None
    try:
        return parse_address(told[key])
    except DirectoryError as error:
        raise ConfigError(f"{key}: {error}") from None


def _descriptor(told: str | None) -> int | None:
    """The socket that the platform owns, by its number."""
    try:
        return int(told) if told else None
    except ValueError as error:
        raise ConfigError(f"RELAY_INHERITED_FD: {error}") from None


def _check_known(known: Any) -> None:
    """The events of the start, read here as the directory will read them: what is odd in them ends the start
    in a line and not in a traceback, as a number too large for any float did.
    """
    try:
        read_events(known, 0)
    except (DirectoryError, OverflowError) as error:
        raise ConfigError(f"known: {error}") from None
