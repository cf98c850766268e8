"""The requests that we send within a dialog, sent again on another flow if their flow ends."""

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

MAX_FLOWS = 3  # flows on which one request is tried
HEADER_BYTES = 400  # estimated size of a request without its body, routes and addresses


class DialogUsage(Protocol):
    """A dialog usage (RFC 5057): the sender of requests within a dialog."""

    path: DialogPath

    @property
    def established_dialog(self) -> Dialog:
        """The dialog, which must exist."""

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """Called with the final response of a session refresh; `message` is None if there was no response."""


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The content of a request that its dialog does not determine."""

    method: str
    headers: sip.Headers
    body: bytes = b""


class ClientRequests:
    """The table of our requests without a final response: at most one per dialog and method."""

    def __init__(self, agent: UserAgent) -> None:
        """Create an empty table; its requests are sent by `agent`."""
        self._agent = agent
        self._open: dict[tuple[DialogUsage, str], ClientRequest] = {}

    def send(self, usage: DialogUsage, method: str, extra: sip.Headers, body: bytes = b"") -> None:
        """Send a request within the dialog of `usage`; `extra` are its headers beside those of the dialog."""
        request = ClientRequest(self, self._agent, usage, RequestContent(method, extra, body))
        self._open[usage, method] = request
        request.send()

    def is_open(self, usage: DialogUsage, method: str) -> bool:
        """Whether a request with this method awaits its final response in the dialog of `usage`."""
        return (usage, method) in self._open

    def is_settled(self) -> bool:
        """Whether no request awaits its final response."""
        return not self._open

    def answered(self, usage: DialogUsage, method: str) -> None:
        """Remove the request with this method, which has its final response or has failed."""
        self._open.pop((usage, method), None)


class ClientRequest:
    """A request that we send within a dialog; the user of its client transactions, one per flow tried."""

    __slots__ = ("_agent", "_content", "_cseq", "_flows_failed", "_requests", "_transaction", "_usage")

    def __init__(
        self,
        requests: ClientRequests,
        agent: UserAgent,
        usage: DialogUsage,
        content: RequestContent,
    ) -> None:
        """Create a request without sending it."""
        self._requests = requests
        self._agent = agent
        self._usage = usage
        self._content = content
        self._flows_failed = 0
        self._cseq = 0  # assigned when the request is sent for the first time
        self._transaction: ClientTransaction | None = None

    def send(self) -> None:
        """Send the request on the dialog's flow if that is alive, else on another flow.

        Each flow gets a new transaction, with the same CSeq.
        """
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
        """Ignore a provisional response."""

    def final_received(self, status: int, message: sip.SipMessage | None) -> None:
        """Process the final response; `message` is None for a timeout (408) or if all flows failed (503)."""
        self._requests.answered(self._usage, self._content.method)
        if self._content.method == "INVITE" and 200 <= status < 300:
            self._acknowledge()
        if self._content.method in ("INVITE", "UPDATE"):
            self._usage.refresh_answered(status, message)
        elif status >= 300 and status != 481:
            self._agent.context.counters.add("byes_rejected")

    def flow_failed(self) -> None:
        """Send the request on another flow after its flow has ended.

        After `MAX_FLOWS` flows the request fails with 503.
        """
        self._flows_failed += 1
        if self._flows_failed >= MAX_FLOWS:
            self.final_received(503, None)
        else:
            self.send()

    def _choose_flow(self, dialog: Dialog) -> Flow:
        size_bytes = HEADER_BYTES + len(self._content.body) + sum(map(len, dialog.routes))
        size_bytes += len(dialog.remote) + len(dialog.local)
        prefer_tcp = self._flows_failed < MAX_FLOWS - 1
        last_flow = self._usage.path.flow
        return self._agent.flows.request_flow(dialog.next_hop(), last_flow, size_bytes, prefer_tcp)

    def _via(self, flow: Flow, branch: str) -> str:
        return f"SIP/2.0/{flow.transport} {self._agent.flows.sent_by(flow)};branch={branch}"

    def _acknowledge(self) -> None:
        """Send the ACK to a 2xx, with a branch of its own (RFC 3261, 13.2.2.4).

        The transaction keeps the ACK to answer retransmissions of the 2xx.
        """
        transaction = self._transaction
        if transaction is None:
            return
        via = self._via(transaction.flow, MAGIC_COOKIE + self._agent.context.new_token())
        dialog = self._usage.established_dialog
        transaction.ack = dialog.format_request("ACK", self._cseq, via, [])
        transaction.flow.send(transaction.ack)
