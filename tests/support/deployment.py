"""One program before scripted servers, as most tests over real sockets need it."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any, NamedTuple

from .call_ids import next_call_id
from .program import Program
from .scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .scripted_server import Script, ScriptedServer
from .sip_caller import SipCaller

PLATFORM = "platform"
APPLIANCE = "appliance"
FRONTENDS = (APPLIANCE, PLATFORM)
APPLIANCE_SERVERS = 2  # listed in deploy/sip.toml


class Deployment(NamedTuple):
    """A program and the servers it sends calls to; an appliance has no coordinator."""

    program: Program
    coordinator: ScriptedCoordinator | None
    servers: list[ScriptedServer]


class Deployments:
    """Starts programs with either frontend and ends them with the test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.programs: list[Program] = []

    def __call__(
        self,
        *scripts: Script | None,
        frontend: str = PLATFORM,
        servers: list[ScriptedServer] | None = None,
        cells: tuple[int, ...] | None = None,
        wait_until_serving: bool = False,
        **options: Any,
    ) -> Deployment:
        """Start a program before servers with these scripts, or before the given ones.

        `cells` are the numbers of the platform's servers, `options` are those of `Program.on_platform`. The
        appliance's file lists two servers: where there are fewer, further ones establish each call.
        """
        servers = servers or [ScriptedServer(script) for script in scripts]
        if frontend == APPLIANCE:
            further = [ScriptedServer() for _ in range(APPLIANCE_SERVERS - len(servers))]
            program = Program.as_appliance(self.folder, *servers, *further)
            coordinator = None
        else:
            numbered = zip(cells or range(len(servers)), servers, strict=False)
            entries = [endpoint_entry(f"s-{cell}", server.port, cell) for cell, server in numbered]
            coordinator = ScriptedCoordinator(*entries)
            program = Program.on_platform(self.folder, coordinator, **options)
        self.programs.append(program)
        if wait_until_serving:
            program.wait_until_serving()
        return Deployment(program, coordinator, servers)

    def end(self) -> None:
        """End every program, also one that was stopped by a signal."""
        for program in self.programs:
            program.process.send_signal(signal.SIGCONT)
            program.kill()


def establish_call(program: Program) -> SipCaller:
    """Place a call by a new caller, wait until it is established and return the caller."""
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    return caller
