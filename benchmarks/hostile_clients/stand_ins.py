"""Emulated roster servers, coordinator and callers of the second review, for plays of single faults.

They run in threads of the play's own process; the softswitch has a process of its own.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "review"))

import standins_2 as stand_ins

__all__ = ["stand_ins"]
