"""The result of one case."""

from __future__ import annotations

from dataclasses import dataclass, field

from stairhatch.conformance.cases import Case


@dataclass(slots=True, kw_only=True)
class CaseResult:
    """What came of playing a case."""

    case: Case
    failure: str = ""  # what was not as expected; "": nothing
    step_number: int = 0  # of the last step that was played, from 1
    duration_s: float = 0.0
    skip_reason: str = ""  # why it was not played; "": it was
    transcript: list[str] = field(default_factory=list)  # a line a message

    @property
    def passed(self) -> bool:
        """Whether it was played and all was as expected."""
        return not self.failure and not self.skip_reason
