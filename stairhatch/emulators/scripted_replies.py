"""Scripts of the replies of an emulated roster server to a set-up, chosen by the called number.

The module does no I/O and knows no connection, so that the same script runs on a socket and on a virtual
clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from stairhatch.node.calls import ReleaseCause

SESSION_ANSWER = (
    "v=0\r\no=roster 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    "m=audio 40000 RTP/AVP 8\r\n"
)
SCRIPT_KEY_DIGITS = 2  # leading digits of the called number, which choose the script


class ReplyVerb(StrEnum):
    """Verb of a roster server's message about a call."""

    STARTED = "STARTED"
    PENDING = "PENDING"
    FINISH = "FINISH"


@dataclass(frozen=True, slots=True)
class ScriptedReply:
    """One message of the server, sent `delay_s` seconds after it received the set-up."""

    delay_s: float
    verb: ReplyVerb
    cause: int = 0  # release cause (ITU-T Q.850); 0: the message is no release
    description: str = ""  # session description (SDP, RFC 4566); empty: none
    options: dict[str, str] = field(default_factory=dict)


def establish(delay_s: float = 0.0) -> ScriptedReply:
    """Return the reply that establishes the call, after a delay in seconds."""
    return ScriptedReply(delay_s, ReplyVerb.STARTED, description=SESSION_ANSWER)


def progress(delay_s: float = 0.0) -> ScriptedReply:
    """Return the reply that reports the set-up as still in progress, after a delay in seconds."""
    return ScriptedReply(delay_s, ReplyVerb.PENDING)


def release(delay_s: float, cause: int = ReleaseCause.NORMAL_CLEARING) -> ScriptedReply:
    """Return the reply that rejects a set-up or releases an established call, after a delay in seconds."""
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
    """Return the replies to a set-up for a called number; without a script, it is established at once."""
    return SCRIPTS.get(number[:SCRIPT_KEY_DIGITS], (establish(),))
