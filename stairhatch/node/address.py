"""Network addresses as text: `host:port`, with IPv6 in brackets (RFC 3986, 3.2.2)."""

from __future__ import annotations

MAX_PORT = 65535


class AddressError(ValueError):
    """Text that is no address."""


def parse_address(text: object) -> tuple[str, int]:
    """Return host and port. A name is taken as it is. Raises AddressError."""
    host, _, port = str(text).rpartition(":")
    if ":" in host:
        host = host[1:-1] if host[0] == "[" and host[-1] == "]" else ""
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(f"{text!r} is no address")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return the text of an address."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
