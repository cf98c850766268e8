"""A caller's flow: one TCP connection or UDP port, with the parser of the bytes received on it."""

from __future__ import annotations

from collections.abc import Iterator

from stairhatch.conformance.environment import CallerTransport, ReceivedData
from stairhatch.conformance.inbox import ReceivedMessage
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

PONG = b"\r\n"  # RFC 5626, section 4.4.1


class CallerFlow:
    """A caller's flow under the name that the case gives it; counts the keep-alive replies on it."""

    def __init__(self, name: str, transport: CallerTransport) -> None:
        self.name = name
        self.transport = transport
        self.pongs = 0
        self._stream = sip_parser.StreamParser() if transport.transport == "tcp" else None

    def send(self, data: bytes, piece_bytes: int = 0) -> None:
        """Send a message; over TCP in pieces of `piece_bytes`, unless that is 0."""
        size = piece_bytes if piece_bytes and self._stream is not None else max(1, len(data))
        for start in range(0, len(data), size):
            self.transport.send(data[start : start + size])

    def receive(self) -> Iterator[ReceivedMessage]:
        """Yield the messages received since the last call. Raises SipError for one that can't be parsed."""
        for received in self.transport.receive():
            for message in self._parse(received):
                yield ReceivedMessage(received.received_at_s, self.name, message)

    def close(self) -> None:
        """Close the caller's transport."""
        self.transport.close()

    def _parse(self, received: ReceivedData) -> Iterator[sip.SipMessage]:
        data = received.data
        if self._stream is None:
            if data.strip():
                yield sip_parser.parse_datagram(data)
            return
        if data.startswith(PONG):
            self.pongs += 1
            data = data.lstrip(PONG)
        self._stream.feed(data)
        while (message := self._stream.next_message()) is not None:
            yield message
