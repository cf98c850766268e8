"""The networks from which a listener of the SIP frontend accepts messages."""

from __future__ import annotations

import ipaddress

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.sip.addresses import AllowedNetworks
from stairhatch.sip.config import SipListener
from stairhatch.sip.transport import MAX_OUTPUT_BYTES, SipConnection

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


@pytest.mark.parametrize(
    ("is_connected", "is_blocked", "is_cut"), [(True, False, False), (True, True, True), (False, False, True)]
)
def test_only_a_peer_that_does_not_read_is_cut_off(is_connected, is_blocked, is_cut):
    """Guards against a trunk that is cut off, with its set-ups, for the BYEs of one turn: those of all calls
    at a server that was lost. What waits for a peer that does not read, or for a dial, stays bounded.
    """
    connection, aborted = SipConnection(InProcessNode().frontend), []
    connection.abort = lambda: aborted.append(connection)
    if is_connected:
        connection.data_to_send()
    connection.writing = is_blocked
    bye = sip.request("BYE", "sip:7@net", list(sip_headers("BYE").items()))
    for _ in range(MAX_OUTPUT_BYTES // len(bye) + 1):
        connection.send(bye)
    assert bool(aborted) is is_cut
