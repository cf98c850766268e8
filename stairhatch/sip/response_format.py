"""The format of responses: the headers copied from the request, and the bytes that are sent.

The text is concatenated directly instead of being built as a message object, to save time on every call.
"""

from __future__ import annotations

from stairhatch.node import sip_message as sip

# In the topmost Via of copied headers; replaced by overload feedback or removed.
OVERLOAD_PLACEHOLDER = "\x01"


def copied_headers(message: sip.SipMessage) -> str:
    """Return the header lines that every response copies from its request (RFC 3261, 8.2.6.2).

    To is the last one and has no line end, so that a tag can be appended.
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
    """Return headers as text lines, the `extra` of `format_response`."""
    return "".join(f"{sip.WRITTEN_NAMES.get(name) or name.title()}: {value}\r\n" for name, value in headers)


def format_response(status: int, copied: str, tag: str, extra: str = "", body: bytes = b"") -> bytes:
    """Return the bytes of a response.

    `copied` is the result of `copied_headers`. `tag` is the local tag, "" if To already has a tag or none is
    to be added. `extra` is header lines from `format_headers`.
    """
    reason = sip.REASON_PHRASES.get(status, "Unknown")
    if OVERLOAD_PLACEHOLDER in copied:
        copied = copied.replace(OVERLOAD_PLACEHOLDER, "")
    to_tag = f";tag={tag}" if tag else ""
    head = f"SIP/2.0 {status} {reason}\r\n{copied}{to_tag}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + body
