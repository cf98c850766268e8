"""Runs one softswitch from the reading of its configuration to the exit code.

Both programs start here: the platform's (`stairhatch.__main__`) and the command line's `serve`. The exit code
is 0 after a graceful shutdown, and 2 with one plain line on standard error where the configuration cannot be
used.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable

import uvloop

from stairhatch.application import run
from stairhatch.config.model import Config, ConfigError

EXIT_OK = 0
EXIT_BAD_CONFIG = 2


def serve(read_config: Callable[[], Config]) -> int:
    """Run the softswitch and return the exit code.

    A SIGHUP that comes after the configuration has been read, and before the program is up, is kept and
    honoured then. Ignored, it would leave the softswitch with a list and a coordinator that are out of date.
    """
    hang_ups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hang_ups.append(number))
    try:
        uvloop.run(run(read_config(), read_config, lambda: bool(hang_ups)))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    return EXIT_OK
