"""A caller's session that records what it is told."""

from __future__ import annotations


class RecordingSession:
    """Keeps the names of the events of one call (`stairhatch.node.calls.CallerSession`)."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def progressing(self) -> None:
        """A server is at work on the call."""
        self.events.append("progressing")

    def established(self, _description: bytes) -> None:
        """The call is established."""
        self.events.append("established")

    def rejected(self, _retry_after_s: float) -> None:
        """The call is rejected."""
        self.events.append("rejected")

    def failed(self, timed_out: bool) -> None:
        """The call has failed."""
        self.events.append("timed out" if timed_out else "failed")

    def released(self, _cause: int) -> None:
        """The server has released the call."""
        self.events.append("released")
