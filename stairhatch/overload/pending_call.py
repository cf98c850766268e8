"""Records of calls that are owed an answer, and of called numbers that were busy. They decide nothing."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.settings import CallClass


@dataclass(slots=True)
class PendingCall:
    """A call that is owed its final answer."""

    id: int
    kind: CallClass
    choice: int
    offered_at: float
    answer_by: float
    worth: float  # what it can still earn
    in_transit: bool
    called: int
    hold_by: float  # it is held for room until then
    cap: int  # on attempts
    attempts: int = 0
    may_have_run: bool = False
    erred_at: tuple[int, ...] = ()  # servers that answered it with an error
    not_before: float = 0.0  # the release is awaited until then


@dataclass(slots=True)
class DestinationBackoff:
    """A called number whose lines were all busy."""

    gap_s: float = 0.0
    until: float = 0.0
