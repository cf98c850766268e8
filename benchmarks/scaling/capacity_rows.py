"""Rows of the tables in docs/CAPACITY.md: for each role, a slope, the size to evaluate it at and a budget."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

# Size of the deployment that is expected within two years.
SERVERS = 1900
SERVICE_SERVERS = 10  # servers of the called service
CALLS_A_SECOND = 137
PENDING_CALLS = 1900
MS_A_CALL_TO_CORE = CALLS_A_SECOND / 10  # factor from milliseconds per call to per cent of a core


@dataclass(frozen=True, slots=True)
class Budget:
    """The upper limit of a figure, in the figure's unit."""

    limit: float
    meaning: str  # what the limit applies to, as the table names it


CONTROL_PROCESSOR = Budget(3.5, "control")
CONTROL_MEMORY = Budget(256, "control")
CONTROL_BYTES = Budget(3 * 1024, "control")
VOTER_PROCESSOR = Budget(3.5, "control of a softswitch that votes")
VOTER_BYTES = Budget(3 * 1024, "control, where a softswitch votes")
DESCRIPTORS = Budget(1024, "the limit")
DESCRIPTORS_WITH_CALLERS = Budget(1024, "the limit, callers included")
ONE_CORE = Budget(100.0, "a core")  # a softswitch is one process on one core
ADDED_TO_A_CALL = Budget(0.77, "added to a call")
ADDED_FOR_MOST_CALLS = Budget(0.77, "for 99 in 100")
IN_FORCE_EVERYWHERE = Budget(4.0, "everywhere")


@dataclass(frozen=True, slots=True)
class CapacityRow:
    """A table row: one figure of a role, at one size."""

    role: str
    figure: str
    slope: str = ""  # name of the slope; "": no measurement exists
    size: float = 0.0  # at which the slope is evaluated
    unit: str = ""
    budget: Budget | None = None
    factor: float = 1.0  # converts the slope's unit to the row's unit


softswitch = partial(CapacityRow, "softswitch")
call_breakdown = partial(CapacityRow, "processor of one call at a softswitch, 24 servers listed")
roster_server = partial(CapacityRow, "roster server")
coordinator = partial(CapacityRow, "coordinator")
voter = partial(CapacityRow, "voter of claims")
member = partial(CapacityRow, "member of claims")

ROWS = (
    softswitch(
        "state: servers and links, memory of the process",
        "program_memory_by_servers",
        SERVERS,
        "MB",
        CONTROL_MEMORY,
    ),
    softswitch(
        "memory of the process with standing calls, 24 servers", "program_memory_by_calls", 1370, "MB"
    ),
    softswitch(
        "descriptors at rest", "program_descriptors_by_servers", SERVERS, "", DESCRIPTORS_WITH_CALLERS
    ),
    softswitch(
        "bytes a second at rest: reports of the servers' states",
        "program_bytes_by_servers",
        SERVERS,
        "B/s",
        CONTROL_BYTES,
    ),
    softswitch(
        "bytes a second at rest: the list", "program_list_bytes_by_servers", 400, "B/s", CONTROL_BYTES
    ),
    softswitch("messages a second at rest: reports", "program_messages_by_servers", SERVERS, "/s"),
    softswitch("messages a second at rest: the list", "program_list_messages_by_servers", 400, "/s"),
    softswitch("bytes and messages a second: tests of callers' fronts (OPTIONS)"),
    softswitch(
        "processor at rest: states of the servers, the list's questions",
        "program_rest_by_servers",
        SERVERS,
        "% of a core",
        CONTROL_PROCESSOR,
    ),
    softswitch(
        "processor of the decisions at rest: states of the servers",
        "decisions_rest_by_servers",
        SERVERS,
        "% of a core",
        CONTROL_PROCESSOR,
    ),
    softswitch(
        "processor of the decisions at 137 calls a second",
        "decisions_call_by_servers",
        SERVERS,
        "% of a core",
        ONE_CORE,
        factor=MS_A_CALL_TO_CORE,
    ),
    softswitch(
        "time of the decisions in one call", "decisions_call_by_servers", SERVERS, "ms", ADDED_TO_A_CALL
    ),
    softswitch(
        "time of the decisions in one call, by servers of its service (1,900 listed)",
        "decisions_call_by_service",
        SERVICE_SERVERS,
        "ms",
        ADDED_TO_A_CALL,
    ),
    softswitch(
        "time of the decisions in one call while calls of another service wait",
        "decisions_call_by_waiting",
        PENDING_CALLS,
        "ms",
        ADDED_TO_A_CALL,
    ),
    softswitch(
        "processor of the program at 137 calls a second, without its rest",
        "program_call_by_servers",
        SERVERS,
        "% of a core",
        ONE_CORE,
        factor=MS_A_CALL_TO_CORE,
    ),
    softswitch("added to a call, p50", "added_p50_by_servers", 24, "ms", ADDED_FOR_MOST_CALLS),
    softswitch("added to a call, p50", "added_p50_by_servers", 200, "ms", ADDED_FOR_MOST_CALLS),
    softswitch("added to a call, p99", "added_p99_by_servers", 24, "ms", ADDED_FOR_MOST_CALLS),
    softswitch("added to a call, p99", "added_p99_by_servers", 200, "ms", ADDED_FOR_MOST_CALLS),
    softswitch("from the start until it serves", "program_start_by_servers", SERVERS, "s"),
    softswitch("processor of a change of one line", "decisions_change_by_servers", SERVERS, "ms"),
    softswitch(
        "a change in force, one softswitch", "program_change_by_servers", SERVERS, "s", IN_FORCE_EVERYWHERE
    ),
    call_breakdown("the caller's messages read and parsed (INVITE, BYE)", "call_parse_by_servers", 24, "ms"),
    call_breakdown("the decisions, states of servers among them", "call_decide_by_servers", 24, "ms"),
    call_breakdown("the same at 200 listed", "call_decide_by_servers", 200, "ms"),
    call_breakdown("the core's books and timers", "call_core_by_servers", 24, "ms"),
    call_breakdown("lines to roster servers made", "call_ask_by_servers", 24, "ms"),
    call_breakdown("lines of roster servers parsed, states among them", "call_states_by_servers", 24, "ms"),
    call_breakdown("answers to callers handed out", "call_answer_by_servers", 24, "ms"),
    call_breakdown(
        "the rest of the main thread: loop, tasks, system calls", "call_loop_by_servers", 24, "ms"
    ),
    call_breakdown("all other threads, the log's among them", "call_log_thread_by_servers", 24, "ms"),
    call_breakdown("waits of the main thread (wake-ups of the loop)", "call_waits_by_servers", 24, "waits"),
    roster_server("connections, by softswitches", "server_connections_by_senders", SERVERS, "", DESCRIPTORS),
    roster_server("states told a second", "server_messages_by_senders", SERVERS, "/s"),
    roster_server("bytes of states a second", "server_bytes_by_senders", SERVERS, "B/s"),
    coordinator("questions a second at rest", "coordinator_questions_by_members", SERVERS, "/s"),
    coordinator("bytes a second at rest", "coordinator_bytes_by_members", SERVERS, "B/s"),
    coordinator(
        "a change in force at the last of all", "change_last_by_members", SERVERS, "s", IN_FORCE_EVERYWHERE
    ),
    voter("messages a second at rest, in and out", "voter_messages_by_members", SERVERS, "/s"),
    voter("bytes a second at rest, in and out", "voter_bytes_by_members", SERVERS, "B/s", VOTER_BYTES),
    voter(
        "processor at rest, decisions alone",
        "voter_processor_by_members",
        SERVERS,
        "% of a core",
        VOTER_PROCESSOR,
    ),
    member("bytes a second at rest, in and out", "member_bytes_by_members", SERVERS, "B/s", CONTROL_BYTES),
    CapacityRow("membership", "nothing yet"),
    CapacityRow("the 7 machines", "what stands there beside the coordinator: nothing yet"),
    CapacityRow("operator's tools", "`check`, `claims`, `drain-on` at all softswitches"),
)
