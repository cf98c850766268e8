"""The options of the demonstration, and its embedded configuration."""

from __future__ import annotations

import os
from dataclasses import dataclass

from stairhatch.config.appliance.reader import parse_appliance
from stairhatch.config.model import Config
from stairhatch.emulators.ports import Address
from stairhatch.node.address import format_address

DEFAULT_LISTEN = "127.0.0.1:5060"
TEMPLATE = """\
name = "demo"
[sip]
{listeners}
default_class = "read-roster"
restart_wait_s = 1.0
[[sip.numbers]]
prefix = "7"
class = "save-roster"
first_choice = 0
{servers}
[settings]
[[settings.classes]]
name = "read-roster"
aim_s = 1.5
hard_limit_s = 9.0
late_worth = 0.25
[[settings.classes]]
name = "save-roster"
aim_s = 1.5
hard_limit_s = 9.0
importance = 3.0
late_worth = 0.1
[settings.family_info]
clear_wait_s = 0.5
[settings.permissions]
send_cap = 6
cancel = true
max_retry_after_s = 2.0
[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoOptions:
    """The options of the demonstration's command line."""

    udp: str = DEFAULT_LISTEN  # host:port of the softswitch; empty: no UDP
    tcp: str = DEFAULT_LISTEN  # the same for TCP
    calls_per_s: float = 3.0  # mean call rate; 0: no calls are placed
    seconds: float = 0.0  # duration; 0: until a signal
    users_file: str = ""  # file of the users who may call; empty: no authentication
    seed: int = 1


def demo_config(options: DemoOptions, server_addresses: list[Address]) -> Config:
    """Return the embedded configuration, parsed like any file. Raises ConfigError if it is invalid."""
    listeners = [f'{name} = "{at}"' for name, at in (("udp", options.udp), ("tcp", options.tcp)) if at]
    servers = [_server_entry(index, address) for index, address in enumerate(server_addresses)]
    text = TEMPLATE.format(listeners="\n".join(listeners), servers="\n".join(servers))
    if options.users_file:
        text += f'\n[sip.auth]\nusers = "{options.users_file}"\nrealm = "stairhatch"\n'
    return parse_appliance(text, os.path.join(os.getcwd(), "demo"), {})


def _server_entry(index: int, address: Address) -> str:
    return (
        f'[[servers]]\nname = "emulator-{index + 1}"\n'
        f'address = "{format_address(address)}"\nnumber = {index}'
    )
