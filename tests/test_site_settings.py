"""Tests of the parsing of settings: each key is used as given or rejected with its path."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import MISSING, fields
from typing import Any

import pytest

from stairhatch.config.model import ConfigError
from stairhatch.config.platform import read_platform
from stairhatch.emulators.ports import free_port
from stairhatch.overload.settings import SafetyLimits
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.parser import parse_settings_json
from stairhatch.settings.schema import SETTINGS_SCHEMA
from stairhatch.settings.shapes import BooleanShape, ListShape, NumberShape, ObjectShape, TextShape

from .support.program import Program
from .support.scripted_coordinator import endpoint_entry
from .support.site_settings import EVERY_SITE, MADE_UP, ROSTER, TENDERS

REMOVED = object()


def platform_file(raw_settings: Any, **more: Any) -> dict[str, Any]:
    """Return the content of the platform's configuration file with these settings."""
    return {
        "name": "n3", "listen": f"127.0.0.1:{free_port()}", "seed": "8c1f", "coordinator": "127.0.0.1:9",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "updates": []}, "settings": raw_settings, **more,
    }  # fmt: skip


def value_paths(raw: Any, shape: Any = SETTINGS_SCHEMA, at: tuple = ()) -> Iterator[tuple[tuple, Any]]:
    """Yield the path and the required shape of each value of the settings that is used."""
    if isinstance(shape, ObjectShape):
        for key, inner in shape.keys.items():
            yield (*at, key), inner
            yield from value_paths(raw[key], inner, (*at, key))
    elif isinstance(shape, ListShape):
        for index, item in enumerate(raw):
            yield (*at, index), shape.item
            yield from value_paths(item, shape.item, (*at, index))


def with_value(raw: Any, at: tuple, value: Any) -> Any:
    """Return a copy with the value at a path replaced, or removed if `value` is REMOVED."""
    changed = json.loads(json.dumps(raw))
    part = changed
    for step in at[:-1]:
        part = part[step]
    if value is REMOVED:
        del part[at[-1]]
    else:
        part[at[-1]] = value
    return changed


def path_text(at: tuple) -> str:
    """Return a path as error messages show it."""
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in ("settings", *at))[1:]


def unfit_values(shape: Any) -> list[Any]:
    """Return values that a shape does not allow."""
    invalid = [
        None,
        {} if not isinstance(shape, ObjectShape) else [],
        [] if not isinstance(shape, ListShape) else "depth",
    ]
    match shape:
        case NumberShape(minimum, maximum, exclusive):
            invalid += [True, "3", float("nan"), float("inf"), 10**400, minimum - 1, maximum * 2 + 1]
            invalid += [minimum] if exclusive else []
            invalid += [7.5] if shape.integer else []
        case BooleanShape():
            invalid += [0, 1, "no", "true"]
        case TextShape():
            invalid += ["", 3, True]
    return invalid


class ConfigurationReader:
    """Reader of a configuration file that fails unless the platform's program rejects the file."""

    def __init__(self, folder) -> None:
        self.path = folder / "config.json"

    def error_for(self, raw: Any) -> str:
        """Read a configuration that must be rejected; return the one-line error without the file's path."""
        self.path.write_text(json.dumps(raw))
        with pytest.raises(ConfigError) as error:
            read_platform({"RELAY_CONFIG": str(self.path)})
        text = str(error.value)
        assert text.startswith(f"{self.path}: ")
        assert "\n" not in text
        assert len(text) < 250
        return text.removeprefix(f"{self.path}: ")


@EVERY_SITE
def test_a_missing_setting_is_rejected_and_not_replaced_by_a_default(tmp_path, raw_settings):
    """Guards against another site's value in place of a missing one.

    Examples: the retry pause, the maximum of attempts, the servers of a class, whether it is idempotent.
    """
    reader, keys = (
        ConfigurationReader(tmp_path),
        [at for at, _ in value_paths(raw_settings) if isinstance(at[-1], str)],
    )
    assert len(keys) == 27 + 6 * len(raw_settings["classes"])
    for at in keys:
        assert (
            reader.error_for(platform_file(with_value(raw_settings, at, REMOVED)))
            == f"{path_text(at)}: is missing"
        )
        with pytest.raises(SettingsError) as error:
            parse_settings_json(json.dumps(with_value(raw_settings, at, REMOVED)))
        assert str(error.value) == f"{path_text(at)}: is missing".replace("settings", "boot_info", 1)


@EVERY_SITE
def test_a_setting_of_the_wrong_type_or_size_is_rejected(tmp_path, raw_settings):
    """Guards against text such as "no" read as true, a server number that is text, a class without a usable
    name, and a traceback for a number that is too large for a float.
    """
    reader, value_count = ConfigurationReader(tmp_path), 0
    for at, shape in value_paths(raw_settings):
        for value in unfit_values(shape):
            text = reader.error_for(platform_file(with_value(raw_settings, at, value)))
            assert text.startswith(f"{path_text(at)}: must be "), (at, value, text)
            value_count += 1
    assert value_count > 200


@EVERY_SITE
def test_contradictory_settings_are_rejected(tmp_path, raw_settings):
    """Guards against a class with another's servers or call duration, and an index beyond the instances."""
    reader = ConfigurationReader(tmp_path)
    for key in ("allowed_pools", "call_length_s"):
        entries = raw_settings["family_info"][key]
        for invalid in (entries[:-1], [*entries, entries[0]]):
            text = reader.error_for(platform_file(with_value(raw_settings, ("family_info", key), invalid)))
            assert text.startswith(f"settings.family_info.{key}: must have an entry for each of")
    text = reader.error_for(platform_file(with_value(raw_settings, ("me",), raw_settings["balancers"])))
    assert text.startswith("settings.me: must be below balancers")
    text = reader.error_for(platform_file(with_value(raw_settings, ("classes",), [])))
    assert text.startswith("settings.classes: the list is empty") or "an entry for each" in text
    twice = [raw_settings["classes"][0]] * len(raw_settings["classes"])
    if len(twice) > 1:
        assert reader.error_for(platform_file(with_value(raw_settings, ("classes",), twice))).startswith(
            "settings.classes: two"
        )


def assert_class_holds(call_class, raw_settings, index):
    """Assert that a call class has the values of its entries in the settings."""
    entry, family = raw_settings["classes"][index], raw_settings["family_info"]
    assert call_class.priority_weight == entry["importance"]
    assert call_class.latency_objective_s == entry["aim_s"]
    assert call_class.deadline_s == entry["hard_limit_s"]
    assert call_class.late_weight == entry["late_worth"]
    assert call_class.idempotent == (entry["effect"] == "read_like")
    assert call_class.mean_duration_s == family["call_length_s"][index]
    assert call_class.allowed_servers == tuple(family["allowed_pools"][index])


@EVERY_SITE
def test_settings_are_used_as_given(tmp_path, raw_settings):
    """Guards against settings that are read but not used, with the settings of each site."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_file(raw_settings)))
    settings = read_platform({"RELAY_CONFIG": str(path)}).settings
    family, permissions, safety = (
        raw_settings["family_info"],
        raw_settings["permissions"],
        raw_settings["safety"],
    )
    assert [kind.name for kind in settings.classes] == [entry["name"] for entry in raw_settings["classes"]]
    for index, call_class in enumerate(settings.classes):
        assert_class_holds(call_class, raw_settings, index)
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
    ) == (raw_settings["balancers"], raw_settings["me"], raw_settings["period_s"], family["self_no"])
    assert (
        settings.max_attempts,
        settings.may_probe,
        settings.may_message_peers,
        settings.may_cancel,
    ) == tuple(permissions[name] for name in ("send_cap", "may_probe", "peers", "cancel"))
    assert (settings.may_send_retry_after, settings.max_retry_after_s, settings.connect_timeout_s) == tuple(
        permissions[name] for name in ("retry_after", "max_retry_after_s", "connect_timeout_s")
    )


def test_no_field_keeps_its_default_if_every_setting_is_given():
    """Guards against a new field that no key sets, which would keep its default at every site.

    No value of the made-up settings is the default.
    """
    parsed = parse_settings_json(json.dumps(MADE_UP))
    settings = parsed.settings
    assert parsed.load_report_names == ("load_share", "unheard_of")
    field_count = 0
    for part in (settings, settings.safety, settings.classes[0]):
        for each in fields(part):
            if each.default is not MISSING:
                assert getattr(part, each.name) != each.default, each.name
                field_count += 1
    assert field_count >= 26


@pytest.mark.parametrize(
    ("change", "expected_error"),
    [
        ({"limits": REMOVED}, "limits: is missing"),
        ({"limits": {"sockets": 1024}}, "limits.memory_mb: is missing"),
        ({"limits": {"sockets": "many", "memory_mb": 192}}, "limits.sockets: must be a number"),
        ({"limits": {"sockets": 1024, "memory_mb": float("inf")}}, "limits.memory_mb: must be at least 1"),
        ({"name": None}, "name: must be text, not null"),
        ({"name": REMOVED}, "name: is missing"),
        ({"seed": None}, "seed: must be text, not null"),
        ({"listen": REMOVED}, "listen: is missing"),
        ({"listen": 5}, "listen: 5 is no address"),
        ({"coordinator": REMOVED}, "coordinator: is missing"),
        ({"console": 7}, "console: 7 is no address"),
        ({"known": REMOVED}, "known: is missing"),
        ({"known": []}, "known: must be an object"),
        ({"settings": REMOVED}, "settings: is missing"),
        ({"settings": [1]}, "settings: must be an object, not [1]"),
    ],
)
def test_every_other_key_of_the_platforms_file_is_checked(tmp_path, change, expected_error):
    """Guards against a guessed limit, and a seed that is the text "None"."""
    raw = {
        name: value for name, value in {**platform_file(TENDERS), **change}.items() if value is not REMOVED
    }
    assert ConfigurationReader(tmp_path).error_for(raw).startswith(expected_error)


def test_a_file_that_is_not_an_object_or_is_nested_too_deeply_is_rejected(tmp_path):
    """Guards against a traceback for a file that no editor would write."""
    reader = ConfigurationReader(tmp_path)
    assert reader.error_for([]).startswith("the file holds no JSON object")
    reader.path.write_text("[" * 200_000)
    with pytest.raises(ConfigError, match="no JSON: nested too deep"):
        read_platform({"RELAY_CONFIG": str(reader.path)})


TOO_LARGE = {
    "index": 1,
    "updates": [{"index": 1, "endpoints": {"instances": [endpoint_entry("s", 9, cell=10**9)]}}],
}


@pytest.mark.parametrize(
    ("raw_settings", "edit", "expected_error"),
    [
        (ROSTER, ('"period_s": 0.005', f'"period_s": 1{"0" * 400}'), "settings.period_s: must be at least 0"),
        (TENDERS, ('"cell": 1000000000', '"cell": 1e999'), "known: "),
        (MADE_UP, ('"memory_mb": 192', '"memory_mb": 1e999'), "limits.memory_mb: must be at least 1"),
        (TENDERS, ('"clear_wait_s": 0.3, ', ""), "settings.family_info.clear_wait_s: is missing"),
    ],
    ids=["number too large for a float", "server number", "memory", "missing pause"],
)
def test_an_unusable_setting_ends_the_start_with_one_line_and_exit_code_2(
    tmp_path, started_programs, raw_settings, edit, expected_error
):
    """Guards against a traceback and exit code 1, and against a start with another site's retry pause."""
    path, config_text = tmp_path / "config.json", json.dumps(platform_file(raw_settings, known=TOO_LARGE))
    assert config_text.count(edit[0]) == 1
    path.write_text(config_text.replace(*edit))
    program = Program(tmp_path, RELAY_CONFIG=str(path))
    started_programs.append(program)
    assert program.process.wait(20) == 2
    assert program.log_text().count("\n") == 1
    assert f"{path}: {expected_error}" in program.log_text()
