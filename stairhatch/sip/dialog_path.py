"""The path of a dialog's messages: the flow that its caller used last."""

from __future__ import annotations

from stairhatch.sip.flow_router import FlowRouter
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.transport import Flow


class DialogPath:
    """The flow of a dialog and the address of its responses.

    While the dialog is established it is counted on its flow, so that a drain does not end the connection.
    """

    __slots__ = ("_flows", "_is_counted", "address", "flow")

    def __init__(self, flows: FlowRouter, invite: ServerTransaction) -> None:
        """Begin with the flow of the INVITE."""
        self._flows = flows
        self._is_counted = False
        self.flow: Flow = invite.flow
        self.address = invite.address

    def send_response(self, data: bytes) -> None:
        """Send a response again, to where its request's Via says."""
        if not self.flow.alive:
            self.flow = self._flows.response_flow(self.flow, self.address)
        self.flow.send(data)

    def establish(self, invite: ServerTransaction) -> None:
        """The dialog is established; its path is that of the INVITE's 2xx."""
        self.flow = invite.flow
        self.address = invite.address
        self.flow.count_dialogs(1)
        self._is_counted = True

    def follow(self, flow: Flow) -> None:
        """A request of the established dialog has come by a flow: ours use it from now on."""
        if flow is self.flow or not self._is_counted:
            return
        self.flow.count_dialogs(-1)
        flow.count_dialogs(1)
        self.flow = flow
        if not flow.reliable:
            self.address = flow.peer

    def terminate(self) -> None:
        """The dialog is over."""
        if self._is_counted:
            self._is_counted = False
            self.flow.count_dialogs(-1)
