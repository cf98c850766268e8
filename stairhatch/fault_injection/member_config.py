"""The configuration file of each softswitch of a run, and the host of its addresses.

The keys are those of the appliance's configuration (`stairhatch.config.appliance`).
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.fault_injection.network_links import Address
from stairhatch.fault_injection.schedule import FaultSchedule, MemberNames
from stairhatch.node.address import format_address

MAX_FALL_S = 1.0

CONFIG_TEMPLATE = """name = "{name}"
console = "{admin_endpoint}"
coordinator = "{coordinator}"

[sip]
udp = "{sip}"
contact = "{sip}"
default_class = "read"
restart_wait_s = 1.0

[settings]
balancers = {balancers}

[[settings.classes]]
name = "read"
aim_s = 1.0
hard_limit_s = 3.0
importance = 1.0
late_worth = 0.25

[settings.family_info]
clear_wait_s = 0.5
retransmit_s = 0.8
call_length_s = [1.0]

[settings.permissions]
send_cap = 6
cancel = true
max_retry_after_s = 1.0

[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]

[settings.safety]
answer_slack_s = 0.02
drain_grace_s = 1.0
cold_from = 0.3
warm_after_s = 4.0
fall_multiple = 2.5
fall_s = {fall_s}

[fleet]
name = "lab"
listen = "{listen}"
folder = "state"
history = "history.jsonl"
term_s = {lease_duration_s}
drift = {drift_bound}
list = true
restarts = 1
epoch = {epoch}
voters = {{ {voters} }}
"""

# The same without the fleet's section, to measure what leases cost.
CONFIG_TEMPLATE_WITHOUT_FLEET = CONFIG_TEMPLATE.partition("[fleet]")[0]


def loopback_host() -> str:
    """A loopback address for the softswitches of this process's run.

    Nobody else binds there, so a port that a softswitch held is still free when it is started again; on
    127.0.0.1 any connection may have taken it.
    """
    number = os.getpid() % (126 * 254 * 254)
    return f"127.{1 + number // (254 * 254)}.{1 + number // 254 % 254}.{1 + number % 254}"


@dataclass(kw_only=True)
class ConfigRenderer:
    """Writes out the configuration of each softswitch of a run."""

    template: str
    schedule: FaultSchedule
    address_for: Callable[[str, str], Address]  # under which the first softswitch reaches the second
    coordinator_links: dict[str, Address] = field(
        default_factory=dict
    )  # by which each reaches the coordinator

    def render(self, member: MemberProcess, epoch: int, voters: MemberNames) -> str:
        """The configuration of one softswitch with the voter set of an epoch."""
        listed = [f'{name} = "{format_address(self.address_for(member.name, name))}"' for name in voters]
        return self.template.format(
            name=member.name,
            admin_endpoint=format_address(member.admin_endpoint),
            coordinator=format_address(self.coordinator_links[member.name]),
            sip=format_address(member.sip),
            balancers=len(self.schedule.members) - 1,
            listen=format_address(member.listen),
            lease_duration_s=self.schedule.lease_duration_s,
            drift_bound=self.schedule.drift_bound,
            voters=", ".join(listed),
            epoch=epoch,
            fall_s=min(MAX_FALL_S, self.schedule.lease_duration_s / 3),
        )
