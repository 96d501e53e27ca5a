"""``lapispick trace``: look into traces, mend, cut and replay them."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.cli.output import DIFFERS, FAULTY, as_json, complain, say, table
from lapispick.trace import files, folding, meetings, replaying
from lapispick.trace.clocks import Unknown, estimate
from lapispick.trace.files import Reader
from lapispick.trace.helper import OPEN, SUFFIX, module_digest
from lapispick.trace.kinds import Step
from lapispick.trace.layout import TraceFault
from lapispick.trace.records import Block

JSON = click.option("--json", "json_", is_flag=True, help="For programs.")
PATHS = click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))


def _readers(paths: tuple[Path, ...]) -> list[Reader]:
    """Open the files, of folders all traces in them, in the order of life and sequence; ends on a fault."""
    found: list[Reader] = []
    for path in paths:
        many = sorted(p for p in path.iterdir() if p.name.endswith((SUFFIX, OPEN))) if path.is_dir() else [path]
        for each in many:
            try:
                found.append(Reader(each))
            except TraceFault as err:
                complain(str(err))
                sys.exit(FAULTY)
    return sorted(found, key=lambda r: (r.header.box, r.header.incarnation, r.header.sequence))


def _when(ms: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(ms / 1000)) + f".{int(ms % 1000):03d}Z"


def _told(reader: Reader) -> dict[str, Any]:
    header, places = reader.header, reader.places
    return {"file": str(reader.path), "box": header.box, "incarnation": header.incarnation,
            "sequence": header.sequence, "bytes": reader.size, "blocks": len(places),
            "steps": sum(p.steps for p in places), "first": _when(places[0].first) if places else "",
            "last": _when(places[-1].last) if places else "", "indexed": reader.indexed,
            "damaged_bytes": sum(d.length for d in reader.damage),
            "module": "present" if header.module == module_digest() else header.module}


@click.group()
def trace() -> None:
    """Look into recorded requests and decisions."""


@trace.command()
@PATHS
@JSON
def info(paths: tuple[Path, ...], json_: bool) -> None:
    """Say what the files hold."""
    told = [_told(r) for r in _readers(paths)]
    if json_:
        return as_json(told)
    keys = ("file", "box", "sequence", "bytes", "blocks", "steps", "first", "last", "indexed", "module")
    return table(f"{len(told)} files", keys, ((t[k] for k in keys) for t in told))


@trace.command()
@PATHS
@JSON
def verify(paths: tuple[Path, ...], json_: bool) -> None:
    """Read every block; name what is spoilt or missing. Ends with 1 where anything is."""
    found: list[dict[str, Any]] = []
    for reader in _readers(paths):
        faults = [f"{d.length} bytes at {d.offset}: {d.what}" for d in reader.damage]
        faults += [] if reader.indexed else ["no index: the file was not closed"]
        for place in reader.places:
            try:
                if len(reader.block(place)) != place.steps:
                    faults.append(f"the block at byte {place.offset} holds another number of steps")
            except TraceFault as err:
                faults.append(str(err))
        found.append({"file": str(reader.path), "faults": faults})
    if json_:
        as_json(found)
    for each in found if not json_ else ():
        say(f"{each['file']}: {'; '.join(each['faults']) or 'whole'}")
    sys.exit(DIFFERS if any(each["faults"] for each in found) else 0)


def _blocks(reader: Reader) -> Iterator[Block]:
    for place in reader.places:
        try:
            yield reader.columns(place)
        except TraceFault as err:
            complain(f"left out: {err}")


def _whole(reader: Reader) -> Iterator[Step]:
    for place in reader.places:
        try:
            yield from reader.block(place)
        except TraceFault as err:
            complain(f"left out: {err}")


@trace.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
def repair(path: Path, out: Path) -> None:
    """Write every whole block of a file to OUT, with a new index."""
    (reader,) = _readers((path,))
    say(f"{files.write(out, reader.whole_header, _whole(reader))} steps")


@trace.command()
@PATHS
@click.option("--since", type=float, default=float("-inf"), help="Unix ms.")
@click.option("--until", type=float, default=float("inf"), help="Unix ms.")
def cat(paths: tuple[Path, ...], since: float, until: float) -> None:
    """Print the steps as JSON, one a line."""
    for reader in _readers(paths):
        for step in reader.steps(since, until):
            made = {"box": reader.sources[step.box].box, "now": step.now}
            for part in ("events", "actions", "notes"):
                made[part] = [{"kind": type(one).__name__, **one._asdict()} for one in getattr(step, part)]
            click.echo(msgspec.json.encode(made))


@trace.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--since", type=float, required=True, help="Unix ms; the first step that is kept.")
@click.option("--until", type=float, required=True, help="Unix ms; the first step that is not.")
def cut(path: Path, out: Path, since: float, until: float) -> None:
    """Write the steps of a time window to OUT; only their blocks are read."""
    (reader,) = _readers((path,))
    count = files.write(out, reader.whole_header, reader.steps(since, until))
    say(f"{count} steps, {reader.read_bytes} of {reader.size} bytes read")


@trace.command()
@PATHS
@JSON
def replay(paths: tuple[Path, ...], json_: bool) -> None:
    """Feed one life of a box, from its first file on, to the present module; ends with 1 where they differ.

    This is open-loop: what the module orders now does not change what came next.
    """
    readers = _readers(paths)
    lives = {(r.header.box, r.header.incarnation) for r in readers}
    if len(lives) != 1 or [r.header.sequence for r in readers] != list(range(len(readers))):
        complain("needs all files of one life of one box, from the first on")
        sys.exit(FAULTY)
    header = readers[0].header
    made = replaying.replay(header.settings, header.seed, header.module_now,
                            (step for reader in readers for step in _whole(reader)))
    told = {"steps": made.steps, "differing": made.differing, "gaps": made.gaps,
            "same_module": header.module == module_digest(),
            "recorded": dict(made.recorded), "replayed": dict(made.replayed),
            "first": None if made.first is None else {
                "step": made.first.number, "now": made.first.now, "recorded": [str(a) for a in made.first.recorded],
                "replayed": [str(a) for a in made.first.replayed]}}
    if json_:
        as_json(told)
    else:
        say(f"{made.steps} steps, {made.differing} differ" + (f", ended at a gap of {made.gaps}" if made.gaps else ""))
        if made.first is not None:
            say(f"first at step {made.first.number}: recorded {made.first.recorded}, now {made.first.replayed}")
        kinds = sorted(made.recorded.keys() | made.replayed.keys())
        table("actions", ("kind", "recorded", "replayed"), ((k, made.recorded[k], made.replayed[k]) for k in kinds))
    sys.exit(DIFFERS if made.differing else 0)


@trace.command()
@PATHS
@JSON
def clocks(paths: tuple[Path, ...], json_: bool) -> None:
    """Tell how far the boxes' clocks are apart, from subjects that were tried at several.

    The boxes need one `subject-key`. Ends with 1 where something cannot be told.
    """
    readers = _readers(paths)
    met = (one for r in readers for one in meetings.tries(r.header.box, _whole(r)))
    reference, found = estimate(met, {r.header.box for r in readers})
    unknown = [box for box, clock in found.items() if isinstance(clock, Unknown)]
    if json_:
        as_json({"reference": reference, "clocks": {
            box: {"why": c.why} if isinstance(c, Unknown) else msgspec.to_builtins(c) for box, c in found.items()}})
    else:
        table(f"clocks against {reference}", ("box", "ahead, ms", "gains, ms a s", "within, ms", "pairs", ""), (
            (box, "", "", "", "", c.why) if isinstance(c, Unknown) else
            (box, f"{c.offset:.1f}", f"{c.drift:.3f}" if c.drift_told else "not told", f"{c.error:.1f}", c.pairs,
             "the reference" if box == reference else "") for box, c in found.items()))
    sys.exit(DIFFERS if unknown else 0)


@trace.command()
@PATHS
@JSON
def summarise(paths: tuple[Path, ...], json_: bool) -> None:
    """Say what became of the requests of one life of a box: worth by class, account and 10 s, waits and runs.

    A repeat counts for its first try.
    """
    readers = _readers(paths)
    if len({(r.header.box, r.header.incarnation) for r in readers}) != 1:
        complain("needs files of one life of one box; take them one life at a time")
        sys.exit(FAULTY)
    made = folding.summarise(readers[0].sources, (block for reader in readers for block in _blocks(reader)))
    if json_:
        return as_json(made)
    columns = ("", "requests", "tries", "asked", "served", "share", "in aim", "late", "poorer", "refused", "failed",
               "gone")
    for title, parts in (("whole", {"all": made.whole}), ("by class", made.classes), ("by account", made.accounts),
                         ("by 10 s", {_when(float(k)): v for k, v in made.windows.items()})):
        table(title, columns, ((name or "not told", w.requests, w.tries, f"{w.asked:g}", f"{w.served:g}",
                                f"{w.served / w.asked:.3f}" if w.asked else "-", w.in_aim, w.late, w.poorer,
                                w.refused, w.failed, w.gone) for name, w in parts.items()))
    for title, spans in (("waits before a run, ms", made.waits), ("runs, ms", made.runs)):
        table(title, ("class", "count", "p50", "p90", "p99", "most"),
              ((name, s.count, s.p50, s.p90, s.p99, s.most) for name, s in spans.items()))
    table("refused tries by ground", ("ground", "tries"), made.grounds.items())
    if made.gaps:
        say(f"{made.gaps} steps are missing")
    return None
