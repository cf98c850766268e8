"""The fencing tokens that a receiver of shared work goes by: a lower one than seen is rejected.

A lease alone binds nobody who is stopped between its check and its write; the receiver's memory does
(fencing: Burrows, OSDI 2006, section 2.4, 'sequencer'). The highest tokens are kept over restarts by the
driver.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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


@dataclass(frozen=True, slots=True)
class TokenCheck:
    """Whether work under a fencing token may be taken, and what is to be done about it."""

    is_accepted: bool
    effects: list[Effect] = field(default_factory=list)


class FencingTokens:
    """The highest fencing tokens that one receiver has seen, by lease."""

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        """`highest` is what was kept over a restart."""
        self.highest = dict(highest or {})
        self.rejected_count = 0

    def admit(self, lease: str, token: int) -> TokenCheck:
        """Check a token; a new highest one is to be persisted."""
        highest = self.highest.get(lease, 0)
        is_full = lease not in self.highest and len(self.highest) >= MAX_FENCED_LEASES
        if token < highest or is_full:
            self.rejected_count += 1
            return TokenCheck(False)
        if token == highest:
            return TokenCheck(True)
        self.highest[lease] = token
        return TokenCheck(True, [PersistFencingToken(lease, token)])

    def check(self, lease: str, token: int, sender: PeerAddress) -> TokenCheck:
        """The same, with the answer that makes an old holder step down."""
        check = self.admit(lease, token)
        if check.is_accepted:
            return check
        highest = self.highest.get(lease, 0)
        reason = f"{highest} was seen"
        return TokenCheck(
            False,
            [
                LeaseEvent(LeaseEventKind.TOKEN_REJECTED, lease, token, reason=reason),
                SendMessage(sender, Superseded(lease, highest)),
            ],
        )
