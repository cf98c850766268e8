"""The text of responses: the headers that they copy from their request, and the bytes that are sent.

Text is joined by hand and not by way of a message object, since every call pays for it.
"""

from __future__ import annotations

from stairhatch.node import sip_message as sip

OVERLOAD_PLACEHOLDER = (
    "\x01"  # in the topmost Via of copied headers: the overload feedback, if any, goes here
)


def copied_headers(message: sip.SipMessage) -> str:
    """The header lines that every response copies from its request (RFC 3261, 8.2.6.2).

    To is last and without its line end, so that a tag can follow.
    """
    lines = []
    to = ""
    for name, value in message.headers:
        if name == "via":
            lines.append(f"Via: {value}\r\n")
        elif name == "to" and not to:
            to = f"To: {value}"
        elif name in ("from", "call-id", "cseq"):
            lines.append(f"{sip.WRITTEN_NAMES.get(name) or name.title()}: {value}\r\n")
    return "".join(lines) + to


def format_headers(headers: sip.Headers) -> str:
    """The header lines for `format_response`."""
    return "".join(f"{sip.WRITTEN_NAMES.get(name) or name.title()}: {value}\r\n" for name, value in headers)


def format_response(status: int, copied: str, tag: str, extra: str = "", body: bytes = b"") -> bytes:
    """The bytes of a response.

    `copied` is what `copied_headers` gave, `tag` the local tag if To has none yet, `extra` header lines.
    """
    reason = sip.REASON_PHRASES.get(status, "Unknown")
    if OVERLOAD_PLACEHOLDER in copied:
        copied = copied.replace(OVERLOAD_PLACEHOLDER, "")
    to_tag = f";tag={tag}" if tag else ""
    head = f"SIP/2.0 {status} {reason}\r\n{copied}{to_tag}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + body
