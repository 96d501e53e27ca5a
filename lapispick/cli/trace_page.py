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


def _steps(axes: Any, made: Series, values: list[float], **how: Any) -> None:
    axes.step([n * made.span / 1000 for n in range(len(values))], values, where="post", linewidth=0.9, **how)


def draw(title: str, summary: Summary, made: Series) -> bytes:
    """Return a PNG; time counts in s from the first step."""
    # Imported here: the other commands do without it.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, rows = pyplot.subplots(5, 1, figsize=(11, 13), sharex=True, layout="constrained")
    worth, answers, grounds, waits, limit = rows
    keys = sorted(summary.windows, key=int)
    at = [(int(k) - made.begin) / 1000 for k in keys]
    for name, colour in (("asked", "#9aa0a6"), ("served", COLOURS["served"])):
        worth.bar(
            at,
            [getattr(summary.windows[k], name) for k in keys],
            width=WINDOW_MS / 1000,
            align="edge",
            label=name,
            color=colour,
            alpha=0.9 if name == "served" else 0.5,
        )
    worth.set_ylabel("worth, by 10 s of birth")
    per = 1000 / made.span
    for name, counts in made.answers.items():
        _steps(answers, made, [c * per for c in counts], label=name, color=COLOURS.get(name))
    _steps(answers, made, [c * per for c in made.arrived], label="tries that came", color="#9aa0a6")
    answers.set_ylabel("a second")
    for name, counts in made.grounds.items():
        _steps(grounds, made, [c * per for c in counts], label=name)
    grounds.set_ylabel("refused tries a second, by ground")
    _steps(waits, made, made.waits, label="age of what is served, median, ms", color=COLOURS["served"])
    waits.set_ylabel("ms")
    _steps(limit, made, [float(n) for n in made.inflight], label="open tries", color="#9aa0a6")
    if made.limit:
        _steps(limit, made, made.limit, label="limit on runs", color="#3b5b92")
    limit.set_ylabel("tries")
    if any(made.price):
        other = limit.twinx()
        _steps(other, made, made.price, label="price of hold", color=COLOURS["refused"])
        other.set_ylabel("worth a slot and ms")
        other.legend(loc="upper right", fontsize=8)
    for axes in rows:
        axes.margins(x=0)
        axes.set_ylim(bottom=0)
        for time, what in made.marks:
            axes.axvline((time - made.begin) / 1000, color="#555555", linestyle=":", linewidth=0.8)
            if axes is worth:
                axes.annotate(
                    what,
                    ((time - made.begin) / 1000, 1),
                    xycoords=("data", "axes fraction"),
                    fontsize=7,
                    rotation=90,
                    va="top",
                    ha="right",
                )
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="upper left", fontsize=8)
    limit.set_xlabel(f"s since {when(made.begin)}")
    figure.suptitle(f"{title}: {summary.whole.served:g} of {summary.whole.asked:g} served")
    out = BytesIO()
    figure.savefig(out, format="png", dpi=100)
    pyplot.close(figure)
    return out.getvalue()


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
