"""What the calls and dialogs of a frontend share: its context, transactions, flows and responder."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.sip.client_transactions import ClientTransactions
from stairhatch.sip.context import SipContext
from stairhatch.sip.flow_router import FlowRouter
from stairhatch.sip.responder import Responder
from stairhatch.sip.server_transactions import ServerTransactions


@dataclass(eq=False, slots=True, kw_only=True)
class UserAgent:
    """The layers below the transaction users (RFC 3261, section 5). One for a frontend."""

    context: SipContext
    flows: FlowRouter
    server_transactions: ServerTransactions
    client_transactions: ClientTransactions
    responder: Responder
