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
import math
import os
import random
import secrets
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import uvloop

from stairhatch.interface import Settings
from stairhatch.node.console import PROMPT, Console, Door
from stairhatch.node.core import Core, Counters
from stairhatch.node.directory import Directory, DirectoryError, apply_events, parse_address, read_events
from stairhatch.node.net import Bounds, Listening, Network
from stairhatch.node.roster import RosterSide
from stairhatch.node.sip_front import SipConfig, SipConfigError, SipFront, read_sip_config
from stairhatch.node.syslog import Log
from stairhatch.node.trunk_front import TrunkFront
from stairhatch.settings import SettingsError, lost_key, settings_from

STAY_S = 1.0  # after SIGTERM: connections come for 0.4 s, requests on them for 0.2 s more
LEAVE_S = 0.4  # a planned restart's SIGKILL comes 0.7 s after the longest deadline, which counts as ...
RESTART_S, UPGRADE_S = 3.0, 5.0  # ... so much where it is longer, and so much where a process follows
FLUSHED_S = 2.0  # so long the end waits for a peer to read its answer or to hear a release
HAND_OVER_S = 2.0  # so long into an upgrade a caller that never pauses is sent to the new process


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
    raw: Any = None  # as it was read, of what must not lose a key


def _settings(raw: Any) -> Settings:
    """The settings, in which each class can be told by its name."""
    settings = settings_from(raw)[0]
    names = [kind.name for kind in settings.classes]
    if not names or len(set(names)) < len(names):
        raise ConfigError(f"settings.classes: {'two have one name' if names else 'there is none'}")
    return settings


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
        inherited = int(environ["RELAY_INHERITED_FD"]) if environ.get("RELAY_INHERITED_FD") else None
        return Config(
            name=str(environ.get("RELAY_NAME") or raw["name"]),
            settings=_settings(raw["settings"]),
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


def read_appliance(path: str, environ: dict[str, str]) -> Config:
    """Read a file such as deploy/sip.toml."""
    try:
        raw = tomllib.loads(_read(path))
        settings = _settings(raw["settings"])
        listed = [
            {
                "instanceId": line["name"], "hostPort": line["address"],
                "cell": line["number"], "lifecycle": line.get("state", "in_service"),
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
            console=_console(raw, environ),
            raw={"settings": raw["settings"]},  # the rest may lose what was optional
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


OPERATORS = Bounds(most=12, first_s=3.0, young_s=0.05)  # connections at the door, in descriptors of its own


def most_callers(config: Config) -> int:
    """How many connections of callers are open at a time: three quarters of the descriptors, the others being
    for roster servers, the coordinator and the operators, and no more than a quarter of the memory holds.
    Half of that where another process may serve beside this one, since both count together.
    """
    most = min(config.sockets * 3 // 4, config.memory_mb * 8)
    return max(16, most if config.inherited is None else most // 2 - OPERATORS.most)


def inherit(descriptor: int) -> socket.socket:
    """The listening socket that the platform owns: it is never bound, shut down or unlinked here."""
    try:
        sock = socket.socket(fileno=descriptor)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"RELAY_INHERITED_FD: descriptor {descriptor} does not listen")
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"RELAY_INHERITED_FD: descriptor {descriptor}: {error}") from None
    return sock


class Service:
    """One softswitch at work: its parts, and what of a new configuration they take while they run."""

    def __init__(self, config: Config, reread: Callable[[], Config]) -> None:
        self.config, self.reread = config, reread
        self.clock = unix_clock()
        self.log = Log("stairhatch", socket.gethostname(), self.clock, config.syslog)
        self.counters = Counters()
        rng = random.Random(config.seed or None)
        self.core = Core(config.settings, rng, self.clock, self.log, self.counters, config.tracing)
        self.network = Network(self.core)
        RosterSide(self.core, self.network.dial)
        self.trunk: TrunkFront | None = None
        self.front: SipFront | None = None
        self.directory: Directory | None = None
        self.callers: list[Listening] = []
        self.after = 0  # the number of the last event, where no directory counts
        self.reloaded = "never"

    def listen(self) -> str:
        """Open the fronts; returns their addresses."""
        config, network, core = self.config, self.network, self.core
        listening: list[str] = []
        try:
            if config.listen is not None:
                self.trunk = TrunkFront(core)
                at = config.listen if config.inherited is None else inherit(config.inherited)
                bounds = Bounds(most_callers(config))
                self.callers.append(network.listen(at, self.trunk.connect, bounds, config.inherited is None))
                listening.append(f"{config.listen[0]}:{config.listen[1]}")
            if config.sip is not None:
                front = self.front = SipFront(core, config.sip, lambda: secrets.token_hex(8))
                front.dial = network.dial_caller
                if config.sip.udp is not None:
                    network.datagrams(config.sip.udp, front.datagrams)
                    listening.append(f"udp:{config.sip.udp[0]}:{config.sip.udp[1]}")
                if config.sip.tcp is not None:
                    bounds = Bounds(config.sip.connections)
                    self.callers.append(network.listen(config.sip.tcp, front.connect, bounds))
                    listening.append(f"tcp:{config.sip.tcp[0]}:{config.sip.tcp[1]}")
            if config.console is not None:
                network.listen(config.console, lambda peer: Door(core), OPERATORS)
                listening.append(f"console:{config.console[0]}:{config.console[1]}")
        except OSError as error:
            raise ConfigError(f"can't listen: {error.strerror}") from None
        network.listeners = self.callers
        core.listening = config.inherited is None
        return ",".join(listening)

    def follow(self) -> None:
        """Take in the roster servers that are known, and what the coordinator tells of them."""
        try:
            self.after = apply_events(self.core, self.config.known, 0)
        except DirectoryError as error:
            raise ConfigError(str(error)) from None
        if self.config.coordinator is not None:
            self.directory = Directory(self.core, self.config.coordinator, self.after)
        else:
            self.core.list_known = True
        if self.directory is not None:
            self.network.spawn(self.network.follow(self.directory))

    async def begin(self) -> None:
        """Once the list is known and each link has been tried: accept on a socket shared with another
        process, and say that callers are served.
        """
        while self.core.awaits():
            await asyncio.sleep(0.01)
        if not self.core.ending:
            for listening in self.callers:
                listening.open()
            self.core.listening = True
            self.log("serving", servers=len(self.core.servers))

    async def end(self) -> None:
        """SIGTERM: drain for good, until nothing is owed. The drain is that of `drain-on`."""
        core, started = self.core, self.network.loop.time()
        self.log("stopping", unanswered=core.unanswered)
        core.ending = True
        if self.config.inherited is not None:  # the next process takes who comes from now on
            core.listening, core.turn_away_s = False, HAND_OVER_S
            for listening in self.callers:
                listening.close()
        core.drain(True)
        longest = max((kind.deadline_s for kind in core.settings.classes), default=0.0)
        last = started + min(longest, self.config.drain_s) + LEAVE_S if self.trunk else math.inf
        if self.config.inherited is None:
            await asyncio.sleep(STAY_S)
        fronts = [each for each in (self.trunk, self.front) if each is not None]
        answered = math.inf  # since when
        while not core.settled() or not all(each.flushed() for each in fronts):
            now = self.network.loop.time()
            if core.unanswered and now >= last:
                self.log("drained", unanswered=core.unanswered)
                core.answer_all()
            answered = math.inf if core.unanswered else min(answered, now)
            if now > answered + FLUSHED_S:
                self.log("unread", why="a peer does not read what it is owed")
                break
            await asyncio.sleep(0.01)
        if self.config.inherited is not None:
            core.leave()
            while not self.network.emptied() and self.network.loop.time() < last:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # what was handed to the sockets last is written

    def state(self) -> str:
        """What the console shows of the configuration and the directory."""
        text = f"reload     {self.reloaded}\n"
        if self.directory is not None:
            host, port = self.directory.address
            age = self.clock() - self.directory.told_at
            text += f"directory  {host}:{port}, event {self.directory.after}, last heard {age:.1f} s ago\n"
        return text

    def reload(self) -> None:
        """SIGHUP: read the configuration anew. One that can't be used changes nothing."""
        try:
            new = self.reread()
            listed = read_events(new.known, 0)[1]  # before anything is changed
            if lost := lost_key(self.config.raw, new.raw):
                raise ConfigError(f"{lost} is missing, and is in force")
            if (new.coordinator is None) is not (self.config.coordinator is None):
                raise ConfigError("a coordinator in place of listed servers, or the reverse, wants a restart")
        except (ConfigError, DirectoryError) as error:
            self.counters.add("reloads_refused")
            self.reloaded = f"refused: {error}"
            self.log("reload", result="refused", why=str(error))
            return
        old, self.config = self.config, new
        self.core.tracing = new.tracing if new.tracing is not old.tracing else self.core.tracing
        if self.directory is not None and new.coordinator is not None:
            self.directory.after = apply_events(self.core, new.known, self.directory.after)
            if new.coordinator != old.coordinator:
                self.directory.move(new.coordinator)
        elif new.known != old.known:  # the list in the file is the whole list
            self.core.list_servers(listed[0][1], complete=True)
        if new.settings != old.settings:
            self.core.retune(new.settings)
            self.counters.add("retunes")
        later = []
        if self.front is not None and new.sip is not None:
            kept = self.front.config
            self.front.config = replace(
                kept, numbers=new.sip.numbers, default_class=new.sip.default_class
            )
            if self.front.config != new.sip:
                later.append("sip")
        for name in ("name", "listen", "console", "sockets", "memory_mb", "syslog"):
            if getattr(new, name) != getattr(old, name):
                later.append(name)
        self.config = replace(
            new, sip=self.front.config if self.front is not None else new.sip,
            **{name: getattr(old, name) for name in later if name != "sip"},
        )  # fmt: skip
        self.counters.add("reloads")
        at = time.strftime("%F %T", time.gmtime(self.clock()))
        self.reloaded = at + (f", not taken over: {', '.join(later)}" if later else "")
        where = f"{new.coordinator[0]}:{new.coordinator[1]}" if new.coordinator else "-"
        was, now = ([kind.name for kind in config.settings.classes] for config in (old, new))
        changed = "new" if new.settings != old.settings else "same"
        self.log(
            "reload", result="taken", coordinator=where, settings=changed,
            classes=",".join(now), added=",".join(n for n in now if n not in was) or "-",
            removed=",".join(n for n in was if n not in now) or "-", wants_restart=",".join(later) or "-",
        )  # fmt: skip


async def run(config: Config, reread: Callable[[], Config]) -> None:
    """Serve until SIGTERM, SIGINT or `quit`, then finish what was taken."""
    service = Service(config, reread)
    network, log, counters = service.network, service.log, service.counters
    listening = service.listen()
    service.follow()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        network.loop.add_signal_handler(name, stop.set)
    network.loop.add_signal_handler(signal.SIGHUP, service.reload)
    network.loop.add_signal_handler(signal.SIGUSR1, lambda: log("counters", **counters.counts))
    attach_console(network.loop, Console(service.core, stop.set, service.state))
    log("ready", name=config.name, listen=listening)
    network.spawn(service.begin())
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    await stop.wait()
    await service.end()
    log("counters", lines_left_out=log.left_out, **counters.counts)
    log.close()


def main() -> int:
    """Run the softswitch."""
    parser = argparse.ArgumentParser(prog="stairhatch", description="a small SIP softswitch")
    parser.add_argument("--sip", metavar="FILE", help="run as the appliance that this file describes")
    path = parser.parse_args().sip
    environ = dict(os.environ)
    reread = partial(read_appliance, path, environ) if path else partial(read_platform, environ)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # what comes before the start is over is read anyway
    try:
        uvloop.run(run(reread(), reread))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
