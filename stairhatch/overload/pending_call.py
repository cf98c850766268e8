"""Records of calls that are owed an answer, and of called numbers that were busy. They decide nothing."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.events import CallOffered
from stairhatch.overload.settings import CallClass


@dataclass(slots=True)
class PendingCall:
    """A call that is owed its final answer."""

    id: int
    call_class: CallClass
    preferred_number: int
    offered_at: float
    answer_by: float
    weight: float  # what it can still earn
    in_transit: bool
    called_number: int
    queue_until: float  # it is held for room until then
    max_attempts: int  # on attempts
    attempts: int = 0
    may_have_run: bool = False
    error_servers: tuple[int, ...] = ()  # servers that answered it with an error
    not_before: float = 0.0  # the release is awaited until then

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


@dataclass(slots=True)
class DestinationBackoff:
    """A called number whose lines were all busy."""

    interval_s: float = 0.0
    next_trial_at: float = 0.0
