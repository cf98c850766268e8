"""Reader that converts the appliance's TOML file into a `Config`."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from stairhatch.config.appliance.addresses import address_at
from stairhatch.config.appliance.fleet import fleet_config
from stairhatch.config.appliance.schema import ApplianceTable, ServerTable
from stairhatch.config.appliance.scope import scope_config
from stairhatch.config.appliance.sip import sip_config
from stairhatch.config.appliance.validation import validate
from stairhatch.config.model import Config, ConfigError, checked_settings, read_text
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.schema import PERMISSION_SHAPES, SETTINGS_SCHEMA
from stairhatch.settings.shapes import ObjectShape
from stairhatch.sip.addresses import TransportAddress

SERVER_STATES = ("in_service", "terminating")
PERMISSIONS_SCHEMA = ObjectShape(
    PERMISSION_SHAPES,
    optional=frozenset(("connect_timeout_s",)),  # deploy/sip.toml shows it as optional, with its default
)
RELOAD_SCHEMA = ObjectShape(
    {
        "settings": SETTINGS_SCHEMA._replace(
            keys={**SETTINGS_SCHEMA.keys, "permissions": PERMISSIONS_SCHEMA},
            optional=frozenset(("me",)),  # as above
        )
    }
)


def read_appliance(path: str, environ: Mapping[str, str]) -> Config:
    """Read a file such as deploy/sip.toml. Raises ConfigError with the path of the file and of the key.

    An empty `environ` stands for the environment of the process.
    """
    return parse_appliance(read_text(path), path, environ or os.environ)


def parse_appliance(text: str, path: str, environ: Mapping[str, str]) -> Config:
    """Return the configuration in the text of a file.

    Error messages contain `path`, and paths in the text are relative to the directory of `path`.
    RELAY_CONSOLE in `environ` takes precedence over the key `console`, and STAIRHATCH_TRACE=1 turns tracing
    on whatever `trace` is. Raises ConfigError.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: no TOML: {error}") from error
    try:
        return _config(raw, Path(path).resolve().parent, environ)
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _config(raw: dict[str, Any], directory: Path, environ: Mapping[str, str]) -> Config:
    table = validate(raw)
    settings = checked_settings(raw["settings"], complete=False)  # the appliance's settings have defaults
    known = _known_servers(table)
    syslog = _syslog(table.syslog)
    console = environ.get("RELAY_CONSOLE") or table.console
    return Config(
        name=table.name,
        settings=settings,
        sip=sip_config(table.sip, settings, directory),
        coordinator=address_at("coordinator", table.coordinator) if table.coordinator else None,
        known=known,
        console=address_at("console", console) if console else None,
        raw={"settings": raw["settings"]},  # a reload may omit optional keys of all other tables
        reload_schema=RELOAD_SCHEMA,
        syslog=syslog,
        tracing=environ.get("STAIRHATCH_TRACE") == "1" or table.trace,
        fleet=fleet_config(table.fleet, table, directory) if table.fleet is not None else None,
        scope=scope_config(table.scope, settings) if table.scope is not None else None,
    )


def _known_servers(table: ApplianceTable) -> dict[str, Any]:
    """Return the servers of `[[servers]]` in the form of a coordinator's answer.

    The answer is empty if the file has a coordinator. Raises ConfigError unless the file has exactly one of
    the two.
    """
    instances = _instances(table.servers)
    if not instances and not table.coordinator:
        raise ConfigError("the file has neither [[servers]] nor a coordinator")
    if instances and table.coordinator:
        raise ConfigError("the file has both [[servers]] and a coordinator; only one is allowed")
    if not instances:
        return {"index": 0, "updates": []}
    return {"index": 1, "updates": [{"index": 1, "endpoints": {"reset": True, "instances": instances}}]}


def _instances(servers: list[ServerTable]) -> list[dict[str, Any]]:
    """Return the servers' records in the form of a coordinator's endpoint list.

    Raises ConfigError for a malformed address, an unknown state or a name that is listed twice.
    """
    names: set[str] = set()
    instances: list[dict[str, Any]] = []
    for index, server in enumerate(servers):
        address_at(f"servers[{index}].address", server.address)
        if server.state not in SERVER_STATES:
            raise ConfigError(
                f"servers[{index}].state: must be in_service or terminating, not {server.state!r}"
            )
        if server.name in names:
            raise ConfigError(f"servers[{index}].name: {server.name!r} is listed twice")
        names.add(server.name)
        instances.append(
            {
                "instanceId": server.name,
                "hostPort": server.address,
                "cell": server.number,
                "lifecycle": server.state,
            }
        )
    return instances


def _syslog(value: str | None) -> TransportAddress | str | None:
    """Return the syslog receiver's address or the path of its socket; None if `value` is empty."""
    if not value or value.startswith("/"):
        return value or None
    return address_at("syslog", value)
