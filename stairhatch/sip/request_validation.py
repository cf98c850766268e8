"""Checks of a request that precede the processing of its method (RFC 3261, 8.2.1 to 8.2.3)."""

from __future__ import annotations

from stairhatch.sip import grammar
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.responder import ALLOW, EXTENSIONS, METHODS, SUPPORTED

UNSUPPORTED_URI_SCHEME = RequestRejection(416)


def validate_request(head: RequestHead) -> RequestRejection | None:
    """Return the rejection of an unacceptable request, or None if the request is acceptable."""
    return _validate_uri(head.message.uri) or _validate_headers(head)


def _validate_uri(text: str) -> RequestRejection | None:
    try:
        scheme = grammar.parse_uri(text).scheme
    except grammar.UnknownSchemeError:
        return UNSUPPORTED_URI_SCHEME
    except grammar.GrammarError:
        return RequestRejection(400)
    return UNSUPPORTED_URI_SCHEME if scheme == "sips" else None  # TLS is not supported (RFC 5630, 4.1.1)


def _validate_headers(head: RequestHead) -> RequestRejection | None:
    if head.method not in METHODS:
        return RequestRejection(405, headers=(ALLOW,))
    if head.method != "CANCEL" and "require" in head.names:
        required = filter(None, head.message.get_all("require"))  # an empty header requires nothing
        unknown = [option for option in required if option.lower() not in EXTENSIONS]
        if unknown:
            return RequestRejection(420, headers=(("unsupported", ", ".join(unknown)), SUPPORTED))
    if head.max_forwards == 0 and head.method != "CANCEL":
        return RequestRejection(483)
    return None
