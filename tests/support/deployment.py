"""Deployments for tests over real sockets: one program with scripted servers and a scripted coordinator."""

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
    """A program, its servers and its coordinator; the coordinator of an appliance is None."""

    program: Program
    coordinator: ScriptedCoordinator | None
    servers: list[ScriptedServer]


class Deployments:
    """Factory of deployments with either frontend; it also ends their programs after the test."""

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
        """Start a program with the given servers, or with one new server for each script.

        `cells` are the numbers of the servers, and `options` the options of `Program.on_platform`; both apply
        only to the platform's frontend. The appliance's file lists two servers: if fewer are given, the
        missing ones are started and establish each call.
        """
        servers = servers or [ScriptedServer(script) for script in scripts]
        if frontend == APPLIANCE:
            additional = [ScriptedServer() for _ in range(APPLIANCE_SERVERS - len(servers))]
            program = Program.as_appliance(self.folder, *servers, *additional)
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
        """End every program, including those that SIGSTOP has suspended."""
        for program in self.programs:
            program.process.send_signal(signal.SIGCONT)
            program.kill()


def establish_call(program: Program) -> SipCaller:
    """Establish a call from a new caller and return the caller."""
    caller, call_id = program.caller(), next_call_id()
    caller.invite(call_id)
    caller.expect(call_id, 200)
    return caller
