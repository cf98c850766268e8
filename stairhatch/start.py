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
    """Run the softswitch; a configuration that can't be used ends in one plain line and exit code 2.

    A SIGHUP that comes once the configuration has been read, and before the program is up, is kept until it
    is: ignored, the softswitch went on with a list and a coordinator that were no more.
    """
    came: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: came.append(number))
    try:
        uvloop.run(run(reread(), reread, lambda: bool(came)))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return 2
    return 0
