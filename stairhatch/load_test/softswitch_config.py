"""The configuration file of the softswitch under load, rendered with the load's classes of calls."""

from __future__ import annotations

from stairhatch.emulators.ports import Address
from stairhatch.load_test.load_plan import LoadClass, LoadPlan
from stairhatch.node.address import format_address

TEMPLATE = """\
name = "load"
[sip]
udp = "{address}"
tcp = "{address}"
contact = "{address}"
default_class = "{default_class}"
restart_wait_s = 0
dialogs = 60000
connections = 4096
{sip_lines}
{numbers}
{servers}
[settings]
balancers = 1
{classes}
[settings.family_info]
clear_wait_s = 0.5
retransmit_s = 0.8
[settings.permissions]
send_cap = 6
cancel = true
retry_after = true
max_retry_after_s = 4.0
[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]
[settings.safety]
answer_slack_s = 0.02
drain_grace_s = 1.0
cold_from = 0.3
warm_after_s = 14.0
fall_multiple = 2.5
fall_s = 1.5
"""


def render_config(plan: LoadPlan, sip_lines: str, address: Address, server_ports: list[int]) -> str:
    """Return the text of a TOML configuration file.

    The softswitch listens at `address` over UDP and TCP, `sip_lines` are additional lines of `[sip]`, and
    `server_ports` are the roster servers' ports on the loopback address.
    """
    return TEMPLATE.format(
        address=format_address(address),
        default_class=plan.classes[0].name,
        sip_lines=sip_lines,
        numbers="\n".join(_number_entry(each) for each in plan.classes),
        servers="\n".join(_server_entry(index, port) for index, port in enumerate(server_ports)),
        classes="\n".join(_class_entry(each) for each in plan.classes),
    )


def _number_entry(load_class: LoadClass) -> str:
    return f'[[sip.numbers]]\nprefix = "{load_class.number}"\nclass = "{load_class.name}"'


def _server_entry(index: int, port: int) -> str:
    return f'[[servers]]\nname = "r{index}"\naddress = "127.0.0.1:{port}"\nnumber = {index}'


def _class_entry(load_class: LoadClass) -> str:
    return "\n".join(
        [
            "[[settings.classes]]",
            f'name = "{load_class.name}"',
            f"aim_s = {load_class.latency_objective_s}",
            f"hard_limit_s = {load_class.time_limit_s}",
            f"importance = {load_class.weight}",
            f"late_worth = {load_class.late_weight}",
        ]
    )
