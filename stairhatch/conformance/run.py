"""Plays a case on a stage: owns what a caller remembers while it does (its calls, tags, numbers, branches)
and the comparison of what comes with what must. It must never know which stage it is on, nor the program's
insides.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from stairhatch.conformance.cases import Case
from stairhatch.conformance.stage import CallerTransport, ConformanceEnvironment, messages
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip import digest_auth, grammar

USER, PASSWORD, REALM = "office", "a long word", "stairhatch"  # where a case needs one that may call
OFFER = (
    "v=0\r\no=office 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    "m=audio 30000 RTP/AVP 8\r\n"
)
STEP_S = 0.05
WITHIN_S = 1.0
ORDER = ("via", "max-forwards", "route", "from", "to", "call-id", "cseq", "contact")
_serials = count(1)


class FailedError(Exception):
    """What came is not what must."""


@dataclass
class Held:
    """A call as its caller has it."""

    call_id: str
    from_tag: str
    number: str = "1000"
    cseq: int = 0
    to_tag: str = ""
    invite_cseq: int = 0
    invite_branch: str = ""
    invite_uri: str = ""
    flow: str = "1"
    last: bytes = b""
    last_method: str = "INVITE"
    final: sip.SipMessage | None = None
    rseq: str = ""
    challenge: sip.SipMessage | None = None


@dataclass
class Came:
    """A message of the program's."""

    at: float
    flow: str
    message: sip.SipMessage
    taken: bool = False


@dataclass
class CaseResult:
    """What came of a case."""

    case: Case
    why: str = ""  # of its failure
    step: int = 0
    took_s: float = 0.0
    skipped: str = ""
    transcript: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether it passed."""
        return not self.why and not self.skipped


class Player:
    """One case at play."""

    def __init__(self, case: Case, stage: ConformanceEnvironment) -> None:
        self.case, self.stage = case, stage
        self.serial = next(_serials)
        self.begun = stage.now()
        self.wires: dict[str, CallerTransport] = {}
        self.parsers: dict[str, sip_parser.StreamParser | None] = {}
        self.calls: dict[str, Held] = {}
        self.came: list[Came] = []
        self.pongs = 0
        self.branches = count(1)
        self.transcript: list[str] = []

    def play(self) -> CaseResult:
        """All steps; the first that fails ends it."""
        number, why = 0, ""
        try:
            for number, step in enumerate(self.case.steps, 1):  # noqa: B007 - told in the result
                self._step(step)
        except FailedError as error:
            why = str(error)
        except (sip_parser.SipError, grammar.GrammarError, OSError, ValueError) as error:
            why = f"{type(error).__name__}: {error}"
        return CaseResult(self.case, why, number, self.stage.now() - self.begun, "", self.transcript)

    # ---- what the caller sends ----

    def _wire(self, name: str) -> CallerTransport:
        if name not in self.wires:
            other = {"tcp": "udp", "udp": "tcp"}[self.case.transport]
            transport = other if name.startswith("other") else self.case.transport
            self.wires[name] = self.stage.open(transport)
            self.parsers[name] = sip_parser.StreamParser() if transport == "tcp" else None
        return self.wires[name]

    def _call(self, name: str) -> Held:
        if name not in self.calls:
            mark = f"{self.serial:x}{name}"
            self.calls[name] = Held(f"{mark}.{self.case.id}@conform", f"f{mark}")
        return self.calls[name]

    def _step(self, step: dict[str, Any]) -> None:
        call = self._call(step.get("call", "a"))
        if "send" in step:
            self._send(step, call)
        elif "raw" in step:
            self._raw(step, call)
        elif "again" in step:
            self._put(call, step.get("flow", call.flow), call.last, 0)
        elif "ack" in step:
            self._ack(step, call)
        elif "expect" in step:
            self._expect(step, call)
        elif "request" in step:
            self._request(step, call)
        elif "quiet" in step:
            self._quiet(step, call)
        elif "wait" in step:
            self._pass(float(step["wait"]))
        elif "count" in step:
            self._count(step, call)
        elif "drop" in step:
            self._wire(step["drop"]).close()
        elif not self._until(lambda: self.pongs > 0, step):
            raise FailedError("no CRLF came for a ping")

    def _send(self, step: dict[str, Any], call: Held) -> None:
        method = step["send"]
        wire_name = step.get("flow", call.flow)
        wire = self._wire(wire_name)
        call.number = step.get("number", call.number)
        first = method == "INVITE" and not call.to_tag
        if method in ("ACK", "CANCEL"):
            cseq = step.get("cseq", call.invite_cseq)
        else:
            call.cseq = cseq = step.get("cseq", call.cseq + 1)
        branch = step.get("branch", "same" if method == "CANCEL" else "new")
        if branch in ("same", "new"):
            fresh = f"z9hG4bK{self.serial:x}.{next(self.branches)}"
            branch = call.invite_branch if branch == "same" else fresh
        tag = step.get("to_tag", "none" if method == "CANCEL" or first else "theirs")
        tag = {"theirs": call.to_tag, "none": ""}.get(tag, tag)
        own_tag = step.get("from_tag", call.from_tag)
        if tag[:3] == "of-":
            tag = self._call(tag[3:]).to_tag
        if own_tag[:3] == "of-":
            own_tag = self._call(own_tag[3:]).from_tag
        uri = step.get("uri") or f"sip:{call.number}@softswitch.example"
        mark = f";branch={branch}" if branch else ""
        headers: dict[str, Any] = {
            "via": f"SIP/2.0/{wire.transport.upper()} {wire.host}{mark};rport",
            "max-forwards": "70",
            "from": f"<sip:office@conform.example>;tag={own_tag}",
            "to": f"<sip:{call.number}@softswitch.example>" + (f";tag={tag}" if tag else ""),
            "call-id": call.call_id,
            "cseq": f"{cseq} {method}",
        }
        if method in ("INVITE", "UPDATE"):
            way = ";transport=tcp" if wire.transport == "tcp" else ""
            headers["contact"] = f"<sip:office@{wire.host}{way}>"
        if method == "PRACK":
            headers["rack"] = f"{call.rseq} {call.invite_cseq} INVITE"
        body = step.get("body", OFFER if method == "INVITE" else "") + '"' * step.get("fill", 0)
        if body:
            headers["content-type"] = step.get("type", "application/sdp")
        for name, value in step.get("headers", {}).items():
            headers[name.lower()] = value
        lines: sip.Headers = []
        for name, value in headers.items():
            for text in value if isinstance(value, list) else [value]:
                if text != "":
                    text = text.replace("{serial}", f"{self.serial:x}")
                    shown = self._credentials(text, method, uri, call) if text[:7] == "digest:" else text
                    lines.append((name, shown))
        data = sip.request(method, uri, lines, body.encode("utf-8", "surrogateescape"))
        if method == "INVITE":
            call.invite_cseq, call.invite_branch, call.invite_uri = cseq, branch, uri
            call.final = None
        call.last, call.last_method, call.flow = data, method, wire_name
        self._put(call, wire_name, data, step.get("pieces", 0))

    def _credentials(self, text: str, method: str, uri: str, call: Held) -> str:
        """`digest:user:password:algorithm:count[:what]` as the answer to the last challenge."""
        words = [*text.split(":")[1:], ""]
        user, password, algorithm, nc = (
            w or d for w, d in zip(words, (USER, PASSWORD, "SHA-256", "1"), strict=False)
        )
        if call.challenge is None:
            raise FailedError("there was no challenge")
        given = {}
        for value in call.challenge.get_lines("www-authenticate"):
            scheme, found = grammar.parse_credentials(value)
            if found.get("algorithm") == algorithm:
                given = found
        nonce, realm = given.get("nonce", ""), given.get("realm", "")
        if "nonce" in words:
            nonce = nonce[:-1] + ("0" if nonce[-1:] != "0" else "1")
        kept = digest_auth.user_hash(algorithm, user, realm, password)
        asked = digest_auth.hex_digest(algorithm, f"{method}:{uri}")
        number = f"{int(nc):08x}"
        answer = digest_auth.hex_digest(algorithm, f"{kept}:{nonce}:{number}:c0ffee:auth:{asked}")
        return (
            f'Digest username="{user}", realm="{realm}", nonce="{nonce}", uri="{uri}", response="{answer}", '
            f'algorithm={algorithm}, cnonce="c0ffee", qop=auth, nc={number}'
        )

    def _ack(self, step: dict[str, Any], call: Held) -> None:
        if call.final is None:
            raise FailedError("there was no final answer to acknowledge")
        stood = call.final.status < 300
        tag = "theirs" if stood else sip.parameters(call.final.get("to")).get("tag", "none")
        told = {"send": "ACK", "branch": "new" if stood else "same", "to_tag": tag, **step}
        kept = call.last, call.last_method
        self._send(told, call)
        call.last, call.last_method = kept

    def _raw(self, step: dict[str, Any], call: Held) -> None:
        name = step.get("flow", call.flow)
        wire = self._wire(name)
        words = {
            "branch": f"z9hG4bK{self.serial:x}.{next(self.branches)}", "call": call.call_id,
            "host": wire.host, "transport": wire.transport.upper(), "tag": call.from_tag,
        }  # fmt: skip
        text = step["raw"]
        for key, value in words.items():
            text = text.replace("{" + key + "}", value)
        text += '"' * step.get("fill", 0)
        call.last, call.flow = text.encode("utf-8", "surrogateescape"), name
        method = text.lstrip().split(" ", 1)[0]
        call.last_method = method if method.isalpha() and method.isupper() else call.last_method
        self._put(call, name, call.last, step.get("pieces", 0))

    def _put(self, call: Held, name: str, data: bytes, pieces: int) -> None:
        wire = self._wire(name)
        self.transcript.append(f"{self.stage.now() - self.begun:8.3f} > {name} {data[:60].splitlines()[:1]}")
        step = pieces if pieces and wire.transport == "tcp" else max(1, len(data))
        for at in range(0, len(data), step):
            wire.send(data[at : at + step])
        self._hear()

    # ---- what comes ----

    def _hear(self) -> None:
        for name, wire in self.wires.items():
            for at, data in self.stage.heard(wire):
                if wire.transport == "tcp" and data.startswith(b"\r\n"):
                    self.pongs += 1
                    data = data.lstrip(b"\r\n")
                for message in messages(self.parsers[name], data):
                    self._note(Came(at, name, message))

    def _note(self, came: Came) -> None:
        message = came.message
        self.came.append(came)
        shown = message.method or f"{message.status} {message.get('cseq')}"
        self.transcript.append(f"{came.at - self.begun:8.3f} < {came.flow} {shown}")
        call = next((c for c in self.calls.values() if c.call_id == message.get("call-id")), None)
        if call is None or message.method:
            return
        method, tag = message.cseq()[1], sip.parameters(message.get("to")).get("tag", "")
        if method == "INVITE":
            if 100 < message.status < 300 and tag and not call.to_tag:
                call.to_tag = tag
            if message.status >= 200 and message.cseq()[0] == call.invite_cseq:
                call.final = message
            call.rseq = message.get("rseq") or call.rseq
        if message.status == 401:
            call.challenge = message

    def _until(self, found: Any, step: dict[str, Any]) -> Any:
        end = self.stage.now() + float(step.get("within", WITHIN_S))
        while True:
            self._hear()
            if what := found():
                return what
            left = end - self.stage.now()
            if left <= 0:
                return None
            self.stage.wait(min(STEP_S, left))

    def _pass(self, seconds: float) -> None:
        end = self.stage.now() + seconds
        while (left := end - self.stage.now()) > 1e-9:
            self.stage.wait(left)
            self._hear()

    def _is_copy(self, came: Came) -> bool:
        """Whether it is, but for nothing, one that was taken."""
        mine = came.message
        return any(
            other.taken and (other.message.method, other.message.status) == (mine.method, mine.status)
            and other.message.headers == mine.headers and other.message.body == mine.body
            for other in self.came
        )  # fmt: skip

    def _new(self, call: Held | None) -> Iterable[Came]:
        for came in self.came:
            mine = call is None or came.message.get("call-id") == call.call_id
            if not came.taken and mine and not self._is_copy(came):
                yield came

    def _expect(self, step: dict[str, Any], call: Held) -> None:
        wanted, method = step["expect"], step.get("method", call.last_method)

        def next_answer() -> Came | None:
            for came in self._new(None if method == "*" else call):
                message = came.message
                if (
                    message.status
                    and method in ("*", message.cseq()[1])
                    and (message.status != 100 or wanted == 100)
                ):
                    return came
            return None

        came = self._until(next_answer, step)
        if came is None:
            raise FailedError(f"no {wanted} to {method} came in {step.get('within', WITHIN_S)} s")
        came.taken = True
        if came.message.status != wanted:
            raise FailedError(f"{came.message.status} came for {method}, not {wanted}")
        if "flow" in step and came.flow != step["flow"]:
            raise FailedError(f"it came by {came.flow}, not by {step['flow']}")
        if step.get("same_tag") and sip.parameters(came.message.get("to")).get("tag") != call.to_tag:
            raise FailedError("it has another To tag")
        self._compare(step, came.message)

    def _compare(self, step: dict[str, Any], message: sip.SipMessage) -> None:
        for name, wanted in step.get("headers", {}).items():
            got = ", ".join(message.get_lines(name.lower()))
            for each in wanted if isinstance(wanted, list) else [wanted]:
                if each[:1] == "~" and not re.search(each[1:], got):
                    raise FailedError(f"{name} is {got!r}, without {each[1:]!r}")
                if each[:1] != "~" and got != each:
                    raise FailedError(f"{name} is {got!r}, not {each!r}")
        wanted, body = step.get("body"), message.body.decode("utf-8", "replace")
        if wanted is not None and (wanted not in body or bool(wanted) is not bool(body)):
            raise FailedError(f"the body is {body[:40]!r}")

    def _request(self, step: dict[str, Any], call: Held) -> None:
        wanted = step["request"]

        def next_request() -> Came | None:
            return next((came for came in self._new(call) if came.message.method == wanted), None)

        came = self._until(next_request, step)
        if came is None:
            raise FailedError(f"no {wanted} came in {step.get('within', WITHIN_S)} s")
        came.taken = True
        if "flow" in step and came.flow != step["flow"]:
            raise FailedError(f"{wanted} came by {came.flow}, not by {step['flow']}")
        told = {name: value for name, value in step.get("headers", {}).items() if "answer" not in step}
        self._compare({**step, "headers": told}, came.message)
        if "answer" in step:
            extra = [(name.lower(), value) for name, value in step.get("headers", {}).items()]
            data = sip.response(step["answer"], sip.echoed(came.message) + extra)
            self._put(call, came.flow, data, 0)

    def _matches(self, step: dict[str, Any], call: Held) -> list[Came]:
        asked = step.get("request_method")
        return [
            came for came in self.came
            if came.message.get("call-id") == call.call_id
            and (came.message.method == asked if asked else came.message.status > 0)
            and (asked or came.message.cseq()[1] == step.get("method", came.message.cseq()[1]))
            and ("status" not in step or came.message.status == step["status"])
        ]  # fmt: skip

    def _quiet(self, step: dict[str, Any], call: Held) -> None:
        self._hear()
        before = len(self._matches(step, call))
        self._pass(float(step["quiet"]))
        after = self._matches(step, call)
        if len(after) > before:
            shown = after[before].message
            raise FailedError(f"{shown.method or shown.status} came where nothing must")

    def _count(self, step: dict[str, Any], call: Held) -> None:
        self._hear()
        found = len(self._matches(step, call))
        if found != step["count"]:
            raise FailedError(f"{found} came, not {step['count']}")


def play(case: Case, stage: ConformanceEnvironment) -> CaseResult:
    """One case; what it opened is closed."""
    try:
        return Player(case, stage).play()
    finally:
        stage.close()
