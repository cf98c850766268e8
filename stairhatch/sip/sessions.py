"""Sessions within a dialog: owns what each side offered (RFC 3264, 6337), the session timer (RFC 4028) and
the one provisional answer that must be heard (RFC 3262). Decisions and state alone: the clock is passed in,
answers come back as values. It must never build a message, find a dialog or know a call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar

MEDIA = "application/sdp"
SUPPORTED = ("100rel", "timer")
BODY_HEADERS = frozenset(("content-encoding", "content-disposition"))
LEAST_SE_S = 90  # no session timer may be shorter (RFC 4028, 4)
MOST_SE_S = 86_400  # a longer one says nothing
EARLY_S, EARLY_SHARE = 32.0, 3.0  # a session is released so long, or such a part of it, before its end (10)


# ---- descriptions ----


@dataclass(frozen=True, slots=True)
class Refusal:
    """What a body or a timer is answered with."""

    status: int
    why: str
    extra: tuple[tuple[str, str], ...] = ()


def read_description(message: sip.SipMessage) -> bytes | Refusal:
    """The one session description of a message, b"" if it has none (RFC 3261, 8.2.3; RFC 5621)."""
    if not message.body:
        return b""
    names = {name for name, _ in message.headers}
    if BODY_HEADERS.isdisjoint(names) and message.get("content-type", MEDIA) == MEDIA:
        return message.body  # as nearly all have it
    for coding in message.get_all("content-encoding"):
        if coding.strip().lower() != "identity":
            return Refusal(415, "content encoding", (("accept-encoding", "identity"),))
    try:
        kind, told = grammar.media_type(message.get("content-type", MEDIA))
        optional, session = _disposition(message.get("content-disposition"))
        if kind == MEDIA:
            if session:
                return message.body
            return b"" if optional else Refusal(415, "disposition", (("accept", MEDIA),))
        if kind.startswith("multipart/"):
            return _from_parts(message.body, kind, told.get("boundary", ""))
    except grammar.GrammarError as error:
        return Refusal(400, str(error))
    return (
        b""
        if optional
        else Refusal(415, f"body of type {kind[:40]}", (("accept", f"{MEDIA}, multipart/mixed"),))
    )


def _disposition(text: str) -> tuple[bool, bool]:
    """Whether a body may be passed over, and whether it is the session's (RFC 3261, 20.11)."""
    if not text:
        return False, True
    kind, semicolon, rest = text.partition(";")
    handling = (
        grammar.read_parameters(semicolon + rest).get("handling", "required") if semicolon else "required"
    )
    return handling.lower() == "optional", kind.strip().lower() == "session"


def _from_parts(body: bytes, kind: str, boundary: str) -> bytes | Refusal:
    if kind != "multipart/mixed":
        return Refusal(415, kind, (("accept", f"{MEDIA}, multipart/mixed"),))
    parts = grammar.read_parts(body, boundary)
    found = [part.body for part in parts if part.kind == MEDIA]
    unknown = [part.kind for part in parts if part.kind != MEDIA and part.required]
    if unknown or len(found) > 1:
        why = f"part of type {unknown[0][:40]}" if unknown else "two descriptions"
        return Refusal(415, why, (("accept", f"{MEDIA}, multipart/mixed"),))
    return found[0] if found else b""


class Offered(Enum):
    """What a later description is, beside the one that holds."""

    NOTHING = "nothing"
    SAME = "same"
    CHANGED = "changed"


def _print(description: bytes) -> bytes:
    return blake2b(description.strip(), digest_size=12).digest() if description.strip() else b""


def _origin(description: bytes) -> bytes:
    """The o= line: with it unchanged the session is (RFC 3264, 8)."""
    begin = description.find(b"o=")
    if begin < 0 or (begin and description[begin - 1 : begin] != b"\n"):
        return b""
    return description[begin:].split(b"\n", 1)[0].strip()


@dataclass(eq=False, slots=True)
class Descriptions:
    """Both sides' descriptions of a session: of the caller's only what tells it from another, ours whole."""

    remote: bytes = b""
    origin: bytes = b""
    own: bytes = b""
    awaits_answer: bool = False  # ours was an offer, whose answer comes in the ACK (RFC 3261, 13.2.1)

    @classmethod
    def begun(cls, remote: bytes) -> Descriptions:
        """The INVITE's offer, b"" if the offer is ours to make."""
        return cls(_print(remote), _print(_origin(remote)), b"", not remote.strip())

    def compare(self, description: bytes) -> Offered:
        """What a description in a later request is."""
        if not description.strip():
            return Offered.NOTHING
        if _print(description) == self.remote:
            return Offered.SAME
        origin = _origin(description)
        if not self.remote:  # we have not heard the caller's yet: this is it
            return Offered.SAME
        return Offered.SAME if origin and _print(origin) == self.origin else Offered.CHANGED

    def learn(self, description: bytes) -> None:
        """The caller's answer to an offer of ours."""
        if description.strip() and not self.remote:
            self.remote, self.origin = _print(description), _print(_origin(description))
        self.awaits_answer = False


# ---- session timers (RFC 4028) ----


class Refresher(Enum):
    """Who keeps a session alive, in the terms of the request it was agreed in."""

    CALLER = "uac"
    OURS = "uas"
    NOBODY = ""


@dataclass(frozen=True, slots=True)
class SessionTimerPolicy:
    """What the file says of session timers, in seconds."""

    interval_s: int = 1800  # proposed where a caller knows timers and names none; 0: none is proposed
    least_s: int = LEAST_SE_S


@dataclass(frozen=True, slots=True)
class SessionTimer:
    """A session's interval and who refreshes it."""

    interval_s: int
    refresher: Refresher
    required: bool = False  # the caller knows timers, so that the answer says `Require: timer`

    @property
    def lasts_s(self) -> float:
        """When a session that nobody refreshed is released, from its last refresh: a little before its end
        (RFC 4028, 10), so that both sides agree that it is over.
        """
        return self.interval_s - min(EARLY_S, self.interval_s / EARLY_SHARE)

    @property
    def refresh_s(self) -> float:
        """When we refresh, if that is ours to do: half the interval (RFC 4028, 7.2)."""
        return self.interval_s / 2

    def headers(self) -> sip.Headers:
        """For the answer that agrees to it."""
        found = [("session-expires", f"{self.interval_s};refresher={self.refresher.value}")]
        return [*found, ("require", "timer")] if self.required else found


def negotiate(message: sip.SipMessage, policy: SessionTimerPolicy) -> SessionTimer | Refusal | None:
    """Agree on a session timer with an INVITE or UPDATE (RFC 4028, section 9). None: the session has none."""
    knows = any(
        option.lower() == "timer" for name in ("supported", "require") for option in message.get_all(name)
    )
    try:
        least = max(LEAST_SE_S, grammar.seconds_and_parameters(message.get("min-se", "0"))[0])
        asked = message.get("session-expires")
        interval, told = grammar.seconds_and_parameters(asked) if asked else (0, {})
    except grammar.GrammarError as error:
        return Refusal(400, f"Session-Expires or Min-SE: {error}")
    refresher = told.get("refresher", "").lower()
    if refresher not in ("", "uac", "uas"):
        return Refusal(400, "Session-Expires: refresher")
    if asked and interval < policy.least_s and knows:
        return Refusal(422, "session interval", (("min-se", str(policy.least_s)),))
    if not asked:
        if not knows or not policy.interval_s:
            return None
        return SessionTimer(max(least, policy.least_s, policy.interval_s), Refresher.CALLER, True)
    interval = max(least if least > LEAST_SE_S else interval, interval, policy.least_s)
    if not knows:
        return SessionTimer(min(interval, MOST_SE_S), Refresher.OURS)
    return SessionTimer(min(interval, MOST_SE_S), Refresher(refresher or "uac"), True)


def agreed(message: sip.SipMessage) -> SessionTimer | None:
    """What the answer to a refresh of ours says. None: the session has no timer any more (7.2)."""
    try:
        interval, told = grammar.seconds_and_parameters(message.get("session-expires"))
    except grammar.GrammarError:
        return None
    ours = told.get("refresher", "uac").lower() != "uas"  # the caller is the server of this one
    return SessionTimer(max(interval, 1), Refresher.OURS if ours else Refresher.CALLER)


class SessionTimerAction(Enum):
    """What a session timer asks for."""

    NOTHING = "nothing"
    REFRESH = "refresh"
    RELEASE = "release"


@dataclass(eq=False, slots=True)
class Lease:
    """A session's timer at work. `turn` tells timers that were set for an earlier agreement."""

    timer: SessionTimer | None = None
    ends_at: float = 0.0
    refresh_at: float = 0.0
    turn: int = 0

    def agree(self, timer: SessionTimer | None, now: float) -> None:
        """An agreement, or a refresh."""
        self.turn += 1
        self.timer = timer
        if timer is not None:
            self.ends_at, self.refresh_at = now + timer.lasts_s, now + timer.refresh_s

    def postpone(self, until: float) -> None:
        """A refresh of ours was refused for now."""
        self.refresh_at = until

    def next_at(self) -> float | None:
        """When to look again."""
        if self.timer is None:
            return None
        ours = self.timer.refresher is Refresher.OURS and self.refresh_at < self.ends_at
        return min(self.refresh_at, self.ends_at) if ours else self.ends_at

    def due(self, now: float) -> SessionTimerAction:
        """What is to be done now."""
        if self.timer is None:
            return SessionTimerAction.NOTHING
        if now >= self.ends_at:
            return SessionTimerAction.RELEASE
        if self.timer.refresher is Refresher.OURS and now >= self.refresh_at:
            self.refresh_at = self.ends_at
            return SessionTimerAction.REFRESH
        return SessionTimerAction.NOTHING


# ---- reliable provisional answers (RFC 3262) ----


class Prack(Enum):
    """What a PRACK is to us."""

    HEARD = "heard"  # 200
    UNMATCHED = "unmatched"  # 481


@dataclass(eq=False, slots=True)
class Reliable:
    """The provisional answer of ours that awaits its PRACK."""

    rseq: int
    cseq: int
    data: bytes = b""
    heard: bool = False

    def prack(self, message: sip.SipMessage) -> Prack:
        """A PRACK has come; one for another answer, or for one that was heard, matches nothing (3262, 3)."""
        try:
            rseq, cseq, method = grammar.read_rack(message.get("rack"))
        except grammar.GrammarError:
            return Prack.UNMATCHED
        if self.heard or (rseq, cseq, method) != (self.rseq, self.cseq, "INVITE"):
            return Prack.UNMATCHED
        self.heard, self.data = True, b""
        return Prack.HEARD


def wants_reliable(message: sip.SipMessage) -> bool:
    """Whether a caller can be sent provisional answers reliably."""
    return any(
        option.lower() == "100rel" for name in ("supported", "require") for option in message.get_all(name)
    )


# ---- crossing offers (RFC 3261, 14.2; RFC 3311, 5.2) ----


class Exchange(Enum):
    """Whether an offer may be made now."""

    FREE = "free"
    OURS_OPEN = "ours"  # 491
    THEIRS_OPEN = "theirs"  # 500 with Retry-After


def crossing(ours_open: bool, theirs_open: bool) -> Exchange:
    """Which way a request that changes a session crosses another."""
    if ours_open:
        return Exchange.OURS_OPEN
    return Exchange.THEIRS_OPEN if theirs_open else Exchange.FREE


def wait_after_cross(owner: bool, part: float) -> float:
    """Seconds until a request of ours that was answered 491 is sent again, for a part in 0..1 drawn at
    random: the one who made the Call-ID waits longer (RFC 3261, 14.1).
    """
    return 2.1 + 1.9 * part if owner else 2.0 * part
