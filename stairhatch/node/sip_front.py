"""The appliance's front: owns SIP over UDP and TCP (RFC 3261): transactions with their timers, dialogs, and
how class and destination are read from an INVITE. A state machine that is fed messages by flows and sends on
flows. It must never know a socket, never choose a server or an answer, and never let a call or a dialog hang
on one connection.
"""

from __future__ import annotations

import hashlib
import ipaddress
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from stairhatch.interface import CallClass, Settings
from stairhatch.node import roster, sip
from stairhatch.node.core import AWAY_S, ENDED, Call, Core, Machine, Offer
from stairhatch.node.directory import DirectoryError, parse_address
from stairhatch.node.trunk_front import called_number, release_cause

T1, T2, T4 = 0.5, 4.0, 5.0  # seconds (RFC 3261, 17.1.1.1)
LAST = 64 * T1
MOST_TRANSACTIONS, MOST_DIALOGS = 20_000, 10_000
MOST_OUTPUT = 256 * 1024  # of a connection; one that reads so much too slowly is cut off
MOST_DATAGRAMS = 4096  # waiting to be sent
ALLOW = ("allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS")
MEDIA = "application/sdp"
MAGIC = "z9hG4bK"
Address = tuple[str, int]


class SipConfigError(ValueError):
    """A configuration of this front that can't be used."""


@dataclass(frozen=True)
class SipConfig:
    """Where the front listens and how it reads an INVITE."""

    udp: Address | None
    tcp: Address | None
    contact: str
    default_class: str
    numbers: tuple[tuple[str, str, int], ...]  # prefix, class, first choice; the longest prefix first
    connections: int


def read_sip_config(raw: dict[str, Any], settings: Settings) -> SipConfig:
    """Read the `[sip]` part of deploy/sip.toml."""
    try:
        classes = {kind.name for kind in settings.classes}

        def known(name: object) -> str:
            if not isinstance(name, str) or name not in classes:
                raise SipConfigError(f"the settings have no class {name!r}")
            return name

        numbers = [
            (str(line["prefix"]), known(line["class"]), int(line.get("first_choice", -1)))
            for line in raw.get("numbers", ())
        ]
        udp = parse_address(raw["udp"]) if raw.get("udp") else None
        tcp = parse_address(raw["tcp"]) if raw.get("tcp") else None
        if udp is None and tcp is None:
            raise SipConfigError("[sip] names neither udp nor tcp to listen on")
        host, port = udp or tcp or ("", 0)
        return SipConfig(
            udp=udp,
            tcp=tcp,
            contact=str(raw.get("contact") or f"{host}:{port}"),
            default_class=known(raw["default_class"]),
            numbers=tuple(sorted(numbers, key=lambda line: -len(line[0]))),
            connections=int(raw.get("connections", 256)),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise SipConfigError(f"[sip]: bad or missing part: {error}") from None
    except (DirectoryError, ValueError) as error:
        raise SipConfigError(f"[sip]: {error}") from None


# ---- flows: the ways that messages come and go ----


class Flow:
    """A way back to a peer."""

    reliable = False
    alive = True
    peer: Address = ("", 0)

    def send(self, data: bytes) -> None:
        """Queue a message."""
        raise NotImplementedError


class SipDatagrams:
    """The UDP port: datagrams in, datagrams out."""

    def __init__(self, front: SipFront) -> None:
        self.front = front
        self.output: deque[tuple[bytes, Address]] = deque(maxlen=MOST_DATAGRAMS)
        self.wake: Callable[[], None] = lambda: None

    def receive(self, data: bytes, peer: Address) -> None:
        """One datagram. What is malformed and can't be answered is counted and dropped."""
        front, flow = self.front, UdpFlow(self, peer)
        if not data.strip(b"\r\n\0 "):
            return  # a keep-alive
        try:
            message = sip.parse_datagram(data)
        except sip.SipError as error:
            front.malformed(flow, error)
            return
        front.receive(flow, message)


class UdpFlow(Flow):
    """A peer's address."""

    def __init__(self, port: SipDatagrams, peer: Address) -> None:
        self.port, self.peer = port, peer

    def send(self, data: bytes) -> None:
        self.port.output.append((data, self.peer))
        self.port.wake()


class SipConnection(Machine, Flow):
    """A TCP connection, taken or dialled."""

    reliable = True

    def __init__(self, front: SipFront, peer: Address = ("", 0)) -> None:
        super().__init__()
        self.front, self.peer = front, peer
        self.output: list[bytes] = []
        self.size = 0
        self.parser = sip.StreamParser()
        self.owed: set[tuple[str, ...]] = set()  # transactions that await their final answer here

    def owes(self) -> bool:
        """Whether a final answer is owed on it, or one waits to be written."""
        return bool(self.owed or self.output)

    def partial(self) -> bool:
        """Whether the rest of a message is awaited."""
        return self.parser.partial()

    def expire(self) -> None:
        """A message has not come whole in time: its request is answered, if its head could be read."""
        if (begun := self.parser.begun) is not None:
            self.front.malformed(self, sip.SipError(408, "the rest of a message never came", begun))
        super().expire()

    def leave(self) -> None:
        """Nothing more goes this way: what is due to the peer later is dialled or sent by UDP."""
        self._forsake()
        super().leave()

    def send(self, data: bytes) -> None:
        self.output.append(data)
        self.size += len(data)
        if self.size > MOST_OUTPUT:
            self.front.core.counters.add("slow_callers_cut")
            self.closing = True
            self.abort()
        self.wake()

    def receive(self, data: bytes | memoryview) -> None:
        """Bytes from the peer. After a malformed message the stream can't be followed and is closed."""
        if self.closing:
            return
        self.parser.feed(data)
        try:
            while not self.closing and (message := self.parser.next()) is not None:
                self.asked = True
                self.front.receive(self, message)
        except sip.SipError as error:
            self.front.malformed(self, error)
            self.closing = True
            self.wake()

    def pull(self) -> bytes:
        data = b"".join(self.output)
        self.output.clear()
        self.size = 0
        return data

    def lost(self) -> None:
        """The connection has ended. Calls and dialogs live on: they are reached another way."""
        self._forsake()
        self.front.core.counters.add("connections_lost")


    def _forsake(self) -> None:
        self.alive = False
        if self.front.connections.get(self.peer) is self:  # the peer may have come again
            del self.front.connections[self.peer]


# ---- transactions and dialogs ----


@dataclass(eq=False, slots=True)
class Transaction:
    """A server transaction, or the client transaction of a BYE of ours."""

    key: tuple[str, ...]
    request: sip.Message
    flow: Flow
    state: str = "proceeding"  # then completed, confirmed or accepted, and over
    last: bytes = b""  # the message that is sent again
    leg: Leg | None = None


@dataclass(eq=False)
class Leg:
    """A caller's INVITE and, once it is answered, the dialog. The core sees it as a caller."""

    front: SipFront
    transaction: Transaction
    ident: str
    tag: str
    call: Call | None = None
    dialog: tuple[str, str, str] | None = None
    target: str = ""
    routes: list[str] = field(default_factory=list)
    remote_cseq: int = 0
    local_cseq: int = 0
    acked: bool = False

    def stood(self, description: bytes) -> None:
        self.front.answer_stood(self, description)

    def refused(self, return_s: float) -> None:
        self.front.final(self.transaction, 503, [("retry-after", str(max(1, math.ceil(return_s))))])

    def failed(self, timed_out: bool) -> None:
        if timed_out:
            self.front.final(self.transaction, 408, [])
        else:
            self.front.final(self.transaction, 500, [("retry-after", "1")])

    def released(self, cause: int) -> None:
        self.front.send_bye(self, cause)


class SipFront:
    """All transactions and dialogs of the appliance."""

    def __init__(self, core: Core, config: SipConfig, token: Callable[[], str]) -> None:
        self.core, self.config, self.token = core, config, token
        self.transactions: dict[tuple[str, ...], Transaction] = {}
        self.merged: dict[tuple[str, str, str], Transaction] = {}  # by Call-ID, From tag and CSeq
        self.dialogs: dict[tuple[str, str, str], Leg] = {}
        self.connections: dict[Address, SipConnection] = {}
        self.datagrams = SipDatagrams(self)
        self.dial: Callable[[SipConnection], None] = lambda connection: None  # set by the wiring

    # ---- what comes in ----

    def connect(self, peer: Address) -> SipConnection:
        """A TCP connection has been taken."""
        connection = self.connections[peer] = SipConnection(self, peer)
        return connection

    def malformed(self, flow: Flow, error: sip.SipError) -> None:
        """Count what can't be read; answer it if enough of it could be."""
        self.core.counters.add("malformed_from_callers")
        self.core.log("malformed", side="caller", why=str(error))
        partial = error.partial
        if partial is None or partial.method in ("", "ACK") or not partial.get("via"):
            return
        if all(partial.get(name) for name in ("from", "to", "call-id", "cseq")):
            self._mark_via(partial, flow)
            self._reply_stateless(flow, partial, error.status)

    def receive(self, flow: Flow, message: sip.Message) -> None:
        """One message, on any transport."""
        kind = message.method if message.method in METHODS else "other" if message.method else "response"
        self.core.counters.add(f"got_{kind}")  # a name made up by a caller is no counter
        if not message.method:
            self._response(message)
            return
        fault = self._fault(message)
        if fault:
            self.malformed(flow, sip.SipError(400, fault, message))
            return
        self._mark_via(message, flow)
        key = self._key(message)
        known = self.transactions.get(key)
        if message.method == "ACK":
            self._ack(message, known)
        elif known is not None:
            self._again(known, flow)
        elif self._limits(flow, message):
            self._new(flow, message, key)

    @staticmethod
    def _fault(message: sip.Message) -> str:
        """What is wrong with a request, "" if nothing is."""
        for name in ("via", "from", "to", "call-id", "cseq"):
            if not message.get(name):
                return f"no {name}"
        number, method = message.cseq()
        if number < 0 or method != message.method:
            return "bad CSeq"
        if message.method != "ACK" and not sip.parameters(message.get("from")).get("tag"):
            return "no From tag"
        hops = message.get("max-forwards", "70")
        if not hops.isascii() or not hops.isdigit() or len(hops) > 3:
            return "bad Max-Forwards"
        return ""

    @staticmethod
    def _mark_via(message: sip.Message, flow: Flow) -> None:
        """Note in the topmost Via where the request came from (RFC 3261, 18.2.1; RFC 3581)."""
        for index, (name, value) in enumerate(message.headers):
            if name != "via":
                continue
            first, *others = sip.split_list(value) or [""]
            parts = [p for p in first.split(";") if p.partition("=")[0].strip().lower() != "received"]
            first = ";".join(parts)  # where it came from is ours to say
            given = sip.parameters(first)
            host, port = flow.peer
            if "rport" in given and not given["rport"]:
                parts = [f"rport={port}" if p.strip().lower() == "rport" else p for p in first.split(";")]
                first = ";".join(parts)
            if "rport" in given or _sent_by(first)[0] != host:
                first += f";received={host}"
            message.headers[index] = (name, ", ".join([first, *others]))
            return

    @staticmethod
    def _key(message: sip.Message) -> tuple[str, ...]:
        """Which transaction a request belongs to (RFC 3261, 17.2.3). An ACK belongs to its INVITE's."""
        via = message.all("via")[0]
        branch = sip.parameters(via).get("branch", "")
        method = "INVITE" if message.method == "ACK" else message.method
        if branch.startswith(MAGIC):
            return (branch, ":".join(map(str, _sent_by(via))), method)
        tag = sip.parameters(message.get("from")).get("tag", "")
        return (message.get("call-id"), tag, str(message.cseq()[0]), via.split(";")[0], method)

    def _limits(self, flow: Flow, message: sip.Message) -> bool:
        """Whether a new request may open a transaction; else it is answered without one."""
        status, extra = 0, []
        if message.method == "INVITE" and self.core.turns_away():
            status, extra = 503, [("retry-after", str(max(1, math.ceil(AWAY_S))))]
            self.core.counters.add("calls_turned_away")
        elif len(self.transactions) >= MOST_TRANSACTIONS:
            status, extra = 503, [("retry-after", "2")]
            self.core.counters.add("table_full")
        if status:
            self._reply_stateless(flow, message, status, extra)
        return not status

    def _again(self, known: Transaction, flow: Flow) -> None:
        """A request sent again: the same transaction, the same answer, no new call."""
        self.core.counters.add("retransmissions")
        if flow.reliable or not known.flow.alive:
            if isinstance(known.flow, SipConnection) and known.key in known.flow.owed:
                known.flow.owed.discard(known.key)
                if isinstance(flow, SipConnection):
                    flow.owed.add(known.key)
            known.flow = flow
        if known.last and known.state != "confirmed":
            known.flow.send(known.last)

    def _new(self, flow: Flow, message: sip.Message, key: tuple[str, ...]) -> None:
        method = message.method
        transaction = self.transactions[key] = Transaction(key, message, flow)
        if isinstance(flow, SipConnection):
            flow.owed.add(key)
        required = message.all("require") if method != "CANCEL" else []
        if not message.uri.lower().startswith(("sip:", "sips:")):
            self.final(transaction, 416, [])
        elif required:
            self.final(transaction, 420, [("unsupported", ", ".join(required))])
        elif int(message.get("max-forwards", "70")) == 0 and method != "CANCEL":
            self.final(transaction, 483, [])
        elif method == "INVITE":
            self._invite(transaction)
        elif method == "CANCEL":
            self._cancel(transaction)
        elif method == "BYE":
            self._bye(transaction)
        elif method == "OPTIONS":
            self.final(transaction, 503 if self.core.why_not() else 200, [ALLOW, ("accept", MEDIA)])
        else:
            self.final(transaction, 405, [ALLOW])

    # ---- calls ----

    def read_class(self, message: sip.Message) -> tuple[CallClass | None, int]:
        """Class and first choice: `Call-Kind` names the class, else the number called does by its prefix."""
        user = sip.user_of(message.uri)
        name, choice = self.config.default_class, -1
        for prefix, listed, first in self.config.numbers:
            if user.startswith(prefix):
                name, choice = listed, first
                break
        return self.core.class_named(message.get("call-kind") or name), choice

    @staticmethod
    def _patience(message: sip.Message, kind: CallClass) -> float:
        """How long the caller waits: as its class says, or less if Expires does."""
        patience = kind.deadline_s
        expires = message.get("expires")
        if expires.isascii() and expires.isdigit():
            patience = min(patience, float(expires[:9]))
        return patience

    def _invite(self, transaction: Transaction) -> None:
        message = transaction.request
        if sip.parameters(message.get("to")).get("tag"):
            leg = self._dialog_of(message)
            if leg is None:
                self.final(transaction, 481, [])
            elif self._in_order(leg, transaction):
                self.final(transaction, 488 if leg.acked else 491, [])  # the session stays as it is
            return
        tag = sip.parameters(message.get("from"))["tag"]
        merged = (message.get("call-id"), tag, str(message.cseq()[0]))
        if merged in self.merged:
            self.final(transaction, 482, [])
            return
        kind, choice = self.read_class(message)
        user = sip.user_of(message.uri)
        media = message.get("content-type", MEDIA).split(";")[0].strip().lower()
        if kind is None or not user:
            self.final(transaction, 400, [])
            return
        if message.body and media != MEDIA:
            self.final(transaction, 415, [("accept", MEDIA)])
            return
        try:
            description = message.body.decode()  # what is no UTF-8 would be no JSON at the roster server
            user.encode()
        except ValueError:
            self.final(transaction, 400, [])
            return
        ident = hashlib.blake2b("\0".join(merged).encode("utf-8", "replace"), digest_size=8).hexdigest()
        if roster.too_long(ident, kind.name, user, description):
            self.final(transaction, 413, [])
            return
        if len(self.dialogs) >= MOST_DIALOGS:
            self.core.counters.add("table_full")
            self.final(transaction, 503, [("retry-after", "2")])
            return
        if self.core.was_over(ident):  # a copy that comes after its call has ended
            self.core.counters.add("retransmissions")
            self._forget(transaction)
            return
        leg = transaction.leg = Leg(self, transaction, ident, self.token())
        self.merged[merged] = transaction
        self._send(transaction, 100, [])
        offer = Offer(
            ident=ident,
            kind=kind,
            key=user,
            description=description,
            patience_s=self._patience(message, kind),
            choice=choice,
            called=called_number(user),
        )
        leg.call = self.core.offer(offer, leg)

    def answer_stood(self, leg: Leg, description: bytes) -> None:
        """The call stands: 200 is sent until the ACK comes, and the dialog begins."""
        transaction, message = leg.transaction, leg.transaction.request
        remote = sip.parameters(message.get("from"))["tag"]
        leg.dialog = (message.get("call-id"), leg.tag, remote)
        self.dialogs[leg.dialog] = leg
        leg.remote_cseq = message.cseq()[0]
        contacts = message.all("contact")
        leg.target = sip.address_of(contacts[0]) if contacts else ""
        leg.routes = message.all("record-route")
        transaction.state = "accepted"
        extra = [("record-route", value) for value in leg.routes]
        extra += [("contact", f"<sip:{self.config.contact}>"), ALLOW]
        if description:
            extra.append(("content-type", MEDIA))
        self._send(transaction, 200, extra, description)
        self.core.at(self.core.clock() + LAST, partial(self._never_acked, leg))
        self._resend(transaction, T1, lambda: transaction.state == "accepted" and not leg.acked)

    def _never_acked(self, leg: Leg) -> None:
        """RFC 3261, 13.3.1.4: no ACK came in 64 T1, so the call is ended."""
        self._forget(leg.transaction)
        if not leg.acked and leg.dialog in self.dialogs and leg.call is not None:
            self.core.counters.add("answers_never_acked")
            call = leg.call
            self.send_bye(leg, ENDED)
            self.core.caller_released(call, ENDED)

    def _ack(self, message: sip.Message, known: Transaction | None) -> None:
        if known is not None and known.state == "completed":
            known.state = "confirmed"
            linger = 0.0 if known.flow.reliable else T4
            self.core.at(self.core.clock() + linger, partial(self._forget, known))
            return
        leg = self._dialog_of(message)
        if leg is not None and message.cseq()[0] == leg.transaction.request.cseq()[0]:
            leg.acked = True
        elif known is None:
            self.core.counters.add("acks_unmatched")

    def _cancel(self, transaction: Transaction) -> None:
        """CANCEL names its INVITE by the branch. It has no effect once a final answer is out."""
        invite = self.transactions.get((*transaction.key[:-1], "INVITE"))
        if invite is None:
            self.final(transaction, 481, [])
            return
        self.final(transaction, 200, [], tag=invite.leg.tag if invite.leg else "")
        leg = invite.leg
        if invite.state == "proceeding" and leg is not None and leg.call is not None:
            call, leg.call = leg.call, None
            self.core.caller_left(call)
            self.final(invite, 487, [])

    def _bye(self, transaction: Transaction) -> None:
        message = transaction.request
        leg = self._dialog_of(message)
        if leg is None:
            self.final(transaction, 481, [])
        elif self._in_order(leg, transaction):
            call = leg.call
            self._end(leg)
            self.final(transaction, 200, [])
            if call is not None:
                self.core.caller_released(call, release_cause(message))

    def _dialog_of(self, message: sip.Message) -> Leg | None:
        local = sip.parameters(message.get("to")).get("tag", "")
        remote = sip.parameters(message.get("from")).get("tag", "")
        return self.dialogs.get((message.get("call-id"), local, remote))

    def _in_order(self, leg: Leg, transaction: Transaction) -> bool:
        """A request of a dialog must have a higher CSeq than the last (RFC 3261, 12.2.2)."""
        number = transaction.request.cseq()[0]
        if number <= leg.remote_cseq:
            self.final(transaction, 500, [])
            return False
        leg.remote_cseq = number
        return True

    def _end(self, leg: Leg) -> None:
        """The dialog is over."""
        if leg.dialog is not None:
            self.dialogs.pop(leg.dialog, None)
        leg.acked, leg.call = True, None

    # ---- our own BYE: a client transaction ----

    def send_bye(self, leg: Leg, cause: int) -> None:
        """End a dialog from our side, over the caller's flow or, if that is gone, where its Contact says."""
        message, routes = leg.transaction.request, leg.routes
        self._end(leg)
        leg.local_cseq += 1
        target = leg.target or f"sip:{leg.transaction.flow.peer[0]}:{leg.transaction.flow.peer[1]}"
        flow = self._flow_to(sip.address_of(routes[0]) if routes else target, leg.transaction.flow)
        branch = MAGIC + self.token()
        via = f"SIP/2.0/{'TCP' if flow.reliable else 'UDP'} {self.config.contact};branch={branch};rport"
        headers = [("via", via), ("max-forwards", "70")]
        headers += [("route", value) for value in routes]
        headers += [
            ("from", f"{message.get('to')};tag={leg.tag}"),
            ("to", message.get("from")),
            ("call-id", message.get("call-id")),
            ("cseq", f"{leg.local_cseq} BYE"),
            ("reason", f"Q.850;cause={cause}"),
        ]
        bye = Transaction((branch, "BYE", "client"), sip.Message(method="BYE", headers=headers), flow)
        bye.last = sip.request("BYE", target, headers)
        self.transactions[bye.key] = bye
        self.core.counters.add("sent_BYE")
        flow.send(bye.last)
        self.core.at(self.core.clock() + LAST, partial(self._forget, bye))
        if not flow.reliable:
            self._resend(bye, T1, lambda: bye.state == "proceeding")

    def _flow_to(self, uri: str, used: Flow) -> Flow:
        """The way to a URI: what the caller came by while that is open, else a new connection or UDP."""
        if used.alive and (used.reliable or self.config.udp is not None):
            return used
        host, port = _host_port(uri.partition(":")[2].rpartition("@")[2].split(";")[0], 5060)
        if not _is_address(host):
            host, port = used.peer  # names are not looked up: that would hold up everybody
        if sip.parameters(uri).get("transport", "").lower() != "tcp" and self.config.udp is not None:
            return UdpFlow(self.datagrams, (host, port))
        known = self.connections.get((host, port))
        if known is None:
            known = self.connect((host, port))
            self.dial(known)
        return known

    def _response(self, message: sip.Message) -> None:
        vias = message.all("via")
        branch = sip.parameters(vias[0]).get("branch", "") if vias else ""
        known = self.transactions.get((branch, "BYE", "client"))
        if known is not None and message.status >= 200:
            self._forget(known)

    # ---- answers ----

    def final(self, transaction: Transaction, status: int, extra: sip.Headers, tag: str = "") -> None:
        """A final answer other than the 200 to an INVITE."""
        if transaction.state != "proceeding":
            return
        transaction.state = "completed"
        self._send(transaction, status, extra, tag=tag)
        if transaction.leg is not None:
            transaction.leg.call = None
        now = self.core.clock()
        if transaction.request.method == "INVITE":
            self.core.at(now + LAST, partial(self._forget, transaction))
            if not transaction.flow.reliable:
                self._resend(transaction, T1, lambda: transaction.state == "completed")
        elif transaction.flow.reliable:
            self._forget(transaction)
        else:
            self.core.at(now + LAST, partial(self._forget, transaction))

    def _send(
        self, transaction: Transaction, status: int, extra: sip.Headers, body: bytes = b"", tag: str = ""
    ) -> None:
        """Answer a transaction, where its topmost Via says."""
        request = transaction.request
        headers = sip.echoed(request)
        if status > 100:
            tag = tag or (transaction.leg.tag if transaction.leg is not None else self.token())
            headers = list(_with_tag(headers, tag))
        if status >= 200 and isinstance(transaction.flow, SipConnection):
            transaction.flow.owed.discard(transaction.key)
        transaction.last = sip.response(status, headers + extra, body)
        self.core.counters.add(f"sent_{status}")
        if self.core.tracing:
            self.core.log(
                "response", callid=request.get("call-id"), cseq=request.get("cseq").replace(" ", "_"),
                status=status, transport="tcp" if transaction.flow.reliable else "udp",
            )  # fmt: skip
        if not transaction.flow.alive:
            host, port = self._response_address(request, transaction.flow)
            transaction.flow = self._flow_to(f"sip:{host}:{port};transport=tcp", transaction.flow)
        flow = transaction.flow
        if isinstance(flow, UdpFlow):
            flow = transaction.flow = UdpFlow(flow.port, self._response_address(request, flow))
        flow.send(transaction.last)

    @staticmethod
    def _response_address(request: sip.Message, flow: Flow) -> Address:
        """RFC 3261, 18.2.2 and RFC 3581: the source, and the port of rport or of Via."""
        via = request.all("via")[0]
        given = sip.parameters(via)
        port = _port(given.get("rport", ""))
        if port:
            return flow.peer[0] if flow.reliable else given.get("received", flow.peer[0]), port
        return given.get("received") or _sent_by(via)[0], _sent_by(via)[1]

    def _reply_stateless(
        self, flow: Flow, message: sip.Message, status: int, extra: sip.Headers | None = None
    ) -> None:
        """An answer that leaves no trace here."""
        headers = list(_with_tag(sip.echoed(message), self.token()))
        self.core.counters.add(f"sent_{status}")
        if isinstance(flow, UdpFlow):
            flow = UdpFlow(flow.port, self._response_address(message, flow))
        flow.send(sip.response(status, headers + (extra or [])))

    def _resend(self, transaction: Transaction, after: float, wanted: Callable[[], bool]) -> None:
        """Send the last message again at doubling gaps while it is wanted (timers E, G and the 2xx)."""

        def again() -> None:
            if wanted() and self.transactions.get(transaction.key) is transaction:
                transaction.flow.send(transaction.last)
                self.core.counters.add("resent")
                self._resend(transaction, min(2 * after, T2), wanted)

        self.core.at(self.core.clock() + after, again)

    def _forget(self, transaction: Transaction) -> None:
        """The transaction is over."""
        if self.transactions.get(transaction.key) is transaction:
            del self.transactions[transaction.key]
        if isinstance(transaction.flow, SipConnection):
            transaction.flow.owed.discard(transaction.key)
        transaction.state = "over"
        message = transaction.request
        if message.method == "INVITE":
            tag = sip.parameters(message.get("from")).get("tag", "")
            merged = (message.get("call-id"), tag, str(message.cseq()[0]))
            if self.merged.get(merged) is transaction:
                del self.merged[merged]

    def flushed(self) -> bool:
        """Whether all output has been handed to the driver."""
        return not self.datagrams.output and not any(c.output for c in self.connections.values())


def _with_tag(headers: sip.Headers, tag: str) -> Iterator[tuple[str, str]]:
    """To gets our tag, unless it has one."""
    for name, value in headers:
        if name == "to" and "tag" not in sip.parameters(value):
            value = f"{value};tag={tag}"
        yield name, value


def _is_address(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _port(text: str) -> int:
    """A port's number; 0 for what is none."""
    return int(text) if text.isascii() and text.isdigit() and len(text) < 6 and int(text) < 65536 else 0


def _host_port(text: str, default: int) -> Address:
    host, colon, port = text.strip().rpartition(":")
    if colon and _port(port):
        return host, _port(port)
    return (host if colon and port.isdigit() else text.strip()), default


def _sent_by(via: str) -> Address:
    """Host and port in a Via."""
    words = via.split(";")[0].split()
    return _host_port(words[1], 5060) if len(words) > 1 else ("", 5060)

