"""What the call manager asks of its neighbours: server connections, overload control and event log."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.overload import endpoint
from stairhatch.overload.actions import Action
from stairhatch.overload.events import Event
from stairhatch.overload.settings import Settings

Logger = Callable[..., None]


class ServerPool(Protocol):
    """What the core asks of the side that speaks to the roster servers."""

    def record_changed(self, server: RosterServer) -> None: ...
    def send_setup(self, attempt: Attempt) -> None: ...
    def send_release(self, server: RosterServer, ident: str, cause: int) -> None: ...
    def shut_down(self) -> None: ...
    def is_flushed(self) -> bool: ...


class OverloadControl(Protocol):
    """What decides: a Controller, or what stands in its place."""

    @property
    def servers(self) -> Mapping[int, endpoint.Endpoint]: ...
    def handle(self, now: float, event: Event) -> Iterator[Action]: ...
    def retune(self, settings: Settings) -> None: ...
    def is_cold(self, now: float, server: endpoint.Endpoint) -> bool: ...
    def turns_in_span(self, now: float, server: endpoint.Endpoint) -> float: ...
