"""Records of calls that are owed a final answer, and of busy called numbers. They decide nothing."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.events import CallOffered
from stairhatch.overload.settings import CallClass


@dataclass(slots=True, eq=False, repr=False)
class PendingCall:
    """A call that is owed its final answer."""

    id: int
    call_class: CallClass
    preferred_number: int
    offered_at: float
    answer_by: float
    weight: float  # its class's, less in a caller's retry
    in_transit: bool
    called_number: int
    queue_until: float  # it is rejected if no endpoint was available until then
    max_attempts: int
    attempts: int = 0
    may_have_run: bool = False  # an attempt may have been processed
    error_servers: tuple[int, ...] = ()  # servers that answered it with an error
    not_before: float = 0.0  # no further attempt before: the end of the last one was unclear

    @classmethod
    def offered(
        cls, event: CallOffered, now: float, answer_by: float, queue_until: float, max_attempts: int
    ) -> PendingCall:
        """A call as it comes; its class must be known. Its weight is its class's."""
        assert event.call_class is not None
        return cls(
            id=event.call_id,
            call_class=event.call_class,
            preferred_number=event.preferred_number,
            offered_at=now,
            answer_by=answer_by,
            weight=event.call_class.priority_weight,
            in_transit=event.in_transit,
            called_number=event.called_number,
            queue_until=queue_until,
            max_attempts=max_attempts,
        )


@dataclass(slots=True, eq=False, repr=False)
class DestinationBackoff:
    """A called number whose lines were all busy."""

    interval_s: float = 0.0  # between trial calls
    next_trial_at: float = 0.0
