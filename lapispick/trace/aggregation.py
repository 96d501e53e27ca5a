"""Folds the blocks of traces into requests, and requests into served worth. No I/O.

A repeat counts for its first try: the request is served if any try is, and its age counts from the first ``born``.
What a try repeats is told by the box (``prior``) and, over several boxes of a merged trace, by its subject. Blocks
are taken by their columns, many records at once; how a trace is cut into blocks changes nothing, as a request stops
taking part by the clock alone. Memory follows what is open and what may still be repeated.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from lapispick import admission
from lapispick.trace.record_types import Answered, Arrival, Gap
from lapispick.trace.records import Block, Rows

WINDOW_MS = 10_000.0  # ms; of the table over time
REPEATED_MS = 30_000.0  # ms; how long a closed request is remembered for repeats beyond its class's window
SPAN_MOST = 3_600_000  # ms; the longest span that a histogram tells apart
DENSE_MS = 1 << 16  # ms; shorter spans are counted one by one before a histogram takes them
OPEN, REFUSED, FAILED, SERVED = range(4)
KINDS = {b"refused": REFUSED, b"failed": FAILED, b"served": SERVED}


class Worth(msgspec.Struct):
    """Requests and their worth; ``late`` is the part of ``served`` that came after the aim."""

    requests: int = 0
    tries: int = 0
    asked: float = 0.0
    served: float = 0.0
    in_aim: int = 0
    late: int = 0
    poorer: int = 0  # served without a call
    refused: int = 0
    failed: int = 0
    gone: int = 0  # nobody waited any more, or the trace ended


class Spans(msgspec.Struct):
    """Percentiles of a span, ms."""

    count: int = 0
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    most: float = 0.0


class Summary(msgspec.Struct):
    """What became of the requests of a trace."""

    whole: Worth
    classes: dict[str, Worth]
    accounts: dict[str, Worth]
    windows: dict[str, Worth]  # by the first ms of each window
    worst: list[str]  # the windows with the least share served, the worst first
    grounds: dict[str, int]  # refused tries by the ground that the module gave
    waits: dict[str, Spans]  # from arrival to start, by class
    runs: dict[str, Spans]
    gaps: int = 0


class Source(msgspec.Struct, frozen=True):
    """One life of a box: its classes by number and what its clock is ahead, as the file's header tells."""

    classes: tuple[tuple[str, admission.ClassSettings], ...]
    offset: float = 0.0
    drift: float = 0.0
    at: float = 0.0


class _Table:
    """Columns that grow at the end and are dropped at the front; places count from the beginning of all time."""

    def __init__(self, **kinds: Any) -> None:
        self.begin, self.size = 0, 0
        self._columns = {name: np.zeros(1024, kind) for name, kind in kinds.items()}

    def __getitem__(self, name: str) -> Any:
        return self._columns[name][: self.size]

    def add(self, count: int, **values: Any) -> int:
        """Append rows; return the place of the first."""
        for name, column in self._columns.items():
            if self.size + count > len(column):
                grown = np.zeros(2 * (self.size + count), column.dtype)
                grown[: self.size] = column[: self.size]
                self._columns[name] = column = grown
            column[self.size : self.size + count] = values.get(name, 0)
        self.size += count
        return self.begin + self.size - count

    def drop(self, count: int) -> None:
        """Forget the first rows."""
        for column in self._columns.values():
            column[: self.size - count] = column[count : self.size].copy()
        self.begin, self.size = self.begin + count, self.size - count


class _Spans:
    """Spans of many requests by class name."""

    def __init__(self) -> None:
        self._dense: dict[str, Any] = {}
        self._long: dict[str, HdrHistogram] = {}

    def add(self, name: str, spans: Any) -> None:
        """Count these, ms."""
        held = np.clip(np.rint(spans), 1, SPAN_MOST).astype(np.int64)
        dense = self._dense.setdefault(name, np.zeros(DENSE_MS, np.int64))
        values, counts = np.unique(held[held < DENSE_MS], return_counts=True)
        dense[values] += counts
        histogram = self._long.setdefault(name, HdrHistogram(1, SPAN_MOST, 3))
        for one in held[held >= DENSE_MS].tolist():
            histogram.record_value(one)

    def end(self, name: str) -> Spans:
        """Return the percentiles of a class."""
        histogram = self._long.pop(name, None)
        if histogram is None:
            return Spans()
        dense = self._dense.pop(name)
        for one in np.flatnonzero(dense).tolist():
            histogram.record_value(one, int(dense[one]))
        if not histogram.get_total_count():
            return Spans()
        return Spans(
            histogram.get_total_count(), *(float(histogram.get_value_at_percentile(p)) for p in (50, 90, 99, 100))
        )


class Fold:
    """Takes the blocks of a file, or of several of one life, in order and counts."""

    def __init__(self, sources: Sequence[Source]) -> None:
        known: dict[tuple[str, admission.ClassSettings], int] = {}
        self._of = [np.array([known.setdefault(c, len(known)) for c in s.classes], np.int64) for s in sources]
        self._names, told = [name for name, _ in known], [c for _, c in known]
        self._aim, self._worth, self._late, self._skip = (
            np.array([getattr(c, name) for c in told], np.float64)
            for name in ("latency_objective_ms", "priority_weight", "late_weight", "degraded_weight")
        )
        self._kept = np.array([max(c.idempotency_window_ms, c.deadline_ms) + REPEATED_MS for c in told], np.float64)
        self._clock = [np.array([getattr(s, name) for s in sources]) for name in ("offset", "drift", "at")]
        self._tries = [
            _Table(id=np.int64, root=np.int64, open=np.bool_, waits=np.bool_, came=np.float64) for _ in sources
        ]
        self._roots = _Table(
            born=np.float64,
            class_index=np.int64,
            account=np.int64,
            kind=np.uint8,
            age=np.float64,
            poorer=np.bool_,
            tries=np.int64,
            void=np.bool_,
        )
        self._subjects: dict[bytes, int] = {}
        self._accounts: dict[str, int] = {"": 0}
        self._now = -np.inf
        self._waits, self._runs = _Spans(), _Spans()
        self._made = Summary(Worth(), {n: Worth() for n in self._names}, {}, {}, [], {}, {}, {})

    def add(self, block: Block) -> None:
        """Take one block; raises ``ValueError`` where its records can't be."""
        if not block.count:
            return
        if int(block.box.min()) < 0 or int(block.box.max()) >= len(self._tries):
            raise ValueError("holds a step of a box that its header does not name")
        offset, drift, at = (told[block.box] for told in self._clock)
        self._box = block.box
        self._at = np.maximum.accumulate(block.now - offset - drift * (block.now - at) / 1000)
        self._at = np.maximum(self._at, self._now)
        self._requests(block)
        self._arrivals(block.rows(Arrival))
        self._starts(block.rows(admission.StartRun))
        self._ends(block)
        self._refusals(block.rows(admission.Reject))
        self._made.gaps += int(block.rows(Gap).column("steps").sum())
        self._now = float(self._at[-1])
        self._forget(self._now)

    def _requests(self, block: Block) -> None:
        rows = block.rows(admission.RequestReceived)
        if not rows.count:
            return
        now, ids = self._at[rows.steps], rows.column("id")
        boxes, class_index = self._box[rows.steps], np.zeros(rows.count, np.int64)
        for box, of in enumerate(self._of):
            here = boxes == box
            told = rows.column("class_index")[here]
            if len(told) and not 0 <= int(told.min()) <= int(told.max()) < len(of):
                raise ValueError("holds a request of a class that its header does not name")
            class_index[here] = of[told]
        first = self._roots.add(rows.count, born=now - rows.column("age_ms"), class_index=class_index, tries=1)
        for box, table in enumerate(self._tries):
            here = np.flatnonzero(boxes == box)
            rising = np.concatenate((table["id"][-1:], ids[here]))
            if (np.diff(rising) <= 0).any():
                raise ValueError("holds requests whose numbers do not rise")
            table.add(len(here), id=ids[here], root=first + here, open=True, waits=True, came=now[here])
        self._repeats(rows, first, boxes, now, _subjects(block, rows, ids, boxes, self._box))

    def _repeats(self, rows: Rows, first: int, boxes: Any, now: Any, subjects: list[bytes]) -> None:
        """Give the tries that repeat another one its request; each in its turn, as they may repeat each other."""
        priors, roots, known = rows.column("retry_of").tolist(), self._roots, self._subjects
        ids = rows.column("id")
        for row, (retry_of, subject) in enumerate(zip(priors, subjects, strict=True)):
            if not retry_of:
                if not subject:
                    continue
                if subject not in known:  # nearly all
                    known[subject] = first + row
                    continue
            table, found, when = self._tries[boxes[row]], -1, now[row]
            if retry_of:
                at = int(np.searchsorted(table["id"], retry_of))
                if at < table.size and table["id"][at] == retry_of < ids[row]:
                    found = int(table["root"][at])
            if subject and not self._live_one(found, when):
                found = known.get(subject, -1)
            if not self._live_one(found, when):
                if subject:
                    known.pop(subject, None)  # the newest stand last, and go last
                    known[subject] = first + row
                continue
            table["root"][int(np.searchsorted(table["id"], ids[row]))] = found
            roots["void"][first + row - roots.begin] = True
            roots["tries"][found - roots.begin] += 1

    def _live_one(self, place: int, now: float) -> bool:
        place -= self._roots.begin
        return place >= 0 and self._roots["born"][place] + self._kept[self._roots["class_index"][place]] > now

    def _found(self, rows: Rows) -> tuple[Any, list[tuple[int, Any, Any]]]:
        """Return the places of the rows' requests, -1 where one takes no part; and the tries of those that do."""
        ids, boxes = rows.column("id"), self._box[rows.steps]
        places, tries = np.full(rows.count, -1, np.int64), []
        for box, table in enumerate(self._tries):
            here = np.flatnonzero(boxes == box)
            if not len(here) or not table.size:
                continue
            at = np.minimum(np.searchsorted(table["id"], ids[here]), table.size - 1)
            known = table["id"][at] == ids[here]
            here, at = here[known], at[known]
            root = table["root"][at] - self._roots.begin
            live = root >= 0
            born, class_index = self._roots["born"][root[live]], self._roots["class_index"][root[live]]
            live[live] = born + self._kept[class_index] > self._at[rows.steps[here[live]]]
            places[here[live]] = root[live]
            tries.append((box, here[live], at[live]))
        return places, tries

    def _arrivals(self, rows: Rows) -> None:
        if not rows.count:
            return
        named = np.array(
            [
                self._accounts.setdefault(word.decode(errors="replace"), len(self._accounts))
                for word in rows.words("account")
            ],
            np.int64,
        )[rows.column("account")]
        places, _ = self._found(rows)
        held = (places >= 0) & (named > 0)
        held[held] = self._roots["account"][places[held]] == 0
        self._roots["account"][places[held][::-1]] = named[held][::-1]  # the first one counts

    def _starts(self, rows: Rows) -> None:
        if not rows.count:
            return
        places, tries = self._found(rows)
        for box, here, at in tries:
            table = self._tries[box]
            waits = table["waits"][at]
            here, at = here[waits], at[waits]
            at, once = np.unique(at, return_index=True)
            table["waits"][at] = False
            self._spans(self._waits, places[here[once]], self._at[rows.steps[here[once]]] - table["came"][at])

    def _spans(self, into: _Spans, places: Any, spans: Any) -> None:
        class_index = self._roots["class_index"][places]
        for one in np.unique(class_index).tolist():
            into.add(self._names[one], spans[class_index == one])

    def _ends(self, block: Block) -> None:
        """Take what ended runs and tries; a try that nobody waits for takes no answer."""
        rows = block.rows(admission.RunCompleted)
        if rows.count:
            places, _ = self._found(rows)
            kept = (places >= 0) & (rows.column("outcome") <= int(admission.Outcome.OK))
            self._spans(self._runs, places[kept], rows.column("duration_ms")[kept])
        rows = block.rows(admission.SkipCall)
        if rows.count:
            places, _ = self._found(rows)
            self._roots["poorer"][places[places >= 0]] = True
        gone, rows = block.rows(admission.ClientCancelled), block.rows(Answered)
        if not gone.count and not rows.count:
            return
        left = {box: (at, gone.steps[here]) for box, here, at in self._found(gone)[1]} if gone.count else {}
        if rows.count:
            self._answers(rows, left)
        for box, (at, _) in left.items():
            self._tries[box]["open"][at] = False

    def _answers(self, rows: Rows, left: dict[int, tuple[Any, Any]]) -> None:
        roots, kinds = self._roots, np.array([KINDS.get(word, OPEN) for word in rows.words("kind")], np.uint8)
        kinds = kinds[rows.column("kind")]
        places, tries = self._found(rows)
        counts = np.zeros(rows.count, np.bool_)
        for box, here, at in tries:
            table = self._tries[box]
            first = np.zeros(len(at), np.bool_)
            first[np.unique(at, return_index=True)[1]] = True
            first &= table["open"][at]
            if box in left:  # what went in the same block or step went before its answer was noted
                when = np.full(table.size, np.iinfo(np.int64).max, np.int64)
                when[left[box][0][::-1]] = left[box][1][::-1]
                first &= when[at] > rows.steps[here]
            table["open"][at] = False
            counts[here[first]] = kinds[here[first]] != OPEN
        poor = counts & (kinds != SERVED)
        poor[poor] = roots["kind"][places[poor]] != SERVED
        roots["kind"][places[poor]] = kinds[poor]  # the last one counts
        good = np.flatnonzero(counts & (kinds == SERVED))
        good = good[roots["kind"][places[good]] != SERVED]
        good = good[np.unique(places[good], return_index=True)[1]]
        roots["kind"][places[good]] = SERVED
        roots["age"][places[good]] = self._at[rows.steps[good]] - roots["born"][places[good]]

    def _refusals(self, rows: Rows) -> None:
        if rows.count:
            counts = np.bincount(rows.column("reason"), minlength=len(rows.words("reason")))
            for word, count in zip(rows.words("reason"), counts.tolist(), strict=True):
                name = word.decode(errors="replace") or "not told"
                self._made.grounds[name] = self._made.grounds.get(name, 0) + count

    def _forget(self, now: float) -> None:
        """Count the requests at the front that no repeat can come for any more, and forget them and their tries."""
        roots = self._roots
        live = roots["born"] + self._kept[roots["class_index"]] > now
        count = int(np.argmax(live)) if live.any() else roots.size
        if count < roots.size // 4 and now < np.inf:
            return  # moving what stays costs more than it frees
        self._count(slice(0, count))
        roots.drop(count)
        for table in self._tries:
            live = table["root"] >= roots.begin
            table.drop(int(np.argmax(live)) if live.any() else table.size)
        for subject, place in list(self._subjects.items()):
            if place >= roots.begin:
                break
            del self._subjects[subject]

    def _count(self, part: slice) -> None:
        roots = self._roots
        kept = np.flatnonzero(~roots["void"][part])
        class_index, kind, age = roots["class_index"][kept], roots["kind"][kept], roots["age"][kept]
        served, poorer = kind == SERVED, roots["poorer"][kept]
        in_aim = served & (age <= self._aim[class_index])
        worth = np.where(served, self._worth[class_index], 0.0) * np.where(in_aim, 1.0, self._late[class_index])
        worth *= np.where(poorer, self._skip[class_index], 1.0)
        columns = {
            "requests": np.ones(len(kept), np.int64),
            "tries": roots["tries"][kept],
            "asked": self._worth[class_index],
            "served": worth,
            "in_aim": in_aim,
            "late": served & ~in_aim,
            "poorer": served & poorer,
            "refused": kind == REFUSED,
            "failed": kind == FAILED,
            "gone": kind == OPEN,
        }
        made, accounts = self._made, list(self._accounts)
        windows = (roots["born"][kept] // WINDOW_MS).astype(np.int64)
        _sum(columns, np.zeros(len(kept), np.int64), lambda _: made.whole)
        _sum(columns, class_index, lambda n: made.classes[self._names[n]])
        _sum(columns, roots["account"][kept], lambda n: made.accounts.setdefault(accounts[n], Worth()))
        _sum(columns, windows, lambda n: made.windows.setdefault(str(int(n * WINDOW_MS)), Worth()))

    def end(self) -> Summary:
        """Count what is left and return the summary."""
        self._forget(np.inf)
        made = self._made
        made.windows = dict(sorted(made.windows.items(), key=lambda pair: int(pair[0])))
        made.accounts, made.grounds = dict(sorted(made.accounts.items())), dict(sorted(made.grounds.items()))
        made.worst = sorted(made.windows, key=lambda w: made.windows[w].served / made.windows[w].asked)[:5]
        made.waits, made.runs = ({name: of.end(name) for name in made.classes} for of in (self._waits, self._runs))
        return made


def _subjects(block: Block, rows: Rows, ids: Any, boxes: Any, box_of: Any) -> list[bytes]:
    """Return the subject of each request, which its note tells in the same block; b'' where it has none."""
    notes = block.rows(Arrival)
    if not notes.count:
        return [b""] * rows.count
    words = notes.words("subject")
    if not any(words):
        return [b""] * rows.count
    told = {
        (box, number): words[place]
        for box, number, place in zip(
            box_of[notes.steps].tolist(), notes.column("id").tolist(), notes.column("subject").tolist(), strict=True
        )
    }
    return [told.get(key, b"") for key in zip(boxes.tolist(), ids.tolist(), strict=True)]


def _sum(columns: dict[str, Any], groups: Any, of: Any) -> None:
    """Add columns up by group."""
    found, places = np.unique(groups, return_inverse=True)
    sums = {
        name: np.bincount(places, weights=column, minlength=len(found)).tolist() for name, column in columns.items()
    }
    for at, group in enumerate(found.tolist()):
        into = of(group)
        for name, values in sums.items():
            held = getattr(into, name)
            setattr(into, name, held + type(held)(values[at]))


def source(told: Any) -> Source:
    """Return a source of a file's header; raises ``ValueError`` where its settings can't be read."""
    try:
        classes = msgspec.json.decode(told.settings, type=admission.Settings).classes
    except msgspec.MsgspecError as err:
        raise ValueError(f"its settings can't be read: {err}") from None
    names = list(told.classes) or [str(n) for n in range(len(classes))]
    return Source(tuple(zip(names, classes, strict=False)), told.offset, told.drift, told.at)


def summarise(sources: Iterable[Any], blocks: Iterable[Block]) -> Summary:
    """Return the summary of the blocks of a file, or of the files of one life in their order."""
    fold = Fold([source(told) for told in sources])
    for block in blocks:
        fold.add(block)
    return fold.end()
