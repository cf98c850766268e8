"""Timelines of a history for people to read, as text and as an SVG picture.

A timeline has a row for each lease, which shows its holders over time, and a row for each member, which shows
the events of its process.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from xml.sax.saxutils import escape

from stairhatch.fault_injection.history import HistoryRecord, ProcessEvent
from stairhatch.fault_injection.lease_rules import HoldInterval, hold_intervals

MIN_SPAN_S = 1e-9  # avoids a division by zero if all records have the same time
TEXT_COLUMNS = 100
TEXT_LABEL_WIDTH = 12
SVG_WIDTH, SVG_ROW_HEIGHT, SVG_LEFT, SVG_TOP = 1000, 22, 110, 30
SVG_RIGHT_MARGIN, SVG_FOOT_HEIGHT = 10, 30
SVG_TICKS = 10
SVG_MIN_BAR = 0.5  # width in pixels
COLOURS = ("#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb", "#994400", "#000000")
MARKS: dict[str, str] = {
    ProcessEvent.KILLED: "x",
    ProcessEvent.STARTED: "o",
    ProcessEvent.STOPPED: "|",
    ProcessEvent.RESUMED: ">",
    ProcessEvent.DATA_DIRECTORY_CHANGED: "!",
}
LEGEND = "x killed, o started, | stopped, > resumed, ! data directory changed, # two holders at once\n"


def _span_s(records: list[HistoryRecord], intervals: list[HoldInterval]) -> tuple[float, float]:
    ends = [each.until_s for each in intervals if math.isfinite(each.until_s)]
    return min(each.at_s for each in records), max([each.at_s for each in records] + ends)


def render_text(records: list[HistoryRecord]) -> str:
    """Return a history as text, with one column for each hundredth of its time span.

    A lease's row shows the last character of the holder's name. A member's row shows `MARKS` for the events
    of its process.
    """
    if not records:
        return "the history contains no events\n"
    intervals = hold_intervals(records)
    begin_s, end_s = _span_s(records, intervals)
    column_s = max(MIN_SPAN_S, (end_s - begin_s) / TEXT_COLUMNS)
    text = (
        f"{end_s - begin_s:.1f} s, one column is {column_s:.2f} s; "
        f"each holder is shown by the last character of its name\n"
    )
    for lease in sorted({each.lease for each in intervals}):
        row = [" "] * TEXT_COLUMNS
        for interval in intervals:
            if interval.lease != lease:
                continue
            letter = interval.member[-1]
            first = int((interval.since_s - begin_s) / column_s)
            last = int((min(interval.until_s, end_s) - begin_s) / column_s)
            for column in range(first, min(TEXT_COLUMNS, last + 1)):
                row[column] = letter if row[column] in (" ", letter) else "#"
        text += f"{lease:>{TEXT_LABEL_WIDTH}} {''.join(row)}\n"
    for member in sorted({each.member for each in records}):
        row = ["."] * TEXT_COLUMNS
        for record in records:
            if record.member == member and record.event in MARKS:
                row[min(TEXT_COLUMNS - 1, int((record.at_s - begin_s) / column_s))] = MARKS[record.event]
        text += f"{member:>{TEXT_LABEL_WIDTH}} {''.join(row)}\n"
    return text + LEGEND


@dataclass(frozen=True, slots=True)
class _Picture:
    """Layout of the SVG: converts times and rows to pixel positions, and renders its elements."""

    begin_s: float
    end_s: float
    rows: list[str]
    colours: dict[str, str]

    @property
    def height(self) -> int:
        return SVG_TOP + SVG_ROW_HEIGHT * len(self.rows) + SVG_FOOT_HEIGHT

    @property
    def pixels_per_s(self) -> float:
        return (SVG_WIDTH - SVG_LEFT - SVG_RIGHT_MARGIN) / max(MIN_SPAN_S, self.end_s - self.begin_s)

    def x(self, at_s: float) -> float:
        return SVG_LEFT + self.pixels_per_s * (at_s - self.begin_s)

    def y(self, row: str) -> int:
        return SVG_TOP + SVG_ROW_HEIGHT * self.rows.index(row)

    def labels(self) -> list[str]:
        shapes = []
        for index, row in enumerate(self.rows):
            y = SVG_TOP + SVG_ROW_HEIGHT * index
            base = y + SVG_ROW_HEIGHT
            label = f'<text x="{SVG_LEFT - 8}" y="{y + 15}" text-anchor="end">{escape(row)}</text>'
            right = SVG_WIDTH - SVG_RIGHT_MARGIN
            line = f'<line x1="{SVG_LEFT}" x2="{right}" y1="{base}" y2="{base}" stroke="#dddddd"/>'
            shapes += [label, line]
        return shapes

    def bar(self, interval: HoldInterval) -> str:
        width = max(SVG_MIN_BAR, self.pixels_per_s * (min(interval.until_s, self.end_s) - interval.since_s))
        title = escape(
            f"{interval.member} start {interval.start_number} fencing token {interval.fencing_token}"
        )
        return (
            f'<rect x="{self.x(interval.since_s):.1f}" y="{self.y(interval.lease) + 3}" width="{width:.1f}" '
            f'height="{SVG_ROW_HEIGHT - 6}" '
            f'fill="{self.colours[interval.member]}"><title>{title}</title></rect>'
        )

    def mark(self, record: HistoryRecord) -> str:
        x, y = self.x(record.at_s), self.y(record.member) + 15
        return (
            f'<text x="{x:.1f}" y="{y}" fill="{self.colours[record.member]}">{escape(MARKS[record.event])}'
            f"<title>{escape(record.event)}</title></text>"
        )

    def ticks(self) -> list[str]:
        span_s = self.end_s - self.begin_s
        step_s = max(1, int(span_s / SVG_TICKS))
        return [
            f'<text x="{SVG_LEFT + self.pixels_per_s * tick:.1f}" y="{self.height - 10}">{tick} s</text>'
            for tick in range(0, int(span_s) + 1, step_s)
        ]


def render_svg(records: list[HistoryRecord]) -> str:
    """Return a history as an SVG document, with one colour for each member."""
    intervals = hold_intervals(records)
    begin_s, end_s = _span_s(records, intervals) if records else (0.0, 1.0)
    members = sorted({each.member for each in records})
    leases = sorted({each.lease for each in intervals})
    colours = {member: COLOURS[index % len(COLOURS)] for index, member in enumerate(members)}
    picture = _Picture(begin_s, end_s, [*leases, *members], colours)
    shapes = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{SVG_WIDTH}" height="{picture.height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{SVG_WIDTH}" height="{picture.height}" fill="white"/>',
        *picture.labels(),
        *map(picture.bar, intervals),
        *(picture.mark(record) for record in records if record.event in MARKS),
        *picture.ticks(),
    ]
    return "\n".join([*shapes, "</svg>", ""])
