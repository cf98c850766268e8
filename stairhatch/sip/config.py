"""The configuration of the SIP frontend, as read from the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from stairhatch.admission.admission_control import AdmissionPolicy
from stairhatch.sip.addresses import AllowedNetworks, TransportAddress
from stairhatch.sip.session_timer import SessionTimerPolicy


@dataclass(frozen=True, slots=True)
class SipListener:
    """A listening address and the networks whose messages it accepts."""

    address: TransportAddress
    networks: AllowedNetworks = field(default_factory=AllowedNetworks)


@dataclass(frozen=True, slots=True)
class AuthConfig:
    """The configuration of digest authentication, for the users of one realm."""

    realm: str
    users: Mapping[tuple[str, str], str] = field(repr=False)  # hashes by user and algorithm
    algorithms: tuple[str, ...]
    nonce_s: float  # lifetime of a nonce in seconds


@dataclass(frozen=True, slots=True)
class NumberPrefix:
    """The classification of calls to numbers with a common prefix."""

    prefix: str
    call_class: str  # name of the class
    preferred_number: int  # number of the roster server that is tried first; -1 if there is none


@dataclass(frozen=True, slots=True)
class SipConfig:
    """The configuration of a frontend: listening addresses, call classification and limits."""

    udp: tuple[SipListener, ...]
    tcp: tuple[SipListener, ...]
    contact: str  # host and port of our Contact and Via; "" for the address of the listener in use
    default_class: str  # name of the class of calls to numbers without a configured prefix
    numbers: tuple[NumberPrefix, ...]  # sorted: the longest prefix first
    connections: int = 256  # maximum number of connections
    # A connection without input for this long is closed, unless a response is pending or a dialog uses it.
    idle_s: float = 600.0
    memory_mb: int = 64  # limit for open and recorded transactions
    dialogs: int = 10_000  # maximum number of dialogs
    restart_wait_s: float = 60.0  # maximum time that a restart waits for established calls to end
    timers: SessionTimerPolicy = field(default_factory=SessionTimerPolicy)
    auth: AuthConfig | None = None
    admission: AdmissionPolicy | None = None  # None if all new calls are admitted

    def with_reloadable(self, new: SipConfig) -> SipConfig:
        """Return this configuration with the values of `new` that a reload can change during calls."""
        return replace(
            self,
            numbers=new.numbers,
            default_class=new.default_class,
            timers=new.timers,
            auth=new.auth,
            restart_wait_s=new.restart_wait_s,
        )
