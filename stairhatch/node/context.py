"""Dependencies of the call manager: the context of the process and two interfaces that it calls.

The interfaces are the server connection pool and the overload control.
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

Logger = Callable[..., None]  # called with the event's name and its fields as keyword arguments


class ServerPool(Protocol):
    """Interface of the pool of connections to the roster servers."""

    def record_changed(self, server: RosterServer) -> None:
        """Open or close connections to a server whose endpoint list record is new or has changed."""

    def send_setup(self, attempt: Attempt) -> None:
        """Write a set-up once connected, if `AttemptManager.claim_transmission` permits it then."""

    def send_release(self, server: RosterServer, ident: str, cause: int) -> bool:
        """Send a release by a Q.850 cause: the server ends the call, or cancels its set-up.

        Returns whether the release waits to be written; False if it is written at once, or cannot be sent.
        """

    def shut_down(self) -> None:
        """Shut the pool down; from now on servers send to the process that takes over."""

    def is_flushed(self) -> bool:
        """Whether all messages to the servers have been written."""


class OverloadControl(Protocol):
    """Interface of the component that decides where calls go, such as `Controller`.

    Times are those of `NodeContext.clock`, in seconds.
    """

    @property
    def endpoints(self) -> Mapping[int, endpoint.Endpoint]:
        """State of each server, by the server's id."""

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Process an event and yield the actions to execute."""

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings in force."""

    def is_warming_up(self, now: float, server: endpoint.Endpoint) -> bool:
        """Whether a server is warming up (in slow start)."""

    def slow_start_slots(self, now: float, server: endpoint.Endpoint) -> float:
        """Return how many set-ups this softswitch may send to a server in slow start at the time `now`."""


@dataclass(slots=True, eq=False, repr=False)
class NodeContext:
    """Context of one process, shared by all components of its call manager. A reload replaces `settings`."""

    settings: Settings
    clock: Callable[[], float]  # Unix time in seconds, without steps
    log: Logger
    counters: Counters
    tracing: bool = False  # whether the steps of each call are logged
