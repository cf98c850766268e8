"""Runs one softswitch: reads its configuration, serves, and returns the exit code.

Both the platform's program (`stairhatch.__main__`) and the command `serve` of the command line call `serve`.
The exit code is 0 after a graceful shutdown. It is 2 if the configuration is unusable, which is reported in
one line on standard error.
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

    A SIGHUP received after the configuration has been read, but before the reload handler is installed, is
    recorded and causes a reload at the end of the start. If it were ignored, the softswitch would keep an
    outdated endpoint list and coordinator.
    """
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    try:
        uvloop.run(run(read_config(), read_config, lambda: bool(hangups)))
    except ConfigError as error:
        print(f"stairhatch: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    return EXIT_OK
