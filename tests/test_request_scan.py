"""A scan of a datagram in place of a parse, while the processor is overloaded."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.request_scan import scan_request

from .support.sip_messages import sip_headers

BOUNDED = settings(
    derandomize=True, max_examples=150, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip


@BOUNDED
@given(
    st.sampled_from(["INVITE", "BYE", "ACK", "CANCEL", "OPTIONS"]),
    st.sampled_from(["127.0.0.1:4000", "office.example:5099", "10.2.3.4", "[::1]:4000", "host:99999"]),
    st.sampled_from([";rport", "", ";rport;x=y"]),
    st.booleans(),
    st.binary(max_size=40),
)
def test_a_scan_finds_what_a_parse_would(method, host, rport, tag, body):
    """A retransmission is not taken for a new call, nor a new call for a retransmission, where the parser
    would know.
    """
    lines = sip_headers(method, "1", "z9hG4bKlook", to_tag="t" if tag else "")
    lines["via"] = f"SIP/2.0/UDP {host};branch=z9hG4bKlook{rport}"
    data = sip.request(method, "sip:712@net", list(lines.items()), body)
    seen, head = scan_request(data), RequestHead(sip_parser.parse_datagram(data), ("127.0.0.1", 4000))
    if seen is not None:
        assert (seen.method, seen.user, seen.transaction_key) == (method, "712", head.transaction_key)
        assert seen.in_dialog is bool(head.to_tag)
        assert seen.response_address(("127.0.0.1", 4000)) == head.response_address(("127.0.0.1", 4000), False)
        answer = sip_parser.parse_datagram(seen.service_unavailable(("127.0.0.1", 4000), "mine", 3))
        assert answer.status == 503
        assert answer.get("retry-after") == "3"
        for name in ("call-id", "cseq", "from"):
            assert answer.get(name) == lines[name]
    else:
        assert rport == ";rport;x=y"


@BOUNDED
@given(st.binary(max_size=300))
def test_a_scan_of_arbitrary_bytes_raises_nothing(data):
    """No datagram stops the program before it is parsed."""
    scan_request(data)
    scan_request(b"INVITE sip:7@net SIP/2.0\r\n" + data + b"\r\n\r\n")


@pytest.mark.parametrize(
    "line", ["Via: SIP/2.0/UDP h;branch=z9hG4bKq\r\n ;rport", "To: <sip:7@net>", "v : SIP/2.0/UDP h"]
)
def test_unusual_forms_are_left_to_the_parser(line):
    """The scan does not misread a folded Via, a second To or an odd name."""
    lines = sip_headers("INVITE")
    data = sip.request("INVITE", "sip:7@net", list(lines.items()))
    first, _, rest = data.partition(b"\r\n")
    assert scan_request(data) is not None
    assert scan_request(first + b"\r\n" + line.encode() + b"\r\n" + rest) is None
