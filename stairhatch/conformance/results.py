"""The result of one case."""

from __future__ import annotations

from dataclasses import dataclass, field

from stairhatch.conformance.cases import Case


@dataclass(slots=True, kw_only=True)
class CaseResult:
    """The result of one case: passed, failed or skipped, with a transcript of its messages."""

    case: Case
    failure: str = ""  # the failed check or error; "" if the case did not fail
    step_number: int = 0  # the number of the last step played, from 1; 0 if none was
    duration_s: float = 0.0
    skip_reason: str = ""  # the reason for not playing the case; "" if it was played
    transcript: list[str] = field(default_factory=list)  # one line for each message

    @property
    def passed(self) -> bool:
        """Whether the case was played and did not fail."""
        return not self.failure and not self.skip_reason
