"""What a receiver goes by: owns the highest ticket seen of each claim, and refuses what comes under a lower
one. It must never forget one while it runs; what is worth it is kept over restarts by whoever drives it.

A lease alone binds nobody who is stopped between its check and its write; the receiver's memory does
(fencing: Burrows, OSDI 2006, section 2.4, 'sequencer').
"""

from __future__ import annotations

from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    PeerAddress,
    PersistFencingToken,
    SendMessage,
)
from stairhatch.fleet.messages import Superseded

MAX_FENCED_LEASES = 4096


class FencingTokens:
    """The highest tickets that one receiver has seen."""

    def __init__(self, seen: dict[str, int] | None = None) -> None:
        self.highest = dict(seen or {})
        self.rejected_count = 0

    def admit(self, claim: str, ticket: int) -> tuple[bool, list[Effect]]:
        """Whether work under this ticket may be taken; what has to be kept where it is a new highest."""
        highest = self.highest.get(claim, 0)
        if ticket < highest or (claim not in self.highest and len(self.highest) >= MAX_FENCED_LEASES):
            self.rejected_count += 1
            return False, []
        if ticket == highest:
            return True, []
        self.highest[claim] = ticket
        return True, [PersistFencingToken(claim, ticket)]

    def check(self, claim: str, ticket: int, sender: PeerAddress) -> tuple[bool, list[Effect]]:
        """The same, with the answer that tells an old owner to stand down."""
        good, out = self.admit(claim, ticket)
        if not good:
            highest = self.highest.get(claim, 0)
            out = [
                LeaseEvent(LeaseEventKind.TOKEN_REJECTED, claim, ticket, reason=f"{highest} was seen"),
                SendMessage(sender, Superseded(claim, highest)),
            ]
        return good, out
