"""Record of what all peers of an emulated fleet observed, and the checker of the platform's rules that reads it.

Gateways record their attempts and the answers, executors and the store record what ran, and the test records the faults
that it caused. Times are Unix seconds. An attempt is excused only by a recorded fault that affected it, and the time
for which the machine paused a process (``host_pauses.py``) does not count towards the lateness of an answer.
"""

import collections
import dataclasses
import threading
import time

from lapispick.fakes.messages import REJECTED_CODE

LATE_SLACK_S = 0.11  # 60 ms that the rule allows and 50 ms for the sockets
SOCKET_SLACK_S = 0.05  # added to time limits for the transit
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
    is_cancelled: bool = False  # the gateway cancelled it at the host
    answers: list = dataclasses.field(default_factory=list)
    broken_at: float = 0.0  # when its connection ended without an answer; 0 = it did not


@dataclasses.dataclass
class Execution:
    """A run that started at an executor, or a call that reached the store."""

    at: float
    host: str
    process: str
    trace: str
    body: str
    where: str = AT_EXECUTOR


@dataclasses.dataclass
class Fault:
    """A fault and the endpoints that it affects; it lasts while ``ended_at`` is 0."""

    began_at: float
    ended_at: float
    kind: str
    endpoints: frozenset


@dataclasses.dataclass
class Shutdown:
    """A request to a host's process to shut down."""

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
    """Return the kind of a JSON-RPC answer."""
    if "result" in message:
        return SERVED
    return REJECTED if message["error"]["code"] == REJECTED_CODE else FAILED


def no_pauses(host, since, until):
    """Return 0 s of pauses for any span, where pauses are not measured."""
    return 0.0


class FleetRecord:
    """Record of all peers; ``paused_s(host, since, until)`` returns how long the machine paused a host in a span."""

    _LISTS = ("executions", "shutdowns", "memory", "faults", "unexpected_answers")

    def __init__(self):
        self._lock = threading.Lock()
        self.attempts = {}
        self.executions = []
        self.shutdowns = []
        self.memory = []
        self.faults = []
        self.unexpected_answers = []
        self.paused_s = no_pauses

    def copy(self):
        """Return a copy of the record, for a check while the load continues."""
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
        """Remove an attempt of which the host has read nothing."""
        with self._lock:
            del self.attempts[attempt.trace]

    def add_answer(self, trace, message, result):
        """Record an answer; ``trace`` is None if it was unexpected, ``message`` is None if the connection ended."""
        with self._lock:
            if trace is None:
                self.unexpected_answers.append(message)
            elif message is None:
                self.attempts[trace].broken_at = time.time()
            else:
                self.attempts[trace].answers.append(Answer(time.time(), answer_kind(message), result))

    def add_execution(self, host, process, trace, body, where=AT_EXECUTOR):
        """Record a run at an executor or a call of the store."""
        with self._lock:
            self.executions.append(Execution(time.time(), host, process, trace, body, where))

    def add_shutdown(self, host, process):
        """Record that a process of a host was asked to shut down."""
        with self._lock:
            self.shutdowns.append(Shutdown(time.time(), host, process))

    def add_memory(self, host, used_mb, limit_mb):
        """Record the peak memory of a process of a host."""
        with self._lock:
            self.memory.append(MemoryUse(host, used_mb, limit_mb))

    def begin_fault(self, kind, endpoints):
        """Record the start of a fault and return it for ``end_fault``."""
        fault = Fault(time.time(), 0.0, kind, frozenset(endpoints))
        with self._lock:
            self.faults.append(fault)
        return fault

    def end_fault(self, fault):
        """Record the end of a fault, unless it has ended before."""
        with self._lock:
            fault.ended_at = fault.ended_at or time.time()

    def end_all_faults(self):
        """Record the end of all faults that still last."""
        for fault in list(self.faults):
            self.end_fault(fault)

    def is_excused(self, attempt):
        """Return True if a fault affected the host or the gateway of an attempt while the attempt was open."""
        return any(
            fault.began_at <= attempt.due + LATE_SLACK_S
            and (fault.ended_at or time.time()) >= attempt.sent_at - LATE_SLACK_S
            and fault.endpoints & {attempt.host, attempt.gateway}
            for fault in self.faults
        )

    def answer_counts(self, since=0.0, hosts=None):
        """Count the attempts sent since a time, at some hosts or all, by the kind of their final answer."""
        counts = collections.Counter()
        for attempt in list(self.attempts.values()):
            if since <= attempt.sent_at and (hosts is None or attempt.host in hosts):
                counts[attempt.answers[0].kind if attempt.answers else "none"] += 1
        return counts

    def executions_by_key(self):
        """Count the runs of all executors by idempotency key."""
        keys = {attempt.trace: attempt.key for attempt in list(self.attempts.values()) if attempt.key}
        return collections.Counter(
            keys[execution.trace]
            for execution in list(self.executions)
            if execution.where == AT_EXECUTOR and execution.trace in keys
        )


def expected_results(body):
    """Return the results that a run of a body may have: a call has that of the store or a degraded one."""
    return {f"called {body[5:]}", "poorer"} if body.startswith("call:") else {f"did {body}"}


def check(record, expected=expected_results, window_s=14.286, grace_s=1.8):
    """Return every rule violation as (rule, text); ``expected`` returns the results that a run of a body may have.

    A key must not run again within ``window_s``. A request that is sent more than ``grace_s`` after a shutdown must not
    run.
    """
    record = record.copy()
    return [
        *_find_lost(record),
        *_find_answered_twice(record),
        *_find_ran_twice(record, window_s),
        *_find_changed(record, expected),
        *_find_late_starts(record, grace_s + SOCKET_SLACK_S),
        *_find_rejected_after_run(record),
        *_find_over_memory(record),
    ]


def _find_lost(record):
    now = time.time()
    for attempt in record.attempts.values():
        if attempt.is_cancelled or record.is_excused(attempt):
            continue
        if not attempt.answers:
            if attempt.broken_at or now > attempt.due + LATE_SLACK_S:
                reason = "the connection ended" if attempt.broken_at else "no answer in time"
                yield "lost", f"{attempt.trace} at {attempt.host}: {reason}"
            continue
        at = attempt.answers[0].at
        if at > attempt.due + LATE_SLACK_S + record.paused_s(attempt.host, attempt.sent_at, at):
            yield "lost", f"{attempt.trace} at {attempt.host}: answered {at - attempt.due:.3f} s late"


def _find_answered_twice(record):
    for attempt in record.attempts.values():
        if len(attempt.answers) > 1:
            yield "doubled", f"{attempt.trace} at {attempt.host}: {len(attempt.answers)} answers"
    for message in record.unexpected_answers:
        yield "doubled", f"an answer to no open request: {message}"


def _find_ran_twice(record, window_s):
    first_runs = {}
    for execution in sorted(record.executions, key=lambda execution: execution.at):
        attempt = record.attempts.get(execution.trace)
        if execution.where != AT_EXECUTOR or attempt is None or not attempt.key:
            continue
        first_attempt, first = first_runs.setdefault(attempt.key, (attempt, execution))
        if first is not execution and attempt.sent_at - first_attempt.sent_at < window_s:
            places = f"{first.host} ({first.process}) and {execution.host} ({execution.process})"
            yield "twice", f"key {attempt.key[:8]} ran at {places}"


def _find_late_starts(record, grace_s):
    for execution in record.executions:
        attempt = record.attempts.get(execution.trace)
        if attempt is None or execution.where != AT_EXECUTOR:
            continue
        for shutdown in record.shutdowns:
            is_same_process = (execution.host, execution.process) == (shutdown.host, shutdown.process)
            if is_same_process and attempt.sent_at > shutdown.at + grace_s:
                late_s = attempt.sent_at - shutdown.at
                yield (
                    "drain",
                    f"{execution.trace} ran at {shutdown.host} and was sent {late_s:.2f} s after the shutdown began",
                )


def _find_rejected_after_run(record):
    ran = {execution.trace for execution in record.executions if execution.where == AT_EXECUTOR}
    for attempt in record.attempts.values():
        if attempt.trace in ran and attempt.answers and attempt.answers[0].kind == REJECTED:
            yield "refused", f"{attempt.trace} at {attempt.host} was rejected after it ran"


def _find_changed(record, expected):
    for attempt in record.attempts.values():
        for answer in attempt.answers:
            if answer.kind == SERVED and answer.result not in expected(attempt.body):
                yield (
                    "changed",
                    f"{attempt.trace} at {attempt.host}: "
                    f"expected one of {sorted(expected(attempt.body))}, got {answer.result!r}",
                )


def _find_over_memory(record):
    for use in record.memory:
        if use.used_mb > use.limit_mb:
            yield "memory", f"{use.host}: {use.used_mb:.0f} MB used, limit {use.limit_mb:.0f} MB"
