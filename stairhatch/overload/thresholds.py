"""The settings in use, and the thresholds of the overload control that are derived from them."""

from stairhatch.overload.settings import Settings

# Fractions of the strictest latency objective: the delay after which a pending set-up is sent again or late.
ONSET_FRACTION = 0.35
ABATEMENT_FRACTION = 0.2
EVIDENCE_LIFETIME_S = 3.0  # a measurement or a report older than this is not used
MEMORY_S = 30.0  # time constant of what is remembered for long
INITIAL_FLEET_LIMIT = (
    10.0  # set-ups pending at one server from all nodes together, at first; each node has its part
)
MIN_FLEET_LIMIT = 1.0


class Thresholds:
    """The settings and what follows from them; all parts of one controller share it. Delays are seconds."""

    def __init__(self, settings: Settings) -> None:
        """Derive all from the settings."""
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Replace the settings and all that is derived from them in one step."""
        self.settings = settings
        self.safety = settings.safety
        self.own_number = settings.own_server_number  # looked at for each endpoint and call
        self.initial_limit = INITIAL_FLEET_LIMIT / settings.instance_count
        self.min_limit = MIN_FLEET_LIMIT / settings.instance_count
        self.objective_s = settings.strictest_objective_s
        self.onset_s = ONSET_FRACTION * self.objective_s
        self.abatement_s = ABATEMENT_FRACTION * self.objective_s
        self.max_weight = settings.max_weight
        self.min_weight = settings.min_weight
