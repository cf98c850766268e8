"""Transport addresses, and the networks whose messages a listener accepts."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

TransportAddress = tuple[str, int]  # IP address and port

IpNetwork = ipaddress.IPv4Network | ipaddress.IPv6Network


def is_ip_address(host: str) -> bool:
    """Whether a host is an IP address, and not a host name.

    Host names are never looked up, as a look-up would delay all calls.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def is_ipv6(host: str) -> bool:
    """Whether an IP address, given as text, is an IPv6 address."""
    return ":" in host


@dataclass(frozen=True, slots=True)
class AllowedNetworks:
    """The networks whose messages a listener accepts; if the list is empty, it accepts all."""

    networks: tuple[IpNetwork, ...] = ()

    def allows(self, host: str) -> bool:
        """Whether messages from an IP address are accepted.

        An IPv4-mapped IPv6 address is compared with IPv4 and IPv6 networks. A host name is not accepted if
        any networks are listed.
        """
        if not self.networks:
            return True
        try:
            address = ipaddress.ip_address(host.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(address, "ipv4_mapped", None)
        return any(
            each is not None and each.version == network.version and each in network
            for network in self.networks
            for each in (address, mapped)
        )
