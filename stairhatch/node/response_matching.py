"""Matching of a roster server's response to one of the attempts of a call.

A response names its call, and not the attempt. A server answers a set-up on the connection that the set-up
was written on, and it may still answer one that was given up. So a response on the connection of an attempt
that was given up and is unanswered may belong to that attempt, though a later one is in progress at the same
server.
"""

from __future__ import annotations

from enum import Enum

from stairhatch.node.calls import Call, RosterServer, are_same_process


class ResponseOrigin(Enum):
    """The attempt that a response belongs to, as far as its connection shows."""

    CURRENT = "current"
    EARLIER = "earlier"  # an attempt that was given up
    AMBIGUOUS = "ambiguous"  # the current attempt, or an earlier one on the same connection


def match_response(call: Call, server: RosterServer, connection_id: int) -> ResponseOrigin:
    """Return the origin of a server's response on a connection.

    The response counts as that of the oldest unanswered set-up on the connection, if there is one, which is
    then removed from the call's unanswered set-ups.
    """
    if not _take_unanswered(call, server, connection_id):
        return ResponseOrigin.CURRENT
    current = call.attempt
    is_possibly_current = (
        current is not None
        and current.written
        and are_same_process(current.server, server)
        and current.connection_id == connection_id
    )
    return ResponseOrigin.AMBIGUOUS if is_possibly_current else ResponseOrigin.EARLIER


def _take_unanswered(call: Call, server: RosterServer, connection_id: int) -> bool:
    for setup in call.unanswered_setups:
        if setup.connection_id == connection_id and are_same_process(setup.server, server):
            call.unanswered_setups.remove(setup)
            return True
    return False
