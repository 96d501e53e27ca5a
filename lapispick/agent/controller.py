"""A rollout's controller: asks the agents, keeps the course, and tells them what ``rollout/rollout_state.py`` decides.

The course is on disk before anything that follows from it is told. A controller may end at any instant; another one
goes on from the ledger, with a higher epoch, and the agents take nothing from the one before any more.
"""

from __future__ import annotations

import datetime
import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from lapispick.agent.rollout_store import Fenced, Ledger
from lapispick.fleet.hosts import Worker
from lapispick.host.dns_resolver import Names
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, StreamClosedError, connect
from lapispick.host.worker_threads import Work
from lapispick.rollout import messages, metrics, pacing, rollout_state
from lapispick.rollout.canary_analysis import Bounds as Judging
from lapispick.rollout.canary_analysis import Judge, Verdict
from lapispick.rollout.messages import Fence, Status
from lapispick.rollout.metrics import Told
from lapispick.rollout.rollout_state import Course, Heard

LOG = "rollout"
ASK_S = 2.0  # s; for one answer of an agent
ASKED_MOST = 64  # agents at once
BEAT_S = 1.0  # s; between two signs of life in the ledger
REDRAW = 20  # slices of the old figures that are kept, for stages to come


def address_of(told: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` as the list has it; the host may be a name."""
    host, _, port = told.rpartition(":")
    return host.strip("[]"), int(port)


class Hours(NamedTuple):
    """When stages may begin."""

    span: tuple[int, int] | None = None
    not_days: tuple[str, ...] = ()


class _Box:
    """What the controller knows of one box."""

    def __init__(self, worker: Worker) -> None:
        self.worker, self.status, self.heard_at = worker, None, 0.0
        self.status: Status | None
        self.told: Told | None = None
        self.memory_kb, self.broken, self.slices = 0, 0, list[metrics.Slice]()


class Controller:
    """Steers one rollout."""

    def __init__(
        self,
        ledger: Ledger,
        course: Course,
        workers: list[Worker],
        who: str,
        judging: Judging,
        hours: Hours,
        look: float,
        listed: Callable[[], list[Worker] | None] | None = None,
        names_file: Path | None = None,
    ) -> None:
        self.loop = EventLoop()
        self.work, self._names = Work(self.loop), Names(self.loop, ASK_S, names_file)
        self.ledger, self.course, self.who, self._judging, self._hours = ledger, course, who, judging, hours
        self._look, self._listed = look, listed
        self.boxes = {w.name: _Box(w) for w in workers}
        self.fence, self.fenced = Fence(0, who), ""
        self._judge: Judge | None = None
        self._judged: tuple[int, str] = (-1, "")
        self._verdict: Verdict | None = None
        self._old: list[dict[str, metrics.Slice]] = []  # slices of boxes that no stage has touched, for their offsets
        self._slice_at, self._beat, self._noted = 0.0, 0.0, len(course.notes)

    def point(self, name: str) -> None:
        """Mark a named point; kills at each of them are tested."""

    def run(self) -> Course:
        """Steer until the rollout is over or another controller has taken over; returns how it stands then."""
        self.loop.spawn(self._serve)
        self.loop.run()
        return self.course

    def _serve(self) -> None:
        try:
            self._everyone(self._ask)
            heard = [messages.fence(b.status.fence).epoch for b in self.boxes.values() if b.status is not None]
            self.fence = Fence(self.work.do(self.ledger.take_over, self.who, max(heard, default=0)), self.who)
            log(LOG, logging.INFO, "steering", rollout=self.course.name, fence=self.fence, boxes=len(self.boxes))
            self.point("steering")
            while self.course.phase not in rollout_state.OVER and not self.fenced:
                began = time.monotonic()
                self._turn()
                self.loop.sleep(max(0.02, self._look - (time.monotonic() - began)))
        except Fenced as err:
            self.fenced = str(err)
        except Exception as err:  # the agents go on alone, and undo what nobody confirms
            log(LOG, logging.ERROR, "steering-failed", error=repr(err))
            self.fenced = f"failed: {err!r}"
        self.loop.stop()

    def _turn(self) -> None:
        if self._listed is not None and (workers := self.work.do(self._listed)) is not None:
            for worker in workers:
                self.boxes.setdefault(worker.name, _Box(worker)).worker = worker
            for name in self.boxes.keys() - {w.name for w in workers}:
                del self.boxes[name]
        self._everyone(self._ask)
        self._weigh()
        now = time.time()
        course = self.course
        for word in self.work.do(self.ledger.orders, course.name):
            course = msgspec.structs.replace(course, told=word)
        why = pacing.open_at(datetime.datetime.now(), *self._hours)
        course, calls = rollout_state.step(course, now, self.fence, self._heard(), self._verdict, why)
        if course != self.course:
            self.point("decided")
            fresh = course.notes[self._noted :] if len(course.notes) >= self._noted else course.notes[-1:]
            self.work.do(self.ledger.keep, course, now, fresh)
            for _, text in fresh:
                log(LOG, logging.INFO, "course", rollout=course.name, note=text)
            self._noted, self.course = len(course.notes), course
            self.point("kept")
        if time.monotonic() - self._beat > BEAT_S:
            self._beat = time.monotonic()
            self.work.do(self.ledger.seen, now, course.name, self._shown())
        if calls:
            self.point("telling")
            self._everyone(self._tell, {told.box: told.call for told in calls})
            self.point("told")

    def _heard(self) -> dict[str, Heard]:
        now = time.monotonic()
        return {
            name: Heard(
                box.status, now - box.heard_at if box.status is not None else float("inf"), box.memory_kb, box.broken
            )
            for name, box in self.boxes.items()
        }

    def _shown(self) -> dict[str, Any]:
        """Return what people see of the fleet."""
        heard = self._heard()
        boxes = {
            name: [each.status.serving, each.status.phase, each.status.fault] if each.status else ["", "", ""]
            for name, each in sorted(heard.items())
        }
        return {"deviations": rollout_state.deviations(self.course, heard), "boxes": boxes}

    # Figures.

    def _weigh(self) -> None:
        """Give the judge a slice of time, once it is long enough."""
        course, now = self.course, time.monotonic()
        if now - self._slice_at < rollout_state.slice_span(course.plan):
            return
        self._slice_at = now
        slices = {name: whole for name, box in self.boxes.items() if (whole := metrics.merged(box.slices)) is not None}
        slices = {name: whole._replace(box=name) for name, whole in slices.items()}
        for box in self.boxes.values():
            box.slices.clear()
        phase, stage = course.phase, (course.stage, course.name)
        if phase in (rollout_state.WATCHING, rollout_state.WAITING, rollout_state.HOLDING):
            self._old = [*self._old, slices][-REDRAW * 3 :]
        if phase not in (rollout_state.CHANGING, rollout_state.BAKING):
            return
        changed, old = rollout_state.groups(course, self._heard())
        if self._judged != stage:
            self._judged, self._judge, self._verdict = stage, Judge(self._judging, dict(course.plan.kinds)), None
            for each in self._old:
                self._judge.before(course.boxes, [n for n in each if n not in course.touched], each)
        assert self._judge is not None
        if changed and old:
            self._judge.after(changed, old, slices)
        self._verdict = self._judge.verdict()
        self._old = [*self._old, {n: s for n, s in slices.items() if n not in course.touched}][-REDRAW * 3 :]
        self.work.do(
            self.ledger.explain,
            course.name,
            time.time(),
            {
                "stage": course.stage + 1,
                "outcome": self._verdict.outcome.value,
                "ground": self._verdict.ground,
                "changed": changed,
                "old": old,
                "rows": [row._asdict() for row in self._verdict.rows],
            },
        )

    # Calls.

    def _everyone(self, call: Callable[..., None], some: dict[str, Any] | None = None) -> None:
        """Make a call to all boxes, or to some, side by side, and wait until each has its answer or none in time."""
        names = list(some if some is not None else self.boxes)
        left, open_ = list(reversed(names)), [0]

        def work() -> None:
            while left:
                name = left.pop()
                if (box := self.boxes.get(name)) is not None:
                    call(box, *(() if some is None else (some[name],)))
            open_[0] -= 1

        for _ in range(min(ASKED_MOST, len(names))):
            open_[0] += 1
            self.loop.spawn(work)
        while open_[0]:
            self.loop.sleep(0.005)

    def _say(self, box: _Box, line: str) -> list[str]:
        """Call an agent and return its answer; raises ``OSError`` or ``ValueError``."""
        host, port = address_of(box.worker.agent)
        stream = connect(self.loop, (self._names.lookup(host)[0], port), ASK_S)
        lines, end = [], time.monotonic() + ASK_S
        try:
            stream.write(line.encode() + b"\n")
            while (part := stream.read_line(max(0.001, end - time.monotonic()))) is not None:
                lines.append(part.decode("utf-8", "replace"))
        except (LineTooLongError, StreamClosedError) as err:
            raise OSError(str(err)) from None
        finally:
            stream.close()
        return lines

    def _ask(self, box: _Box) -> None:
        if not box.worker.agent:
            return
        try:
            box.status, box.heard_at = messages.heard(self._say(box, "status")), time.monotonic()
            if not box.status.serving:
                box.told = None
                return
            told = metrics.read(self._say(box, "vars"), time.monotonic())
        except (OSError, ValueError) as err:
            log(LOG, logging.DEBUG, "agent-silent", box=box.worker.name, error=err)
            return
        box.memory_kb, box.broken = told.memory_kb, told.broken
        if box.told is not None and (part := metrics.sliced(box.worker.name, box.told, told)) is not None:
            box.slices.append(part)
        box.told = told

    def _tell(self, box: _Box, call: messages.Call) -> None:
        line = messages.write(call)
        try:
            answer = self._say(box, line)
        except (OSError, ValueError) as err:
            return log(LOG, logging.WARNING, "call-unanswered", box=box.worker.name, call=line, error=err)
        said = answer[0] if answer else "nothing"
        log(
            LOG,
            logging.INFO if said.startswith("OK") else logging.WARNING,
            "called",
            box=box.worker.name,
            call=line,
            answer=said,
        )
        if said.startswith("ERR fenced") and messages.fence(said.split()[2]) > self.fence:
            self.fenced = said
        return None
