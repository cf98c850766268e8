"""The configuration files of a run's softswitches, and the loopback host of their addresses.

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

# The template without the [fleet] section, to measure the cost of leases.
CONFIG_TEMPLATE_WITHOUT_FLEET = CONFIG_TEMPLATE.partition("[fleet]")[0]


def loopback_host() -> str:
    """Return the loopback address, derived from the process ID, for the softswitches of this process's run.

    No other process binds to the address, so a softswitch's port is still free when the softswitch is
    restarted. On 127.0.0.1 any connection could have taken the port.
    """
    host_index = os.getpid() % (126 * 254 * 254)
    return f"127.{1 + host_index // (254 * 254)}.{1 + host_index // 254 % 254}.{1 + host_index % 254}"


@dataclass(kw_only=True)
class ConfigRenderer:
    """Renderer of the configuration files of a run's softswitches."""

    template: str
    schedule: FaultSchedule
    address_for: Callable[[str, str], Address]  # (sender, receiver) -> the receiver's address for it
    coordinator_links: dict[str, Address] = field(default_factory=dict)  # relay to the coordinator, by member

    def render(self, member: MemberProcess, epoch: int, voters: MemberNames) -> str:
        """Return the text of a softswitch's configuration file with the voter set of an epoch."""
        voter_entries = [
            f'{name} = "{format_address(self.address_for(member.name, name))}"' for name in voters
        ]
        return self.template.format(
            name=member.name,
            admin_endpoint=format_address(member.admin_endpoint),
            coordinator=format_address(self.coordinator_links[member.name]),
            sip=format_address(member.sip),
            balancers=len(self.schedule.members) - 1,
            listen=format_address(member.listen),
            lease_duration_s=self.schedule.lease_duration_s,
            drift_bound=self.schedule.drift_bound,
            voters=", ".join(voter_entries),
            epoch=epoch,
            fall_s=min(MAX_FALL_S, self.schedule.lease_duration_s / 3),
        )
