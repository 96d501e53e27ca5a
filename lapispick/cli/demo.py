"""``lapispick demo``: runs one worker host with fake peers, sends it requests and prints their outcomes."""

from __future__ import annotations

import collections
import enum
import random
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any, NamedTuple

import click

from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table

RUN_DURATION_S = 0.02
CORES = 2  # of the fake executor
MAX_ANSWER_WAIT_S = 10.0  # the last answers are due ``TIMEOUT_MS`` after the last requests, far sooner
ANSWER_POLL_INTERVAL_S = 0.02
TIMEOUT_MS = 1200
SHORT_TIMEOUT_MS = 15  # shorter than a run
CALL_QUOTA_PER_S = 50.0
REJECTED_CODE = -32050
QUEUE = "jobs"
CONF = """
section inventory
    path brokers.yml
    group shops
    look 50ms
    settle 100ms
end
section amqp
    enabled yes
end
"""
BROKERS = """
shops:
  hosts:
    demo-broker:
      ansible_host: {host}
      amqp_port: {port}
      amqp_customer: shop
      amqp_queues: [jobs]
"""


class Front(enum.StrEnum):
    """How a request reaches the host."""

    JSON_RPC = "json-rpc"
    AMQP = "amqp"


class RequestKind(NamedTuple):
    """A kind of request, and its fraction of all requests."""

    name: str
    request_class: str
    fraction: float
    timeout_ms: int = TIMEOUT_MS
    is_retry: bool = False


TRACK = RequestKind("track", "track", 0.55)
BOOK = RequestKind("book", "book", 0.25)
BOOK_RETRY = RequestKind("book again", "book", 0.1, is_retry=True)
TRACK_SHORT_TIMEOUT = RequestKind("track, hardly any time", "track", 0.1, timeout_ms=SHORT_TIMEOUT_MS)
KINDS = (TRACK, BOOK, BOOK_RETRY, TRACK_SHORT_TIMEOUT)
OUTCOMES = ("served", "refused", "failed", "unanswered")

OutcomeCounts = dict[tuple[str, str], collections.Counter[str]]  # by front and kind


class Booking(NamedTuple):
    """A keyed request that may be retried."""

    key: str
    body: str


class Bookings:
    """The bookings sent so far, with the creation times of their attempts (Unix ms)."""

    def __init__(self, window_ms: float) -> None:
        """``window_ms`` is how long after its first attempt a key may be retried, as the host's settings say."""
        self._window_ms = window_ms
        self._attempts: dict[Booking, list[float]] = {}  # the oldest booking first
        self._retryable: collections.deque[Booking] = collections.deque()

    def record_attempt(self, booking: Booking, created_at_ms: float) -> None:
        """Record an attempt that is about to be sent."""
        if booking not in self._attempts:
            self._attempts[booking] = []
            self._retryable.append(booking)
        self._attempts[booking].append(created_at_ms)

    def choose_retryable(self, rng: random.Random, now_ms: float) -> Booking | None:
        """Return a booking whose key may be retried now; None if there is none."""
        while self._retryable and now_ms - self._attempts[self._retryable[0]][0] > self._window_ms:
            self._retryable.popleft()
        return rng.choice(self._retryable) if self._retryable else None

    def second_executions(self, executions: collections.Counter[str]) -> int:
        """Return how often a booking was executed again within its window; expected to be 0.

        ``executions`` counts the executions by body. The attempts of a booking that is absent here were never retried.
        """
        attempts = {booking.body: times for booking, times in self._attempts.items()}
        return sum(
            count - 1
            for body, count in executions.items()
            if max(attempts.get(body, [0.0])) - min(attempts.get(body, [0.0])) <= self._window_ms
        )


class Result(NamedTuple):
    """Result of a demo run."""

    outcomes: OutcomeCounts
    second_executions: int
    rejection_reasons: list[str]

    @property
    def unanswered(self) -> int:
        """Return the number of requests without an answer."""
        return sum(count["unanswered"] for count in self.outcomes.values())


def _outcome(answer: Any) -> str:
    """Return the outcome of a JSON-RPC answer."""
    if answer is None:
        return "unanswered"
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == REJECTED_CODE else "failed"


class _Demo:
    """A worker host with its fake peers, and the requests sent to it with their answers."""

    def __init__(self, seed: int, folder: Path) -> None:
        # Imported here so that the other commands don't load the fakes.
        from lapispick.fakes.broker import Broker
        from lapispick.fakes.connection_pool import ConnectionPool
        from lapispick.fakes.executor import Executor
        from lapispick.fakes.host_process import HostProcess
        from lapispick.fakes.messages import request_params
        from lapispick.fakes.start_settings import make_platform_info

        info = make_platform_info(CallsOut=CALL_QUOTA_PER_S)
        windows_ms = {service["Name"]: service["Window"] for service in info["Services"]}
        self._random = random.Random(seed)
        self._broker = Broker()
        host, port = self._broker.address.split(":")
        conf = folder / "own.conf"
        conf.write_text(CONF)
        (folder / "brokers.yml").write_text(BROKERS.format(host=host, port=port))
        self._executor = Executor(RUN_DURATION_S, CORES)
        self._host = HostProcess(
            folder,
            environ={"LAPISPICK_CONF": str(conf)},
            info=info,
            executor=self._executor,
        )
        self._host.wait_for_log("consuming")
        self._gateway = ConnectionPool(self._host.address, self._on_answer)
        self._request_params = request_params
        self._json_rpc_kinds: list[RequestKind] = []  # by request number
        self._answers: dict[int, Any] = {}  # by request number; None if the connection ended before the answer
        self._amqp_kinds: dict[str, RequestKind] = {}  # by correlation id
        self._bookings = Bookings(windows_ms[BOOK.request_class])

    def run(self, seconds: float, requests_per_s: float) -> Result:
        """Send requests at this mean rate and wait for their answers."""
        end = time.monotonic() + seconds
        next_send_at = time.monotonic()
        while next_send_at < end:
            kind = self._random.choices(KINDS, [kind.fraction for kind in KINDS])[0]
            self._send(kind, self._random.choice((Front.JSON_RPC, Front.AMQP)))
            next_send_at += self._random.expovariate(requests_per_s)
            time.sleep(max(0.0, next_send_at - time.monotonic()))
        self._wait_for_answers()
        return Result(self._outcomes(), self._second_executions(), self._rejection_reasons())

    def close(self) -> None:
        """Stop the host and its peers."""
        self._gateway.close()
        self._host.close()
        self._broker.close()

    def _send(self, kind: RequestKind, front: Front) -> None:
        """Send one request; retries are always sent over JSON-RPC."""
        number = len(self._json_rpc_kinds) + len(self._amqp_kinds)
        booking = Booking(uuid.UUID(int=self._random.getrandbits(128)).hex, f"subject-{number}")
        if kind.is_retry:
            booking = self._bookings.choose_retryable(self._random, time.time() * 1000) or booking
        if front is Front.JSON_RPC or kind.is_retry:
            self._send_json_rpc(kind, booking)
        else:
            self._send_amqp(kind, booking)

    def _send_json_rpc(self, kind: RequestKind, booking: Booking) -> None:
        number = len(self._json_rpc_kinds)
        self._json_rpc_kinds.append(kind)
        created_at_ms = time.time() * 1000
        nonce = {}
        if kind.request_class == BOOK.request_class:
            self._bookings.record_attempt(booking, created_at_ms)
            nonce = {"nonce": booking.key}
        params = self._request_params(booking.body, patience=kind.timeout_ms, born=created_at_ms, **nonce)
        self._gateway.send_request(kind.request_class, number, params)

    def _send_amqp(self, kind: RequestKind, booking: Booking) -> None:
        self._amqp_kinds[booking.key] = kind
        self._broker.put(
            QUEUE,
            booking.body,
            type=kind.request_class,
            correlation_id=booking.key,
            message_id=booking.key,
            reply_to="answers",
            expiration=str(kind.timeout_ms),
        )

    def _on_answer(self, number: int, answer: Any) -> None:
        self._answers[number] = answer

    def _wait_for_answers(self) -> None:
        end = time.monotonic() + MAX_ANSWER_WAIT_S
        while time.monotonic() < end:
            has_replies = len(self._broker.replies) >= len(self._amqp_kinds)
            if has_replies and len(self._answers) >= len(self._json_rpc_kinds):
                return
            time.sleep(ANSWER_POLL_INTERVAL_S)

    def _outcomes(self) -> OutcomeCounts:
        counts: OutcomeCounts = {}
        for number, kind in enumerate(self._json_rpc_kinds):
            outcome = _outcome(self._answers.get(number))
            counts.setdefault((Front.JSON_RPC, kind.name), collections.Counter())[outcome] += 1
        replies = {reply.properties.correlation_id: reply.properties.type for reply in list(self._broker.replies)}
        for key, kind in self._amqp_kinds.items():
            outcome = replies.get(key, "unanswered")
            counts.setdefault((Front.AMQP, kind.name), collections.Counter())[outcome] += 1
        return counts

    def _second_executions(self) -> int:
        """Return the number of repeated executions of bookings; expected to be 0."""
        executions = collections.Counter(run.body for run in self._executor.runs if run.handler == BOOK.request_class)
        return self._bookings.second_executions(executions)

    def _rejection_reasons(self) -> list[str]:
        """Return the distinct reasons of rejections from the host's log."""
        lines = [line for line in self._host.log().splitlines() if 'text="' in line]
        return sorted({line.split('text="')[1].rstrip('"') for line in lines})


def _run(seed: int, folder: Path, seconds: float, load: float) -> Result:
    running_demo = _Demo(seed, folder)
    try:
        return running_demo.run(seconds, load * CORES / RUN_DURATION_S)
    finally:
        running_demo.close()


@click.command()
@click.option("--seconds", default=4.0, show_default=True, type=click.FloatRange(0.5, 60))
@click.option(
    "--load",
    default=1.6,
    show_default=True,
    type=click.FloatRange(0.1, 3),
    help="Offered load, as a multiple of the capacity of the fake executor, which has two cores.",
)
@click.option("--seed", default=7, show_default=True)
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def demo(seconds: float, load: float, seed: int, json_: bool) -> None:
    """Run one worker host with fake peers on loopback, overload it with requests, and print the outcomes."""
    if not json_:
        print_line(
            f"seed {seed}: sending {load:g} times the capacity of one worker host, "
            f"whose fake executor has {CORES} cores, for {seconds:g} s ..."
        )
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = _run(seed, Path(folder), seconds, load)
        except (OSError, AssertionError) as err:  # no free port, the host did not start, or a fake lost its peer
            raise click.ClickException(f"the demo failed: {err or type(err).__name__}") from err
    if json_:
        _print_result_json(result)
    else:
        _print_result(result)
    if result.second_executions or result.unanswered:
        print_error(
            "expected an answer to each request and at most one execution of each booking, got "
            f"{result.unanswered} unanswered requests and {result.second_executions} repeated executions"
        )
        sys.exit(ExitCode.DIFFERENCES)


def _print_result_json(result: Result) -> None:
    rows = []
    for (front, kind), counts in sorted(result.outcomes.items()):
        rows.append({"front": front, "kind": kind, **{outcome: counts[outcome] for outcome in OUTCOMES}})
    print_json({"outcomes": rows, "doubles": result.second_executions, "grounds": result.rejection_reasons})


def _print_result(result: Result) -> None:
    rows = []
    for (front, kind), counts in sorted(result.outcomes.items()):
        rows.append((front, kind, *(counts[outcome] for outcome in OUTCOMES)))
    print_table("outcomes", ("front", "request", *OUTCOMES), rows)
    print_line("rejection reasons of the decision module:")
    for reason in result.rejection_reasons:
        print_line(f"  {reason}")
    print_line(f"bookings that ran twice: {result.second_executions}")
