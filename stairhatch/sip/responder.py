"""Responses to requests, sent by a transaction or statelessly; each response is counted and may be traced."""

from __future__ import annotations

from stairhatch.node import sip_message as sip
from stairhatch.sip.addresses import TransportAddress
from stairhatch.sip.context import SipContext
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.response_format import format_headers
from stairhatch.sip.server_transactions import ServerTransaction, ServerTransactions
from stairhatch.sip.session_descriptions import ACCEPTED_TYPES
from stairhatch.sip.transport import Flow, UdpFlow

METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "PRACK", "UPDATE", "INFO")
EXTENSIONS = ("100rel", "timer")
ALLOW = ("allow", ", ".join(METHODS))
SUPPORTED = ("supported", ", ".join(EXTENSIONS))
ACCEPT = ("accept", ACCEPTED_TYPES)
CAPABILITIES: sip.Headers = [
    ALLOW,
    ACCEPT,
    SUPPORTED,
    ("accept-encoding", "identity"),
    ("accept-language", "en"),
]


class Responder:
    """The sender of all responses of one frontend."""

    def __init__(self, context: SipContext, transactions: ServerTransactions) -> None:
        """Create a responder that uses the given table of server transactions."""
        self._context = context
        self._transactions = transactions

    def respond(
        self,
        transaction: ServerTransaction,
        status: int,
        extra: sip.Headers | None = None,
        tag: str = "",
        body: bytes = b"",
    ) -> bytes:
        """Respond to a transaction's request; returns the bytes, or b"" after the final response.

        `tag` is the local tag to add if the To header of the request has none. If `tag` is "", the tag of the
        transaction's user is used, or a new one.
        """
        head = transaction.head
        if not transaction.is_open or head is None:
            return b""
        if status > 100 and not head.to_tag:
            user = transaction.user
            tag = tag or (user.tag if user is not None else self._context.new_token())
        else:
            tag = ""
        lines = format_headers(extra) if extra else ""
        if status == 100 and "timestamp" in head.names:
            lines += f"Timestamp: {head.message.get('timestamp')}\r\n"  # RFC 3261, 8.2.6.1
        data = self._transactions.respond(transaction, status, tag, lines, body)
        self.record(transaction, status, head.call_id, head.cseq, head.method)
        return data

    def reject(self, transaction: ServerTransaction, rejection: RequestRejection) -> None:
        """Reject a request; a rejection with a reason is logged."""
        if rejection.reason:
            self._log_rejection(transaction, rejection)
        self.respond(transaction, rejection.status, list(rejection.headers))

    def _log_rejection(self, transaction: ServerTransaction, rejection: RequestRejection) -> None:
        source = transaction.flow.peer[0]
        self._context.call_manager.log(
            "request_rejected", source=source, status=rejection.status, why=rejection.reason
        )

    def respond_stateless(self, flow: Flow, address: TransportAddress, data: bytes, status: int) -> None:
        """Send a response, given as bytes, without keeping state; a response by UDP is sent to `address`."""
        self._context.counters.add(f"sent_{status}")
        if isinstance(flow, UdpFlow):
            flow = UdpFlow(flow.port, address)
        flow.send(data)

    def record(
        self, transaction: ServerTransaction, status: int, call_id: str, cseq: int = 0, method: str = "INVITE"
    ) -> None:
        """Count a sent response, and log it if calls are traced."""
        call_manager = self._context.call_manager
        call_manager.counters.add(f"sent_{status}")
        if call_manager.context.tracing:
            transport = transaction.flow.transport.lower()
            call_manager.log(
                "response_sent", callid=call_id, cseq=f"{cseq}_{method}", status=status, transport=transport
            )
