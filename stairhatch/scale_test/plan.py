"""What a scale run is to be: owns its file, who stands where, which service asks which, and the calls drawn
from the seed. The same file draws the same calls for hollow softswitches and for processes. It must never
know a clock or a socket.
"""

from __future__ import annotations

import difflib
import random
import re
import tomllib
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from stairhatch.fault_injection.schedule import FaultKind, blocks_traffic
from stairhatch.fault_injection.schedule import ScheduledFault as Cut
from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.settings.parser import settings_from_object

MOST_DEPTH = 11
NUMBERS = 1000  # the number called begins with this plus the service
PLACE = re.compile(r" - at `\$\.?([^`]*)`$")

Count = Annotated[int, Meta(ge=1, le=100_000)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Positive = Annotated[float, Meta(gt=0, le=100_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class ScaleError(ValueError):
    """A run that can't be carried out as it is asked for; the text names the key."""


class PlannedEventKind(Enum):
    """Something that happens during a run."""

    CHANGE = "change"  # lines of the list are told anew, `count` times, evenly over `lasts`
    RESTART = "restart"  # `count` softswitches, one after the other evenly over `lasts`
    START = "start"  # the softswitches of `zone` are down until `at`, and start at once
    COLD = "cold"  # `count` roster servers of `service` are replaced by cold ones at once
    RACK = "rack"  # `count` machines of `zone` are off for `lasts`: roster server and softswitch
    ZONE = "zone"  # `zone` is cut off from the others for `lasts`
    REGIONS = "regions"  # the regions are apart for `lasts`


class Happens(Struct, forbid_unknown_fields=True, frozen=True):
    """One of them."""

    at: Seconds
    what: PlannedEventKind
    lasts: Seconds = 0.0
    count: Count = 1
    zone: Annotated[int, Meta(ge=0)] = 0
    service: Annotated[int, Meta(ge=0)] = 0
    region: Annotated[int, Meta(ge=-1)] = -1  # whose coordinator is told of a change; -1: each in turn


class Calls(Struct, forbid_unknown_fields=True, frozen=True):
    """What callers ask for, and what services ask of each other."""

    rate: Annotated[float, Meta(ge=0, le=260_000)] = 20.0  # calls a second from outside, at all softswitches
    service: Annotated[int, Meta(ge=-1)] = -1  # which they ask for; -1: those of the first level
    depth: Annotated[int, Meta(ge=1, le=MOST_DEPTH)] = 3  # the longest chain of calls
    follow: Share = 0.6  # a call that stands leads to one at each service below with this chance
    fan_out: Annotated[int, Meta(ge=1, le=16)] = 2  # services below each
    hold_s: Annotated[float, Meta(gt=0, le=3600)] = 0.5  # mean
    aim_s: Annotated[float, Meta(gt=0, le=60)] = 1.0
    limit_s: Annotated[float, Meta(gt=0, le=60)] = 3.0


class SimulatedServerPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """A roster server, as `standin/processor.py` has it."""

    set_up_ms: Annotated[float, Meta(gt=0, le=60_000)] = 5.0
    lines: Count = 200
    state_s: Annotated[float, Meta(ge=0.05, le=60)] = 0.4  # how often it tells its state, on each link
    longest_wait_s: Annotated[float, Meta(gt=0, le=60)] = 3.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3
    warm_after_s: Seconds = 14.0
    fall_multiple: Positive = 2.5
    fall_s: Annotated[float, Meta(gt=0, le=60)] = 1.5


class NetworkDelays(Struct, forbid_unknown_fields=True, frozen=True):
    """The ways between two machines, by how far apart they are."""

    zone: DatagramConditions = DatagramConditions(delay_ms=0.1, jitter_ms=0.1)
    zones: DatagramConditions = DatagramConditions(delay_ms=0.6, jitter_ms=0.2)
    regions: DatagramConditions = DatagramConditions(delay_ms=12.0, jitter_ms=1.0)


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """Claims among all softswitches."""

    voters: Annotated[int, Meta(ge=1, le=9)] = 3
    term_s: Annotated[float, Meta(ge=0.1, le=600)] = 3.0
    numbers: bool = True
    list: bool = False  # one follows the coordinator for all
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01


class Real(Struct, forbid_unknown_fields=True, frozen=True):
    """The same scenario once more at this size, by real processes and by hollow ones."""

    softswitches: Annotated[int, Meta(ge=2, le=8)] = 4
    servers: Annotated[int, Meta(ge=1, le=16)] = 4
    services: Annotated[int, Meta(ge=1, le=16)] = 2
    rate: Annotated[float, Meta(gt=0, le=500)] = 20.0
    depth: Annotated[int, Meta(ge=1, le=MOST_DEPTH)] = 3
    seconds: Annotated[float, Meta(gt=0, le=60)] = 5.0
    changes: Annotated[int, Meta(ge=0, le=100)] = 4
    settle_s: Annotated[float, Meta(ge=0, le=30)] = 1.0  # from when all serve to what is counted


class Bound(Struct, forbid_unknown_fields=True, frozen=True):
    """Between which hollow over real has to lie. `grain` is added to both, for figures near zero."""

    least: Annotated[float, Meta(ge=0)] = 0.8
    most: Annotated[float, Meta(ge=0)] = 1.25
    grain: Annotated[float, Meta(ge=0)] = 5.0


FIGURES = (
    "stood", "refused", "failed", "set_ups", "list_messages", "list_bytes", "claim_messages", "claim_bytes",
    "in_force_ms",
)  # fmt: skip


class ScalePlan(Struct, forbid_unknown_fields=True, frozen=True):
    """The file of a run."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
    seed: int
    seconds: Annotated[float, Meta(gt=0, le=86_400)]
    softswitches: Count
    servers: Count
    services: Annotated[int, Meta(ge=1, le=1000)] = 1
    regions: Annotated[int, Meta(ge=1, le=8)] = 1
    zones: Annotated[int, Meta(ge=1, le=64)] = 1
    calls: Calls = Calls()
    server: SimulatedServerPlan = SimulatedServerPlan()
    wire: NetworkDelays = NetworkDelays()
    fleet: Fleet | None = None
    event: tuple[Happens, ...] = ()
    lead_s: Annotated[float, Meta(ge=0.5, le=600)] = 2.0  # from the start to the first call
    must_bite: tuple[PlannedEventKind, ...] = ()  # else the run proves nothing
    window: bool = False  # the fullest window at each cold server must keep to N + 2 root N + 2
    drain_s: Seconds = 5.0  # a softswitch that is restarted waits so long for its calls at the most
    down_s: Seconds = 1.0  # and is away so long
    attempts: Annotated[int, Meta(ge=1, le=6)] = 6
    real: Real | None = None
    bounds: dict[Literal[FIGURES], Bound] = {}  # type: ignore[valid-type]


def read_plan(path: Path) -> ScalePlan:
    """A run from a TOML file; ScaleError names what can't be used."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        return plan_from(raw)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ScaleError) as error:
        raise ScaleError(f"{path}: {error}") from None


def plan_from(raw: object) -> ScalePlan:
    """A run from decoded TOML."""
    try:
        return checked(msgspec.convert(raw, ScalePlan))
    except msgspec.ValidationError as error:
        raise ScaleError(_complaint(str(error))) from None


def _complaint(text: str) -> str:
    """msgspec's words, the key first."""
    place, what = PLACE.search(text), PLACE.sub("", text)
    at = place.group(1) if place else ""
    for form in (r"Object contains unknown field `(.+)`", r"Object missing required field `(.+)`"):
        if found := re.match(form, what):
            key = f"{at}.{found.group(1)}" if at else found.group(1)
            if "missing" in form:
                return f"{key}: is missing"
            known = {each.name for each in msgspec.structs.fields(ScalePlan)} if not at else set()
            near = difflib.get_close_matches(found.group(1), known, 1, 0.6)
            return f"{key}: unknown key" + (f"; did you mean {near[0]}?" if near else "")
    return f"{at}: {what[:1].lower()}{what[1:].replace('`', '')}" if at else what


def checked(plan: ScalePlan) -> ScalePlan:
    """The run, if its parts fit together; ScaleError names what does not."""

    def need(good: bool, text: str) -> None:
        if not good:
            raise ScaleError(text)

    need(plan.services <= plan.servers, "services: there are more of them than servers")
    need(plan.regions <= plan.zones, "regions: there are more of them than zones")
    need(plan.calls.service < plan.services, "calls.service: there is no such service")
    for index, event in enumerate(plan.event):
        at = f"event[{index}]"
        need(event.zone < plan.zones, f"{at}.zone: there is no such zone")
        need(event.service < plan.services, f"{at}.service: there is no such service")
        need(event.region < plan.regions, f"{at}.region: there is no such region")
        if event.what is PlannedEventKind.REGIONS:
            need(plan.regions > 1, f"{at}.what: there is one region only")
        if event.what in (PlannedEventKind.RACK, PlannedEventKind.ZONE, PlannedEventKind.REGIONS):
            need(event.lasts > 0, f"{at}.lasts: must be above 0")
    for what in plan.must_bite:
        need(any(each.what is what for each in plan.event), f"must_bite: there is no event {what.value!r}")
    if plan.fleet is not None:
        need(plan.fleet.voters <= plan.softswitches, "fleet.voters: there are not so many softswitches")
        one = plan.regions == 1 or not plan.fleet.list
        need(one, "fleet.list: each region has a coordinator of its own, with numbers of its own")
    if plan.real is not None:
        need(plan.real.services <= plan.real.servers, "real.services: there are more of them than servers")
        voters = plan.fleet.voters if plan.fleet is not None else 0
        need(voters <= plan.real.softswitches, "real.softswitches: there are more voters")
    for name, bound in plan.bounds.items():
        need(bound.least <= bound.most, f"bounds.{name}: least is above most")
        need(plan.real is not None, "bounds: there is no [real] to hold against")
    return plan


def twin(plan: ScalePlan) -> ScalePlan:
    """The scenario that is played by real processes and by hollow ones: no faults, ways as on loopback."""
    real = plan.real
    assert real is not None
    way = DatagramConditions(delay_ms=0.05, jitter_ms=0.05)
    change = Happens(real.seconds * 0.1, PlannedEventKind.CHANGE, real.seconds * 0.8, max(1, real.changes))
    return msgspec.structs.replace(
        plan,
        seconds=real.seconds,
        softswitches=real.softswitches,
        servers=real.servers,
        services=real.services,
        regions=1,
        zones=1,
        wire=NetworkDelays(way, way, way),
        must_bite=(),
        window=False,
        calls=msgspec.structs.replace(plan.calls, rate=real.rate, depth=real.depth, service=-1),
        event=(change,) if real.changes else (),
        real=None,
        bounds={},
    )


def settings_for(plan: ScalePlan) -> dict[str, Any]:
    """What each softswitch is told, in the form of its file. A class a service, with the numbers of its
    servers.
    """
    calls, server = plan.calls, plan.server
    places = Places(plan)
    return {
        "balancers": plan.softswitches,
        "classes": [
            {"name": f"s{n}", "aim_s": calls.aim_s, "hard_limit_s": calls.limit_s, "importance": 1.0,
             "late_worth": 0.25}
            for n in range(plan.services)
        ],
        "family_info": {
            "clear_wait_s": 0.5, "retransmit_s": 0.8, "call_length_s": [calls.hold_s] * plan.services,
            "allowed_pools": [places.of_service(n) for n in range(plan.services)],
        },
        "permissions": {"send_cap": plan.attempts, "cancel": True, "max_retry_after_s": 1.0},
        "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
        "safety": {
            "answer_slack_s": 0.02, "drain_grace_s": 1.0, "cold_from": server.cold_from,
            "warm_after_s": server.warm_after_s, "fall_multiple": server.fall_multiple,
            "fall_s": server.fall_s,
        },
    }  # fmt: skip


def read_settings(plan: ScalePlan) -> Any:
    """The same as the program reads it."""
    return settings_from_object(settings_for(plan)).settings


class Places:
    """Who stands where. Machine `n` has roster server `n` and softswitch `n`, as far as there are so many."""

    def __init__(self, plan: ScalePlan) -> None:
        self.plan = plan
        zones = [n % plan.zones for n in range(max(plan.softswitches, plan.servers))]
        random.Random(f"places {plan.seed}").shuffle(zones)
        self.zones = zones

    def region(self, machine: int) -> int:
        """Of a machine."""
        return self.zones[machine] % self.plan.regions

    def service(self, server: int) -> int:
        """Of a roster server."""
        return server % self.plan.services

    def of_service(self, service: int) -> list[int]:
        """Its roster servers."""
        return list(range(service, self.plan.servers, self.plan.services))

    def beside(self, server: int) -> int:
        """The softswitch beside a roster server."""
        return server % self.plan.softswitches

    def cut(self, event: Happens) -> Cut:
        """A cut as the lab has it, between zones or between regions."""
        if event.what is PlannedEventKind.ZONE:
            return Cut(event.at, FaultKind.PARTITION, duration_s=event.lasts, members=(f"z{event.zone}",))
        side = tuple(f"z{z}" for z in range(self.plan.zones) if z % self.plan.regions == 0)
        return Cut(event.at, FaultKind.PARTITION, duration_s=event.lasts, members=side)

    def apart(self, cut: Cut, one: int, other: int) -> bool:
        """Whether a cut lies between two machines."""
        return blocks_traffic(cut, f"z{self.zones[one]}", f"z{self.zones[other]}")


class Graph:
    """Which service asks which. Services lie in levels; each asks `fan_out` of the next level."""

    def __init__(self, plan: ScalePlan) -> None:
        depth = min(plan.calls.depth, plan.services) if plan.services > 1 else plan.calls.depth
        chance = random.Random(f"graph {plan.seed}")
        self.depth = plan.calls.depth
        levels = [[n for n in range(plan.services) if n % depth == level] for level in range(depth)]
        # Where there are fewer services than levels, the last ones ask the first again.
        self.first = levels[0] if plan.calls.service < 0 else [plan.calls.service]
        self.below: dict[int, list[int]] = {}
        for level, services in enumerate(levels):
            under = levels[(level + 1) % depth]
            for service in services:
                self.below[service] = chance.sample(under, min(len(under), plan.calls.fan_out))


class SimulatedCallResult(Enum):
    """What came of a call."""

    STOOD = "stood"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHED = "unreached"  # its softswitch was not there
    LOST = "lost"  # its softswitch went while it was being set up


@dataclass(slots=True)
class Wanted:
    """One call that somebody wants."""

    serial: int
    at: float  # seconds after the beginning
    service: int
    depth: int  # 1: from outside
    softswitch: int
    hold_s: float
    end: SimulatedCallResult | None = None

    @property
    def number(self) -> str:
        """The number called: its first digits name the service."""
        return f"{NUMBERS + self.service}{self.serial:016d}"


@dataclass
class ScaleTally:
    """What came of the calls."""

    asked: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    depths: Counter[int] = field(default_factory=Counter)  # of the calls asked for
    stood_at_depth: Counter[int] = field(default_factory=Counter)
    cut: int = 0  # stood, and were ended by a fault
    by_second: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    took_ms: list[float] = field(default_factory=list)  # until they stood

    def figures(self) -> dict[str, Any]:
        """For JSON."""
        took = sorted(self.took_ms)
        return {
            "asked": self.asked,
            **{end.value: self.ends[end.value] for end in SimulatedCallResult},
            "cut": self.cut,
            "depths": {str(n): self.depths[n] for n in sorted(self.depths)},
            "stood_at_depth": {str(n): self.stood_at_depth[n] for n in sorted(self.stood_at_depth)},
            "deepest": max(self.stood_at_depth, default=0),
            "to_stand_p50_ms": quantile(took, 0.5),
            "to_stand_p99_ms": quantile(took, 0.99),
        }


def quantile(ordered: list[float], part: float) -> float:
    """The value below which that part lies, to a thousandth; 0 of none."""
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 3) if ordered else 0.0


class Traffic:
    """The calls of a run: those from outside come when they are due, whatever becomes of others; one that
    stands asks for those below it. What a call asks for is drawn by its own name, so that it does not depend
    on the order in which answers come.
    """

    def __init__(self, plan: ScalePlan) -> None:
        self.plan, self.places, self.graph = plan, Places(plan), Graph(plan)
        self.tally = ScaleTally()
        self.serial = 0
        self.open: dict[str, Wanted] = {}  # by number
        self.place: Callable[[Wanted], None]
        self.servers: dict[str, int] = {}  # the number called -> the roster server where it stood

    def from_outside(self) -> Iterator[Wanted]:
        """When they are due: a Poisson process."""
        chance, calls = random.Random(f"calls {self.plan.seed}"), self.plan.calls
        at = 0.0
        while calls.rate > 0:
            at += chance.expovariate(calls.rate)
            if at >= self.plan.seconds:
                return
            service = chance.choice(self.graph.first)
            where = chance.randrange(self.plan.softswitches)
            self.serial += 1
            yield Wanted(self.serial, at, service, 1, where, chance.expovariate(1 / calls.hold_s))

    def ask(self, wanted: Wanted) -> None:
        """A call is due."""
        self.open[wanted.number] = wanted
        self.tally.asked += 1
        self.tally.depths[wanted.depth] += 1
        self.place(wanted)

    def stood_at(self, number: str, server: int) -> None:
        """A roster server set it up."""
        if number in self.open:
            self.servers[number] = server

    def ended(self, wanted: Wanted, end: SimulatedCallResult, at: float) -> None:
        """Its one final answer, so many seconds after the beginning."""
        if wanted.end is not None:
            raise AssertionError(f"{wanted.number}: {wanted.end.value} and then {end.value}")
        wanted.end = end
        self.open.pop(wanted.number, None)
        server = self.servers.pop(wanted.number, 0)
        self.tally.ends[end.value] += 1
        self.tally.by_second[int(at)][end.value] += 1
        if end is SimulatedCallResult.STOOD:
            self.tally.took_ms.append(1000 * (at - wanted.at))
            self.tally.stood_at_depth[wanted.depth] += 1
            if at < self.plan.seconds:
                self._below(wanted, server, at)

    def _below(self, wanted: Wanted, server: int, at: float) -> None:
        """The calls that one leads to, at the softswitch beside the roster server that took it."""
        if wanted.depth >= self.graph.depth:
            return
        chance = random.Random(f"{self.plan.seed} {wanted.serial}")
        for order, service in enumerate(self.graph.below[wanted.service]):
            follows, hold_s = chance.random(), chance.expovariate(1 / self.plan.calls.hold_s)
            if follows < self.plan.calls.follow:
                serial = hash_of(wanted.serial, order)
                self.ask(Wanted(serial, at, service, wanted.depth + 1, self.places.beside(server), hold_s))


def hash_of(serial: int, order: int) -> int:
    """The name of a call that another leads to: by that one's, beyond those from outside."""
    return random.Random(f"{serial} {order}").randrange(10**9, 10**16)
