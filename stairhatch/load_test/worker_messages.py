"""The lines of JSON between a load and its worker processes, each typed.

A worker's first line is its job, and it says that it is ready. Callers and servers begin at the time that is
sent to them; their last line is what came of it.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from msgspec import Struct, field

from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.ports import Address
from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.load_plan import LoadPlan, Transport
from stairhatch.load_test.server_plan import ServerPlan
from stairhatch.load_test.tally_snapshot import TallySnapshot

Message = TypeVar("Message")


class CallersJob(Struct, tag_field="role", tag="offices", frozen=True):
    """Be the callers of every `workers`-th source, beginning with number `worker`."""

    plan: LoadPlan
    seed: int
    worker: int
    workers: int
    addresses: dict[Transport, Address] = field(name="places")


class ServersJob(Struct, tag_field="role", tag="rosters", frozen=True):
    """Be the roster servers."""

    plan: ServerPlan
    seed: int


class RelayJob(Struct, tag_field="role", tag="relay", frozen=True):
    """Relay datagrams to a softswitch."""

    conditions: DatagramConditions = field(name="weather")
    target: Address
    seed: int


WorkerJob = CallersJob | ServersJob | RelayJob


class CallersReady(Struct, frozen=True):
    """All ports and connections are open."""

    ready: bool = True


class ServersReady(Struct, frozen=True):
    """The servers listen."""

    ports: list[int]


class RelayReady(Struct, frozen=True):
    """The relay carries datagrams."""

    port: int


class CallerRecord(Struct, array_like=True, frozen=True):
    """What a caller observed of a call."""

    at: float  # monotonic seconds
    kind: ObservationKind
    number: str  # called
    status: int  # of a final response
    told_apart_by: str  # two final responses differ where this does


class ServerObservation(Struct, array_like=True, frozen=True):
    """What a server observed of a call."""

    at: float  # monotonic seconds
    kind: ObservationKind
    number: str  # called
    server: str


class CallersResult(Struct, frozen=True):
    """What came of the calls of one worker."""

    tally: TallySnapshot
    record: list[CallerRecord]
    stalled_s: float  # the longest stall of its event loop


class ServerSummary(Struct, frozen=True):
    """What one server did."""

    state: str  # at the end
    rejected_count: int = field(name="turned_away")
    wasted_work_s: float = field(name="wasted_s")


class ServersResult(Struct, frozen=True):
    """What came of the servers."""

    record: list[ServerObservation]
    stalled_s: float  # the longest stall of their event loop
    servers: list[ServerSummary]


def encode_line(message: object) -> bytes:
    """Return a message as a line."""
    return msgspec.json.encode(message) + b"\n"


def decode_job(line: bytes) -> WorkerJob:
    """Return the job of a worker's first line. Raises msgspec.DecodeError where it is none."""
    job: WorkerJob = msgspec.json.decode(line, type=WorkerJob)
    return job


def decode_line(line: bytes, message_type: type[Message]) -> Message:
    """Return the message of a line. Raises msgspec.DecodeError where it is no such message."""
    return msgspec.json.decode(line, type=message_type)
