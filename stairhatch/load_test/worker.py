"""The main module of a worker process of a load.

A worker reads its job from the first line of its input, writes a line when it is ready, begins at the time of
the second input line, and writes its result as its last line (`worker_messages`). It exits at the end of its
input, so that no worker outlives its parent.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

import uvloop

from stairhatch.load_test.caller_population import CallerPopulation
from stairhatch.load_test.datagram_relay import DatagramRelay
from stairhatch.load_test.roster_servers import RosterServers
from stairhatch.load_test.worker_messages import (
    CallersJob,
    CallersReady,
    RelayJob,
    RelayReady,
    ServersJob,
    ServersReady,
    decode_job,
    decode_line,
    encode_line,
)

MAX_LINE_BYTES = 16 * 1024 * 1024


async def run_job() -> None:
    """Run the job of the first input line. Raises msgspec.DecodeError if that line is no job."""
    lines = await _open_input()
    match decode_job(await lines.readline()):
        case CallersJob() as job:
            await _run_callers(job, lines)
        case ServersJob() as job:
            await _run_servers(job, lines)
        case RelayJob() as job:
            await _run_relay(job, lines)


async def _run_callers(job: CallersJob, lines: asyncio.StreamReader) -> None:
    callers = CallerPopulation(job)
    await callers.open()
    _write(CallersReady())
    if begin_line := await lines.readline():
        await callers.run(decode_line(begin_line, float))
        _write(callers.result())


async def _run_servers(job: ServersJob, lines: asyncio.StreamReader) -> None:
    servers = RosterServers(job.plan, job.seed)
    _write(ServersReady(await servers.open()))
    if begin_line := await lines.readline():
        running = asyncio.create_task(servers.run(decode_line(begin_line, float)))
        await lines.readline()  # the end message, or end of file if the parent has exited
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        _write(servers.result())


async def _run_relay(job: RelayJob, lines: asyncio.StreamReader) -> None:
    relay = await DatagramRelay(job.target, job.conditions, job.seed).open()
    _write(RelayReady(relay.address[1]))
    await lines.read()


async def _open_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def _write(message: object) -> None:
    sys.stdout.buffer.write(encode_line(message))
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    uvloop.run(run_job())
