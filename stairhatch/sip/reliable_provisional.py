"""Reliable provisional responses (RFC 3262), and the match of a PRACK to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar


class PrackMatch(Enum):
    """Whether a PRACK matches the provisional response that awaits one."""

    MATCHED = "matched"  # the PRACK is answered 200
    UNMATCHED = "unmatched"  # the PRACK is answered 481


@dataclass(eq=False, slots=True)
class ReliableProvisional:
    """A reliable provisional response that we have sent, and its acknowledgement."""

    rseq: int
    cseq: int
    data: bytes = b""  # the bytes of the response; empty after its PRACK
    acknowledged: bool = False

    def match_prack(self, message: sip.SipMessage) -> PrackMatch:
        """Process a PRACK; returns UNMATCHED for a malformed RAck, another response or a repeated PRACK.

        Source: RFC 3262, section 3.
        """
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
    """Whether the sender of a request accepts reliable provisional responses (option tag 100rel)."""
    return any(
        option.lower() == "100rel" for name in ("supported", "require") for option in message.get_all(name)
    )
