"""Requests of ours within a dialog, and another flow for them where their own ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.sip.client_transactions import ClientTransaction
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.dialogs import Dialog
from stairhatch.sip.request_head import MAGIC_COOKIE
from stairhatch.sip.session_descriptions import SDP
from stairhatch.sip.transport import Flow
from stairhatch.sip.user_agent import UserAgent

MAX_FLOWS = 3  # that one request is tried by
HEADER_BYTES = 400  # about what a request takes beside its body, routes and addresses


class DialogUsage(Protocol):
    """What sends requests within a dialog: a dialog usage (RFC 5057)."""

    path: DialogPath

    @property
    def established_dialog(self) -> Dialog:
        """The dialog."""

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """A refresh of the session has its final response; None: it came from nobody."""


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What a request says, beside what its dialog gives."""

    method: str
    headers: sip.Headers
    body: bytes = b""


class ClientRequests:
    """Our open requests within dialogs; one of a method at a time in each."""

    def __init__(self, agent: UserAgent) -> None:
        """Begin with none."""
        self._agent = agent
        self._open: dict[tuple[DialogUsage, str], ClientRequest] = {}

    def send(self, usage: DialogUsage, method: str, extra: sip.Headers, body: bytes = b"") -> None:
        """Send a request within a dialog."""
        request = ClientRequest(self, self._agent, usage, RequestContent(method, extra, body))
        self._open[usage, method] = request
        request.send()

    def is_open(self, usage: DialogUsage, method: str) -> bool:
        """Whether such a request awaits its final response."""
        return (usage, method) in self._open

    def is_settled(self) -> bool:
        """Whether none awaits its final response."""
        return not self._open

    def answered(self, usage: DialogUsage, method: str) -> None:
        """One has its final response."""
        self._open.pop((usage, method), None)


class ClientRequest:
    """A request of ours within a dialog: the user of its client transactions, one after the other."""

    __slots__ = ("_agent", "_content", "_cseq", "_flows_failed", "_requests", "_transaction", "_usage")

    def __init__(
        self,
        requests: ClientRequests,
        agent: UserAgent,
        usage: DialogUsage,
        content: RequestContent,
    ) -> None:
        """One that is not yet sent."""
        self._requests = requests
        self._agent = agent
        self._usage = usage
        self._content = content
        self._flows_failed = 0
        self._cseq = 0  # until it is sent first
        self._transaction: ClientTransaction | None = None

    def send(self) -> None:
        """Send it by the dialog's flow while that is alive, else by another."""
        agent = self._agent
        dialog = self._usage.established_dialog
        if not self._cseq:
            self._cseq = dialog.next_cseq()
        branch = MAGIC_COOKIE + agent.context.new_token()
        flow = self._choose_flow(dialog)
        extra = list(self._content.headers)
        if self._content.method != "BYE":
            extra.append(("contact", f"<{agent.flows.contact(flow)}>"))
        if self._content.body:
            extra.append(("content-type", SDP))
        via = f"{self._via(flow, branch)};rport"
        data = dialog.format_request(self._content.method, self._cseq, via, extra, self._content.body)
        self._transaction = agent.client_transactions.send_request(
            branch, self._content.method, data, flow, self
        )

    def provisional_received(self, status: int, message: sip.SipMessage) -> None:
        """A provisional response changes nothing."""

    def final_received(self, status: int, message: sip.SipMessage | None) -> None:
        """It is answered; 408 or 503 without a message where it won't be."""
        self._requests.answered(self._usage, self._content.method)
        if self._content.method == "INVITE" and 200 <= status < 300:
            self._acknowledge()
        if self._content.method in ("INVITE", "UPDATE"):
            self._usage.refresh_answered(status, message)
        elif status >= 300 and status != 481:
            self._agent.context.counters.add("byes_rejected")

    def flow_failed(self) -> None:
        """Its flow has ended: send it by another one, `MAX_FLOWS` in all."""
        self._flows_failed += 1
        if self._flows_failed >= MAX_FLOWS:
            self.final_received(503, None)
        else:
            self.send()

    def _choose_flow(self, dialog: Dialog) -> Flow:
        size_bytes = HEADER_BYTES + len(self._content.body) + sum(map(len, dialog.routes))
        size_bytes += len(dialog.remote) + len(dialog.local)
        prefer_tcp = self._flows_failed < MAX_FLOWS - 1
        used = self._usage.path.flow
        return self._agent.flows.request_flow(dialog.next_hop(), used, size_bytes, prefer_tcp)

    def _via(self, flow: Flow, branch: str) -> str:
        return f"SIP/2.0/{flow.transport} {self._agent.flows.sent_by(flow)};branch={branch}"

    def _acknowledge(self) -> None:
        """The ACK to a 2xx is a transaction of its own (RFC 3261, 13.2.2.4)."""
        transaction = self._transaction
        if transaction is None:
            return
        via = self._via(transaction.flow, MAGIC_COOKIE + self._agent.context.new_token())
        dialog = self._usage.established_dialog
        transaction.ack = dialog.format_request("ACK", self._cseq, via, [])
        transaction.flow.send(transaction.ack)
