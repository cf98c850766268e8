"""Socket addresses, as the other modules of this package write them."""

from __future__ import annotations

import socket

SocketAddress = tuple[str, int]  # a numeric host, IPv6 without brackets, and a port


def address_family(host: str) -> socket.AddressFamily:
    """The family of the socket for a numeric host: IPv6 where it has a colon."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET
