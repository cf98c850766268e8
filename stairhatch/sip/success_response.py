"""The 2xx to an INVITE, which its user sends again until the ACK (RFC 3261, 13.3.1.4)."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from stairhatch.sip.context import SipContext
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.transaction_base import FIRST_INTERVAL, RetransmissionInterval


class AckAwaiter(Protocol):
    """Whoever answered the INVITE."""

    def ack_timed_out(self) -> None:
        """No ACK has come within 64 T1."""


class SuccessResponse:
    """The 2xx of a dialog that awaits its ACK, if one does."""

    __slots__ = ("_context", "_cseq", "_data", "_owner", "_path")

    def __init__(self, context: SipContext, path: DialogPath, owner: AckAwaiter) -> None:
        """Begin with none."""
        self._context = context
        self._path = path
        self._owner: AckAwaiter | None = owner  # until the dialog is over
        self._data = b""  # the response; empty: none awaits its ACK
        self._cseq = 0

    @property
    def awaits_ack(self) -> bool:
        """Whether one has been sent and not yet acknowledged."""
        return bool(self._data)

    def sent(self, data: bytes, cseq: int) -> None:
        """One has been sent, for an INVITE with this sequence number."""
        self._data = data
        self._cseq = cseq
        self._schedule_retransmission(data, FIRST_INTERVAL)

    def acknowledge(self, cseq: int) -> bool:
        """An ACK has come; returns whether it is for the one that awaits it."""
        if not self._data or cseq != self._cseq:
            return False
        self._data = b""
        return True

    def stop(self) -> None:
        """The dialog is over, and the ACK not awaited any more.

        Its owner is let go of: no reference cycle is left for the collector.
        """
        self._data = b""
        self._owner = None

    def _schedule_retransmission(self, data: bytes, interval: RetransmissionInterval) -> None:
        due = self._context.now() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, data, interval))

    def _retransmit(self, data: bytes, interval: RetransmissionInterval) -> None:
        if not data or self._data is not data or self._owner is None:
            return  # it was acknowledged, or another awaits its ACK by now
        if interval.timed_out():
            self._context.counters.add("acks_missing_2xx")
            self._data = b""
            self._owner.ack_timed_out()
            return
        self._path.send_response(data)
        self._context.counters.add("retransmissions_sent")
        self._schedule_retransmission(data, interval.doubled())
