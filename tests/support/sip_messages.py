"""Requests of callers: headers for the SIP frontend, and bytes for the platform frontend."""

from __future__ import annotations

from stairhatch.node import sip_message as sip

CALL_KEY = "7f3a9c21e0b4d655"
PLATFORM_URI = f"sip:{CALL_KEY}@net"


def sip_headers(  # noqa: PLR0913  # one keyword for each part of the headers that tests vary
    method: str,
    number: str = "1",
    branch: str = "z9hG4bKa",
    call: str = "c1",
    host: str = "127.0.0.1:4000",
    transport: str = "UDP",
    to_tag: str = "",
) -> dict[str, str]:
    """Return the headers of a plain SIP request (RFC 3261)."""
    return {
        "via": f"SIP/2.0/{transport} {host};branch={branch};rport", "max-forwards": "70",
        "from": "<sip:office@net>;tag=f1", "to": "<sip:7@net>" + (f";tag={to_tag}" if to_tag else ""),
        "call-id": call, "cseq": f"{number} {method}",
        "contact": f"<sip:office@{host}{';transport=tcp' if transport == 'TCP' else ''}>",
    }  # fmt: skip


def platform_invite(
    ident: str,
    call_class: str = "read-roster",
    answer_within_ms: str = "3000",
    body: bytes = b"d",
    key: str = CALL_KEY,
    **headers: str,
) -> bytes:
    """Return the bytes of a set-up in the platform's format; `headers` add to or replace its headers."""
    fields = {
        "call-id": ident,
        "cseq": "1 INVITE",
        "call-kind": call_class,
        "answer-within": answer_within_ms,
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    return sip.request("INVITE", f"sip:{key}@net", list(fields.items()), body)
