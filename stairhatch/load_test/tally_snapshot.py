"""The encoded form of a tally of a load (`load_tally`), which worker processes send to their parent."""

from __future__ import annotations

from msgspec import Struct, field


class TallySnapshot(Struct):
    """Counts and times of one process; see `LoadTally`. Histograms are in hdrhistogram's encoding."""

    counts: dict[str, int]
    weight_offered: float = field(name="worth")
    weight_earned: float = field(name="earned")
    by_second: dict[str, dict[str, int]]  # by the second of the due time, in decimal
    setup_times: dict[str, str] = field(name="stood")  # by class
    response_times: str = field(name="answered")
    lateness: str
