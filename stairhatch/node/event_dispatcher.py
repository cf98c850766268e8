"""Hands events to the overload control, one after the other, and has the actions that it returns executed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from stairhatch.node.calls import CallRegistry, CallState
from stairhatch.node.context import NodeContext, OverloadControl
from stairhatch.overload.actions import Action, FailCall, SendSetup
from stairhatch.overload.events import Event


class EventDispatcher:
    """The only caller of the overload control's `handle`.

    An event that an action leads to is handled after all actions on the event before it.
    """

    def __init__(
        self,
        context: NodeContext,
        calls: CallRegistry,
        controller: OverloadControl,
        execute: Callable[[Action], None],
    ) -> None:
        """Begin with no event; `execute` is called with each action."""
        self.controller = controller
        self._context = context
        self._calls = calls
        self._execute = execute
        self._queue: deque[Event] = deque()
        self._dispatching = False
        self._event_time = 0.0

    def dispatch(self, event: Event) -> None:
        """Give the overload control an event, or queue it where one is being handled."""
        self._queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                for action in self._decide(self._queue.popleft()):
                    self._execute(action)
        finally:
            self._dispatching = False

    def _decide(self, event: Event) -> list[Action]:
        """The actions on one event. If the decisions fail, that is logged and the call still answered."""
        actions: list[Action] = []
        try:
            for action in self.controller.handle(self._time_of_event(), event):
                actions.append(action)  # one by one: what came before a failure counts
        except Exception as error:  # noqa: BLE001 - a caller must not wait for a fault of ours
            self._context.counters.add("decision_faults")
            why = f"{type(error).__name__}: {error}"
            self._context.log("fault", why=why, event=type(event).__name__)
            call = self._calls.by_number.get(getattr(event, "call_id", 0))
            if call is not None and call.state is CallState.OFFERED and call.attempt is None:
                sent = any(isinstance(each, SendSetup) and each.call_id == call.number for each in actions)
                if not sent:
                    actions.append(FailCall(call.number))
        return actions

    def _time_of_event(self) -> float:
        """The decisions' time: one instant a period, as in the simulator.

        They look through all calls that they hold once an instant; with a new instant for each event that
        took more than half of a core where a thousand calls were held (snapshot 1e8dc2f4).
        """
        now = self._context.clock()
        if now - self._event_time >= self._context.settings.event_period_s:
            self._event_time = now
        return self._event_time
