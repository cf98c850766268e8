"""A scan of a datagram in place of a parse, while the processor is overloaded."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.request_scan import scan_request

from .support.sip_layers import BOUNDED
from .support.sip_messages import sip_headers


@BOUNDED
@given(
    st.sampled_from(["INVITE", "BYE", "ACK", "CANCEL", "OPTIONS"]),
    st.sampled_from(["127.0.0.1:4000", "office.example:5099", "10.2.3.4", "[::1]:4000", "host:99999"]),
    st.sampled_from([";rport", "", ";rport;x=y"]),
    st.booleans(),
    st.binary(max_size=40),
)
def test_a_scan_returns_what_a_parse_would(method, host, rport, tag, body):
    """Otherwise a retransmission is taken for a new call, or a new call for a retransmission."""
    lines = sip_headers(method, "1", "z9hG4bKscan", to_tag="t" if tag else "")
    lines["via"] = f"SIP/2.0/UDP {host};branch=z9hG4bKscan{rport}"
    data = sip.request(method, "sip:712@net", list(lines.items()), body)
    scan, head = scan_request(data), RequestHead(sip_parser.parse_datagram(data), ("127.0.0.1", 4000))
    if scan is not None:
        assert (scan.method, scan.user, scan.transaction_key) == (method, "712", head.transaction_key)
        assert scan.in_dialog is bool(head.to_tag)
        assert scan.response_address(("127.0.0.1", 4000)) == head.response_address(("127.0.0.1", 4000), False)
        answer = sip_parser.parse_datagram(scan.service_unavailable(("127.0.0.1", 4000), "mine", 3))
        assert answer.status == 503
        assert answer.get("retry-after") == "3"
        for name in ("call-id", "cseq", "from"):
            assert answer.get(name) == lines[name]
    else:
        assert rport == ";rport;x=y"


@BOUNDED
@given(st.binary(max_size=300))
def test_no_datagram_makes_a_scan_fail(data):
    """It must not stop the program before it is parsed."""
    scan_request(data)
    scan_request(b"INVITE sip:7@net SIP/2.0\r\n" + data + b"\r\n\r\n")


@pytest.mark.parametrize(
    "line", ["Via: SIP/2.0/UDP h;branch=z9hG4bKq\r\n ;rport", "To: <sip:7@net>", "v : SIP/2.0/UDP h"]
)
def test_unusual_notation_is_left_to_the_parser(line):
    """A folded Via, two To or an odd name could be read otherwise by a scan."""
    lines = sip_headers("INVITE")
    data = sip.request("INVITE", "sip:7@net", list(lines.items()))
    first, _, rest = data.partition(b"\r\n")
    assert scan_request(data) is not None
    assert scan_request(first + b"\r\n" + line.encode() + b"\r\n" + rest) is None
