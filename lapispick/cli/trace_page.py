"""Renders the plots of a trace as a PNG, and an HTML page with the plots and the tables of the summary."""

from __future__ import annotations

import base64
import html
from collections.abc import Iterable, Mapping
from io import BytesIO
from typing import Any

from lapispick.cli.trace_common import format_time
from lapispick.cli.trace_tables import PERCENTILE_COLUMNS, TOTALS_COLUMNS, percentile_rows, totals_rows
from lapispick.trace.record_types import FAILED, REJECTED, SERVED
from lapispick.trace.series import Series
from lapispick.trace.summary import WINDOW_MS, RequestTotals, Summary

COLOURS = {SERVED: "#2a7f62", REJECTED: "#c9822b", FAILED: "#b23a48"}
GREY = "#9aa0a6"
MARK_COLOUR = "#555555"
LIMIT_COLOUR = "#3b5b92"
PAGE_COLUMNS = tuple(column for column in TOTALS_COLUMNS if column != "in aim")
STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
    "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}img{max-width:100%}"
)


def render_png(title: str, summary: Summary, series: Series) -> bytes:
    """Return a PNG of the plots; the time axis is in s from the first step."""
    # Imported here so that the other commands don't load it.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, all_axes = pyplot.subplots(5, 1, figsize=(11, 13), sharex=True, layout="constrained")
    weights, answers, reasons, ages, limit = all_axes
    _draw_weights(weights, summary, series)
    _draw_answers(answers, series)
    _draw_reasons(reasons, series)
    _draw_line(ages, series, series.served_ages, label="median age when served", color=COLOURS[SERVED])
    ages.set_ylabel("ms")
    _draw_limit(limit, series)
    for axes in all_axes:
        _finish_axes(axes, series, with_mark_names=axes is weights)
    limit.set_xlabel(f"s since {format_time(series.begin)}")
    figure.suptitle(
        f"{title}: served {summary.total.served_weight:g} of {summary.total.offered_weight:g} priority weight"
    )
    png = BytesIO()
    figure.savefig(png, format="png", dpi=100)
    pyplot.close(figure)
    return png.getvalue()


def _draw_line(axes: Any, series: Series, values: list[float], **options: Any) -> None:
    """Draw one value per interval as a step line."""
    seconds = [number * series.interval_ms / 1000 for number in range(len(values))]
    axes.step(seconds, values, where="post", linewidth=0.9, **options)


def _per_second(series: Series, counts: list[int]) -> list[float]:
    intervals_per_second = 1000 / series.interval_ms
    return [count * intervals_per_second for count in counts]


def _draw_weights(axes: Any, summary: Summary, series: Series) -> None:
    """Draw the offered and served weight by the window in which the requests were created."""
    keys = sorted(summary.windows, key=int)
    seconds = [(int(key) - series.begin) / 1000 for key in keys]
    offered = [summary.windows[key].offered_weight for key in keys]
    served = [summary.windows[key].served_weight for key in keys]
    bar_options = {"width": WINDOW_MS / 1000, "align": "edge"}
    axes.bar(seconds, offered, label="offered", color=GREY, alpha=0.5, **bar_options)
    axes.bar(seconds, served, label="served", color=COLOURS[SERVED], alpha=0.9, **bar_options)
    axes.set_ylabel("weight by creation time, per 10 s")


def _draw_answers(axes: Any, series: Series) -> None:
    for name, counts in series.answers.items():
        _draw_line(axes, series, _per_second(series, counts), label=name, color=COLOURS.get(name))
    _draw_line(axes, series, _per_second(series, series.arrived), label="arrived", color=GREY)
    axes.set_ylabel("attempts per second")


def _draw_reasons(axes: Any, series: Series) -> None:
    for name, counts in series.rejection_reasons.items():
        _draw_line(axes, series, _per_second(series, counts), label=name)
    axes.set_ylabel("rejections per second, by reason")


def _draw_limit(axes: Any, series: Series) -> None:
    """Draw the open attempts, and the concurrency limit and price of the module if they are known."""
    _draw_line(axes, series, [float(count) for count in series.open_attempts], label="open attempts", color=GREY)
    if series.concurrency_limit:
        _draw_line(axes, series, series.concurrency_limit, label="concurrency limit", color=LIMIT_COLOUR)
    axes.set_ylabel("attempts")
    if any(series.occupancy_price):
        price_axes = axes.twinx()
        _draw_line(price_axes, series, series.occupancy_price, label="occupancy price", color=COLOURS[REJECTED])
        price_axes.set_ylabel("priority weight per slot and ms")
        price_axes.legend(loc="upper right", fontsize=8)


def _finish_axes(axes: Any, series: Series, with_mark_names: bool) -> None:
    """Set the bounds, and draw the marks of external events and shutdowns, and the legend."""
    axes.margins(x=0)
    axes.set_ylim(bottom=0)
    for time, name in series.marks:
        seconds = (time - series.begin) / 1000
        axes.axvline(seconds, color=MARK_COLOUR, linestyle=":", linewidth=0.8)
        if with_mark_names:
            top_right = {"xycoords": ("data", "axes fraction"), "va": "top", "ha": "right"}
            axes.annotate(name, (seconds, 1), fontsize=7, rotation=90, **top_right)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper left", fontsize=8)


def _table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    def cells(tag: str, row: Iterable[Any]) -> str:
        return "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in row)

    body = "".join(f"<tr>{cells('td', row)}</tr>" for row in rows)
    return f"<h2>{html.escape(title)}</h2><table><tr>{cells('th', columns)}</tr>{body}</table>"


def _totals_table(title: str, totals_by_name: Mapping[str, RequestTotals]) -> str:
    return _table(title, ("", *PAGE_COLUMNS), totals_rows(totals_by_name, PAGE_COLUMNS))


def render_page(title: str, summary: Summary, png: bytes) -> str:
    """Return a self-contained HTML page with the plots and the tables."""
    encoded_png = base64.b64encode(png).decode()
    worst_windows = {format_time(float(begin)): summary.windows[begin] for begin in summary.worst_windows}
    percentiles = [("queue time", *row) for row in percentile_rows(summary.queue_times)]
    percentiles += [("run", *row) for row in percentile_rows(summary.run_durations)]
    tables = [
        _totals_table("Total", {"all": summary.total}),
        _totals_table("By class", summary.classes),
        _totals_table("By account", summary.accounts),
        _totals_table("Worst 10 s", worst_windows),
        _table("Rejected attempts by reason", ("reason", "attempts"), summary.rejection_reasons.items()),
        _table("Queue times and run durations, ms", ("", *PERCENTILE_COLUMNS), percentiles),
    ]
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>{html.escape(title)}</title><style>{STYLE}</style>"
        f"<h1>{html.escape(title)}</h1><img alt='priority weight, answers, rejections, ages and limit over time' "
        f"src='data:image/png;base64,{encoded_png}'>{''.join(tables)}</html>\n"
    )
