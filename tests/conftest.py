"""Fixtures that several test modules share."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from stairhatch.overload.events import EndpointRecord
from stairhatch.overload.settings import Settings

from .support.access_node import SETTINGS, Node
from .support.deployment import APPLIANCE, PLATFORM, Deployment, Deployments
from .support.program import Program
from .support.scripted_server import Script, ScriptedServer
from .support.unusual_settings import UNUSUAL_CELLS, UNUSUAL_SETTINGS


@pytest.fixture
def make_node() -> Callable[..., Node]:
    """Function that returns a node with an endpoint list of servers 10, 11, ... with numbers 0, 1, ..."""

    def make(servers: int = 2, settings: Settings = SETTINGS, seed: int = 1) -> Node:
        node = Node(settings, seed)
        node.update_endpoints(*(EndpointRecord(10 + i, i) for i in range(servers)))
        return node

    return make


@pytest.fixture
def started_programs() -> Iterator[list[Program]]:
    """List of programs to which a test adds those that it starts; they are killed after the test."""
    programs: list[Program] = []
    yield programs
    for program in programs:
        program.kill()


@pytest.fixture
def start_deployment(tmp_path: Path) -> Iterator[Deployments]:
    """Function that starts a program with scripted servers; both are ended after the test."""
    deployments = Deployments(tmp_path)
    yield deployments
    deployments.end()


@pytest.fixture
def start_unusual(start_deployment: Deployments) -> Callable[..., Deployment]:
    """Function that starts a program with scripted servers; the platform runs under `UNUSUAL_SETTINGS`."""

    def start(
        *scripts: Script | None, frontend: str = PLATFORM, servers: list[ScriptedServer] | None = None
    ) -> Deployment:
        if frontend == APPLIANCE:
            return start_deployment(*scripts, frontend=frontend, servers=servers)
        return start_deployment(*scripts, servers=servers, cells=UNUSUAL_CELLS, settings=UNUSUAL_SETTINGS)

    return start
