"""``lapispick trace plot``: draws a trace over time, as a picture or a page."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from lapispick.cli import trace_page
from lapispick.cli.output import print_error, print_json, print_line
from lapispick.cli.trace_common import (
    JSON,
    PATHS,
    fail,
    group_by_incarnation,
    host_names,
    open_traces,
    progress_bar,
    read_all_blocks,
    read_all_steps,
    read_blocks,
)
from lapispick.cli.trace_compare import is_complete_incarnation
from lapispick.trace import aggregation, replaying
from lapispick.trace.files import TraceReader
from lapispick.trace.record_types import Step
from lapispick.trace.series import Sample, Series, build_series, resample
from lapispick.trace.step_times import step_times


@click.command()
@PATHS
@click.option(
    "--out", required=True, type=click.Path(path_type=Path), help="A .png, or a .html that needs no other file."
)
@JSON
def plot(paths: tuple[Path, ...], out: Path, json_: bool) -> None:
    """Draw priority weight, answers, rejections by reason, ages, concurrency limit and price over time."""
    if out.suffix not in (".png", ".html"):
        fail(f"{out}: must end in .png or .html")
    readers = open_traces(paths)
    if len(group_by_incarnation(readers)) != 1:
        fail("needs files of one life of one box, or one merged file")
    if not any(reader.blocks for reader in readers):
        fail("no steps there")
    with progress_bar("plot", readers) as report:
        summary = aggregation.summarise(readers[0].sources, read_all_blocks(readers, report))
    series = _series(readers)
    title = ", ".join(host_names(readers[0].sources))
    picture = trace_page.draw(title, summary, series)
    out.write_bytes(picture if out.suffix == ".png" else trace_page.page(title, summary, picture).encode())
    if json_:
        print_json(series)
        return
    total = summary.total
    print_line(f"{out}: {total.requests} requests, {total.served_weight:g} of {total.offered_weight:g} served")


def _series(readers: list[TraceReader]) -> Series:
    """Return the series of files, with the module's limit and price if the trace can be replayed."""
    locations = [location for reader in readers for location in reader.blocks]
    timed_blocks = ((block, step_times(reader.sources, block)) for reader in readers for block in read_blocks(reader))
    first = min(location.first for location in locations)
    last = max(location.last for location in locations)
    series = build_series(timed_blocks, first, last)
    if is_complete_incarnation(readers):
        _add_module_state(readers, series)
    return series


def _add_module_state(readers: list[TraceReader], series: Series) -> None:
    """Add the module's limit and price by a replay; left out if its decisions differ from the recorded ones."""
    limits: list[Sample] = []
    prices: list[Sample] = []

    def on_step(step: Step, _: tuple[Any, ...], controller: Any) -> None:
        if not limits or step.now - limits[-1].time >= series.interval_ms / 2:
            limits.append(Sample(step.now, controller.state.concurrency_limit.value))
            prices.append(Sample(step.now, controller.state.shadow_prices.occupancy_price))

    source = readers[0].first_source
    result = replaying.replay(source.settings, source.seed, source.module_now, read_all_steps(readers), on_step)
    if result.differing_steps:
        print_error("limit and price are left out: the present module decides otherwise")
        return
    series.concurrency_limit = resample(limits, series)
    series.occupancy_price = resample(prices, series)
