"""Server transactions (RFC 3261, 17.2, with RFC 6026 and RFC 4320) and the records of completed ones.

The table is fed requests, sends responses on flows, and absorbs retransmissions, so that the transaction user
sees each request once. It is independent of dialogs and calls, and its memory is limited to `max_bytes`.

A completed transaction shrinks to a record: an answered INVITE to a key, any other request to a key and its
response. A record without a response costs about 170 bytes, a record with one 200 bytes plus the response.
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

BUNDLE_S = 2.0  # records that expire within the same span of this length are dropped together
TRANSACTION_BYTES = 3072  # memory of an open transaction, apart from the body of its request
RECORD_BYTES = 170  # memory of a record, apart from its response
MAX_SOURCE_FRACTION = 0.25  # limit of one source's share of the memory once half of it is in use


class TransactionUser(Protocol):
    """The transaction user (TU; RFC 3261, section 5) that answers an INVITE after `open` has returned."""

    tag: str  # the local tag of the responses

    def cancelled(self) -> None:
        """Called when a CANCEL for the INVITE has been received."""

    def disconnected(self) -> None:
        """Called when the connection on which the INVITE was received has ended."""


class ServerTransaction:
    """A server transaction.

    `user` is notified of events until the final response; None if the request is answered at once.
    """

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
        """Create the transaction of a request that was received on `flow`."""
        self.key = head.transaction_key
        self.flow = flow
        self.source = flow.peer[0]
        self.head: RequestHead | None = head  # None after the final response
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
        """Whether the final response has not been sent yet."""
        return self.state in (TransactionState.TRYING, TransactionState.PROCEEDING)


class TransactionRecords:
    """A store of completed transactions whose retransmissions must be recognised.

    Records are grouped into bundles by expiry time, and a bundle is dropped as a whole.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.responses: dict[bytes, bytes] = {}  # key -> response to a retransmission; empty: none is sent
        self.size_bytes = 0
        # Lists of keys, by the number of the span of `BUNDLE_S` in which the keys expire.
        self._bundles: dict[int, list[bytes]] = {}

    def store(self, key: bytes, response: bytes, until: float) -> None:
        """Keep a record at least until the time `until`, in seconds of the context's clock."""
        if key in self.responses:
            self.size_bytes -= RECORD_BYTES + len(self.responses[key])
        self.responses[key] = response
        self.size_bytes += RECORD_BYTES + len(response)
        self._bundles.setdefault(int(until / BUNDLE_S) + 1, []).append(key)

    def expire(self, now: float) -> None:
        """Drop the bundles whose expiry time has passed."""
        for bundle in [number for number in self._bundles if number * BUNDLE_S <= now]:
            self._drop(bundle)

    def can_evict(self) -> bool:
        """Whether there is a bundle to evict."""
        return bool(self._bundles)

    def evict(self) -> int:
        """Drop the bundle that expires first to free memory; returns the number of its keys."""
        return self._drop(min(self._bundles)) if self._bundles else 0

    def _drop(self, bundle: int) -> int:
        keys = self._bundles.pop(bundle)
        for key in keys:
            response = self.responses.pop(key, None)
            if response is not None:
                self.size_bytes -= RECORD_BYTES + len(response)
        return len(keys)


def _original_flow(transaction: ServerTransaction) -> Flow:
    return transaction.flow


def _no_feedback(_transaction: ServerTransaction) -> str:
    return ""


class ServerTransactions:
    """The table of all server transactions of one user agent, open and recorded."""

    def __init__(
        self,
        context: TransactionContext,
        max_bytes: int,
        reroute: Callable[[ServerTransaction], Flow] = _original_flow,
        overload_feedback: Callable[[ServerTransaction], str] = _no_feedback,
    ) -> None:
        """Create an empty table whose memory is limited to `max_bytes`.

        `reroute` returns the flow for a response if the flow of the transaction has ended.
        `overload_feedback` returns the Via parameters for a caller that supports overload control (RFC 7339).
        """
        self.max_bytes = max_bytes
        self.open_transactions: dict[bytes, ServerTransaction] = {}
        self.records = TransactionRecords()
        self.open_bytes = 0
        self.bytes_by_source: dict[str, int] = {}  # memory of the open transactions
        self._context = context
        self._reroute = reroute
        self._overload_feedback = overload_feedback
        self._expiry_scheduled = False

    # ---- received requests ----

    def absorb(self, head: RequestHead, flow: Flow) -> bool:
        """Process a retransmission or the ACK to a non-2xx response; returns False for any other request."""
        key = head.transaction_key
        if head.method == "ACK":
            transaction = self.open_transactions.get(key)
            if transaction is None:
                return key in self.records.responses and head.to_tag == ""
            if transaction.state is TransactionState.COMPLETED:
                self._confirm(transaction)
            return True
        return self._answer_retransmission(key, flow, lambda: head.response_address(flow.peer, False))

    def absorb_scanned(self, key: bytes, method: str, flow: Flow, address: TransportAddress) -> bool:
        """Process a request that was only scanned, if it is a retransmission; returns whether it was.

        An ACK is never processed here, because it may belong to a dialog. `address` is where the response to
        a request received by UDP is sent.
        """
        return method != "ACK" and self._answer_retransmission(key, flow, lambda: address)

    def has_room(self, source: str) -> bool:
        """Whether a new transaction may be opened for a source address.

        Records don't count, as they are evicted for open transactions. Once open transactions use more than
        half of the memory, one source may use at most `MAX_SOURCE_FRACTION` of it.
        """
        if self.open_bytes >= self.max_bytes:
            return False
        if self.open_bytes * 2 > self.max_bytes:
            return self.bytes_by_source.get(source, 0) < MAX_SOURCE_FRACTION * self.max_bytes
        return True

    def open(self, head: RequestHead, flow: Flow) -> ServerTransaction:
        """Open and return the transaction of a new request; evicts records if the memory is full."""
        transaction = self.open_transactions[head.transaction_key] = ServerTransaction(head, flow)
        self.open_bytes += transaction.size_bytes
        source_bytes = self.bytes_by_source.get(transaction.source, 0)
        self.bytes_by_source[transaction.source] = source_bytes + transaction.size_bytes
        while self.open_bytes + self.records.size_bytes > self.max_bytes and self.records.can_evict():
            self._count("transaction_records_evicted", self.records.evict())
        flow.add_unanswered(transaction.key)
        return transaction

    def find(self, key: bytes) -> ServerTransaction | None:
        """Return the open transaction with a key, or None."""
        return self.open_transactions.get(key)

    def is_recorded(self, key: bytes) -> bool:
        """Whether there is a record of a completed transaction with this key."""
        return key in self.records.responses

    def discard(self, transaction: ServerTransaction) -> None:
        """Drop a transaction without a response and without a record, so that its request leaves no state."""
        transaction.flow.discard_unanswered(transaction.key)
        transaction.state = TransactionState.TERMINATED
        self._close(transaction)

    # ---- sent responses ----

    def respond(
        self, transaction: ServerTransaction, status: int, tag: str, extra: str = "", body: bytes = b""
    ) -> bytes:
        """Send a response and return its bytes; returns b"" if nothing is sent.

        After the final response no further response is sent, neither final nor provisional. `tag` is the
        local tag to add to To ("" for none), `extra` is formatted header lines.
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
        """Enter the state that follows a final response, and keep only what retransmissions need."""
        transaction.head = None
        transaction.user = None
        transaction.flow.discard_unanswered(transaction.key)
        if transaction.is_invite and status >= 300:
            transaction.state = TransactionState.COMPLETED  # left when the ACK is received
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
        """Enter the state that follows the ACK to a non-2xx response (timer I)."""
        transaction.state = TransactionState.CONFIRMED
        self._close(transaction)
        if not transaction.flow.reliable:
            self._record(transaction.key, b"", T4)

    def _schedule_retransmission(self, key: bytes, interval: RetransmissionInterval) -> None:
        due = self._context.clock() + interval.gap_s
        self._context.timers.schedule(due, partial(self._retransmit, key, interval))

    def _retransmit(self, key: bytes, interval: RetransmissionInterval) -> None:
        """Retransmit a non-2xx response to an INVITE until its ACK is received (timers G and H)."""
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

    def _answer_retransmission(self, key: bytes, flow: Flow, address: Callable[[], TransportAddress]) -> bool:
        """Answer a retransmission with the last response; returns False for any other request.

        `address` returns where a recorded response is sent by UDP.
        """
        transaction = self.open_transactions.get(key)
        if transaction is not None:
            self._retransmission_received(transaction, flow)
            return True
        response = self.records.responses.get(key)
        if response is None:
            return False
        self._count("retransmissions_received")
        if response:
            response_flow = UdpFlow(flow.port, address()) if isinstance(flow, UdpFlow) else flow
            response_flow.send(response)
        return True

    def _retransmission_received(self, transaction: ServerTransaction, flow: Flow) -> None:
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

    # ---- closed transactions and their records ----

    def _close(self, transaction: ServerTransaction) -> None:
        if self.open_transactions.pop(transaction.key, None) is None:
            return
        self.open_bytes -= transaction.size_bytes
        remaining_bytes = self.bytes_by_source.get(transaction.source, 0) - transaction.size_bytes
        if remaining_bytes > 0:
            self.bytes_by_source[transaction.source] = remaining_bytes
        else:
            self.bytes_by_source.pop(transaction.source, None)

    def _record(self, key: bytes, response: bytes, duration_s: float) -> None:
        self.records.store(key, response, self._context.clock() + duration_s)
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
