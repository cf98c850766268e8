"""The socket address type of this package, and the address family of a host."""

from __future__ import annotations

import socket

SocketAddress = tuple[str, int]  # a numeric host, IPv6 without brackets, and a port


def address_family(host: str) -> socket.AddressFamily:
    """Return AF_INET6 for a numeric host that contains a colon, otherwise AF_INET."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET
