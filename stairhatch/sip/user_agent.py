"""The user agent: the layers that the calls and dialogs of a frontend share."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.sip.client_transactions import ClientTransactions
from stairhatch.sip.context import SipContext
from stairhatch.sip.flow_router import FlowRouter
from stairhatch.sip.responder import Responder
from stairhatch.sip.server_transactions import ServerTransactions


@dataclass(eq=False, slots=True, kw_only=True)
class UserAgent:
    """The layers of one frontend below its transaction users (RFC 3261, section 5)."""

    context: SipContext
    flows: FlowRouter
    server_transactions: ServerTransactions
    client_transactions: ClientTransactions
    responder: Responder
