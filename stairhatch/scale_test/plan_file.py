"""Reads a scale file and checks that its parts are consistent; each error message names the key."""

from __future__ import annotations

import difflib
import re
import tomllib
from pathlib import Path

import msgspec

from stairhatch.scale_test.errors import ScalePlanError
from stairhatch.scale_test.schema import FleetPlan, PlannedEvent, PlannedEventKind, RealRunPlan, ScalePlan

JSON_PATH = re.compile(r" - at `\$\.?([^`]*)`$")  # path of the invalid key, ends a msgspec message
UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.+)`")
MISSING_FIELD = re.compile(r"Object missing required field `(.+)`")
MIN_KEY_SIMILARITY = 0.6  # of a known key that is suggested for an unknown key; 0 to 1 (difflib)
LASTING_KINDS = (
    PlannedEventKind.RACK_OUTAGE,
    PlannedEventKind.ZONE_PARTITION,
    PlannedEventKind.REGION_PARTITION,
)


def read_plan(path: Path) -> ScalePlan:
    """Return the plan in a TOML file.

    Raises ScalePlanError, with path and reason, if the file is unreadable, not TOML, or not a valid plan.
    """
    try:
        return parse_plan(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ScalePlanError) as error:
        raise ScalePlanError(f"{path}: {error}") from error


def parse_plan(decoded: object) -> ScalePlan:
    """Return the plan in decoded TOML; raises ScalePlanError, which names the invalid key."""
    try:
        plan = msgspec.convert(decoded, ScalePlan)
    except msgspec.ValidationError as error:
        raise ScalePlanError(_key_first_message(str(error))) from error
    check_plan(plan)
    return plan


def check_plan(plan: ScalePlan) -> None:
    """Raise ScalePlanError, which names the key, if two parts of the plan contradict each other."""
    _require(plan.service_count <= plan.server_count, "services: more services than servers")
    _require(plan.region_count <= plan.zone_count, "regions: more regions than zones")
    _require(plan.calls.service < plan.service_count, "calls.service: there is no such service")
    for index, event in enumerate(plan.events):
        _check_event(plan, event, f"event[{index}]")
    planned = {event.kind for event in plan.events}
    for kind in plan.required_events:
        _require(kind in planned, f"must_bite: there is no event {kind.value!r}")
    if plan.fleet is not None:
        _check_fleet(plan, plan.fleet)
    if plan.real is not None:
        _check_real_run(plan.real, plan.fleet)
    for figure, bounds in plan.bounds.items():
        _require(bounds.minimum <= bounds.maximum, f"bounds.{figure.value}: least is above most")
        _require(plan.real is not None, "bounds: the plan has no [real] table to compare with")


def _require(condition: bool, fault: str) -> None:
    if not condition:
        raise ScalePlanError(fault)


def _check_event(plan: ScalePlan, event: PlannedEvent, key: str) -> None:
    _require(event.zone < plan.zone_count, f"{key}.zone: there is no such zone")
    _require(event.service < plan.service_count, f"{key}.service: there is no such service")
    _require(event.region < plan.region_count, f"{key}.region: there is no such region")
    if event.kind is PlannedEventKind.REGION_PARTITION:
        _require(plan.region_count > 1, f"{key}.what: the plan has only one region")
    if event.kind in LASTING_KINDS:
        _require(event.duration_s > 0, f"{key}.lasts: must be above 0")


def _check_fleet(plan: ScalePlan, fleet: FleetPlan) -> None:
    enough = fleet.voter_count <= plan.softswitch_count
    _require(enough, "fleet.voters: more voters than softswitches")
    one_list = plan.region_count == 1 or not fleet.relay_endpoint_list
    _require(
        one_list,
        "fleet.list: each region has a coordinator of its own, which numbers its changes independently",
    )


def _check_real_run(real: RealRunPlan, fleet: FleetPlan | None) -> None:
    enough_servers = real.service_count <= real.server_count
    _require(enough_servers, "real.services: more services than servers")
    voter_count = fleet.voter_count if fleet is not None else 0
    _require(voter_count <= real.softswitch_count, "real.softswitches: fewer softswitches than voters")


def _key_first_message(text: str) -> str:
    """Return a msgspec validation message in the form "key: fault", with a suggestion for an unknown key."""
    place, message = JSON_PATH.search(text), JSON_PATH.sub("", text)
    parent = place.group(1) if place else ""
    prefix = f"{parent}." if parent else ""
    if unknown := UNKNOWN_FIELD.match(message):
        key = unknown.group(1)
        suggestion = "" if parent else _suggest(key)
        return f"{prefix}{key}: unknown key{suggestion}"
    if missing := MISSING_FIELD.match(message):
        return f"{prefix}{missing.group(1)}: is missing"
    return f"{parent}: {message[:1].lower()}{message[1:].replace('`', '')}" if parent else message


def _suggest(unknown_key: str) -> str:
    known = {each.encode_name for each in msgspec.structs.fields(ScalePlan)}
    near = difflib.get_close_matches(unknown_key, known, 1, MIN_KEY_SIMILARITY)
    return f"; did you mean {near[0]}?" if near else ""
