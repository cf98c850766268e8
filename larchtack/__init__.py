"""larchtack: hysteretic overload control for nodes that set calls up at shared call servers."""

from larchtack.choice import Controller
from larchtack.interface import Settings

__all__ = ["Controller", "Settings"]
