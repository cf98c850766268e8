"""Validation of the requests of the platform's callers (thin SIP), and conversion of an INVITE to a set-up.

The module keeps no state and sends no response. `UnusableRequestError` reports a request that is malformed or
that no roster server could parse, with the status code of the response.
"""

from __future__ import annotations

import re
from functools import lru_cache

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallRequest
from stairhatch.node.server_messages import exceeds_line_limit

ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS, NOTIFY"
METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY")
METHODS_WITHOUT_CALL = ("OPTIONS", "NOTIFY", "ACK")  # no Call-ID required
SINGLE_HEADERS = frozenset(("call-id", "call-kind", "answer-within", "cseq", "routing-data"))
USED_HEADERS = SINGLE_HEADERS | {"content-length", "repeat-mark", "reason", *sip.ECHOED_HEADERS}
CALL_ID = re.compile(r"[0-9a-fA-F]{16}\Z")  # the call id, as used by callers and servers
ANSWER_WITHIN_MS = re.compile(r"[0-9]{1,8}\Z")
DECIMAL_NUMBER = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")
MAX_ROUTING_DATA = 200  # characters
ROUTING_RANGES = {"dest": (-1, 65535), "width": (1, 1024), "via": (-1, 65535), "again": (0, 1)}
TIMEOUT_SLACK = 1.5  # maximum ratio of Answer-Within to the class's deadline; no caller waits longer


class UnusableRequestError(ValueError):
    """Error: a request is malformed or unusable; `status` is the status code of the response."""

    def __init__(self, status: int) -> None:
        """Create the error for a response with the given status code."""
        super().__init__(f"unusable request: response status {status}")
        self.status = status


@lru_cache(maxsize=64)  # few values are in use, each in thousands of set-ups
def preferred_server_number(routing_data: str) -> int:
    """Return the number of the preferred server in a Routing-Data header; -1 if it contains none.

    A piece `name:value` with a name that is not in ROUTING_RANGES is ignored.

    Raises:
        ValueError: the header is too long, a piece has no name and colon, or a value with one of the names is
            not a number or out of range.
    """
    preferred = -1
    if len(routing_data) > MAX_ROUTING_DATA:
        raise ValueError("Routing-Data is too long")
    for piece in filter(None, routing_data.split(";")):
        name, colon, value = (part.strip() for part in piece.partition(":"))
        if not name or not colon:
            raise ValueError("Routing-Data has a piece without a name")
        if name not in ROUTING_RANGES:
            continue
        minimum, maximum = ROUTING_RANGES[name]
        if not DECIMAL_NUMBER.match(value) or not minimum <= float(value) <= maximum:
            raise ValueError(f"Routing-Data has an invalid value of {name}")
        if name == "dest":
            preferred = int(float(value))
    return preferred


def has_valid_call_headers(message: sip.SipMessage, call_id: str) -> bool:
    """Whether a request identifies its call in a form that a roster server can parse.

    The call id must be well-formed, CSeq must name the request's method, and no header of `SINGLE_HEADERS`
    may be repeated. True for methods that need no call.
    """
    if message.method in METHODS_WITHOUT_CALL:
        return True
    single_headers = [name for name, _ in message.headers if name in SINGLE_HEADERS]
    has_repeated = len(single_headers) != len(set(single_headers))
    return CALL_ID.match(call_id) is not None and not has_repeated and message.cseq()[1] == message.method


def read_call_request(call_manager: CallManager, message: sip.SipMessage, call_id: str) -> CallRequest:
    """Return the set-up that an INVITE requests.

    Raises:
        UnusableRequestError: the INVITE is malformed (400), or exceeds the line limit of a server (413).
    """
    class_name, answer_within = message.get("call-kind"), message.get("answer-within")
    call_class = call_manager.classes.named(class_name)
    called_uri = sip.user_of(message.uri)
    try:
        description = message.body.decode()  # the server protocol is JSON, which requires UTF-8
        called_uri.encode()
        timeout_s = int(answer_within) / 1000 if ANSWER_WITHIN_MS.match(answer_within) else 0.0
        preferred_number = preferred_server_number(message.get("routing-data"))
    except ValueError as error:
        raise UnusableRequestError(400) from error
    if call_class is None or not called_uri:
        raise UnusableRequestError(400)
    if not 0 < timeout_s <= TIMEOUT_SLACK * call_manager.classes.longest_deadline_s(call_class):
        raise UnusableRequestError(400)
    if exceeds_line_limit(call_id, class_name, called_uri, description):
        raise UnusableRequestError(413)
    return CallRequest(
        ident=call_id,
        call_class=call_class,
        called_uri=called_uri,
        description=description,
        caller_timeout_s=timeout_s,
        preferred_number=preferred_number,
        called_number=sip.called_number(called_uri),
        is_caller_retry=message.get("repeat-mark") == "1",
    )
