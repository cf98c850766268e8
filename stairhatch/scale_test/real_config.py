"""Builds the configuration file of each real softswitch of a run.

The keys are those of the appliance's configuration (`stairhatch.config.appliance`).
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.node.address import format_address
from stairhatch.scale_test.call_generator import service_prefix
from stairhatch.scale_test.schema import FleetPlan, ScalePlan
from stairhatch.scale_test.softswitch_settings import call_class_name, settings_object

CONFIG_TEMPLATE = """\
name = "{name}"
coordinator = "{coordinator}"

[sip]
udp = "{sip}"
contact = "{sip}"
default_class = "{default_class}"
restart_wait_s = 1.0
"""


def inline_toml(value: Any) -> str:
    """Return a value as one line of TOML; lists, strings and numbers have the same form as in JSON."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {inline_toml(each)}" for key, each in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(inline_toml, value)) + "]"
    return json.dumps(value)


def config_text(
    plan: ScalePlan, members: Sequence[MemberProcess], index: int, coordinator: tuple[str, int]
) -> str:
    """Return the configuration of `members[index]`; the first members of the list are the voters."""
    member = members[index]
    text = CONFIG_TEMPLATE.format(
        name=member.name,
        coordinator=format_address(coordinator),
        sip=format_address(member.sip),
        default_class=call_class_name(0),
    )
    for service in range(plan.service_count):
        prefix, call_class = service_prefix(service), call_class_name(service)
        text += f'[[sip.numbers]]\nprefix = "{prefix}"\nclass = "{call_class}"\n'
    settings = settings_object(plan)
    if plan.fleet is None or not plan.fleet.lease_instance_index:
        settings["me"] = index
    text += _section("settings", settings)
    if plan.fleet is not None:
        text += _section("fleet", _fleet_section(plan.fleet, members, member))
    return text


def _section(name: str, values: dict[str, Any]) -> str:
    return f"[{name}]\n" + "".join(f"{key} = {inline_toml(value)}\n" for key, value in values.items())


def _fleet_section(
    fleet: FleetPlan, members: Sequence[MemberProcess], member: MemberProcess
) -> dict[str, Any]:
    voters = {voter.name: format_address(voter.listen) for voter in members[: fleet.voter_count]}
    return {
        "name": "scale",
        "listen": format_address(member.listen),
        "folder": member.data_directory.name,
        "term_s": fleet.lease_duration_s,
        "drift": fleet.clock_drift_bound,
        "numbers": fleet.lease_instance_index,
        "list": fleet.relay_endpoint_list,
        "voters": voters,
    }
