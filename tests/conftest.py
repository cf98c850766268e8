"""Fixtures that several test modules share."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from stairhatch.overload.events import EndpointRecord
from stairhatch.overload.settings import Settings

from .support.access_node import SETTINGS, Node


@pytest.fixture
def make_node() -> Callable[..., Node]:
    """Nodes that know servers 10, 11, ... with numbers 0, 1, ..."""

    def make(servers: int = 2, settings: Settings = SETTINGS, seed: int = 1) -> Node:
        node = Node(settings, seed)
        node.update_endpoints(*(EndpointRecord(10 + i, i) for i in range(servers)))
        return node

    return make


@pytest.fixture
def started():
    """Programs that are ended with the test."""
    programs = []
    yield programs
    for each in programs:
        each.kill()
