"""The caller's state of each call while a case is played."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.node import sip_message as sip

DEFAULT_NUMBER = "1000"
DEFAULT_FLOW = "1"


@dataclass(slots=True, kw_only=True)
class CallerDialog:
    """The caller's state of one call and its dialog (RFC 3261, section 12)."""

    call_id: str
    from_tag: str
    number: str = DEFAULT_NUMBER
    flow: str = DEFAULT_FLOW
    cseq: int = 0
    to_tag: str = ""
    invite_cseq: int = 0
    invite_branch: str = ""
    last_request: bytes = b""
    last_method: str = "INVITE"
    final_response: sip.SipMessage | None = None  # the final response to the last INVITE
    rseq: str = ""  # the RSeq of the last reliable provisional response (RFC 3262)
    challenge: sip.SipMessage | None = None

    def record_response(self, response: sip.SipMessage) -> None:
        """Store the parts of a response that later requests need: To tag, RSeq, challenge, final response."""
        cseq, method = response.cseq()
        if response.status == 401:
            self.challenge = response
        if method != "INVITE":
            return
        tag = sip.parameters(response.get("to")).get("tag", "")
        if 100 < response.status < 300 and tag and not self.to_tag:
            self.to_tag = tag
        if response.status >= 200 and cseq == self.invite_cseq:
            self.final_response = response
        self.rseq = response.get("rseq") or self.rseq


class CallerDialogs:
    """The calls of one case by the names that its steps give them; a name used first creates a call."""

    def __init__(self, case_id: str, serial: int) -> None:
        self._case_id = case_id
        self._serial = serial
        self._by_name: dict[str, CallerDialog] = {}

    def get(self, name: str) -> CallerDialog:
        """Return the call with a name; it is created at the first use of the name."""
        if name not in self._by_name:
            label = f"{self._serial:x}{name}"
            self._by_name[name] = CallerDialog(
                call_id=f"{label}.{self._case_id}@conform", from_tag=f"f{label}"
            )
        return self._by_name[name]

    def record_response(self, response: sip.SipMessage) -> None:
        """Store a response in the call with its Call-ID; a response to no call of the case is ignored."""
        call_id = response.get("call-id")
        for dialog in self._by_name.values():
            if dialog.call_id == call_id:
                dialog.record_response(response)
                return
