"""Extension: detects caller retries that are not marked as retries, by their timeouts."""

from stairhatch.overload.settings import CallClass, Settings

TIMEOUT_STEP_FRACTION = 0.01  # of the usual caller timeout: the most that one call moves it
TIMEOUT_TOLERANCE_FRACTION = 0.1  # of the usual caller timeout: a greater deviation marks a retry


class CallerRetryDetector:
    """Tracks the usual caller timeout of each class; a last retry has the rest of its deadline instead."""

    def __init__(self) -> None:
        """Create a detector without a usual timeout for any class."""
        self.usual_timeout_s: dict[str, float] = {}  # class name -> usual caller timeout

    def is_retry(self, call_class: CallClass, caller_timeout_s: float) -> bool:
        """Return whether the caller's timeout deviates from the usual one of its class, and update that."""
        usual_s = self.usual_timeout_s.get(call_class.name, caller_timeout_s)
        step_s = TIMEOUT_STEP_FRACTION * usual_s
        deviation_s = caller_timeout_s - usual_s
        self.usual_timeout_s[call_class.name] = usual_s + max(-step_s, min(step_s, deviation_s))
        return abs(deviation_s) > TIMEOUT_TOLERANCE_FRACTION * usual_s

    def update_settings(self, old: Settings, new: Settings) -> None:
        """Keep the usual timeouts of classes in both settings, scaled by the change of their deadlines."""
        deadlines, usual = {each.name: each.deadline_s for each in old.classes}, self.usual_timeout_s
        kept = [each for each in new.classes if each.name in deadlines and each.name in usual]
        self.usual_timeout_s = {c.name: usual[c.name] * c.deadline_s / deadlines[c.name] for c in kept}
