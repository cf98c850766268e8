"""A softswitch with hysteretic overload control, for nodes that set up calls at shared call servers.

`Controller` implements the overload control and `Settings` is its configuration; both can be used without the
rest of the package (README.md). The entry points are `stairhatch.__main__` and
`stairhatch.simulator.adapter`, which connects the controller to the protocol of the simulator.
"""

from stairhatch.overload.controller import Controller
from stairhatch.overload.settings import Settings

__all__ = ["Controller", "Settings"]
