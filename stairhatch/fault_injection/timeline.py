"""Who held what when, for people: owns the picture of a run as text and SVG, drawn from its history alone."""

from __future__ import annotations

import math
from xml.sax.saxutils import escape

from stairhatch.fault_injection.history import Line
from stairhatch.fault_injection.rules import stretches

COLUMNS = 100
WIDTH, ROW, LEFT, TOP = 1000, 22, 110, 30
COLOURS = ("#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb", "#994400", "#000000")
MARKS = {"killed": "x", "started": "o", "stopped": "|", "let go on": ">", "folder": "!"}


def _span(lines: list[Line]) -> tuple[float, float]:
    ends = [each.until for each in stretches(lines) if math.isfinite(each.until)]
    return min(each.at for each in lines), max([each.at for each in lines] + ends)


def text(lines: list[Line]) -> str:
    """A row for each claim with the holder's last character at each moment, and one for what was done to
    each.
    """
    if not lines:
        return "nothing happened\n"
    begin, end = _span(lines)
    step = max(1e-9, (end - begin) / COLUMNS)
    names = sorted({each.who for each in lines})
    out = f"{end - begin:.1f} s, a column is {step:.2f} s; holders by the end of their name\n"
    held = stretches(lines)
    for claim in sorted({each.claim for each in held}):
        row = [" "] * COLUMNS
        for each in (h for h in held if h.claim == claim):
            first = int((each.since - begin) / step)
            last = int((min(each.until, end) - begin) / step)
            for column in range(first, min(COLUMNS, last + 1)):
                row[column] = each.who[-1] if row[column] in (" ", each.who[-1]) else "#"
        out += f"{claim:>12} {''.join(row)}\n"
    for name in names:
        row = ["."] * COLUMNS
        for line in lines:
            if line.who == name and line.what in MARKS:
                row[min(COLUMNS - 1, int((line.at - begin) / step))] = MARKS[line.what]
        out += f"{name:>12} {''.join(row)}\n"
    return (
        out
        + "x killed, o started, | stopped, > let go on, ! its folder lost or put back old, # two at once\n"
    )


def svg(lines: list[Line]) -> str:
    """The same as a picture."""
    begin, end = _span(lines) if lines else (0.0, 1.0)
    names = sorted({each.who for each in lines})
    held = stretches(lines)
    claims = sorted({each.claim for each in held})
    rows = [*claims, *names]
    scale = (WIDTH - LEFT - 10) / max(1e-9, end - begin)
    colour = {name: COLOURS[index % len(COLOURS)] for index, name in enumerate(names)}
    height = TOP + ROW * len(rows) + 30
    out = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
    ]
    for index, row in enumerate(rows):
        y = TOP + ROW * index
        out.append(f'<text x="{LEFT - 8}" y="{y + 15}" text-anchor="end">{escape(row)}</text>')
        out.append(f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{y + ROW}" y2="{y + ROW}" stroke="#dddddd"/>')
    for each in held:
        x, y = LEFT + scale * (each.since - begin), TOP + ROW * rows.index(each.claim)
        wide = max(0.5, scale * (min(each.until, end) - each.since))
        told = escape(f"{each.who} start {each.start} ticket {each.ticket}")
        out.append(
            f'<rect x="{x:.1f}" y="{y + 3}" width="{wide:.1f}" height="{ROW - 6}" '
            f'fill="{colour[each.who]}"><title>{told}</title></rect>'
        )
    for line in lines:
        if line.what in MARKS:
            x, y = LEFT + scale * (line.at - begin), TOP + ROW * rows.index(line.who) + 15
            out.append(
                f'<text x="{x:.1f}" y="{y}" fill="{colour[line.who]}">{escape(MARKS[line.what])}'
                f"<title>{escape(line.what)}</title></text>"
            )
    seconds = max(1, int((end - begin) / 10))
    for tick in range(0, int(end - begin) + 1, seconds):
        out.append(f'<text x="{LEFT + scale * tick:.1f}" y="{height - 10}">{tick} s</text>')
    return "\n".join([*out, "</svg>", ""])
