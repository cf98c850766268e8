"""What the emulators of both sides observe of a call.

An emulator calls its observer as things happen; the values are what records of a load are written with.
"""

from __future__ import annotations

from enum import StrEnum


class ObservationKind(StrEnum):
    """What was observed, and by whom."""

    CALL_PLACED = "asked"  # a caller sent its INVITE; retransmissions do not count
    FINAL_RESPONSE = "final"  # a caller received a final response
    CALLER_HUNG_UP = "hung up"  # a caller cancelled a call or ended an established one
    CALLER_VANISHED = "vanished"  # a caller is gone without a word
    BYE_RECEIVED = "told end"  # a caller was notified that its call has ended
    SETUP_RECEIVED = "set-up"  # a server received a set-up
    ESTABLISHED = "stood"  # a server established the call
    REJECTED = "refused"  # a server rejected the set-up: it never ran
    RELEASE_RECEIVED = "given up"  # a server was notified that a set-up is abandoned, or a call released
    RELEASED_BY_SERVER = "ended"  # a server ended the call
    CONNECTION_LOST = "broke"  # the connection ended under a set-up, or the server's process under a call
    DRAIN_NOTIFIED = "told drain"  # a softswitch was notified that the server drains or is gone
