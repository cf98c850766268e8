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
from typing import Any

import click

from stairhatch.config.appliance.reader import read_appliance
from stairhatch.config.model import Config, ConfigError

LOAD_ONLY = ("hdrh", "matplotlib")  # of requirements-load.txt


def _serve(file: str) -> int:
    from stairhatch.main import serve

    return serve(lambda: read_appliance(file, dict(os.environ)))


def _read(file: str) -> Config:
    try:
        return read_appliance(file, dict(os.environ))
    except ConfigError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.5.0", prog_name="stairhatch")
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
    from stairhatch.node.address import AddressError, parse_address

    try:
        return parse_address(text) if text else None
    except AddressError as error:
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


@main_group.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", default="experiments", type=click.Path(path_type=Path), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="what the seed decides as one JSON object")
@click.option("--quiet", is_flag=True, help="no lines of progress")
def scale(file: Path, out: Path, as_json: bool, quiet: bool) -> None:
    """Play the many softswitches of FILE on a virtual clock and hold them against real processes; keep the
    run as JSON, a table and a chart under --out. Exit code 1: a figure is out of its bounds, or the run
    proves nothing. 130: Ctrl-C; nothing is kept.
    """
    from stairhatch.scale import keep
    from stairhatch.scale.plan import ScaleError, read_plan
    from stairhatch.scale.run import carry_out

    def tell(text: str) -> None:
        if not quiet:
            click.echo(text, err=True)

    try:
        result = carry_out(read_plan(file), tell)
        where = keep.keep(result, out, f"stairhatch scale {file.name}")
    except ScaleError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)
    except KeyboardInterrupt:
        click.echo("stairhatch: ended by Ctrl-C; nothing is kept", err=True)
        sys.exit(130)
    click.echo(keep.result_json(result) if as_json else keep.lines(result), nl=False)
    tell(f"kept in {where}")
    sys.exit(1 if result.broken else 0)


def _door(file: str) -> tuple[str, int]:
    config = _read(file)
    if config.console is None:
        click.echo(f"stairhatch: {file}: console is not set: the door is where this is asked", err=True)
        sys.exit(2)
    return config.console


@main_group.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="as one JSON object")
@click.option("--watch", default="", metavar="CLAIM", help="who holds it, a line at each change")
@click.option("--seconds", default=3600.0, show_default=True, help="watch for so long")
def claims(file: str, as_json: bool, watch: str, seconds: float) -> None:
    """Ask the softswitch that FILE describes, by its door, for its claims: names, holders, tickets, terms
    left, whether it votes, and why there is no majority.
    """
    from stairhatch.fleet import admin_client

    try:
        if watch:
            admin_client.observe_lease(_door(file), watch, seconds, click.echo)
            return
        told = admin_client.lease_report(_door(file))
    except admin_client.AdminClientError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(1)
    click.echo(json.dumps(told) if as_json else admin_client.format_report(told), nl=as_json)


@main_group.command("restart-slot")
@click.argument("file", type=click.Path())
@click.option("--wait", default=60.0, show_default=True, help="so many seconds at the most")
@click.option("--give", is_flag=True, help="give it back: there will be no restart")
def restart_slot(file: str, wait: float, give: bool) -> None:
    """Take one of the fleet's slots for a planned restart of the softswitch that FILE describes, then end it
    with SIGTERM. Exit code 0: it is held, until a term after that softswitch has gone. 1: there was none in
    time.
    """
    from stairhatch.fleet import admin_client

    door = _door(file)
    try:
        click.echo(
            admin_client.execute(door, "restart-give")
            if give
            else admin_client.execute_until_ready(door, "restart-ask", wait)
        )
    except admin_client.AdminClientError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(1)


@main_group.group()
def lab() -> None:
    """Several softswitches of this program with faults between them, and rules read off what happened."""


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    try:
        found = range(int(first), int(last or first) + 1)
    except ValueError:
        raise click.BadParameter(f"{text!r}: give A-B", param_hint="--seeds") from None
    if not found:
        raise click.BadParameter(f"{text!r}: there is none in it", param_hint="--seeds")
    return found


def _lab_sum(found: Any, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(found.to_json_dict()))
    else:
        for ran in found.failed:
            click.echo(f"seed {ran.seed}: BROKEN {'; '.join(ran.violations[:3])} {ran.kept_in}")
        for ran in found.not_carried_out:
            click.echo(f"seed {ran.seed}: not carried out: {ran.error}")
        bites = ", ".join(f"{name} {often}" for name, often in sorted(found.runs_by_activation.items()))
        calls = ", ".join(f"{often} {name}" for name, often in found.calls.items())
        click.echo(f"runs in which each fault bit: {bites}")
        click.echo(f"calls: {calls}; claims were held {found.holds} times")
        click.echo(
            f"{found.runs - len(found.failed) - len(found.not_carried_out)} of {found.runs} runs good, "
            f"{found.beyond_drift_bound} beyond the drift bound, {found.duration_s:.0f} s"
        )
    sys.exit(1 if found.failed or found.not_carried_out else 0)


@lab.command("run")
@click.argument("file", required=False, type=click.Path(path_type=Path))
@click.option("--seeds", default="", help="A-B: schedules drawn from these seeds, in place of FILE")
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64), help="runs side by side")
@click.option("--members", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--scale", default=0.2, show_default=True, type=click.FloatRange(0.05, 2), help="of all times")
@click.option("--keep", type=click.Path(path_type=Path), help="keep histories and time lines there")
@click.option("--json", "as_json", is_flag=True, help="the sum as one JSON object")
@click.option("--progress", is_flag=True, help="show how far it is")
def lab_run(
    file: Path | None, seeds: str, jobs: int, members: int, scale: float, keep: Path | None, as_json: bool,
    progress: bool,
) -> None:  # fmt: skip
    """Start real softswitches with stand-ins around them and carry out the timeline of FILE, or those drawn
    from seeds. Exit code 1: a rule was broken, or a run could not be carried out.
    """
    from stairhatch.fault_injection import run_batch
    from stairhatch.fault_injection.errors import ScheduleError
    from stairhatch.fault_injection.schedule import read_schedule

    if (file is None) is (not seeds):
        raise click.UsageError("give either FILE or --seeds A-B")

    def shown(found: run_batch.RunSummary, ran: run_batch.RunResult) -> None:
        if progress:
            broken = len(found.failed) + len(found.not_carried_out)
            click.echo(f"\r{found.runs} runs, {broken} not good, seed {ran.seed} last ", nl=False, err=True)

    try:
        if file is not None:
            found = run_batch.RunSummary()
            found.add(
                run_batch.carry_out(run_batch.RunRequest(read_schedule(file), 1, keep, keep is not None))
            )
        else:
            found = run_batch.run_many(
                _seeds(seeds),
                jobs,
                run_batch.BatchOptions(members=members, scale=scale, keep_in=keep),
                shown,
            )
    except ScheduleError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)
    except KeyboardInterrupt:
        click.echo("stairhatch: broken off; what was started has been ended", err=True)
        sys.exit(130)
    _lab_sum(found, as_json)


@lab.command("replay")
@click.argument("seed", type=int)
@click.option("--members", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--scale", default=0.2, show_default=True, type=click.FloatRange(0.05, 2), help="of all times")
@click.option("--keep", default="lab", show_default=True, type=click.Path(path_type=Path))
def lab_replay(seed: int, members: int, scale: float, keep: Path) -> None:
    """Carry out the run of SEED once more, keep all of it and show who held what."""
    from stairhatch.fault_injection import run_batch
    from stairhatch.fault_injection.schedule_generator import draw_schedule

    told = run_batch.RunRequest(draw_schedule(seed, members=members, scale=scale), seed, keep, True)
    for event in told.schedule.faults:
        where = " ".join(each for each in (event.member, event.peer, *event.members) if each)
        click.echo(f"{event.at_s:7.2f} s {event.kind.value} {where} for {event.duration_s:.2f} s")
    found = run_batch.RunSummary()
    found.add(run_batch.carry_out(told))
    where_kept = keep / f"run-{seed}"
    if (where_kept / "timeline.txt").exists():
        click.echo((where_kept / "timeline.txt").read_text(), nl=False)
        click.echo(f"kept in {where_kept}")
    _lab_sum(found, False)


@lab.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
def lab_check(folder: Path) -> None:
    """Judge once more what a run has kept, and show who held what."""
    from stairhatch.fault_injection.errors import RunError
    from stairhatch.fault_injection.run_files import check_kept_run

    try:
        broken, shown = check_kept_run(folder)
    except RunError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)
    click.echo(shown, nl=False)
    for each in broken:
        click.echo(f"BROKEN {each.rule} at {each.at_s:.3f}: {each.explanation}")
    click.echo(f"{len(broken)} broken")
    sys.exit(1 if broken else 0)


@lab.command("trial")
@click.option("--seeds", default="0-199", show_default=True, help="A-B")
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64), help="processes")
@click.option("--members", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--planted", default="", help="with this fault in the decisions; `list` names them")
@click.option("--faults", is_flag=True, help="plant each fault and show after how many seeds it is found")
def lab_trial(seeds: str, jobs: int, members: int, planted: str, faults: bool) -> None:
    """The same decisions on a virtual clock, from seeds. Exit code 1: a rule was broken (with --faults: a
    fault was not found).
    """
    from stairhatch.fault_injection.mutations import MUTATIONS
    from stairhatch.fault_injection.trial import TrialOptions, run_seeds

    chosen = _seeds(seeds)
    if planted == "list":
        click.echo("\n".join(MUTATIONS))
        return
    if planted and planted not in MUTATIONS:
        raise click.BadParameter(f"there is no fault called {planted!r}: try list", param_hint="--planted")
    if faults:
        missed = 0
        for name in MUTATIONS:
            found = run_seeds(
                chosen, TrialOptions(members=members, mutation=name), jobs, until_violation=True
            )
            rule = found.failed[0].violations[0].rule if found.failed else ""
            click.echo(f"{name:52} {f'{found.runs:5} seeds, {rule}' if rule else 'NOT FOUND'}")
            missed += not rule
        click.echo(f"{len(MUTATIONS) - missed} of {len(MUTATIONS)} planted faults found")
        sys.exit(1 if missed else 0)
    found = run_seeds(chosen, TrialOptions(members=members, mutation=planted), jobs)
    for ran in found.failed[:20]:
        click.echo(f"seed {ran.seed}: BROKEN {ran.violations[0].rule}: {ran.violations[0].explanation}")
    bites = ", ".join(f"{name} {often}" for name, often in sorted(found.runs_by_activation.items()))
    click.echo(f"runs in which each fault bit: {bites}")
    click.echo(
        f"{found.runs - len(found.failed)} of {found.runs} runs good, "
        f"{found.beyond_drift_bound} beyond the drift bound, "
        f"claims were held {found.holds} times, {found.duration_s:.1f} s"
    )
    sys.exit(1 if found.failed else 0)


@lab.command("explore")
@click.option("--depth", default=8, show_default=True, type=click.IntRange(1, 40))
@click.option("--crashes", default=0, show_default=True, help="of voters, on one path")
@click.option("--copies", default=0, show_default=True, help="of messages")
@click.option("--slow", default=0, show_default=True, help="writes that take their time")
@click.option("--steps", default=0, show_default=True, help="of the clock, to what is due next")
@click.option("--leaps", default=1, show_default=True, help="of the clock, past the end of a promise")
@click.option("--held", is_flag=True, help="begin with a claim that is held")
@click.option("--seconds", default=60.0, show_default=True, help="stop after so long")
@click.option("--planted", default="", help="with this fault in the decisions")
def lab_explore(planted: str, **told: Any) -> None:
    """Every order of events in a small world, to a depth. Exit code 1: a rule was broken, or not all was
    seen.
    """
    from stairhatch.fault_injection import state_exploration
    from stairhatch.fault_injection.mutations import MUTATIONS
    from stairhatch.fault_injection.mutations import mutation_applied as with_fault

    if planted and planted not in MUTATIONS:
        raise click.BadParameter(f"there is no fault called {planted!r}", param_hint="--planted")
    with with_fault(planted):
        found = state_exploration.explore(
            state_exploration.ExplorationBounds(
                depth=told["depth"],
                crashes=told["crashes"],
                duplicates=told["copies"],
                slow_writes=told["slow"],
                clock_steps=told["steps"],
                clock_leaps=told["leaps"],
                seconds=told["seconds"],
                begins_held=told["held"],
            )
        )
    if found.violation:
        click.echo(f"BROKEN {found.violation}, after: {', '.join(found.path)}")
    click.echo(
        f"{found.states} states, {'all' if found.complete else 'not all'} there are; "
        f"in {found.states_with_holder} it was held, "
        f"{found.takeovers} times taken over, {found.states_after_crash} behind a crash"
    )
    sys.exit(0 if found.complete and not found.violation else 1)


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
    from stairhatch.users import list_users

    _told(list_users, file)


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
    try:
        main_group(args=words, prog_name="stairhatch")
    except ModuleNotFoundError as error:
        library = (error.name or "").partition(".")[0]
        if library not in LOAD_ONLY:
            raise
        why = f"{words[0]} needs what requirements-load.txt lists; {library} is not installed"
        click.echo(f"stairhatch: {why}", err=True)
        return 2
    return 0
