"""UDP ports: datagrams in and out, and how long the first of each reading lay in the socket.

uvloop 0.23 has no sock_recvfrom_into and no sock_sendto (both raise NotImplementedError), so the sockets are
watched and read here, each into one buffer of the pool.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from stairhatch.node.io.addresses import SocketAddress, address_family
from stairhatch.node.io.background import LoadMonitor
from stairhatch.node.io.connection_runner import ConnectionRunner

SO_TIMESTAMPNS = 35  # Linux: the kernel notes when each datagram came; elsewhere no delay is reported
TIMESPEC = struct.Struct("@qq")  # seconds and nanoseconds of Unix time
ANCILLARY_BYTES = 64  # room for that note
MAX_REPORTED_DELAY_S = 5.0  # a clock that was set makes no delay longer
DATAGRAMS_PER_TURN = 64  # then others have their turn


class DatagramProtocol(Protocol):
    """The sans-I/O side of a UDP port: is fed datagrams, and queues those that are to be sent."""

    output: deque[tuple[bytes, SocketAddress]]
    notify_writable: Callable[[], None]  # there is output; set by the driver

    def receive(self, data: bytes, peer: SocketAddress) -> None:
        """Take one datagram."""


class DatagramPort:
    """One bound UDP socket and its protocol."""

    def __init__(
        self,
        address: SocketAddress,
        protocol: DatagramProtocol,
        runner: ConnectionRunner,
        monitor: LoadMonitor,
    ) -> None:
        """Bind a port and read it from now on. Raises OSError where it can't be bound."""
        self._protocol = protocol
        self._core = runner.core
        self._loop = runner.loop
        self._monitor = monitor
        self.sock = socket.socket(address_family(address[0]), socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if self.sock.family == socket.AF_INET6:
            self.sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        self.sock.bind(address)
        self._buffer = runner.buffer_pool.acquire()
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self._loop.add_reader(self.sock, self.read)
        protocol.notify_writable = self.send

    def read(self, _events: int = 0) -> int:
        """Give the protocol the datagrams that have come; returns how many bytes they were."""
        total = 0
        for turn in range(DATAGRAMS_PER_TURN):
            try:
                if turn or self._monitor.observer is None:
                    size, peer = self.sock.recvfrom_into(self._buffer)
                else:  # the first has waited longest
                    size, notes, _, peer = self.sock.recvmsg_into([self._buffer], ANCILLARY_BYTES)
                    self._report_delay(notes)
            except BlockingIOError:
                break
            except OSError:
                continue  # an earlier datagram came back as unreachable
            total += size
            self._protocol.receive(bytes(memoryview(self._buffer)[:size]), (peer[0], peer[1]))
        return total

    def _report_delay(self, notes: list[tuple[int, int, bytes]]) -> None:
        """Report how long a datagram lay in the socket."""
        observer = self._monitor.observer
        for level, kind, data in notes:
            if (
                level == socket.SOL_SOCKET
                and kind == SO_TIMESTAMPNS
                and len(data) >= TIMESPEC.size
                and observer
            ):
                seconds, nanoseconds = TIMESPEC.unpack_from(data)
                delay_s = time.time() - seconds - nanoseconds * 1e-9
                observer(min(MAX_REPORTED_DELAY_S, max(0.0, delay_s)))

    def send(self) -> None:
        """Send the protocol's output, until it is empty or the socket takes no more for now."""
        output = self._protocol.output
        while output:
            data, peer = output[0]
            try:
                self.sock.sendto(data, peer)
            except BlockingIOError:
                self._loop.add_writer(self.sock, self._resume_sending)
                return
            except OSError:
                self._core.counters.add("datagrams_unsent")
            output.popleft()

    def _resume_sending(self) -> None:
        self._loop.remove_writer(self.sock)
        self.send()
