"""Slopes and the tables of docs/CAPACITY.md: owns the form of a kept slope (docs/capacity/NAME.json), its
fit, the point where it bends, a figure at a size, and the verdict against a budget. Pure but for reading and
writing those files; it must never measure anything (`benchmarks/scale.py` does).

    .venv/bin/python benchmarks/capacity.py            # print the tables
    .venv/bin/python benchmarks/capacity.py --write    # put them into docs/CAPACITY.md

A slope is one figure by one size, each size measured several times. Its fit is the straight line of least
squares through the medians. A page's figure at a size is the median measured there, else what lies between
its neighbours or, beyond the last size, on the line of the last two (named `extrapolated`).
"""

from __future__ import annotations

import itertools
import json
import math
import statistics
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
KEPT = ROOT / "docs" / "capacity"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- begin: benchmarks/capacity.py -->", "<!-- end: benchmarks/capacity.py -->"
BENT = 0.1  # a line that misses a median by more than this share of it, and by more than its spread, is bent
LEAST_SIZES = 4
LEAST_WEIGHED = 0.05  # a median counts as this share of the largest at least: 0 is no measure of a miss

# The size expected within two years, and what is allowed at it.
SERVERS, SERVICE, CALLS_A_SECOND, DESCRIPTORS = 1900, 10, 137, 1024
CONTROL_CORE, CONTROL_MB, CONTROL_BYTES, ADDED_MS, IN_FORCE_S = 3.5, 256, 3 * 1024, 0.77, 4.0
CORE = 100.0  # per cent: a softswitch is one process on one core


class SlopeError(ValueError):
    """A kept slope that can't be used, with its file and the reason."""


@dataclass(frozen=True, slots=True)
class Point:
    """One size and the figures measured there."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """What counts."""
        return statistics.median(self.values)

    @property
    def spread(self) -> float:
        """From the least to the most of the repeats."""
        return max(self.values) - min(self.values)


@dataclass(frozen=True, slots=True)
class Fit:
    """The line of least squares; `residual` is the root mean square of what it leaves, in its unit."""

    base: float
    step: float  # of the figure, by one of the size
    residual: float
    bend: float | None  # the size from which on it runs another way; None: it is straight, or too few sizes


def _solve(rows: Sequence[Sequence[float]], wanted: Sequence[float]) -> list[float]:
    """Least squares by the normal equations, few unknowns; ValueError where they name no one solution."""
    count = len(rows[0])
    left = [[sum(row[i] * row[j] for row in rows) for j in range(count)] for i in range(count)]
    right = [sum(row[i] * y for row, y in zip(rows, wanted, strict=True)) for i in range(count)]
    for i in range(count):
        pivot = max(range(i, count), key=lambda k: abs(left[k][i]))
        if abs(left[pivot][i]) < 1e-9 * max(1.0, abs(left[0][0])):
            raise ValueError("the sizes name no one line")
        left[i], left[pivot], right[i], right[pivot] = left[pivot], left[i], right[pivot], right[i]
        for k in range(i + 1, count):
            part = left[k][i] / left[i][i]
            left[k] = [a - part * b for a, b in zip(left[k], left[i], strict=True)]
            right[k] -= part * right[i]
    found = [0.0] * count
    for i in reversed(range(count)):
        found[i] = (right[i] - sum(left[i][j] * found[j] for j in range(i + 1, count))) / left[i][i]
    return found


def fit(points: Sequence[Point]) -> Fit:
    """The line through the medians, and where it bends: the size at which two lines that meet there leave the
    least (Hudson 1966, 'Fitting segmented curves whose join points have to be estimated').
    """
    most = max(point.size for point in points)
    scaled = [(point.size / most, point.median) for point in points]
    wanted = [y for _, y in scaled]
    base, step = _solve([(1.0, x) for x, _ in scaled], wanted)
    missed = [y - base - step * x for x, y in scaled]
    residual = math.sqrt(sum(each * each for each in missed) / len(missed))
    bent = len(points) >= LEAST_SIZES and any(
        abs(off) > max(BENT * abs(point.median), point.spread)
        for off, point in zip(missed, points, strict=True)
    )
    return Fit(base, step / most, residual, _bend(points) if bent else None)


def _bend(points: Sequence[Point]) -> float:
    """The inner size at which two lines that meet there leave the least, as shares of the medians."""
    most, least = max(point.size for point in points), LEAST_WEIGHED * max(abs(p.median) for p in points)
    left: list[tuple[float, float]] = []
    for knot in (point.size for point in points[1:-1]):
        rows, wanted = [], []
        for point in points:
            weight = 1 / max(abs(point.median), least, 1e-12)
            x, over = point.size / most, max(0.0, point.size - knot) / most
            rows.append((weight, weight * x, weight * over))
            wanted.append(weight * point.median)
        scale = max(abs(each) for row in rows for each in row)
        rows = [(a / scale, b / scale, c / scale) for a, b, c in rows]
        found = _solve(rows, [each / scale for each in wanted])
        missed = (
            sum(a * b for a, b in zip(found, row, strict=True)) - each / scale
            for row, each in zip(rows, wanted, strict=True)
        )
        left.append((sum(each * each for each in missed), knot))
    return min(left)[1]


@dataclass(frozen=True, slots=True)
class Slope:
    """One figure by one size, as it was measured."""

    name: str
    title: str
    by: str  # what the size counts
    unit: str
    points: tuple[Point, ...]
    commit: str
    command: str
    date: str
    held: str  # what was kept the same
    missing: tuple[str, ...] = ()  # sizes at which it was not to be had, with why

    def at(self, size: float) -> tuple[float, bool]:
        """The figure at a size, and whether it lies beyond all that were measured."""
        points = self.points
        for point in points:
            if point.size == size:
                return point.median, False
        if len(points) == 1:
            raise SlopeError(f"{self.name}: only one size was measured")
        after = next((i for i, point in enumerate(points) if point.size > size), len(points) - 1)
        low, high = points[max(after, 1) - 1], points[max(after, 1)]
        share = (size - low.size) / (high.size - low.size)
        return low.median + share * (high.median - low.median), not points[0].size < size < points[-1].size

    def lacks(self, size: float) -> bool:
        """Whether it was tried at a size and never to be had."""
        tried = any(why.partition(":")[0] == f"{size:.0f}" for why in self.missing)
        return tried and all(point.size != size for point in self.points)

    def reaches(self, limit: float) -> float | None:
        """The smallest size at which the figure is above a limit; None if it never is on the last line."""
        points = self.points
        if points[0].median > limit:
            if len(points) < 2 or points[1].median <= points[0].median:
                return 0.0
            step = (points[1].median - points[0].median) / (points[1].size - points[0].size)
            return max(0.0, points[0].size - (points[0].median - limit) / step)
        for low, high in itertools.pairwise(points):
            if high.median > limit:
                share = (limit - low.median) / (high.median - low.median)
                return low.size + share * (high.size - low.size)
        if len(points) < 2 or points[-1].median <= points[-2].median:
            return None
        step = (points[-1].median - points[-2].median) / (points[-1].size - points[-2].size)
        return points[-1].size + (limit - points[-1].median) / step


def written(slope: Slope) -> dict[str, Any]:
    """A slope as it is kept."""
    found = fit(slope.points)
    return {
        "name": slope.name, "title": slope.title, "by": slope.by, "unit": slope.unit, "held": slope.held,
        "commit": slope.commit, "command": slope.command, "date": slope.date,
        "missing": list(slope.missing),
        "points": [{"size": point.size, "values": list(point.values)} for point in slope.points],
        "fit": {"base": found.base, "step": found.step, "residual": found.residual, "bend": found.bend},
    }  # fmt: skip


def read(path: Path) -> Slope:
    """A kept slope. SlopeError for one that is not whole, and for one whose fit is not that of its points."""
    try:
        raw = json.loads(path.read_text())
        points = tuple(Point(float(p["size"]), tuple(map(float, p["values"]))) for p in raw["points"])
        keys = ("name", "title", "by", "unit", "commit", "command", "date", "held")
        words = {key: str(raw[key]) for key in keys}
        missing = tuple(map(str, raw["missing"]))
        slope = Slope(points=points, missing=missing, **words)
        kept = [raw["fit"][key] for key in ("base", "step", "residual", "bend")]
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise SlopeError(f"{path.name}: {type(error).__name__}: {error}") from None
    if not points or any(not point.values for point in points) or slope.name != path.stem:
        raise SlopeError(f"{path.name}: no figures, or another name than its file's")
    if [point.size for point in points] != sorted({point.size for point in points}):
        raise SlopeError(f"{path.name}: sizes must be told once and grow")
    if not all((slope.commit, slope.command, slope.date)):
        raise SlopeError(f"{path.name}: commit, command and date must be told")
    found = fit(points)
    for told, now in zip(kept, (found.base, found.step, found.residual, found.bend), strict=True):
        if (told is None) is not (now is None) or (
            now is not None and not math.isclose(told, now, rel_tol=1e-6, abs_tol=1e-9)
        ):
            raise SlopeError(
                f"{path.name}: the fit is not that of the points: {told} is kept, {now} is right"
            )
    return slope


def read_all(folder: Path = KEPT) -> dict[str, Slope]:
    """Every kept slope, by name. What else is kept there is passed over: a slope has a fit or its name."""
    found = {}
    for path in sorted(folder.glob("*.json")):
        try:
            raw = json.loads(path.read_text())
        except (OSError, ValueError) as error:
            raise SlopeError(f"{path.name}: {type(error).__name__}: {error}") from None
        if isinstance(raw, dict) and ("fit" in raw or raw.get("name") == path.stem):
            found[path.stem] = read(path)
    return found


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of a role at the expected size."""

    role: str
    what: str
    slope: str  # its name; "" where nothing was measured
    size: float = 0.0  # at which the slope is read
    factor: float = 1.0  # from the slope's unit to the row's
    unit: str = ""
    budget: float | None = None
    told: str = ""  # what the budget is of


PER_CALL = CALLS_A_SECOND / 10  # ms a call to per cent of a core
BROKEN_DOWN = "processor of one call at a softswitch, 24 servers listed"
# The roles at the expected size. A row without a slope is one that has not been measured.
ROWS = (
    Row("softswitch", "state: servers and links, memory of the process", "program_memory_by_servers", SERVERS,
        1.0, "MB", CONTROL_MB, "control"),
    Row("softswitch", "memory of the process with standing calls, 24 servers", "program_memory_by_calls",
        1370,
        1.0, "MB"),
    Row("softswitch", "descriptors at rest", "program_descriptors_by_servers", SERVERS,
        1.0, "", DESCRIPTORS, "the limit, callers included"),
    Row("softswitch", "bytes a second at rest: reports of the servers' states", "program_bytes_by_servers",
        SERVERS, 1.0, "B/s", CONTROL_BYTES, "control"),
    Row("softswitch", "bytes a second at rest: the list", "program_list_bytes_by_servers", 400,
        1.0, "B/s", CONTROL_BYTES, "control"),
    Row("softswitch", "messages a second at rest: reports", "program_messages_by_servers", SERVERS,
        1.0, "/s"),
    Row("softswitch", "messages a second at rest: the list", "program_list_messages_by_servers", 400,
        1.0, "/s"),
    Row("softswitch", "bytes and messages a second: tests of callers' fronts (OPTIONS)", ""),
    Row("softswitch", "processor at rest: states of the servers, the list's questions",
        "program_rest_by_servers",
        SERVERS, 1.0, "% of a core", CONTROL_CORE, "control"),
    Row("softswitch", "processor of the decisions at rest: states of the servers",
        "decisions_rest_by_servers",
        SERVERS, 1.0, "% of a core", CONTROL_CORE, "control"),
    Row("softswitch", "processor of the decisions at 137 calls a second", "decisions_call_by_servers",
        SERVERS,
        PER_CALL, "% of a core", CORE, "a core"),
    Row("softswitch", "time of the decisions in one call", "decisions_call_by_servers", SERVERS, 1.0, "ms",
        ADDED_MS, "added to a call"),
    Row("softswitch", "time of the decisions in one call, by servers of its service (1,900 listed)",
        "decisions_call_by_service", SERVICE, 1.0, "ms", ADDED_MS, "added to a call"),
    Row("softswitch", "time of the decisions in one call while calls of another service wait",
        "decisions_call_by_waiting", 1900, 1.0, "ms", ADDED_MS, "added to a call"),
    Row("softswitch", "processor of the program at 137 calls a second, without its rest",
        "program_call_by_servers", SERVERS, PER_CALL, "% of a core", CORE, "a core"),
    Row("softswitch", "added to a call, p50", "added_p50_by_servers", 24, 1.0, "ms", ADDED_MS,
        "for 99 in 100"),
    Row("softswitch", "added to a call, p50", "added_p50_by_servers", 200, 1.0, "ms", ADDED_MS,
        "for 99 in 100"),
    Row("softswitch", "added to a call, p99", "added_p99_by_servers", 24, 1.0, "ms", ADDED_MS,
        "for 99 in 100"),
    Row("softswitch", "added to a call, p99", "added_p99_by_servers", 200, 1.0, "ms", ADDED_MS,
        "for 99 in 100"),
    Row("softswitch", "from the start until it serves", "program_start_by_servers", SERVERS, 1.0, "s"),
    Row("softswitch", "processor of a change of one line", "decisions_change_by_servers", SERVERS, 1.0, "ms"),
    Row("softswitch", "a change in force, one softswitch", "program_change_by_servers", SERVERS, 1.0, "s",
        IN_FORCE_S, "everywhere"),
    Row(BROKEN_DOWN, "the caller's messages read and parsed (INVITE, BYE)", "call_parse_by_servers",
        24, 1.0, "ms"),
    Row(BROKEN_DOWN, "the decisions, states of servers among them", "call_decide_by_servers", 24, 1.0, "ms"),
    Row(BROKEN_DOWN, "the same at 200 listed", "call_decide_by_servers", 200, 1.0, "ms"),
    Row(BROKEN_DOWN, "the core's books and timers", "call_core_by_servers", 24, 1.0, "ms"),
    Row(BROKEN_DOWN, "lines to roster servers made", "call_ask_by_servers", 24, 1.0, "ms"),
    Row(BROKEN_DOWN, "lines of roster servers parsed, states among them", "call_states_by_servers",
        24, 1.0, "ms"),
    Row(BROKEN_DOWN, "answers to callers handed out", "call_answer_by_servers", 24, 1.0, "ms"),
    Row(BROKEN_DOWN, "the rest of the main thread: loop, tasks, system calls", "call_loop_by_servers",
        24, 1.0, "ms"),
    Row(BROKEN_DOWN, "all other threads, the log's among them", "call_log_thread_by_servers", 24, 1.0, "ms"),
    Row(BROKEN_DOWN, "waits of the main thread (wake-ups of the loop)", "call_waits_by_servers",
        24, 1.0, "waits"),
    Row("roster server", "connections, by softswitches", "server_connections_by_senders", SERVERS, 1.0, "",
        DESCRIPTORS, "the limit"),
    Row("roster server", "states told a second", "server_messages_by_senders", SERVERS, 1.0, "/s"),
    Row("roster server", "bytes of states a second", "server_bytes_by_senders", SERVERS, 1.0, "B/s"),
    Row("coordinator", "questions a second at rest", "coordinator_questions_by_members", SERVERS, 1.0, "/s"),
    Row("coordinator", "bytes a second at rest", "coordinator_bytes_by_members", SERVERS, 1.0, "B/s"),
    Row("coordinator", "a change in force at the last of all", "change_last_by_members", SERVERS, 1.0, "s",
        IN_FORCE_S, "everywhere"),
    Row("voter of claims", "messages a second at rest, in and out", "voter_messages_by_members", SERVERS, 1.0,
        "/s"),
    Row("voter of claims", "bytes a second at rest, in and out", "voter_bytes_by_members", SERVERS,
        1.0, "B/s", CONTROL_BYTES, "control, where a softswitch votes"),
    Row("voter of claims", "processor at rest, decisions alone", "voter_processor_by_members", SERVERS, 1.0,
        "% of a core", CONTROL_CORE, "control of a softswitch that votes"),
    Row("member of claims", "bytes a second at rest, in and out", "member_bytes_by_members", SERVERS, 1.0,
        "B/s",
        CONTROL_BYTES, "control"),
    Row("membership", "nothing yet", ""),
    Row("the 7 machines", "what stands there beside the coordinator: nothing yet", ""),
    Row("operator's tools", "`check`, `claims`, `drain-on` at all softswitches", ""),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Judged:
    """A row with its figure and verdict."""

    row: Row
    value: float | None
    beyond: bool = False  # extrapolated
    breaks: float | None = None  # the size from which on it is above its budget
    verdict: str = "not measured"


def judge(row: Row, slopes: dict[str, Slope]) -> Judged:
    """A row at the expected size, held against its budget."""
    slope = slopes.get(row.slope)
    if slope is None:
        return Judged(row, None)
    if slope.lacks(row.size):  # tried, and the program could not do it: no line may stand for that
        last = slope.points[-1].size
        told = f"**breaks** between {last:,.0f} and {row.size:,.0f} {slope.by}: could not be had there"
        return Judged(row, None, True, last, told)
    found, beyond = slope.at(row.size)
    value = found * row.factor
    if row.budget is None:
        return Judged(row, value, beyond, verdict="no budget told")
    if value <= row.budget:
        factor = row.budget / value if value > 0 else math.inf
        return Judged(row, value, beyond, verdict=f"holds, {shown(factor)} times")
    size = slope.reaches(row.budget / row.factor)
    breaks = 0.0 if size is None else size
    more = f"{shown(value / row.budget)} times too much"
    where = f"from {math.floor(breaks):,} {slope.by} on" if breaks >= 1 else "at any size"
    return Judged(row, value, beyond, breaks, f"**breaks** {where}; {more}")


def shown(value: float) -> str:
    """Three digits, and thousands apart."""
    if not math.isfinite(value) or value == 0:
        return "0" if value == 0 else "any number of"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{round(value, digits):,.{min(digits, 5)}f}"


def tables(slopes: dict[str, Slope], rows: Iterable[Row] = ROWS) -> str:
    """What stands in the page between the two marks."""
    judged = [judge(row, slopes) for row in rows]
    out = []
    for role in dict.fromkeys(each.row.role for each in judged):
        out += [f"### {role[0].upper()}{role[1:]}", "", "| what | figure | budget | verdict | slope |"]
        out += ["| --- | --- | --- | --- | --- |"]
        for each in (each for each in judged if each.row.role == role):
            row = each.row
            figure, budget, slope = "not measured", "-", "-"
            if each.value is not None:
                figure = f"{shown(each.value)} {row.unit}".strip() + (
                    " (extrapolated)" if each.beyond else ""
                )
            if row.slope in slopes:
                figure = "not to be had" if each.value is None else figure
                slope = f"`{row.slope}`, {row.size:,.0f} {slopes[row.slope].by}"
            if row.budget is not None:
                budget = f"{shown(row.budget)} {row.unit}".strip() + f", {row.told}"
            out.append(f"| {row.what} | {figure} | {budget} | {each.verdict} | {slope} |")
        out.append("")
    breaks = sorted(
        (each.breaks, index, each) for index, each in enumerate(judged) if each.breaks is not None
    )
    told: set[tuple[str, str, str]] = set()  # one row at several sizes breaks at one
    out += ["### What breaks first", ""]
    for size, _, each in breaks:
        row, by = each.row, slopes[each.row.slope].by
        where = f"from {math.floor(size):,} {by} on" if size >= 1 else "at any size"
        where = where if each.value is not None else f"after {math.floor(size):,} {by}"
        if (row.role, row.what, row.slope) not in told:
            told.add((row.role, row.what, row.slope))
            out.append(f"{len(told)}. {row.role}, {row.what}: {where}.")
    out += [] if breaks else ["Nothing that was measured."]
    out += ["", "### The slopes", ""]
    out += [
        "| slope | medians at each size (least to most of the repeats) | fit | residual | bends at | run |"
    ]
    out += ["| --- | --- | --- | --- | --- | --- |"]
    for slope in slopes.values():
        found = fit(slope.points)
        at = "; ".join(
            f"{p.size:,.0f}: {shown(p.median)} ({shown(min(p.values))} to {shown(max(p.values))})"
            for p in slope.points
        )
        at += f"; not had: {'; '.join(slope.missing)}" if slope.missing else ""
        bend = "straight" if len(slope.points) >= LEAST_SIZES else "too few sizes"
        bend = bend if found.bend is None else f"{found.bend:,.0f}"
        sign = "+" if found.step >= 0 else "-"
        line = f"{shown(found.base)} {sign} {shown(1000 * abs(found.step))} by 1,000 {slope.by}"
        run = f"{slope.commit}, {slope.date}, `{slope.command}`"
        out.append(
            f"| `{slope.name}`: {slope.title}, {slope.unit}; {slope.held} | {at} | {line} |"
            f" {shown(found.residual)} | {bend} | {run} |"
        )
    return "\n".join(out) + "\n"


def between(page: str) -> str:
    """The part of the page that is generated; SlopeError where its marks are not there once each."""
    if page.count(BEGIN) != 1 or page.count(END) != 1 or page.index(BEGIN) > page.index(END):
        raise SlopeError(f"{PAGE.name}: the marks of the generated part must stand there once, in order")
    return page.partition(BEGIN)[2].partition(END)[0].strip("\n") + "\n"


def main() -> int:
    """Print the tables, or put them into the page."""
    try:
        made = tables(read_all())
        if "--write" not in sys.argv:
            print(made, end="")
            return 0
        page = PAGE.read_text()
        between(page)
        head, _, rest = page.partition(BEGIN)
        PAGE.write_text(f"{head}{BEGIN}\n{made}{END}{rest.partition(END)[2]}")
    except (SlopeError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
