"""Dispatch of events to the overload control, one at a time, and execution of the actions it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from stairhatch.node.calls import CallRegistry, CallState
from stairhatch.node.context import NodeContext, OverloadControl
from stairhatch.overload.actions import Action, FailCall, SendSetup
from stairhatch.overload.events import Event


class EventDispatcher:
    """Queue of events, and the only caller of `OverloadControl.handle`.

    An event that the execution of an action causes is handled after all actions of the current event.
    """

    def __init__(
        self,
        context: NodeContext,
        calls: CallRegistry,
        controller: OverloadControl,
        execute: Callable[[Action], None],
    ) -> None:
        """Start with an empty queue; `execute` is called with each action of the overload control."""
        self.controller = controller
        self._context = context
        self._calls = calls
        self._execute = execute
        self._queue: deque[Event] = deque()
        self._dispatching = False
        self._event_time = 0.0

    def dispatch(self, event: Event) -> None:
        """Pass an event to the overload control, or queue it if another event is being handled."""
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
        """Return the actions of the overload control on one event.

        An exception of the overload control is logged. The event's call is then failed, unless it has an
        attempt in progress or one among the actions returned before the exception.
        """
        actions: list[Action] = []
        try:
            for action in self.controller.handle(self._time_of_event(), event):
                actions.append(action)  # one at a time, to keep the actions returned before an exception
        except Exception as error:  # noqa: BLE001 - the caller must get an answer despite the fault
            self._context.counters.add("decision_faults")
            why = f"{type(error).__name__}: {error}"
            self._context.log("fault", why=why, event=type(event).__name__)
            call = self._calls.by_number.get(getattr(event, "call_id", 0))
            if call is not None and call.state is CallState.OFFERED and call.attempt is None:
                has_setup = any(
                    isinstance(each, SendSetup) and each.call_id == call.number for each in actions
                )
                if not has_setup:
                    actions.append(FailCall(call.number))
        return actions

    def _time_of_event(self) -> float:
        """Return the event time in seconds. It advances once per `event_period_s`, as in the simulator.

        The overload control scans all pending calls once per distinct event time. With a new time for each
        event the scans took more than half of a core at a thousand pending calls (snapshot 1e8dc2f4).
        """
        now = self._context.clock()
        if now - self._event_time >= self._context.settings.event_period_s:
            self._event_time = now
        return self._event_time
