"""Callers of a softswitch, or straight of a roster server, that time how long a call takes to establish."""

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
LAST_ANSWERS_S = 1.0  # that the last answers of a run may take
MAX_FAILED_FRACTION = 0.01  # of the calls: with more, the figures are not those of this rate
LEAD_S = 0.3  # of calls before a run is measured, behind the time that a call lasts
NORMAL_CLEARING = 16
SEED = 3


class SoftswitchCaller(asyncio.Protocol):
    """A connection to the softswitch that places calls; each is released after `duration_s`, 0: never."""

    transport: asyncio.Transport

    def __init__(self, duration_s: float) -> None:
        self.duration_s = duration_s
        self.sent_at: dict[str, float] = {}  # by Call-ID, of the calls that are not answered
        self.setup_times_s: list[float] = []
        self.failed = 0  # calls whose final answer was no 200
        self._parser = sip_parser.StreamParser()
        self._all_answered = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    @classmethod
    async def connect(cls, address: Address, duration_s: float) -> SoftswitchCaller:
        """Connect to a softswitch."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(partial(cls, duration_s), *address)
        return caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is up."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's is of no class that asyncio has

    def place_call(self, serial: int, server: int) -> None:
        """Place a call that prefers a server."""
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
        """Wait until all calls are answered, or for so long."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._all_answered.wait()

    def data_received(self, data: bytes) -> None:
        """Take answers."""
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
        """Release an established call, unless the run is over: then its servers are ended."""
        if self.transport.is_closing():
            return
        headers = [VIA, ("call-id", call_id), ("cseq", "2 BYE")]
        self.transport.write(sip.request("BYE", "sip:x@net", headers))


class ServerCaller(asyncio.Protocol):
    """A connection straight to a roster server; a call is released as soon as it is established."""

    transport: asyncio.Transport

    def __init__(self, setup_times_s: list[float]) -> None:
        self.setup_times_s = setup_times_s
        self.sent_at: dict[str, float] = {}
        self._data = b""

    @classmethod
    async def connect(cls, address: Address, setup_times_s: list[float]) -> ServerCaller:
        """Connect to a roster server."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(partial(cls, setup_times_s), *address)
        return caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is up."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's is of no class that asyncio has

    def place_call(self, serial: int) -> None:
        """Set a call up."""
        call_id = f"{serial:016x}"
        options = {"class": service_name(0), "key": call_id, "left": str(CALLER_TIMEOUT_MS)}
        line = {"verb": "START", "tag": call_id, "opts": options, "blob": BODY}
        data = json.dumps(line).encode() + b"\n"
        self.sent_at[call_id] = time.perf_counter()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Take answers, and states between them."""
        now = time.perf_counter()
        *lines, self._data = (self._data + data).split(b"\n")
        for line in lines:
            message = json.loads(line)
            if message["verb"] == "STARTED":
                self.setup_times_s.append(now - self.sent_at.pop(message["tag"]))
                release = {"verb": "FINISH", "tag": message["tag"], "opts": {}, "rc": NORMAL_CLEARING}
                self.transport.write(json.dumps(release).encode() + b"\n")


async def run_poisson_process(
    seconds: float, rate: float, rng: random.Random, act: Callable[[], None]
) -> int:
    """Do something at the times of a Poisson process. Returns how often."""
    began, due_s, count = time.monotonic(), rng.expovariate(rate), 0
    while due_s < seconds:
        if (left := began + due_s - time.monotonic()) > 0:
            await asyncio.sleep(left)
        act()
        count += 1
        due_s += rng.expovariate(rate)
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    return count


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRun:
    """Calls at a steady rate, and what the softswitch used meanwhile."""

    calls: int
    duration_s: float
    processor: ProcessorTime
    waits: int  # of the main thread
    spans_before: str  # what the instrumented program had written when the run began

    def processor_ms_a_call(self, core_percent_at_rest: float) -> float:
        """Return the processor time of one call, what the program uses at rest taken off."""
        used_s = self.processor.total_s - self.duration_s * core_percent_at_rest / 100
        return 1000 * used_s / self.calls


async def run_calls(softswitch: SoftswitchProcess, seconds: float, rate: float) -> CallRun:
    """Place calls for so long, after a while in which as many come and go.

    Raises UnavailableFigureError where too many fail.
    """
    rng, serials = random.Random(SEED), itertools.count(1)
    caller = await SoftswitchCaller.connect(softswitch.address, CALL_DURATION_S)

    def place_call() -> None:
        caller.place_call(next(serials), rng.randrange(SERVICE_SERVERS))

    await run_poisson_process(CALL_DURATION_S + LEAD_S, rate, rng, place_call)
    processor, waits, began = softswitch.processor_time(), softswitch.waits(), time.monotonic()
    spans = softswitch.spans_path.read_text() if softswitch.spans_path.exists() else ""
    calls = await run_poisson_process(seconds, rate, rng, place_call)
    processor_after, duration_s = softswitch.processor_time(), time.monotonic() - began
    run = CallRun(
        calls=calls,
        duration_s=duration_s,
        processor=processor_after.since(processor),
        waits=softswitch.waits() - waits,
        spans_before=spans,
    )
    await caller.wait_until_answered(LAST_ANSWERS_S)
    caller.transport.close()
    if caller.failed + len(caller.sent_at) > MAX_FAILED_FRACTION * (calls + rate):
        raise UnavailableFigureError(
            f"{caller.failed} calls failed and {len(caller.sent_at)} were not answered of {calls}"
        )
    return run
