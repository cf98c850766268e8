"""The table `[fleet]`: this softswitch's part in work that several share (docs/fleet.md)."""

from __future__ import annotations

from pathlib import Path

from stairhatch.config.appliance.addresses import address_at
from stairhatch.config.appliance.schema import ApplianceTable, FleetTable
from stairhatch.config.model import ConfigError, read_text
from stairhatch.fleet.config import MAX_VOTERS, FleetConfig
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.sip.addresses import TransportAddress

MAX_NAME_CHARACTERS = 48
MIN_SECRET_CHARACTERS = 16
MAX_ROUND_S = 0.25
ROUNDS_PER_TERM = 8  # at least


def fleet_config(table: FleetTable, whole: ApplianceTable, folder: Path) -> FleetConfig:
    """Convert the table; files are named relative to `folder`. Raises ConfigError."""
    if not 1 <= len(table.voters) <= MAX_VOTERS:
        raise ConfigError(f"fleet.voters: from 1 to {MAX_VOTERS} are needed, best 3 or 5")
    if len(whole.name) > MAX_NAME_CHARACTERS:
        raise ConfigError(f"name: in a fleet it has {MAX_NAME_CHARACTERS} characters at most")
    listen = address_at("fleet.listen", table.listen)
    voters = {name: address_at(f"fleet.voters.{name}", text) for name, text in table.voters.items()}
    _check_voters(table, whole.name, listen, voters)
    if table.list and not whole.coordinator:
        raise ConfigError("fleet.list: there is no coordinator whose list could be handed on")
    return FleetConfig(
        fleet_name=table.name,
        member_name=whole.name,
        listen=listen,
        voters=voters,
        epoch=table.epoch,
        secret=_secret(folder / table.secret) if table.secret is not None else b"",
        data_directory=folder / table.folder if table.folder is not None else None,
        history_path=folder / table.history if table.history is not None else None,
        timings=LeaseTimings(table.term_s, table.drift, min(MAX_ROUND_S, table.term_s / ROUNDS_PER_TERM)),
        lease_instance_index=table.numbers,
        relay_endpoint_list=table.list,
        restart_slots=table.restarts,
    )


def _check_voters(
    table: FleetTable, name: str, listen: TransportAddress, voters: dict[str, TransportAddress]
) -> None:
    """Raise ConfigError for voters of one address, or one of this `name` that does not fit the other keys."""
    if len(set(voters.values())) < len(voters):
        raise ConfigError("fleet.voters: two have one address")
    if name not in voters:
        return
    if voters[name][1] != listen[1]:
        raise ConfigError(f"fleet.voters.{name}: this is that voter, and fleet.listen has another port")
    if table.folder is None:
        raise ConfigError("fleet.folder: a voter needs a folder for its promises")


def _secret(file: Path) -> bytes:
    try:
        secret = read_text(str(file)).strip()
    except ConfigError as error:
        raise ConfigError(f"fleet.secret: {error}") from error
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise ConfigError(f"fleet.secret: the file holds less than {MIN_SECRET_CHARACTERS} characters")
    return secret.encode()
