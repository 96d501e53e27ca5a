"""The plots of a trace: one picture, or one HTML page that holds it and the tables."""

from __future__ import annotations

import base64
import html
from collections.abc import Iterable
from io import BytesIO
from typing import Any

from lapispick.cli.trace_common import when
from lapispick.trace.aggregation import WINDOW_MS, Summary, Worth
from lapispick.trace.series import Series

COLOURS = {"served": "#2a7f62", "refused": "#c9822b", "failed": "#b23a48"}


GREY = "#9aa0a6"
MARK_COLOUR = "#555555"
LIMIT_COLOUR = "#3b5b92"


def draw(title: str, summary: Summary, series: Series) -> bytes:
    """Return a PNG; time counts in s from the first step."""
    # Imported here: the other commands do without it.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, rows = pyplot.subplots(5, 1, figsize=(11, 13), sharex=True, layout="constrained")
    weights, answers, reasons, waits, limit = rows
    _draw_weights(weights, summary, series)
    _draw_answers(answers, series)
    _draw_reasons(reasons, series)
    _steps(waits, series, series.waits, label="age of what is served, median, ms", color=COLOURS["served"])
    waits.set_ylabel("ms")
    _draw_limit(limit, series)
    for axes in rows:
        _finish(axes, series, with_names=axes is weights)
    limit.set_xlabel(f"s since {when(series.begin)}")
    figure.suptitle(f"{title}: {summary.whole.served:g} of {summary.whole.asked:g} served")
    out = BytesIO()
    figure.savefig(out, format="png", dpi=100)
    pyplot.close(figure)
    return out.getvalue()


def _steps(axes: Any, series: Series, values: list[float], **options: Any) -> None:
    """Draw a value for each span."""
    seconds = [number * series.span / 1000 for number in range(len(values))]
    axes.step(seconds, values, where="post", linewidth=0.9, **options)


def _per_second(series: Series, counts: list[int]) -> list[float]:
    spans_per_second = 1000 / series.span
    return [count * spans_per_second for count in counts]


def _draw_weights(axes: Any, summary: Summary, series: Series) -> None:
    """Draw what was asked and served, by the time when requests were born."""
    keys = sorted(summary.windows, key=int)
    seconds = [(int(key) - series.begin) / 1000 for key in keys]
    for name, colour, alpha in (("asked", GREY, 0.5), ("served", COLOURS["served"], 0.9)):
        values = [getattr(summary.windows[key], name) for key in keys]
        axes.bar(seconds, values, width=WINDOW_MS / 1000, align="edge", label=name, color=colour, alpha=alpha)
    axes.set_ylabel("worth, by 10 s of birth")


def _draw_answers(axes: Any, series: Series) -> None:
    for name, counts in series.answers.items():
        _steps(axes, series, _per_second(series, counts), label=name, color=COLOURS.get(name))
    _steps(axes, series, _per_second(series, series.arrived), label="tries that came", color=GREY)
    axes.set_ylabel("a second")


def _draw_reasons(axes: Any, series: Series) -> None:
    for name, counts in series.grounds.items():
        _steps(axes, series, _per_second(series, counts), label=name)
    axes.set_ylabel("refused tries a second, by ground")


def _draw_limit(axes: Any, series: Series) -> None:
    """Draw the attempts in flight, and the module's limit and price where they are known."""
    _steps(axes, series, [float(count) for count in series.inflight], label="open tries", color=GREY)
    if series.limit:
        _steps(axes, series, series.limit, label="limit on runs", color=LIMIT_COLOUR)
    axes.set_ylabel("tries")
    if any(series.price):
        other = axes.twinx()
        _steps(other, series, series.price, label="price of hold", color=COLOURS["refused"])
        other.set_ylabel("worth a slot and ms")
        other.legend(loc="upper right", fontsize=8)


def _finish(axes: Any, series: Series, with_names: bool) -> None:
    """Set the bounds, and draw what operators did and the legend."""
    axes.margins(x=0)
    axes.set_ylim(bottom=0)
    for time, name in series.marks:
        seconds = (time - series.begin) / 1000
        axes.axvline(seconds, color=MARK_COLOUR, linestyle=":", linewidth=0.8)
        if with_names:
            at_top = {"xycoords": ("data", "axes fraction"), "va": "top", "ha": "right"}
            axes.annotate(name, (seconds, 1), fontsize=7, rotation=90, **at_top)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper left", fontsize=8)


def _table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    def cells(tag: str, row: Iterable[Any]) -> str:
        return "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in row)

    body = "".join(f"<tr>{cells('td', row)}</tr>" for row in rows)
    return f"<h2>{html.escape(title)}</h2><table><tr>{cells('th', columns)}</tr>{body}</table>"


def _worths(title: str, parts: dict[str, Worth]) -> str:
    columns = ("", "requests", "tries", "asked", "served", "share", "late", "poorer", "refused", "failed", "gone")
    return _table(
        title,
        columns,
        (
            (
                name or "not told",
                w.requests,
                w.tries,
                f"{w.asked:g}",
                f"{w.served:g}",
                f"{w.served / w.asked:.3f}" if w.asked else "-",
                w.late,
                w.poorer,
                w.refused,
                w.failed,
                w.gone,
            )
            for name, w in parts.items()
        ),
    )


def page(title: str, summary: Summary, drawn: bytes) -> str:
    """Return an HTML page with the picture in it; it asks for nothing else."""
    picture = base64.b64encode(drawn).decode()
    spans = [
        (kind, name, s.count, s.p50, s.p90, s.p99, s.most)
        for kind, of in (("wait", summary.waits), ("run", summary.runs))
        for name, s in of.items()
    ]
    tables = [
        _worths("Whole", {"all": summary.whole}),
        _worths("By class", summary.classes),
        _worths("By account", summary.accounts),
        _worths("Worst 10 s", {when(float(k)): summary.windows[k] for k in summary.worst}),
        _table("Refused tries by ground", ("ground", "tries"), summary.grounds.items()),
        _table("Waits before a run, and runs; ms", ("", "class", "count", "p50", "p90", "p99", "most"), spans),
    ]
    style = (
        "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
        "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}img{max-width:100%}"
    )
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>{html.escape(title)}</title><style>{style}</style>"
        f"<h1>{html.escape(title)}</h1><img alt='worth, answers, refusals, waits and limit over time' "
        f"src='data:image/png;base64,{picture}'>{''.join(tables)}</html>\n"
    )
