"""``lapispick trace``: commands that write a trace out of others."""

from __future__ import annotations

import gzip
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any, BinaryIO

import click
import msgspec

from lapispick import admission
from lapispick.cli.output import ExitCode, print_error, print_json, print_line
from lapispick.cli.trace_common import JSON, OUT, PATH, SINCE, UNTIL, bar, fail, lives, names, readers, steps
from lapispick.trace import attempt_matching, files, lines, merging
from lapispick.trace.anonymising import Anonymiser, PseudonymConflictError
from lapispick.trace.clock_skew import estimate
from lapispick.trace.record_types import Step
from lapispick.trace.records import Header
from lapispick.trace.selecting import DROP, MARK, WHOLE, Selection, Selector

WITHIN_LEAST = 4  # bytes; a shorter name stands within others by chance


@click.command()
@PATH
@OUT
@JSON
def repair(path: Path, out: Path, json_: bool) -> None:
    """Write every whole block of a file to OUT, with a new index."""
    opened = readers((path,))
    with bar("repair", opened) as tell:
        count = files.write(out, opened[0].whole_header, steps(opened[0], tell))
    _done(json_, f"{count} steps", steps=count)


@click.command()
@PATH
@OUT
@SINCE
@UNTIL
@click.option("--class", "classes", multiple=True, help="Requests of this class only; may be given again.")
@click.option("--account", "accounts", multiple=True, help="Requests of this account only.")
@click.option("--outcome", "outcomes", multiple=True, type=click.Choice(["served", "refused", "failed", "gone"]))
@click.option(
    "--edges",
    type=click.Choice([MARK, WHOLE, DROP]),
    default=MARK,
    show_default=True,
    help="What becomes of requests that an edge of the window cuts through.",
)
@JSON
def cut(
    path: Path,
    out: Path,
    since: float,
    until: float,
    classes: tuple[str, ...],
    accounts: tuple[str, ...],
    outcomes: tuple[str, ...],
    edges: str,
    json_: bool,
) -> None:
    """Write a part of a file to OUT: a time window, or some requests; only the blocks around the window are read."""
    (reader,) = readers((path,))
    known = {name for source in reader.sources for name in source.classes}
    if unknown := set(classes) - known:
        fail(f"--class: the trace knows {', '.join(sorted(known))}, not {', '.join(sorted(unknown))}")
    selection = Selection(since, until, frozenset(classes), frozenset(accounts), frozenset(outcomes), edges)
    longest = max(
        (
            c.deadline_ms
            for s in reader.sources
            if s.settings
            for c in msgspec.json.decode(s.settings, type=admission.Settings).classes
        ),
        default=10_000.0,
    )
    selector = Selector(selection, names(reader.sources), longest, lambda step: files.when(reader.sources, step))
    header = Header.FromString(reader.whole_header.SerializeToString())
    header.made.append(
        "cut" + (f" to {edges}" if edges != MARK else "") + (" by request" if selection.by_request else "")
    )
    count = files.write(out, header, selector.run(reader.steps(since - selector.margin, until + selector.margin)))
    _done(
        json_,
        f"{count} steps, {reader.read_bytes} of {reader.size} bytes read",
        steps=count,
        read_bytes=reader.read_bytes,
        bytes=reader.size,
    )


@click.command()
@OUT
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--correct-clocks", is_flag=True, help="Order by clocks as far apart as retries tell them to be.")
@JSON
def merge(out: Path, paths: tuple[Path, ...], correct_clocks: bool, json_: bool) -> None:
    """Write the traces of several boxes to OUT, in the order of time; never reorders within a box.

    Each step keeps its box's own time. Ends with 1 where a clock was to be corrected and cannot be told.
    """
    opened = readers(paths)
    if out.resolve() in {r.path.resolve() for r in opened}:
        fail(f"{out}: is one of the traces to be merged")
    sources, positions = merging.merge_sources([r.sources for r in opened])
    left: list[str] = []
    if correct_clocks:
        _, found = estimate(
            attempt_matching.kept(attempt_matching.tries(r.sources, steps(r)) for r in opened), {s.box for s in sources}
        )
        left = merging.apply_clocks(sources, found)
    by_reader = {id(r): place for r, place in zip(opened, positions, strict=True)}

    def stream(many: list[files.Reader], tell: Callable[[int], None]) -> Iterator[Step]:
        for reader in many:
            place = by_reader[id(reader)]
            for step in steps(reader, tell):
                yield step if place == [step.box] else step._replace(box=place[step.box])

    header = Header(sources=sources, made=["merged by corrected clocks" if correct_clocks else "merged"])
    with bar("merge", opened) as tell:
        count = files.write(
            out,
            header,
            merging.merge([stream(many, tell) for many in lives(opened)], lambda step: files.when(sources, step)),
        )
    for why in left:
        print_error(f"not corrected: {why}")
    _done(json_, f"{count} steps of {len(sources)} lives", steps=count, lives=len(sources), not_corrected=left)
    sys.exit(ExitCode.DIFFERENCES if left else 0)


@click.command()
@PATH
@OUT
@click.option(
    "--key",
    required=True,
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="A file of 16 to 64 bytes; the same key gives the same stand-ins.",
)
@click.option("--boxes", is_flag=True, help="Replace the boxes' names too.")
@JSON
def anonymise(path: Path, out: Path, key: Path, boxes: bool, json_: bool) -> None:
    """Write a file to OUT with stand-ins for subjects, accounts and callers; then look that no name is left."""
    (reader,) = readers((path,))
    try:
        made = Anonymiser(key.read_bytes(), boxes)
    except ValueError as err:
        fail(f"{key}: {err}")
    header = Header.FromString(reader.whole_header.SerializeToString())
    try:
        made.header(header)
        with bar("anonymise", (reader,)) as tell:
            count = files.write(out, header, made.steps(steps(reader, tell)))
    except PseudonymConflictError as err:
        fail(str(err))
    if left := _left(out, made.originals(), made.stand_ins()):
        out.unlink()
        fail(f"{', '.join(sorted(left))}: still stands in the result, which was removed")
    names_ = len(made.originals())
    _done(json_, f"{count} steps, {names_} names replaced, none left", steps=count, names=names_)


def _done(json_: bool, text: str, **told: Any) -> None:
    """Say what was written: a line for people, or one document for programs."""
    if json_:
        print_json(told)
    else:
        print_line(text)


def _left(path: Path, originals: set[str], stand_ins: set[str]) -> set[str]:
    """Return which of these are a word of a file, or stand within one where they are long enough to mean something."""
    wanted, found = {name: name.encode() for name in originals - stand_ins}, set()
    fine = {name.encode() for name in stand_ins}
    with files.Reader(path) as reader:
        texts = [{text.encode() for s in reader.sources for text in (s.box, s.incarnation, *s.accounts)}]
        for place in reader.places:
            texts.append({word for column in reader.columns(place).columns.values() for word in column.words})
            whole = b"\0".join(texts[-1] - fine)
            found |= {
                name
                for name, raw in wanted.items()
                if any(raw in words for words in texts) or (len(raw) >= WITHIN_LEAST and raw in whole)
            }
            texts = texts[:1]
    return found


def _opened(path: Path, mode: str) -> BinaryIO:
    return gzip.open(path, mode) if path.suffix == ".gz" else path.open(mode)  # type: ignore[return-value]


def _from_lines(path: Path, out: Path) -> int:
    with ExitStack() as stack:
        file = stack.enter_context(_opened(path, "rb"))
        header = lines.read_header(file.readline())
        return files.write(out, header, (lines.read_step(line, n) for n, line in enumerate(file, 2) if line.strip()))


@click.command()
@PATH
@OUT
@JSON
def convert(path: Path, out: Path, json_: bool) -> None:
    """Write a trace as JSON lines (.jsonl, .jsonl.gz), or such lines as a trace."""
    if ".jsonl" in path.suffixes:
        try:
            count = _from_lines(path, out)
            return _done(json_, f"{count} steps", steps=count)
        except (lines.TraceLineError, OSError, EOFError) as err:
            fail(f"{path}: {err}")
    if ".jsonl" not in out.suffixes:
        fail(f"{out}: one of the two must be .jsonl or .jsonl.gz")
    (reader,) = readers((path,))
    with bar("convert", (reader,)) as tell, _opened(out, "wb") as file:
        for line in lines.write(reader.whole_header, steps(reader, tell)):
            file.write(line + b"\n")
    count = sum(p.steps for p in reader.places)
    return _done(json_, f"{count} steps", steps=count)
