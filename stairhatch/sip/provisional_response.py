"""The 180 to an INVITE, repeated until the final response, or sent reliably until its PRACK (RFC 3262)."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from stairhatch.sip.context import SipContext
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.reliable_provisional import ReliableProvisional
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.transaction_base import FIRST_INTERVAL, TIMEOUT_S, RetransmissionInterval

# An unreliable 180 is repeated, so that no proxy on the path cancels the INVITE (RFC 3261, 13.3.1.1).
REPETITION_INTERVAL_S = 60.0


class ProvisionalResponse:
    """The provisional response to an INVITE that has no final response, and its timers."""

    __slots__ = ("_context", "_invite", "_on_prack_timeout", "_path", "reliable")

    def __init__(
        self,
        context: SipContext,
        path: DialogPath,
        invite: ServerTransaction,
        reliable: ReliableProvisional | None,
        on_prack_timeout: Callable[[], None],
    ) -> None:
        """Start the timers of a response that has just been sent.

        `reliable` is None for an unreliable response. `on_prack_timeout` is called if a reliable response
        gets no PRACK within 64 T1.
        """
        self.reliable = reliable
        self._context = context
        self._path = path
        self._invite: ServerTransaction | None = invite
        self._on_prack_timeout = on_prack_timeout
        if reliable is not None:
            self._schedule_retransmission(reliable, FIRST_INTERVAL)
        else:
            self._schedule_repetition()

    def stop(self) -> None:
        """Stop the repetition when the final response is sent, which does not wait for the PRACK."""
        self._invite = None

    def _schedule_retransmission(
        self, reliable: ReliableProvisional, interval: RetransmissionInterval
    ) -> None:
        due = self._context.now() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, reliable, interval))

    def _retransmit(self, reliable: ReliableProvisional, interval: RetransmissionInterval) -> None:
        """Retransmit the reliable response until its PRACK or the timeout (RFC 3262, section 3)."""
        if reliable.acknowledged or self._invite is None:
            return
        if interval.timed_out():
            self._context.counters.add("pracks_missing")
            self._on_prack_timeout()
            return
        self._path.send_response(reliable.data)
        self._context.counters.add("retransmissions_sent")
        self._schedule_retransmission(reliable, interval.doubled(TIMEOUT_S))

    def _schedule_repetition(self) -> None:
        self._context.timers.schedule(self._context.now() + REPETITION_INTERVAL_S, self._repeat)

    def _repeat(self) -> None:
        if self._invite is not None and self._invite.last_response:
            self._path.send_response(self._invite.last_response)
            self._schedule_repetition()
