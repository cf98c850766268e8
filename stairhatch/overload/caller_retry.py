"""Extension: recognises callers that retry although nothing marks their calls as retries."""

from stairhatch.overload.settings import CallClass, Settings

TIMEOUT_STEP = 0.01  # of the usual caller timeout: how fast it is followed
TIMEOUT_SLACK = 0.1  # what counts as unusual


class CallerRetryDetector:
    """Follows the timeout of most callers of a class: last tries have what is left of their deadline."""

    def __init__(self) -> None:
        """Know no class yet."""
        self.usual_timeout_s: dict[str, float] = {}  # by the class's name

    def is_retry(self, call_class: CallClass, caller_timeout_s: float) -> bool:
        """Whether the caller's timeout is not the usual one of its class."""
        usual_s = self.usual_timeout_s.get(call_class.name, caller_timeout_s)
        step_s = TIMEOUT_STEP * usual_s
        off_s = caller_timeout_s - usual_s
        self.usual_timeout_s[call_class.name] = usual_s + max(-step_s, min(step_s, off_s))
        return abs(off_s) > TIMEOUT_SLACK * usual_s

    def update_settings(self, old: Settings, new: Settings) -> None:
        """Keep what was learnt of classes that stay, in proportion to their deadlines."""
        deadlines, usual = {each.name: each.deadline_s for each in old.classes}, self.usual_timeout_s
        known = [each for each in new.classes if each.name in deadlines and each.name in usual]
        self.usual_timeout_s = {c.name: usual[c.name] * c.deadline_s / deadlines[c.name] for c in known}
