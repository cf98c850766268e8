"""The appliance's file and command line: each complaint names its key, and a reload takes what it says."""

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
    ("old", "new", "complaint"),
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
        ('name = "roster-b"', 'name = "roster-a"', r"servers\[1\]\.name: 'roster-a' stands twice"),
        ('class = "save-roster"', 'class = "save-rooster"', r"sip\.numbers\[0\]\.class: .*did you mean save-roster"),  # noqa: E501
        ('udp = "127.0.0.1:5060"', 'udp = "localhost:5060"', r"sip\.udp: 'localhost' is a name"),
        ('udp = "127.0.0.1:5060"', 'udp = ["127.0.0.1:5060", "127.0.0.1:5060"]', r"sip\.udp\[1\]: .*stands twice"),  # noqa: E501
        ('udp = "127.0.0.1:5060"', 'udp = { address = "[::1]:5060", allow = ["10.0.0.0/99"] }', r"sip\.udp\.allow\[0\]"),  # noqa: E501
        ("[sip]", '[sip]\nauth = { users = "none.txt", realm = "r" }', r"sip\.auth\.users: .*none\.txt: No such file"),  # noqa: E501
        ("[sip]", '[sip]\nauth = { users = "x", realm = "r", algorithms = ["SHA256"] }', r"did you mean SHA-256"),  # noqa: E501
        ("[sip]", "[sip]\ntimers = { min_se_s = 10 }", r"sip\.timers\.min_se_s: expected int >= 90"),
        ("send_cap = 6", "send_cap = 7", r"settings\.permissions\.send_cap: expected int <= 6"),
        ("[sip]", "[sip", r"no TOML"),
    ],
)  # fmt: skip
def test_an_unusable_key_is_named(old, new, complaint):
    """No default takes the place of a mistyped key without a word."""
    assert old in TEXT
    with pytest.raises(ConfigError, match=complaint):
        parse_appliance(TEXT.replace(old, new, 1), "x.toml", {})


def test_listeners_of_both_address_families_have_their_own_networks():
    """A list is not read as one address, and IPv6 addresses have brackets."""
    text = TEXT.replace(
        'udp = "127.0.0.1:5060"', 'udp = ["127.0.0.1:5060", {address = "[::1]:5060", allow = ["::1"]}]'
    )
    config = parse_appliance(text, "x.toml", {})
    assert [each.address for each in config.sip.udp] == [("127.0.0.1", 5060), ("::1", 5060)]
    assert config.sip.udp[1].networks.allows("::1")
    assert not config.sip.udp[1].networks.allows("::2")


def test_the_commands_report_their_failures_by_output_and_exit_code(tmp_path):
    """No command fails without saying so, or in a way that scripts can't see."""
    run, users = CliRunner(), tmp_path / "users.txt"
    good = run.invoke(main_group, ["check-config", str(ROOT / "deploy" / "sip.toml")])
    assert good.exit_code == 0
    assert "roster-a, roster-b" in good.output
    assert "everybody" in good.output
    bad = tmp_path / "bad.toml"
    bad.write_text(TEXT.replace("importance", "importanse"))
    refused = run.invoke(main_group, ["check-config", str(bad)])
    assert refused.exit_code == 2
    assert "importanse" in refused.output
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
    shown = run.invoke(main_group, ["users", "list", str(users)]).output
    assert shown.split()[:2] == ["office", "r"]
    assert not re.search("[0-9a-f]{64}", shown)
    assert run.invoke(main_group, ["users", "remove", str(users), "nobody"]).exit_code == 1
    assert run.invoke(main_group, ["users", "remove", str(users), "office"]).exit_code == 0
    users.write_text("spoilt\n")
    spoilt = run.invoke(main_group, ["users", "add", str(users), "a", "--realm", "r", "--stdin"], input="x\n")
    assert spoilt.exit_code == 1
    assert users.read_text() == "spoilt\n"


def test_the_platforms_program_imports_nothing_of_the_appliance():
    """Memory and start-up do not grow where none of the appliance is used."""
    code = "import sys, stairhatch.__main__; print(*[m for m in sys.modules])"
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    names = set(found.stdout.split())
    assert "stairhatch.application" in names
    for name in ("click", "msgspec", "sqlite3", "stairhatch.cli", "stairhatch.sip.frontend"):
        assert name not in names
    parts = ("stairhatch.fleet", "stairhatch.scope", "stairhatch.config.app")
    assert not [name for name in names if name.startswith(parts)]


def test_users_are_taken_by_a_reload_and_ipv6_is_served(tmp_path):
    """A new user does not wait for a restart, and listeners may be of both address families."""
    program = Program.as_appliance(tmp_path, ScriptedServer(), ScriptedServer())
    host, port = program.address
    caller = SipCaller(program.address, udp=True)

    def ask(number, call):
        headers = sip_headers("INVITE", "1", f"z9hG4bK{number}", call, caller.host)
        caller.send("INVITE", "sip:71@net", headers, b"v=0")

    ask(1, "c1")
    caller.expect("c1", 200)
    text = program.path.read_text()
    CliRunner().invoke(
        main_group, ["users", "add", str(tmp_path / "u.txt"), "a", "--realm", "r", "--stdin"], input="word\n"
    )
    more = '[sip]\nauth = { users = "u.txt", realm = "r" }'
    assert program.reload(text.replace("[sip]", more, 1))["restart_required"] == "-"
    ask(2, "c2")
    assert 'realm="r"' in caller.expect("c2", 401).get("www-authenticate")
    assert program.reload(text)["result"] == "applied"
    ask(3, "c3")
    caller.expect("c3", 200)
    assert (
        program.reload(text.replace("idle_s", "idle").replace("[sip]", "[sip]\nidle = 3", 1))["result"]
        == "rejected"
    )
    assert program.stop() == 0
    lists = text.replace(f'udp = "{host}:{port}"', f'udp = ["{host}:{port}", "[::1]:{port}"]')
    lists = lists.replace(f'tcp = "{host}:{port}"', f'tcp = ["{host}:{port}", "[::1]:{port}"]')
    assert lists != text
    program.path.write_text(lists)
    both = Program(tmp_path, "serve", str(program.path)).wait_until_ready(port, program.admin_address[1])
    assert both is not None
    assert both.wait_until_serving()
    for udp in (True, False):
        six = SipCaller(("::1", port), udp=udp, ipv6=True)
        name = f"six{udp}"
        way = "UDP" if udp else "TCP"
        six.send("OPTIONS", "sip:x@net", sip_headers("OPTIONS", "1", f"z9hG4bK{name}", name, six.host, way))
        six.expect(name, 200)
    assert both.stop() == 0
