"""The scan of a datagram that replaces a parse while the processor is overloaded."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.request_scan import scan_request

from .support.hypothesis_profile import BOUNDED
from .support.sip_messages import sip_headers


@BOUNDED
@given(
    st.sampled_from(["INVITE", "BYE", "ACK", "CANCEL", "OPTIONS"]),
    st.sampled_from(["127.0.0.1:4000", "office.example:5099", "10.2.3.4", "[::1]:4000", "host:99999"]),
    st.sampled_from([";rport", "", ";rport;x=y"]),
    st.booleans(),
    st.binary(max_size=40),
)
def test_a_scan_returns_the_same_values_as_a_parse(method, host, rport, has_tag, body):
    """A different key would make a retransmission a new call, or a new call a retransmission."""
    lines = sip_headers(method, "1", "z9hG4bKscan", to_tag="t" if has_tag else "")
    lines["via"] = f"SIP/2.0/UDP {host};branch=z9hG4bKscan{rport}"
    data = sip.request(method, "sip:712@net", list(lines.items()), body)
    scan, head = scan_request(data), RequestHead(sip_parser.parse_datagram(data), ("127.0.0.1", 4000))
    if scan is not None:
        assert (scan.method, scan.user, scan.transaction_key) == (method, "712", head.transaction_key)
        assert scan.in_dialog is bool(head.to_tag)
        assert scan.response_address(("127.0.0.1", 4000)) == head.response_address(("127.0.0.1", 4000), False)
        response = sip_parser.parse_datagram(scan.service_unavailable(("127.0.0.1", 4000), "mine", 3))
        assert response.status == 503
        assert response.get("retry-after") == "3"
        for name in ("call-id", "cseq", "from"):
            assert response.get(name) == lines[name]
    else:
        assert rport == ";rport;x=y"


@BOUNDED
@given(st.binary(max_size=300))
def test_a_scan_raises_no_exception_for_any_datagram(data):
    """An exception here would stop the program before the parser could reject the datagram."""
    scan_request(data)
    scan_request(b"INVITE sip:7@net SIP/2.0\r\n" + data + b"\r\n\r\n")


@pytest.mark.parametrize(
    "line", ["Via: SIP/2.0/UDP h;branch=z9hG4bKq\r\n ;rport", "To: <sip:7@net>", "v : SIP/2.0/UDP h"]
)
def test_unusual_notation_is_left_to_the_parser(line):
    """A scan could misread a folded Via, a second To, or a space before the colon of a header."""
    lines = sip_headers("INVITE")
    data = sip.request("INVITE", "sip:7@net", list(lines.items()))
    first, _, rest = data.partition(b"\r\n")
    assert scan_request(data) is not None
    assert scan_request(first + b"\r\n" + line.encode() + b"\r\n" + rest) is None
