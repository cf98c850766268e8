"""The 180 to an INVITE, repeated until the final response: reliably where the caller can (RFC 3262)."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from stairhatch.sip.context import SipContext
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.reliable_provisional import ReliableProvisional
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.transaction_base import FIRST_INTERVAL, TIMEOUT_S, RetransmissionInterval

REPEAT_S = 60.0  # an unreliable one is repeated, so that no proxy on the path gives up (RFC 3261, 13.3.1.1)


class ProvisionalResponse:
    """The provisional response of an INVITE that has no final one."""

    __slots__ = ("_context", "_invite", "_on_prack_timeout", "_path", "reliable")

    def __init__(
        self,
        context: SipContext,
        path: DialogPath,
        invite: ServerTransaction,
        reliable: ReliableProvisional | None,
        on_prack_timeout: Callable[[], None],
    ) -> None:
        """One that has just been sent; `on_prack_timeout` is called if no PRACK comes within 64 T1."""
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
        """The final response is being sent; it does not wait for the PRACK."""
        self._invite = None

    def _schedule_retransmission(
        self, reliable: ReliableProvisional, interval: RetransmissionInterval
    ) -> None:
        due = self._context.now() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, reliable, interval))

    def _retransmit(self, reliable: ReliableProvisional, interval: RetransmissionInterval) -> None:
        """Send it again until its PRACK; without one the INVITE is rejected in the end (RFC 3262, 3)."""
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
        self._context.timers.schedule(self._context.now() + REPEAT_S, self._repeat)

    def _repeat(self) -> None:
        if self._invite is not None and self._invite.last_response:
            self._path.send_response(self._invite.last_response)
            self._schedule_repetition()
