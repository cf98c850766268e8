"""Runs one softswitch to its end: owns the exit code and what is said where a configuration can't be used.
Below both programs, the platform's and the command line's.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable

import uvloop

from stairhatch.config import Config, ConfigError
from stairhatch.service import run


def serve(reread: Callable[[], Config]) -> int:
    """Run the softswitch; a configuration that can't be used ends in one plain line and exit code 2."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # what comes before the start is over is read anyway
    try:
        uvloop.run(run(reread(), reread))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return 2
    return 0
