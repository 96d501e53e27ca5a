"""``lapispick trace``: look into traces."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.cli.output import ExitCode, print_json, print_line, print_table
from lapispick.cli.trace_common import JSON, PATHS, SINCE, UNTIL, bar, blocks, fail, lives, readers, steps, when
from lapispick.cli.trace_compare import diff, plot, replay
from lapispick.cli.trace_write import anonymise, convert, cut, merge, repair
from lapispick.trace import aggregation, attempt_matching, lines
from lapispick.trace.clock_skew import Unknown, estimate
from lapispick.trace.files import Reader
from lapispick.trace.helper import module_digest
from lapispick.trace.layout import MAJOR, TraceError


@click.group()
def trace() -> None:
    """Look into recorded requests and decisions, cut, merge, compare and replay them."""


for command in (repair, cut, merge, anonymise, convert, replay, diff, plot):
    trace.add_command(command)


def _told(reader: Reader) -> dict[str, Any]:
    header, places = reader.header, reader.places
    return {
        "file": str(reader.path),
        "box": ",".join(dict.fromkeys(s.box for s in reader.sources)),
        "incarnation": header.incarnation,
        "sequence": header.sequence,
        "version": f"{MAJOR}.{reader.minor}",
        "made": "; ".join(reader.whole_header.made) or "recorded",
        "bytes": reader.size,
        "blocks": len(places),
        "steps": sum(p.steps for p in places),
        "first": when(min(p.first for p in places)) if places else "",
        "last": when(max(p.last for p in places)) if places else "",
        "indexed": reader.indexed,
        "damaged_bytes": sum(d.length for d in reader.damage),
        "module": "present" if header.module == module_digest() else header.module,
    }


@trace.command()
@PATHS
@JSON
def info(paths: tuple[Path, ...], json_: bool) -> None:
    """Say what the files hold."""
    told = [_told(r) for r in readers(paths)]
    if json_:
        return print_json(told)
    keys = ("file", "box", "sequence", "made", "bytes", "blocks", "steps", "first", "last", "indexed", "module")
    return print_table(f"{len(told)} files", keys, ((t[k] for k in keys) for t in told))


@trace.command()
@PATHS
@JSON
def verify(paths: tuple[Path, ...], json_: bool) -> None:
    """Read every block; name what is spoilt or missing. Ends with 1 where anything is."""
    found: list[dict[str, Any]] = []
    opened = readers(paths)
    with bar("verify", opened) as tell:
        for reader in opened:
            faults = [f"{d.length} bytes at {d.offset}: {d.what}" for d in reader.damage]
            faults += [] if reader.indexed else ["no index: the file was not closed"]
            for place in reader.places:
                before = reader.read_bytes
                try:
                    if len(reader.block(place)) != place.steps:
                        faults.append(f"the block at byte {place.offset} holds another number of steps")
                except TraceError as err:
                    faults.append(str(err))
                tell(reader.read_bytes - before)
            found.append({"file": str(reader.path), "faults": faults})
    if json_:
        print_json(found)
    for each in found if not json_ else ():
        print_line(f"{each['file']}: {'; '.join(each['faults']) or 'whole'}")
    sys.exit(ExitCode.DIFFERENCES if any(each["faults"] for each in found) else 0)


@trace.command()
@PATHS
@SINCE
@UNTIL
def cat(paths: tuple[Path, ...], since: float, until: float) -> None:
    """Print the steps as JSON, one a line."""
    for reader in readers(paths):
        for step in reader.steps(since, until):
            click.echo(lines.step_line(step, reader.sources[step.box].box if step.box < len(reader.sources) else ""))


@trace.command()
@PATHS
@JSON
def clocks(paths: tuple[Path, ...], json_: bool) -> None:
    """Tell how far the boxes' clocks are apart, from subjects that were tried at several.

    The boxes need one `subject-key`. Ends with 1 where something cannot be told.
    """
    opened = readers(paths)
    reference, found = estimate(
        attempt_matching.kept(attempt_matching.tries(r.sources, steps(r)) for r in opened),
        {s.box for r in opened for s in r.sources},
    )
    unknown = [box for box, clock in found.items() if isinstance(clock, Unknown)]
    if json_:
        print_json(
            {
                "reference": reference,
                "clocks": {
                    box: {"why": c.why} if isinstance(c, Unknown) else msgspec.to_builtins(c)
                    for box, c in found.items()
                },
            }
        )
    else:
        print_table(
            f"clocks against {reference}",
            ("box", "ahead, ms", "gains, ms a s", "within, ms", "pairs", ""),
            (
                (box, "", "", "", "", c.why)
                if isinstance(c, Unknown)
                else (
                    box,
                    f"{c.offset:.1f}",
                    f"{c.drift:.3f}" if c.drift_told else "not told",
                    f"{c.error:.1f}",
                    c.pairs,
                    "the reference" if box == reference else "",
                )
                for box, c in found.items()
            ),
        )
    sys.exit(ExitCode.DIFFERENCES if unknown else 0)


COLUMNS = ("", "requests", "tries", "asked", "served", "share", "in aim", "late", "poorer", "refused", "failed", "gone")


def _show(made: aggregation.Summary) -> None:
    for title, parts in (
        ("whole", {"all": made.whole}),
        ("by class", made.classes),
        ("by account", made.accounts),
        ("by 10 s", {when(float(k)): v for k, v in made.windows.items()}),
        ("worst 10 s", {when(float(k)): made.windows[k] for k in made.worst}),
    ):
        print_table(
            title,
            COLUMNS,
            (
                (
                    name or "not told",
                    w.requests,
                    w.tries,
                    f"{w.asked:g}",
                    f"{w.served:g}",
                    f"{w.served / w.asked:.3f}" if w.asked else "-",
                    w.in_aim,
                    w.late,
                    w.poorer,
                    w.refused,
                    w.failed,
                    w.gone,
                )
                for name, w in parts.items()
            ),
        )
    for title, spans in (("waits before a run, ms", made.waits), ("runs, ms", made.runs)):
        print_table(
            title,
            ("class", "count", "p50", "p90", "p99", "most"),
            ((name, s.count, s.p50, s.p90, s.p99, s.most) for name, s in spans.items()),
        )
    print_table("refused tries by ground", ("ground", "tries"), made.grounds.items())
    if made.gaps:
        print_line(f"{made.gaps} steps are missing")


@trace.command()
@PATHS
@JSON
def summarise(paths: tuple[Path, ...], json_: bool) -> None:
    """Say what became of the requests of one life of a box, or of a merged file.

    Worth by class, account and 10 s, refusals by ground, waits and runs. A repeat counts for its first try; what a
    write tried at several boxes counts once in a merged file.
    """
    opened = readers(paths)
    if len(lives(opened)) != 1:
        fail("needs files of one life of one box, or one merged file; `lapispick trace merge` makes one of several")
    try:
        with bar("summarise", opened) as tell:
            made = aggregation.summarise(opened[0].sources, (block for r in opened for block in blocks(r, tell)))
    except ValueError as err:
        fail(f"{opened[0].path}: {err}")
    if json_:
        return print_json(made)
    return _show(made)
