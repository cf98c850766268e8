"""The kinds of call events that emulated callers and roster servers report.

An emulator calls its observer at each event. The values of `ObservationKind` are written into the records of
a load run.
"""

from __future__ import annotations

from enum import StrEnum


class ObservationKind(StrEnum):
    """Kind of an observed event; each comment names the observing party."""

    CALL_PLACED = "asked"  # a caller sent its INVITE; retransmissions are not observed
    FINAL_RESPONSE = "final"  # a caller received a final response
    CALLER_HUNG_UP = "hung up"  # a caller cancelled a call or ended an established one
    CALLER_VANISHED = "vanished"  # a caller stopped sending and answering, without CANCEL or BYE
    BYE_RECEIVED = "told end"  # a caller received a BYE
    SETUP_RECEIVED = "set-up"  # a server received a set-up
    ESTABLISHED = "stood"  # a server established the call
    REJECTED = "refused"  # a server rejected the set-up, so the call did not run there
    RELEASE_RECEIVED = "given up"  # a server received a release of a pending set-up or established call
    RELEASED_BY_SERVER = "ended"  # a server released the call
    CONNECTION_LOST = "broke"  # a connection ended with a set-up pending, or a server died with a call open
    DRAIN_NOTIFIED = "told drain"  # a softswitch was notified that the server drains or has left the list
