"""``lapispick trace``: commands that compare a trace with another one or with the current decision module."""

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
    class_name_lookup,
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

# Table columns of the decisions by class, with the field of ``ClassDecisions`` that each shows.
DECISION_COLUMNS = {"run": "runs", "refused": "rejected", "failed": "failed", "poorer": "degraded"}
COMPARED_SOURCE_FIELDS = ("box", "incarnation", "settings", "seed", "module")
CUT_NOTE_PREFIX = "cut"  # of the header's ``made`` notes that ``trace cut`` writes


def _served_weights(readers: list[TraceReader]) -> dict[str, float]:
    """Return the served priority weight by class."""
    summary = aggregation.summarise(readers[0].sources, read_all_blocks(readers))
    return {name: totals.served_weight for name, totals in summary.classes.items()}


def is_complete_incarnation(readers: list[TraceReader]) -> bool:
    """Return True if these are all files of one incarnation from its first one on, none of them cut."""
    return (
        len(group_by_incarnation(readers)) == 1
        and len(readers[0].sources) == 1
        and [reader.first_source.sequence for reader in readers] == list(range(len(readers)))
        and not any(note.startswith(CUT_NOTE_PREFIX) for reader in readers for note in reader.header.made)
    )


def _print_decisions(
    left: comparing.DecisionCounter, right: comparing.DecisionCounter, titles: tuple[str, str]
) -> None:
    """Print a table of the decisions by class on both sides."""
    sides = (left.by_class, right.by_class)
    no_decisions = comparing.ClassDecisions()
    columns = [f"{column}, {title}" for column in DECISION_COLUMNS for title in titles]
    columns += [f"worth, {title}" for title in titles]
    rows = []
    for name in sorted(left.by_class.keys() | right.by_class.keys()):
        decisions_by_side = [side.get(name, no_decisions) for side in sides]
        counts = [getattr(decisions, field) for field in DECISION_COLUMNS.values() for decisions in decisions_by_side]
        weights = [f"{decisions.priority_weight:.0f}" for decisions in decisions_by_side]
        rows.append((name, *counts, *weights))
    print_table("decisions by class", ("class", *columns), rows)


class _ReplayComparison(NamedTuple):
    """Result of a replay, with the recorded and the replayed decisions."""

    result: replaying.ReplayResult
    recorded: comparing.DecisionCounter
    replayed: comparing.DecisionCounter
    same_module: bool


@click.command()
@PATHS
@JSON
def replay(paths: tuple[Path, ...], json_: bool) -> None:
    """Replay one incarnation of a host with the current decision module; exits with 1 if actions differ.

    Needs all files of the incarnation. The replay is open-loop: the actions of the current module don't change the
    recorded events.
    """
    readers = open_traces(paths)
    if not is_complete_incarnation(readers):
        fail("expected all files of one incarnation of one host, starting with the first, and none that was cut")
    comparison = _replay(readers)
    if json_:
        print_json(_replay_fields(comparison))
    else:
        _print_replay(comparison)
    sys.exit(ExitCode.DIFFERENCES if comparison.result.differing_steps else 0)


def _replay(readers: list[TraceReader]) -> _ReplayComparison:
    source = readers[0].first_source
    class_name = class_name_lookup(readers[0].sources)
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
    return _ReplayComparison(result, recorded, replayed, source.module == module_digest())


def _replay_fields(comparison: _ReplayComparison) -> dict[str, Any]:
    """Return the JSON output of a replay."""
    result = comparison.result
    decisions = {"recorded": comparison.recorded.by_class, "replayed": comparison.replayed.by_class}
    return {
        "steps": result.steps,
        "differing": result.differing_steps,
        "gaps": result.lost_steps,
        "same_module": comparison.same_module,
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


def _print_replay(comparison: _ReplayComparison) -> None:
    result = comparison.result
    gap = f"; stopped at a gap of {result.lost_steps} steps" if result.lost_steps else ""
    print_line(f"{result.steps} steps, {result.differing_steps} differ{gap}")
    if result.first_difference is not None:
        recorded = format_records(result.first_difference.recorded)
        replayed = format_records(result.first_difference.replayed)
        print_line(f"first difference at step {result.first_difference.number}: recorded {recorded}, now {replayed}")
        _print_decisions(comparison.recorded, comparison.replayed, ("recorded", "now"))
        print_line("Only the first difference is reliable; worth is estimated from the number of runs of each class.")
    names = sorted(result.recorded.keys() | result.replayed.keys())
    rows = ((name, result.recorded[name], result.replayed[name]) for name in names)
    print_table("actions", ("kind", "recorded", "replayed"), rows)


class _ComparedTrace:
    """One of the two compared traces, with counts of its decisions and records."""

    def __init__(self, reader: TraceReader) -> None:
        self.reader = reader
        self.decisions = comparing.DecisionCounter(class_name_lookup(reader.sources))
        self.records: Counter[str] = Counter()  # by name

    def add(self, step: Step) -> None:
        """Count the decisions and records of a step."""
        self.decisions.add(step, step.actions)
        self.records.update(
            record_name(type(record)) for records in (step.events, step.actions, step.notes) for record in records
        )

    def set_weights(self) -> None:
        """Set the served priority weight of each class."""
        for name, weight in _served_weights([self.reader]).items():
            self.decisions.by_class.setdefault(name, comparing.ClassDecisions()).priority_weight = weight


@click.command()
@PATH
@click.argument("other", type=click.Path(path_type=Path))
@JSON
def diff(path: Path, other: Path, json_: bool) -> None:
    """Compare the headers, steps and decisions of two traces; exits with 1 if headers or steps differ."""
    (left_reader,) = open_traces((path,))
    (right_reader,) = open_traces((other,))
    left = _ComparedTrace(left_reader)
    right = _ComparedTrace(right_reader)
    differing_fields = _differing_source_fields(left.reader, right.reader)

    def on_pair(left_step: Step, right_step: Step) -> None:
        left.add(left_step)
        right.add(right_step)

    with progress_bar("diff", (left.reader, right.reader)) as report:
        divergence = comparing.first_divergence(
            read_steps(left.reader, report), read_steps(right.reader, report), on_pair
        )
    left.set_weights()
    right.set_weights()
    if json_:
        print_json(_diff_fields(differing_fields, divergence, left, right))
    else:
        _print_diff(differing_fields, divergence, left, right)
    sys.exit(ExitCode.DIFFERENCES if differing_fields or divergence is not None else 0)


def _diff_fields(
    differing_fields: list[str],
    divergence: comparing.Divergence | None,
    left: _ComparedTrace,
    right: _ComparedTrace,
) -> dict[str, Any]:
    """Return the JSON output of a comparison."""
    sides = (left, right)
    return {
        "headers": differing_fields,
        "first": divergence,
        "decisions": [side.decisions.by_class for side in sides],
        "grounds": [dict(side.decisions.rejection_reasons) for side in sides],
        "records": [dict(side.records) for side in sides],
    }


def _differing_source_fields(left: TraceReader, right: TraceReader) -> list[str]:
    """Return the fields of the headers' sources that differ."""
    return [
        name
        for name in COMPARED_SOURCE_FIELDS
        if [getattr(source, name) for source in left.sources] != [getattr(source, name) for source in right.sources]
    ]


def _print_diff(
    differing_fields: list[str],
    divergence: comparing.Divergence | None,
    left: _ComparedTrace,
    right: _ComparedTrace,
) -> None:
    print_line("the headers differ in " + ", ".join(differing_fields) if differing_fields else "the headers agree")
    if divergence is None:
        print_line("all steps agree")
    else:
        contents = f"left {divergence.left}, right {divergence.right}"
        print_line(f"first difference at step {divergence.step}, {divergence.field}: {contents}")
    _print_decisions(left.decisions, right.decisions, ("left", "right"))
    names = [name for name in sorted(left.records | right.records) if left.records[name] != right.records[name]]
    rows = ((name, left.records[name], right.records[name]) for name in names)
    print_table("records that differ in number", ("kind", "left", "right"), rows)
