"""Which keys a new configuration may leave out: the optional and the undocumented ones, and no other."""

from __future__ import annotations

import json

import pytest

from stairhatch.config.platform import RELOAD_SCHEMA, read_platform
from stairhatch.reload import MAX_LOGGED_PATHS
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.lost_keys import MAX_COMPARED_DEPTH, check_no_key_lost
from stairhatch.settings.schema import SETTINGS_SCHEMA

from .support.call_ids import next_call_id
from .support.documented_file import (
    CONDITIONAL_KEYS,
    FILE,
    OPTIONAL_KEYS,
    documented_class,
    documented_file,
    documented_paths,
)
from .support.platform_config import SETTINGS
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

UNDOCUMENTED = {"tag": "x", "deep": {"inner": {"leaf": 1}}, "rows": [{"name": "a", "v": 1}, {"name": "b"}]}


def path_text(at):
    """Return a path as the log shows it."""
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in at)[1:]


def part_at(raw, at):
    """Return the part of a configuration at a path."""
    for step in at:
        raw = raw[step]
    return raw


def changed(raw, at, value=None):
    """Return a copy with the value at a path replaced, or removed if `value` is None."""
    copy = json.loads(json.dumps(raw))
    part = part_at(copy, at[:-1])
    if value is None:
        del part[at[-1]]
    else:
        part[at[-1]] = value
    return copy


def left_out(in_force, new):
    """Return the paths that a new configuration leaves out."""
    return check_no_key_lost(in_force, new, RELOAD_SCHEMA)


def lost_required_key(in_force, new):
    """Return the error for a new configuration that must be rejected."""
    with pytest.raises(SettingsError) as error:
        left_out(in_force, new)
    return str(error.value)


def test_new_class_without_an_optional_key_does_not_keep_the_former_coordinator(start_deployment):
    """Guards against case 9 of the review: the whole file was rejected for a class without `aim_stretch`, the
    softswitch went on polling a coordinator that was gone, and sent set-ups to a server that drained.
    """
    program, _, (server,) = start_deployment(None)
    raw = json.loads(program.path.read_text())
    for each in raw["settings"]["classes"]:
        each["aim_stretch"] = 0.5
    raw["settings"] |= {"prices": {"fleet": 0.1, "waste": 0.2}, "unheard_of": UNDOCUMENTED}
    raw["limits"]["unheard_of"] = 3
    assert program.reload(json.dumps(raw))["left_out"] == "-"
    new, other = ScriptedCoordinator(), ScriptedServer()
    settings = {**raw["settings"], "prices": {"waste": 0.2}, "unheard_of": {}}
    settings["classes"] = [*settings["classes"], {**SETTINGS["classes"][0], "name": "plan-roster"}]
    lists = {"allowed_pools": [[0, 1]] * 3, "call_length_s": [10.0] * 3}
    settings["family_info"] = {**settings["family_info"], **lists}
    del raw["limits"]["unheard_of"]
    line = program.reload(json.dumps({**raw, "coordinator": f"127.0.0.1:{new.port}", "settings": settings}))
    assert (line["result"], line["added"]) == ("applied", "plan-roster")
    assert set(line["left_out"].split(",")) == {
        "limits.unheard_of", "settings.classes[2].aim_stretch", "settings.prices.fleet",
        *(f"settings.unheard_of.{key}" for key in UNDOCUMENTED),
    }  # fmt: skip
    new.publish(endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1))
    caller = program.caller()

    def reaches_the_other_server():
        caller.invite(next_call_id(), "plan-roster")
        return wait_until(lambda: server.messages("START") or other.messages("START"))

    wait_until(reaches_the_other_server)
    assert not server.messages("START")


@pytest.mark.parametrize("at", documented_paths(), ids=path_text)
def test_only_a_documented_optional_key_may_be_left_out(at):
    """Guards against a truncated or mistyped file that is taken, and against one that is rejected although no
    page requires what it lacks.
    """
    new = changed(FILE, at)
    if at in OPTIONAL_KEYS:
        assert left_out(FILE, new) == [path_text(at)]
        return
    assert lost_required_key(FILE, new).startswith(f"{path_text(at)} is missing")
    if at in CONDITIONAL_KEYS:
        condition, value = CONDITIONAL_KEYS[at]
        assert left_out(FILE, changed(new, condition, value)) == [path_text(at)]


def test_file_with_every_documented_key_has_every_key_of_the_schema():
    """Guards against a key of the schema that the test above does not remove."""

    def schema_paths(shape, at):
        for key in (*shape.keys, *shape.unused):
            inner = shape.shape_of(key)
            yield (*at, key)
            item = getattr(inner, "item", inner)
            if hasattr(item, "unused"):
                yield from schema_paths(item, (*at, key))

    listed = {tuple(step for step in at if isinstance(step, str)) for at in documented_paths()}
    assert set(schema_paths(SETTINGS_SCHEMA, ("settings",))) <= listed
    assert set(schema_paths(RELOAD_SCHEMA, ())) <= listed


@pytest.mark.parametrize("key", [key for key in documented_class("x") if key != "aim_stretch"])
def test_new_class_must_have_each_required_key_of_the_classes_in_force(key):
    """Guards against a default in the place of a key that a new or renamed class lacks."""
    new_class = documented_class("new")
    del new_class[key]
    new = changed(FILE, ("settings", "classes"), [*FILE["settings"]["classes"], new_class])
    assert lost_required_key(FILE, new).startswith(f"settings.classes[2].{key} is missing")


@pytest.mark.parametrize(
    "at", [(), ("limits",), ("settings",), ("settings", "safety"), ("settings", "classes", 1)]
)
@pytest.mark.parametrize("value", [None, {}, [], 7, "x"], ids=["gone", "object", "list", "number", "text"])
@pytest.mark.parametrize("key", list(UNDOCUMENTED))
def test_undocumented_key_may_go_or_change_its_type(at, key, value):
    """Guards against a file that is rejected for a part that no page names: it may go, be emptied, and be of
    another type, and what it was before binds no later file.
    """
    in_force = documented_file()
    part_at(in_force, at)[key] = UNDOCUMENTED[key]
    new = changed(in_force, (*at, key), value)
    prefix = path_text((*at, key))
    assert all(path.startswith(prefix) for path in left_out(in_force, new))
    if value is None or key != "tag":
        assert left_out(in_force, new)
    assert left_out(new, in_force) in ([], [prefix])
    without = documented_file()
    assert left_out(new, without) in ([], [prefix])


def test_entry_of_an_undocumented_list_may_lose_a_key():
    """Guards against the rule for call classes on a list that no page names."""
    in_force = documented_file() | {"rows": UNDOCUMENTED["rows"]}
    new = documented_file() | {"rows": [{"name": "b"}, {"name": "a"}, {"name": "c"}, 3]}
    assert left_out(in_force, new) == ["rows[1].v", "rows[3]"]


def test_tenants_come_and_go_but_each_has_its_keys():
    """Guards against a site that may no longer give up its tenants, and against half an entry."""
    none = changed(FILE, ("settings", "parties"), [])
    assert left_out(FILE, none) == ["settings.parties"]
    assert left_out(none, FILE) == []
    assert left_out(FILE, changed(FILE, ("settings", "parties"), 5)) == ["settings.parties"]
    for key in ("name", "quota_per_s", "fraction"):
        half = changed(FILE, ("settings", "parties", 0, key))
        assert "is missing" in lost_required_key(FILE, half)
        assert lost_required_key(none, half) == f"settings.parties[0].{key}: is missing"


@pytest.mark.parametrize("value", [[], 3, "x", {}])
@pytest.mark.parametrize(
    "at", [(), *(at for at in documented_paths() if isinstance(part_at(FILE, at), dict))]
)
def test_documented_object_of_another_type_is_rejected(at, value):
    """Guards against a truncated object that is taken since the program does not read its keys."""
    new = changed(FILE, at, value) if at else value
    assert "is missing" in lost_required_key(FILE, new)


def test_documented_key_that_was_never_in_force_is_not_required():
    """Guards against a reload that is stricter than the start, which needs only the keys that are read."""
    sparse = documented_file()
    del sparse["settings"]["goal"], sparse["settings"]["prices"]["moves"], sparse["limits"]["cores"]
    for each in sparse["settings"]["classes"]:
        del each["stream"]
    new = changed(sparse, ("settings", "classes"), [*sparse["settings"]["classes"], documented_class("new")])
    del new["settings"]["classes"][2]["stream"]
    assert left_out(sparse, sparse) == left_out(sparse, new) == []


def test_start_needs_no_key_that_the_program_does_not_read(tmp_path):
    """Guards against a start that becomes stricter with the keys that only a reload compares."""
    path = tmp_path / "config.json"
    plain = {"limits": {"memory_mb": 64, "sockets": 256}, "settings": SETTINGS}
    kept = {key: FILE[key] for key in ("name", "listen", "coordinator", "known")}
    path.write_text(json.dumps(kept | plain))
    assert read_platform({"RELAY_CONFIG": str(path)}).name == "n0"


def test_odd_names_and_deep_values_do_not_end_the_process():
    """Guards against a traceback at SIGHUP: a name that is no text, values that are nested very deep."""
    odd = documented_file() | {"rows": [{"name": ["a"], "v": 1}, {"name": {}, "v": 2}]}
    assert left_out(odd, documented_file() | {"rows": []}) in ([], ["rows"])
    deep = shallow = {}
    for _ in range(400):
        deep = {"d": deep}
    for _ in range(MAX_COMPARED_DEPTH + 5):
        shallow = {"d": shallow}
    assert left_out(documented_file() | {"deep": deep}, documented_file() | {"deep": shallow}) == []


def test_log_names_the_first_keys_left_out_and_counts_the_others(start_deployment):
    """Guards against a log line as long as the file."""
    program, _, _ = start_deployment(None)
    raw = json.loads(program.path.read_text())
    many = {f"key-{index}": index for index in range(MAX_LOGGED_PATHS + 7)}
    assert program.reload(json.dumps({**raw, **many}))["left_out"] == "-"
    line = program.reload(json.dumps(raw))
    assert (line["result"], line["left_out"].count("key-")) == ("applied", MAX_LOGGED_PATHS)
    assert line["left_out"].endswith(",+7")
