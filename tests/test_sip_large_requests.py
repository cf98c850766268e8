"""Requests of the SIP frontend that are too large for UDP (RFC 3261, 18.1.1)."""

from __future__ import annotations

from .support.in_process_node import InProcessNode
from .support.recording_flow import RecordingFlow


def test_a_request_too_large_for_udp_goes_by_tcp_and_by_udp_if_nobody_listens():
    """Guards against a BYE that is lost because it does not fit (RFC 3261, 18.1.1)."""
    inside, dialled = InProcessNode(), []
    inside.front.flows.dial = dialled.append
    line = RecordingFlow(inside)
    routes = ", ".join(f"<sip:127.0.0.1:{4100 + n};lr;padding={'x' * 200}>" for n in range(8))
    line.request(record_route=routes)
    inside.establish()
    line.request("ACK", to=f"<sip:7@net>;tag={line.to_tag()}")
    attempt = inside.written[0]
    inside.core.responses.call_released(
        attempt.server, attempt.call.request.ident, 16, "", inside.empty_report()
    )
    assert not inside.front.flows.ports[0].output
    assert dialled[0].peer == ("127.0.0.1", 4100)
    assert dialled[0].data_to_send().startswith(b"BYE ")
    dialled[0].connection_lost()
    dialled[1].connection_lost()  # tried twice in vain
    assert line.sent[-1].method == "BYE"
