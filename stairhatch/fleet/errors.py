"""The exceptions of the fleet package."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the fleet's errors; the text is one line for operators."""


class StoreError(FleetError):
    """Raised when a data directory cannot be used."""


class AdminClientError(FleetError):
    """Raised when a member's admin endpoint cannot be reached or has answered `fail`."""
