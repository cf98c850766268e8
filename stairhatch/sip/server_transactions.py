"""Server transactions (RFC 3261, 17.2, with RFC 6026 and RFC 4320) and the records of those that are over.

The table is fed requests, sends on flows, and absorbs retransmissions: its user sees each request once. It
knows no dialog and no call, and never grows beyond its bytes.

What is over shrinks: an answered INVITE to a key, another request to a key and its response. A record of what
must only be recognised costs about 170 bytes, one that may have to be answered again 200 and its response.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from stairhatch.sip.addresses import TransportAddress
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.response_format import OVERLOAD_PLACEHOLDER, format_response
from stairhatch.sip.transaction_base import (
    FIRST_INTERVAL,
    T4,
    TIMEOUT_S,
    RetransmissionInterval,
    TransactionContext,
    TransactionState,
)
from stairhatch.sip.transport import Flow, UdpFlow

BUNDLE_S = 2.0  # records that expire within so long of each other are dropped together
TRANSACTION_BYTES = 3072  # what an open transaction costs beside its body
RECORD_BYTES = 170  # what a record costs beside its response
MAX_SOURCE_FRACTION = 0.25  # of the memory, that one source may hold once half of it is in use


class TransactionUser(Protocol):
    """The transaction user that answers an INVITE later (RFC 3261, section 5: TU)."""

    tag: str  # the local tag of its responses

    def cancelled(self) -> None:
        """A CANCEL has come for it."""

    def disconnected(self) -> None:
        """The connection that its request came by has ended."""


class ServerTransaction:
    """A server transaction; `user` answers it later, None: it is answered at once."""

    __slots__ = (
        "address",
        "copied",
        "flow",
        "head",
        "is_invite",
        "key",
        "last_response",
        "overload_algorithms",
        "size_bytes",
        "source",
        "state",
        "user",
    )

    def __init__(self, head: RequestHead, flow: Flow) -> None:
        """Begin for a request that came on a flow."""
        self.key = head.transaction_key
        self.flow = flow
        self.source = flow.peer[0]
        self.head: RequestHead | None = head  # until its final response
        self.copied = head.copied
        self.overload_algorithms = head.overload_algorithms
        self.is_invite = head.method == "INVITE"
        self.state = TransactionState.PROCEEDING if self.is_invite else TransactionState.TRYING
        self.address = head.response_address(flow.peer, flow.reliable)
        self.last_response = b""
        self.size_bytes = TRANSACTION_BYTES + len(head.message.body)
        self.user: TransactionUser | None = None

    @property
    def is_open(self) -> bool:
        """Whether its final response is still to come."""
        return self.state in (TransactionState.TRYING, TransactionState.PROCEEDING)


class TransactionRecords:
    """Transactions that are over and must be recognised, in bundles by when they may be dropped."""

    def __init__(self) -> None:
        """Begin empty."""
        self.responses: dict[bytes, bytes] = {}  # key -> what answers a retransmission; empty: nothing
        self.size_bytes = 0
        self._bundles: dict[int, list[bytes]] = {}  # keys, by the number of the span in which they expire

    def store(self, key: bytes, response: bytes, until: float) -> None:
        """Keep a record until at least then."""
        if key in self.responses:
            self.size_bytes -= RECORD_BYTES + len(self.responses[key])
        self.responses[key] = response
        self.size_bytes += RECORD_BYTES + len(response)
        self._bundles.setdefault(int(until / BUNDLE_S) + 1, []).append(key)

    def expire(self, now: float) -> None:
        """Drop what is past its time."""
        for bundle in [each for each in self._bundles if each * BUNDLE_S <= now]:
            self._drop(bundle)

    def can_evict(self) -> bool:
        """Whether there is a bundle to evict."""
        return bool(self._bundles)

    def evict(self) -> int:
        """Drop the bundle that would expire first, to make room; returns how many keys it had."""
        return self._drop(min(self._bundles)) if self._bundles else 0

    def _drop(self, bundle: int) -> int:
        keys = self._bundles.pop(bundle)
        for key in keys:
            response = self.responses.pop(key, None)
            if response is not None:
                self.size_bytes -= RECORD_BYTES + len(response)
        return len(keys)


def _own_flow(transaction: ServerTransaction) -> Flow:
    return transaction.flow


def _no_feedback(_transaction: ServerTransaction) -> str:
    return ""


class ServerTransactions:
    """All server transactions of one user agent."""

    def __init__(
        self,
        context: TransactionContext,
        max_bytes: int,
        reroute: Callable[[ServerTransaction], Flow] = _own_flow,
        overload_feedback: Callable[[ServerTransaction], str] = _no_feedback,
    ) -> None:
        """Begin empty.

        `reroute` gives the flow of a response whose own has ended, `overload_feedback` the Via parameters for
        a caller that knows overload control.
        """
        self.max_bytes = max_bytes
        self.open_transactions: dict[bytes, ServerTransaction] = {}
        self.records = TransactionRecords()
        self.open_bytes = 0
        self.bytes_by_source: dict[str, int] = {}  # of open transactions
        self._context = context
        self._reroute = reroute
        self._overload_feedback = overload_feedback
        self._expiry_scheduled = False

    # ---- requests ----

    def absorb(self, head: RequestHead, flow: Flow) -> bool:
        """Deal with a retransmission, or with the ACK to a non-2xx response; False for what is neither."""
        key = head.transaction_key
        if head.method == "ACK":
            transaction = self.open_transactions.get(key)
            if transaction is None:
                return key in self.records.responses and head.to_tag == ""
            if transaction.state is TransactionState.COMPLETED:
                self._confirm(transaction)
            return True
        return self._answer_again(key, flow, lambda: head.response_address(flow.peer, False))

    def absorb_scanned(self, key: bytes, method: str, flow: Flow, address: TransportAddress) -> bool:
        """Deal with a request that was only scanned, if it is a retransmission.

        An ACK never is one here: a dialog may have to hear it.
        """
        return method != "ACK" and self._answer_again(key, flow, lambda: address)

    def has_room(self, source: str) -> bool:
        """Whether a new transaction may be opened for a source.

        Records give way first; once half is taken by open transactions, one source may not have more than
        `MAX_SOURCE_FRACTION`.
        """
        if self.open_bytes >= self.max_bytes:
            return False
        if self.open_bytes * 2 > self.max_bytes:
            return self.bytes_by_source.get(source, 0) < MAX_SOURCE_FRACTION * self.max_bytes
        return True

    def open(self, head: RequestHead, flow: Flow) -> ServerTransaction:
        """Open the transaction of a new request."""
        transaction = self.open_transactions[head.transaction_key] = ServerTransaction(head, flow)
        self.open_bytes += transaction.size_bytes
        source_bytes = self.bytes_by_source.get(transaction.source, 0)
        self.bytes_by_source[transaction.source] = source_bytes + transaction.size_bytes
        while self.open_bytes + self.records.size_bytes > self.max_bytes and self.records.can_evict():
            self._count("transaction_records_evicted", self.records.evict())
        flow.add_unanswered(transaction.key)
        return transaction

    def find(self, key: bytes) -> ServerTransaction | None:
        """The open transaction of a key."""
        return self.open_transactions.get(key)

    def is_recorded(self, key: bytes) -> bool:
        """Whether a transaction of that key is over, and remembered."""
        return key in self.records.responses

    def discard(self, transaction: ServerTransaction) -> None:
        """Drop one without a response: its request must leave no trace."""
        transaction.flow.discard_unanswered(transaction.key)
        transaction.state = TransactionState.TERMINATED
        self._close(transaction)

    # ---- responses ----

    def respond(
        self, transaction: ServerTransaction, status: int, tag: str, extra: str = "", body: bytes = b""
    ) -> bytes:
        """Answer; returns the bytes, b"" where nothing is sent.

        A second final response is not sent, nor a provisional one behind a final one. `extra` is header
        lines.
        """
        if not transaction.is_open:
            return b""
        copied = transaction.copied
        if OVERLOAD_PLACEHOLDER in copied:
            copied = copied.replace(OVERLOAD_PLACEHOLDER, self._overload_feedback(transaction))
        data = transaction.last_response = format_response(status, copied, tag, extra, body)
        if status >= 200:
            self._complete(transaction, status)
        elif not transaction.is_invite:
            transaction.state = TransactionState.PROCEEDING
        self._send(transaction, data)
        return data

    def _complete(self, transaction: ServerTransaction, status: int) -> None:
        """The final response is sent: keep only what retransmissions need."""
        transaction.head = None
        transaction.user = None
        transaction.flow.discard_unanswered(transaction.key)
        if transaction.is_invite and status >= 300:
            transaction.state = TransactionState.COMPLETED  # until the ACK
            self._schedule_retransmission(transaction.key, FIRST_INTERVAL)
        elif transaction.is_invite:
            transaction.state = TransactionState.ACCEPTED
            self._close(transaction)
            self._record(transaction.key, b"", TIMEOUT_S)  # timer L (RFC 6026, 7.1)
        else:
            transaction.state = TransactionState.TERMINATED
            self._close(transaction)
            if not transaction.flow.reliable:
                self._record(transaction.key, transaction.last_response, TIMEOUT_S)  # timer J

    def _confirm(self, transaction: ServerTransaction) -> None:
        """The ACK to a non-2xx response has come (timer I)."""
        transaction.state = TransactionState.CONFIRMED
        self._close(transaction)
        if not transaction.flow.reliable:
            self._record(transaction.key, b"", T4)

    def _schedule_retransmission(self, key: bytes, interval: RetransmissionInterval) -> None:
        due = self._context.clock() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, key, interval))

    def _retransmit(self, key: bytes, interval: RetransmissionInterval) -> None:
        """Send a non-2xx response to an INVITE again until its ACK (timers G and H)."""
        transaction = self.open_transactions.get(key)
        if transaction is None or transaction.state is not TransactionState.COMPLETED:
            return
        if interval.timed_out():
            self._count("acks_missing_non2xx")
            transaction.state = TransactionState.TERMINATED
            self._close(transaction)
            return
        if not transaction.flow.reliable:
            transaction.flow.send(transaction.last_response)
            self._count("retransmissions_sent")
        self._schedule_retransmission(key, interval.doubled())

    def _answer_again(self, key: bytes, flow: Flow, address: Callable[[], TransportAddress]) -> bool:
        """Answer a retransmission as the request was answered before; False for what is none."""
        transaction = self.open_transactions.get(key)
        if transaction is not None:
            self._request_repeated(transaction, flow)
            return True
        response = self.records.responses.get(key)
        if response is None:
            return False
        self._count("retransmissions_received")
        if response:
            back = UdpFlow(flow.port, address()) if isinstance(flow, UdpFlow) else flow
            back.send(response)
        return True

    def _request_repeated(self, transaction: ServerTransaction, flow: Flow) -> None:
        self._count("retransmissions_received")
        if flow.reliable or not transaction.flow.alive:
            if transaction.flow.discard_unanswered(transaction.key):
                flow.add_unanswered(transaction.key)
            transaction.flow = flow
        if transaction.last_response:
            self._send(transaction, transaction.last_response)

    def _send(self, transaction: ServerTransaction, data: bytes) -> None:
        flow = transaction.flow
        if not flow.alive:
            flow = transaction.flow = self._reroute(transaction)
        elif isinstance(flow, UdpFlow) and flow.peer != transaction.address:
            flow = transaction.flow = UdpFlow(flow.port, transaction.address)
        flow.send(data)

    # ---- the table ----

    def _close(self, transaction: ServerTransaction) -> None:
        if self.open_transactions.pop(transaction.key, None) is None:
            return
        self.open_bytes -= transaction.size_bytes
        left = self.bytes_by_source.get(transaction.source, 0) - transaction.size_bytes
        if left > 0:
            self.bytes_by_source[transaction.source] = left
        else:
            self.bytes_by_source.pop(transaction.source, None)

    def _record(self, key: bytes, response: bytes, for_s: float) -> None:
        self.records.store(key, response, self._context.clock() + for_s)
        if not self._expiry_scheduled:
            self._expiry_scheduled = True
            self._context.timers.schedule(self._context.clock() + BUNDLE_S, self._expire_records)

    def _expire_records(self) -> None:
        self.records.expire(self._context.clock())
        self._expiry_scheduled = bool(self.records.responses)
        if self._expiry_scheduled:
            self._context.timers.schedule(self._context.clock() + BUNDLE_S, self._expire_records)

    def _count(self, name: str, by: int = 1) -> None:
        if by:
            self._context.counters.add(name, by)
