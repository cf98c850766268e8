"""The configuration of the SIP frontend, as the operators' file gives it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from stairhatch.admission.admission_control import AdmissionPolicy
from stairhatch.sip.addresses import AllowedNetworks, TransportAddress
from stairhatch.sip.session_timer import SessionTimerPolicy


@dataclass(frozen=True, slots=True)
class SipListener:
    """An address that is listened on, and the networks whose messages it accepts."""

    address: TransportAddress
    networks: AllowedNetworks = field(default_factory=AllowedNetworks)


@dataclass(frozen=True, slots=True)
class AuthConfig:
    """Who may call: hashes by user and algorithm, of one realm."""

    realm: str
    users: Mapping[tuple[str, str], str] = field(repr=False)
    algorithms: tuple[str, ...]
    nonce_s: float  # how long a nonce is good


@dataclass(frozen=True, slots=True)
class NumberPrefix:
    """What calls to the numbers that begin with a prefix are."""

    prefix: str
    call_class: str
    preferred_number: int  # of the roster server that is tried first; -1: none


@dataclass(frozen=True, slots=True)
class SipConfig:
    """Where the frontend listens, how it reads an INVITE, and its limits."""

    udp: tuple[SipListener, ...]
    tcp: tuple[SipListener, ...]
    contact: str  # "": of each listener its own address
    default_class: str
    numbers: tuple[NumberPrefix, ...]  # the longest prefix first
    connections: int = 256
    idle_s: float = 600.0  # a connection on which nothing came for so long, and nothing is owed, is closed
    memory_mb: int = 64  # for transactions, open and remembered
    dialogs: int = 10_000
    restart_wait_s: float = 60.0  # so long a restart waits for established calls
    timers: SessionTimerPolicy = field(default_factory=SessionTimerPolicy)
    auth: AuthConfig | None = None
    admission: AdmissionPolicy | None = None  # None: whatever comes is served

    def with_reloadable(self, new: SipConfig) -> SipConfig:
        """This configuration with what a reload can take from a new one while calls go on."""
        return replace(
            self,
            numbers=new.numbers,
            default_class=new.default_class,
            timers=new.timers,
            auth=new.auth,
            restart_wait_s=new.restart_wait_s,
        )
