"""``lapispick rollout``: take a change through the fleet in stages, look at it, hold it, go on, go back."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
from rich.live import Live
from rich.table import Table

from lapispick.agent import generation_store
from lapispick.agent.rollout_store import Ledger, Unusable
from lapispick.cli.config import FILE, load
from lapispick.cli.inventory import Files, source
from lapispick.cli.output import DIFFERS, FAULTY, NO_STATE, as_json, complain, say, table
from lapispick.conf.settings import Rollout as Settings
from lapispick.fleet import hosts, snapshot
from lapispick.fleet.acceptance import Acceptance, Seen
from lapispick.fleet.hosts import Worker
from lapispick.host.inventory import policy
from lapispick.rollout import compat, generations, pacing, rollout_state, stages
from lapispick.rollout.canary_analysis import Bounds as Judging
from lapispick.rollout.rollout_state import Course, Plan

JSON = click.option("--json", "json_", is_flag=True, help="For programs.")
NAME = click.argument("name", default="")
FOLDER = click.Path(path_type=Path, exists=True, file_okay=False)
PROGRAM = click.option("--program", type=FOLDER, required=True, help="The folder that holds the package lapispick.")
OWN = click.option("--settings", type=click.Path(path_type=Path, exists=True), help="Its operators' settings file.")
CONFIG = click.option(
    "--config",
    type=click.Path(path_type=Path, exists=True),
    help="JSON: what it changes of the platform's configuration.",
)
STEERED_S = 10.0  # s; a controller that gave no sign for longer is taken for gone


class _Made(NamedTuple):
    """What a rollout would be of."""

    digest: str
    speaks: dict[str, compat.Spoken]
    faults: list[str]


def _generation(program: Path, own: Path | None, config: Path | None) -> _Made:
    """Return the digest of a generation as the agents' shelves name it, and what is wrong with it."""
    faults, changes = list[str](), dict[str, Any]()
    try:
        changes = msgspec.json.decode(config.read_bytes(), type=dict[str, Any]) if config else {}
        faults += generations.faults(changes)
        code = generations.digest(generation_store.contents(program))
        speaks = generation_store.speaks(program)
    except (generation_store.Unfit, OSError, msgspec.MsgspecError, subprocess.SubprocessError) as err:
        return _Made("", {}, [str(err)])
    data = own.read_bytes() if own is not None else b""
    if own is not None:  # read by the program that will read it
        done = subprocess.run(
            [sys.executable, "-m", "lapispick", "config", "check", "--conf", str(own.absolute())],
            cwd=program,
            capture_output=True,
            text=True,
            timeout=generation_store.SPEAKS_S,
            env={**os.environ, "PYTHONPATH": str(program.absolute()), "PYTHONDONTWRITEBYTECODE": "1"},
        )
        faults += [line for line in done.stderr.splitlines() if line] if done.returncode else []
    return _Made(generations.named(code, generations.digest([(generation_store.CONF, data)]), changes), speaks, faults)


class _Fleet(NamedTuple):
    """The list and the plan that follow from the settings."""

    settings: Settings
    workers: tuple[Worker, ...]
    stages: list[list[str]]
    remarks: list[str]
    faults: list[str]
    source: Any


def _fleet(file: Path | None, name: str) -> _Fleet:
    own = load(file)
    told, faults = own.rollout, list[str]()
    if not own.fleet.group:
        complain("no group in section fleet of the settings")
        sys.exit(FAULTY)
    where = source(file, None, own.fleet.group)
    reading = Files(where).read()
    faults += [str(f) for f in reading.faults]
    workers, _ = hosts.workers(reading.boxes.values())
    bounds, planned, remarks = stages.Bounds(told.zone_most), list[list[str]](), list[str]()
    try:
        pacing.hours(told.hours)
        planned = stages.assign(workers, [stages.want(word) for word in told.stages], name, bounds)
        remarks = stages.remarks(workers, planned, bounds)
    except ValueError as err:
        faults.append(f"section rollout: {err}")
    return _Fleet(told, workers, planned, remarks, faults, where)


def _plan(fleet: _Fleet, generation: str, limit_mb: float) -> Plan:
    told = fleet.settings
    return Plan(
        generation,
        tuple(tuple(stage) for stage in fleet.stages),
        tuple(int(n) for n in told.hold),
        {w.name: w.kind for w in fleet.workers},
        told.warm_up,
        told.bake,
        told.bake_most,
        told.confirm,
        max(told.warm_up, told.bake / 2),
        pacing.Bounds(told.change_most, told.serving_least),
        told.back_most,
        told.unreached,
        told.fire,
        told.controls,
        told.memory_most,
        limit_mb,
    )


@click.group()
def rollout() -> None:
    """Take a change of the program or its settings through the fleet in stages."""


@rollout.command()
@FILE
@JSON
@click.option("--name", default="next", show_default=True, help="The rollout's name; it draws which boxes come first.")
def plan(file: Path | None, json_: bool, name: str) -> None:
    """Show the stages of the plan."""
    fleet = _fleet(file, name)
    for fault in fleet.faults:
        complain(fault)
    if json_:
        as_json({"stages": fleet.stages, "remarks": fleet.remarks, "faults": fleet.faults})
    else:
        zones = {w.name: f"{w.zone}/{w.machine}".strip("/") for w in fleet.workers}
        table(
            f"{len(fleet.workers)} boxes in {len(fleet.stages)} stages",
            ("stage", "boxes", "of", "names"),
            (
                (
                    number,
                    len(stage),
                    " ".join(sorted({zones[n] for n in stage})),
                    " ".join(stage[:8]) + " ..." * (len(stage) > 8),
                )
                for number, stage in enumerate(fleet.stages, 1)
            ),
        )
        for remark in fleet.remarks:
            say(remark)
    sys.exit(FAULTY if fleet.faults else 0)


@rollout.command()
@FILE
@PROGRAM
@OWN
@CONFIG
@click.option("--old", type=FOLDER, help="The program that runs now.")
@JSON
def check(
    file: Path | None, program: Path, settings: Path | None, config: Path | None, old: Path | None, json_: bool
) -> None:
    """Name what a rollout would break, without a fleet; ends with 2 where there is anything."""
    fleet, made = _fleet(file, "next"), _generation(program, settings, config)
    faults = [*fleet.faults, *made.faults]
    if old is not None:
        try:
            faults += compat.objections(generation_store.speaks(old), made.speaks)
        except generation_store.Unfit as err:
            faults.append(str(err))
    if json_:
        as_json({"generation": made.digest, "faults": faults, "remarks": fleet.remarks})
    else:
        for fault in faults:
            complain(fault)
        for remark in fleet.remarks:
            say(remark)
        if made.digest:
            say(f"generation {made.digest}")
    sys.exit(FAULTY if faults else 0)


def _ledger(file: Path | None) -> Ledger:
    told = load(file).rollout
    if told.state_folder is None:
        complain("no state-folder in section rollout of the settings")
        sys.exit(FAULTY)
    try:
        return Ledger(Path(str(told.state_folder)))
    except (Unusable, OSError) as err:
        complain(str(err))
        sys.exit(FAULTY)


def _course(ledger: Ledger, name: str) -> Course:
    course = ledger.course(name)
    if course is None:
        complain(f"there is no rollout {name}".rstrip())
        sys.exit(NO_STATE)
    return course


@rollout.command()
@FILE
@PROGRAM
@OWN
@CONFIG
@click.option("--name", default="", help="Names the rollout; by default it is counted up.")
@click.option("--memory-mb", default=192.0, show_default=True, help="The limit of hosts whose agents tell none.")
def start(
    file: Path | None, program: Path, settings: Path | None, config: Path | None, name: str, memory_mb: float
) -> None:
    """Begin a rollout and steer it until it is over; `resume` goes on where a controller ended."""
    ledger, made = _ledger(file), _generation(program, settings, config)
    before = ledger.history()
    name = name or f"r{len(before) + 1}"
    open_ = [n for n, _, _, course in before if course.phase not in rollout_state.OVER]
    if open_:
        complain(f"rollout {open_[0]} is not over: resume it, or call it back")
        sys.exit(DIFFERS)
    if any(n == name for n, _, _, _ in before):
        complain(f"there was a rollout {name} before")
        sys.exit(DIFFERS)
    fleet = _fleet(file, name)
    faults = [*fleet.faults, *made.faults, *_skipped(fleet, made)]
    if faults or not fleet.workers:
        for fault in faults or ["the list holds no worker hosts"]:
            complain(fault)
        sys.exit(FAULTY)
    _steer(file, ledger, Course(name, _plan(fleet, made.digest, memory_mb)), fleet, memory_mb)


def _skipped(fleet: _Fleet, made: _Made) -> list[str]:
    """Ask the agents once what runs now: a rollout that skips a step is refused before its first box is touched."""
    from lapispick.agent.controller import address_of
    from lapispick.cli.ops import NoAnswer, call
    from lapispick.rollout import messages

    faults, heard = list[str](), 0
    for worker in fleet.workers:
        try:
            status = messages.heard(call(address_of(worker.agent), "status"))
        except (NoAnswer, ValueError):
            continue  # it is asked again in its stage, and its agent looks at the same
        heard += 1
        old = {kind: compat.Spoken(*told) for kind, told in status.speaks.items()}
        faults += [f"{worker.name}: {why}" for why in compat.objections(old, made.speaks)]
        if made.digest not in status.shelf:
            faults.append(f"{worker.name}: {made.digest} is not on its shelf (lapispick agent add)")
    return faults[:20] if heard else ["no agent answers"]


@rollout.command()
@FILE
@NAME
@click.option("--memory-mb", default=192.0, show_default=True, help="The limit of hosts whose agents tell none.")
def resume(file: Path | None, name: str, memory_mb: float) -> None:
    """Go on steering where another controller ended or lost its turn."""
    ledger = _ledger(file)
    course = _course(ledger, name)
    if course.phase in rollout_state.OVER:
        complain(f"rollout {course.name} is over: {course.phase}")
        sys.exit(DIFFERS)
    _steer(file, ledger, course, _fleet(file, course.name), memory_mb)


def _steer(file: Path | None, ledger: Ledger, course: Course, fleet: _Fleet, memory_mb: float) -> None:
    from lapispick.agent.controller import Controller, Hours
    from lapispick.host import logs

    told = fleet.settings
    logs.setup()
    files, judge = Files(fleet.source), Acceptance(policy(fleet.source.settings))

    def listed() -> list[Worker] | None:
        """Return the worker hosts of a list that was accepted just now; a broken or shrunken one changes nothing."""
        reading = files.read()
        whole = None if reading.faults else snapshot.of(reading.boxes)
        verdict = judge.see(time.monotonic(), Seen(whole, reading.faults, reading.unfinished))
        return list(hosts.workers(verdict.accepted.boxes.values())[0]) if verdict.accepted is not None else None

    judging = Judging(told.alarm, max(1, len(course.plan.stages)), told.worse, limit_kb=memory_mb * 1024)
    made = Controller(
        ledger,
        course,
        list(fleet.workers),
        told.who,
        judging,
        Hours(pacing.hours(told.hours), told.not_days),
        told.look,
        listed,
        Path(str(fleet.source.settings.names_file)) if fleet.source.settings.names_file else None,
    )
    ended = made.run()
    if made.fenced:
        complain(f"another controller steers, or this one failed: {made.fenced}")
        sys.exit(NO_STATE)
    say(f"{ended.name}: {ended.phase}: {ended.reason}")
    sys.exit(0 if ended.phase == rollout_state.DONE else DIFFERS)


def _shown(ledger: Ledger, course: Course) -> dict[str, Any]:
    who, epoch, seen = ledger.steered()
    looked = ledger.looked(course.name)
    boxes = looked[1]["boxes"] if looked else {}
    serving: dict[str, int] = {}
    for generation, _, _ in boxes.values():
        serving[generation or "nobody"] = serving.get(generation or "nobody", 0) + 1
    return {
        "rollout": course.name,
        "generation": course.plan.generation,
        "phase": course.phase,
        "reason": course.reason,
        "stage": course.stage + 1,
        "stages": len(course.plan.stages),
        "since": course.since,
        "steered_by": f"{epoch}.{who}",
        "seen_s_ago": round(time.time() - seen, 1),
        "serving": serving,
        "changing": course.boxes,
        "controls": course.controls,
        "over": len(course.past),
        "later": course.later,
        "deviations": looked[1]["deviations"] if looked else [],
        "boxes": boxes,
    }


@rollout.command()
@FILE
@NAME
@JSON
def status(file: Path | None, name: str, json_: bool) -> None:
    """Say where a rollout stands; by default the newest. Ends with 1 where it was undone or asks a person."""
    ledger = _ledger(file)
    course = _course(ledger, name)
    told = _shown(ledger, course)
    if json_:
        as_json(told)
    else:
        for key, value in told.items():
            if key != "boxes":
                say(f"{key:<11} {value}")
        if told["seen_s_ago"] > STEERED_S and course.phase not in rollout_state.OVER:
            say("nobody steers: lapispick rollout resume")
    sys.exit(DIFFERS if course.phase in (rollout_state.UNDONE, rollout_state.ASKING) else 0)


@rollout.command()
@FILE
@NAME
@click.option("--seconds", type=float, default=0.0, help="End after this long; 0: when the rollout is over.")
def watch(file: Path | None, name: str, seconds: float) -> None:
    """Show stages and boxes live."""
    ledger = _ledger(file)
    end = time.monotonic() + seconds if seconds else float("inf")

    def drawn() -> Table:
        course = _course(ledger, name)
        told = _shown(ledger, course)
        made = Table(title=f"{course.name} {course.phase}: {course.reason}", title_justify="left", box=None)
        for column in ("box", "stage", "serves", "phase", "fault"):
            made.add_column(column)
        at = {n: number for number, stage in enumerate(course.plan.stages, 1) for n in stage}
        for box, (serving, phase, fault) in told["boxes"].items():
            made.add_row(box, str(at.get(box, "later")), serving or "nobody", phase, fault)
        return made

    with Live(drawn(), refresh_per_second=4) as live:
        while time.monotonic() < end and _course(ledger, name).phase not in rollout_state.OVER:
            time.sleep(0.25)
            live.update(drawn())


def _order(word: str, doc: str) -> click.Command:
    @click.command(word, help=doc)
    @FILE
    @NAME
    def command(file: Path | None, name: str) -> None:
        ledger = _ledger(file)
        course = _course(ledger, name)
        if course.phase in rollout_state.OVER:
            complain(f"rollout {course.name} is over: {course.phase}")
            sys.exit(DIFFERS)
        ledger.order(course.name, word)
        _, _, seen = ledger.steered()
        if time.time() - seen > STEERED_S:
            say(f"{course.name}: {word} is kept, but nobody steers: lapispick rollout resume")
        else:
            say(f"{course.name}: told the controller: {word}")

    return command


for _word, _doc in (
    ("hold", "Begin nothing more; what has changed is watched on."),
    ("go", "Go on where the plan holds or a person is asked."),
    ("back", "Take every box of the rollout back to what it ran before."),
):
    rollout.add_command(_order(_word, _doc))


@rollout.command()
@FILE
@NAME
@JSON
def history(file: Path | None, name: str, json_: bool) -> None:
    """List all rollouts, or what happened in one."""
    ledger = _ledger(file)
    if name:
        events = ledger.events(_course(ledger, name).name)
        if json_:
            return as_json([{"at": at, "text": text} for at, text in events])
        for at, text in events:
            say(f"{time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(at))}  {text}")
        return None
    rows = ledger.history()
    if json_:
        return as_json(
            [
                {
                    "rollout": n,
                    "began": b,
                    "ended": e,
                    "generation": c.plan.generation,
                    "phase": c.phase,
                    "reason": c.reason,
                }
                for n, b, e, c in rows
            ]
        )
    table(
        "rollouts",
        ("name", "began", "generation", "phase", "ground"),
        (
            (n, time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(b)), c.plan.generation, c.phase, c.reason)
            for n, b, _, c in rows
        ),
    )
    return None


@rollout.command()
@FILE
@NAME
@JSON
def explain(file: Path | None, name: str, json_: bool) -> None:
    """Say why the judge decides as it does, figure by figure."""
    ledger = _ledger(file)
    course = _course(ledger, name)
    found = ledger.explained(course.name)
    if found is None:
        complain(f"{course.name}: the judge has said nothing so far")
        sys.exit(NO_STATE)
    at, told = found
    if json_:
        return as_json({"at": at, **told})
    say(f"{course.name} stage {told['stage']}: {told['outcome']}: {told['ground']}")
    say(f"changed: {' '.join(told['changed']) or 'none warm'}; held against: {' '.join(told['old']) or 'none'}")
    table(
        "figures, more is worse",
        ("figure", "slices", "worse by", "between", "margin", "evidence", "needed", "cleared", "old boxes"),
        (
            (
                r["figure"],
                r["slices"],
                f"{r['mean']:+.2%}",
                f"{r['low']:+.2%} {r['high']:+.2%}",
                f"{r['margin']:.1%}",
                f"{r['evidence']:.3g}",
                f"{r['needed']:.3g}",
                f"{r['cleared']:.3g}",
                f"{r['old_change']:+.2%}",
            )
            for r in told["rows"]
        ),
    )
    return None
