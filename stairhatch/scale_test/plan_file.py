"""Reads and validates a scale file."""

from __future__ import annotations

import difflib
import re
import tomllib
from pathlib import Path

import msgspec

from stairhatch.scale_test.errors import ScaleError
from stairhatch.scale_test.schema import PlannedEventKind, ScalePlan

PLACE = re.compile(r" - at `\$\.?([^`]*)`$")


def read_plan(path: Path) -> ScalePlan:
    """A run from a TOML file; ScaleError names what can't be used."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        return plan_from(raw)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ScaleError) as error:
        raise ScaleError(f"{path}: {error}") from None


def plan_from(raw: object) -> ScalePlan:
    """A run from decoded TOML."""
    try:
        return checked(msgspec.convert(raw, ScalePlan))
    except msgspec.ValidationError as error:
        raise ScaleError(_complaint(str(error))) from None


def _complaint(text: str) -> str:
    """msgspec's words, the key first."""
    place, what = PLACE.search(text), PLACE.sub("", text)
    at = place.group(1) if place else ""
    for form in (r"Object contains unknown field `(.+)`", r"Object missing required field `(.+)`"):
        if found := re.match(form, what):
            key = f"{at}.{found.group(1)}" if at else found.group(1)
            if "missing" in form:
                return f"{key}: is missing"
            known = {each.name for each in msgspec.structs.fields(ScalePlan)} if not at else set()
            near = difflib.get_close_matches(found.group(1), known, 1, 0.6)
            return f"{key}: unknown key" + (f"; did you mean {near[0]}?" if near else "")
    return f"{at}: {what[:1].lower()}{what[1:].replace('`', '')}" if at else what


def checked(plan: ScalePlan) -> ScalePlan:
    """The run, if its parts fit together; ScaleError names what does not."""

    def need(good: bool, text: str) -> None:
        if not good:
            raise ScaleError(text)

    need(plan.services <= plan.servers, "services: there are more of them than servers")
    need(plan.regions <= plan.zones, "regions: there are more of them than zones")
    need(plan.calls.service < plan.services, "calls.service: there is no such service")
    for index, event in enumerate(plan.event):
        at = f"event[{index}]"
        need(event.zone < plan.zones, f"{at}.zone: there is no such zone")
        need(event.service < plan.services, f"{at}.service: there is no such service")
        need(event.region < plan.regions, f"{at}.region: there is no such region")
        if event.what is PlannedEventKind.REGIONS:
            need(plan.regions > 1, f"{at}.what: there is one region only")
        if event.what in (PlannedEventKind.RACK, PlannedEventKind.ZONE, PlannedEventKind.REGIONS):
            need(event.lasts > 0, f"{at}.lasts: must be above 0")
    for what in plan.must_bite:
        need(any(each.what is what for each in plan.event), f"must_bite: there is no event {what.value!r}")
    if plan.fleet is not None:
        need(plan.fleet.voters <= plan.softswitches, "fleet.voters: there are not so many softswitches")
        one = plan.regions == 1 or not plan.fleet.list
        need(one, "fleet.list: each region has a coordinator of its own, with numbers of its own")
    if plan.real is not None:
        need(plan.real.services <= plan.real.servers, "real.services: there are more of them than servers")
        voters = plan.fleet.voters if plan.fleet is not None else 0
        need(voters <= plan.real.softswitches, "real.softswitches: there are more voters")
    for name, bound in plan.bounds.items():
        need(bound.least <= bound.most, f"bounds.{name}: least is above most")
        need(plan.real is not None, "bounds: there is no [real] to hold against")
    return plan
