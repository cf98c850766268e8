"""What the call manager is given: its process's context, and the neighbours that it asks for something.

The neighbours are the connections to the servers and the overload control.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.node.counters import Counters
from stairhatch.overload import endpoint
from stairhatch.overload.actions import Action
from stairhatch.overload.events import Event
from stairhatch.overload.settings import Settings

Logger = Callable[..., None]  # (event, **fields)


class ServerPool(Protocol):
    """The connections to the roster servers."""

    def record_changed(self, server: RosterServer) -> None:
        """A server's record in the endpoint list is new or has changed."""

    def send_setup(self, attempt: Attempt) -> None:
        """Write a set-up once there is a connection, if `AttemptManager.claim_transmission` permits."""

    def send_release(self, server: RosterServer, ident: str, cause: int) -> None:
        """Have a server release a call, or give a set-up up."""

    def shut_down(self) -> None:
        """Another process takes over: what servers send from now on comes on its connections."""

    def is_flushed(self) -> bool:
        """Whether all that is owed to the servers has been written."""


class OverloadControl(Protocol):
    """What decides where calls go: a `Controller`, or what stands in its place. Times are the clock's."""

    @property
    def endpoints(self) -> Mapping[int, endpoint.Endpoint]:
        """What it knows of each server, by the server's id."""

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Take an event in and yield what is to be done."""

    def update_settings(self, settings: Settings) -> None:
        """Go by other settings from now on."""

    def is_warming_up(self, now: float, server: endpoint.Endpoint) -> bool:
        """Whether a server is in its slow start."""

    def slow_start_slots(self, now: float, server: endpoint.Endpoint) -> float:
        """How many set-ups this instance may send to a server in its slow start, now."""


@dataclass(slots=True, eq=False, repr=False)
class NodeContext:
    """One for a process, shared by the parts of its call manager. A reload replaces `settings`."""

    settings: Settings
    clock: Callable[[], float]  # Unix time in seconds, which never steps
    log: Logger
    counters: Counters
    tracing: bool = False  # whether each call leaves lines in the event log
