"""Addresses, listeners and networks in the TOML file. Host names of listeners are rejected, not resolved."""

from __future__ import annotations

import ipaddress

from stairhatch.config.appliance.schema import Listeners, ListenerTable
from stairhatch.config.model import ConfigError
from stairhatch.node.address import AddressError, parse_address
from stairhatch.sip.addresses import AllowedNetworks, IpNetwork, TransportAddress, is_ip_address
from stairhatch.sip.config import SipListener


def address_at(path: str, text: str) -> TransportAddress:
    """Return the address in a key's value. Raises ConfigError with the key's path if it is malformed."""
    try:
        return parse_address(text)
    except AddressError as error:
        raise ConfigError(f"{path}: {error}") from error


def listeners_at(path: str, value: Listeners | None) -> tuple[SipListener, ...]:
    """Return the listeners in a key's value: none, one or a list, each as an address or a table.

    Raises ConfigError for a malformed address, a host name, an address that is listed twice, or a malformed
    network.
    """
    if value is None or value == "":
        return ()
    if not isinstance(value, list):
        return (_listener(path, value),)
    listeners: list[SipListener] = []
    for index, each in enumerate(value):
        listener = _listener(f"{path}[{index}]", each)
        if any(listener.address == other.address for other in listeners):
            address = each.address if isinstance(each, ListenerTable) else each
            raise ConfigError(f"{path}[{index}]: {address} is listed twice")
        listeners.append(listener)
    return tuple(listeners)


def _listener(path: str, value: str | ListenerTable) -> SipListener:
    table = value if isinstance(value, ListenerTable) else ListenerTable(value)
    address = address_at(path, table.address)
    if not is_ip_address(address[0]):
        raise ConfigError(f"{path}: {address[0]!r} is a host name; an IP address is required")
    networks = (_network(f"{path}.allow[{order}]", text) for order, text in enumerate(table.allow))
    return SipListener(address, AllowedNetworks(tuple(networks)))


def _network(path: str, text: str) -> IpNetwork:
    try:
        return ipaddress.ip_network(text, strict=False)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
