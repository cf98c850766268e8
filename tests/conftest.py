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
    """Nodes that know servers 10, 11, ... with numbers 0, 1, ..."""

    def make(servers: int = 2, settings: Settings = SETTINGS, seed: int = 1) -> Node:
        node = Node(settings, seed)
        node.update_endpoints(*(EndpointRecord(10 + i, i) for i in range(servers)))
        return node

    return make


@pytest.fixture
def started_programs() -> Iterator[list[Program]]:
    """A list of programs that are ended with the test."""
    programs: list[Program] = []
    yield programs
    for program in programs:
        program.kill()


@pytest.fixture
def start_deployment(tmp_path: Path) -> Iterator[Deployments]:
    """Starts a program before scripted servers; ends it with the test."""
    deployments = Deployments(tmp_path)
    yield deployments
    deployments.end()


@pytest.fixture
def start_unusual(start_deployment: Deployments) -> Callable[..., Deployment]:
    """Starts a program before two servers; on the platform under settings that no deployment has."""

    def start(
        *scripts: Script | None, frontend: str = PLATFORM, servers: list[ScriptedServer] | None = None
    ) -> Deployment:
        if frontend == APPLIANCE:
            return start_deployment(*scripts, frontend=frontend, servers=servers)
        return start_deployment(*scripts, servers=servers, cells=UNUSUAL_CELLS, settings=UNUSUAL_SETTINGS)

    return start
