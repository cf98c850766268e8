"""stairhatch: hysteretic overload control for nodes that set calls up at shared call servers."""

from stairhatch.overload.controller import Controller
from stairhatch.overload.settings import Settings

__all__ = ["Controller", "Settings"]
