"""Calls that tests place through either frontend, and the ways in which their callers disconnect."""

from __future__ import annotations

import socket
import struct

from .call_ids import next_call_id
from .deployment import PLATFORM
from .program import Program
from .scripted_server import ScriptedServer
from .sip_caller import SipCaller
from .sip_messages import sip_headers
from .waiting import wait_until

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0: the close sends a RST
CALLER_TIMEOUT_MS = 15_000


def place_call(program: Program, frontend: str, udp: bool = False) -> tuple[SipCaller, str]:
    """Send a set-up from a new caller; return the caller and the id of the call.

    On the platform the call has a class of `UNUSUAL_SETTINGS`.
    """
    caller, ident = SipCaller(program.address, udp=udp), next_call_id()
    if frontend == PLATFORM:
        caller.invite(ident, "ebb", CALLER_TIMEOUT_MS)
    else:
        transport = "UDP" if udp else "TCP"
        headers = sip_headers("INVITE", "1", f"z9hG4bK{ident}", ident, caller.host, transport)
        caller.send("INVITE", "sip:5@net", headers, b"d")
    return caller, ident


def disconnect(caller: SipCaller, ident: str, way: str, frontend: str = PLATFORM) -> None:
    """End a caller's pending set-up by "cancel", "close", "half-close" or "reset"."""
    if way == "cancel" and frontend == PLATFORM:
        caller.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    elif way == "cancel":
        headers = sip_headers("CANCEL", "1", f"z9hG4bK{ident}", ident, caller.host, "TCP")
        caller.send("CANCEL", "sip:5@net", headers)
    elif way == "half-close":
        caller.sock.shutdown(socket.SHUT_WR)
    elif way == "close":
        caller.close()
    else:
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        caller.sock.shutdown(socket.SHUT_RD)  # ends the blocked read of the reader thread
        wait_until(lambda: caller.closed)
        caller.sock.close()


def setup_ids(*servers: ScriptedServer) -> list[str]:
    """Return the ids of the set-ups that servers have received, in the order of the servers."""
    return [message["tag"] for server in servers for message in server.messages("START")]
