"""The settings in use, and the thresholds that the overload control derives from them."""

from stairhatch.overload.settings import Settings

# Fractions of the strictest objective, the delay after which a pending set-up is late or retransmitted.
ONSET_FRACTION = 0.35
ABATEMENT_FRACTION = 0.2
EVIDENCE_LIFETIME_S = 3.0  # a measurement or a load report older than this is not used
MEMORY_S = 30.0  # time constant of the long-term averages, and how long old observations are kept
INITIAL_FLEET_LIMIT = 10.0  # first limit on pending set-ups of all nodes at a server, divided evenly
MIN_FLEET_LIMIT = 1.0  # lower bound of the same limit, divided evenly too


class Thresholds:
    """The settings and derived thresholds, shared by all parts of a controller. Delays are in seconds."""

    def __init__(self, settings: Settings) -> None:
        """Derive the thresholds from the settings."""
        self.update(settings)

    def update(self, settings: Settings) -> None:
        """Replace the settings and all derived thresholds in one step."""
        self.settings = settings
        self.safety = settings.safety
        self.own_number = settings.own_server_number  # stored because each endpoint and call reads it
        self.initial_limit = INITIAL_FLEET_LIMIT / settings.instance_count
        self.min_limit = MIN_FLEET_LIMIT / settings.instance_count
        self.objective_s = settings.strictest_objective_s
        self.onset_s = ONSET_FRACTION * self.objective_s
        self.abatement_s = ABATEMENT_FRACTION * self.objective_s
        self.max_weight = settings.max_weight
        self.min_weight = settings.min_weight
