"""``lapispick trace``: commands that hold a trace against another one, the present module, or time."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.cli import trace_page
from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table
from lapispick.cli.trace_common import JSON, PATH, PATHS, bar, blocks, fail, lives, names, readers, steps
from lapispick.trace import aggregation, comparing, replaying, series
from lapispick.trace.files import Reader, times
from lapispick.trace.helper import module_digest
from lapispick.trace.record_types import Step
from lapispick.trace.text_names import described, described_all, record_name


def _worth(opened: list[Reader]) -> dict[str, float]:
    """Return the worth that was served by class."""
    made = aggregation.summarise(opened[0].sources, (block for reader in opened for block in blocks(reader)))
    return {name: worth.served for name, worth in made.classes.items()}


def _from_the_first(opened: list[Reader]) -> bool:
    """Tell whether these are all files of one life from its start on, none of them cut."""
    return (
        len(lives(opened)) == 1
        and len(opened[0].sources) == 1
        and [r.header.sequence for r in opened] == list(range(len(opened)))
        and not any(made.startswith("cut") for r in opened for made in r.whole_header.made)
    )


DECISION_COLUMNS = {"run": "runs", "refused": "rejected", "failed": "failed", "poorer": "degraded"}


def _say_decisions(left: comparing.Decisions, right: comparing.Decisions, titles: tuple[str, str]) -> None:
    """Write a table of the decisions by class on both sides."""
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


@click.command()
@PATHS
@JSON
def replay(paths: tuple[Path, ...], json_: bool) -> None:
    """Feed one life of a box, from its first file on, to the present module; ends with 1 where they differ.

    This is open-loop: what the module orders now does not change what came next.
    """
    opened = readers(paths)
    if not _from_the_first(opened):
        fail("needs all files of one life of one box, from the first on, and none that was cut")
    header = opened[0].header
    class_name = names(opened[0].sources)
    recorded = comparing.Decisions(class_name)
    present = comparing.Decisions(class_name)

    def on_step(step: Step, replayed: tuple[Any, ...], _: Any) -> None:
        recorded.add(step, step.actions)
        present.add(step, replayed)

    with bar("replay", opened) as tell:
        all_steps = (step for reader in opened for step in steps(reader, tell))
        result = replaying.replay(header.settings, header.seed, header.module_now, all_steps, on_step)
    if result.differing:
        comparing.estimate(recorded.by_class, present.by_class, _worth(opened))
    if json_:
        print_json(_replay_fields(result, recorded, present, header.module == module_digest()))
    else:
        _say_replay(result, recorded, present)
    sys.exit(ExitCode.DIFFERENCES if result.differing else 0)


def _replay_fields(
    result: replaying.Result, recorded: comparing.Decisions, present: comparing.Decisions, same_module: bool
) -> dict[str, Any]:
    """Return the JSON output of a replay."""
    first = None
    if result.first is not None:
        first = {
            "step": result.first.number,
            "now": result.first.now,
            "recorded": [described(action) for action in result.first.recorded],
            "replayed": [described(action) for action in result.first.replayed],
        }
    return {
        "steps": result.steps,
        "differing": result.differing,
        "gaps": result.gaps,
        "same_module": same_module,
        "recorded": dict(result.recorded),
        "replayed": dict(result.replayed),
        "decisions": msgspec.to_builtins({"recorded": recorded.by_class, "replayed": present.by_class}),
        "first": first,
    }


def _say_replay(result: replaying.Result, recorded: comparing.Decisions, present: comparing.Decisions) -> None:
    gap = f", ended at a gap of {result.gaps}" if result.gaps else ""
    print_line(f"{result.steps} steps, {result.differing} differ{gap}")
    if result.first is not None:
        before = described_all(result.first.recorded)
        now = described_all(result.first.replayed)
        print_line(f"first at step {result.first.number}: recorded {before}, now {now}")
        _say_decisions(recorded, present, ("recorded", "now"))
        print_line("Only the first difference is sound; worth is estimated by the runs of each class.")
    kinds = sorted(result.recorded.keys() | result.replayed.keys())
    print_table(
        "actions", ("kind", "recorded", "replayed"), ((k, result.recorded[k], result.replayed[k]) for k in kinds)
    )


class _Side:
    """What one of two traces holds."""

    def __init__(self, reader: Reader) -> None:
        self.reader = reader
        self.decisions = comparing.Decisions(names(reader.sources))
        self.records: Counter[str] = Counter()  # by kind

    def add(self, step: Step) -> None:
        """Count the decisions and records of a step."""
        self.decisions.add(step, step.actions)
        self.records.update(
            record_name(type(record)) for records in (step.events, step.actions, step.notes) for record in records
        )

    def set_weights(self) -> None:
        """Set what the runs of each class earned."""
        for name, weight in _worth([self.reader]).items():
            self.decisions.by_class.setdefault(name, comparing.ClassDecisions()).priority_weight = weight


@click.command()
@PATH
@click.argument("other", type=click.Path(path_type=Path))
@JSON
def diff(path: Path, other: Path, json_: bool) -> None:
    """Hold two traces against each other, step by step and by what was decided; ends with 1 where they differ."""
    (left_reader,) = readers((path,))
    (right_reader,) = readers((other,))
    left = _Side(left_reader)
    right = _Side(right_reader)
    headers = _differing_headers(left.reader, right.reader)

    def on_pair(one: Step, two: Step) -> None:
        left.add(one)
        right.add(two)

    with bar("diff", (left.reader, right.reader)) as tell:
        divergence = comparing.first_divergence(steps(left.reader, tell), steps(right.reader, tell), on_pair)
    left.set_weights()
    right.set_weights()
    if json_:
        print_json(
            {
                "headers": headers,
                "first": divergence,
                "decisions": [side.decisions.by_class for side in (left, right)],
                "grounds": [dict(side.decisions.reasons) for side in (left, right)],
                "records": [dict(side.records) for side in (left, right)],
            }
        )
    else:
        _say_diff(headers, divergence, left, right)
    sys.exit(ExitCode.DIFFERENCES if headers or divergence is not None else 0)


def _differing_headers(left: Reader, right: Reader) -> list[str]:
    return [
        name
        for name in ("box", "incarnation", "settings", "seed", "module")
        if [getattr(source, name) for source in left.sources] != [getattr(source, name) for source in right.sources]
    ]


def _say_diff(headers: list[str], divergence: comparing.Divergence | None, left: _Side, right: _Side) -> None:
    print_line("the headers differ in " + ", ".join(headers) if headers else "the headers agree")
    if divergence is None:
        print_line("all steps agree")
    else:
        print_line(f"first at step {divergence.step}, {divergence.part}: {divergence.left} against {divergence.right}")
    _say_decisions(left.decisions, right.decisions, ("left", "right"))
    kinds = [kind for kind in sorted(left.records | right.records) if left.records[kind] != right.records[kind]]
    rows = ((kind, left.records[kind], right.records[kind]) for kind in kinds)
    print_table("records that differ in number", ("kind", "left", "right"), rows)


def _sampled(opened: list[Reader], made: series.Series) -> None:
    """Write the module's limit and price into the series, by a replay; left out where none is exact."""
    points: list[tuple[float, float, float]] = []

    def seen(step: Step, got: tuple[Any, ...], control: Any) -> None:
        if not points or step.now - points[-1][0] >= made.span / 2:
            state = control.state
            points.append((step.now, state.concurrency_limit.value, state.shadow_prices.occupancy_price))

    header = opened[0].header
    told = replaying.replay(
        header.settings, header.seed, header.module_now, (step for reader in opened for step in steps(reader)), seen
    )
    if told.differing:
        return print_error("limit and price are left out: the present module decides otherwise")
    made.limit = series.sampled([(now, limit) for now, limit, _ in points], made)
    made.price = series.sampled([(now, price) for now, _, price in points], made)
    return None


@click.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--out", required=True, type=click.Path(path_type=Path), help="A .png, or a .html that needs nothing else."
)
@JSON
def plot(paths: tuple[Path, ...], out: Path, json_: bool) -> None:
    """Draw worth over time, answers, refusals by ground, waits, and the module's limit and price."""
    if out.suffix not in (".png", ".html"):
        fail(f"{out}: must end in .png or .html")
    opened = readers(paths)
    if len(lives(opened)) != 1:
        fail("needs files of one life of one box, or one merged file")
    places = [place for reader in opened for place in reader.places]
    if not places:
        fail("no steps there")
    with bar("plot", opened) as tell:
        summary = aggregation.summarise(opened[0].sources, (b for reader in opened for b in blocks(reader, tell)))
    made = series.series(
        ((block, times(reader.sources, block)) for reader in opened for block in blocks(reader)),
        min(p.first for p in places),
        max(p.last for p in places),
    )
    if _from_the_first(opened):
        _sampled(opened, made)
    title = ", ".join(dict.fromkeys(s.box for s in opened[0].sources))
    drawn = trace_page.draw(title, summary, made)
    out.write_bytes(drawn if out.suffix == ".png" else trace_page.page(title, summary, drawn).encode())
    if json_:
        return print_json(made)
    return print_line(
        f"{out}: {summary.whole.requests} requests, {summary.whole.served:g} of {summary.whole.asked:g} served"
    )
