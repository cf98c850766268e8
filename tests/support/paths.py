"""Paths in the repository that tests read from."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
APPLIANCE_TOML = ROOT / "deploy" / "sip.toml"
