"""All sections of the settings file, their directives, defaults and checks; the one place where they stand."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path, PurePath
from typing import Annotated, Any, get_type_hints

import msgspec

from lapispick.conf import value_types
from lapispick.conf.parser import Line, Parser, Section
from lapispick.conf.value_types import Directive
from lapispick.file_errors import FaultCollector, InvalidFileError, SourceLocation, suggest_nearest

CONF_FILE = "deploy/lapispick.conf"  # from the root, where the program is started
VARIABLE = "LAPISPICK_CONF"
SIZE_MOST = 1 << 20  # bytes of one settings file
KEY_LEAST, KEY_MOST = 16, 64  # bytes of a secret for subjects; as many as the digest takes


def _of(kind: Any, doc: str, low: float | None = None, high: float | None = None, **more: Any) -> Directive:
    return Directive(kind, doc, low, high, **more)


class Inventory(msgspec.Struct, frozen=True):
    """Where the list of boxes stands and when a change of it is believed."""

    path: Annotated[PurePath | None, _of(value_types.path, "the file or folder with the list")] = None
    group: Annotated[str, _of(value_types.text, "the group whose boxes count")] = "amqp"
    domain: Annotated[str, _of(value_types.text, "put behind names without a dot")] = ""
    delimiter: Annotated[str, _of(value_types.text, "of CSV", choices=("auto", "comma", "semicolon", "tab", "bar"))] = (
        "auto"
    )
    end_marker: Annotated[str, _of(value_types.text, "the last line of a whole file")] = ""
    final_newline: Annotated[bool, _of(value_types.flag, "a whole file ends with a line end")] = True
    look: Annotated[float, _of(value_types.span, "between two looks at the files", 0.02, 3600)] = 0.5
    settle: Annotated[float, _of(value_types.span, "a new list stays unchanged so long", 0, 3600)] = 1.0
    settle_most: Annotated[float, _of(value_types.span, "a list that keeps changing waits no longer", 0, 3600)] = 3.0
    loss: Annotated[float, _of(value_types.share, "of the boxes may go at once", 0, 1)] = 0.2
    loss_least: Annotated[int, _of(value_types.count, "boxes may always go at once", 0, 1_000_000)] = 1
    turnover: Annotated[float, _of(value_types.share, "of the boxes may be replaced at once", 0, 1)] = 0.5
    loss_window: Annotated[float, _of(value_types.span, "losses add up for so long", 0, 86_400)] = 60.0
    hold: Annotated[float, _of(value_types.span, "a held list unchanged so long is accepted", 0, 864_000)] = 300.0
    returns: Annotated[float, _of(value_types.span, "a box back by then is the same box", 0, 864_000)] = 120.0
    history: Annotated[int, _of(value_types.count, "accepted lists that are remembered", 1, 1000)] = 20
    boxes_most: Annotated[int, _of(value_types.count, "boxes of one list", 1, 100_000)] = 10_000
    size_most: Annotated[int, _of(value_types.size, "bytes of all files together", 1, 64 << 20)] = 8 << 20
    change_most: Annotated[float, _of(value_types.share, "of the boxes may be opening or draining", 0, 1)] = 0.25
    change_least: Annotated[int, _of(value_types.count, "boxes may always be in change", 1, 100_000)] = 2
    change_wait: Annotated[float, _of(value_types.span, "a stuck change counts for so long", 0, 3600)] = 10.0
    state_folder: Annotated[PurePath | None, _of(value_types.path, "keeps the last good list; a disk that lasts")] = (
        None
    )
    names_file: Annotated[PurePath | None, _of(value_types.path, "addresses of names, asked before DNS")] = None
    names_every: Annotated[float, _of(value_types.span, "between two look-ups of a name", 0.05, 86_400)] = 30.0
    names_timeout: Annotated[float, _of(value_types.span, "for one look-up", 0.05, 60)] = 3.0


class Fleet(msgspec.Struct, frozen=True):
    """The worker hosts in the list of boxes; how the list is read and when it is believed stands in ``inventory``."""

    group: Annotated[str, _of(value_types.text, "the group whose boxes are worker hosts")] = ""
    state_folder: Annotated[PurePath | None, _of(value_types.path, "keeps the last good list of them")] = None


class Amqp(msgspec.Struct, frozen=True):
    """The AMQP front."""

    enabled: Annotated[bool, _of(value_types.flag, "consume from the boxes of the inventory")] = False
    drain: Annotated[float, _of(value_types.span, "for a broker that left to be settled", 0.1, 3600)] = 30.0


class Trace(msgspec.Struct, frozen=True):
    """The recorder of requests and decisions."""

    enabled: Annotated[bool, _of(value_types.flag, "record what the decisions are handed and order")] = False
    folder: Annotated[PurePath | None, _of(value_types.path, "where the files go; a disk that lasts")] = None
    buffer: Annotated[
        int, _of(value_types.size, "that may wait for the disk; beyond it steps are left out", 64 << 10, 64 << 20)
    ] = 1 << 20
    flush: Annotated[float, _of(value_types.span, "at most between two hand-overs", 0.05, 10)] = 0.25
    rotate_size: Annotated[int, _of(value_types.size, "of a file, then the next one begins", 64 << 10)] = 64 << 20
    rotate_age: Annotated[float, _of(value_types.span, "of a file, then the next one begins", 1)] = 3600.0
    keep_size: Annotated[int, _of(value_types.size, "of all files; the oldest go", 64 << 10)] = 1 << 30
    keep_age: Annotated[float, _of(value_types.span, "of a file; older ones go", 1)] = 7 * 86_400.0
    subject_key: Annotated[
        PurePath | None, _of(value_types.path, "a secret that boxes share, to compare their traces")
    ] = None
    sync: Annotated[str, _of(value_types.text, "when the disk must have it", choices=("no", "file", "block"))] = "file"


class Handover(msgspec.Struct, frozen=True):
    """An upgrade in which the next process starts beside this one."""

    enabled: Annotated[bool, _of(value_types.flag, "hand over to the next process of this worker host")] = True
    folder: Annotated[PurePath | None, _of(value_types.path, "that both processes share; by default TMPDIR")] = None


class Figures(msgspec.Struct, frozen=True):
    """Further figures at the operators' address, which a rollout's judge reads."""

    enabled: Annotated[bool, _of(value_types.flag, "tell worth, times to answer, memory and generation too")] = False


class Members(msgspec.Struct, frozen=True):
    """Worker hosts that talk to each other: who is alive, whose turn it is, what they tell of themselves."""

    enabled: Annotated[bool, _of(value_types.flag, "talk to the other boxes of section fleet's group")] = False
    listen: Annotated[str, _of(value_types.text, "where this box hears them, IP:PORT; datagrams and streams")] = ""
    name: Annotated[str, _of(value_types.text, "of the fleet; words of another one are dropped")] = "fleet"
    state_folder: Annotated[
        PurePath | None, _of(value_types.path, "keeps the number of this life; a disk that lasts")
    ] = None
    period: Annotated[float, _of(value_types.span, "between two probes", 0.05, 60)] = 1.0
    timeout: Annotated[float, _of(value_types.span, "for a direct answer; then others are asked", 0.01, 60)] = 0.3
    helpers: Annotated[int, _of(value_types.count, "that are asked then", 0, 16)] = 3
    suspicion: Annotated[
        int, _of(value_types.count, "periods that a suspicion lasts at least, times the size's log10", 1, 100)
    ] = 5
    sync: Annotated[float, _of(value_types.span, "between two whole views over a stream", 0.2, 3600)] = 30.0
    rate: Annotated[int, _of(value_types.count, "words a second that are taken of one box", 5, 10_000)] = 100
    lease: Annotated[float, _of(value_types.span, "of a turn", 0.2, 600)] = 10.0
    drift: Annotated[float, _of(value_types.share, "by which two clocks may run apart", 0, 0.2)] = 0.02
    answer: Annotated[float, _of(value_types.span, "for the votes on a claim", 0.02, 60)] = 1.0
    lists: Annotated[float, _of(value_types.span, "that a replaced list counts on for claims", 0.2, 3600)] = 30.0
    keep: Annotated[float, _of(value_types.span, "that an owner of a turn may be silent", 0.2, 3600)] = 5.0
    turns: Annotated[tuple[str, ...], _of(value_types.text, "named turns as NAME:K, K boxes at once", many=True)] = (
        "restart:1",
        "probe:1",
        "compact:1",
        "list:2",
        "return:2",
    )


class Agent(msgspec.Struct, frozen=True):
    """A box's agent, which starts the host and changes what it runs."""

    folder: Annotated[PurePath | None, _of(value_types.path, "its state and generations; a disk that lasts")] = None
    config: Annotated[PurePath | None, _of(value_types.path, "the platform's configuration of this box")] = None
    listen: Annotated[str, _of(value_types.text, "where controllers call, IP:PORT")] = "127.0.0.1:0"
    slot_ops: Annotated[
        tuple[str, ...], _of(value_types.text, "two operators' addresses: of a process and the next one", many=True)
    ] = ()
    slot_executors: Annotated[
        tuple[str, ...], _of(value_types.text, "the executor's addresses for both, where they differ", many=True)
    ] = ()
    look: Annotated[float, _of(value_types.span, "between two looks at the processes", 0.02, 10)] = 0.2
    start: Annotated[float, _of(value_types.span, "for a process to take clients", 0.5, 600)] = 6.0
    stop: Annotated[
        float, _of(value_types.span, "for a process that was told to leave; then it is killed", 0.5, 600)
    ] = 6.0
    keep: Annotated[int, _of(value_types.count, "generations beside those that are needed", 1, 100)] = 4
    turn: Annotated[
        str, _of(value_types.text, "of section members, waited for before an unconfirmed change is undone")
    ] = ""
    turn_wait: Annotated[float, _of(value_types.span, "for that turn; then it is undone without", 0, 86_400)] = 60.0


class Rollout(msgspec.Struct, frozen=True):
    """A change of the program or its settings goes through the fleet in stages."""

    state_folder: Annotated[PurePath | None, _of(value_types.path, "the ledger of rollouts; a disk that lasts")] = None
    who: Annotated[str, _of(value_types.text, "names this controller to the agents")] = "controller"
    stages: Annotated[
        tuple[str, ...], _of(value_types.text, "each a count (1), a share in all (25%) or box:NAME,NAME", many=True)
    ] = ("1", "10%", "50%", "100%")
    hold: Annotated[
        tuple[str, ...], _of(value_types.text, "stages after which a person says go, from 1", many=True)
    ] = ()
    warm_up: Annotated[float, _of(value_types.span, "after a start; a box counts from then on", 0, 3600)] = 20.0
    bake: Annotated[float, _of(value_types.span, "for a stage to be watched, at least", 0.5, 604_800)] = 120.0
    bake_most: Annotated[float, _of(value_types.span, "then a person is asked, if nobody can tell", 1, 604_800)] = 900.0
    confirm: Annotated[float, _of(value_types.span, "an unconfirmed change is undone after this", 1, 604_800)] = 1800.0
    change_most: Annotated[int, _of(value_types.count, "boxes in change at once", 1, 10_000)] = 2
    back_most: Annotated[int, _of(value_types.count, "boxes going back at once", 1, 10_000)] = 2
    serving_least: Annotated[float, _of(value_types.share, "of the fleet serves, or nothing begins", 0, 1)] = 0.8
    zone_most: Annotated[float, _of(value_types.share, "of a zone or failure domain in one stage", 0.01, 1)] = 0.6
    hours: Annotated[str, _of(value_types.text, "when stages may begin, HH:MM-HH:MM of local time")] = ""
    not_days: Annotated[
        tuple[str, ...],
        _of(
            value_types.text,
            "on which nothing begins",
            many=True,
            choices=("mon", "tue", "wed", "thu", "fri", "sat", "sun"),
        ),
    ] = ()
    controls: Annotated[bool, _of(value_types.flag, "start as many like boxes anew in their own generation")] = True
    look: Annotated[float, _of(value_types.span, "between two looks at the fleet", 0.1, 60)] = 2.0
    unreached: Annotated[float, _of(value_types.span, "a box without an answer counts as down after", 0.1, 3600)] = 10.0
    alarm: Annotated[float, _of(value_types.share, "chance of a false stop of a whole rollout", 0.0001, 0.5)] = 0.05
    worse: Annotated[float, _of(value_types.share, "worse by less than this is no ground to stop", 0, 1)] = 0.02
    memory_most: Annotated[
        float, _of(value_types.share, "of the memory limit; over it a change stops at once", 0, 1)
    ] = 0.9
    fire: Annotated[float, _of(value_types.share, "of the fleet not serving: stop only, start nothing anew", 0, 1)] = (
        0.3
    )


class Log(msgspec.Struct, frozen=True):
    """Log lines."""

    level: Annotated[
        str, _of(value_types.text, "the least that is written", choices=("debug", "info", "warning", "error"))
    ] = "info"


class Settings(msgspec.Struct, frozen=True):
    """The whole settings file."""

    inventory: Inventory = Inventory()
    fleet: Fleet = Fleet()
    amqp: Amqp = Amqp()
    trace: Trace = Trace()
    handover: Handover = Handover()
    figures: Figures = Figures()
    members: Members = Members()
    agent: Agent = Agent()
    rollout: Rollout = Rollout()
    log: Log = Log()


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "inventory": Inventory,
    "fleet": Fleet,
    "amqp": Amqp,
    "trace": Trace,
    "handover": Handover,
    "figures": Figures,
    "members": Members,
    "agent": Agent,
    "rollout": Rollout,
    "log": Log,
}


def directives(section: type[msgspec.Struct]) -> dict[str, Directive]:
    """Return the directives of a section by the names that people write."""
    hints = get_type_hints(section, include_extras=True)
    return {name.replace("_", "-"): hint.__metadata__[0] for name, hint in hints.items()}


def _open(pattern: PurePath) -> list[tuple[PurePath, str]]:
    path = Path(pattern)
    found = sorted(path.parent.glob(path.name)) if set(path.name) & set("*?[") else [path]
    made: list[tuple[PurePath, str]] = []
    for each in found:
        if each.stat().st_size > SIZE_MOST:
            raise ValueError(f"over {SIZE_MOST} bytes")
        made.append((PurePath(each), each.read_text(encoding="utf-8-sig")))
    return made


def _take(
    line: Line, directive: Directive, held: dict[str, Any], first: dict[str, SourceLocation], faults: FaultCollector
) -> None:
    key = line.name.replace("-", "_")
    if line.name in first and not directive.many:
        return faults.add(line.place, line.name, f"stands twice, first at {first[line.name]}")
    first.setdefault(line.name, line.place)
    if not line.words or (len(line.words) > 1 and not directive.many):
        return faults.add(line.place, line.name, f"takes one value, not {len(line.words)}")
    try:
        values = [directive.value(word) for word in line.words]
    except ValueError as err:
        return faults.add(line.place, line.name, str(err))
    if directive.kind is value_types.path:
        values = [PurePath(line.place.file).parent / v for v in values]
    held[key] = (*held.get(key, ()), *values) if directive.many else values[0]


def _section(name: str, parts: list[Section], faults: FaultCollector) -> msgspec.Struct:
    known = directives(SECTIONS[name])
    held: dict[str, Any] = {}
    first: dict[str, SourceLocation] = {}
    for line in (line for part in parts for line in part.lines):
        if line.name not in known:
            faults.add(line.place, line.name, f"unknown in section {name}{suggest_nearest(line.name, known)}")
        else:
            _take(line, known[line.name], held, first, faults)
    return SECTIONS[name](**held)


def _together(made: Settings, places: Mapping[str, SourceLocation], faults: FaultCollector) -> None:
    """Check what only several directives show together."""
    place = places.get("amqp", SourceLocation(VARIABLE))
    if made.amqp.enabled and made.inventory.path is None:
        faults.add(place, "enabled", "needs a path in section inventory")
    if made.trace.enabled and made.trace.folder is None:
        faults.add(places.get("trace", place), "enabled", "needs a folder in section trace")
    if made.trace.enabled and made.trace.subject_key is not None:
        try:
            if not KEY_LEAST <= Path(made.trace.subject_key).stat().st_size <= KEY_MOST:
                faults.add(places["trace"], "subject-key", f"must hold {KEY_LEAST} to {KEY_MOST} bytes")
        except OSError as err:
            faults.add(places["trace"], "subject-key", f"{made.trace.subject_key}: {err.strerror}")
    if (text := _agent_faults(made.agent)) and "agent" in places:
        faults.add(places["agent"], *text)
    if (text := _rollout_faults(made.rollout)) and "rollout" in places:
        faults.add(places["rollout"], *text)
    if (text := _member_faults(made)) and "members" in places:
        faults.add(places["members"], *text)
    if made.fleet.group and made.inventory.path is None:
        faults.add(places["fleet"], "group", "needs a path in section inventory")
    if made.fleet.group and made.amqp.enabled and made.fleet.group == made.inventory.group:
        faults.add(places["fleet"], "group", "is that of the AMQP front's brokers, which are no worker hosts")
    kept = made.inventory
    if kept.settle > kept.settle_most:
        faults.add(places.get("inventory", place), "settle-most", "must not be under settle")


def _member_faults(made: Settings) -> tuple[str, str] | None:
    told = made.members
    if not told.enabled:
        return None
    if not told.listen or not made.fleet.group:
        return "enabled", "needs listen, and a group in section fleet"
    if told.lists < told.lease * (1 + told.drift):
        return "lists", "must not be under a lease and the drift, or two boxes could hold a turn by two lists"
    if told.answer >= told.lease / 2:
        return "answer", "must be under half of the lease"
    return _turns_faults(told.turns)


def _turns_faults(told: tuple[str, ...]) -> tuple[str, str] | None:
    names = [each.partition(":")[0] for each in told]
    for each in told:
        name, _, most = each.partition(":")
        if not name.replace("-", "").isalnum() or not most.isdecimal() or not 1 <= int(most) <= 1000:
            return "turns", f"{each!r} is not NAME:K with K from 1 to 1000"
    return ("turns", "names a turn twice") if len(set(names)) < len(names) else None


def _agent_faults(agent: Agent) -> tuple[str, str] | None:
    if agent.slot_ops and len(set(agent.slot_ops)) != 2:
        return "slot-ops", "takes two addresses that differ"
    if agent.slot_executors and len(agent.slot_executors) != 2:
        return "slot-executors", "takes two addresses"
    return None


def _rollout_faults(told: Rollout) -> tuple[str, str] | None:
    if told.bake > told.bake_most:
        return "bake-most", "must not be under bake"
    if told.confirm < told.warm_up + told.bake:
        return "confirm", "must not be under warm-up and bake together, or each change is undone while it is watched"
    if any(not each.isdecimal() or not 1 <= int(each) <= len(told.stages) for each in told.hold):
        return "hold", f"takes numbers of stages from 1 to {len(told.stages)}"
    return None


def parse(path: PurePath) -> Settings:
    """Read a settings file and what it includes; raises ``InvalidFileError`` with all that is wrong."""
    parser = Parser(_open)
    parser.file(path)
    faults = parser.faults
    by_name: dict[str, list[Section]] = {}
    for section in parser.sections:
        if section.name not in SECTIONS:
            faults.add(section.place, "section", f"{section.name} is unknown{suggest_nearest(section.name, SECTIONS)}")
        else:
            by_name.setdefault(section.name, []).append(section)
    made = Settings(**{name: _section(name, by_name.get(name, []), faults) for name in SECTIONS})
    if not faults:
        _together(made, {name: parts[0].place for name, parts in by_name.items()}, faults)
    if faults:
        raise InvalidFileError(faults.collected)
    return made


def located(environ: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file."""
    return Path(environ.get(VARIABLE) or CONF_FILE)


def load(environ: Mapping[str, str] = os.environ) -> Settings:
    """Read the settings file that the environment names; all defaults where there is none by default."""
    path = located(environ)
    if not environ.get(VARIABLE) and not path.exists():
        return Settings()
    return parse(path)


def lines(settings: Settings) -> list[str]:
    """Write all settings as a file that reads back the same; what has no value stands as a comment."""
    made: list[str] = []
    for name, section in SECTIONS.items():
        part = getattr(settings, name)
        made.append(f"section {name}")
        for word, directive in directives(section).items():
            value = getattr(part, word.replace("-", "_"))
            written = f"    {word} {_shown(directive, value)}" if value not in (None, "", ()) else f"    # {word}"
            made.append(f"{written:<44}# {directive.doc}")
        made.append("end")
    return made


def _shown(directive: Directive, value: Any) -> str:
    if directive.kind is value_types.span:
        return f"{value:g}s"
    if directive.kind is value_types.share:
        return f"{value * 100:g}%"
    return value_types.shown(value)
