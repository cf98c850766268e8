"""What a case is played in, as the player sees it.

Two environments have this form: the program's protocols in process under a virtual clock, and a program on
this machine over sockets. What a case sends goes through both as bytes, and neither judges it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ReceivedData:
    """Bytes from the program, and when they came by the environment's clock, in seconds."""

    at_s: float
    data: bytes


class CallerTransport(Protocol):
    """A caller's end: one TCP connection, or one UDP port."""

    @property
    def host(self) -> str:
        """Its address as Via and Contact name it."""

    @property
    def transport(self) -> str:
        """Either "udp" or "tcp"."""

    def send(self, data: bytes) -> None:
        """Send bytes to the program: a datagram, or a piece of the stream."""

    def receive(self) -> list[ReceivedData]:
        """Return what has come since the last time."""

    def close(self) -> None:
        """End the caller's connection."""


class ConformanceEnvironment(Protocol):
    """The program under test and the clock that a case is played by."""

    def open(self, transport: str) -> CallerTransport:
        """Open a new transport for a caller."""

    def now(self) -> float:
        """Return the time in seconds."""

    def wait(self, seconds: float) -> None:
        """Wait for so long; in real time only until something comes."""

    def close(self) -> None:
        """Close whatever was opened."""
