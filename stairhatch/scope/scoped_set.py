"""A set of servers in scope, with the controller that decides on its calls."""

from __future__ import annotations

import math
from collections.abc import Iterator

from stairhatch.overload.actions import Action
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import EndpointRecord, EndpointsUpdated, Event
from stairhatch.scope.server_sets import ServerSet

ANSWER_OVERDUE_S = 1.0  # a call is closed so long after its answer was due, whatever the controller holds


class ScopedSet:
    """A set in scope."""

    def __init__(self, timer_id: int, server_set: ServerSet, controller: Controller) -> None:
        """Nothing is known of its servers yet; `timer_id` is that of its only timer."""
        self.timer_id = timer_id
        self.server_set = server_set
        self.controller = controller
        self.last_used_at = -math.inf  # when the last call of its classes came
        self.unsent_records: tuple[EndpointRecord, ...] = ()  # its controller takes them with the next event

    @property
    def class_names(self) -> tuple[str, ...]:
        """The names of its classes."""
        return tuple(each.name for each in self.server_set.classes)

    def has_open_call(self, now: float) -> bool:
        """Whether a call is still to be answered."""
        return any(call.answer_by + ANSWER_OVERDUE_S > now for call in self.controller.calls.values())

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Have the controller take an event, and before it the records that it does not have yet."""
        if self.unsent_records:
            records = self.unsent_records
            self.unsent_records = ()
            update = EndpointsUpdated(records, complete=False)
            self.controller.parts.registry.update(now, update)
        return self.controller.handle(now, event)
