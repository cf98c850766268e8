"""The path of a dialog's messages: the flow of the caller's latest request."""

from __future__ import annotations

from stairhatch.sip.flow_router import FlowRouter
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.transport import Flow


class DialogPath:
    """The path of a dialog: the flow of its messages and the address of its responses.

    The flow counts its established dialogs, so that a drain does not end a connection that has any.
    """

    __slots__ = ("_flows", "_is_counted", "address", "flow")

    def __init__(self, flows: FlowRouter, invite: ServerTransaction) -> None:
        """Create a path that uses the flow and response address of the INVITE."""
        self._flows = flows
        self._is_counted = False
        self.flow: Flow = invite.flow
        self.address = invite.address

    def send_response(self, data: bytes) -> None:
        """Retransmit a response; if its flow has ended, on a connection to the address from the Via."""
        if not self.flow.alive:
            self.flow = self._flows.response_flow(self.flow, self.address)
        self.flow.send(data)

    def establish(self, invite: ServerTransaction) -> None:
        """Use the path of the INVITE's 2xx for the dialog, and count the dialog on its flow."""
        self.flow = invite.flow
        self.address = invite.address
        self.flow.count_dialogs(1)
        self._is_counted = True

    def follow(self, flow: Flow) -> None:
        """Switch an established dialog to the flow of the caller's latest request, also for our requests."""
        if flow is self.flow or not self._is_counted:
            return
        self.flow.count_dialogs(-1)
        flow.count_dialogs(1)
        self.flow = flow
        if not flow.reliable:
            self.address = flow.peer

    def terminate(self) -> None:
        """Stop counting the dialog, which has ended, on its flow."""
        if self._is_counted:
            self._is_counted = False
            self.flow.count_dialogs(-1)
