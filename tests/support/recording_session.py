"""A caller's session that records the events of its call."""

from __future__ import annotations


class RecordingSession:
    """A caller's session that keeps the names of its events (`stairhatch.node.calls.CallerSession`)."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def progressing(self) -> None:
        """Record that a server has reported progress of the set-up."""
        self.events.append("progressing")

    def established(self, _description: bytes) -> None:
        """Record that the call is established."""
        self.events.append("established")

    def rejected(self, _retry_after_s: float) -> None:
        """Record that the call is rejected before an attempt."""
        self.events.append("rejected")

    def failed(self, timed_out: bool) -> None:
        """Record that the call has failed, by a timeout or otherwise."""
        self.events.append("timed out" if timed_out else "failed")

    def released(self, _cause: int) -> None:
        """Record that the server has released the established call."""
        self.events.append("released")
