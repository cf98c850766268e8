"""A SIP caller on a real TCP connection or UDP port."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

from .sip_messages import PLATFORM_URI
from .waiting import wait_until


class SipCaller:
    """A SIP caller that records every message it receives, with its time of receipt."""

    def __init__(self, address: tuple[str, int], udp: bool = False, ipv6: bool = False) -> None:
        self.udp = udp
        self.address = address
        if udp:
            self.sock = socket.socket(socket.AF_INET6 if ipv6 else socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.bind(("::1" if ipv6 else "127.0.0.1", 0))
            self.sock.connect(address)
        else:
            self.sock = socket.create_connection(address)
        name = self.sock.getsockname()
        self.host = f"[{name[0]}]:{name[1]}" if ipv6 else f"{name[0]}:{name[1]}"
        self.received: list[tuple[float, sip.SipMessage]] = []
        self.closed = False
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        parser = sip_parser.StreamParser()
        try:
            while data := self._recv():
                if self.udp:
                    self.received.append((time.monotonic(), sip_parser.parse_datagram(data)))
                    continue
                parser.feed(data)
                while (message := parser.next_message()) is not None:
                    self.received.append((time.monotonic(), message))
        except OSError:
            pass
        self.closed = True

    def _recv(self) -> bytes:
        """Return the next datagram, or the next bytes of the TCP stream.

        ICMP errors of a UDP port are ignored: they occur while the program restarts.
        """
        while True:
            try:
                return self.sock.recv(65536)
            except ConnectionRefusedError:
                if not self.udp:
                    raise

    def send(self, method: str, uri: str, headers: dict[str, str], body: bytes = b"") -> bytes:
        """Send a request and return its bytes, so that a test can retransmit it."""
        data = sip.request(method, uri, list(headers.items()), body)
        self.sock.sendall(data)
        return data

    def invite(
        self,
        ident: str,
        call_class: str = "read-roster",
        answer_within_ms: int = 9000,
        body: bytes = b"d",
        **headers: str,
    ) -> bytes:
        """Send an INVITE in the platform's format, with additional headers, and return its bytes."""
        fields = {
            "via": "SIP/2.0/TCP peer", "call-id": ident, "cseq": "1 INVITE", "call-kind": call_class,
            "answer-within": str(answer_within_ms), "routing-data": "dest:0;width:1;via:-1",
        }  # fmt: skip
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        return self.send("INVITE", PLATFORM_URI, fields, body)

    def messages(self, ident: str, status_or_method: int | str) -> list[sip.SipMessage]:
        """Return the received messages of one call with this response status or request method."""
        return [
            message
            for _, message in list(self.received)
            if message.get("call-id") == ident and status_or_method in (message.status, message.method)
        ]

    def final_statuses(self, ident: str) -> list[int]:
        """Return the statuses of the final responses to the INVITE of one call."""
        return [
            message.status
            for _, message in list(self.received)
            if message.get("call-id") == ident and message.status >= 200 and message.cseq()[1] == "INVITE"
        ]

    def expect(self, ident: str, status_or_method: int | str) -> sip.SipMessage:
        """Wait for a message of one call with this status or method, and return the first one."""
        return wait_until(lambda: self.messages(ident, status_or_method), f"{status_or_method} of {ident}")[0]

    def respond(self, request: sip.SipMessage, status: int) -> None:
        """Send a response to a request of the program."""
        self.sock.sendall(sip.response(status, sip.echoed(request)))

    def send_bytes(self, data: bytes) -> None:
        """Send raw bytes; errors of an ended connection are ignored."""
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def close(self) -> None:
        """Shut down and close the socket."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
