"""Runs the demonstration with an unmodified softswitch, of which it reads only the counts of calls."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable

from stairhatch.application import Application
from stairhatch.demo.callers import DemoCallers
from stairhatch.demo.config import DemoOptions, demo_config
from stairhatch.emulators.caller_emulator import CallResult
from stairhatch.emulators.server_emulator import ServerEmulator

SERVER_COUNT = 2


async def run_demonstration(options: DemoOptions, print_line: Callable[[str], None]) -> int:
    """Run the demonstration to its end and return the exit code.

    The code is 0 if a call was established or the call rate is 0, and 1 otherwise. Raises ConfigError if the
    options result in an invalid configuration.
    """
    servers = [await ServerEmulator().listen() for _ in range(SERVER_COUNT)]
    config = demo_config(options, [server.address for server in servers])
    application = Application(config, lambda: config)
    listening = application.open_listeners()
    application.start_discovery()
    stop = _stop_event(application)
    await application.serve_when_ready()
    print_line(f"the appliance listens on {listening}; {SERVER_COUNT} emulated roster servers answer")

    callers = DemoCallers(options, application.parts.call_manager, print_line)
    await _place_calls_until(stop, options.seconds, callers)

    print_line("draining: calls being set up are answered, established ones may end")
    await application.shut_down(asyncio.Event())
    print_line(callers.summary())
    for server in servers:
        await server.close()
    application.parts.log.close()
    return 0 if not options.calls_per_s or callers.results[CallResult.ESTABLISHED] else 1


def _stop_event(application: Application) -> asyncio.Event:
    """Return an event that is set by SIGTERM and SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        application.parts.network.loop.add_signal_handler(number, stop.set)
    return stop


async def _place_calls_until(stop: asyncio.Event, seconds: float, callers: DemoCallers) -> None:
    """Place calls until `stop` is set or the seconds are over (0: no time limit)."""
    placing = asyncio.create_task(callers.place_calls())
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stop.wait(), seconds or None)
    placing.cancel()
    await asyncio.gather(placing, return_exceptions=True)  # an error of a caller does not stop the shutdown
