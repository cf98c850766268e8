"""The platform's rules by name, and violations of them as a trial prints and counts them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """Rule of the platform for softswitches; the values are printed and counted under these names."""

    ANSWER = "one final answer"
    SERVED = "served by a server"
    RELEASED = "told of the end"
    ONE_ATTEMPT = "one attempt out"
    PAUSE = "pause after an unclear end"
    ATTEMPTS = "attempts"
    DUPLICATE = "duplicate effect"
    DRAINING_SERVER = "draining server"
    COLD_SERVER = "cold server"
    POOL = "allowed servers"
    ABANDONED = "who has left is gone"
    REFUSED_IN_DRAIN = "refused in a drain"
    PROCESS = "process"


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a rule, at a time, by a call, a server or a process."""

    rule: Rule
    at: float
    call: str  # the Call-ID; for some rules the server's instance id or the process name
    description: str

    def line(self, started_at: float) -> str:
        """Return the violation as one line of text, with the seconds since the trial's start."""
        return f"{self.rule}: at {self.at - started_at:.3f} {self.call} {self.description}"
