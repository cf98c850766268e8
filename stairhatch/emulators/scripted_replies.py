"""What a stand-in roster server does with a set-up: owns the meaning of the numbers that are called. Pure, so
that the same script runs on a socket and under a clock set by hand. It must never know a connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field

ANSWER = (
    "v=0\r\no=roster 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    "m=audio 40000 RTP/AVP 8\r\n"
)
FULL, ERROR, BUSY, ENDED = 34, 47, 17, 16


@dataclass(frozen=True, slots=True)
class ScriptedReply:
    """A line of the server's, so many seconds after the set-up came."""

    after_s: float
    verb: str
    cause: int = 0
    blob: str = ""
    opts: dict[str, str] = field(default_factory=dict)


def stands(after_s: float = 0.0) -> ScriptedReply:
    """The call is set up."""
    return ScriptedReply(after_s, "STARTED", blob=ANSWER)


def rings(after_s: float = 0.0) -> ScriptedReply:
    """The server is at work on it."""
    return ScriptedReply(after_s, "PENDING")


def ends(after_s: float, cause: int = ENDED) -> ScriptedReply:
    """The server refuses the set-up, or ends the call."""
    return ScriptedReply(after_s, "FINISH", cause)


# By the first two digits of the number called.
SCRIPTS: dict[str, tuple[ScriptedReply, ...]] = {
    "10": (stands(),),
    "11": (rings(), stands(0.3)),
    "12": (),
    "13": (ends(0.0, FULL),),
    "14": (stands(), ends(1.0)),
    "15": (stands(2.0),),
    "16": (rings(),),
    "17": (ends(0.0, BUSY),),
    "18": (rings(), stands(40.0)),
    "19": (stands(), ends(0.0)),
}


def script_for(key: str) -> tuple[ScriptedReply, ...]:
    """What comes of a set-up for a number; any other stands at once."""
    return SCRIPTS.get(key[:2], (stands(),))
