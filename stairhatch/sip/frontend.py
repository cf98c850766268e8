"""The SIP frontend of the appliance: the handler of all received messages, and the parts of the user agent.

The frontend uses no sockets. The call manager chooses the roster server and the result of each call. Calls
and dialogs are not bound to a connection.
"""

from __future__ import annotations

from collections.abc import Callable

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ReleaseCause
from stairhatch.node.counters import Counters
from stairhatch.sip import grammar
from stairhatch.sip.addresses import TransportAddress
from stairhatch.sip.call_leg import CallLeg, DialogTable
from stairhatch.sip.client_requests import ClientRequests
from stairhatch.sip.client_transactions import ClientTransactions
from stairhatch.sip.config import SipConfig
from stairhatch.sip.context import SipContext
from stairhatch.sip.dialogs import DialogKey
from stairhatch.sip.flow_router import FlowRouter
from stairhatch.sip.request_admission import RequestAdmission
from stairhatch.sip.request_dispatcher import RequestDispatcher
from stairhatch.sip.request_head import DEFAULT_PORT, RequestHead
from stairhatch.sip.request_scan import RequestScan, is_ack_to_stateless_response, scan_request
from stairhatch.sip.responder import ACCEPT, METHODS, Responder
from stairhatch.sip.response_format import copied_headers, format_headers, format_response
from stairhatch.sip.server_transactions import ServerTransaction, ServerTransactions
from stairhatch.sip.transport import Flow, SipConnection, UdpFlow
from stairhatch.sip.user_agent import UserAgent

BYTES_PER_MB = 1024 * 1024
ACCEPT_LINE = format_headers([ACCEPT])
BODY_ERROR_STATUSES = (413, 415, 513)  # their responses list the accepted body types


class SipFrontend:
    """The owner of the appliance's flows, transactions and dialogs; the `MessageHandler` of the flows."""

    def __init__(
        self,
        call_manager: CallManager,
        config: SipConfig,
        new_token: Callable[[], str],
        draw_fraction: Callable[[], float],
        secret: bytes = b"",
    ) -> None:
        """Create a frontend without calls.

        `new_token` returns a new tag or branch, `draw_fraction` a random number from 0 to 1. `secret` is the
        key that proves that a nonce was created here.
        """
        context = SipContext(call_manager, config, new_token, draw_fraction)
        self.counters: Counters = call_manager.counters
        self.flows = FlowRouter(self, config)
        self.admission = RequestAdmission(context)
        self.server_transactions = ServerTransactions(
            call_manager, config.memory_mb * BYTES_PER_MB, self._response_flow, self._overload_feedback
        )
        self.client_transactions = ClientTransactions(call_manager)
        self._context = context
        self._responder = Responder(context, self.server_transactions)
        agent = UserAgent(
            context=context,
            flows=self.flows,
            server_transactions=self.server_transactions,
            client_transactions=self.client_transactions,
            responder=self._responder,
        )
        self._dialogs = DialogTable(ClientRequests(agent))
        self.dispatcher = RequestDispatcher(agent, self._dialogs, self.admission, secret)

    @property
    def config(self) -> SipConfig:
        """The current configuration."""
        return self._context.config

    @property
    def dialogs(self) -> dict[DialogKey, CallLeg]:
        """The legs of all early and confirmed dialogs."""
        return self._dialogs.legs

    def reconfigure(self, new: SipConfig) -> bool:
        """Apply the reloadable part of a new configuration; returns whether no other part differs."""
        old = self._context.config
        self._context.config = old.with_reloadable(new)
        if new.auth != old.auth:
            self.dispatcher.configure_authentication()
        return self._context.config == new

    def end_dialogs(self) -> int:
        """End the established dialogs on both sides before a restart that can't wait for them any longer.

        Returns the number of dialogs ended.
        """
        legs = [leg for leg in self.dialogs.values() if leg.invite is None]
        for leg in legs:
            call_id = leg.dialog.call_id if leg.dialog else "-"
            self._context.call_manager.log("dialog_terminated", call=leg.ident, callid=call_id)
            leg.success.stop()  # so that the BYE is sent without waiting for the ACK
            leg.terminate(ReleaseCause.TEMPORARY_FAILURE)
        return len(legs)

    def is_flushed(self) -> bool:
        """Whether all output has been written and all our requests have final responses."""
        return self.flows.is_flushed() and self._dialogs.requests.is_settled()

    # ---- received messages and ended connections ----

    def datagram_received(self, flow: UdpFlow, data: bytes) -> bool:
        """Scan a datagram while the processor is overloaded; returns False if it still must be parsed."""
        if not self.admission.is_overloaded():
            return False
        if is_ack_to_stateless_response(data):
            self.counters.add("got_ACK")
            return True
        scan = scan_request(data)
        return scan is not None and self._process_scan(flow, scan)

    def message_received(self, flow: Flow, message: sip.SipMessage) -> None:
        """Process a message received by UDP or TCP: a response, or a request to dispatch."""
        self._count_received(message.method)
        if not message.method:
            if not self.client_transactions.response_received(message):
                self.counters.add("responses_unmatched")
            return
        try:
            head = RequestHead(message, flow.peer)
        except sip_parser.SipError as error:
            self.malformed_received(flow, error)
            return
        self.dispatcher.request_received(head, flow)

    def malformed_received(self, flow: Flow, error: sip_parser.SipError) -> None:
        """Count and log a malformed message; answer it if it is a request whose copied headers were parsed.

        The copied headers are Via, From, To, Call-ID and CSeq. An ACK is never answered.
        """
        self.counters.add("malformed_from_callers")
        partial = error.partial
        answered = (
            partial is not None
            and partial.method not in ("", "ACK")
            and all(partial.get(name) for name in ("via", "from", "to", "call-id", "cseq"))
        )
        self._context.call_manager.log(
            "malformed",
            side="caller",
            source=flow.peer[0],
            why=str(error),
            answer=error.status if answered else "-",
        )
        if partial is None or not answered:
            self.counters.add("malformed_unanswered")
            return
        address = _malformed_response_address(flow, partial)
        extra = ACCEPT_LINE if error.status in BODY_ERROR_STATUSES else ""
        has_tag = "tag" in sip.parameters(partial.get("to"))
        tag = "" if has_tag else self._context.new_token()
        data = format_response(error.status, copied_headers(partial), tag, extra)
        self._responder.respond_stateless(flow, address, data, error.status)

    def peer_disconnected(self, flow: SipConnection) -> None:
        """Notify the calls whose INVITE is unanswered on a connection that the peer has ended.

        No further attempt is made for these calls. The response after an attempt that is already under way is
        sent to the address from the Via (RFC 3261, 18.2.2).
        """
        for key in flow.unanswered:
            transaction = self.server_transactions.find(key)
            if transaction is not None and transaction.user is not None:
                transaction.user.disconnected()

    def flow_lost(self, flow: Flow) -> None:
        """Remove a connection that has ended or is drained, and resend our open requests on other flows."""
        self.flows.remove(flow)
        if isinstance(flow, SipConnection):
            self.peer_disconnected(flow)
        self.client_transactions.flow_lost(flow)

    def _process_scan(self, flow: UdpFlow, scan: RequestScan) -> bool:
        """Answer a retransmission or shed a new call from its scan; returns False for any other request."""
        address = scan.response_address(flow.peer)
        if self.server_transactions.absorb_scanned(scan.transaction_key, scan.method, flow, address):
            self._count_received(scan.method)
            return True
        if scan.method != "INVITE" or scan.in_dialog:
            return False
        rejection = self.admission.admit_scanned(flow.peer[0], scan)
        if rejection is None:
            return False
        self.counters.add("got_INVITE")
        self.counters.add(rejection.counter)
        data = scan.service_unavailable(flow.peer, self._context.new_token(), rejection.retry_after_s)
        self._responder.respond_stateless(flow, address, data, 503)
        return True

    def _count_received(self, method: str) -> None:
        kind = method if method in METHODS else "other" if method else "response"
        self.counters.add(f"got_{kind}")  # unknown methods share a counter: callers must not create counters

    def _response_flow(self, transaction: ServerTransaction) -> Flow:
        return self.flows.response_flow(transaction.flow, transaction.address)

    def _overload_feedback(self, transaction: ServerTransaction) -> str:
        return self.admission.feedback(transaction.source, transaction.overload_algorithms)


def _malformed_response_address(flow: Flow, partial: sip.SipMessage) -> TransportAddress:
    try:
        via = grammar.parse_via(partial.get_all("via")[0])
    except grammar.GrammarError:
        return flow.peer  # without a valid Via, the source is the only known address
    return flow.peer[0], flow.peer[1] if "rport" in via.parameters else via.port or DEFAULT_PORT
