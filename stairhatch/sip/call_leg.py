"""A caller's call, between the core and its dialog: owns what the two have to do with each other, from the
first provisional answer to the last BYE, and the requests of ours within the dialog. It must never choose a
server or an answer, and never let a call or a dialog hang on one connection.
"""

from __future__ import annotations

import math
from functools import partial
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call, ReleaseCause
from stairhatch.sip import grammar, sessions
from stairhatch.sip.dialogs import Dialog, DialogState, Key, open_dialog
from stairhatch.sip.request_head import MAGIC, lines
from stairhatch.sip.sessions import Lease, Reliable, SessionTimer, SessionTimerAction
from stairhatch.sip.transactions import LAST, T1, T2, Client, ServerTransaction, Transactions
from stairhatch.sip.transport import Flow, SipConnection, TransportAddress

ALLOW = ("allow", "INVITE, ACK, CANCEL, BYE, OPTIONS, PRACK, UPDATE, INFO")
SUPPORTED = ("supported", ", ".join(sessions.SUPPORTED))
ACCEPT = ("accept", f"{sessions.MEDIA}, multipart/mixed")
CAPABLE = lines([ALLOW, SUPPORTED])
MOST_REROUTES = 3  # of one request of ours
AGAIN_S = 60.0  # a provisional answer is said again, so that nobody on the way gives up (13.3.1.1)
LATER_S = 5.0  # a refresh that the caller can't take now is tried again


class Front(Protocol):
    """What a leg asks of the front that it belongs to."""

    core: CallManager
    transactions: Transactions
    dialogs: dict[Key, CallLeg]
    ours: dict[tuple[CallLeg, str], Ours]

    def token(self) -> str: ...
    def part(self) -> float: ...
    def least_s(self) -> int: ...
    def contact(self, flow: Flow) -> str: ...
    def sent_by(self, flow: Flow) -> str: ...
    def way_to(self, uri: str, used: Flow, size: int = 0, by_tcp: bool = True) -> Flow: ...
    def way_back(self, used: Flow, place: TransportAddress) -> Flow: ...
    def asking(self, leg: CallLeg, method: str) -> bool: ...
    def ask(self, leg: CallLeg, method: str, extra: sip.Headers, body: bytes = b"") -> None: ...
    def answered(
        self, transaction: ServerTransaction, status: int, call_id: str, cseq: int = 0, method: str = "INVITE"
    ) -> None: ...
    def respond(
        self,
        transaction: ServerTransaction,
        status: int,
        extra: sip.Headers,
        tag: str = "",
        body: bytes = b"",
    ) -> bytes: ...
    def final(
        self,
        transaction: ServerTransaction,
        status: int,
        extra: sip.Headers,
        tag: str = "",
        body: bytes = b"",
    ) -> None: ...


class CallLeg:
    """A caller's INVITE and its dialog. The core sees it as the caller."""

    __slots__ = (
        "answer", "awaited", "call", "closing", "descriptions", "dialog", "flow", "front", "ident", "invite",
        "lease", "methods", "place", "ringing", "tag", "timer", "user",
    )  # fmt: skip

    def __init__(self, front: Front, invite: ServerTransaction, ident: str, tag: str, offer: bytes) -> None:
        self.front, self.ident, self.tag = front, ident, tag
        self.invite: ServerTransaction | None = invite  # until its final answer
        self.flow, self.place = invite.flow, invite.place
        self.call: Call | None = None
        self.dialog: Dialog | None = None
        self.descriptions = sessions.Descriptions.begun(offer)
        self.timer: SessionTimer | None = None  # as agreed with the INVITE
        self.lease = Lease()
        self.ringing: Reliable | None = None
        self.answer = b""  # the 2xx that awaits its ACK ...
        self.awaited = 0  # ... and the CSeq number of that
        self.closing = 0  # the cause of a BYE that awaits the ACK (15: no BYE before it)
        self.methods = ""  # what the caller allows
        self.user = ""  # who called, where that is proved

    # ---- what the core says ----

    def progressing(self) -> None:
        """A roster server is at work on the call: 180, once, reliably where the caller knows how."""
        invite = self.invite
        if invite is None or invite.head is None or self.dialog is not None:
            return
        front, head = self.front, invite.head
        self._early()
        extra = [*self._routes(), ("contact", f"<{front.contact(self.flow)}>"), ALLOW, SUPPORTED]
        if sessions.wants_reliable(head.message):
            rseq = 1 + int(front.part() * 1_000_000)
            self.ringing = Reliable(rseq, head.cseq)
            extra += [("require", "100rel"), ("rseq", str(rseq))]
        data = front.respond(invite, 180, extra, tag=self.tag)
        now = front.core.clock()
        if self.ringing is not None:
            self.ringing.data = data
            front.core.timers.schedule(now + T1, partial(self._ring_again, T1, T1))
        else:
            front.core.timers.schedule(now + AGAIN_S, self._still_ringing)

    def _ring_again(self, gap: float, passed: float) -> None:
        """The reliable 180 is sent until its PRACK; a caller that never sends one is refused in the end
        (RFC 3262, 3). The final answer waits for neither.
        """
        ringing, invite = self.ringing, self.invite
        if ringing is None or ringing.heard or invite is None:
            return
        if passed >= LAST:
            self.front.core.counters.add("pracks_missing")
            call, self.call = self.call, None
            self._refuse(504, [])
            if call is not None:
                self.front.core.abandon(call)
            return
        self._put(ringing.data)
        self.front.core.counters.add("resent")
        gap = min(2 * gap, LAST - passed)
        self.front.core.timers.schedule(
            self.front.core.clock() + gap, partial(self._ring_again, gap, passed + gap)
        )

    def _still_ringing(self) -> None:
        if self.invite is not None and self.invite.last:
            self._put(self.invite.last)
            self.front.core.timers.schedule(self.front.core.clock() + AGAIN_S, self._still_ringing)

    def established(self, description: bytes) -> None:
        """The call stands: 200 is sent until the ACK comes, and the dialog is confirmed."""
        front, invite = self.front, self.invite
        if invite is None:
            return
        if self.dialog is None:
            self._early()
        dialog = self.dialog
        assert dialog is not None
        dialog.stage = DialogState.CONFIRMED
        self.descriptions.own = description
        if invite.head is not None:
            self.methods = invite.head.message.get("allow")
        extra = self._routes()
        if self.timer is not None:
            extra += self.timer.headers()
        extra += [("contact", f"<{front.contact(self.flow)}>")]
        more = lines(extra) + CAPABLE + (f"Content-Type: {sessions.MEDIA}\r\n" if description else "")
        self.invite, self.ringing = None, None
        self.awaited = dialog.remote_cseq if invite.head is None else invite.head.cseq
        self.answer = front.transactions.respond(invite, 200, self.tag, more, description)
        front.answered(invite, 200, dialog.call_id)
        self.flow, self.place = invite.flow, invite.place
        self._stands_on(self.flow, 1)
        now = front.core.clock()
        front.core.timers.schedule(now + T1, partial(self._answer_again, self.answer, T1, T1))
        self.lease.agree(self.timer, now)
        self._watch()

    def _answer_again(self, sent: bytes, gap: float, passed: float) -> None:
        """RFC 3261, 13.3.1.4: the 2xx goes again until its ACK; after 64 T1 without one the call is ended."""
        if self.answer is not sent or self.dialog is None:
            return  # it was acknowledged, or another awaits its ACK by now
        front = self.front
        if passed >= LAST:
            front.core.counters.add("answers_never_acked")
            self.answer = b""
            call, self.call = self.call, None
            self.bye(self.closing or ReleaseCause.NORMAL_CLEARING)
            if call is not None:
                front.core.release(call, ReleaseCause.NORMAL_CLEARING)
            return
        self._put(self.answer)
        front.core.counters.add("resent")
        gap = min(2 * gap, T2, LAST - passed)
        front.core.timers.schedule(
            front.core.clock() + gap, partial(self._answer_again, sent, gap, passed + gap)
        )

    def rejected(self, retry_after_s: float) -> None:
        self._refuse(503, [("retry-after", str(max(1, math.ceil(retry_after_s))))])

    def failed(self, timed_out: bool) -> None:
        self._refuse(408, []) if timed_out else self._refuse(500, [("retry-after", "1")])

    def _refuse(self, status: int, extra: sip.Headers) -> None:
        invite, self.invite, self.call = self.invite, None, None
        self._over()
        if invite is not None:
            self.front.final(invite, status, extra, tag=self.tag)

    def released(self, cause: int) -> None:
        """The call is over on the other side."""
        self.call = None
        if self.answer:
            self.closing = cause  # the ACK comes first, or the end of waiting for it
        else:
            self.bye(cause)

    # ---- what the caller says ----

    def acked(self, cseq: int, message: sip.SipMessage) -> None:
        """The ACK to the 2xx, with the caller's answer where the offer was ours."""
        if not self.answer or cseq != self.awaited:
            return
        self.answer = b""
        if self.descriptions.awaits_answer:
            if not message.body:
                self.front.core.counters.add("answers_missing")
            body = sessions.read_description(message)
            self.descriptions.learn(body if isinstance(body, bytes) else b"")
        if self.closing:
            self.bye(self.closing)

    def cancelled(self) -> None:
        """The caller gives the set-up up: CANCEL, or a BYE in the early dialog."""
        call, self.call = self.call, None
        if call is not None:
            self.front.core.abandon(call)
        self._refuse(487, [])

    def hung_up(self, cause: int) -> None:
        """The caller's BYE."""
        call, self.call = self.call, None
        self._over()
        if call is not None:
            self.front.core.release(call, cause)

    def answer_refresh(
        self, transaction: ServerTransaction, extra: sip.Headers, own: bytes, awaits: bool
    ) -> None:
        """200 to a re-INVITE: sent until its ACK, as the first was."""
        front, dialog = self.front, self.dialog
        assert dialog is not None and transaction.head is not None
        self.awaited = transaction.head.cseq
        self.answer = front.respond(transaction, 200, extra, tag=self.tag, body=own)
        self.place = transaction.place
        self.descriptions.awaits_answer = awaits
        now = front.core.clock()
        front.core.timers.schedule(now + T1, partial(self._answer_again, self.answer, T1, T1))

    # ---- the dialog ----

    def _early(self) -> None:
        """The dialog begins, with the first answer that carries our tag."""
        invite = self.invite
        assert invite is not None and invite.head is not None
        host, port = self.flow.peer
        fallback = f"sip:[{host}]:{port}" if ":" in host else f"sip:{host}:{port}"
        self.dialog = open_dialog(invite.head, self.tag, fallback)
        self.front.dialogs[self.dialog.key] = self

    def _routes(self) -> sip.Headers:
        assert self.dialog is not None
        return [("record-route", value) for value in self.dialog.routes]

    def _over(self) -> None:
        """The dialog is over; nothing is found by it any more."""
        if self.dialog is not None and self.dialog.stage is not DialogState.OVER:
            if self.dialog.stage is DialogState.CONFIRMED:
                self._stands_on(self.flow, -1)
            self.dialog.stage = DialogState.OVER
            self.front.dialogs.pop(self.dialog.key, None)
        self.answer = b""
        self.lease.agree(None, 0.0)

    def came_by(self, flow: Flow) -> None:
        """A request of the dialog came this way: ours go the same."""
        if flow is not self.flow and self.dialog is not None and self.dialog.stage is DialogState.CONFIRMED:
            self._stands_on(self.flow, -1)
            self._stands_on(flow, 1)
            self.flow = flow
            if not flow.reliable:
                self.place = flow.peer

    @staticmethod
    def _stands_on(flow: Flow, by: int) -> None:
        if isinstance(flow, SipConnection):
            flow.dialogs += by

    def _put(self, data: bytes) -> None:
        """Send an answer again, where the INVITE's Via says."""
        if not self.flow.alive:
            self.flow = self.front.way_back(self.flow, self.place)
        self.flow.send(data)

    # ---- the session timer ----

    def refreshed(self, timer: SessionTimer | None) -> None:
        """The session lives on, as agreed now."""
        self.timer = timer
        self.lease.agree(timer, self.front.core.clock())
        self._watch()

    def _watch(self) -> None:
        due = self.lease.next_at()
        if due is not None:
            self.front.core.timers.schedule(due, partial(self._look, self.lease.turn))

    def _look(self, turn: int) -> None:
        """Refresh the session, or release it."""
        if turn != self.lease.turn or self.dialog is None:
            return
        front = self.front
        match self.lease.due(front.core.clock()):
            case SessionTimerAction.REFRESH:
                self.refresh()
            case SessionTimerAction.RELEASE:
                front.core.counters.add("sessions_expired")
                front.core.log("session_expired", call=self.ident)
                call, self.call = self.call, None
                self.bye(ReleaseCause.NORMAL_CLEARING)
                if call is not None:
                    front.core.release(call, ReleaseCause.NORMAL_CLEARING)
                return
        self._watch()

    def refresh(self) -> None:
        """Refresh the session from our side: UPDATE where the caller takes it, else a re-INVITE."""
        timer = self.timer
        if timer is None:
            return
        least = max(self.front.least_s(), sessions.LEAST_SE_S)
        extra = [
            ("session-expires", f"{timer.interval_s};refresher=uac"), ("min-se", str(least)), SUPPORTED,
        ]  # fmt: skip
        allowed = [each.strip().upper() for each in self.methods.split(",")]
        if "UPDATE" in allowed:
            self.front.ask(self, "UPDATE", extra)
        elif not self.front.asking(self, "INVITE"):
            self.front.ask(self, "INVITE", [*extra, ALLOW], self.descriptions.own)

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """What came of our refresh (RFC 4028, 7.4 and 10)."""
        if self.dialog is None or self.dialog.stage is DialogState.OVER:
            return
        front, now = self.front, self.front.core.clock()
        if 200 <= status < 300 and message is not None:
            self.dialog.retarget(message)
            self.refreshed(sessions.agreed(message))
            return
        front.core.counters.add("refreshes_failed")
        if status in (408, 481) or message is None:
            call, self.call = self.call, None
            self.bye(ReleaseCause.NORMAL_CLEARING)
            if call is not None:
                front.core.release(call, ReleaseCause.NORMAL_CLEARING)
            return
        wait = LATER_S
        if status == 491:
            wait = sessions.wait_after_cross(owner=False, part=front.part())
        elif status == 422 and self.timer is not None:
            try:
                least = grammar.seconds_and_parameters(message.get("min-se"))[0]
            except grammar.GrammarError:
                least = 0
            raised = min(max(self.timer.interval_s, least), sessions.MOST_SE_S)
            self.timer = SessionTimer(raised, self.timer.refresher, self.timer.required)
            wait = 0.0
        elif status == 405 and "UPDATE" in self.methods.upper():
            self.methods = "INVITE"
            wait = 0.0
        self.lease.postpone(now + wait)
        self._watch()

    # ---- our BYE ----

    def bye(self, cause: int) -> None:
        """End the dialog from our side."""
        if self.dialog is None or self.dialog.stage is DialogState.OVER:
            return
        self._over()
        self.front.ask(self, "BYE", [("reason", f"Q.850;cause={cause}")])


class Ours:
    """A request of ours within a dialog: the user of its client transaction."""

    __slots__ = ("body", "client", "cseq", "extra", "front", "leg", "method", "tries")

    def __init__(self, front: Front, leg: CallLeg, method: str, extra: sip.Headers, body: bytes) -> None:
        self.front, self.leg, self.method, self.extra, self.body = front, leg, method, extra, body
        self.tries, self.cseq = 0, 0
        self.client: Client | None = None

    def send(self) -> None:
        """Send it, by the dialog's flow while that is open, else another way."""
        front, leg = self.front, self.leg
        dialog = leg.dialog
        assert dialog is not None
        if not self.cseq:
            dialog.local_cseq += 1
            self.cseq = dialog.local_cseq
        branch = MAGIC + front.token()
        size = 400 + len(self.body) + sum(map(len, dialog.routes)) + len(dialog.remote) + len(dialog.local)
        flow = front.way_to(dialog.next_hop(), leg.flow, size, by_tcp=self.tries < MOST_REROUTES - 1)
        extra = list(self.extra)
        if self.method != "BYE":
            extra.append(("contact", f"<{front.contact(flow)}>"))
        if self.body:
            extra.append(("content-type", sessions.MEDIA))
        via = f"SIP/2.0/{flow.transport} {front.sent_by(flow)};branch={branch};rport"
        data, _ = dialog.request(self.method, self.cseq, via, extra, self.body)
        self.client = front.transactions.begin(branch, self.method, data, flow, self)

    def provisional(self, status: int, message: sip.SipMessage) -> None:
        """It is on its way."""

    def final(self, status: int, message: sip.SipMessage | None) -> None:
        """It is answered, or won't be."""
        front, leg, dialog = self.front, self.leg, self.leg.dialog
        front.ours.pop((leg, self.method), None)
        client = self.client
        if self.method == "INVITE" and 200 <= status < 300 and client is not None and dialog is not None:
            via = (
                f"SIP/2.0/{client.flow.transport} {front.sent_by(client.flow)};branch={MAGIC}{front.token()}"
            )
            client.ack = dialog.request("ACK", self.cseq, via, [])[0]
            client.flow.send(client.ack)
        if self.method in ("INVITE", "UPDATE"):
            leg.refresh_answered(status, message)
        elif status >= 300 and status != 481:
            front.core.counters.add("byes_refused")

    def unreachable(self) -> None:
        """Its connection has gone: another way, a few times."""
        self.tries += 1
        if self.tries >= MOST_REROUTES:
            self.final(503, None)
        else:
            self.send()
