"""What an emulated roster server replies to a set-up, by the number called.

Free of I/O, so that the same script runs on a socket and on a virtual clock. No connection is known here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from stairhatch.node.calls import ReleaseCause

SESSION_ANSWER = (
    "v=0\r\no=roster 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    "m=audio 40000 RTP/AVP 8\r\n"
)
SCRIPT_KEY_DIGITS = 2  # of the number called, which choose the script


class ReplyVerb(StrEnum):
    """What a server says of a call."""

    STARTED = "STARTED"
    PENDING = "PENDING"
    FINISH = "FINISH"


@dataclass(frozen=True, slots=True)
class ScriptedReply:
    """One message of the server's, so many seconds after the set-up came."""

    delay_s: float
    verb: ReplyVerb
    cause: int = 0  # of a release (ITU-T Q.850)
    description: str = ""  # of the session (SDP, RFC 4566)
    options: dict[str, str] = field(default_factory=dict)


def establish(delay_s: float = 0.0) -> ScriptedReply:
    """Return the reply that the call is established."""
    return ScriptedReply(delay_s, ReplyVerb.STARTED, description=SESSION_ANSWER)


def progress(delay_s: float = 0.0) -> ScriptedReply:
    """Return the reply that the server is at work on the set-up."""
    return ScriptedReply(delay_s, ReplyVerb.PENDING)


def release(delay_s: float, cause: int = ReleaseCause.NORMAL_CLEARING) -> ScriptedReply:
    """Return the reply that rejects the set-up, or ends the call."""
    return ScriptedReply(delay_s, ReplyVerb.FINISH, cause)


SCRIPTS: dict[str, tuple[ScriptedReply, ...]] = {
    "10": (establish(),),
    "11": (progress(), establish(0.3)),
    "12": (),
    "13": (release(0.0, ReleaseCause.NO_CIRCUIT_AVAILABLE),),
    "14": (establish(), release(1.0)),
    "15": (establish(2.0),),
    "16": (progress(),),
    "17": (release(0.0, ReleaseCause.USER_BUSY),),
    "18": (progress(), establish(40.0)),
    "19": (establish(), release(0.0)),
}


def script_for(number: str) -> tuple[ScriptedReply, ...]:
    """Return the replies to a set-up for a number; any number without a script is established at once."""
    return SCRIPTS.get(number[:SCRIPT_KEY_DIGITS], (establish(),))
