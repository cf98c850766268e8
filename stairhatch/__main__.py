"""`python -m stairhatch`: owns the configuration, the wiring of the parts and the signals. It must never
decide anything about a call; a configuration that can't be used ends in one plain line and exit code 2.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import uvloop

from stairhatch.interface import Settings
from stairhatch.node.core import Core, Counters
from stairhatch.node.directory import Directory, DirectoryError, apply_events, parse_address
from stairhatch.node.net import Network
from stairhatch.node.roster import RosterSide
from stairhatch.node.trunk_front import TrunkFront
from stairhatch.settings import SettingsError, settings_from

STAY_S = 1.0  # after SIGTERM: connections come for 0.4 s, requests on them for 0.2 s more


class ConfigError(ValueError):
    """A configuration that can't be used."""


@dataclass(frozen=True)
class Config:
    """What the platform tells."""

    name: str
    listen: tuple[str, int]
    seed: str
    sockets: int
    limits: Any
    coordinator: tuple[str, int]
    known: Any
    settings: Settings


def read_config(environ: dict[str, str]) -> Config:
    """Read the platform's variables and the file they name."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    try:
        return Config(
            name=str(environ.get("RELAY_NAME") or raw["name"]),
            listen=parse_address(environ.get("RELAY_LISTEN") or raw["listen"]),
            seed=str(raw.get("seed", "")),
            sockets=int(raw.get("limits", {}).get("sockets", 1024)),
            limits=raw.get("limits"),
            coordinator=parse_address(raw["coordinator"]),
            known=raw["known"],
            settings=settings_from(raw["settings"])[0],
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: bad or missing part: {error}") from None
    except (DirectoryError, SettingsError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def unix_clock() -> Callable[[], float]:
    """Unix time, anchored once and advanced by the monotonic clock, so that it never steps."""
    anchor = time.time() - time.monotonic()
    return lambda: anchor + time.monotonic()


def log_line(event: str, **fields: object) -> None:
    """One line to standard error."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    sys.stderr.write(f"{time.time():.3f} {event} {text}\n")


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then finish what was taken."""
    counters = Counters()
    tracing = os.environ.get("STAIRHATCH_TRACE") == "1"
    core = Core(config.settings, random.Random(config.seed), unix_clock(), log_line, counters, tracing)
    network = Network(core)
    RosterSide(core, network.dial)
    front = TrunkFront(core)
    after = apply_events(core, config.known, 0)
    host = f"{config.coordinator[0]}:{config.coordinator[1]}"
    network.spawn(network.follow(Directory(core, host, after), config.coordinator))
    listener = network.listen(config.listen, front.connect, most=config.sockets // 2)
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        network.loop.add_signal_handler(name, stop.set)
    core.log("ready", name=config.name, limits=config.limits, listen=f"{config.listen[0]}:{config.listen[1]}")
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    await stop.wait()
    core.log("stopping", unanswered=core.unanswered)
    front.draining = True
    await asyncio.sleep(STAY_S)
    while core.unanswered or not front.flushed():
        await asyncio.sleep(0.01)
    listener.close()
    core.log("counters", **counters.counts)


def main() -> int:
    """Run the softswitch."""
    try:
        config = read_config(dict(os.environ))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return 2
    uvloop.run(run(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
