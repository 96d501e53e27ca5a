"""``lapispick trace``: commands that hold a trace against another one, the present module, or time."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.cli import trace_page
from lapispick.cli.output import DIFFERS, as_json, complain, say, table
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


def _shown(left: dict[str, comparing.Choice], right: dict[str, comparing.Choice], titles: tuple[str, str]) -> None:
    fields = ("run", "refused", "failed", "poorer")
    columns = ("class", *(f"{f}, {t}" for f in fields for t in titles), *(f"worth, {t}" for t in titles))
    none = comparing.Choice()
    table(
        "decisions by class",
        columns,
        (
            (
                name,
                *(getattr(side.get(name, none), f) for f in fields for side in (left, right)),
                *(f"{side.get(name, none).worth:.0f}" for side in (left, right)),
            )
            for name in sorted(left.keys() | right.keys())
        ),
    )


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
    header, by_name = opened[0].header, names(opened[0].sources)
    recorded, present = comparing.Decisions(by_name), comparing.Decisions(by_name)

    def seen(step: Step, got: tuple[Any, ...], _: Any) -> None:
        recorded.add(step, step.actions)
        present.add(step, got)

    with bar("replay", opened) as tell:
        made = replaying.replay(
            header.settings,
            header.seed,
            header.module_now,
            (step for reader in opened for step in steps(reader, tell)),
            seen,
        )
    if made.differing:
        comparing.estimate(recorded.made, present.made, _worth(opened))
    told = {
        "steps": made.steps,
        "differing": made.differing,
        "gaps": made.gaps,
        "same_module": header.module == module_digest(),
        "recorded": dict(made.recorded),
        "replayed": dict(made.replayed),
        "decisions": msgspec.to_builtins({"recorded": recorded.made, "replayed": present.made}),
        "first": None
        if made.first is None
        else {
            "step": made.first.number,
            "now": made.first.now,
            "recorded": [described(action) for action in made.first.recorded],
            "replayed": [described(action) for action in made.first.replayed],
        },
    }
    if json_:
        as_json(told)
    else:
        say(f"{made.steps} steps, {made.differing} differ" + (f", ended at a gap of {made.gaps}" if made.gaps else ""))
        if made.first is not None:
            recorded, replayed = described_all(made.first.recorded), described_all(made.first.replayed)
            say(f"first at step {made.first.number}: recorded {recorded}, now {replayed}")
            _shown(recorded.made, present.made, ("recorded", "now"))
            say("Only the first difference is sound; worth is estimated by the runs of each class.")
        kinds = sorted(made.recorded.keys() | made.replayed.keys())
        table("actions", ("kind", "recorded", "replayed"), ((k, made.recorded[k], made.replayed[k]) for k in kinds))
    sys.exit(DIFFERS if made.differing else 0)


@click.command()
@PATH
@click.argument("other", type=click.Path(path_type=Path))
@JSON
def diff(path: Path, other: Path, json_: bool) -> None:
    """Hold two traces against each other, step by step and by what was decided; ends with 1 where they differ."""
    (left,), (right,) = readers((path,)), readers((other,))
    headers = [
        name
        for name in ("box", "incarnation", "settings", "seed", "module")
        if [getattr(s, name) for s in left.sources] != [getattr(s, name) for s in right.sources]
    ]
    sides = comparing.Decisions(names(left.sources)), comparing.Decisions(names(right.sources))
    kinds: tuple[Counter[str], Counter[str]] = (Counter(), Counter())

    def seen(a: Step, b: Step) -> None:
        for side, count, step in zip(sides, kinds, (a, b), strict=True):
            side.add(step, step.actions)
            count.update(record_name(type(one)) for part in (step.events, step.actions, step.notes) for one in part)

    with bar("diff", (left, right)) as tell:
        split = comparing.first_split(steps(left, tell), steps(right, tell), seen)
    for side, reader in zip(sides, (left, right), strict=True):
        for name, worth in _worth([reader]).items():
            side.made.setdefault(name, comparing.Choice()).worth = worth
    if json_:
        as_json(
            {
                "headers": headers,
                "first": split,
                "decisions": [side.made for side in sides],
                "grounds": [dict(side.grounds) for side in sides],
                "records": [dict(k) for k in kinds],
            }
        )
    else:
        say("the headers differ in " + ", ".join(headers) if headers else "the headers agree")
        say(
            "all steps agree"
            if split is None
            else f"first at step {split.step}, {split.part}: {split.left} against {split.right}"
        )
        _shown(sides[0].made, sides[1].made, ("left", "right"))
        differing = [k for k in sorted(kinds[0] | kinds[1]) if kinds[0][k] != kinds[1][k]]
        table(
            "records that differ in number",
            ("kind", "left", "right"),
            ((k, kinds[0][k], kinds[1][k]) for k in differing),
        )
    sys.exit(DIFFERS if headers or split is not None else 0)


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
        return complain("limit and price are left out: the present module decides otherwise")
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
        return as_json(made)
    return say(f"{out}: {summary.whole.requests} requests, {summary.whole.served:g} of {summary.whole.asked:g} served")
