"""What is wrong with a simulated run."""

from __future__ import annotations

from typing import Any

from stairhatch.scale_test.schema import ScalePlan


def judged(plan: ScalePlan, figures: dict[str, Any]) -> list[str]:
    """What is wrong with a hollow run, or with what it proves."""
    found = []
    if figures["unanswered"]:
        found.append(f"{figures['unanswered']} calls had no final answer")
    found += [f"a fault in the program's parts: {each}" for each in figures["faults"]]
    if figures["servers"]["fallen"]:
        found.append(f"{figures['servers']['fallen']} cold roster servers were pushed over")
    if not figures["calls"]["stood"]:
        found.append("no call stood: the run proves nothing")
    changes = figures["changes"]
    if changes["not_heard"] or changes["lists_apart"]:
        found.append(
            f"{changes['not_heard']} changes of the list not heard, {changes['lists_apart']} softswitches go "
            "by another list than their coordinator's"
        )
    found += [
        f"{each.value} did not bite: the run proves nothing of it"
        for each in plan.required_events
        if not figures["bites"][each.value]
    ]
    if plan.judge_cold_windows:
        beyond = [each for each in figures["windows"] if each["fullest"] > each["most"]]
        found += [
            f"server {each['server']}: {each['fullest']} set-ups in a window while cold, "
            f"{each['most']:g} at most"
            for each in beyond[:5]
        ]
        if not figures["windows"]:
            found.append("window: no server was cold")
    return found
