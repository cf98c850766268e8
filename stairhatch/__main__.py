"""`python -m stairhatch`: owns the configuration, the wiring of the parts and the signals. It must never
decide anything about a call; a configuration that can't be used ends in one plain line and exit code 2.

Without arguments it is the platform's softswitch, told what it needs by the RELAY_ variables. With
`--sip FILE` it is the appliance, told by that file (deploy/sip.toml is one).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import random
import secrets
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import uvloop

from stairhatch.interface import Settings
from stairhatch.node.console import PROMPT, Console
from stairhatch.node.core import Core, Counters
from stairhatch.node.directory import Directory, DirectoryError, apply_events, parse_address
from stairhatch.node.net import Network
from stairhatch.node.roster import RosterSide
from stairhatch.node.sip_front import SipConfig, SipConfigError, SipFront, read_sip_config
from stairhatch.node.syslog import Log
from stairhatch.node.trunk_front import TrunkFront
from stairhatch.settings import SettingsError, settings_from

STAY_S = 1.0  # after SIGTERM: connections come for 0.4 s, requests on them for 0.2 s more


class ConfigError(ValueError):
    """A configuration that can't be used."""


@dataclass(frozen=True)
class Config:
    """What the program is told."""

    name: str
    settings: Settings
    seed: str = ""
    sockets: int = 1024
    listen: tuple[str, int] | None = None  # the platform's front
    sip: SipConfig | None = None  # the appliance's front
    coordinator: tuple[str, int] | None = None
    known: Any = None
    syslog: tuple[str, int] | str | None = None
    tracing: bool = False


def _read(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {error}") from None


def read_platform(environ: dict[str, str]) -> Config:
    """Read the platform's variables and the file they name."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        raw = json.loads(_read(path))
        return Config(
            name=str(environ.get("RELAY_NAME") or raw["name"]),
            settings=settings_from(raw["settings"])[0],
            seed=str(raw.get("seed", "")),
            sockets=int(raw.get("limits", {}).get("sockets", 1024)),
            listen=parse_address(environ.get("RELAY_LISTEN") or raw["listen"]),
            coordinator=parse_address(raw["coordinator"]),
            known=raw["known"],
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


def read_appliance(path: str, environ: dict[str, str]) -> Config:
    """Read a file such as deploy/sip.toml."""
    try:
        raw = tomllib.loads(_read(path))
        settings = settings_from(raw["settings"])[0]
        listed = [
            {
                "instanceId": line["name"], "hostPort": line["address"],
                "cell": line["number"], "lifecycle": "in_service",
            }
            for line in raw.get("servers", ())
        ]  # fmt: skip
        first = {"index": 1, "endpoints": {"reset": True, "instances": listed}}
        coordinator = raw.get("coordinator")
        if not listed and not coordinator:
            raise ConfigError(f"{path}: neither [[servers]] nor a coordinator is given")
        if listed and coordinator:
            raise ConfigError(f"{path}: give either [[servers]] or a coordinator, not both")
        syslog = raw.get("syslog")
        if isinstance(syslog, str) and not syslog.startswith("/"):
            syslog = parse_address(syslog)
        return Config(
            name=str(raw.get("name", "stairhatch")),
            settings=settings,
            sip=read_sip_config(raw["sip"], settings),
            coordinator=parse_address(coordinator) if coordinator else None,
            known={"index": len(listed) and 1, "updates": [first] if listed else []},
            syslog=syslog,
            tracing=environ.get("STAIRHATCH_TRACE") == "1" or bool(raw.get("trace", False)),
        )
    except ConfigError:
        raise
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: no TOML: {error}") from None
    except (KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: bad or missing part: {error}") from None
    except (DirectoryError, SettingsError, SipConfigError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def unix_clock() -> Callable[[], float]:
    """Unix time, anchored once and advanced by the monotonic clock, so that it never steps."""
    anchor = time.time() - time.monotonic()
    return lambda: anchor + time.monotonic()


def attach_console(loop: asyncio.AbstractEventLoop, console: Console) -> None:
    """Read commands from standard input, where that can be watched. Its end ends nothing."""

    def show(text: str) -> None:
        try:
            sys.stdout.write(text)
            sys.stdout.flush()
        except OSError:
            loop.remove_reader(0)

    def read() -> None:
        try:
            data = os.read(0, 4096)
        except OSError:
            data = b""
        if data:
            show(console.feed(data))
        else:
            loop.remove_reader(0)

    try:
        loop.add_reader(0, read)
    except (OSError, ValueError):
        return  # a file or /dev/null
    if sys.stdin is not None and sys.stdin.isatty():
        show(f"stairhatch: type help for the commands\n{PROMPT}")


async def run(config: Config) -> None:
    """Serve until SIGTERM, SIGINT or `drain`, then finish what was taken."""
    clock = unix_clock()
    log = Log("stairhatch", socket.gethostname(), clock, config.syslog)
    counters = Counters()
    core = Core(config.settings, random.Random(config.seed or None), clock, log, counters, config.tracing)
    network = Network(core)
    RosterSide(core, network.dial)
    trunk, front = None, None
    listening: list[str] = []
    try:
        if config.listen is not None:
            trunk = TrunkFront(core)
            network.listen(config.listen, trunk.connect, most=config.sockets // 2)
            listening.append(f"{config.listen[0]}:{config.listen[1]}")
        if config.sip is not None:
            front = SipFront(core, config.sip, lambda: secrets.token_hex(8))
            front.dial = network.dial_caller
            if config.sip.udp is not None:
                network.datagrams(config.sip.udp, front.datagrams)
                listening.append(f"udp:{config.sip.udp[0]}:{config.sip.udp[1]}")
            if config.sip.tcp is not None:
                network.listen(config.sip.tcp, front.connect, most=config.sip.connections)
                listening.append(f"tcp:{config.sip.tcp[0]}:{config.sip.tcp[1]}")
    except OSError as error:
        raise ConfigError(f"can't listen: {error.strerror}") from None
    try:
        after = apply_events(core, config.known, 0)
    except DirectoryError as error:
        raise ConfigError(str(error)) from None
    if config.coordinator is not None:
        host = f"{config.coordinator[0]}:{config.coordinator[1]}"
        network.spawn(network.follow(Directory(core, host, after), config.coordinator))
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        network.loop.add_signal_handler(name, stop.set)
    network.loop.add_signal_handler(signal.SIGUSR1, lambda: log("counters", **counters.counts))
    attach_console(network.loop, Console(core, stop.set))
    log("ready", name=config.name, listen=",".join(listening))
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    await stop.wait()
    log("stopping", unanswered=core.unanswered)
    for each in (trunk, front):
        if each is not None:
            each.draining = True
    await asyncio.sleep(STAY_S)
    while core.unanswered or not all(each is None or each.flushed() for each in (trunk, front)):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)  # what was handed to the sockets last is written
    log("counters", lines_left_out=log.left_out, **counters.counts)
    log.close()


def main() -> int:
    """Run the softswitch."""
    parser = argparse.ArgumentParser(prog="stairhatch", description="a small SIP softswitch")
    parser.add_argument("--sip", metavar="FILE", help="run as the appliance that this file describes")
    path = parser.parse_args().sip
    try:
        config = read_appliance(path, dict(os.environ)) if path else read_platform(dict(os.environ))
        uvloop.run(run(config))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
