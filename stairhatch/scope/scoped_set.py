"""A set of servers in scope together with the controller that handles its calls."""

from __future__ import annotations

import math
from collections.abc import Iterator

from stairhatch.overload.actions import Action
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import EndpointRecord, EndpointsUpdated, Event
from stairhatch.scope.server_sets import ServerSet

ANSWER_OVERDUE_S = 1.0  # an open call no longer keeps its set in scope this long after its answer was due


class ScopedSet:
    """A set in scope: the servers, their controller and the time of their last call."""

    def __init__(self, timer_id: int, server_set: ServerSet, controller: Controller) -> None:
        """Start without state of the servers; `timer_id` is the id of the only timer of the set."""
        self.timer_id = timer_id
        self.server_set = server_set
        self.controller = controller
        self.last_used_at = -math.inf  # time of the last call of its classes
        self.unsent_records: tuple[EndpointRecord, ...] = ()  # passed to the controller before the next event

    @property
    def class_names(self) -> tuple[str, ...]:
        """The names of the call classes of the set."""
        return tuple(each.name for each in self.server_set.classes)

    def has_open_call(self, now: float) -> bool:
        """Return whether a call is unanswered and not overdue by more than ANSWER_OVERDUE_S."""
        return any(call.answer_by + ANSWER_OVERDUE_S > now for call in self.controller.calls.values())

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Pass an event to the controller, preceded by the endpoint records that it has not received yet."""
        if self.unsent_records:
            records = self.unsent_records
            self.unsent_records = ()
            update = EndpointsUpdated(records, complete=False)
            self.controller.parts.registry.update(now, update)
        return self.controller.handle(now, event)
