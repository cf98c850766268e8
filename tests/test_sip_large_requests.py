"""Requests of the SIP frontend that are too large for UDP (RFC 3261, 18.1.1)."""

from __future__ import annotations

from stairhatch.node.server_responses import CallRelease

from .support.in_process_node import InProcessNode
from .support.recording_flow import RecordingFlow


def test_a_request_too_large_for_udp_is_sent_by_tcp_and_by_udp_if_tcp_fails():
    """A BYE that exceeds the size limit of UDP must not be lost if the peer accepts no TCP connection."""
    node, dialled = InProcessNode(), []
    node.frontend.flows.dial = dialled.append
    flow = RecordingFlow(node)
    routes = ", ".join(f"<sip:127.0.0.1:{4100 + n};lr;padding={'x' * 200}>" for n in range(8))
    flow.request(record_route=routes)
    node.establish()
    flow.request("ACK", to=f"<sip:7@net>;tag={flow.to_tag()}")
    attempt = node.written[0]
    node.call_manager.responses.call_released(attempt.server, attempt.call.request.ident, CallRelease(16))
    assert not node.frontend.flows.ports[0].output
    assert dialled[0].peer == ("127.0.0.1", 4100)
    assert dialled[0].data_to_send().startswith(b"BYE ")
    dialled[0].connection_lost()
    dialled[1].connection_lost()  # both attempts by TCP have failed
    assert flow.sent[-1].method == "BYE"
