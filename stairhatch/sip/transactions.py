"""Transactions (RFC 3261, section 17, with RFC 6026 and RFC 4320): owns the four machines, one table for
them, and what must be remembered of those that are over. It is fed requests and responses, sends on flows, is
given a clock and timers, and tells its user each request and each response once: a user never sees a copy. It
must never know a dialog, a call or a socket, and must never grow beyond its bytes.

What is over shrinks: an answered INVITE to a key, another request to a key and its answer. A record of what
must only be recognised costs about 170 bytes, one that may have to be answered again 200 and its answer.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.counters import Counters
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.sip.request_head import HERE, RequestHead, render
from stairhatch.sip.transport import Flow, SipConnection, TransportAddress, UdpFlow

T1, T2, T4 = 0.5, 4.0, 5.0  # seconds (RFC 3261, 17.1.1.1)
LAST = 64 * T1  # timers B, F, H, J, L and M
SPAN_S = 2.0  # records of what is over are dropped in bundles of so long
LIVE_BYTES, RECORD_BYTES = 3072, 170  # what one costs beside its texts
SOURCE_SHARE = 0.25  # of the open transactions' room, that one source may hold once half is in use


class TransactionState(Enum):
    """Of any of the four machines."""

    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    ACCEPTED = "accepted"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


class Clockwork(Protocol):
    """What gives the time and calls back; the core is one."""

    clock: Callable[[], float]
    counters: Counters
    timers: TimerWheel


class ServerTransaction:
    """A server transaction. Its user answers it by `Transactions.respond` and may hang itself on `user`."""

    __slots__ = (
        "echo", "flow", "head", "invite", "key", "last", "oc", "place", "size", "source", "state",
        "user",
    )  # fmt: skip

    def __init__(self, key: bytes, head: RequestHead, flow: Flow) -> None:
        self.key, self.flow, self.source = key, flow, flow.peer[0]
        self.head: RequestHead | None = head  # until its final answer
        self.echo, self.oc = head.echo, head.oc
        self.invite = head.method == "INVITE"
        self.state = TransactionState.PROCEEDING if self.invite else TransactionState.TRYING
        self.place = head.place(flow.peer, flow.reliable)
        self.last = b""
        self.size = LIVE_BYTES + len(head.message.body)
        self.user: object = None

    @property
    def open(self) -> bool:
        """Whether its final answer is still to come."""
        return self.state in (TransactionState.TRYING, TransactionState.PROCEEDING)


class User(Protocol):
    """Whoever began a client transaction."""

    def provisional(self, status: int, message: sip.SipMessage) -> None: ...
    def final(self, status: int, message: sip.SipMessage | None) -> None: ...  # None: no answer came in time
    def unreachable(self) -> None: ...  # its flow died before an answer


class Client:
    """A client transaction."""

    __slots__ = ("ack", "branch", "data", "flow", "method", "state", "user")

    def __init__(self, branch: str, method: str, data: bytes, flow: Flow, user: User) -> None:
        self.branch, self.method, self.data, self.flow, self.user = branch, method, data, flow, user
        self.state = TransactionState.CALLING if method == "INVITE" else TransactionState.TRYING
        self.ack = b""  # what answers each copy of the final answer to an INVITE

    @property
    def waits(self) -> bool:
        """Whether its final answer is still to come."""
        return self.state in (TransactionState.CALLING, TransactionState.TRYING, TransactionState.PROCEEDING)


class Memory:
    """What is over but must be recognised, in bundles by the time when it may be forgotten."""

    def __init__(self) -> None:
        self.records: dict[bytes, bytes] = {}  # key -> the answer to a copy; empty: none is sent
        self.bundles: dict[int, list[bytes]] = {}
        self.bytes = 0

    def keep(self, key: bytes, answer: bytes, until: float) -> None:
        """Remember one until at least then."""
        if key in self.records:
            self.bytes -= RECORD_BYTES + len(self.records[key])
        self.records[key] = answer
        self.bytes += RECORD_BYTES + len(answer)
        self.bundles.setdefault(int(until / SPAN_S) + 1, []).append(key)

    def sweep(self, now: float) -> None:
        """Forget what is past its time."""
        for bundle in [each for each in self.bundles if each * SPAN_S <= now]:
            self._drop(bundle)

    def shed(self) -> int:
        """Forget the bundle that would go first, to make room; returns how many records went."""
        return self._drop(min(self.bundles)) if self.bundles else 0

    def _drop(self, bundle: int) -> int:
        keys = self.bundles.pop(bundle)
        for key in keys:
            answer = self.records.pop(key, None)
            if answer is not None:
                self.bytes -= RECORD_BYTES + len(answer)
        return len(keys)


class Transactions:
    """The table of all transactions of one user agent."""

    def __init__(self, clockwork: Clockwork, most_bytes: int) -> None:
        self.clockwork, self.most_bytes = clockwork, most_bytes
        self.servers: dict[bytes, ServerTransaction] = {}
        self.clients: dict[tuple[str, str], Client] = {}
        self.memory = Memory()
        self.live_bytes = 0
        self.by_source: dict[str, int] = {}  # bytes of open transactions
        self.reroute: Callable[[ServerTransaction], Flow] = (
            lambda transaction: transaction.flow
        )  # where a flow died
        self.feedback: Callable[[ServerTransaction], str] = (
            lambda transaction: ""
        )  # what its caller is told of our load
        self._sweeping = False

    # ---- server ----

    def known(self, head: RequestHead, flow: Flow) -> bool:
        """Whether a request is a copy; then it is dealt with here. An ACK is one where its INVITE was
        answered with 300 or above.
        """
        key = head.key
        if head.method == "ACK":
            transaction = self.servers.get(key)
            if transaction is None:
                return key in self.memory.records and head.to_tag == ""
            if transaction.state is TransactionState.COMPLETED:
                self._confirm(transaction)
            return True
        return self._repeated(key, flow, lambda: head.place(flow.peer, False))

    def copy_of(self, key: bytes, method: str, flow: Flow, place: TransportAddress) -> bool:
        """Whether a request that was only looked at is a copy; it is answered then. An ACK never is one here:
        it may have to be heard by a dialog.
        """
        return method != "ACK" and self._repeated(key, flow, lambda: place)

    def _repeated(self, key: bytes, flow: Flow, place: Callable[[], TransportAddress]) -> bool:
        """Answer a copy as it was answered before; False for what is none."""
        transaction = self.servers.get(key)
        if transaction is not None:
            self._copy(transaction, flow)
            return True
        answer = self.memory.records.get(key)
        if answer is None:
            return False
        self._count("retransmissions")
        if answer:
            back = UdpFlow(flow.port, place()) if isinstance(flow, UdpFlow) else flow
            back.send(answer)
        return True

    def room(self, source: str) -> bool:
        """Whether a new transaction may be opened for a source. What is only remembered gives way first;
        once half is taken by what is open, one source may not have more than its share of it.
        """
        if self.live_bytes >= self.most_bytes:
            return False
        if self.live_bytes * 2 > self.most_bytes:
            return self.by_source.get(source, 0) < SOURCE_SHARE * self.most_bytes
        return True

    def open(self, head: RequestHead, flow: Flow) -> ServerTransaction:
        """A new request: its transaction."""
        transaction = self.servers[head.key] = ServerTransaction(head.key, head, flow)
        self.live_bytes += transaction.size
        self.by_source[transaction.source] = self.by_source.get(transaction.source, 0) + transaction.size
        while self.live_bytes + self.memory.bytes > self.most_bytes and self.memory.bundles:
            self._count("forgotten_early", self.memory.shed())
        if isinstance(flow, SipConnection):
            flow.owed.add(transaction.key)
        return transaction

    def find(self, key: bytes) -> ServerTransaction | None:
        """The open transaction of a key."""
        return self.servers.get(key)

    def respond(
        self, transaction: ServerTransaction, status: int, tag: str, extra: str = "", body: bytes = b""
    ) -> bytes:
        """Answer. A second final answer, or a provisional one behind it, is not sent; returns the bytes."""
        if not transaction.open:
            return b""
        echoed = transaction.echo
        if HERE in echoed:
            echoed = echoed.replace(HERE, self.feedback(transaction))
        data = transaction.last = render(status, echoed, tag, extra, body)
        if status >= 200:
            self._answered(transaction, status)
        elif not transaction.invite:
            transaction.state = TransactionState.PROCEEDING
        self._send(transaction, data)
        return data

    def _answered(self, transaction: ServerTransaction, status: int) -> None:
        """The final answer is on its way: only what copies need stays."""
        now, flow = self.clockwork.clock(), transaction.flow
        transaction.head, transaction.user = None, None
        if isinstance(flow, SipConnection):
            flow.owed.discard(transaction.key)
        if transaction.invite and status >= 300:
            transaction.state = TransactionState.COMPLETED  # until the ACK
            self.clockwork.timers.schedule(now + T1, partial(self._unacked, transaction.key, T1, T1))
        else:
            transaction.state = (
                TransactionState.ACCEPTED if transaction.invite else TransactionState.TERMINATED
            )
            self._close(transaction)
            if transaction.invite:  # timer L; its user sends the 2xx again (RFC 6026, 7.1)
                self._remember(transaction.key, b"", LAST)
            elif not flow.reliable:  # timer J
                self._remember(transaction.key, transaction.last, LAST)

    def _confirm(self, transaction: ServerTransaction) -> None:
        """The ACK to a refusal has come (timer I)."""
        transaction.state = TransactionState.CONFIRMED
        self._close(transaction)
        if not transaction.flow.reliable:
            self._remember(transaction.key, b"", T4)

    def _unacked(self, key: bytes, gap: float, passed: float) -> None:
        """Timers G and H of a refusal."""
        transaction = self.servers.get(key)
        if transaction is None or transaction.state is not TransactionState.COMPLETED:
            return
        if passed >= LAST:
            self._count("refusals_never_acked")
            transaction.state = TransactionState.TERMINATED
            self._close(transaction)
            return
        if not transaction.flow.reliable:
            transaction.flow.send(transaction.last)
            self._count("resent")
        gap = min(2 * gap, T2, LAST - passed)
        self.clockwork.timers.schedule(
            self.clockwork.clock() + gap, partial(self._unacked, key, gap, passed + gap)
        )

    def _copy(self, transaction: ServerTransaction, flow: Flow) -> None:
        """A request sent again: the same transaction, the same answer."""
        self._count("retransmissions")
        if flow.reliable or not transaction.flow.alive:
            if isinstance(transaction.flow, SipConnection) and transaction.key in transaction.flow.owed:
                transaction.flow.owed.discard(transaction.key)
                if isinstance(flow, SipConnection):
                    flow.owed.add(transaction.key)
            transaction.flow = flow
        if transaction.last:
            self._send(transaction, transaction.last)

    def _send(self, transaction: ServerTransaction, data: bytes) -> None:
        flow = transaction.flow
        if not flow.alive:
            flow = transaction.flow = self.reroute(transaction)
        elif isinstance(flow, UdpFlow) and flow.peer != transaction.place:
            flow = transaction.flow = UdpFlow(flow.port, transaction.place)
        flow.send(data)

    def forget(self, transaction: ServerTransaction) -> None:
        """Drop one unanswered: its request must leave no trace."""
        if isinstance(transaction.flow, SipConnection):
            transaction.flow.owed.discard(transaction.key)
        transaction.state = TransactionState.TERMINATED
        self._close(transaction)

    def _close(self, transaction: ServerTransaction) -> None:
        if self.servers.pop(transaction.key, None) is None:
            return
        self.live_bytes -= transaction.size
        left = self.by_source.get(transaction.source, 0) - transaction.size
        if left > 0:
            self.by_source[transaction.source] = left
        else:
            self.by_source.pop(transaction.source, None)

    def _remember(self, key: bytes, answer: bytes, for_s: float) -> None:
        self.memory.keep(key, answer, self.clockwork.clock() + for_s)
        if not self._sweeping:
            self._sweeping = True
            self.clockwork.timers.schedule(self.clockwork.clock() + SPAN_S, self._sweep)

    def _sweep(self) -> None:
        self.memory.sweep(self.clockwork.clock())
        self._sweeping = bool(self.memory.records)
        if self._sweeping:
            self.clockwork.timers.schedule(self.clockwork.clock() + SPAN_S, self._sweep)

    # ---- client ----

    def begin(self, branch: str, method: str, data: bytes, flow: Flow, user: User) -> Client:
        """Send a request of ours (17.1.1.2, 17.1.2.2)."""
        client = self.clients[(branch, method)] = Client(branch, method, data, flow, user)
        self.clockwork.counters.add(f"sent_{method}")
        flow.send(data)
        self.clockwork.timers.schedule(
            self.clockwork.clock() + T1, partial(self._unheard, client.branch, method, T1, T1)
        )
        return client

    def _unheard(self, branch: str, method: str, gap: float, passed: float) -> None:
        """Timers A, B, E and F."""
        client = self.clients.get((branch, method))
        if client is None or not client.waits:
            return
        if passed >= LAST and not (method == "INVITE" and client.state is TransactionState.PROCEEDING):
            client.state = TransactionState.TERMINATED
            del self.clients[(branch, method)]
            self._count("requests_unanswered")
            client.user.final(408, None)
            return
        again = not client.flow.reliable and client.state is not TransactionState.PROCEEDING
        if again or (
            client.state is TransactionState.PROCEEDING and method != "INVITE" and not client.flow.reliable
        ):
            client.flow.send(client.data)
            self._count("resent")
        slow = T2 if method != "INVITE" else LAST  # timer A doubles without bound, timer E up to T2
        gap = T2 if client.state is TransactionState.PROCEEDING else min(2 * gap, slow)
        gap = min(gap, LAST - passed) if passed < LAST else LAST
        due = self.clockwork.clock() + gap
        self.clockwork.timers.schedule(due, partial(self._unheard, branch, method, gap, passed + gap))

    def response(self, message: sip.SipMessage) -> bool:
        """A response; whether it belongs to a request of ours. Copies of a final one end here."""
        vias = message.get_all("via")
        method = message.cseq()[1]
        client = self.clients.get((sip.parameters(vias[0]).get("branch", "") if vias else "", method))
        if client is None or len(vias) != 1:  # one with another Via below was not for us (8.1.3.3)
            return False
        if client.waits:
            if message.status < 200:
                client.state = TransactionState.PROCEEDING
                client.user.provisional(message.status, message)
                return True
            self._heard(client, message)
        elif client.ack and message.status >= 200:
            client.flow.send(client.ack)  # a copy: the ACK was lost
        return True

    def _heard(self, client: Client, message: sip.SipMessage) -> None:
        accepted = message.status < 300
        client.state = TransactionState.ACCEPTED if accepted else TransactionState.COMPLETED
        keep = LAST if client.method == "INVITE" else T4  # timers D and M, and K
        if client.flow.reliable and not (client.method == "INVITE" and accepted):
            keep = 0.0
        if client.method == "INVITE" and not accepted:
            client.ack = self.ack_to_refusal(client, message)
            client.flow.send(client.ack)
        if keep:
            over = partial(self._client_over, client.branch, client.method)
            self.clockwork.timers.schedule(self.clockwork.clock() + keep, over)
        else:
            del self.clients[(client.branch, client.method)]
        client.data = b""
        client.user.final(message.status, message)

    def _client_over(self, branch: str, method: str) -> None:
        self.clients.pop((branch, method), None)

    @staticmethod
    def ack_to_refusal(client: Client, answer: sip.SipMessage) -> bytes:
        """The ACK that belongs to the same transaction (17.1.1.3)."""
        sent = sip_parser.parse_datagram(client.data)
        headers = [("via", sent.get_all("via")[0]), ("max-forwards", "70")]
        headers += [(name, value) for name, value in sent.headers if name == "route"]
        headers += [("from", sent.get("from")), ("to", answer.get("to")), ("call-id", sent.get("call-id"))]
        headers.append(("cseq", f"{sent.cseq()[0]} ACK"))
        return sip.request("ACK", sent.uri, headers)

    def flow_lost(self, flow: Flow) -> None:
        """A connection has ended: what waited on it for an answer is begun anew by its user, elsewhere."""
        for client in [each for each in self.clients.values() if each.flow is flow and each.waits]:
            client.state = TransactionState.TERMINATED
            self.clients.pop((client.branch, client.method), None)
            self._count("requests_rerouted")
            client.user.unreachable()

    def _count(self, name: str, by: int = 1) -> None:
        if by:
            self.clockwork.counters.add(name, by)
