"""Reliable provisional responses (RFC 3262): the one that awaits its PRACK."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar


class PrackMatch(Enum):
    """What a PRACK is to us."""

    MATCHED = "matched"  # answered 200
    UNMATCHED = "unmatched"  # answered 481


@dataclass(eq=False, slots=True)
class ReliableProvisional:
    """A provisional response of ours that awaits its PRACK."""

    rseq: int
    cseq: int
    data: bytes = b""  # the response, until it is acknowledged
    acknowledged: bool = False

    def match_prack(self, message: sip.SipMessage) -> PrackMatch:
        """A PRACK has come; one for another response, or a second one, matches nothing (RFC 3262, 3)."""
        try:
            rack = grammar.parse_rack(message.get("rack"))
        except grammar.GrammarError:
            return PrackMatch.UNMATCHED
        if self.acknowledged or rack != (self.rseq, self.cseq, "INVITE"):
            return PrackMatch.UNMATCHED
        self.acknowledged = True
        self.data = b""
        return PrackMatch.MATCHED


def supports_100rel(message: sip.SipMessage) -> bool:
    """Whether a caller can be sent provisional responses reliably."""
    return any(
        option.lower() == "100rel" for name in ("supported", "require") for option in message.get_all(name)
    )
