"""The account of a fleet under faults, and the one checker of the rules that reads it.

Every party notes what it saw: gateways what they wrote and were answered, executors and the store what ran, the script
what it broke. Times are Unix seconds. A request that a fault took away is excused by the fault's own entry only, and
an answer is late only by what the machine did not take itself (``pauses.py``).
"""

import collections
import dataclasses
import threading
import time

SLACK_S = 0.11  # s; the rule's 60 ms and 50 ms of sockets
SOCKETS_S = 0.05  # s; of each time limit, for the way
REFUSED = -32050
SERVED, TURNED, FAILED = "served", "refused", "failed"


@dataclasses.dataclass
class Try:
    """One try of a request at one box."""

    trace: str
    gateway: str
    box: str
    cls: str
    body: str
    key: str
    written: float
    due: float
    redo: bool = False
    gone: bool = False  # told to the box that nobody waits
    answers: list = dataclasses.field(default_factory=list)  # (at, kind, result)
    broken: float = 0.0  # when its connection ended without an answer


@dataclasses.dataclass
class Run:
    """Work that began at an executor, or a call that reached the store."""

    at: float
    box: str
    process: str
    trace: str
    body: str
    where: str = "executor"


class Account:
    """What all parties saw."""

    def __init__(self):
        self._lock = threading.Lock()
        self.tries, self.runs, self.leaves, self.memory = {}, [], [], []
        self.faults = []  # (from, to or 0, kind, names that it touches)
        self.strays = []  # answers that nobody waits for
        self.begun = time.time()
        self.held_up = lambda box, since, until: 0.0  # s; what the machine took of a span, where that is measured

    def copy(self):
        made = Account()
        with self._lock:
            made.tries, made.begun, made.held_up = dict(self.tries), self.begun, self.held_up
            for part in ("runs", "leaves", "memory", "faults", "strays"):
                setattr(made, part, list(getattr(self, part)))
        return made

    def wrote(self, made):
        with self._lock:
            self.tries[made.trace] = made

    def answered(self, trace, message, result):
        with self._lock:
            if trace is None:
                self.strays.append((time.time(), message))
            elif message is None:
                self.tries[trace].broken = time.time()
            else:
                self.tries[trace].answers.append((time.time(), kind(message), result))

    def ran(self, box, process, trace, body, where="executor"):
        with self._lock:
            self.runs.append(Run(time.time(), box, process, trace, body, where))

    def left(self, box, process):
        """Note a notice to leave that is one for the box as a whole."""
        with self._lock:
            self.leaves.append((time.time(), box, process))

    def held(self, box, mb, most):
        with self._lock:
            self.memory.append((time.time(), box, mb, most))

    def fault(self, what, names, until=None):
        """Note a fault from now on; returns its place, for ``over``."""
        with self._lock:
            self.faults.append([time.time(), until or 0.0, what, frozenset(names)])
            return len(self.faults) - 1

    def over(self, number=None):
        with self._lock:
            for at in range(len(self.faults)) if number is None else [number]:
                if not self.faults[at][1]:
                    self.faults[at][1] = time.time()

    def excused(self, made):
        """Tell whether a fault touched a try's box or gateway while it was open."""
        return any(
            start <= made.due + SLACK_S
            and (end or time.time()) >= made.written - SLACK_S
            and names & {made.box, made.gateway}
            for start, end, _, names in self.faults
        )

    # What became of the load.

    def counts(self, since=0.0, until=float("inf"), boxes=None):
        """Count final answers by kind over tries written in a span, at some boxes."""
        found = collections.Counter()
        for each in list(self.tries.values()):
            if since <= each.written < until and (boxes is None or each.box in boxes):
                found[each.answers[0][1] if each.answers else "none"] += 1
        return found

    def effects(self):
        """Count executors' runs by key, over the whole fleet."""
        keys = {t.trace: t.key for t in list(self.tries.values()) if t.key}
        return collections.Counter(keys[r.trace] for r in list(self.runs) if r.where == "executor" and r.trace in keys)


def kind(message):
    if "result" in message:
        return SERVED
    return TURNED if message["error"]["code"] == REFUSED else FAILED


def results(body):
    """Return what runs of a body may make: with a call what the store said, or less without it."""
    return {f"called {body[5:]}", "poorer"} if body.startswith("call:") else {f"did {body}"}


def check(account, result=results, window_s=14.286, grace_s=1.8):
    """Return every broken rule as (rule, text); ``result`` tells what runs of a body may make.

    ``window_s``: for so long a key must not run again; ``grace_s``: what came later after a notice must not run.
    """
    account = account.copy()  # of this moment: the load may go on
    return [
        *_lost(account),
        *_doubled(account),
        *_twice(account, window_s),
        *_changed(account, result),
        *_late_starts(account, grace_s + SOCKETS_S),
        *_refused_after_run(account),
        *_memory(account),
    ]


def _lost(account):
    now = time.time()
    for t in account.tries.values():
        answer = t.answers[0] if t.answers else None
        if t.gone or account.excused(t):
            continue
        if answer is None and (t.broken or now > t.due + SLACK_S):
            yield "lost", f"{t.trace} at {t.box}: {'the connection ended' if t.broken else 'no answer'}"
        elif answer is not None and answer[0] > t.due + SLACK_S + account.held_up(t.box, t.written, answer[0]):
            yield "lost", f"{t.trace} at {t.box}: answered {answer[0] - t.due:.3f} s late"


def _doubled(account):
    for t in account.tries.values():
        if len(t.answers) > 1:
            yield "doubled", f"{t.trace} at {t.box}: {len(t.answers)} answers"
    for _, message in account.strays:
        yield "doubled", f"an answer that nobody waits for: {message}"


def _twice(account, window_s):
    tries = account.tries
    first = {}
    for run in sorted(account.runs, key=lambda r: r.at):
        made = tries.get(run.trace)
        if run.where != "executor" or made is None or not made.key:
            continue
        held = first.setdefault(made.key, (made, run))
        if held[1] is not run and made.written - held[0].written < window_s:
            yield "twice", f"key {made.key[:8]} ran at {held[1].box} ({held[1].process}) and {run.box} ({run.process})"


def _late_starts(account, grace_s):
    for run in account.runs:
        made = account.tries.get(run.trace)
        for at, box, process in account.leaves:
            if (
                made
                and run.where == "executor"
                and (run.box, run.process) == (box, process)
                and made.written > at + grace_s
            ):
                yield "drain", f"{run.trace} ran at {box}; it came {made.written - at:.2f} s after the notice"


def _refused_after_run(account):
    ran = {run.trace for run in account.runs if run.where == "executor"}
    for t in account.tries.values():
        if t.trace in ran and t.answers and t.answers[0][1] == TURNED:
            yield "refused", f"{t.trace} at {t.box} ran and was refused"


def _changed(account, result):
    for t in account.tries.values():
        for _, what, made in t.answers:
            if what == SERVED and made not in result(t.body):
                yield "changed", f"{t.trace} at {t.box}: {made!r} is not what its run makes"


def _memory(account):
    for _, box, mb, most in account.memory:
        if mb > most:
            yield "memory", f"{box}: {mb:.0f} MB of {most:.0f}"
