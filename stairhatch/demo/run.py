"""Runs the demonstration: owns its configuration, its callers and the lines that tell what happens. It uses
the program as it is, and must never reach into it beyond its counters.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from stairhatch.application import Application
from stairhatch.config.appliance.reader import parse_appliance
from stairhatch.config.model import Config
from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.emulators.server_emulator import ServerEmulator
from stairhatch.node.address import format_address

NUMBERS = ("1000",) * 8 + ("1100",) * 4 + ("7000",) * 4 + ("1400",) * 2 + ("1500",) * 2 + ("1700",)
FILE = """\
name = "demo"
[sip]
{listen}
default_class = "read-roster"
restart_wait_s = 1.0
[[sip.numbers]]
prefix = "7"
class = "save-roster"
first_choice = 0
{servers}
[settings]
[[settings.classes]]
name = "read-roster"
aim_s = 1.5
hard_limit_s = 9.0
late_worth = 0.25
[[settings.classes]]
name = "save-roster"
aim_s = 1.5
hard_limit_s = 9.0
importance = 3.0
late_worth = 0.1
[settings.family_info]
clear_wait_s = 0.5
[settings.permissions]
send_cap = 6
cancel = true
max_retry_after_s = 2.0
[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]
"""


@dataclass(frozen=True)
class Demo:
    """What the demonstration is told."""

    udp: str = "127.0.0.1:5060"
    tcp: str = "127.0.0.1:5060"
    rate: float = 3.0  # calls a second; 0: none are placed
    seconds: float = 0.0  # 0: until it is interrupted
    auth: str = ""  # a file of users, to ask for them
    seed: int = 1


def configuration(demo: Demo, servers: list[ServerEmulator]) -> Config:
    """The embedded configuration, read as any file is."""
    listen = "\n".join(f'{name} = "{at}"' for name, at in (("udp", demo.udp), ("tcp", demo.tcp)) if at)
    lines = [
        f'[[servers]]\nname = "stand-in-{index + 1}"\n'
        f'address = "{format_address(each.address)}"\nnumber = {index}'
        for index, each in enumerate(servers)
    ]
    auth = f'\n[sip.auth]\nusers = "{demo.auth}"\nrealm = "stairhatch"\n' if demo.auth else ""
    text = FILE.format(listen=listen, servers="\n".join(lines)) + auth
    return parse_appliance(text, os.path.join(os.getcwd(), "demo"), {})


class Show:
    """What is told of the calls."""

    def __init__(self, say: Callable[[str], None]) -> None:
        self.say = say
        self.ends: Counter[str] = Counter()
        self.placed = 0

    def ended(self, call: PlacedCall, end: CallResult, took_s: float, status: int) -> None:
        """A call has its final answer."""
        self.ends[end.value] += 1
        self.say(f"  call to {call.number}: {end.value} ({status}) after {took_s * 1000:.0f} ms")

    def summary(self, application: Application) -> str:
        """The state of things in a line."""
        told = (
            ", ".join(f"{count} {name}" for name, count in sorted(self.ends.items())) or "no call ended yet"
        )
        core = application.parts.core
        standing = len(core.calls.by_number) - core.calls.unanswered
        return f"{self.placed} placed: {told}; {standing} stand now, {core.calls.unanswered} being set up"


async def demonstrate(demo: Demo, say: Callable[[str], None]) -> int:
    """Run it; returns 0 if every call that ended had one final answer and some stood, else 1."""
    servers = [await ServerEmulator().listen() for _ in range(2)]
    config = configuration(demo, servers)
    application = Application(config, lambda: config)
    listening = application.open_listeners()
    application.start_discovery()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        application.parts.network.loop.add_signal_handler(name, stop.set)
    while not application.parts.core.readiness.startup_health().is_ready:
        await asyncio.sleep(0.01)
    await application.serve_when_ready()
    say(f"the appliance listens on {listening}; two stand-in roster servers answer")
    show = Show(say)
    calling = asyncio.create_task(_call(demo, show, application))
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stop.wait(), demo.seconds or None)
    calling.cancel()
    say("draining: what was taken is answered, what stands may end")
    skip_dialogs = asyncio.Event()
    await application.shut_down(skip_dialogs)
    say(show.summary(application))
    for each in servers:
        await each.close()
    application.parts.log.close()
    return 0 if not demo.rate or show.ends["stood"] else 1


async def _call(demo: Demo, show: Show, application: Application) -> None:
    """Place calls, alternating between the transports."""
    if not demo.rate:
        return
    chance, loop = random.Random(demo.seed), asyncio.get_running_loop()
    callers = []
    for order, (at, make) in enumerate(
        ((demo.udp, CallerEmulator.over_udp), (demo.tcp, CallerEmulator.over_tcp))
    ):
        if at:
            host, _, port = at.rpartition(":")
            callers.append(await make((host.strip("[]"), int(port)), f"office{order + 1}", demo.seed + order))
    told = loop.time()
    while True:
        await asyncio.sleep(chance.expovariate(demo.rate))
        caller = chance.choice(callers)
        show.placed += 1
        caller.place(chance.choice(NUMBERS), chance.uniform(1.0, 4.0), loop.time(), show.ended)
        if loop.time() - told >= 5.0:
            told = loop.time()
            show.say(show.summary(application))
