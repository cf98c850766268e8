"""The platform's configuration: owns the reading of its RELAY_ variables and of the JSON file they name. It
must take what it doesn't know without a word, since the platform may tell more than this program needs.
"""

from __future__ import annotations

import json
from typing import Any

from stairhatch.config import Config, ConfigError, checked_settings, read_file
from stairhatch.node.directory import DirectoryError, parse_address
from stairhatch.settings import SettingsError

RESTART_S, UPGRADE_S = 3.0, 5.0  # a planned restart's SIGKILL, and one where a process follows


def read_platform(environ: dict[str, str]) -> Config:
    """Read the platform's variables and the file they name."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        raw = json.loads(read_file(path))
        inherited = int(environ["RELAY_INHERITED_FD"]) if environ.get("RELAY_INHERITED_FD") else None
        return Config(
            name=str(environ.get("RELAY_NAME") or raw["name"]),
            settings=checked_settings(raw["settings"]),
            seed=str(raw.get("seed", "")),
            sockets=int(raw.get("limits", {}).get("sockets", 1024)),
            memory_mb=int(raw.get("limits", {}).get("memory_mb", 192)),
            listen=parse_address(environ.get("RELAY_LISTEN") or raw["listen"]),
            coordinator=parse_address(raw["coordinator"]),
            console=_console(raw, environ),
            known=raw["known"],
            drain_s=(RESTART_S if inherited is None else UPGRADE_S),
            inherited=inherited,
            raw=raw,
            tracing=environ.get("STAIRHATCH_TRACE") == "1",
        )
    except ConfigError:
        raise
    except json.JSONDecodeError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    except (KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: bad or missing part: {error}") from None
    except (DirectoryError, SettingsError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _console(raw: dict[str, Any], environ: dict[str, str]) -> tuple[str, int] | None:
    """The operators' door; the environment's word goes first."""
    address = environ.get("RELAY_CONSOLE") or raw.get("console")
    return parse_address(address) if address else None
