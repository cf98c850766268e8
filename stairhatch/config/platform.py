"""Reads the platform's configuration: its RELAY_ variables and the JSON file that RELAY_CONFIG names.

Keys that this program does not know are ignored, since the platform may tell more than it needs. A key that
it needs has no default: one that is missing ends the start, as does one that cannot be used.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from stairhatch.config.model import Config, ConfigError, checked_settings, read_text
from stairhatch.node.address import AddressError, parse_address
from stairhatch.node.endpoint_list import ServiceDiscoveryError, parse_answer
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.schema import MAX_COUNT, NumberShape, ObjectShape, TextShape, validate

RESTART_DRAIN_S = 3.0  # the platform's SIGKILL follows SIGTERM in a planned restart
UPGRADE_DRAIN_S = 5.0  # and where another process takes over the socket
LIMIT = NumberShape(1, MAX_COUNT)
FILE_SCHEMA = ObjectShape(
    {
        "name": TextShape(),
        "seed": TextShape(),
        "limits": ObjectShape({"sockets": LIMIT, "memory_mb": LIMIT}),
        "settings": ObjectShape({}),  # checked by its own parser
        "known": ObjectShape({}),
    },
    optional=frozenset(("name", "seed")),  # RELAY_NAME may give the name; without a seed chance decides
)


def read_platform(environ: Mapping[str, str]) -> Config:
    """Read the platform's variables and the file they name. Raises ConfigError that names the key."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        return _config(json.loads(read_text(path)), environ)
    except json.JSONDecodeError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from error
    except RecursionError as error:
        raise ConfigError(f"{path}: no JSON: nested too deep") from error
    except (ConfigError, SettingsError, ValueError) as error:
        prefix = "" if str(error).startswith(path) else f"{path}: "
        raise ConfigError(f"{prefix}{error}") from error


def _config(raw: Any, environ: Mapping[str, str]) -> Config:
    """Return the configuration in the decoded file and the variables."""
    if not isinstance(raw, dict):
        raise ConfigError("the file holds no JSON object")
    validate(raw, FILE_SCHEMA, "", complete=True)
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
        listen=_optional_address("RELAY_LISTEN", environ) or _address("listen", raw),
        coordinator=_address("coordinator", raw),
        console=_optional_address("RELAY_CONSOLE", environ) or _optional_address("console", raw),
        known=raw["known"],
        drain_s=RESTART_DRAIN_S if inherited is None else UPGRADE_DRAIN_S,
        inherited=inherited,
        raw=raw,
        tracing=environ.get("STAIRHATCH_TRACE") == "1",
    )


def _address(key: str, source: Mapping[str, Any]) -> tuple[str, int]:
    """Return the address under a key or a variable's name."""
    if key not in source:
        raise ConfigError(f"{key}: is missing")
    try:
        return parse_address(source[key])
    except AddressError as error:
        raise ConfigError(f"{key}: {error}") from error


def _optional_address(key: str, source: Mapping[str, Any]) -> tuple[str, int] | None:
    """Return the same, or None where the key is missing or empty."""
    return _address(key, source) if source.get(key) else None


def _descriptor(text: str | None) -> int | None:
    """Return the number of the listening socket that the platform owns, if it owns one."""
    try:
        return int(text) if text else None
    except ValueError as error:
        raise ConfigError(f"RELAY_INHERITED_FD: {error}") from error


def _check_known(known: Any) -> None:
    """Raise ConfigError for events of the start that service discovery could not read.

    Read there they would end the start in a traceback, as a number too large for any float did.
    """
    try:
        parse_answer(known, 0)
    except (ServiceDiscoveryError, OverflowError) as error:
        raise ConfigError(f"known: {error}") from error
