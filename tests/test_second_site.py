"""What a softswitch is told, by three kinds of settings: those of both deployments, under the names of the
operators' page, and one made up in which no figure is the interface's default. Each key that is read is taken
as it is told, or refused by its name; nothing is put in its place. No bench is needed.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from dataclasses import MISSING, fields
from typing import Any

import pytest

from stairhatch.config.model import ConfigError
from stairhatch.config.platform import read_platform
from stairhatch.emulators.ports import free_port
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_messages import parse_load_report
from stairhatch.overload.events import Availability, LoadReport
from stairhatch.overload.settings import SafetyLimits
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.parser import parse_settings_json
from stairhatch.settings.schema import (
    SETTINGS_SCHEMA,
    BooleanShape,
    ListShape,
    NumberShape,
    ObjectShape,
    TextShape,
)

from .support.program import Program
from .support.scripted_coordinator import endpoint_entry

PLAIN = (1.0, 0.1, "read_like")


def site(classes, family, names, permissions, safety, **more) -> dict[str, Any]:
    """The settings of a site; a class is its name, aim, limit, and worth, late worth and effect."""
    keys = ("name", "aim_s", "hard_limit_s", "importance", "late_worth", "effect")
    limits = ("send_cap", "may_probe", "peers", "cancel", "retry_after", "max_retry_after_s")
    rules = ("answer_slack_s", "drain_grace_s", "cold_from", "warm_after_s", "fall_multiple", "fall_s")
    lists = ("allowed_pools", "call_length_s", "clear_wait_s", "retransmit_s", "self_no")
    return {
        "balancers": 6, "me": 2, "period_s": 0.005, "discovery": "push", "zones": ["a"],
        "classes": [dict(zip(keys, line, strict=True)) | {"stream": True} for line in classes],
        "family_info": {"layout": "pools", **dict(zip(lists, family, strict=True))},
        "load_report": {"how": "inline", "names": names},
        "permissions": {"connect_timeout_s": 0.5, **dict(zip(limits, permissions, strict=True))},
        "safety": {"must_ask_in_s": 10.0, **dict(zip(rules, safety, strict=True))},
        **more,
    }  # fmt: skip


ROSTER = site(
    [("read-roster", 1.5, 9.0, 1.0, 0.25, "read_like"), ("save-roster", 1.5, 9.0, 3.0, 0.1, "read_like")],
    ([[0, 1], [0, 1]], [9.0, 7.2], 0.5, 0.8, -1),
    ["free", "size", "mean_ms", "can_take"],
    (6, False, False, True, True, 2.0), (0.02, 1.0, 0.29, 14.0, 2.5, 1.5), parties=[],
)  # fmt: skip
TENDERS = site(
    [
        ("notice-lookup", 2.0, 9.0, *PLAIN), ("document-fetch", 2.0, 9.0, 2.0, 0.25, "read_like"),
        ("watchlist-save", 1.5, 9.0, *PLAIN),
    ],
    ([[0, 1, 2]] * 3, [8.4, 12.6, 5.9], 0.3, 0.5, -1),
    ["free", "size", "depth", "can_take"],
    (4, True, True, True, False, 2.0), (0.02, 0.5, 0.28, 14.0, 2.5, 1.0),
    over_share_worth=0.2, parties=[{"name": "region-nord", "quota_per_s": 17.0, "fraction": 0.44}],
)  # fmt: skip
MADE_UP = site(
    [("heron", 2.2, 13.0, 4.0, 0.35, "non_idempotent")],
    ([[5, 8]], [33.0], 0.7, 1.3, 4),
    ["load_share", "unheard_of"],
    (5, True, True, True, False, 7.0), (0.04, 0.8, 0.6, 21.0, 3.0, 2.5), balancers=9, period_s=0.01,
)  # fmt: skip
MADE_UP["permissions"]["connect_timeout_s"] = 0.9
KINDS = pytest.mark.parametrize("told", [ROSTER, TENDERS, MADE_UP], ids=["roster", "tenders", "made-up"])
GONE = object()


def platform(told: Any, **more: Any) -> dict[str, Any]:
    """The platform's file round these settings."""
    return {
        "name": "n3", "listen": f"127.0.0.1:{free_port()}", "seed": "8c1f", "coordinator": "127.0.0.1:9",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "updates": []}, "settings": told, **more,
    }  # fmt: skip


def paths(raw: Any, shape: Any = SETTINGS_SCHEMA, at: tuple = ()) -> Iterator[tuple[tuple, Any]]:
    """Each place of the settings that is read, with what may stand there."""
    if isinstance(shape, ObjectShape):
        for key, inner in shape.keys.items():
            yield (*at, key), inner
            yield from paths(raw[key], inner, (*at, key))
    elif isinstance(shape, ListShape):
        for index, item in enumerate(raw):
            yield (*at, index), shape.item
            yield from paths(item, shape.item, (*at, index))


def with_(raw: Any, at: tuple, value: Any) -> Any:
    """A copy with one place changed, or taken out."""
    changed = json.loads(json.dumps(raw))
    part = changed
    for step in at[:-1]:
        part = part[step]
    if value is GONE:
        del part[at[-1]]
    else:
        part[at[-1]] = value
    return changed


def shown(at: tuple) -> str:
    """A path as complaints have it."""
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in ("settings", *at))[1:]


def unfit(shape: Any) -> list[Any]:
    """Values that may not stand there."""
    wrong = [
        None,
        {} if not isinstance(shape, ObjectShape) else [],
        [] if not isinstance(shape, ListShape) else "depth",
    ]
    match shape:
        case NumberShape(least, most, above):
            wrong += [True, "3", float("nan"), float("inf"), 10**400, least - 1, most * 2 + 1]
            wrong += [least] if above else []
            wrong += [7.5] if shape.integer else []
        case BooleanShape():
            wrong += [0, 1, "no", "true"]
        case TextShape():
            wrong += ["", 3, True]
    return wrong


class Reader:
    """Reads a configuration as the platform's program does, and keeps the complaint."""

    def __init__(self, folder) -> None:
        self.path = folder / "config.json"

    def refuses(self, raw: Any) -> str:
        """What is wrong with it, in one line."""
        self.path.write_text(json.dumps(raw))
        with pytest.raises(ConfigError) as error:
            read_platform({"RELAY_CONFIG": str(self.path)})
        text = str(error.value)
        assert text.startswith(f"{self.path}: ")
        assert "\n" not in text
        assert len(text) < 250
        return text.removeprefix(f"{self.path}: ")


@KINDS
def test_a_setting_that_is_missing_is_named_and_none_is_put_in_its_place(tmp_path, told):
    """Guards against another site's figure in the place of one that was left out: a pause of 0.5 s for one of
    0.3, three attempts for four, any server for a class that may go to a few, "may be sent again" for a class
    that may not.
    """
    reader, keys = Reader(tmp_path), [at for at, _ in paths(told) if isinstance(at[-1], str)]
    assert len(keys) == 27 + 6 * len(told["classes"])
    for at in keys:
        assert reader.refuses(platform(with_(told, at, GONE))) == f"{shown(at)}: is missing"
        with pytest.raises(SettingsError) as error:
            parse_settings_json(json.dumps(with_(told, at, GONE)))
        assert str(error.value) == f"{shown(at)}: is missing".replace("settings", "boot_info", 1)


@KINDS
def test_a_setting_of_the_wrong_type_or_size_is_named(tmp_path, told):
    """Guards against "no" that counts as yes, a server's number that no server has since it is text, a class
    whose name no caller can say, and a traceback for a number that no float holds.
    """
    reader, tried = Reader(tmp_path), 0
    for at, shape in paths(told):
        for value in unfit(shape):
            text = reader.refuses(platform(with_(told, at, value)))
            assert text.startswith(f"{shown(at)}: must be "), (at, value, text)
            tried += 1
    assert tried > 200


@KINDS
def test_settings_that_contradict_each_other_are_refused(tmp_path, told):
    """Guards against a class that is given another's servers or length of calls, and a number of no node."""
    reader = Reader(tmp_path)
    for key in ("allowed_pools", "call_length_s"):
        lines = told["family_info"][key]
        for wrong in (lines[:-1], [*lines, lines[0]]):
            text = reader.refuses(platform(with_(told, ("family_info", key), wrong)))
            assert text.startswith(f"settings.family_info.{key}: must have a line for each of")
    text = reader.refuses(platform(with_(told, ("me",), told["balancers"])))
    assert text.startswith("settings.me: must be below balancers")
    text = reader.refuses(platform(with_(told, ("classes",), [])))
    assert text.startswith("settings.classes: there is none") or "a line for each" in text
    twice = [told["classes"][0]] * len(told["classes"])
    if len(twice) > 1:
        assert reader.refuses(platform(with_(told, ("classes",), twice))).startswith("settings.classes: two")


@KINDS
def test_what_is_told_is_what_holds(tmp_path, told):
    """Guards against a setting that is read and not passed on, under any site's settings."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform(told)))
    settings = read_platform({"RELAY_CONFIG": str(path)}).settings
    family, permissions, safety = told["family_info"], told["permissions"], told["safety"]
    assert [kind.name for kind in settings.classes] == [line["name"] for line in told["classes"]]
    for index, (kind, line) in enumerate(zip(settings.classes, told["classes"], strict=True)):
        assert (
            kind.priority_weight,
            kind.latency_objective_s,
            kind.deadline_s,
            kind.late_weight,
            kind.idempotent,
        ) == (
            line["importance"],
            line["aim_s"],
            line["hard_limit_s"],
            line["late_worth"],
            line["effect"] == "read_like",
        )
        assert (kind.mean_duration_s, kind.allowed_servers) == (
            family["call_length_s"][index],
            tuple(family["allowed_pools"][index]),
        )
    assert settings.safety == SafetyLimits(
        answer_slack_s=safety["answer_slack_s"],
        drain_grace_s=safety["drain_grace_s"],
        initial_capacity_fraction=safety["cold_from"],
        warm_up_s=safety["warm_after_s"],
        overload_multiple=safety["fall_multiple"],
        overload_window_s=safety["fall_s"],
        retry_pause_s=family["clear_wait_s"],
    )
    assert (
        settings.instance_count,
        settings.instance_index,
        settings.event_period_s,
        settings.own_server_number,
    ) == (told["balancers"], told["me"], told["period_s"], family["self_no"])
    assert (
        settings.max_attempts,
        settings.may_probe,
        settings.may_message_peers,
        settings.may_cancel,
    ) == tuple(permissions[name] for name in ("send_cap", "may_probe", "peers", "cancel"))
    assert (settings.may_send_retry_after, settings.max_retry_after_s, settings.connect_timeout_s) == tuple(
        permissions[name] for name in ("retry_after", "max_retry_after_s", "connect_timeout_s")
    )


def test_no_default_of_the_interface_is_left_where_all_is_told():
    """Guards against a setting that comes new into the interface and is read from no text: its default would
    hold at every site. In the made-up settings no figure is the default.
    """
    parsed = parse_settings_json(json.dumps(MADE_UP))
    settings = parsed.settings
    assert parsed.load_report_names == ("load_share", "unheard_of")
    seen = 0
    for part in (settings, settings.safety, settings.classes[0]):
        for each in fields(part):
            if each.default is not MISSING:
                assert getattr(part, each.name) != each.default, each.name
                seen += 1
    assert seen >= 26


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"limits": GONE}, "limits: is missing"),
        ({"limits": {"sockets": 1024}}, "limits.memory_mb: is missing"),
        ({"limits": {"sockets": "many", "memory_mb": 192}}, "limits.sockets: must be a number"),
        ({"limits": {"sockets": 1024, "memory_mb": float("inf")}}, "limits.memory_mb: must be at least 1"),
        ({"name": None}, "name: must be text, not null"),
        ({"name": GONE}, "name: is missing"),
        ({"seed": None}, "seed: must be text, not null"),
        ({"listen": GONE}, "listen: is missing"),
        ({"listen": 5}, "listen: 5 is no address"),
        ({"coordinator": GONE}, "coordinator: is missing"),
        ({"console": 7}, "console: 7 is no address"),
        ({"known": GONE}, "known: is missing"),
        ({"known": []}, "known: must be an object"),
        ({"settings": GONE}, "settings: is missing"),
        ({"settings": [1]}, "settings: must be an object, not [1]"),
    ],
)
def test_every_other_key_of_the_platforms_file_is_held_to_the_same(tmp_path, change, says):
    """Guards against limits that are guessed, and nodes that all have one seed, "None"."""
    raw = {name: value for name, value in {**platform(TENDERS), **change}.items() if value is not GONE}
    assert Reader(tmp_path).refuses(raw).startswith(says)


def test_a_file_that_is_no_object_or_has_no_bottom_is_refused(tmp_path):
    """Guards against a traceback for what no editor would write."""
    reader = Reader(tmp_path)
    assert reader.refuses([]).startswith("the file holds no JSON object")
    reader.path.write_text("[" * 200_000)
    with pytest.raises(ConfigError, match="no JSON: nested too deep"):
        read_platform({"RELAY_CONFIG": str(reader.path)})


TOO_LARGE = {
    "index": 1,
    "updates": [{"index": 1, "endpoints": {"instances": [endpoint_entry("s", 9, cell=10**9)]}}],
}


@pytest.mark.parametrize(
    ("told", "edit", "says"),
    [
        (ROSTER, ('"period_s": 0.005', f'"period_s": 1{"0" * 400}'), "settings.period_s: must be at least 0"),
        (TENDERS, ('"cell": 1000000000', '"cell": 1e999'), "known: "),
        (MADE_UP, ('"memory_mb": 192', '"memory_mb": 1e999'), "limits.memory_mb: must be at least 1"),
        (TENDERS, ('"clear_wait_s": 0.3, ', ""), "settings.family_info.clear_wait_s: is missing"),
    ],
    ids=["a number no float holds", "a server's number", "memory", "a pause left out"],
)
def test_the_program_ends_with_one_line_and_2(tmp_path, started_programs, told, edit, says):
    """Guards against a start that ends in a traceback and exit code 1, as the first three did, or that goes
    on with another site's pause, as the last did.
    """
    path, whole = tmp_path / "config.json", json.dumps(platform(told, known=TOO_LARGE))
    assert whole.count(edit[0]) == 1
    path.write_text(whole.replace(*edit))
    program = Program(tmp_path, RELAY_CONFIG=str(path))
    started_programs.append(program)
    assert program.process.wait(20) == 2
    assert program.log_text().count("\n") == 1
    assert f"{path}: {says}" in program.log_text()


class Stage:
    """The platform's front on a core with these settings, and roster servers that answer at once."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.now, self.sent, self.told = 1000.0, 0, []
        settings = parse_settings_json(json.dumps(told)).settings
        self.core = CallManager(
            settings, random.Random(1), lambda: self.now, lambda *_args, **_fields: None, Counters()
        )
        self.core.servers.pool = self
        pools = told["family_info"]["allowed_pools"][0]
        lines = [ServerRecord(f"s{n}", ("127.0.0.1", 9), n, Availability.READY) for n in pools]
        self.core.update_servers(lines, True)
        self.caller = PlatformFrontend(self.core).connect()

    def record_changed(self, server: object) -> None:
        """The core's view of the roster side."""

    def send_release(self, server: object, ident: str, cause: int) -> None:
        """A set-up is given up."""

    def send_setup(self, attempt: Any) -> None:
        """A set-up is written, and stands."""
        if self.core.attempts.claim_transmission(attempt):
            self.sent += 1
            self.core.responses.call_established(attempt.server, attempt.call.request.ident, "d")

    def ask(self, kind: str, **more: str) -> int:
        """The final answer to a set-up."""
        ident = f"{random.getrandbits(64):016x}"
        headers = {
            "via": "SIP/2.0/TCP peer", "call-id": ident, "cseq": "1 INVITE", "call-kind": kind,
            "answer-within": "3000", "routing-data": "dest:0;width:1;via:-1",
        }  # fmt: skip
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        self.caller.receive_data(sip.request("INVITE", "sip:7f3a@net", list(headers.items()), b"d"))
        for _ in range(200):  # what is held is looked at again
            self.now += 0.02
            self.core.timers.run_due()
        parser = sip_parser.StreamParser()
        parser.feed(self.caller.data_to_send())
        found = []
        while (message := parser.next_message()) is not None:
            found.append(message.status)
        assert len(found) == 1, found
        return found[0]


@KINDS
def test_a_class_that_no_settings_name_is_failed_and_a_tenant_is_served(told):
    """Guards against a call of a class or tenant that is unknown here being lost, answered twice, or taken
    for another class. An unknown class gets the answer of the pages for a failed set-up, and goes nowhere.
    """
    stage, kind = Stage(told), told["classes"][0]["name"]
    assert stage.ask("no-such-class") == 400
    assert stage.ask("") == 400
    assert stage.sent == 0
    assert stage.ask(kind) == 200
    assert stage.ask(kind, charged_party="region-nord") == 200
    assert stage.ask(kind, charged_party="no-such-tenant") == 200
    assert stage.ask(kind, charged_party="") == 200
    assert stage.sent == 4
    assert not stage.core.calls.by_number.keys() - {1, 2, 3, 4}


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (
            "free:5;size:9;mean_ms:250;can_take:40",
            LoadReport(free_lines=5, total_lines=9, processor_wait_s=0.25, admissible_rate=40),
        ),
        (
            "free:5;size:9;depth:12;can_take:40",
            LoadReport(free_lines=5, total_lines=9, queue_length=12, admissible_rate=40),
        ),
        ("free:5;size:9;depth:-1;can_take:-1", LoadReport(free_lines=5, total_lines=9)),
        ("load_share:0.5;unheard_of:3", LoadReport(utilization=0.5)),
        *(
            (text, LoadReport())
            for text in ("", ";;", "x:1", "depth", "depth:", "depth:x", "depth:nan", "depth:1e999")
        ),
    ],
)
def test_a_report_without_a_usable_field_is_no_report(text, report):
    """Guards against a figure taken for another, and an empty report taken for a server at rest: where
    nothing can be used the decisions are told nothing.
    """
    assert parse_load_report(text) == report
    stage = Stage(TENDERS)
    stage.core.controller.handle = lambda _now, event: stage.told.append(event) or iter(())
    stage.core.responses.load_reported(next(iter(stage.core.servers.by_id.values())), parse_load_report(text))
    assert len(stage.told) == (report != LoadReport())
