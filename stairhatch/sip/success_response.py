"""The 2xx to an INVITE, which the transaction user retransmits until the ACK (RFC 3261, 13.3.1.4)."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from stairhatch.sip.context import SipContext
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.transaction_base import FIRST_INTERVAL, RetransmissionInterval


class AckAwaiter(Protocol):
    """The sender of a 2xx to an INVITE."""

    def ack_timed_out(self) -> None:
        """Called if no ACK has been received within 64 T1."""


class SuccessResponse:
    """The latest 2xx to an INVITE or re-INVITE of a dialog, retransmitted until its ACK."""

    __slots__ = ("_context", "_cseq", "_data", "_owner", "_path")

    def __init__(self, context: SipContext, path: DialogPath, owner: AckAwaiter) -> None:
        """Create the state of a dialog without a 2xx; `owner` is notified if an ACK is missing."""
        self._context = context
        self._path = path
        self._owner: AckAwaiter | None = owner  # None after the end of the dialog
        self._data = b""  # the bytes of the 2xx; empty if none awaits its ACK
        self._cseq = 0  # the CSeq number of the request that the 2xx answers

    @property
    def awaits_ack(self) -> bool:
        """Whether a 2xx has been sent and its ACK has not been received."""
        return bool(self._data)

    def sent(self, data: bytes, cseq: int) -> None:
        """Start the retransmission of a 2xx that has just been sent to an INVITE with this CSeq number."""
        self._data = data
        self._cseq = cseq
        self._schedule_retransmission(data, FIRST_INTERVAL)

    def acknowledge(self, cseq: int) -> bool:
        """Process an ACK; returns whether it acknowledges the 2xx, which is then no longer retransmitted."""
        if not self._data or cseq != self._cseq:
            return False
        self._data = b""
        return True

    def stop(self) -> None:
        """Stop the retransmission, because the dialog has ended or the ACK is no longer awaited.

        The reference to the owner is dropped, so that no reference cycle is left to the garbage collector.
        """
        self._data = b""
        self._owner = None

    def _schedule_retransmission(self, data: bytes, interval: RetransmissionInterval) -> None:
        due = self._context.now() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, data, interval))

    def _retransmit(self, data: bytes, interval: RetransmissionInterval) -> None:
        if not data or self._data is not data or self._owner is None:
            return  # this 2xx was acknowledged, replaced by a later 2xx, or stopped
        if interval.timed_out():
            self._context.counters.add("acks_missing_2xx")
            self._data = b""
            self._owner.ack_timed_out()
            return
        self._path.send_response(data)
        self._context.counters.add("retransmissions_sent")
        self._schedule_retransmission(data, interval.doubled())
