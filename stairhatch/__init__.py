"""A softswitch with hysteretic overload control, for nodes that set calls up at shared call servers.

`Controller` is the overload control and `Settings` what it is configured with; both can be used without the
rest (README.md). The programs are `stairhatch.__main__` and, on the simulator's wire,
`stairhatch.simulator.adapter`.
"""

from stairhatch.overload.controller import Controller
from stairhatch.overload.settings import Settings

__all__ = ["Controller", "Settings"]
