"""The networks from which a listener of the SIP frontend accepts messages."""

from __future__ import annotations

import ipaddress

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.sip.addresses import AllowedNetworks
from stairhatch.sip.config import SipListener

from .support.in_process_node import InProcessNode
from .support.sip_messages import sip_headers


@pytest.mark.parametrize(
    ("networks", "host", "allowed"),
    [
        ([], "10.9.9.9", True), (["10.0.0.0/8"], "10.9.9.9", True), (["10.0.0.0/8"], "11.0.0.1", False),
        (["::1/128"], "::1", True), (["10.0.0.0/8"], "::ffff:10.1.1.1", True), (["10.0.0.0/8"], "name", False),  # noqa: E501
    ],
)  # fmt: skip
def test_a_listener_accepts_only_its_networks(networks, host, allowed):
    """Peers outside the listed networks are refused; peers inside them are accepted."""
    assert AllowedNetworks(tuple(ipaddress.ip_network(each) for each in networks)).allows(host) is allowed


def test_a_denied_datagram_leaves_no_trace():
    """A datagram from outside the listener's networks is counted, but neither processed nor answered."""
    networks = AllowedNetworks((ipaddress.ip_network("10.0.0.0/8"),))
    node = InProcessNode(udp=(SipListener(("127.0.0.1", 1), networks),))
    data = sip.request("OPTIONS", "sip:7@net", list(sip_headers("OPTIONS").items()))
    node.frontend.flows.ports[0].receive(data, ("127.0.0.1", 4000))
    assert not node.frontend.flows.ports[0].output
    assert node.call_manager.counters.counts == {"datagrams_denied": 1}
