"""One softswitch at work: owns the wiring of the parts, the signals, the end, and what of a new configuration
is taken while it runs. It must never decide anything about a call, nor read a configuration itself. The parts
of the appliance are imported only where its configuration asks for them.
"""

from __future__ import annotations

import asyncio
import gc
import math
import os
import random
import resource
import secrets
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from stairhatch.config import Config, ConfigError
from stairhatch.node.call_manager import CallManager
from stairhatch.node.console import PROMPT, Console, Door
from stairhatch.node.counters import Counters
from stairhatch.node.directory import Directory, DirectoryError, apply_events, read_events
from stairhatch.node.io.accepted_connection import Bounds
from stairhatch.node.io.descriptor_budget import UNLIMITED, Descriptors, descriptors_held
from stairhatch.node.io.network import Listening, Network
from stairhatch.node.roster import RosterSide
from stairhatch.node.syslog import Log
from stairhatch.node.trunk_front import TrunkFront
from stairhatch.settings import lost_key

if TYPE_CHECKING:
    from stairhatch.fleet.config import FleetConfig
    from stairhatch.fleet.service import Fleet
    from stairhatch.scope.decisions import ScopedController
    from stairhatch.scope.sets import Numbers, ScopeConfig
    from stairhatch.sip.front import SipConfig, SipFront

STAY_S = 1.0  # after SIGTERM: connections come for 0.4 s, requests on them for 0.2 s more
LEAVE_S = 0.4  # a planned restart's SIGKILL comes 0.7 s after the longest deadline, or after `drain_s`
TELL_S, MOST_TOLD = 5.0, 5  # how often a restart says whom it waits for, and how many calls it names
FLUSHED_S = 2.0  # so long the end waits for a peer to read its answer or to hear a release
LAST_LOOK_S = 0.05  # before the end: what was handed to the sockets last is written
HAND_OVER_S = 2.0  # so long into an upgrade a caller that never pauses is sent to the new process


def unix_clock() -> Callable[[], float]:
    """Unix time, anchored once and advanced by the monotonic clock, so that it never steps."""
    anchor = time.time() - time.monotonic()
    return lambda: anchor + time.monotonic()


def attach_console(loop: asyncio.AbstractEventLoop, console: Console) -> Callable[[str], None]:
    """Read commands from standard input, where that can be watched. Its end ends nothing. Returns what
    prints there, which does nothing where nobody reads it.
    """

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
        return lambda text: None  # a file or /dev/null
    if sys.stdin is not None and sys.stdin.isatty():
        show(f"stairhatch: type help for the commands\n{PROMPT}")
    return show


OPERATORS = Bounds(most=12, first_s=3.0, young_s=0.05)  # connections at the door, in descriptors of its own


def most_callers(config: Config) -> int:
    """How many connections of callers are open at a time: three quarters of the descriptors, the others being
    for roster servers, the coordinator and the operators, and no more than a quarter of the memory holds.
    Half of that where another process may serve beside this one, since both count together.
    """
    most = min(config.sockets * 3 // 4, config.memory_mb * 8)
    return max(16, most if config.inherited is None else most // 2 - OPERATORS.most)


def most_descriptors(config: Config) -> int:
    """How many descriptors this process may hold: the lower of what the platform tells and what the system
    sets (RLIMIT_NOFILE, the soft limit, which is not raised).
    """
    real = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    most = UNLIMITED if real == resource.RLIM_INFINITY else real
    return min(most, config.sockets) if config.listen is not None else most


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
        self.scoped = self._scoped(config.scope, rng) if config.scope is not None else None
        self.core = CallManager(
            config.settings, rng, self.clock, self.log, self.counters, config.tracing, self.scoped
        )  # fmt: skip
        self.network = Network(self.core)
        RosterSide(self.core, self.network.dial)
        if self.scoped is not None:
            self.core.in_scope, self.scoped.changed = self.scoped.in_scope, self._scope_changed
        self.trunk: TrunkFront | None = None
        self.front: SipFront | None = None
        self.directory: Directory | None = None
        self.fleet: Fleet | None = None
        self.callers: list[Listening] = []
        self.after = 0  # the number of the last event, where no directory counts
        self.reloaded = "never"
        self.say: Callable[[str], None] = lambda text: None  # to the terminal, where there is one

    def _scoped(self, config: ScopeConfig, rng: random.Random) -> ScopedController:
        from stairhatch.scope.decisions import ScopedController

        return ScopedController(self.config.settings, rng, config)

    def _scope_changed(self, numbers: Numbers, classes: tuple[str, ...], came: bool) -> None:
        """A set of servers has come into scope or left: links are opened, or ended when nothing is due."""
        mine = [s for s in self.core.servers.values() if numbers is None or s.record.number in numbers]
        self.counters.add("scopes_in" if came else "scopes_out")
        self.log("scope", state="in" if came else "out", classes=",".join(classes), servers=len(mine))
        for server in mine:
            self.core.side.record_changed(server)

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
                listening += self._listen_sip(config.sip)
            if config.console is not None:
                network.listen(config.console, lambda peer: Door(core), OPERATORS)
                listening.append(f"console:{config.console[0]}:{config.console[1]}")
        except OSError as error:
            raise ConfigError(f"can't listen: {error.strerror}") from None
        network.listeners = self.callers
        kept = descriptors_held() + (OPERATORS.most if config.console is not None else 0)
        network.descriptors = Descriptors(most_descriptors(config), kept)
        if config.listen is not None and network.descriptors.most < config.sockets:
            self.log("descriptors", told=config.sockets, limit=network.descriptors.most)
        core.listening = config.inherited is None
        return ",".join(listening)

    def _listen_sip(self, config: SipConfig) -> list[str]:
        from stairhatch.sip.flows import host_port
        from stairhatch.sip.front import SipFront

        network, chance = self.network, random.Random(secrets.randbits(64))
        front = self.front = SipFront(
            self.core, config, lambda: secrets.token_hex(8), chance.random, secrets.token_bytes(32)
        )
        if front.gate is not None:
            network.watch(front.looked)
        front.dial = lambda connection: network.dial_caller(connection, connection.peer)
        told = []
        for port in front.ports:
            network.datagrams(port.local, port, callers=True)
            told.append(f"udp:{host_port(port.local)}")
        for each in config.tcp:
            bounds = Bounds(config.connections, idle_s=config.idle_s)
            self.callers.append(network.listen(each.place, front.connector(each), bounds))
            told.append(f"tcp:{host_port(each.place)}")
        return told

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
        if self.config.fleet is not None:
            self._join(self.config.fleet)
        if self.directory is not None:
            self.network.spawn(self.network.follow(self.directory))

    def _join(self, config: FleetConfig) -> None:
        """Take part in shared work. What can't be used ends the start, as with any address or file."""
        from stairhatch.fleet.service import Fleet, StoreError

        try:
            self.fleet = Fleet(self.core, self.network, config, self.config.settings)
        except StoreError as error:
            raise ConfigError(f"fleet.folder: {error}") from None
        except OSError as error:
            raise ConfigError(f"fleet.listen: {error.strerror}") from None
        if self.directory is not None and config.list:
            self.fleet.directory = self.directory
            self.directory.told, self.directory.may_ask = self.fleet.heard, self.fleet.may_ask
        self.fleet.begin()

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

    async def end(self, hurry: asyncio.Event) -> None:
        """SIGTERM: drain for good, until nothing is owed. The drain is that of `drain-on`. The appliance
        waits for calls that stand too, until its figure is up or `hurry` is set.
        """
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
        while not await self._quiet(lambda: core.settled() and all(each.is_flushed() for each in fronts)):
            now = self.network.loop.time()
            if core.unanswered and now >= last:
                self.log("drained", unanswered=core.unanswered)
                core.answer_all()
            answered = math.inf if core.unanswered else min(answered, now)
            if now > answered + FLUSHED_S:
                self.log("unread", why="a peer does not read what it is owed")
                break
            await asyncio.sleep(0.01)
        if self.front is not None:
            await self._end_dialogs(self.front, hurry)
        if self.config.inherited is not None:
            core.leave()
            while not self.network.emptied() and self.network.loop.time() < last:
                await asyncio.sleep(0.01)

    async def _quiet(self, settled: Callable[[], bool]) -> bool:
        """Whether nothing is owed, now and a moment later, and nothing has come that nobody has looked at.

        Guards against a request that comes in that moment, or lies unread: its connection was reset by the
        end of the process, with no answer.
        """
        if not settled() or self.network.unseen():
            return False
        await asyncio.sleep(LAST_LOOK_S)
        return settled() and not self.network.unseen()

    async def _end_dialogs(self, front: SipFront, hurry: asyncio.Event) -> None:
        """Wait for the dialogs that stand, and say for whom. What is left then is ended on both sides: the
        next process would know no dialog, and its roster server would never hear of the caller's BYE.
        """
        loop = self.network.loop
        last, told = loop.time() + front.config.restart_wait_s, 0.0
        while front.dialogs and loop.time() < last and not hurry.is_set():
            if loop.time() >= told:
                told = loop.time() + TELL_S
                shown = [
                    f"{leg.ident}@{leg.flow.peer[0]}" for leg in list(front.dialogs.values())[:MOST_TOLD]
                ]
                left = last - loop.time()
                self.log("waiting", dialogs=len(front.dialogs), for_s=f"{left:.0f}", calls=",".join(shown))
                self.say(f"waiting for {len(front.dialogs)} calls, {left:.0f} s at most: {' '.join(shown)}\n")
            await asyncio.sleep(0.02)
        if front.end_dialogs():
            last = loop.time() + FLUSHED_S
            while not (front.is_flushed() and self.core.settled()) and loop.time() < last:
                await asyncio.sleep(0.01)

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
        if self.scoped is not None and new.scope is not None and new.scope != old.scope:
            self.scoped.retune(self.scoped.settings, new.scope)
        if new.settings != old.settings:
            self.core.retune(self.fleet.tuned(new.settings) if self.fleet is not None else new.settings)
            self.counters.add("retunes")
        later = []
        if self.front is not None and new.sip is not None and not self.front.reconfigure(new.sip):
            later.append("sip")
        if (new.scope is None) is not (old.scope is None):
            later.append("scope")
        for name in ("name", "listen", "console", "sockets", "memory_mb", "syslog", "fleet"):
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


async def run(config: Config, reread: Callable[[], Config], hung_up: Callable[[], bool]) -> None:
    """Serve until SIGTERM, SIGINT or `quit`, then finish what was taken. `hung_up` tells whether SIGHUP has
    come since the configuration was read.
    """
    service = Service(config, reread)
    try:
        await _run(service, hung_up)
    finally:  # also where it ends in a fault: the lines before it are what tells why
        service.log.close()


async def _run(service: Service, hung_up: Callable[[], bool]) -> None:
    config, network, log, counters = service.config, service.network, service.log, service.counters
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):  # before anything can be taken
        network.loop.add_signal_handler(name, stop.set)
    listening = service.listen()
    service.follow()
    network.loop.add_signal_handler(signal.SIGHUP, service.reload)
    network.loop.add_signal_handler(signal.SIGUSR1, lambda: log("counters", **counters.counts))
    if hung_up():
        service.reload()
    service.say = attach_console(network.loop, Console(service.core, stop.set, service.state))
    log("ready", name=config.name, listen=listening)
    network.spawn(service.begin())
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    await stop.wait()
    stop.clear()  # set once more it ends the waiting for calls that stand
    await service.end(stop)
    if service.fleet is not None:
        service.fleet.end()
    log("counters", lines_left_out=log.left_out, **counters.counts)
