"""The appliance's command line, on click: owns the words, the exit codes and what is printed. It must never
hold logic of its own: each command calls the part that does the work. Exit codes: 0 done, 1 something was
found wrong, 2 the words or the configuration can't be used.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from pathlib import Path

import click

from stairhatch.config import Config, ConfigError
from stairhatch.config.appliance import read_appliance


def _serve(file: str) -> int:
    from stairhatch.start import serve

    return serve(lambda: read_appliance(file, dict(os.environ)))


def _read(file: str) -> Config:
    try:
        return read_appliance(file, dict(os.environ))
    except ConfigError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.3.0", prog_name="stairhatch")
def main_group() -> None:
    """A small SIP softswitch for small sites. Without any word, the platform's program is run."""


@main_group.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run the appliance that FILE describes, until SIGTERM, SIGINT or `quit`."""
    sys.exit(_serve(file))


@main_group.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Read FILE as `serve` would, and say what is in it or what is wrong."""
    config = _read(file)
    assert config.sip is not None
    from stairhatch.sip.flows import host_port

    listens = [f"udp {host_port(each.place)}" for each in config.sip.udp]
    listens += [f"tcp {host_port(each.place)}" for each in config.sip.tcp]
    click.echo(f"{file}: ok")
    click.echo(f"  name      {config.name}")
    click.echo(f"  listens   {', '.join(listens)}")
    click.echo(f"  classes   {', '.join(kind.name for kind in config.settings.classes)}")
    servers = [
        line["instanceId"] for event in config.known["updates"] for line in event["endpoints"]["instances"]
    ]
    where = config.coordinator and host_port(config.coordinator)
    click.echo(f"  servers   {', '.join(servers) or f'from the coordinator at {where}'}")
    told = config.sip.auth
    users = f"{len({user for user, _ in told.users})} users of {told.realm}" if told else "everybody"
    click.echo(f"  may call  {users}")


@main_group.command()
@click.option("--udp", default="127.0.0.1:5060", show_default=True, help='where it listens; "" for nowhere')
@click.option("--tcp", default="127.0.0.1:5060", show_default=True, help='where it listens; "" for nowhere')
@click.option("--rate", default=3.0, show_default=True, help="calls a second from stand-in callers")
@click.option("--seconds", default=0.0, help="end by itself after so long")
@click.option("--users", "auth", default="", help="a file of users: only those may call (realm stairhatch)")
@click.option("--quiet", is_flag=True, help="place no calls: something else will, such as `conform`")
def demo(udp: str, tcp: str, rate: float, seconds: float, auth: str, quiet: bool) -> None:
    """Run the appliance with two embedded stand-in roster servers and a few calls a second, and tell."""
    import uvloop

    from stairhatch.demo.run import Demo, demonstrate

    told = Demo(udp, tcp, 0.0 if quiet else rate, seconds, os.path.abspath(auth) if auth else "")
    try:
        sys.exit(uvloop.run(demonstrate(told, click.echo)))
    except ConfigError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)


def _place(text: str, option: str) -> tuple[str, int] | None:
    from stairhatch.node.directory import DirectoryError, parse_address

    try:
        return parse_address(text) if text else None
    except DirectoryError as error:
        raise click.BadParameter(str(error), param_hint=option) from None


@main_group.command()
@click.option("--udp", default="", help="host:port of a program to ask over UDP")
@click.option("--tcp", default="", help="host:port of a program to ask over TCP")
@click.option("--only", default="", help="cases whose name begins so, or whose section does")
@click.option("--slow", is_flag=True, help="over sockets, also the cases that wait for long")
@click.option("--users", is_flag=True, help="the program asks for users: play the cases about that")
@click.option("--faults", is_flag=True, help="plant each known fault and show which case finds it")
@click.option("--junit", type=click.Path(path_type=Path), help="write the results as JUnit XML")
def conform(udp: str, tcp: str, only: str, slow: bool, users: bool, faults: bool, junit: Path | None) -> None:
    """Play the conformance suite, in process or against a program on this machine."""
    from stairhatch.conform import report, suite
    from stairhatch.conform.cases import CaseError, read_cases

    try:
        cases = [c for c in read_cases() if c.name.startswith(only) or c.section.startswith(only)]
        if faults:
            found = {fault: suite.finder(cases, fault) for fault in suite.FAULTS}
            for fault, case in found.items():
                click.echo(f"{fault:56} {case or 'NOT FOUND'}")
            click.echo(f"{sum(map(bool, found.values()))} of {len(found)} planted faults found")
            sys.exit(0 if all(found.values()) else 1)
        if udp or tcp:
            places = _place(udp, "--udp"), _place(tcp, "--tcp")
            results = suite.run_outside(cases, *places, slow=slow, has_auth=users)
        else:
            results = suite.run_inside(cases)
    except (CaseError, ValueError) as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)
    click.echo(report.failures(results), nl=False)
    click.echo(report.table(results))
    failed, skipped = (
        sum(bool(x) for x in each) for each in zip(*((r.why, r.skipped) for r in results), strict=True)
    )
    click.echo(f"{len(results) - failed - skipped} passed, {failed} failed, {skipped} skipped")
    if junit is not None:
        junit.write_text(report.junit(results), encoding="utf-8")
    sys.exit(1 if failed else 0)


def _progress(shown: bool, seconds: float) -> Callable[[float], None]:
    """Show how far a load is, where there is a terminal to show it on."""
    if not shown:
        return lambda passed: None
    return lambda passed: click.echo(f"\r{passed:6.1f} of {seconds:g} s", nl=False, err=True)


@main_group.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--udp", default="", help="host:port of a program on this machine to call over UDP")
@click.option("--tcp", default="", help="host:port of a program on this machine to call over TCP")
@click.option("--seed", default=1, show_default=True, help="the same seed draws the same calls")
@click.option(
    "--workers", default=2, show_default=True, type=click.IntRange(1, 64), help="processes that call"
)
@click.option("--json", "as_json", is_flag=True, help="all figures as one JSON object")
@click.option("--progress", is_flag=True, help="show how far it is")
def load(plan: Path, udp: str, tcp: str, seed: int, workers: int, as_json: bool, progress: bool) -> None:
    """Place the calls of PLAN. Without an address the appliance and its roster servers are started for it,
    and the rules are read off both sides. Exit code 1: a rule was broken, or the run proves nothing.
    """
    from stairhatch.load.plan import PlanError, Transport, read_plan
    from stairhatch.load.report import lines
    from stairhatch.load.run import LoadError, Setup, run

    named = {Transport.UDP: _place(udp, "--udp"), Transport.TCP: _place(tcp, "--tcp")}
    try:
        told = read_plan(plan)
        places = {transport: place for transport, place in named.items() if place is not None}
        setup = Setup(told, seed, workers, places)
        report = run(setup, _progress(progress and sys.stderr.isatty(), told.seconds))
    except (PlanError, LoadError) as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)
    click.echo(json.dumps(report.figures()) if as_json else lines(report), nl=as_json)
    sys.exit(1 if report.broken or report.void() else 0)


@main_group.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", default="experiments", type=click.Path(path_type=Path), show_default=True)
@click.option(
    "--short", type=click.FloatRange(0.01, 1.0), help="this part of each run's time, and one repeat"
)
def experiment(file: Path, out: Path, short: float | None) -> None:
    """Carry out the experiment that FILE describes; keep every run as JSON, a table and a chart under --out.
    Exit code 1: a rule was broken, or a run proves nothing.
    """
    from stairhatch.load.experiment import carry_out, keep, read_experiment, smaller
    from stairhatch.load.plan import PlanError
    from stairhatch.load.report import run_line
    from stairhatch.load.run import LoadError

    try:
        told = read_experiment(file)
        told = smaller(told, short) if short is not None else told
        runs = carry_out(told, lambda run, done, of: click.echo(run_line(run, done, of)))
        where = keep(
            told, runs, out, f"stairhatch experiment {file.name}" + (f" --short {short}" if short else "")
        )
    except (PlanError, LoadError) as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)
    click.echo(f"kept in {where}")
    sys.exit(1 if any(each.broken or each.figures["void"] for each in runs) else 0)


@main_group.group()
def users() -> None:
    """Who may call: a file of hashes, named by `sip.auth.users`."""


@users.command("add")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--realm", required=True, help="as `sip.auth.realm` has it")
@click.option("--md5", is_flag=True, help="also a hash for old telephones that know MD5 alone")
@click.option(
    "--stdin", "from_stdin", is_flag=True, help="read the password from the first line of standard input"
)
def users_add(file: Path, name: str, realm: str, md5: bool, from_stdin: bool) -> None:
    """Add NAME to FILE, or give it a new password. The password is asked for and not kept."""
    from stairhatch.users import add

    if from_stdin:
        password = sys.stdin.readline().rstrip("\r\n")
    else:
        password = click.prompt("password", hide_input=True, confirmation_prompt=True)
    _told(add, file, name, realm, password, md5)


@users.command("remove")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--realm", default="", help="of this realm alone")
def users_remove(file: Path, name: str, realm: str) -> None:
    """Take NAME out of FILE."""
    from stairhatch.users import remove

    _told(remove, file, name, realm)


@users.command("list")
@click.argument("file", type=click.Path(path_type=Path))
def users_list(file: Path) -> None:
    """The users in FILE, with realm and algorithms."""
    from stairhatch.users import listed

    _told(listed, file)


def _told(act: object, *words: object) -> None:
    from stairhatch.sip.auth import UsersError

    assert callable(act)
    try:
        click.echo(act(*words))
    except (UsersError, OSError) as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(1)


def main() -> int:
    """Carry out the command line. `--sip FILE` is the old spelling of `serve FILE`."""
    words = sys.argv[1:]
    if len(words) == 2 and words[0] == "--sip":
        words = ["serve", words[1]]
    main_group(args=words, prog_name="stairhatch")
    return 0
