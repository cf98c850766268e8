"""The typed messages between a load run and its worker processes, each a line of JSON.

The first line to a worker is its job, which it answers when it is ready. Workers of callers and of servers
then get the time at which the load begins, and their last line is their result.
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
    """Job to run the callers of the sources whose index modulo `workers` equals `worker`."""

    plan: LoadPlan
    seed: int
    worker: int
    workers: int
    addresses: dict[Transport, Address] = field(name="places")


class ServersJob(Struct, tag_field="role", tag="rosters", frozen=True):
    """Job to run the roster servers."""

    plan: ServerPlan
    seed: int


class RelayJob(Struct, tag_field="role", tag="relay", frozen=True):
    """Job to relay datagrams to a softswitch, under the conditions of a link."""

    conditions: DatagramConditions = field(name="weather")
    target: Address
    seed: int


WorkerJob = CallersJob | ServersJob | RelayJob


class CallersReady(Struct, frozen=True):
    """Readiness of a worker of callers: all its ports and connections are open."""

    ready: bool = True


class ServersReady(Struct, frozen=True):
    """Readiness of the worker of servers: all servers listen."""

    ports: list[int]  # in order of the servers


class RelayReady(Struct, frozen=True):
    """Readiness of the relay: its port for callers is open."""

    port: int


class CallerRecord(Struct, array_like=True, frozen=True):
    """An event of a call that a caller observed."""

    at: float  # monotonic seconds
    kind: ObservationKind
    number: str  # called
    status: int  # of a final response
    told_apart_by: str  # differs between two final responses, except a retransmission


class ServerObservation(Struct, array_like=True, frozen=True):
    """An event of a call that a server observed."""

    at: float  # monotonic seconds
    kind: ObservationKind
    number: str  # called
    server: str  # its name


class CallersResult(Struct, frozen=True):
    """Result of a worker of callers."""

    tally: TallySnapshot
    record: list[CallerRecord]
    stalled_s: float  # the longest stall of its event loop


class ServerSummary(Struct, frozen=True):
    """Summary of one server in a run."""

    state: str  # ProcessorState at the end of the run
    rejected_count: int = field(name="turned_away")
    wasted_work_s: float = field(name="wasted_s")


class ServersResult(Struct, frozen=True):
    """Result of the worker of servers."""

    record: list[ServerObservation]
    stalled_s: float  # the longest stall of their event loop
    servers: list[ServerSummary]


def encode_line(message: object) -> bytes:
    """Return a message as a line of JSON."""
    return msgspec.json.encode(message) + b"\n"


def decode_job(line: bytes) -> WorkerJob:
    """Return the job of a worker's first line. Raises msgspec.DecodeError if it is no job."""
    job: WorkerJob = msgspec.json.decode(line, type=WorkerJob)
    return job


def decode_line(line: bytes, message_type: type[Message]) -> Message:
    """Return the message of a line. Raises msgspec.DecodeError if it has another type."""
    return msgspec.json.decode(line, type=message_type)
