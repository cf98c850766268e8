"""What is wrong with a request before its method counts (RFC 3261, 8.2.1 to 8.2.3)."""

from __future__ import annotations

from stairhatch.sip import grammar
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.responder import ALLOW, EXTENSIONS, METHODS, SUPPORTED

UNSUPPORTED_URI_SCHEME = RequestRejection(416)


def validate_request(head: RequestHead) -> RequestRejection | None:
    """How an unacceptable request is rejected; None for an acceptable one."""
    return _validate_uri(head.message.uri) or _validate_headers(head)


def _validate_uri(text: str) -> RequestRejection | None:
    try:
        scheme = grammar.parse_uri(text).scheme
    except grammar.UnknownSchemeError:
        return UNSUPPORTED_URI_SCHEME
    except grammar.GrammarError:
        return RequestRejection(400)
    return UNSUPPORTED_URI_SCHEME if scheme == "sips" else None  # there is no TLS here (RFC 5630, 4.1.1)


def _validate_headers(head: RequestHead) -> RequestRejection | None:
    if head.method not in METHODS:
        return RequestRejection(405, headers=(ALLOW,))
    if head.method != "CANCEL" and "require" in head.names:
        unknown = [each for each in head.message.get_all("require") if each.lower() not in EXTENSIONS]
        if unknown:
            return RequestRejection(420, headers=(("unsupported", ", ".join(unknown)), SUPPORTED))
    if head.max_forwards == 0 and head.method != "CANCEL":
        return RequestRejection(483)
    return None
