"""Text form of network addresses: `host:port`, with IPv6 in brackets (RFC 3986, section 3.2.2)."""

from __future__ import annotations

MAX_PORT = 65535


class AddressError(ValueError):
    """Error: a text is not a valid `host:port` address."""


def parse_address(text: object) -> tuple[str, int]:
    """Return host and port; a host name is not resolved. Raises AddressError if the text is malformed."""
    host, _, port = str(text).rpartition(":")
    if ":" in host:
        host = host[1:-1] if host[0] == "[" and host[-1] == "]" else ""
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(f"{text!r} is no address")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return `host:port` for an address, with an IPv6 host in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
