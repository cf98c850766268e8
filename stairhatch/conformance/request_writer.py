"""Writes the requests that the caller of a case sends."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from stairhatch.conformance import credentials
from stairhatch.conformance.caller_dialog import CallerDialog, CallerDialogs
from stairhatch.conformance.environment import CallerTransport
from stairhatch.conformance.steps import HeaderValues, RequestStep, SendText
from stairhatch.emulators.caller_emulator import SESSION_OFFER
from stairhatch.node import sip_message as sip

BRANCH_COOKIE = "z9hG4bK"  # RFC 3261, section 8.1.1.7
OTHER_CALL_PREFIX = "of-"  # precedes the name of another call of the case, whose tag is used
FILLER = '"'


@dataclass(frozen=True, slots=True, kw_only=True)
class WrittenRequest:
    """A request as bytes, with the parts that its sender needs later: method, CSeq number and branch."""

    method: str
    cseq: int
    branch: str
    data: bytes


class RequestWriter:
    """A writer of the requests of one case; `serial` keeps the branches of different cases distinct."""

    def __init__(self, dialogs: CallerDialogs, serial: int) -> None:
        self._dialogs = dialogs
        self._serial = serial
        self._branches = count(1)

    def write(
        self, method: str, step: RequestStep, dialog: CallerDialog, transport: CallerTransport
    ) -> WrittenRequest:
        """Return the request of a call for a step; advance the call's CSeq number except for ACK and CANCEL.

        Raises CheckFailedError if credentials are needed and the call has no challenge.
        """
        cseq = self._next_cseq(method, step, dialog)
        branch = self._branch(method, step, dialog)
        uri = step.uri or f"sip:{dialog.number}@softswitch.example"
        to_tag = self._to_tag(method, step, dialog)
        headers: HeaderValues = {
            "via": _via(transport, branch),
            "max-forwards": "70",
            "from": f"<sip:office@conform.example>;tag={self._from_tag(step, dialog)}",
            "to": f"<sip:{dialog.number}@softswitch.example>" + (f";tag={to_tag}" if to_tag else ""),
            "call-id": dialog.call_id,
            "cseq": f"{cseq} {method}",
        }
        headers |= _method_headers(method, dialog, transport)
        body = (SESSION_OFFER.decode() if method == "INVITE" else "") if step.body is None else step.body
        body += FILLER * step.fill
        if body:
            headers["content-type"] = step.content_type
        headers |= {name.lower(): value for name, value in step.headers.items()}
        lines = self._header_lines(headers, method, uri, dialog)
        data = sip.request(method, uri, lines, _encoded(body))
        return WrittenRequest(method=method, cseq=cseq, branch=branch, data=data)

    def write_text(self, step: SendText, dialog: CallerDialog, transport: CallerTransport) -> bytes:
        """Return the bytes of a step's text, with only its placeholders replaced and the filler appended."""
        values = {
            "branch": self._new_branch(),
            "call": dialog.call_id,
            "host": transport.host,
            "transport": transport.transport.upper(),
            "tag": dialog.from_tag,
        }
        text = step.text
        for name, value in values.items():
            text = text.replace("{" + name + "}", value)
        return _encoded(text + FILLER * step.fill)

    def _new_branch(self) -> str:
        return f"{BRANCH_COOKIE}{self._serial:x}.{next(self._branches)}"

    def _next_cseq(self, method: str, step: RequestStep, dialog: CallerDialog) -> int:
        if method in ("ACK", "CANCEL"):
            return dialog.invite_cseq if step.cseq is None else step.cseq
        dialog.cseq = dialog.cseq + 1 if step.cseq is None else step.cseq
        return dialog.cseq

    def _branch(self, method: str, step: RequestStep, dialog: CallerDialog) -> str:
        selector = step.branch
        if selector is None:
            selector = "same" if method == "CANCEL" else "new"
        match selector:
            case "new":
                return self._new_branch()
            case "same":
                return dialog.invite_branch
            case _:
                return selector

    def _to_tag(self, method: str, step: RequestStep, dialog: CallerDialog) -> str:
        selector = step.to_tag
        if selector is None:
            is_first_invite = method == "INVITE" and not dialog.to_tag
            selector = "none" if method == "CANCEL" or is_first_invite else "theirs"
        match selector:
            case "theirs":
                return dialog.to_tag
            case "none":
                return ""
            case _ if selector.startswith(OTHER_CALL_PREFIX):
                return self._dialogs.get(selector.removeprefix(OTHER_CALL_PREFIX)).to_tag
            case _:
                return selector

    def _from_tag(self, step: RequestStep, dialog: CallerDialog) -> str:
        if step.from_tag is None:
            return dialog.from_tag
        if step.from_tag.startswith(OTHER_CALL_PREFIX):
            return self._dialogs.get(step.from_tag.removeprefix(OTHER_CALL_PREFIX)).from_tag
        return step.from_tag

    def _header_lines(
        self, headers: HeaderValues, method: str, uri: str, dialog: CallerDialog
    ) -> sip.Headers:
        """Return one header line for each value, without the empty values.

        A value that is a template of credentials is replaced by these; see `credentials`.
        """
        lines: sip.Headers = []
        for name, values in headers.items():
            for value in values if isinstance(values, list) else [values]:
                if value == "":
                    continue
                text = value.replace("{serial}", f"{self._serial:x}")
                if text.startswith(credentials.PREFIX):
                    text = credentials.digest_credentials(text, method, uri, dialog.challenge)
                lines.append((name, text))
        return lines


def _via(transport: CallerTransport, branch: str) -> str:
    parameter = f";branch={branch}" if branch else ""
    return f"SIP/2.0/{transport.transport.upper()} {transport.host}{parameter};rport"


def _method_headers(method: str, dialog: CallerDialog, transport: CallerTransport) -> HeaderValues:
    if method in ("INVITE", "UPDATE"):
        parameter = ";transport=tcp" if transport.transport == "tcp" else ""
        return {"contact": f"<sip:office@{transport.host}{parameter}>"}
    if method == "PRACK":
        return {"rack": f"{dialog.rseq} {dialog.invite_cseq} INVITE"}
    return {}


def _encoded(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")
