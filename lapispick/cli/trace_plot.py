"""``lapispick trace plot``: plots a trace over time, as a PNG or an HTML page."""

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
    "--out",
    required=True,
    type=click.Path(path_type=Path),
    help="File to write: a .png, or a self-contained .html with the plots and the tables of the summary.",
)
@JSON
def plot(paths: tuple[Path, ...], out: Path, json_: bool) -> None:
    """Plot priority weight, answers, rejections by reason, ages, concurrency limit and price over time."""
    if out.suffix not in (".png", ".html"):
        fail(f"{out}: expected a file name that ends in .png or .html")
    readers = open_traces(paths)
    if len(group_by_incarnation(readers)) != 1:
        fail("expected files of one incarnation of one host, or one merged file")
    if not any(reader.blocks for reader in readers):
        fail(f"no steps in {', '.join(map(str, paths))}")
    with progress_bar("plot", readers) as report:
        summary = aggregation.summarise(readers[0].sources, read_all_blocks(readers, report))
    series = _series(readers)
    title = ", ".join(host_names(readers[0].sources))
    png = trace_page.render_png(title, summary, series)
    out.write_bytes(png if out.suffix == ".png" else trace_page.render_page(title, summary, png).encode())
    if json_:
        print_json(series)
        return
    total = summary.total
    served = f"served {total.served_weight:g} of {total.offered_weight:g} priority weight"
    print_line(f"{out}: {total.requests} requests, {served}")


def _series(readers: list[TraceReader]) -> Series:
    """Return the series of files, with the concurrency limit and price of the module if the trace can be replayed."""
    locations = [location for reader in readers for location in reader.blocks]
    timed_blocks = ((block, step_times(reader.sources, block)) for reader in readers for block in read_blocks(reader))
    first = min(location.first for location in locations)
    last = max(location.last for location in locations)
    series = build_series(timed_blocks, first, last)
    if is_complete_incarnation(readers):
        _add_module_state(readers, series)
    return series


def _add_module_state(readers: list[TraceReader], series: Series) -> None:
    """Add the concurrency limit and price from a replay; omitted if its actions differ from the recorded ones."""
    limits: list[Sample] = []
    prices: list[Sample] = []

    def on_step(step: Step, _: tuple[Any, ...], controller: Any) -> None:
        if not limits or step.now - limits[-1].time >= series.interval_ms / 2:
            limits.append(Sample(step.now, controller.state.concurrency_limit.value))
            prices.append(Sample(step.now, controller.state.shadow_prices.occupancy_price))

    source = readers[0].first_source
    result = replaying.replay(source.settings, source.seed, source.module_now, read_all_steps(readers), on_step)
    if result.differing_steps:
        print_error("concurrency limit and price omitted: the current module's actions differ from the recorded ones")
        return
    series.concurrency_limit = resample(limits, series)
    series.occupancy_price = resample(prices, series)
