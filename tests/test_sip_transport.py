"""Who is heard at a listener of the SIP frontend."""

from __future__ import annotations

import ipaddress

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.sip.addresses import AllowedNetworks
from stairhatch.sip.config import SipListener

from .support.in_process_node import InProcessNode
from .support.sip_messages import sip_headers


@pytest.mark.parametrize(
    ("networks", "host", "heard"),
    [
        ([], "10.9.9.9", True), (["10.0.0.0/8"], "10.9.9.9", True), (["10.0.0.0/8"], "11.0.0.1", False),
        (["::1/128"], "::1", True), (["10.0.0.0/8"], "::ffff:10.1.1.1", True), (["10.0.0.0/8"], "name", False),  # noqa: E501
    ],
)  # fmt: skip
def test_a_listener_accepts_its_networks_alone(networks, host, heard):
    """Callers from elsewhere are shut out, those meant are not."""
    assert AllowedNetworks(tuple(ipaddress.ip_network(each) for each in networks)).allows(host) is heard


def test_a_denied_datagram_leaves_no_trace():
    """No work is done for a peer outside the listener's networks."""
    only = AllowedNetworks((ipaddress.ip_network("10.0.0.0/8"),))
    inside = InProcessNode(udp=(SipListener(("127.0.0.1", 1), only),))
    data = sip.request("OPTIONS", "sip:7@net", list(sip_headers("OPTIONS").items()))
    inside.front.flows.ports[0].receive(data, ("127.0.0.1", 4000))
    assert not inside.front.flows.ports[0].output
    assert inside.core.counters.counts == {"datagrams_denied": 1}
