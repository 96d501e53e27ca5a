"""``lapispick trace``: commands that compare a trace with another one, or with the present decision module."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from lapispick.cli.output import ExitCode, print_json, print_line, print_table
from lapispick.cli.trace_common import (
    JSON,
    PATH,
    PATHS,
    class_names,
    fail,
    group_by_incarnation,
    open_traces,
    progress_bar,
    read_all_blocks,
    read_all_steps,
    read_steps,
)
from lapispick.trace import aggregation, comparing, replaying
from lapispick.trace.files import TraceReader
from lapispick.trace.module_digest import module_digest
from lapispick.trace.record_types import Step
from lapispick.trace.text_names import format_record, format_records, record_name

# Columns of the decisions by class, and the fields of ``ClassDecisions`` that they show.
DECISION_COLUMNS = {"run": "runs", "refused": "rejected", "failed": "failed", "poorer": "degraded"}
COMPARED_SOURCE_FIELDS = ("box", "incarnation", "settings", "seed", "module")
CUT_NOTE = "cut"  # what the header's note on how the file was made begins with


def _served_weights(readers: list[TraceReader]) -> dict[str, float]:
    """Return the priority weight that was served, by class."""
    summary = aggregation.summarise(readers[0].sources, read_all_blocks(readers))
    return {name: totals.served_weight for name, totals in summary.classes.items()}


def is_complete_incarnation(readers: list[TraceReader]) -> bool:
    """Tell whether these are all files of one incarnation from its start on, none of them cut."""
    return (
        len(group_by_incarnation(readers)) == 1
        and len(readers[0].sources) == 1
        and [reader.first_source.sequence for reader in readers] == list(range(len(readers)))
        and not any(note.startswith(CUT_NOTE) for reader in readers for note in reader.header.made)
    )


def _print_decisions(
    left: comparing.DecisionCounter, right: comparing.DecisionCounter, titles: tuple[str, str]
) -> None:
    """Print a table of the decisions by class on both sides."""
    sides = (left.by_class, right.by_class)
    none = comparing.ClassDecisions()
    columns = [f"{column}, {title}" for column in DECISION_COLUMNS for title in titles]
    columns += [f"worth, {title}" for title in titles]
    rows = []
    for name in sorted(left.by_class.keys() | right.by_class.keys()):
        decisions = [side.get(name, none) for side in sides]
        counts = [getattr(each, field) for field in DECISION_COLUMNS.values() for each in decisions]
        weights = [f"{each.priority_weight:.0f}" for each in decisions]
        rows.append((name, *counts, *weights))
    print_table("decisions by class", ("class", *columns), rows)


class _Replay(NamedTuple):
    """A replay, and the decisions on both sides."""

    result: replaying.ReplayResult
    recorded: comparing.DecisionCounter
    replayed: comparing.DecisionCounter
    same_module: bool


@click.command()
@PATHS
@JSON
def replay(paths: tuple[Path, ...], json_: bool) -> None:
    """Feed one incarnation of a host, from its first file on, to the present module; exits with 1 if actions differ.

    The replay is open-loop: what the module orders now does not change the recorded events.
    """
    readers = open_traces(paths)
    if not is_complete_incarnation(readers):
        fail("needs all files of one life of one box, from the first on, and none that was cut")
    replayed = _replay(readers)
    if json_:
        print_json(_replay_fields(replayed))
    else:
        _print_replay(replayed)
    sys.exit(ExitCode.DIFFERENCES if replayed.result.differing_steps else 0)


def _replay(readers: list[TraceReader]) -> _Replay:
    source = readers[0].first_source
    class_name = class_names(readers[0].sources)
    recorded = comparing.DecisionCounter(class_name)
    replayed = comparing.DecisionCounter(class_name)

    def on_step(step: Step, actions: tuple[Any, ...], _: Any) -> None:
        recorded.add(step, step.actions)
        replayed.add(step, actions)

    with progress_bar("replay", readers) as report:
        steps = read_all_steps(readers, report)
        result = replaying.replay(source.settings, source.seed, source.module_now, steps, on_step)
    if result.differing_steps:
        comparing.estimate_priority_weights(recorded.by_class, replayed.by_class, _served_weights(readers))
    return _Replay(result, recorded, replayed, source.module == module_digest())


def _replay_fields(replayed: _Replay) -> dict[str, Any]:
    """Return the JSON output of a replay."""
    result = replayed.result
    decisions = {"recorded": replayed.recorded.by_class, "replayed": replayed.replayed.by_class}
    return {
        "steps": result.steps,
        "differing": result.differing_steps,
        "gaps": result.lost_steps,
        "same_module": replayed.same_module,
        "recorded": dict(result.recorded),
        "replayed": dict(result.replayed),
        "decisions": msgspec.to_builtins(decisions),
        "first": None if result.first_difference is None else _difference_fields(result.first_difference),
    }


def _difference_fields(difference: replaying.Difference) -> dict[str, Any]:
    return {
        "step": difference.number,
        "now": difference.now,
        "recorded": [format_record(action) for action in difference.recorded],
        "replayed": [format_record(action) for action in difference.replayed],
    }


def _print_replay(replayed: _Replay) -> None:
    result = replayed.result
    gap = f", ended at a gap of {result.lost_steps}" if result.lost_steps else ""
    print_line(f"{result.steps} steps, {result.differing_steps} differ{gap}")
    if result.first_difference is not None:
        before = format_records(result.first_difference.recorded)
        now = format_records(result.first_difference.replayed)
        print_line(f"first at step {result.first_difference.number}: recorded {before}, now {now}")
        _print_decisions(replayed.recorded, replayed.replayed, ("recorded", "now"))
        print_line("Only the first difference is sound; worth is estimated by the runs of each class.")
    names = sorted(result.recorded.keys() | result.replayed.keys())
    rows = ((name, result.recorded[name], result.replayed[name]) for name in names)
    print_table("actions", ("kind", "recorded", "replayed"), rows)


class _Side:
    """What one of two traces holds."""

    def __init__(self, reader: TraceReader) -> None:
        self.reader = reader
        self.decisions = comparing.DecisionCounter(class_names(reader.sources))
        self.records: Counter[str] = Counter()  # by name

    def add(self, step: Step) -> None:
        """Count the decisions and records of a step."""
        self.decisions.add(step, step.actions)
        self.records.update(
            record_name(type(record)) for records in (step.events, step.actions, step.notes) for record in records
        )

    def set_weights(self) -> None:
        """Set what the runs of each class earned."""
        for name, weight in _served_weights([self.reader]).items():
            self.decisions.by_class.setdefault(name, comparing.ClassDecisions()).priority_weight = weight


@click.command()
@PATH
@click.argument("other", type=click.Path(path_type=Path))
@JSON
def diff(path: Path, other: Path, json_: bool) -> None:
    """Compare two traces step by step, and their decisions; exits with 1 if they differ."""
    (left_reader,) = open_traces((path,))
    (right_reader,) = open_traces((other,))
    left = _Side(left_reader)
    right = _Side(right_reader)
    headers = _differing_headers(left.reader, right.reader)

    def on_pair(one: Step, two: Step) -> None:
        left.add(one)
        right.add(two)

    with progress_bar("diff", (left.reader, right.reader)) as report:
        divergence = comparing.first_divergence(
            read_steps(left.reader, report), read_steps(right.reader, report), on_pair
        )
    left.set_weights()
    right.set_weights()
    if json_:
        print_json(_diff_fields(headers, divergence, left, right))
    else:
        _print_diff(headers, divergence, left, right)
    sys.exit(ExitCode.DIFFERENCES if headers or divergence is not None else 0)


def _diff_fields(
    headers: list[str], divergence: comparing.Divergence | None, left: _Side, right: _Side
) -> dict[str, Any]:
    """Return the JSON output of a comparison."""
    sides = (left, right)
    return {
        "headers": headers,
        "first": divergence,
        "decisions": [side.decisions.by_class for side in sides],
        "grounds": [dict(side.decisions.rejection_reasons) for side in sides],
        "records": [dict(side.records) for side in sides],
    }


def _differing_headers(left: TraceReader, right: TraceReader) -> list[str]:
    return [
        name
        for name in COMPARED_SOURCE_FIELDS
        if [getattr(source, name) for source in left.sources] != [getattr(source, name) for source in right.sources]
    ]


def _print_diff(headers: list[str], divergence: comparing.Divergence | None, left: _Side, right: _Side) -> None:
    print_line("the headers differ in " + ", ".join(headers) if headers else "the headers agree")
    if divergence is None:
        print_line("all steps agree")
    else:
        print_line(f"first at step {divergence.step}, {divergence.field}: {divergence.left} against {divergence.right}")
    _print_decisions(left.decisions, right.decisions, ("left", "right"))
    names = [name for name in sorted(left.records | right.records) if left.records[name] != right.records[name]]
    rows = ((name, left.records[name], right.records[name]) for name in names)
    print_table("records that differ in number", ("kind", "left", "right"), rows)
