"""What all peers of an emulated fleet saw, and the one checker of the rules that reads it.

Gateways record what they sent and were answered, executors and the store what ran, the test which faults it caused.
Times are Unix seconds. A request that a fault hit is excused by the record of that fault only, and an answer is late
only by time that the machine did not take itself (``host_pauses.py``).
"""

import collections
import dataclasses
import threading
import time

from lapispick.fakes.messages import REJECTED_CODE

LATE_SLACK_S = 0.11  # the rule's 60 ms and 50 ms of sockets
SOCKET_SLACK_S = 0.05  # of each time limit, for the way
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
AT_EXECUTOR = "executor"


@dataclasses.dataclass
class Answer:
    """A final answer as a gateway received it."""

    at: float
    kind: str
    result: str | None


@dataclasses.dataclass
class Attempt:
    """One attempt of a request at one host."""

    trace: str
    gateway: str
    host: str
    class_name: str
    body: str
    key: str
    sent_at: float
    due: float
    is_retry: bool = False
    is_cancelled: bool = False  # the host was told that nobody waits
    answers: list = dataclasses.field(default_factory=list)
    broken_at: float = 0.0  # when its connection ended without an answer


@dataclasses.dataclass
class Execution:
    """Work that began at an executor, or a call that reached the store."""

    at: float
    host: str
    process: str
    trace: str
    body: str
    where: str = AT_EXECUTOR


@dataclasses.dataclass
class Fault:
    """A fault and the endpoints that it touches; it is open while ``ended_at`` is 0."""

    began_at: float
    ended_at: float
    kind: str
    endpoints: frozenset


@dataclasses.dataclass
class Shutdown:
    """A host was asked to shut down."""

    at: float
    host: str
    process: str


@dataclasses.dataclass
class MemoryUse:
    """The peak memory of a host's process, and its limit."""

    host: str
    used_mb: float
    limit_mb: float


def answer_kind(message):
    """Return the kind of an answer in JSON-RPC."""
    if "result" in message:
        return SERVED
    return REJECTED if message["error"]["code"] == REJECTED_CODE else FAILED


def never_paused(host, since, until):
    """Return that the machine took nothing of a span, s."""
    return 0.0


class FleetRecord:
    """What all peers saw. ``paused_s`` tells what the machine took of a span, where that is measured."""

    _LISTS = ("executions", "shutdowns", "memory", "faults", "unexpected_answers")

    def __init__(self):
        self._lock = threading.Lock()
        self.attempts = {}
        self.executions = []
        self.shutdowns = []
        self.memory = []
        self.faults = []
        self.unexpected_answers = []
        self.paused_s = never_paused

    def copy(self):
        """Return the record of this moment: the load may go on."""
        copied = FleetRecord()
        with self._lock:
            copied.attempts = dict(self.attempts)
            copied.paused_s = self.paused_s
            for name in self._LISTS:
                setattr(copied, name, list(getattr(self, name)))
        return copied

    def add_attempt(self, attempt):
        """Record an attempt that a gateway is about to send."""
        with self._lock:
            self.attempts[attempt.trace] = attempt

    def remove_attempt(self, attempt):
        """Forget an attempt of which the host read nothing."""
        with self._lock:
            del self.attempts[attempt.trace]

    def add_answer(self, trace, message, result):
        """Record an answer; ``trace`` is None for an unexpected one, ``message`` where the connection ended."""
        with self._lock:
            if trace is None:
                self.unexpected_answers.append(message)
            elif message is None:
                self.attempts[trace].broken_at = time.time()
            else:
                self.attempts[trace].answers.append(Answer(time.time(), answer_kind(message), result))

    def add_execution(self, host, process, trace, body, where=AT_EXECUTOR):
        """Record a run at an executor, or a call at the store."""
        with self._lock:
            self.executions.append(Execution(time.time(), host, process, trace, body, where))

    def add_shutdown(self, host, process):
        """Record a shutdown of a host as a whole."""
        with self._lock:
            self.shutdowns.append(Shutdown(time.time(), host, process))

    def add_memory(self, host, used_mb, limit_mb):
        """Record the peak memory of a process of a host."""
        with self._lock:
            self.memory.append(MemoryUse(host, used_mb, limit_mb))

    def begin_fault(self, kind, endpoints):
        """Record a fault from now on; returns it, for ``end_fault``."""
        fault = Fault(time.time(), 0.0, kind, frozenset(endpoints))
        with self._lock:
            self.faults.append(fault)
        return fault

    def end_fault(self, fault):
        """Record that a fault is over; one that ended before stays as it is."""
        with self._lock:
            fault.ended_at = fault.ended_at or time.time()

    def end_all_faults(self):
        """Record that no fault is left."""
        for fault in list(self.faults):
            self.end_fault(fault)

    def is_excused(self, attempt):
        """Tell whether a fault touched an attempt's host or gateway while it was open."""
        return any(
            fault.began_at <= attempt.due + LATE_SLACK_S
            and (fault.ended_at or time.time()) >= attempt.sent_at - LATE_SLACK_S
            and fault.endpoints & {attempt.host, attempt.gateway}
            for fault in self.faults
        )

    def answer_counts(self, since=0.0, hosts=None):
        """Count final answers by kind over attempts since a time, at some hosts or all."""
        counts = collections.Counter()
        for attempt in list(self.attempts.values()):
            if since <= attempt.sent_at and (hosts is None or attempt.host in hosts):
                counts[attempt.answers[0].kind if attempt.answers else "none"] += 1
        return counts

    def executions_by_key(self):
        """Count the executors' runs by idempotency key, over the whole fleet."""
        keys = {attempt.trace: attempt.key for attempt in list(self.attempts.values()) if attempt.key}
        return collections.Counter(
            keys[execution.trace]
            for execution in list(self.executions)
            if execution.where == AT_EXECUTOR and execution.trace in keys
        )


def expected_results(body):
    """Return what runs of a body may make: with a call what the store said, or less without it."""
    return {f"called {body[5:]}", "poorer"} if body.startswith("call:") else {f"did {body}"}


def check(record, expected=expected_results, window_s=14.286, grace_s=1.8):
    """Return every broken rule as (rule, text); ``expected`` tells what runs of a body may make.

    ``window_s``: for so long a key must not run again; ``grace_s``: what came later after a shutdown must not run.
    """
    record = record.copy()
    return [
        *_lost(record),
        *_answered_twice(record),
        *_ran_twice(record, window_s),
        *_changed(record, expected),
        *_late_starts(record, grace_s + SOCKET_SLACK_S),
        *_rejected_after_run(record),
        *_over_memory(record),
    ]


def _lost(record):
    now = time.time()
    for attempt in record.attempts.values():
        if attempt.is_cancelled or record.is_excused(attempt):
            continue
        if not attempt.answers:
            if attempt.broken_at or now > attempt.due + LATE_SLACK_S:
                reason = "the connection ended" if attempt.broken_at else "no answer"
                yield "lost", f"{attempt.trace} at {attempt.host}: {reason}"
            continue
        at = attempt.answers[0].at
        if at > attempt.due + LATE_SLACK_S + record.paused_s(attempt.host, attempt.sent_at, at):
            yield "lost", f"{attempt.trace} at {attempt.host}: answered {at - attempt.due:.3f} s late"


def _answered_twice(record):
    for attempt in record.attempts.values():
        if len(attempt.answers) > 1:
            yield "doubled", f"{attempt.trace} at {attempt.host}: {len(attempt.answers)} answers"
    for message in record.unexpected_answers:
        yield "doubled", f"an answer that nobody waits for: {message}"


def _ran_twice(record, window_s):
    first_runs = {}
    for execution in sorted(record.executions, key=lambda each: each.at):
        attempt = record.attempts.get(execution.trace)
        if execution.where != AT_EXECUTOR or attempt is None or not attempt.key:
            continue
        first_attempt, first = first_runs.setdefault(attempt.key, (attempt, execution))
        if first is not execution and attempt.sent_at - first_attempt.sent_at < window_s:
            places = f"{first.host} ({first.process}) and {execution.host} ({execution.process})"
            yield "twice", f"key {attempt.key[:8]} ran at {places}"


def _late_starts(record, grace_s):
    for execution in record.executions:
        attempt = record.attempts.get(execution.trace)
        if attempt is None or execution.where != AT_EXECUTOR:
            continue
        for shutdown in record.shutdowns:
            is_there = (execution.host, execution.process) == (shutdown.host, shutdown.process)
            if is_there and attempt.sent_at > shutdown.at + grace_s:
                late_s = attempt.sent_at - shutdown.at
                yield "drain", f"{execution.trace} ran at {shutdown.host}; it came {late_s:.2f} s after the notice"


def _rejected_after_run(record):
    ran = {execution.trace for execution in record.executions if execution.where == AT_EXECUTOR}
    for attempt in record.attempts.values():
        if attempt.trace in ran and attempt.answers and attempt.answers[0].kind == REJECTED:
            yield "refused", f"{attempt.trace} at {attempt.host} ran and was refused"


def _changed(record, expected):
    for attempt in record.attempts.values():
        for answer in attempt.answers:
            if answer.kind == SERVED and answer.result not in expected(attempt.body):
                yield "changed", f"{attempt.trace} at {attempt.host}: {answer.result!r} is not what its run makes"


def _over_memory(record):
    for use in record.memory:
        if use.used_mb > use.limit_mb:
            yield "memory", f"{use.host}: {use.used_mb:.0f} MB of {use.limit_mb:.0f}"
