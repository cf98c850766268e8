"""Client transactions (RFC 3261, 17.1, with RFC 6026): requests retransmitted until they are answered.

The table is fed responses, sends requests on flows, and passes each response to the user of its transaction
once. It is independent of dialogs.
"""

from __future__ import annotations

from functools import partial
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.transaction_base import (
    FIRST_INTERVAL,
    T2,
    T4,
    TIMEOUT_S,
    RetransmissionInterval,
    TransactionContext,
    TransactionState,
)
from stairhatch.sip.transport import Flow

ClientTransactionKey = tuple[str, str]  # branch and method (RFC 3261, 17.1.3)


class ClientTransactionUser(Protocol):
    """The sender of a request, which is notified of its responses."""

    def provisional_received(self, status: int, message: sip.SipMessage) -> None:
        """Called for each provisional response."""

    def final_received(self, status: int, message: sip.SipMessage | None) -> None:
        """Called with the final response, or with 408 and None after a timeout (RFC 3261, 8.1.3.1)."""

    def flow_failed(self) -> None:
        """Called when the flow has ended before a final response."""


class ClientTransaction:
    """A client transaction: a request and the state of its responses."""

    __slots__ = ("ack", "branch", "flow", "method", "request", "state", "user")

    def __init__(
        self, branch: str, method: str, request: bytes, flow: Flow, user: ClientTransactionUser
    ) -> None:
        """Create the transaction of a request, given as bytes, that is sent on `flow`."""
        self.branch = branch
        self.method = method
        self.request = request  # empty after the final response
        self.flow = flow
        self.user = user
        self.state = TransactionState.CALLING if method == "INVITE" else TransactionState.TRYING
        self.ack = b""  # sent for each non-2xx final response to an INVITE; empty: none

    @property
    def key(self) -> ClientTransactionKey:
        """The branch and method by which responses are matched to the transaction."""
        return self.branch, self.method

    @property
    def is_open(self) -> bool:
        """Whether the final response has not been received yet."""
        return self.state in (TransactionState.CALLING, TransactionState.TRYING, TransactionState.PROCEEDING)


class ClientTransactions:
    """The table of all client transactions of one user agent."""

    def __init__(self, context: TransactionContext) -> None:
        """Create an empty table."""
        self.transactions: dict[ClientTransactionKey, ClientTransaction] = {}
        self._context = context

    def send_request(
        self, branch: str, method: str, request: bytes, flow: Flow, user: ClientTransactionUser
    ) -> ClientTransaction:
        """Send a request and return its new transaction (RFC 3261, 17.1.1.2 and 17.1.2.2)."""
        transaction = ClientTransaction(branch, method, request, flow, user)
        self.transactions[transaction.key] = transaction
        self._context.counters.add(f"sent_{method}")
        flow.send(request)
        self._schedule_retransmission(transaction, FIRST_INTERVAL)
        return transaction

    def response_received(self, message: sip.SipMessage) -> bool:
        """Process a response; returns whether it matches a transaction of this table.

        Retransmissions of a final response are not passed to the user.
        """
        vias = message.get_all("via")
        method = message.cseq()[1]
        branch = sip.parameters(vias[0]).get("branch", "") if vias else ""
        transaction = self.transactions.get((branch, method))
        if transaction is None or len(vias) != 1:  # several Via: misdirected (RFC 3261, 8.1.3.3)
            return False
        if transaction.is_open:
            if message.status < 200:
                transaction.state = TransactionState.PROCEEDING
                transaction.user.provisional_received(message.status, message)
            else:
                self._final_received(transaction, message)
        elif transaction.ack and message.status >= 200:
            transaction.flow.send(transaction.ack)  # the final response was repeated, so the ACK was lost
        return True

    def flow_lost(self, flow: Flow) -> None:
        """Terminate the open transactions of an ended flow, so that their users resend on another flow."""
        lost = [
            transaction
            for transaction in self.transactions.values()
            if transaction.flow is flow and transaction.is_open
        ]
        for transaction in lost:
            transaction.state = TransactionState.TERMINATED
            self.transactions.pop(transaction.key, None)
            self._context.counters.add("requests_rerouted")
            transaction.user.flow_failed()

    def _schedule_retransmission(
        self, transaction: ClientTransaction, interval: RetransmissionInterval
    ) -> None:
        due = self._context.clock() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, transaction.key, interval))

    def _retransmit(self, key: ClientTransactionKey, interval: RetransmissionInterval) -> None:
        """Retransmit a request, or end its transaction after the timeout (timers A, B, E and F)."""
        transaction = self.transactions.get(key)
        if transaction is None or not transaction.is_open:
            return
        is_invite = transaction.method == "INVITE"
        is_proceeding = transaction.state is TransactionState.PROCEEDING
        if interval.timed_out() and not (is_invite and is_proceeding):
            transaction.state = TransactionState.TERMINATED
            del self.transactions[key]
            self._context.counters.add("request_timeouts")
            transaction.user.final_received(408, None)
            return
        if not transaction.flow.reliable and not (is_invite and is_proceeding):
            transaction.flow.send(transaction.request)
            self._context.counters.add("retransmissions_sent")
        self._schedule_retransmission(transaction, self._next_interval(transaction, interval))

    @staticmethod
    def _next_interval(
        transaction: ClientTransaction, interval: RetransmissionInterval
    ) -> RetransmissionInterval:
        """Return the interval that follows `interval`.

        Timer A doubles without limit. Timer E doubles up to T2, and is T2 after a provisional response.
        """
        if interval.timed_out():  # only an INVITE with a provisional response gets here
            return RetransmissionInterval(TIMEOUT_S, interval.elapsed_s + TIMEOUT_S)
        if transaction.state is TransactionState.PROCEEDING:
            gap_s = min(T2, TIMEOUT_S - interval.elapsed_s)
            return RetransmissionInterval(gap_s, interval.elapsed_s + gap_s)
        return interval.doubled(TIMEOUT_S if transaction.method == "INVITE" else T2)

    def _final_received(self, transaction: ClientTransaction, message: sip.SipMessage) -> None:
        is_invite = transaction.method == "INVITE"
        accepted = message.status < 300
        transaction.state = TransactionState.ACCEPTED if accepted else TransactionState.COMPLETED
        retention_s = TIMEOUT_S if is_invite else T4  # timers D and M, and K
        if transaction.flow.reliable and not (is_invite and accepted):
            retention_s = 0.0
        if is_invite and not accepted:
            transaction.ack = self._ack_to_non2xx(transaction, message)
            transaction.flow.send(transaction.ack)
        if retention_s:
            due = self._context.clock() + retention_s
            self._context.timers.schedule(due, partial(self._remove, transaction.key))
        else:
            del self.transactions[transaction.key]
        transaction.request = b""
        transaction.user.final_received(message.status, message)

    def _remove(self, key: ClientTransactionKey) -> None:
        self.transactions.pop(key, None)

    @staticmethod
    def _ack_to_non2xx(transaction: ClientTransaction, response: sip.SipMessage) -> bytes:
        """Return the ACK to a non-2xx response, which is part of the transaction (RFC 3261, 17.1.1.3)."""
        sent = sip_parser.parse_datagram(transaction.request)
        headers = [("via", sent.get_all("via")[0]), ("max-forwards", "70")]
        headers += [(name, value) for name, value in sent.headers if name == "route"]
        headers += [("from", sent.get("from")), ("to", response.get("to")), ("call-id", sent.get("call-id"))]
        headers.append(("cseq", f"{sent.cseq()[0]} ACK"))
        return sip.request("ACK", sent.uri, headers)
