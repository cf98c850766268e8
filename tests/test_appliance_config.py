"""Tests of the appliance's TOML file and command line: error messages, imports, exit codes and reloads."""

from __future__ import annotations

import re
import subprocess
import sys

import pytest
from click.testing import CliRunner

from stairhatch.cli.main import main_group
from stairhatch.config.appliance.reader import parse_appliance
from stairhatch.config.model import ConfigError

from .support.paths import ROOT
from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers

TEXT = (ROOT / "deploy" / "sip.toml").read_text()


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("importance = 3.0", "importanse = 3.0", r"settings\.classes\[1\]\.importanse: unknown key; did you mean importance"),  # noqa: E501
        ("connections = 256", "conections = 256", r"sip\.conections: unknown key; did you mean connections"),
        ("trace = false", "trase = false", r"trase: unknown key; did you mean trace"),
        ("trace = false", "zzz = false", r"zzz: unknown key$"),
        ("connections = 256", 'connections = "many"', r"sip\.connections: expected int, got str"),
        ("connections = 256", "connections = 0", r"sip\.connections: expected int >= 1"),
        ("late_worth = 0.1", "late_worth = 1.5", r"settings\.classes\[1\]\.late_worth: expected float <= 1"),
        ("number = 1", "number = 1.5", r"servers\[1\]\.number: expected int, got float"),
        ('address = "127.0.0.1:7002"', 'address = "here"', r"servers\[1\]\.address: 'here' is no address"),
        ('name = "roster-b"', 'name = "roster-a"', r"servers\[1\]\.name: 'roster-a' is listed twice"),
        ('class = "save-roster"', 'class = "save-rooster"', r"sip\.numbers\[0\]\.class: .*did you mean save-roster"),  # noqa: E501
        ('udp = "127.0.0.1:5060"', 'udp = "localhost:5060"', r"sip\.udp: 'localhost' is a host name"),
        ('udp = "127.0.0.1:5060"', 'udp = ["127.0.0.1:5060", "127.0.0.1:5060"]', r"sip\.udp\[1\]: .*is listed twice"),  # noqa: E501
        ('udp = "127.0.0.1:5060"', 'udp = { address = "[::1]:5060", allow = ["10.0.0.0/99"] }', r"sip\.udp\.allow\[0\]"),  # noqa: E501
        ("[sip]", '[sip]\nauth = { users = "none.txt", realm = "r" }', r"sip\.auth\.users: .*none\.txt: No such file"),  # noqa: E501
        ("[sip]", '[sip]\nauth = { users = "x", realm = "r", algorithms = ["SHA256"] }', r"did you mean SHA-256"),  # noqa: E501
        ("[sip]", "[sip]\ntimers = { min_se_s = 10 }", r"sip\.timers\.min_se_s: expected int >= 90"),
        ("send_cap = 6", "send_cap = 7", r"settings\.permissions\.send_cap: expected int <= 6"),
        ("[sip]", "[sip", r"no TOML"),
    ],
)  # fmt: skip
def test_error_message_contains_the_path_of_the_unusable_key(old, new, message):
    """A mistyped key is rejected, rather than silently replaced by a default."""
    assert old in TEXT
    with pytest.raises(ConfigError, match=message):
        parse_appliance(TEXT.replace(old, new, 1), "x.toml", {})


def test_listeners_of_both_address_families_have_separate_allowed_networks():
    """Each entry of the list is a listener of its own, and an IPv6 address is written in brackets."""
    text = TEXT.replace(
        'udp = "127.0.0.1:5060"', 'udp = ["127.0.0.1:5060", {address = "[::1]:5060", allow = ["::1"]}]'
    )
    config = parse_appliance(text, "x.toml", {})
    assert [each.address for each in config.sip.udp] == [("127.0.0.1", 5060), ("::1", 5060)]
    assert config.sip.udp[1].networks.allows("::1")
    assert not config.sip.udp[1].networks.allows("::2")


def test_commands_report_failures_by_output_and_exit_code(tmp_path):
    """Operators see a failed command by its output, and scripts detect it by its exit code."""
    run, users = CliRunner(), tmp_path / "users.txt"
    accepted = run.invoke(main_group, ["check-config", str(ROOT / "deploy" / "sip.toml")])
    assert accepted.exit_code == 0
    assert "roster-a, roster-b" in accepted.output
    assert "everybody" in accepted.output
    invalid_file = tmp_path / "bad.toml"
    invalid_file.write_text(TEXT.replace("importance", "importanse"))
    rejected = run.invoke(main_group, ["check-config", str(invalid_file)])
    assert rejected.exit_code == 2
    assert "importanse" in rejected.output
    added = run.invoke(
        main_group, ["users", "add", str(users), "office", "--realm", "r", "--stdin"], input="long word\n"
    )
    assert added.exit_code == 0, added.output
    assert users.stat().st_mode & 0o077 == 0
    assert "long word" not in users.read_text()
    assert users.read_text().count("office:r:SHA-") == 2
    assert "MD5" not in users.read_text()
    run.invoke(main_group, ["users", "add", str(users), "office", "--realm", "r", "--stdin"], input="other\n")
    assert users.read_text().count("office:r:SHA-") == 2
    user_list = run.invoke(main_group, ["users", "list", str(users)]).output
    assert user_list.split()[:2] == ["office", "r"]
    assert not re.search("[0-9a-f]{64}", user_list)
    assert run.invoke(main_group, ["users", "remove", str(users), "nobody"]).exit_code == 1
    assert run.invoke(main_group, ["users", "remove", str(users), "office"]).exit_code == 0
    users.write_text("spoilt\n")
    add_to_malformed = run.invoke(
        main_group, ["users", "add", str(users), "a", "--realm", "r", "--stdin"], input="x\n"
    )
    assert add_to_malformed.exit_code == 1
    assert users.read_text() == "spoilt\n"


def test_platform_program_does_not_import_the_appliance():
    """The appliance's modules do not add to the memory and start-up time of the platform's program."""
    code = "import sys, stairhatch.__main__; print(*[m for m in sys.modules])"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    modules = set(completed.stdout.split())
    assert "stairhatch.application" in modules
    for name in ("click", "msgspec", "sqlite3", "stairhatch.cli", "stairhatch.sip.frontend"):
        assert name not in modules
    prefixes = ("stairhatch.fleet", "stairhatch.scope", "stairhatch.config.app")
    assert not [name for name in modules if name.startswith(prefixes)]


def test_reload_applies_users_and_listeners_serve_ipv6(tmp_path):
    """A reload applies digest authentication without a restart, and listeners serve IPv4 and IPv6."""
    program = Program.as_appliance(tmp_path, ScriptedServer(), ScriptedServer())
    host, port = program.address
    caller = SipCaller(program.address, udp=True)

    def invite(branch, call):
        headers = sip_headers("INVITE", "1", f"z9hG4bK{branch}", call, caller.host)
        caller.send("INVITE", "sip:71@net", headers, b"v=0")

    invite(1, "c1")
    caller.expect("c1", 200)
    text = program.path.read_text()
    CliRunner().invoke(
        main_group, ["users", "add", str(tmp_path / "u.txt"), "a", "--realm", "r", "--stdin"], input="word\n"
    )
    sip_with_auth = '[sip]\nauth = { users = "u.txt", realm = "r" }'
    assert program.reload(text.replace("[sip]", sip_with_auth, 1))["restart_required"] == "-"
    invite(2, "c2")
    assert 'realm="r"' in caller.expect("c2", 401).get("www-authenticate")
    assert program.reload(text)["result"] == "applied"
    invite(3, "c3")
    caller.expect("c3", 200)
    assert (
        program.reload(text.replace("idle_s", "idle").replace("[sip]", "[sip]\nidle = 3", 1))["result"]
        == "rejected"
    )
    assert program.stop() == 0
    dual_stack = text.replace(f'udp = "{host}:{port}"', f'udp = ["{host}:{port}", "[::1]:{port}"]')
    dual_stack = dual_stack.replace(f'tcp = "{host}:{port}"', f'tcp = ["{host}:{port}", "[::1]:{port}"]')
    assert dual_stack != text
    restarted = program.serve_again(dual_stack)
    assert restarted.wait_until_serving()
    for udp in (True, False):
        check_health_by_ipv6(restarted.address[1], udp)
    assert restarted.stop() == 0


def check_health_by_ipv6(port, udp):
    """Send OPTIONS to the IPv6 loopback address and expect a 200 response."""
    caller = SipCaller(("::1", port), udp=udp, ipv6=True)
    call, transport = f"six{udp}", "UDP" if udp else "TCP"
    headers = sip_headers("OPTIONS", "1", f"z9hG4bK{call}", call, caller.host, transport)
    caller.send("OPTIONS", "sip:x@net", headers)
    caller.expect(call, 200)
