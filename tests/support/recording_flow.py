"""A SIP flow that records the messages sent on it."""

from __future__ import annotations

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.transport import Flow

from .in_process_node import InProcessNode
from .sip_messages import sip_headers


class RecordingFlow(Flow):
    """A flow of an in-process node; `sent` holds the parsed messages that the node has sent on it."""

    def __init__(self, node: InProcessNode, reliable: bool = False) -> None:
        self.node = node
        self.reliable = reliable
        self.peer = ("127.0.0.1", 4000)
        self.sent: list[sip.SipMessage] = []

    def send(self, data: bytes) -> None:
        """Parse a message and record it. Raises SipError if it can't be parsed."""
        self.sent.append(sip_parser.parse_datagram(data))

    def request(self, method: str = "INVITE", **change: str | None) -> sip.SipMessage:
        """Pass a plain request to the node's frontend, as if received on this flow.

        Keywords change headers, or leave them out (None); `number` and `branch` set CSeq number and branch.
        Returns the last message sent on the flow, or an empty one if there is none.
        """
        number = change.pop("number", "1")
        headers = sip_headers(method, number or "1", change.pop("branch", None) or f"z9hG4bK{method}{number}")
        headers.update({name.replace("_", "-"): value for name, value in change.items()})  # type: ignore[misc]
        uri = headers.pop("uri", "sip:7@net")
        lines = [(name, value) for name, value in headers.items() if value is not None]
        message = sip_parser.parse_datagram(sip.request(method, str(uri), lines, b""))
        self.node.frontend.message_received(self, message)
        return self.sent[-1] if self.sent else sip.SipMessage()

    def statuses(self, method: str = "INVITE") -> list[int]:
        """Return the statuses of the responses sent to a method, in order."""
        return [message.status for message in self.sent if message.status and message.cseq()[1] == method]

    def to_tag(self) -> str:
        """Return the To tag, which the node has chosen, in the message sent last."""
        return sip.parameters(self.sent[-1].get("to"))["tag"]
