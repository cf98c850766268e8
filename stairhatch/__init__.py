"""stairhatch: hysteretic overload control for nodes that set calls up at shared call servers."""

from stairhatch.choice import Controller
from stairhatch.interface import Settings

__all__ = ["Controller", "Settings"]
