"""Emulated roster servers and callers for slow start runs with real processes."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from benchmarks.slow_start.scenarios import REPORT_ERROR, Site
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.processor import COST_PER_CALL, Processor, ProcessorLoad, ProcessorProfile
from stairhatch.emulators.scripted_replies import ReplyVerb, ScriptedReply, release
from stairhatch.emulators.server_emulator import ServerEmulator
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

CALL_DURATION_S = 4.0  # mean; the roster server releases the calls
SITE = Site(call_duration_s=CALL_DURATION_S, servers=4)
NOT_REPORTED = ProcessorLoad(-1.0, -1.0)  # negative figures are treated as missing
READ_BYTES = 65536
RECONNECT_PAUSE_S = 0.05
CALLED_URI = "sip:7f3a9c21e0b4d655@net"


class WarmableServer(ServerEmulator):
    """A roster server that records the times of set-ups, and releases calls after an exponential duration.

    Like the platform's servers, it includes its processor's figures in releases only.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._is_releasing = False
        self.setup_times_s: list[float] = []  # in seconds of the event loop's clock
        profile = ProcessorProfile(
            setup_s=1 / (SITE.capacity * COST_PER_CALL),
            initial_capacity_fraction=SITE.safety.initial_capacity_fraction,
            warm_up_s=SITE.safety.warm_up_s,
            overload_multiple=SITE.safety.overload_multiple,
            overload_window_s=SITE.safety.overload_window_s,
            load_report_error=REPORT_ERROR,
        )
        super().__init__(lines=int(SITE.capacity * CALL_DURATION_S), processor=Processor(profile, self._rng))
        self.observer = self._count

    def processor_load(self) -> ProcessorLoad:
        """Return the processor's figures for a release, and NOT_REPORTED for other messages."""
        return super().processor_load() if self._is_releasing else NOT_REPORTED

    def _count(self, kind: ObservationKind, _number: str) -> None:
        if kind is ObservationKind.SETUP_RECEIVED:
            self.setup_times_s.append(asyncio.get_running_loop().time())

    def _reply(self, tag: str, reply: ScriptedReply) -> None:
        self._is_releasing = True
        super()._reply(tag, reply)
        self._is_releasing = False
        if reply.verb is ReplyVerb.STARTED:
            duration_s = self._rng.expovariate(1 / CALL_DURATION_S)
            asyncio.get_running_loop().call_later(duration_s, self._reply, tag, release(0.0))


class MemberCallers:
    """The callers of one softswitch, on one connection that is opened again when it is lost."""

    def __init__(self, rate: float, seed: int) -> None:
        self._rate = rate
        self._rng = random.Random(seed)

    async def run(self, address: tuple[str, int]) -> None:
        """Connect, place calls and answer releases, until the task is cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            placing = asyncio.create_task(self._place_calls(writer))
            with suppress(OSError):
                await self._answer_releases(reader, writer)
            placing.cancel()
            writer.close()

    async def _place_calls(self, writer: asyncio.StreamWriter) -> None:
        """Send INVITEs as a Poisson process with the callers' rate."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self._rate))
            preferred = self._rng.randrange(SITE.servers)
            headers = [
                ("via", "SIP/2.0/TCP peer"),
                ("call-id", f"{self._rng.getrandbits(64):016x}"),
                ("cseq", "1 INVITE"),
                ("call-kind", "read-roster"),
                ("answer-within", "3000"),
                ("routing-data", f"dest:{preferred};width:1;via:-1"),
            ]
            with suppress(OSError):
                writer.write(sip.request("INVITE", CALLED_URI, headers, b"d"))

    async def _answer_releases(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read messages until the connection is closed, and answer each BYE with 200."""
        parser = sip_parser.StreamParser()
        while data := await reader.read(READ_BYTES):
            parser.feed(data)
            while (message := parser.next_message()) is not None:
                if message.method == "BYE":
                    writer.write(sip.response(200, sip.echoed(message)))
