"""The families of measurements: each varies one size and keeps all other conditions constant.

Names, titles, units and conditions are stored with the results under docs/capacity/. Their texts must stay
equal to those of the stored results.
"""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.scaling import (
    added_delay,
    call_breakdown,
    decision_cost,
    fleet_cost,
    program_cost,
    voter_cost,
)
from benchmarks.scaling.measurement import Measure
from benchmarks.scaling.workload import CALL_RATE, SERVICE_SERVERS, STATE_INTERVAL_S


@dataclass(frozen=True, slots=True)
class SlopeTitle:
    """Title and unit of a slope."""

    title: str
    unit: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Family:
    """A kind of run that produces several slopes, all by the same size."""

    measure: Measure
    size_name: str  # the unit of the size, such as "servers listed"
    sizes: tuple[int, ...]  # measured by default
    conditions: str  # those that are the same at all sizes
    slopes: dict[str, SlopeTitle]  # by the slope's name


FEW_SIZES = (24, 100, 400, 1900)
MANY_SIZES = (24, 50, 100, 200, 400, 1900)
ONE_SERVICE = f"one service of {SERVICE_SERVERS} servers called, {CALL_RATE:.0f} calls a second"

FAMILIES = {
    "decisions": Family(
        measure=decision_cost.measure_by_servers,
        size_name="servers listed",
        sizes=MANY_SIZES,
        conditions=f"Controller alone, virtual clock, {ONE_SERVICE}",
        slopes={
            "decisions_call_by_servers": SlopeTitle("processor of the decisions a call", "ms"),
            "decisions_change_by_servers": SlopeTitle(
                "processor of the decisions for one changed line of the list", "ms"
            ),
            "decisions_whole_by_servers": SlopeTitle(
                "processor of the decisions for the whole list at the start", "ms"
            ),
            "decisions_state_by_servers": SlopeTitle(
                "processor of the decisions for one state of a server", "us"
            ),
            "decisions_rest_by_servers": SlopeTitle(
                "processor of the decisions at rest,"
                f" each server telling its state every {STATE_INTERVAL_S} s",
                "% of a core",
            ),
        },
    ),
    "decisions-service": Family(
        measure=decision_cost.measure_by_service,
        size_name="servers of the call's service",
        sizes=(10, 24, 100, 400, 1900),
        conditions=f"Controller alone, virtual clock, 1,900 listed, {CALL_RATE:.0f} calls a second",
        slopes={"decisions_call_by_service": SlopeTitle("processor of the decisions a call", "ms")},
    ),
    "decisions-rate": Family(
        measure=decision_cost.measure_by_rate,
        size_name="calls a second",
        sizes=(34, 137, 400, 1000),
        conditions=f"Controller alone, virtual clock, 24 listed, {SERVICE_SERVERS} called",
        slopes={"decisions_call_by_rate": SlopeTitle("processor of the decisions a call", "ms")},
    ),
    "decisions-waiting": Family(
        measure=decision_cost.measure_by_pending_calls,
        size_name="waiting calls",
        sizes=FEW_SIZES,
        conditions="Controller alone, virtual clock, 100 listed; calls wait for one full service,"
        f" {CALL_RATE:.0f} calls a second come for another",
        slopes={"decisions_call_by_waiting": SlopeTitle("processor of the decisions a call", "ms")},
    ),
    "program": Family(
        measure=program_cost.measure_by_servers,
        size_name="servers listed",
        sizes=MANY_SIZES,
        conditions=f"a process on loopback, {ONE_SERVICE}",
        slopes={
            "program_call_by_servers": SlopeTitle(
                "processor of the program a call, its rest taken off", "ms"
            ),
            "program_rest_by_servers": SlopeTitle("processor of the program at rest", "% of a core"),
            "program_memory_by_servers": SlopeTitle("resident memory at rest", "MB"),
            "program_descriptors_by_servers": SlopeTitle("descriptors at rest", "descriptors"),
            "program_links_by_servers": SlopeTitle("links to roster servers", "links"),
            "program_bytes_by_servers": SlopeTitle(
                "bytes of the links to roster servers at rest, both ways", "B/s"
            ),
            "program_messages_by_servers": SlopeTitle(
                "messages on the links to roster servers at rest, both ways", "/s"
            ),
            "program_list_bytes_by_servers": SlopeTitle("bytes to and from the coordinator at rest", "B/s"),
            "program_list_messages_by_servers": SlopeTitle(
                "messages to and from the coordinator at rest", "/s"
            ),
            "program_start_by_servers": SlopeTitle(
                "from the start until it serves, the list from the coordinator", "s"
            ),
            "program_change_by_servers": SlopeTitle(
                "from a change told to its being in force, median of five", "s"
            ),
        },
    ),
    "program-rate": Family(
        measure=program_cost.measure_by_rate,
        size_name="calls a second",
        sizes=(34, 68, 137, 274),
        conditions=f"a process on loopback, 24 listed, {SERVICE_SERVERS} called",
        slopes={
            "program_call_by_rate": SlopeTitle("processor of the program a call, its rest taken off", "ms")
        },
    ),
    "program-calls": Family(
        measure=program_cost.measure_by_established_calls,
        size_name="standing calls",
        sizes=(24, 100, 400, 1370, 1900),
        conditions="a process on loopback, 24 listed",
        slopes={"program_memory_by_calls": SlopeTitle("resident memory", "MB")},
    ),
    "added": Family(
        measure=added_delay.measure_by_servers,
        size_name="servers listed",
        sizes=MANY_SIZES,
        conditions=f"a process on loopback, Poisson, {ONE_SERVICE}, in turn",
        slopes={
            "added_p50_by_servers": SlopeTitle("median through the softswitch less median directly", "ms"),
            "added_p99_by_servers": SlopeTitle("p99 through the softswitch less p99 directly", "ms"),
            "direct_p50_by_servers": SlopeTitle("median directly", "ms"),
            "direct_p99_by_servers": SlopeTitle("p99 directly", "ms"),
        },
    ),
    "breakdown": Family(
        measure=call_breakdown.measure_by_servers,
        size_name="servers listed",
        sizes=MANY_SIZES,
        conditions=f"a process on loopback with timers in it, {ONE_SERVICE}, states told",
        slopes={
            "call_parse_by_servers": SlopeTitle("the caller's messages read and parsed, a call", "ms"),
            "call_decide_by_servers": SlopeTitle("the decisions, states of servers among them, a call", "ms"),
            "call_core_by_servers": SlopeTitle("the core's books and timers, a call", "ms"),
            "call_ask_by_servers": SlopeTitle("lines to roster servers written, a call", "ms"),
            "call_answer_by_servers": SlopeTitle("answers to callers handed out, a call", "ms"),
            "call_states_by_servers": SlopeTitle(
                "lines of roster servers parsed, states among them, a call", "ms"
            ),
            "call_loop_by_servers": SlopeTitle(
                "the rest of the main thread: loop, tasks, system calls, a call", "ms"
            ),
            "call_log_thread_by_servers": SlopeTitle("all other threads, the log's among them, a call", "ms"),
            "call_waits_by_servers": SlopeTitle("waits of the main thread, a call", "waits"),
        },
    ),
    "followers": Family(
        measure=fleet_cost.measure_by_followers,
        size_name="softswitches",
        sizes=FEW_SIZES,
        conditions=f"one stand-in coordinator, directories in {fleet_cost.PROCESSES} processes, 24 listed",
        slopes={
            "change_last_by_members": SlopeTitle(
                "from a change told to its being in force at the last of all", "s"
            ),
            "coordinator_questions_by_members": SlopeTitle("questions at the coordinator at rest", "/s"),
            "coordinator_bytes_by_members": SlopeTitle("bytes at the coordinator at rest, both ways", "B/s"),
        },
    ),
    "senders": Family(
        measure=fleet_cost.measure_by_clients,
        size_name="softswitches",
        sizes=FEW_SIZES,
        conditions=f"one stand-in roster server, links in {fleet_cost.PROCESSES} processes, at rest",
        slopes={
            "server_connections_by_senders": SlopeTitle("connections at a roster server", "connections"),
            "server_messages_by_senders": SlopeTitle("states that a roster server tells", "/s"),
            "server_bytes_by_senders": SlopeTitle("bytes of its states", "B/s"),
        },
    ),
    "voter": Family(
        measure=voter_cost.measure_by_members,
        size_name="softswitches",
        sizes=(24, 100, 400, 800),
        conditions="virtual clock, three voters, term 3 s, at rest",
        slopes={
            "voter_messages_by_members": SlopeTitle("messages of a voter, in and out", "/s"),
            "voter_bytes_by_members": SlopeTitle("bytes of a voter, in and out, without UDP's", "B/s"),
            "voter_processor_by_members": SlopeTitle("processor of a voter's decisions", "% of a core"),
            "member_messages_by_members": SlopeTitle(
                "messages of a softswitch that does not vote, in and out", "/s"
            ),
            "member_bytes_by_members": SlopeTitle(
                "bytes of a softswitch that does not vote, in and out", "B/s"
            ),
            "numbers_held_by_members": SlopeTitle(
                "until 99 in 100 claims are held after a start of all", "s"
            ),
        },
    ),
}
