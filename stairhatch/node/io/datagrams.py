"""UDP ports: receive and send datagrams, and measure how long they wait in the socket buffer.

The delay is measured for the first datagram of each read. uvloop 0.23 implements neither sock_recvfrom_into
nor sock_sendto (both raise NotImplementedError), so this module registers the sockets with the loop and
reads them itself, each into one buffer of the pool.
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

SO_TIMESTAMPNS = 35  # Linux: the kernel timestamps each datagram; other systems report no delay
TIMESPEC = struct.Struct("@qq")  # seconds and nanoseconds of Unix time
ANCILLARY_BYTES = 64  # space for the kernel's timestamp
MAX_REPORTED_DELAY_S = 5.0  # limits the effect of a step of the system clock
DATAGRAMS_PER_TURN = 64  # further ones wait one turn of the loop, so that others are served


class DatagramProtocol(Protocol):
    """The sans-I/O protocol of a UDP port: receives datagrams and queues the datagrams to send."""

    output: deque[tuple[bytes, SocketAddress]]
    notify_writable: Callable[[], None]  # set by the port; the protocol calls it after adding output

    def receive(self, data: bytes, peer: SocketAddress) -> None:
        """Process one datagram received from `peer`."""


class DatagramPort:
    """A bound UDP socket that transfers datagrams for one protocol."""

    def __init__(
        self,
        address: SocketAddress,
        protocol: DatagramProtocol,
        runner: ConnectionRunner,
        monitor: LoadMonitor,
    ) -> None:
        """Bind a UDP port and start reading it. Raises OSError if the address cannot be bound."""
        self._protocol = protocol
        self._call_manager = runner.call_manager
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
        """Pass up to 64 received datagrams to the protocol; return their total size in bytes."""
        total = 0
        for turn in range(DATAGRAMS_PER_TURN):
            try:
                if turn or self._monitor.observer is None:
                    size, peer = self.sock.recvfrom_into(self._buffer)
                else:  # the first datagram has waited longest
                    size, ancillary, _, peer = self.sock.recvmsg_into([self._buffer], ANCILLARY_BYTES)
                    self._report_delay(ancillary)
            except BlockingIOError:
                break
            except OSError:
                continue  # ICMP reported an earlier datagram as undeliverable
            total += size
            self._protocol.receive(bytes(memoryview(self._buffer)[:size]), (peer[0], peer[1]))
        return total

    def _report_delay(self, ancillary: list[tuple[int, int, bytes]]) -> None:
        """Report how long a datagram waited in the socket buffer, according to its kernel timestamp."""
        observer = self._monitor.observer
        for level, kind, data in ancillary:
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
        """Send the queued datagrams until the queue is empty or the socket buffer is full.

        When the buffer is full, sending resumes once the socket is writable. A datagram that cannot be sent
        is dropped and counted (`datagrams_unsent`).
        """
        output = self._protocol.output
        while output:
            data, peer = output[0]
            try:
                self.sock.sendto(data, peer)
            except BlockingIOError:
                self._loop.add_writer(self.sock, self._resume_sending)
                return
            except OSError:
                self._call_manager.counters.add("datagrams_unsent")
            output.popleft()

    def _resume_sending(self) -> None:
        self._loop.remove_writer(self.sock)
        self.send()
