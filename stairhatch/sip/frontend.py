"""The appliance's user agent: owns what is done with each request that is no copy, how class and destination
are read from an INVITE, and the ways back to callers. It joins the layers of this package to the core, and is
fed messages by flows. It must never know a socket, never choose a server or an answer for the servers' sake,
and never let a call or a dialog hang on one connection.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from stairhatch.admission.admission_control import (
    ADMITTED,
    AdmissionControl,
    AdmissionDecision,
    AdmissionOutcome,
    AdmissionPolicy,
    RequestKind,
)
from stairhatch.admission.feedback import algorithm_for
from stairhatch.admission.overload_detector import OverloadLevel
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.address import format_address
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallRequest, ReleaseCause
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.node.readiness import RETRY_AFTER_S
from stairhatch.node.server_messages import exceeds_line_limit
from stairhatch.node.sip_message import called_number, release_cause
from stairhatch.overload.settings import CallClass
from stairhatch.sip import digest_auth, grammar, sessions
from stairhatch.sip.call_leg import ACCEPT, ALLOW, SUPPORTED, CallLeg, Ours
from stairhatch.sip.dialogs import DialogState, SequenceOrder, key_of
from stairhatch.sip.request_head import HERE, SIP_PORT, RequestHead, echo, lines, render
from stairhatch.sip.request_scan import is_ack_to_shed, scan_request
from stairhatch.sip.sessions import Exchange, Offered, Prack, Refusal, SessionTimerPolicy
from stairhatch.sip.transactions import ServerTransaction, Transactions
from stairhatch.sip.transport import (
    AllowedNetworks,
    Flow,
    SipConnection,
    SipDatagrams,
    TransportAddress,
    UdpFlow,
    is_ip_address,
    is_v6,
)

METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "PRACK", "UPDATE", "INFO")
GUARDED = ("INVITE", "BYE", "UPDATE", "INFO")  # what must prove who sends it, where that is asked for
TIMER_HEADERS = frozenset(("supported", "require", "session-expires", "min-se"))
MOST_TO_UDP = 1300  # bytes of a request of ours; a larger one goes by TCP (18.1.1)


@dataclass(frozen=True, slots=True)
class SipListener:
    """An address that is listened on, and whom it hears."""

    place: TransportAddress
    networks: AllowedNetworks = field(default_factory=AllowedNetworks)


@dataclass(frozen=True, slots=True)
class AuthConfig:
    """Who may call: hashes by user and algorithm, of one realm."""

    realm: str
    users: Mapping[tuple[str, str], str] = field(repr=False)
    algorithms: tuple[str, ...]
    nonce_s: float


@dataclass(frozen=True, slots=True)
class SipConfig:
    """Where the front listens, how it reads an INVITE, and its limits."""

    udp: tuple[SipListener, ...]
    tcp: tuple[SipListener, ...]
    contact: str  # "": of each listener its own address
    default_class: str
    numbers: tuple[tuple[str, str, int], ...]  # prefix, class, first choice; the longest prefix first
    connections: int = 256
    idle_s: float = 600.0  # a connection on which nothing came for so long, and nothing is owed, is closed
    memory_mb: int = 64  # for transactions, and as much again for dialogs
    dialogs: int = 10_000
    restart_wait_s: float = 60.0  # so long a restart waits for calls that stand
    timers: SessionTimerPolicy = field(default_factory=SessionTimerPolicy)
    auth: AuthConfig | None = None
    gate: AdmissionPolicy | None = None  # what we can take ourselves; None: whatever comes is served


LIVE = ("numbers", "default_class", "timers", "auth", "restart_wait_s")  # what a reload takes over


class SipFrontend:
    """All transactions and dialogs of the appliance."""

    def __init__(
        self,
        core: CallManager,
        config: SipConfig,
        token: Callable[[], str],
        part: Callable[[], float],
        secret: bytes = b"",
    ) -> None:
        self.core, self.config, self.token, self.part, self.secret = core, config, token, part, secret
        self.guard: digest_auth.DigestAuthenticator | None = None
        self._guard_by(config.auth)
        self.counters = core.counters
        self.transactions = Transactions(core, config.memory_mb * 1024 * 1024)
        self.transactions.reroute = self._way_of_answer
        self.transactions.feedback = self._feedback
        self.gate = AdmissionControl(part, config.gate) if config.gate is not None else None
        self._admitted = b""  # the transaction that the gate has just let in by a look
        self.dialogs: dict[tuple[str, str, str], CallLeg] = {}
        self.ours: dict[tuple[CallLeg, str], Ours] = {}
        self.connections: dict[TransportAddress, SipConnection] = {}
        self.ports = [SipDatagrams(self, each.place, each.networks) for each in config.udp]
        self.dial: Callable[[SipConnection], None] = lambda connection: None  # set by the wiring

    def _guard_by(self, told: AuthConfig | None) -> None:
        if told is None:
            self.guard = None
        else:
            self.guard = digest_auth.DigestAuthenticator(
                told.realm, told.users, self.secret, self.core.clock, told.algorithms, told.nonce_s
            )

    def reconfigure(self, new: SipConfig) -> bool:
        """A reload: what can be taken while calls stand is; whether that was all."""
        old = self.config
        self.config = replace(old, **{name: getattr(new, name) for name in LIVE})
        if new.auth != old.auth:
            self._guard_by(new.auth)
        return self.config == new

    # ---- what comes in ----

    def connector(self, listener: SipListener) -> Callable[[TransportAddress], ConnectionProtocol]:
        """What makes the machine of a connection that has been taken at an address."""

        def connect(peer: TransportAddress) -> SipConnection:
            place = (peer[0], peer[1])
            connection = self.connections[place] = SipConnection(self, place, listener.place)
            if not listener.networks.admits(peer[0]):
                self.counters.add("connections_barred")
                connection.closing = True
            return connection

        return connect

    def settle(self, flow: UdpFlow, data: bytes) -> bool:
        """Deal with a datagram by a look at it, while we are pressed: a copy is answered and a call that is
        shed is refused, before either costs a parse. False: it is to be parsed.
        """
        if self.gate is None or self.gate.overload.level is OverloadLevel.NORMAL:
            return False
        if is_ack_to_shed(data):
            self.counters.add("got_ACK")
            return True
        seen = scan_request(data)
        if seen is None:
            return False
        place = seen.place(flow.peer)
        if self.transactions.copy_of(seen.key, seen.method, flow, place):
            self.counters.add(f"got_{seen.method}" if seen.method in METHODS else "got_other")
            return True
        if seen.method != "INVITE" or seen.within:
            return False
        judged = self._judge_call(flow.peer[0], seen.user, "")
        if judged.outcome is AdmissionOutcome.ADMITTED:
            self._admitted = seen.key
            return False
        self.counters.add("got_INVITE")
        self._note_shed(judged)
        UdpFlow(flow.port, place).send(seen.unavailable(flow.peer, self.token(), judged.retry_after_s))
        return True

    def _judge_call(self, source: str, user: str, named: str) -> AdmissionDecision:
        """Whether we can take a new call of a source, by what its class is worth."""
        assert self.gate is not None
        kind, _ = self.class_of(user, named)
        return self.gate.admit(
            RequestKind.NEW_CALL, source, kind.priority_weight if kind else 0.0, self.core.clock()
        )

    def _note_shed(self, judged: AdmissionDecision) -> None:
        self.counters.add("sent_503")
        self.counters.add(judged.outcome.value)

    def looked(self, delay_s: float) -> None:
        """The loop was late by so much, or a datagram has waited so long."""
        if self.gate is None:
            return
        before, now = self.gate.overload.level, self.core.clock()
        level = self.gate.overload.observe_delay(now, delay_s)
        if level is not before:
            told = f"{1000 * self.gate.overload.delay_s:.0f}"
            self.core.log(
                "load",
                level=level.name.lower(),
                delay_ms=told,
                shed=f"{self.gate.overload.shed_fraction:.2f}",
            )

    def _feedback(self, transaction: ServerTransaction) -> str:
        return self._told(transaction.source, transaction.oc)

    def _told(self, source: str, asked: str) -> str:
        """What a caller that knows overload control is told with an answer (RFC 7339)."""
        algorithm = algorithm_for(asked)
        if self.gate is None or algorithm is None:
            return ""
        now, feedback = self.core.clock(), self.gate.feedback
        told = feedback.callers.get(source) or self.gate.track_feedback_caller(source, algorithm, now)
        return feedback.via_parameters(told, self.gate.overload.current_shed_fraction(now), now)

    def caller_gone(self, flow: SipConnection) -> None:
        """The peer of a connection has ended it, with set-ups unanswered on it: none that waits is sent on.

        The answer to one that is out already is brought to where its Via says (RFC 3261, 18.2.2).
        """
        for key in list(flow.owed):
            transaction = self.transactions.find(key)
            leg = transaction.user if transaction is not None else None
            if isinstance(leg, CallLeg) and leg.invite is transaction and leg.call is not None:
                self.core.caller_disconnected(leg.call)

    def flow_lost(self, flow: Flow) -> None:
        """A connection has ended, or is to be used no more."""
        if self.connections.get(flow.peer) is flow:  # the peer may have come again
            del self.connections[flow.peer]
        if isinstance(flow, SipConnection):
            self.caller_gone(flow)
        self.transactions.flow_lost(flow)

    def malformed(self, flow: Flow, error: sip_parser.SipError) -> None:
        """Count what can't be read; answer it if enough of it could be."""
        self.counters.add("malformed_from_callers")
        partial = error.partial
        answered = (
            partial is not None
            and partial.method not in ("", "ACK")
            and all(partial.get(name) for name in ("via", "from", "to", "call-id", "cseq"))
        )
        self.core.log(
            "malformed", side="caller", source=flow.peer[0], why=str(error),
            answer=error.status if answered else "-",
        )  # fmt: skip
        if partial is None or not answered:
            self.counters.add("malformed_unanswered")
            return
        place = (flow.peer[0], SIP_PORT)
        try:
            via = grammar.parse_via(partial.get_all("via")[0])
            place = (flow.peer[0], flow.peer[1] if "rport" in via.parameters else via.port or SIP_PORT)
        except grammar.GrammarError:
            place = flow.peer  # where it came from is all that is known
        extra = ACCEPT_PLAIN if error.status in (413, 415, 513) else ""
        self._stateless(
            flow, place, render(error.status, echo(partial), self._tag_for(partial), extra), error.status
        )

    def _tag_for(self, message: sip.SipMessage) -> str:
        return "" if "tag" in sip.parameters(message.get("to")) else self.token()

    def receive(self, flow: Flow, message: sip.SipMessage) -> None:
        """One message, on any transport."""
        method = message.method
        kind = method if method in METHODS else "other" if method else "response"
        self.counters.add(f"got_{kind}")  # a name made up by a caller is no counter
        if not method:
            if not self.transactions.response(message):
                self.counters.add("responses_unmatched")
            return
        try:
            head = RequestHead(message, flow.peer)
        except sip_parser.SipError as error:
            self.malformed(flow, error)
            return
        if self.transactions.known(head, flow):
            return
        if method == "ACK":
            self._ack(head, flow)
        elif self._limits(flow, head):
            transaction = self.transactions.open(head, flow)
            fault = self._unfit(head)
            if fault is not None:
                self.final(transaction, *fault)
            else:
                self._request(transaction, head)

    def _limits(self, flow: Flow, head: RequestHead) -> bool:
        """Whether a new request may open a transaction; else it is answered without one."""
        status, extra = 0, ""
        judged = self._gated(flow, head)
        if head.method == "INVITE" and not head.to_tag and self.core.readiness.rejects_new_calls():
            status, extra = 503, f"Retry-After: {max(1, math.ceil(RETRY_AFTER_S))}\r\n"
            self.counters.add("calls_turned_away")
        elif judged.outcome is not AdmissionOutcome.ADMITTED:
            status, extra = 503, f"Retry-After: {judged.retry_after_s}\r\n"
            self.counters.add(judged.outcome.value)
        elif not self.transactions.room(flow.peer[0]) and not (head.to_tag and key_of(head) in self.dialogs):
            status, extra = 503, "Retry-After: 2\r\n"
            self.counters.add("table_full")
        if status:
            tag = "" if head.to_tag else self.token()
            echoed = head.echo
            if head.oc:
                echoed = echoed.replace(HERE, self._told(flow.peer[0], head.oc))
            data = render(status, echoed, tag, extra)
            self._stateless(flow, head.place(flow.peer, flow.reliable), data, status)
        return not status

    def _gated(self, flow: Flow, head: RequestHead) -> AdmissionDecision:
        """Whether we can take a new request ourselves."""
        admitted, self._admitted = self._admitted, b""
        if self.gate is None or head.to_tag or head.method in ("CANCEL", "PRACK", "BYE", "UPDATE"):
            return ADMITTED
        source = flow.peer[0]
        if head.method != "INVITE":
            return self.gate.admit(RequestKind.OTHER, source, 0.0, self.core.clock())
        if head.oc and (algorithm := algorithm_for(head.oc)) is not None:
            self.gate.track_feedback_caller(source, algorithm, self.core.clock())
        if admitted == head.key:
            return ADMITTED
        user = sip.user_of(head.message.uri)
        return self._judge_call(source, user, head.message.get("call-kind"))

    def _unfit(self, head: RequestHead) -> tuple[int, sip.Headers] | None:
        """What is wrong with a request before its method counts (8.2.1 to 8.2.3)."""
        message, method = head.message, head.method
        try:
            uri = grammar.parse_uri(message.uri)
            if uri.scheme == "sips":
                return 416, []  # there is no TLS here (RFC 5630, 4.1.1)
        except grammar.UnknownSchemeError:
            return 416, []
        except grammar.GrammarError:
            return 400, []
        if method not in METHODS:
            return 405, [ALLOW]
        if method != "CANCEL" and "require" in head.names:
            unknown = [each for each in message.get_all("require") if each.lower() not in sessions.SUPPORTED]
            if unknown:
                return 420, [("unsupported", ", ".join(unknown)), SUPPORTED]
        if head.hops == 0 and method != "CANCEL":
            return 483, []
        return None

    def _request(self, transaction: ServerTransaction, head: RequestHead) -> None:
        method = head.method
        leg = self.dialogs.get(key_of(head)) if head.to_tag else None
        if method == "CANCEL":
            self._cancel(transaction, head)
            return
        begun_freely = leg is not None and not leg.user  # before users were asked for: it must be able to end
        if method in GUARDED and self.guard is not None and not begun_freely:
            user = self._who(transaction, head)
            if user is None:
                return
            if leg is not None and leg.user != user:
                self.counters.add("auth_foreign")
                self.final(transaction, 403, [])
                return
        else:
            user = ""
        if head.to_tag:
            if leg is None or leg.dialog is None:
                self.final(transaction, 481, [])
            elif leg.dialog.order(head.cseq) is SequenceOrder.OLD:
                self.final(transaction, 500, [])
            else:
                leg.came_by(transaction.flow)
                self._within(transaction, head, leg)
        elif method == "INVITE":
            self._invite(transaction, head, user)
        elif method == "OPTIONS":
            self.final(transaction, 200 if self.core.readiness.health().is_ready else 503, CAPABILITIES)
        elif method == "INFO":
            self.final(transaction, 469, [("recv-info", "")])
        else:
            self.final(transaction, 481, [])

    def _who(self, transaction: ServerTransaction, head: RequestHead) -> str | None:
        """Who sends a request; None where that is not proved, and the request is answered."""
        assert self.guard is not None
        judged = self.guard.judge(head.method, head.message.uri, head.message.get_lines("authorization"))
        if judged.verdict is digest_auth.CredentialCheck.GOOD:
            return judged.user
        if judged.verdict is not digest_auth.CredentialCheck.NONE:
            self.counters.add(f"auth_{judged.verdict.value}")
            source = transaction.flow.peer[0]
            self.core.log("credentials", verdict=judged.verdict.value, source=source, method=head.method)
        stale = judged.verdict is digest_auth.CredentialCheck.STALE
        self.final(transaction, 401, [("www-authenticate", each) for each in self.guard.challenges(stale)])
        return None

    # ---- a new call ----

    def class_of(self, user: str, named: str) -> tuple[CallClass | None, int]:
        """Class and first choice: `Call-Kind` names the class, else the number called does by its prefix."""
        name, choice = self.config.default_class, -1
        for prefix, listed, first in self.config.numbers:
            if user.startswith(prefix):
                name, choice = listed, first
                break
        return self.core.classes.named(named or name), choice

    @staticmethod
    def _patience(message: sip.SipMessage, kind: CallClass) -> float:
        """How long the caller waits: as its class says, or less if Expires does."""
        patience = kind.deadline_s
        expires = message.get("expires")
        if expires.isascii() and expires.isdigit():
            patience = min(patience, float(expires[:9]))
        return patience

    def _invite(self, transaction: ServerTransaction, head: RequestHead, user: str) -> None:
        message, uri = head.message, grammar.parse_uri(head.message.uri)
        ident = head.ident
        if ident in self.core.calls.by_ident:  # it is here already, by another way
            self.final(transaction, 482, [])
            return
        kind, choice = self.class_of(uri.user, message.get("call-kind"))
        if kind is None or not uri.user or ("contact" in head.names and len(message.get_all("contact")) != 1):
            self.final(transaction, 400, [])
            return
        body = sessions.read_description(message)
        told = not TIMER_HEADERS.isdisjoint(head.names)
        timer = sessions.negotiate(message, self.config.timers) if told else None
        for fault in (body, timer):
            if isinstance(fault, Refusal):
                self.refuse(transaction, fault)
                return
        assert isinstance(body, bytes) and not isinstance(timer, Refusal)
        try:
            description = body.decode()  # what is no UTF-8 would be no JSON at the roster server
            uri.user.encode()
        except ValueError:
            self.final(transaction, 400, [])
            return
        if exceeds_line_limit(ident, kind.name, uri.user, description):
            self.final(transaction, 413, [])
            return
        if len(self.dialogs) >= self.config.dialogs:
            self.counters.add("table_full")
            self.final(transaction, 503, [("retry-after", "2")])
            return
        if self.core.calls.was_terminated(ident):  # a copy that comes after its call has ended
            self.counters.add("retransmissions")
            self.transactions.forget(transaction)
            return
        leg = CallLeg(self, transaction, ident, self.token(), body)
        leg.user, leg.timer = user, timer
        transaction.user = leg
        self.respond(transaction, 100, [])
        offer = CallRequest(
            ident=ident,
            call_class=kind,
            called_uri=uri.user,
            description=description,
            caller_timeout_s=self._patience(message, kind),
            preferred_number=choice,
            called_number=called_number(uri.user),
            reports_progress=True,
        )
        call = self.core.offer_call(offer, leg)
        if leg.invite is not None or leg.dialog is not None:
            leg.call = call

    def _ack(self, head: RequestHead, flow: Flow) -> None:
        leg = self.dialogs.get(key_of(head))
        if leg is not None and leg.answer:
            leg.came_by(flow)
            leg.acked(head.cseq, head.message)
        elif leg is None:
            self.counters.add("acks_unmatched")

    def _cancel(self, transaction: ServerTransaction, head: RequestHead) -> None:
        """CANCEL names its INVITE by the branch. It has no effect once a final answer is out."""
        key = head.key_of("INVITE")
        invite = self.transactions.find(key)
        if invite is None and key not in self.transactions.memory.records:
            self.final(transaction, 481, [])
            return
        leg = invite.user if invite is not None else None
        held = leg if isinstance(leg, CallLeg) else None
        self.final(transaction, 200, [], tag=held.tag if held else "")
        if held is not None and held.invite is not None:
            held.cancelled()

    # ---- within a dialog ----

    def _within(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        """A request of a dialog that has come in its order."""
        early = leg.invite is not None
        match head.method:
            case "BYE":
                if early:
                    self.final(transaction, 200, [])
                    leg.cancelled()
                else:
                    self.final(transaction, 200, [])
                    leg.hung_up(release_cause(head.message))
            case "PRACK":
                self._prack(transaction, head, leg)
            case "UPDATE":
                self._update(transaction, head, leg)
            case "INVITE":
                self._reinvite(transaction, head, leg)
            case "INFO":
                self.final(transaction, 469, [("recv-info", "")])
            case _:
                self.final(transaction, 200, CAPABILITIES)

    def _prack(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        ringing = leg.ringing
        if ringing is None or ringing.prack(head.message) is Prack.UNMATCHED:
            self.final(transaction, 481, [])
        else:
            self.final(transaction, 200, [])

    def _reinvite(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        """An INVITE in a dialog refreshes its session, or is refused and changes nothing (14.2)."""
        theirs = leg.invite is not None
        ours = self.asking(leg, "INVITE") or bool(leg.answer)  # 2xx without ACK: the last is not over
        self._offered(transaction, head, leg, sessions.crossing(ours, theirs), refusable=True)

    def _update(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        """RFC 3311, 5.2. Without a description it never crosses anything."""
        has_body = bool(head.message.body)
        theirs = has_body and leg.invite is not None
        ours = has_body and (
            self.asking(leg, "INVITE") or (bool(leg.answer) and leg.descriptions.awaits_answer)
        )
        self._offered(transaction, head, leg, sessions.crossing(ours, theirs), refusable=False)

    def _offered(
        self,
        transaction: ServerTransaction,
        head: RequestHead,
        leg: CallLeg,
        crossed: Exchange,
        refusable: bool,
    ) -> None:
        message = head.message
        if crossed is Exchange.OURS_OPEN:
            self.final(transaction, 491, [])
            return
        if crossed is Exchange.THEIRS_OPEN:
            self.final(transaction, 500, [("retry-after", str(int(self.part() * 11)))])
            return
        body = sessions.read_description(message)
        timer = sessions.negotiate(message, self.config.timers)
        for fault in (body, timer):
            if isinstance(fault, Refusal):
                self.refuse(transaction, fault)
                return
        assert isinstance(body, bytes) and not isinstance(timer, Refusal)
        offered = leg.descriptions.compare(body)
        if offered is Offered.CHANGED:
            self.counters.add("changes_refused")
            self.final(transaction, 488, [("warning", '399 stairhatch "the session stays as it is"'), ACCEPT])
            return
        assert leg.dialog is not None
        leg.dialog.retarget(message)
        if "allow" in dict(message.headers):
            leg.methods = ", ".join(message.get_all("allow"))
        says_own = refusable or offered is Offered.SAME
        own = leg.descriptions.own if says_own else b""
        extra = timer.headers() if timer is not None else []
        extra += [("contact", f"<{self.contact(transaction.flow)}>"), ALLOW, SUPPORTED]
        if own:
            extra.append(("content-type", sessions.MEDIA))
        if leg.dialog.stage is DialogState.CONFIRMED:
            leg.refreshed(timer)
        if refusable:  # an INVITE: its 200 goes again until the ACK, as the first did
            leg.answer_refresh(transaction, extra, own, awaits=offered is Offered.NOTHING)
        else:
            self.final(transaction, 200, extra, body=own)

    # ---- requests of ours ----

    def ask(self, leg: CallLeg, method: str, extra: sip.Headers, body: bytes = b"") -> None:
        """Send a request within a leg's dialog."""
        ours = self.ours[(leg, method)] = Ours(self, leg, method, extra, body)
        ours.send()

    def least_s(self) -> int:
        """The shortest session timer that is taken."""
        return self.config.timers.least_s

    def asking(self, leg: CallLeg, method: str) -> bool:
        """Whether such a request of ours is out."""
        return (leg, method) in self.ours

    def end_dialogs(self) -> int:
        """The restart can't wait any longer: end what stands, on both sides."""
        legs = [leg for leg in self.dialogs.values() if leg.invite is None]
        for leg in legs:
            self.core.log("ended", call=leg.ident, callid=leg.dialog.call_id if leg.dialog else "-")
            call, leg.call = leg.call, None
            leg.answer = b""  # its ACK is not waited for
            leg.bye(ReleaseCause.TEMPORARY_FAILURE)
            if call is not None:
                self.core.release(call, ReleaseCause.TEMPORARY_FAILURE)
        return len(legs)

    # ---- the ways back ----

    def contact(self, flow: Flow) -> str:
        """The URI that callers are told to send later requests to."""
        place = self.config.contact or format_address(self._local(flow))
        return f"sip:{place};transport=tcp" if flow.reliable else f"sip:{place}"

    def sent_by(self, flow: Flow) -> str:
        """Where answers to requests of ours are to come."""
        return self.config.contact or format_address(self._local(flow))

    def _local(self, flow: Flow) -> TransportAddress:
        if flow.local[1]:
            return flow.local
        listeners = (*self.config.tcp, *self.config.udp) if flow.reliable else self.config.udp
        six = is_v6(flow.peer[0])
        return next((each.place for each in listeners if is_v6(each.place[0]) is six), flow.local)

    def way_to(self, uri: str, used: Flow, size: int = 0, by_tcp: bool = True) -> Flow:
        """The way to a URI: what the caller came by while that is open, else a new connection or UDP. A
        request too large for UDP goes by TCP, unless that was tried in vain (18.1.1).
        """
        large = size > MOST_TO_UDP and by_tcp
        if used.alive and (used.reliable or (self.ports and not large)):
            return used
        try:
            target = grammar.parse_uri(uri)
            place, transport = (target.host, target.port or SIP_PORT), target.transport
        except grammar.GrammarError:
            place, transport = used.peer, ""
        if not is_ip_address(place[0]):
            place = used.peer  # names are not looked up
        port = self._port(place[0])
        if port is not None and ((transport != "tcp" and not large) or not by_tcp):
            return UdpFlow(port, place)
        return self._connection(place)

    def way_back(self, used: Flow, place: TransportAddress) -> Flow:
        """The way of an answer whose connection has gone: a new one to where its Via says (18.2.2)."""
        return self._connection(place) if used.reliable else used

    def _way_of_answer(self, transaction: ServerTransaction) -> Flow:
        return self.way_back(transaction.flow, transaction.place)

    def _connection(self, place: TransportAddress) -> SipConnection:
        known = self.connections.get(place)
        if known is None or not known.alive:
            known = self.connections[place] = SipConnection(self, place)
            self.dial(known)
        return known

    def _port(self, host: str) -> SipDatagrams | None:
        six = is_v6(host)
        return next((each for each in self.ports if is_v6(each.local[0]) is six), None)

    # ---- answers ----

    def respond(
        self,
        transaction: ServerTransaction,
        status: int,
        extra: sip.Headers,
        tag: str = "",
        body: bytes = b"",
    ) -> bytes:
        """Answer a transaction."""
        head = transaction.head
        if not transaction.open or head is None:
            return b""
        if status > 100 and not head.to_tag:
            held = transaction.user
            tag = tag or (held.tag if isinstance(held, CallLeg) else self.token())
        else:
            tag = ""
        more = lines(extra) if extra else ""
        if status == 100 and "timestamp" in head.names:
            more += f"Timestamp: {head.message.get('timestamp')}\r\n"  # 8.2.6.1
        data = self.transactions.respond(transaction, status, tag, more, body)
        self.answered(transaction, status, head.call_id, head.cseq, head.method)
        return data

    def answered(
        self, transaction: ServerTransaction, status: int, call_id: str, cseq: int = 0, method: str = "INVITE"
    ) -> None:
        """Count and trace an answer."""
        self.counters.add(f"sent_{status}")
        if self.core.context.tracing:
            self.core.log(
                "response", callid=call_id, cseq=f"{cseq}_{method}", status=status,
                transport=transaction.flow.transport.lower(),
            )  # fmt: skip

    def final(
        self,
        transaction: ServerTransaction,
        status: int,
        extra: sip.Headers,
        tag: str = "",
        body: bytes = b"",
    ) -> None:
        """A final answer other than the 200 to a first INVITE."""
        self.respond(transaction, status, extra, tag, body)

    def refuse(self, transaction: ServerTransaction, fault: Refusal) -> None:
        """Answer what a body or a timer could not be taken for, and say so in the log."""
        self.core.log("unusable", source=transaction.flow.peer[0], status=fault.status, why=fault.why)
        self.final(transaction, fault.status, list(fault.extra))

    def _stateless(self, flow: Flow, place: TransportAddress, data: bytes, status: int) -> None:
        """An answer that leaves no trace here."""
        self.counters.add(f"sent_{status}")
        if isinstance(flow, UdpFlow):
            flow = UdpFlow(flow.port, place)
        flow.send(data)

    def is_flushed(self) -> bool:
        """Whether all output has been handed to the driver, and requests of ours have been answered."""
        output = any(each.output for each in self.ports)
        output = output or any(each.output or each.writing for each in self.connections.values())
        return not output and not self.ours


CAPABILITIES: sip.Headers = [
    ALLOW,
    ACCEPT,
    SUPPORTED,
    ("accept-encoding", "identity"),
    ("accept-language", "en"),
]
ACCEPT_PLAIN = lines([ACCEPT])
