"""The table `[fleet]`: this softswitch's membership in a fleet (docs/fleet.md)."""

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
MIN_ROUNDS_PER_LEASE = 8  # a lease lasts for at least this many round timeouts


def fleet_config(table: FleetTable, appliance: ApplianceTable, directory: Path) -> FleetConfig:
    """Return the fleet's configuration; the paths in the table are relative to `directory`.

    `appliance` is the complete file. Raises ConfigError with the path of the key that cannot be used.
    """
    if not 1 <= len(table.voters) <= MAX_VOTERS:
        raise ConfigError(f"fleet.voters: a fleet needs 1 to {MAX_VOTERS} voters, preferably 3 or 5")
    if len(appliance.name) > MAX_NAME_CHARACTERS:
        raise ConfigError(f"name: a fleet member's name must not exceed {MAX_NAME_CHARACTERS} characters")
    listen = address_at("fleet.listen", table.listen)
    voters = {name: address_at(f"fleet.voters.{name}", text) for name, text in table.voters.items()}
    _check_voters(table, appliance.name, listen, voters)
    if table.list and not appliance.coordinator:
        raise ConfigError("fleet.list: there is no coordinator whose endpoint list could be relayed")
    return FleetConfig(
        fleet_name=table.name,
        member_name=appliance.name,
        listen=listen,
        voters=voters,
        epoch=table.epoch,
        secret=_secret(directory / table.secret) if table.secret is not None else b"",
        data_directory=directory / table.folder if table.folder is not None else None,
        history_path=directory / table.history if table.history is not None else None,
        timings=LeaseTimings(
            table.term_s, table.drift, min(MAX_ROUND_S, table.term_s / MIN_ROUNDS_PER_LEASE)
        ),
        lease_instance_index=table.numbers,
        relay_endpoint_list=table.list,
        restart_slots=table.restarts,
    )


def _check_voters(
    table: FleetTable, name: str, listen: TransportAddress, voters: dict[str, TransportAddress]
) -> None:
    """Raise ConfigError if two voters have the same address.

    If the voter `name` is this softswitch itself, raise ConfigError also if the voter's port differs from
    that of `listen`, or if the table has no data directory.
    """
    if len(set(voters.values())) < len(voters):
        raise ConfigError("fleet.voters: two voters have the same address")
    if name not in voters:
        return
    if voters[name][1] != listen[1]:
        raise ConfigError(
            f"fleet.voters.{name}: this softswitch is that voter, but fleet.listen has another port"
        )
    if table.folder is None:
        raise ConfigError("fleet.folder: a voter needs a folder for its votes")


def _secret(file: Path) -> bytes:
    try:
        secret = read_text(str(file)).strip()
    except ConfigError as error:
        raise ConfigError(f"fleet.secret: {error}") from error
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise ConfigError(
            f"fleet.secret: the secret in the file has fewer than {MIN_SECRET_CHARACTERS} characters"
        )
    return secret.encode()
