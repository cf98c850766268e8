"""The interface of the environment in which the player plays a case.

Two environments implement it: the program's protocols in process under a virtual clock (`in_process`), and a
program on this machine over sockets (`sockets`). Both pass on the bytes that a case sends without checking
them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ReceivedData:
    """Bytes from the program, with the time of their receipt by the environment's clock, in seconds."""

    received_at_s: float
    data: bytes


class CallerTransport(Protocol):
    """The caller's end of a flow: one TCP connection or one UDP port."""

    @property
    def host(self) -> str:
        """The caller's address as written in Via and Contact, `host:port`."""

    @property
    def transport(self) -> str:
        """The transport protocol, "udp" or "tcp"."""

    def send(self, data: bytes) -> None:
        """Send bytes to the program: one datagram over UDP, a part of the stream over TCP."""

    def receive(self) -> list[ReceivedData]:
        """Return the data received since the last call, in order."""

    def close(self) -> None:
        """Close the caller's connection or port."""


class ConformanceEnvironment(Protocol):
    """The program under test and the clock for a case; the player closes it after the case."""

    def open(self, transport: str) -> CallerTransport:
        """Return a new transport for a caller, "udp" or "tcp"."""

    def now(self) -> float:
        """Return the time in seconds, by a monotonic clock."""

    def wait(self, seconds: float) -> None:
        """Wait for a time; in real time, end the wait early at the receipt of data."""

    def close(self) -> None:
        """Close all transports."""
