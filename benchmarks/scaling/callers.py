"""Callers that measure set-up times of calls, through a softswitch or directly at a roster server."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.softswitch_process import ProcessorTime, SoftswitchProcess
from benchmarks.scaling.workload import CALL_DURATION_S, SERVICE_SERVERS, service_name
from stairhatch.emulators.ports import Address
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

CALLER_TIMEOUT_MS = 3000
BODY = "v=0"
VIA = ("via", "SIP/2.0/TCP bench")
LAST_ANSWERS_S = 1.0  # how long a run waits for outstanding answers after its last call
MAX_FAILED_FRACTION = 0.01  # of the calls; above it, the figures do not represent the intended call rate
LEAD_S = 0.3  # of calls before the measurement, in addition to the duration of one call
NORMAL_CLEARING = 16
SEED = 3


class SoftswitchCaller(asyncio.Protocol):
    """A caller's connection to the softswitch.

    Each established call is released after `duration_s` seconds; 0 means that calls are never released.
    """

    transport: asyncio.Transport

    def __init__(self, duration_s: float) -> None:
        self.duration_s = duration_s
        self.sent_at: dict[str, float] = {}  # by Call-ID: when the INVITE of each unanswered call was sent
        self.setup_times_s: list[float] = []
        self.failed = 0  # calls whose final response was not 200
        self._parser = sip_parser.StreamParser()
        self._all_answered = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    @classmethod
    async def connect(cls, address: Address, duration_s: float) -> SoftswitchCaller:
        """Connect to a softswitch. Raises OSError if that fails."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(partial(cls, duration_s), *address)
        return caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's is no asyncio.Transport

    def place_call(self, serial: int, server: int) -> None:
        """Send an INVITE whose routing data names a preferred server."""
        call_id = f"{serial:016x}"
        headers = [
            VIA,
            ("call-id", call_id),
            ("cseq", "1 INVITE"),
            ("call-kind", service_name(0)),
            ("answer-within", str(CALLER_TIMEOUT_MS)),
            ("routing-data", f"dest:{server};width:1;via:-1"),
        ]
        data = sip.request("INVITE", f"sip:{call_id}@net", headers, BODY.encode())
        self._all_answered.clear()
        self.sent_at[call_id] = time.perf_counter()
        self.transport.write(data)

    async def wait_until_answered(self, timeout_s: float | None = None) -> None:
        """Wait until all calls have a final response, or until `timeout_s` seconds have passed."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._all_answered.wait()

    def data_received(self, data: bytes) -> None:
        """Record the set-up times of calls with a final response, and schedule their releases."""
        now = time.perf_counter()
        self._parser.feed(data)
        while (message := self._parser.next_message()) is not None:
            call_id = message.get("call-id")
            is_final = message.cseq()[1] == "INVITE" and message.status >= 200
            if is_final and call_id in self.sent_at:
                self.setup_times_s.append(now - self.sent_at.pop(call_id))
                self.failed += message.status != 200
                if self.duration_s:
                    self._loop.call_later(self.duration_s, self._release, call_id)
        if not self.sent_at:
            self._all_answered.set()

    def _release(self, call_id: str) -> None:
        """Send BYE for an established call, unless the run has ended and its servers are stopped."""
        if self.transport.is_closing():
            return
        headers = [VIA, ("call-id", call_id), ("cseq", "2 BYE")]
        self.transport.write(sip.request("BYE", "sip:x@net", headers))


class ServerCaller(asyncio.Protocol):
    """A direct connection to a roster server; each call is released as soon as it is established."""

    transport: asyncio.Transport

    def __init__(self, setup_times_s: list[float]) -> None:
        self.setup_times_s = setup_times_s
        self.sent_at: dict[str, float] = {}
        self._data = b""

    @classmethod
    async def connect(cls, address: Address, setup_times_s: list[float]) -> ServerCaller:
        """Connect to a roster server; set-up times in seconds are appended to `setup_times_s`."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(partial(cls, setup_times_s), *address)
        return caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's is no asyncio.Transport

    def place_call(self, serial: int) -> None:
        """Send a set-up to the roster server."""
        call_id = f"{serial:016x}"
        options = {"class": service_name(0), "key": call_id, "left": str(CALLER_TIMEOUT_MS)}
        line = {"verb": "START", "tag": call_id, "opts": options, "blob": BODY}
        data = json.dumps(line).encode() + b"\n"
        self.sent_at[call_id] = time.perf_counter()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Record set-up times and release established calls; skip load reports and other messages."""
        now = time.perf_counter()
        *lines, self._data = (self._data + data).split(b"\n")
        for line in lines:
            message = json.loads(line)
            if message["verb"] == "STARTED":
                self.setup_times_s.append(now - self.sent_at.pop(message["tag"]))
                release = {"verb": "FINISH", "tag": message["tag"], "opts": {}, "rc": NORMAL_CLEARING}
                self.transport.write(json.dumps(release).encode() + b"\n")


async def run_poisson_process(
    seconds: float, rate: float, rng: random.Random, action: Callable[[], None]
) -> int:
    """Run an action at the times of a Poisson process with `rate` events per second.

    Returns the number of times that the action was run in `seconds` seconds.
    """
    began, due_s, count = time.monotonic(), rng.expovariate(rate), 0
    while due_s < seconds:
        if (delay_s := began + due_s - time.monotonic()) > 0:
            await asyncio.sleep(delay_s)
        action()
        count += 1
        due_s += rng.expovariate(rate)
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    return count


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRun:
    """Number of calls placed at a steady rate, and the softswitch's processor use meanwhile."""

    calls: int
    duration_s: float
    processor: ProcessorTime
    voluntary_switches: int  # voluntary context switches of the main thread
    spans_before: str  # JSON that the instrumented program had written when the run began; "" if none

    def processor_ms_a_call(self, core_percent_at_rest: float) -> float:
        """Return the processor time per call in milliseconds, without what the program uses at rest."""
        used_s = self.processor.total_s - self.duration_s * core_percent_at_rest / 100
        return 1000 * used_s / self.calls


async def run_calls(softswitch: SoftswitchProcess, seconds: float, rate: float) -> CallRun:
    """Measure calls at a rate per second, for `seconds` seconds.

    Calls are placed before the measurement too, until they end at the same rate as they arrive. Raises
    UnavailableFigureError if more than MAX_FAILED_FRACTION of the calls fail.
    """
    rng, serials = random.Random(SEED), itertools.count(1)
    caller = await SoftswitchCaller.connect(softswitch.address, CALL_DURATION_S)

    def place_call() -> None:
        caller.place_call(next(serials), rng.randrange(SERVICE_SERVERS))

    await run_poisson_process(CALL_DURATION_S + LEAD_S, rate, rng, place_call)
    processor, voluntary_switches, began = (
        softswitch.processor_time(),
        softswitch.voluntary_switches(),
        time.monotonic(),
    )
    spans = softswitch.spans_path.read_text() if softswitch.spans_path.exists() else ""
    calls = await run_poisson_process(seconds, rate, rng, place_call)
    processor_after, duration_s = softswitch.processor_time(), time.monotonic() - began
    run = CallRun(
        calls=calls,
        duration_s=duration_s,
        processor=processor_after.since(processor),
        voluntary_switches=softswitch.voluntary_switches() - voluntary_switches,
        spans_before=spans,
    )
    await caller.wait_until_answered(LAST_ANSWERS_S)
    caller.transport.close()
    if caller.failed + len(caller.sent_at) > MAX_FAILED_FRACTION * (calls + rate):
        raise UnavailableFigureError(
            f"{caller.failed} calls failed and {len(caller.sent_at)} were not answered, out of {calls}"
        )
    return run
