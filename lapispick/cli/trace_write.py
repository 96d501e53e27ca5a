"""``lapispick trace``: commands that write a trace derived from others, or convert one to JSON lines and back."""

from __future__ import annotations

import gzip
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, BinaryIO

import click
import msgspec

from lapispick import admission
from lapispick.cli.output import ExitCode, print_error, print_json, print_line
from lapispick.cli.trace_common import (
    JSON,
    OUT,
    PATH,
    SINCE,
    UNTIL,
    ReportBytes,
    class_name_lookup,
    fail,
    group_by_incarnation,
    open_traces,
    progress_bar,
    read_steps,
)
from lapispick.cli.trace_summary import estimate_host_clocks
from lapispick.trace import files, lines, merging
from lapispick.trace.anonymising import Anonymiser, PseudonymConflictError
from lapispick.trace.record_types import Step
from lapispick.trace.schema import Header
from lapispick.trace.selecting import EdgePolicy, Selection, Selector
from lapispick.trace.step_times import step_time

MIN_PARTIAL_MATCH_BYTES = 4  # of a name; shorter names occur within other words by chance
DEFAULT_DEADLINE_MS = 10_000.0  # used if no header contains class settings
LINES_SUFFIX = ".jsonl"


def _print_result(json_: bool, text: str, **fields: Any) -> None:
    """Print the result of a command: the fields as JSON, or else the text."""
    if json_:
        print_json(fields)
    else:
        print_line(text)


def _copy_header(reader: files.TraceReader) -> Any:
    return Header.FromString(reader.header.SerializeToString())


@click.command()
@PATH
@OUT
@JSON
def repair(path: Path, out: Path, json_: bool) -> None:
    """Write all valid blocks of a file to OUT, with a new index."""
    (reader,) = open_traces((path,))
    with progress_bar("repair", (reader,)) as report:
        count = files.write_trace(out, reader.header, read_steps(reader, report))
    _print_result(json_, f"{count} steps", steps=count)


@click.command()
@PATH
@OUT
@SINCE
@UNTIL
@click.option("--class", "classes", multiple=True, help="Select requests of this class only; may be repeated.")
@click.option("--account", "accounts", multiple=True, help="Select requests of this account only; may be repeated.")
@click.option(
    "--outcome",
    "outcomes",
    multiple=True,
    type=click.Choice(["served", "refused", "failed", "gone"]),
    help="Select requests with this outcome only (gone: unanswered); may be repeated.",
)
@click.option(
    "--edges",
    type=click.Choice([policy.value for policy in EdgePolicy]),
    default=EdgePolicy.MARK.value,
    show_default=True,
    help="Mark, select whole, or drop the requests that span an edge of the window.",
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
    """Write a time window or selected requests of a file to OUT; reads only the blocks in and around the window."""
    (reader,) = open_traces((path,))
    known_classes = {name for source in reader.sources for name in source.classes}
    if unknown_classes := set(classes) - known_classes:
        fail(f"--class: expected one of {', '.join(sorted(known_classes))}, got {', '.join(sorted(unknown_classes))}")
    selection = Selection(since, until, frozenset(classes), frozenset(accounts), frozenset(outcomes), EdgePolicy(edges))
    selector = Selector(
        selection,
        class_name_lookup(reader.sources),
        _longest_deadline_ms(reader.sources),
        lambda step: step_time(reader.sources, step),
    )
    header = _copy_header(reader)
    header.made.append(_cut_note(selection))
    steps = reader.steps(since - selector.margin_ms, until + selector.margin_ms)
    count = files.write_trace(out, header, selector.run(steps))
    text = f"{count} steps, {reader.bytes_read} of {reader.size} bytes read"
    _print_result(json_, text, steps=count, read_bytes=reader.bytes_read, bytes=reader.size)


def _longest_deadline_ms(sources: Sequence[Any]) -> float:
    """Return the longest deadline of all classes."""
    all_settings = (
        msgspec.json.decode(source.settings, type=admission.Settings) for source in sources if source.settings
    )
    deadlines = (settings_of_class.deadline_ms for settings in all_settings for settings_of_class in settings.classes)
    return max(deadlines, default=DEFAULT_DEADLINE_MS)


def _cut_note(selection: Selection) -> str:
    """Return the entry of the header's ``made`` for a cut."""
    edges = f" to {selection.edges}" if selection.edges is not EdgePolicy.MARK else ""
    return "cut" + edges + (" by request" if selection.by_request else "")


@click.command()
@OUT
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--correct-clocks", is_flag=True, help="Order the steps by clock offsets that are estimated from retries."
)
@JSON
def merge(out: Path, paths: tuple[Path, ...], correct_clocks: bool, json_: bool) -> None:
    """Write the traces of several hosts to OUT, ordered by time; never reorders within an incarnation.

    Each step keeps the time of its own host's clock. Exits with 1 if `--correct-clocks` is set and a clock is unknown.
    """
    readers = open_traces(paths)
    if out.resolve() in {reader.path.resolve() for reader in readers}:
        fail(f"the output file {out} is one of the traces to merge")
    sources, source_positions = merging.merge_sources([reader.sources for reader in readers])
    uncorrected = merging.apply_clocks(sources, estimate_host_clocks(readers).clocks) if correct_clocks else []
    positions_by_path = {reader.path: positions for reader, positions in zip(readers, source_positions, strict=True)}
    header = Header(sources=sources, made=["merged by corrected clocks" if correct_clocks else "merged"])
    with progress_bar("merge", readers) as report:
        streams = [_merged_steps(group, positions_by_path, report) for group in group_by_incarnation(readers)]
        steps = merging.merge(streams, lambda step: step_time(sources, step))
        count = files.write_trace(out, header, steps)
    for reason in uncorrected:
        print_error(f"clock not corrected: {reason}")
    text = f"{count} steps of {len(sources)} incarnations"
    _print_result(json_, text, steps=count, lives=len(sources), not_corrected=uncorrected)
    sys.exit(ExitCode.DIFFERENCES if uncorrected else 0)


def _merged_steps(
    readers: list[files.TraceReader], positions_by_path: dict[Path, list[int]], report: ReportBytes
) -> Iterator[Step]:
    """Yield the steps of files, with the index of each source replaced by its position in the merged file."""
    for reader in readers:
        positions = positions_by_path[reader.path]
        for step in read_steps(reader, report):
            is_unchanged = positions == [step.source_index]  # then the copy, which is slow, is not needed
            yield step if is_unchanged else step._replace(source_index=positions[step.source_index])


@click.command()
@PATH
@OUT
@click.option(
    "--key",
    required=True,
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="File with the key, of 16 to 64 bytes; the same key gives the same pseudonyms.",
)
@click.option("--boxes", "hosts", is_flag=True, help="Also replace the names of hosts.")
@JSON
def anonymise(path: Path, out: Path, key: Path, hosts: bool, json_: bool) -> None:
    """Write a file to OUT with pseudonyms for subjects, accounts and callers; check that no original name is left."""
    (reader,) = open_traces((path,))
    try:
        anonymiser = Anonymiser(key.read_bytes(), hosts)
    except ValueError as err:
        fail(f"{key}: {err}")
    header = _copy_header(reader)
    try:
        anonymiser.replace_header(header)
        with progress_bar("anonymise", (reader,)) as report:
            count = files.write_trace(out, header, anonymiser.replace_steps(read_steps(reader, report)))
    except PseudonymConflictError as err:
        fail(str(err))
    originals = anonymiser.originals()
    if remaining := _remaining_names(out, originals, anonymiser.pseudonyms()):
        out.unlink()
        fail(f"original names left in the output, which was removed: {', '.join(sorted(remaining))}")
    text = f"{count} steps, {len(originals)} names replaced, none left"
    _print_result(json_, text, steps=count, names=len(originals))


def _remaining_names(path: Path, originals: set[str], pseudonyms: set[str]) -> set[str]:
    """Return the original names that equal a text of the file, or are part of a text in a block if long enough."""
    searched = {name: name.encode() for name in originals - pseudonyms}
    encoded_pseudonyms = {name.encode() for name in pseudonyms}
    remaining: set[str] = set()
    with files.TraceReader(path) as reader:
        header_texts = {
            text.encode() for source in reader.sources for text in (source.box, source.incarnation, *source.accounts)
        }
        for location in reader.blocks:
            columns = reader.read_block(location).columns.values()
            block_texts = {text for column in columns for text in column.words}
            all_text = b"\0".join(block_texts - encoded_pseudonyms)
            remaining |= {
                name
                for name, encoded in searched.items()
                if encoded in header_texts
                or encoded in block_texts
                or (len(encoded) >= MIN_PARTIAL_MATCH_BYTES and encoded in all_text)
            }
    return remaining


def _open_lines(path: Path, mode: str) -> BinaryIO:
    """Open a file of JSON lines, with gzip compression if its name ends in ``.gz``."""
    return gzip.open(path, mode) if path.suffix == ".gz" else path.open(mode)  # type: ignore[return-value]


def _convert_from_lines(path: Path, out: Path) -> int:
    """Write a trace from JSON lines; return its number of steps."""
    with _open_lines(path, "rb") as file:
        header = lines.decode_header(file.readline())
        steps = (lines.decode_step(line, number) for number, line in enumerate(file, 2) if line.strip())
        return files.write_trace(out, header, steps)


def _convert_to_lines(path: Path, out: Path) -> int:
    """Write the JSON lines of a trace; return its number of steps."""
    (reader,) = open_traces((path,))
    with progress_bar("convert", (reader,)) as report, _open_lines(out, "wb") as file:
        for line in lines.encode_trace(reader.header, read_steps(reader, report)):
            file.write(line + b"\n")
    return sum(location.steps for location in reader.blocks)


@click.command()
@PATH
@OUT
@JSON
def convert(path: Path, out: Path, json_: bool) -> None:
    """Convert a trace to JSON lines (.jsonl or .jsonl.gz), or JSON lines to a trace."""
    if LINES_SUFFIX in path.suffixes:
        try:
            count = _convert_from_lines(path, out)
        except (lines.TraceLineError, OSError, EOFError) as err:
            fail(f"{path}: {err}")
    elif LINES_SUFFIX in out.suffixes:
        count = _convert_to_lines(path, out)
    else:
        fail(f"expected PATH or OUT to end in .jsonl or .jsonl.gz, got {path} and {out}")
    _print_result(json_, f"{count} steps", steps=count)
