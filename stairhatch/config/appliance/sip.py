"""The table `[sip]`: listeners, digest authentication, classes of called numbers and admission control."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from stairhatch.admission.admission_control import AdmissionPolicy
from stairhatch.admission.overload_detector import OverloadDetectorPolicy
from stairhatch.admission.rate_limits import RateLimitPolicy
from stairhatch.config.appliance.addresses import address_at, listeners_at
from stairhatch.config.appliance.schema import AdmissionTable, AuthTable, SipTable
from stairhatch.config.appliance.validation import suggestion
from stairhatch.config.model import ConfigError, read_text
from stairhatch.overload.settings import Settings
from stairhatch.sip import digest_auth
from stairhatch.sip.config import AuthConfig, NumberPrefix, SipConfig
from stairhatch.sip.session_timer import SessionTimerPolicy

ALGORITHM_SIMILARITY = 0.3  # lower than for keys, because the names of algorithms are short
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class KnownClasses:
    """The names of the settings' call classes, to check keys that refer to a class."""

    names: frozenset[str]

    @classmethod
    def of(cls, settings: Settings) -> KnownClasses:
        """Return the names of all classes in the settings."""
        return cls(frozenset(each.name for each in settings.classes))

    def require(self, path: str, name: str) -> str:
        """Return `name`. Raises ConfigError with the key's path if the settings have no such class."""
        if name not in self.names:
            hint = suggestion(name, self.names)
            raise ConfigError(f"{path}: the settings have no class {name!r}{hint}")
        return name


def sip_config(table: SipTable, settings: Settings, directory: Path) -> SipConfig:
    """Return the SIP frontend's configuration; the paths in the table are relative to `directory`.

    Raises ConfigError with the path of the key that cannot be used.
    """
    classes = KnownClasses.of(settings)
    udp = listeners_at("sip.udp", table.udp)
    tcp = listeners_at("sip.tcp", table.tcp)
    if not udp and not tcp:
        raise ConfigError("sip: at least one listener is required, in udp or in tcp")
    if table.contact:
        address_at("sip.contact", table.contact)
    numbers = [
        NumberPrefix(
            each.prefix, classes.require(f"sip.numbers[{index}].class", each.class_), each.first_choice
        )
        for index, each in enumerate(table.numbers)
    ]
    return SipConfig(
        udp=udp,
        tcp=tcp,
        contact=table.contact,
        default_class=classes.require("sip.default_class", table.default_class),
        numbers=tuple(sorted(numbers, key=lambda number: -len(number.prefix))),  # the longest prefix first
        connections=table.connections,
        idle_s=table.idle_s,
        memory_mb=table.memory_mb,
        dialogs=table.dialogs,
        restart_wait_s=table.restart_wait_s,
        timers=SessionTimerPolicy(table.timers.session_expires_s, table.timers.min_se_s),
        auth=_auth_config(table.auth, directory) if table.auth is not None else None,
        admission=_admission_policy(table.admission) if table.admission.on else None,
    )


def _auth_config(table: AuthTable, directory: Path) -> AuthConfig:
    for index, name in enumerate(table.algorithms):
        if name not in digest_auth.ALGORITHMS:
            hint = suggestion(name, digest_auth.ALGORITHMS, ALGORITHM_SIMILARITY)
            raise ConfigError(f"sip.auth.algorithms[{index}]: unknown algorithm {name!r}{hint}")
    path = str(directory / table.users)
    try:
        users = digest_auth.parse_users(read_text(path), table.realm, table.algorithms)
    except digest_auth.UserFileError as error:
        raise ConfigError(f"sip.auth.users: {path}: {error}") from error
    except ConfigError as error:
        raise ConfigError(f"sip.auth.users: {error}") from error
    ordered = tuple(name for name in digest_auth.ALGORITHMS if name in table.algorithms)
    return AuthConfig(table.realm, users, ordered, table.nonce_s)


def _admission_policy(table: AdmissionTable) -> AdmissionPolicy:
    if not table.abatement_ms < table.onset_ms < table.full_ms:
        raise ConfigError("sip.admission: abatement_ms must be below onset_ms, and onset_ms below full_ms")
    if table.return_s[0] > table.return_s[1]:
        raise ConfigError("sip.admission.return_s: the first value must not exceed the second")
    return AdmissionPolicy(
        OverloadDetectorPolicy(
            onset_s=table.onset_ms / MS_PER_S,
            abatement_s=table.abatement_ms / MS_PER_S,
            target_s=table.target_ms / MS_PER_S,
            saturation_s=table.full_ms / MS_PER_S,
        ),
        RateLimitPolicy(
            source_rate=table.source_rate,
            source_burst=table.source_burst,
            network_rate=table.network_rate,
            network_burst=table.network_burst,
            ipv4_network_bits=table.network_v4,
            ipv6_network_bits=table.network_v6,
        ),
        retry_after_range_s=table.return_s,
    )
