"""Reader of the platform's configuration: the RELAY_ variables and the JSON file at the path RELAY_CONFIG.

Unknown keys are ignored, because the platform may pass more than the program needs. Required keys have no
defaults: the start fails if a required key is missing or if a value cannot be used.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from stairhatch.config.model import Config, ConfigError, checked_settings, read_text
from stairhatch.node.address import AddressError, parse_address
from stairhatch.node.endpoint_list import ServiceDiscoveryError, parse_answer
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.schema import SETTINGS_SCHEMA
from stairhatch.settings.shapes import (
    MAX_COUNT,
    Condition,
    NumberShape,
    ObjectShape,
    TextShape,
    unused_keys,
)
from stairhatch.settings.validation import validate

RESTART_DRAIN_S = 3.0  # in a planned restart, in which the platform sends SIGKILL after SIGTERM
UPGRADE_DRAIN_S = 5.0  # in an upgrade, where another process takes over the listening socket
LIMIT = NumberShape(1, MAX_COUNT)
PEER_KEYS = ("peers", "peers_all", "peer_listen")  # addresses of datagrams between softswitches
FILE_SCHEMA = ObjectShape(
    {
        "name": TextShape(),
        "seed": TextShape(),
        "limits": ObjectShape({"sockets": LIMIT, "memory_mb": LIMIT}, unused=unused_keys("cores")),
        "settings": ObjectShape({}),  # checked by the settings parser
        "known": ObjectShape({}, unused=unused_keys("index", "updates")),  # checked as a coordinator's answer
    },
    defaulted=frozenset(("name", "seed")),  # RELAY_NAME may set the name; without a seed, one is random
    unused=unused_keys(
        *("listen", "coordinator", "console"),  # checked as addresses
        *PEER_KEYS,
    ),
    conditions=dict.fromkeys(PEER_KEYS, Condition(("settings", "permissions", "peers"), value=True)),
)
RELOAD_SCHEMA = FILE_SCHEMA._replace(keys={**FILE_SCHEMA.keys, "settings": SETTINGS_SCHEMA})


def read_platform(environ: Mapping[str, str]) -> Config:
    """Read the platform's variables and its file. Raises ConfigError with the key or the variable."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it must be the path of the configuration file")
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
    """Return the configuration; the variables take precedence over the decoded file.

    Raises ConfigError, SettingsError or another ValueError with the key that is missing or unusable.
    """
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
        reload_schema=RELOAD_SCHEMA,
        tracing=environ.get("STAIRHATCH_TRACE") == "1",
    )


def _address(key: str, source: Mapping[str, Any]) -> tuple[str, int]:
    """Return the address of a key or a variable. Raises ConfigError if it is missing or malformed."""
    if key not in source:
        raise ConfigError(f"{key}: is missing")
    try:
        return parse_address(source[key])
    except AddressError as error:
        raise ConfigError(f"{key}: {error}") from error


def _optional_address(key: str, source: Mapping[str, Any]) -> tuple[str, int] | None:
    """Return the address of a key or a variable, or None if it is missing or empty.

    Raises ConfigError if it is malformed.
    """
    return _address(key, source) if source.get(key) else None


def _descriptor(text: str | None) -> int | None:
    """Return the descriptor of the listening socket that the platform owns; None if it owns none.

    Raises ConfigError if the text is not a number.
    """
    try:
        return int(text) if text else None
    except ValueError as error:
        raise ConfigError(f"RELAY_INHERITED_FD: {error}") from error


def _check_known(known: Any) -> None:
    """Raise ConfigError if the initial endpoint list is no valid answer of a coordinator.

    Without this check, service discovery would end the start with a traceback, for example for a number that
    is too large for a float.
    """
    try:
        parse_answer(known, 0)
    except (ServiceDiscoveryError, OverflowError) as error:
        raise ConfigError(f"known: {error}") from error
