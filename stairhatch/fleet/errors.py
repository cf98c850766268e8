"""What can go wrong in the fleet's part of a softswitch, as exceptions."""

from __future__ import annotations


class FleetError(Exception):
    """What every error of the fleet is; its text is one line for operators."""


class StoreError(FleetError):
    """A data directory can't be used."""


class AdminClientError(FleetError):
    """A member's admin endpoint can't be asked, or has answered `fail`."""
