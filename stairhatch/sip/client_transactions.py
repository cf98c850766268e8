"""Client transactions (RFC 3261, 17.1, with RFC 6026): requests of ours, sent again until they are answered.

The table is fed responses, sends on flows, and passes each response to its user once. It knows no dialog.
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

ClientTransactionKey = tuple[str, str]  # branch and method (17.1.3)


class ClientTransactionUser(Protocol):
    """Who has sent a request."""

    def provisional_received(self, status: int, message: sip.SipMessage) -> None:
        """A provisional response has come."""

    def final_received(self, status: int, message: sip.SipMessage | None) -> None:
        """The final response has come; 408 without a message where none came in time (8.1.3.1)."""

    def flow_failed(self) -> None:
        """The flow ended before an answer."""


class ClientTransaction:
    """A client transaction."""

    __slots__ = ("ack", "branch", "flow", "method", "request", "state", "user")

    def __init__(
        self, branch: str, method: str, request: bytes, flow: Flow, user: ClientTransactionUser
    ) -> None:
        """Begin for the bytes of a request that goes by a flow."""
        self.branch = branch
        self.method = method
        self.request = request  # until its final response
        self.flow = flow
        self.user = user
        self.state = TransactionState.CALLING if method == "INVITE" else TransactionState.TRYING
        self.ack = b""  # sent again for each retransmission of the final response to an INVITE

    @property
    def key(self) -> ClientTransactionKey:
        """What its responses are matched by."""
        return self.branch, self.method

    @property
    def is_open(self) -> bool:
        """Whether its final response is still to come."""
        return self.state in (TransactionState.CALLING, TransactionState.TRYING, TransactionState.PROCEEDING)


class ClientTransactions:
    """The table of all client transactions of one user agent."""

    def __init__(self, context: TransactionContext) -> None:
        """Begin empty."""
        self.transactions: dict[ClientTransactionKey, ClientTransaction] = {}
        self._context = context

    def send_request(
        self, branch: str, method: str, request: bytes, flow: Flow, user: ClientTransactionUser
    ) -> ClientTransaction:
        """Send a request of ours (17.1.1.2, 17.1.2.2)."""
        transaction = ClientTransaction(branch, method, request, flow, user)
        self.transactions[transaction.key] = transaction
        self._context.counters.add(f"sent_{method}")
        flow.send(request)
        self._schedule_retransmission(transaction, FIRST_INTERVAL)
        return transaction

    def response_received(self, message: sip.SipMessage) -> bool:
        """Take a response; returns whether it belongs to a request of ours.

        Retransmissions of a final one end here.
        """
        vias = message.get_all("via")
        method = message.cseq()[1]
        branch = sip.parameters(vias[0]).get("branch", "") if vias else ""
        transaction = self.transactions.get((branch, method))
        if transaction is None or len(vias) != 1:  # one with another Via below was not for us (8.1.3.3)
            return False
        if transaction.is_open:
            if message.status < 200:
                transaction.state = TransactionState.PROCEEDING
                transaction.user.provisional_received(message.status, message)
            else:
                self._final_received(transaction, message)
        elif transaction.ack and message.status >= 200:
            transaction.flow.send(transaction.ack)  # retransmitted: the ACK was lost
        return True

    def flow_lost(self, flow: Flow) -> None:
        """A connection has ended: what awaits an answer on it is sent anew by its user, elsewhere."""
        lost = [each for each in self.transactions.values() if each.flow is flow and each.is_open]
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
        """Send a request again, or give it up (timers A, B, E and F)."""
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
        """Timer A doubles without bound, timer E up to T2, and is T2 once a provisional response has come."""
        if interval.timed_out():  # an INVITE that rings on
            return RetransmissionInterval(TIMEOUT_S, interval.elapsed_s + TIMEOUT_S)
        if transaction.state is TransactionState.PROCEEDING:
            gap_s = min(T2, TIMEOUT_S - interval.elapsed_s)
            return RetransmissionInterval(gap_s, interval.elapsed_s + gap_s)
        return interval.doubled(TIMEOUT_S if transaction.method == "INVITE" else T2)

    def _final_received(self, transaction: ClientTransaction, message: sip.SipMessage) -> None:
        is_invite = transaction.method == "INVITE"
        accepted = message.status < 300
        transaction.state = TransactionState.ACCEPTED if accepted else TransactionState.COMPLETED
        kept_s = TIMEOUT_S if is_invite else T4  # timers D and M, and K
        if transaction.flow.reliable and not (is_invite and accepted):
            kept_s = 0.0
        if is_invite and not accepted:
            transaction.ack = self._ack_to_non2xx(transaction, message)
            transaction.flow.send(transaction.ack)
        if kept_s:
            due = self._context.clock() + kept_s
            self._context.timers.schedule(due, partial(self._forget, transaction.key))
        else:
            del self.transactions[transaction.key]
        transaction.request = b""
        transaction.user.final_received(message.status, message)

    def _forget(self, key: ClientTransactionKey) -> None:
        self.transactions.pop(key, None)

    @staticmethod
    def _ack_to_non2xx(transaction: ClientTransaction, response: sip.SipMessage) -> bytes:
        """The ACK that belongs to the same transaction (17.1.1.3)."""
        sent = sip_parser.parse_datagram(transaction.request)
        headers = [("via", sent.get_all("via")[0]), ("max-forwards", "70")]
        headers += [(name, value) for name, value in sent.headers if name == "route"]
        headers += [("from", sent.get("from")), ("to", response.get("to")), ("call-id", sent.get("call-id"))]
        headers.append(("cseq", f"{sent.cseq()[0]} ACK"))
        return sip.request("ACK", sent.uri, headers)
