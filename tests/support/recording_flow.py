"""A SIP flow that records what is sent on it."""

from __future__ import annotations

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.transport import Flow

from .in_process_node import InProcessNode
from .sip_messages import sip_headers


class RecordingFlow(Flow):
    """A flow of an in-process node that keeps the messages sent on it, parsed."""

    def __init__(self, node: InProcessNode, reliable: bool = False) -> None:
        self.node = node
        self.reliable = reliable
        self.peer = ("127.0.0.1", 4000)
        self.sent: list[sip.SipMessage] = []

    def send(self, data: bytes) -> None:
        """Record a message."""
        self.sent.append(sip_parser.parse_datagram(data))

    def request(self, method: str = "INVITE", **change: str | None) -> sip.SipMessage:
        """Have a plain request come on the flow, with some headers changed or left out (None).

        Returns the message sent last, or an empty one.
        """
        number = change.pop("number", "1")
        headers = sip_headers(method, number or "1", change.pop("branch", None) or f"z9hG4bK{method}{number}")
        headers.update({name.replace("_", "-"): value for name, value in change.items()})  # type: ignore[misc]
        uri = headers.pop("uri", "sip:7@net")
        lines = [(name, value) for name, value in headers.items() if value is not None]
        message = sip_parser.parse_datagram(sip.request(method, str(uri), lines, b""))
        self.node.front.message_received(self, message)
        return self.sent[-1] if self.sent else sip.SipMessage()

    def statuses(self, method: str = "INVITE") -> list[int]:
        """The statuses of the responses to a method, in order."""
        return [message.status for message in self.sent if message.status and message.cseq()[1] == method]

    def to_tag(self) -> str:
        """The program's tag in the message sent last."""
        return sip.parameters(self.sent[-1].get("to"))["tag"]
