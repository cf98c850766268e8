"""The requests of the platform's callers, in its thin SIP: which can be used, and what a set-up asks for.

Decides nothing and keeps nothing: a request that can't be understood, or that no roster server could read, is
reported as `UnusableRequestError` with the status that answers it.
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
METHODS_WITHOUT_CALL = ("OPTIONS", "NOTIFY", "ACK")  # they need not name a call
HEADERS_ONCE = frozenset(("call-id", "call-kind", "answer-within", "cseq", "routing-data"))
CALL_ID = re.compile(r"[0-9a-fA-F]{16}\Z")  # what names a call, on both sides
ANSWER_WITHIN_MS = re.compile(r"[0-9]{1,8}\Z")
NUMBER = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")
MAX_ROUTING_DATA = 200  # characters
ROUTING_RANGES = {"dest": (-1, 65535), "width": (1, 1024), "via": (-1, 65535), "again": (0, 1)}
ANY_FIGURE = (-1e9, 1e9)  # of what Routing-Data may name besides
TIMEOUT_SLACK = 1.5  # Answer-Within may be so many times the class's limit; no caller waits longer


class UnusableRequestError(ValueError):
    """A request that can't be used. `status` answers it."""

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(f"answered {status}")
        self.status = status


@lru_cache(maxsize=64)  # few are in use, and each comes with thousands of set-ups
def preferred_server_number(routing_data: str) -> int:
    """The server of first choice in Routing-Data; -1 if it names none.

    Raises:
        ValueError: a figure is none, or out of its range.
    """
    preferred = -1
    if len(routing_data) > MAX_ROUTING_DATA:
        raise ValueError("Routing-Data is too long")
    for piece in filter(None, routing_data.split(";")):
        name, _, value = piece.partition(":")
        least, most = ROUTING_RANGES.get(name.strip(), ANY_FIGURE)
        if not NUMBER.match(value.strip()) or not least <= float(value) <= most:
            raise ValueError(f"Routing-Data: {name[:20]}")
        if name.strip() == "dest":
            preferred = int(float(value))
    return preferred


def names_its_call(message: sip.SipMessage, call_id: str) -> bool:
    """Whether a request names its call in a form that a roster server can read."""
    if message.method in METHODS_WITHOUT_CALL:
        return True
    once = [name for name, _ in message.headers if name in HEADERS_ONCE]
    has_repeated = len(once) != len(set(once))
    return CALL_ID.match(call_id) is not None and not has_repeated and message.cseq()[1] == message.method


def read_call_request(core: CallManager, message: sip.SipMessage, call_id: str) -> CallRequest:
    """The set-up that an INVITE asks for.

    Raises:
        UnusableRequestError: it can't be understood (400), or would not fit into a server's line (413).
    """
    class_name, answer_within = message.get("call-kind"), message.get("answer-within")
    call_class = core.classes.named(class_name)
    called_uri = sip.user_of(message.uri)
    try:
        description = message.body.decode()  # what is no UTF-8 would be no JSON either
        called_uri.encode()
        timeout_s = int(answer_within) / 1000 if ANSWER_WITHIN_MS.match(answer_within) else 0.0
        preferred_number = preferred_server_number(message.get("routing-data"))
    except ValueError as error:
        raise UnusableRequestError(400) from error
    if call_class is None or not called_uri:
        raise UnusableRequestError(400)
    if not 0 < timeout_s <= TIMEOUT_SLACK * core.classes.longest_deadline_s(call_class):
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
