"""The check of fencing tokens by the receiver of work under a lease.

A lease alone does not stop a holder that is suspended between its check of the lease and its write. The
receiver therefore remembers the highest token of each lease and rejects lower ones (fencing: Burrows, OSDI
2006, section 2.4, 'sequencer'). The driver persists the highest tokens over restarts.
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
    """The result of a token check: whether the work is accepted, and the effects to carry out."""

    is_accepted: bool
    effects: list[Effect] = field(default_factory=list)


class FencingTokens:
    """Table of the highest fencing tokens that one receiver has seen, by lease."""

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        """`highest` has the tokens persisted before a restart, by lease."""
        self.highest = dict(highest or {})
        self.rejected_count = 0

    def admit(self, lease: str, token: int) -> TokenCheck:
        """Accept a token unless a higher one was seen or the table is full; persist a new highest token."""
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
        """Check a token as `admit` does; a rejection also returns an event and a `Superseded` to `sender`.

        `Superseded` makes the previous holder step down.
        """
        check = self.admit(lease, token)
        if check.is_accepted:
            return check
        highest = self.highest.get(lease, 0)
        reason = f"{highest} is the highest fencing token seen"
        return TokenCheck(
            False,
            [
                LeaseEvent(LeaseEventKind.TOKEN_REJECTED, lease, token, reason=reason),
                SendMessage(sender, Superseded(lease, highest)),
            ],
        )
