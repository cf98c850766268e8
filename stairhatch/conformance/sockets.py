"""Plays cases over sockets in real time, against a program that listens on this machine."""

from __future__ import annotations

import ipaddress
import select
import socket
import time
from dataclasses import dataclass

from stairhatch.conformance.environment import ReceivedData
from stairhatch.emulators.ports import Address
from stairhatch.node.address import format_address

CONNECT_TIMEOUT_S = 5.0
READ_BYTES = 65536


@dataclass(frozen=True, slots=True, kw_only=True)
class SocketTarget:
    """The addresses of the program under test. Raises ValueError for one that is not a loopback address."""

    udp: Address | None
    tcp: Address | None
    requires_authentication: bool = False  # the program challenges its callers

    def __post_init__(self) -> None:
        for address in (self.udp, self.tcp):
            if address is not None and not ipaddress.ip_address(address[0]).is_loopback:
                raise ValueError(f"{address[0]} is not a loopback address")

    def address(self, transport: str) -> Address | None:
        """Return the program's address for a transport, None if it was not given."""
        return self.tcp if transport == "tcp" else self.udp


class SocketTransport:
    """The caller's end of a flow as a socket (`CallerTransport`). Raises OSError if it can't connect."""

    def __init__(self, transport: str, address: Address) -> None:
        self.transport = transport
        if transport == "udp":
            is_v6 = ":" in address[0]
            self.socket = socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET, socket.SOCK_DGRAM)
            self.socket.bind(("::1" if is_v6 else "127.0.0.1", 0))
            self.socket.connect(address)
        else:
            self.socket = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.socket.setblocking(False)
        host, port, *_ = self.socket.getsockname()
        self.host = format_address((host, port))
        self.is_open = True

    def send(self, data: bytes) -> None:
        """Send bytes to the program, blocking until all are queued; an error ends the transport."""
        try:
            self.socket.setblocking(True)
            self.socket.sendall(data)
        except OSError:
            self.is_open = False
        finally:
            self.socket.setblocking(False)

    def receive(self) -> list[ReceivedData]:
        """Return the data received since the last call.

        The peer's close and any error other than a refused datagram end the transport.
        """
        received = []
        while self.is_open:
            try:
                data = self.socket.recv(READ_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                break
            except OSError:
                self.is_open = False
                break
            if not data and self.transport == "tcp":
                self.is_open = False
                break
            received.append(ReceivedData(time.monotonic(), data))
        return received

    def close(self) -> None:
        """Close the caller's socket."""
        self.is_open = False
        self.socket.close()


class SocketEnvironment:
    """A program that listens on this machine, tested in real time; implements `ConformanceEnvironment`."""

    def __init__(self, target: SocketTarget) -> None:
        self._target = target
        self._transports: list[SocketTransport] = []

    def open(self, transport: str) -> SocketTransport:
        """Return a new transport for a caller, "udp" or "tcp".

        Raises ValueError if the target has no address for it, and OSError if the connection fails.
        """
        address = self._target.address(transport)
        if address is None:
            raise ValueError(f"the target has no {transport} address")
        opened = SocketTransport(transport, address)
        self._transports.append(opened)
        return opened

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wait(self, seconds: float) -> None:
        """Wait for a time, or until data arrives on an open transport."""
        sockets = [transport.socket for transport in self._transports if transport.is_open]
        if sockets:
            select.select(sockets, [], [], seconds)
        else:
            time.sleep(seconds)

    def close(self) -> None:
        """Close all sockets."""
        for transport in self._transports:
            transport.close()
