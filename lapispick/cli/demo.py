"""``lapispick demo``: one worker host among fake peers, a few seconds of requests, and their outcomes."""

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

WORK_S = 0.02  # of each run
CORES = 2  # of the fake executor
MAX_ANSWER_WAIT_S = 10.0  # the last answers are due within the patience of the last requests, far sooner
ANSWER_POLL_INTERVAL_S = 0.02
PATIENCE_MS = 1200
SHORT_PATIENCE_MS = 15  # less than a run takes
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
    """A kind of request, and which fraction of all requests it is."""

    name: str
    request_class: str
    fraction: float
    patience_ms: int = PATIENCE_MS
    is_retry: bool = False


TRACK = RequestKind("track", "track", 0.55)
BOOK = RequestKind("book", "book", 0.25)
BOOK_AGAIN = RequestKind("book again", "book", 0.1, is_retry=True)
TRACK_IN_A_HURRY = RequestKind("track, hardly any time", "track", 0.1, patience_ms=SHORT_PATIENCE_MS)
KINDS = (TRACK, BOOK, BOOK_AGAIN, TRACK_IN_A_HURRY)
OUTCOMES = ("served", "refused", "failed", "unanswered")

OutcomeCounts = dict[tuple[str, str], collections.Counter[str]]  # by front and kind


class Booking(NamedTuple):
    """A keyed request that may be sent again."""

    key: str
    body: str


class Result(NamedTuple):
    """What a demo showed."""

    outcomes: OutcomeCounts
    second_executions: int
    rejection_reasons: list[str]

    @property
    def unanswered(self) -> int:
        """Count the requests without an answer."""
        return sum(count["unanswered"] for count in self.outcomes.values())


def _outcome(answer: Any) -> str:
    """Return the outcome of a JSON-RPC answer."""
    if answer is None:
        return "unanswered"
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == REJECTED_CODE else "failed"


class _Demo:
    """A worker host with its fake peers, and the requests that are sent to it."""

    def __init__(self, seed: int, folder: Path) -> None:
        # Imported here, so that no other command loads the fakes.
        from lapispick.fakes.broker import Broker
        from lapispick.fakes.connection_pool import ConnectionPool
        from lapispick.fakes.executor import Executor
        from lapispick.fakes.host_process import HostProcess
        from lapispick.fakes.messages import request_params
        from lapispick.fakes.start_settings import make_platform_info

        self._random = random.Random(seed)
        self._broker = Broker()
        host, port = self._broker.address.split(":")
        conf = folder / "own.conf"
        conf.write_text(CONF)
        (folder / "brokers.yml").write_text(BROKERS.format(host=host, port=port))
        self._executor = Executor(WORK_S, CORES)
        self._host = HostProcess(
            folder,
            environ={"LAPISPICK_CONF": str(conf)},
            info=make_platform_info(CallsOut=CALL_QUOTA_PER_S),
            executor=self._executor,
        )
        self._host.wait_for_log("consuming")
        self._gateway = ConnectionPool(self._host.address, self._on_answer)
        self._request_params = request_params
        self._json_rpc_kinds: list[RequestKind] = []  # by request number
        self._answers: dict[int, Any] = {}  # by request number; None: the connection ended before the answer
        self._amqp_kinds: dict[str, RequestKind] = {}  # by correlation id
        self._bookings: list[Booking] = []

    def run(self, seconds: float, requests_per_s: float) -> Result:
        """Send requests at a rate for a span, and wait for their answers."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            kind = self._random.choices(KINDS, [kind.fraction for kind in KINDS])[0]
            self._send(kind, self._random.choice((Front.JSON_RPC, Front.AMQP)))
            due += self._random.expovariate(requests_per_s)
            time.sleep(max(0.0, due - time.monotonic()))
        self._wait_for_answers()
        return Result(self._outcomes(), self._second_executions(), self._rejection_reasons())

    def close(self) -> None:
        """End the host and its peers."""
        self._gateway.close()
        self._host.close()
        self._broker.close()

    def _send(self, kind: RequestKind, front: Front) -> None:
        """Send one request; a retry goes over JSON-RPC."""
        number = len(self._json_rpc_kinds) + len(self._amqp_kinds)
        booking = Booking(uuid.UUID(int=self._random.getrandbits(128)).hex, f"subject-{number}")
        if kind.is_retry and self._bookings:
            booking = self._random.choice(self._bookings)
        elif kind.request_class == BOOK.request_class and front is Front.JSON_RPC:
            self._bookings.append(booking)
        if front is Front.JSON_RPC or kind.is_retry:
            self._send_json_rpc(kind, booking)
        else:
            self._send_amqp(kind, booking)

    def _send_json_rpc(self, kind: RequestKind, booking: Booking) -> None:
        number = len(self._json_rpc_kinds)
        self._json_rpc_kinds.append(kind)
        key = {"nonce": booking.key} if kind.request_class == BOOK.request_class else {}
        params = self._request_params(booking.body, patience=kind.patience_ms, **key)
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
            expiration=str(kind.patience_ms),
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
        """Return how often a booking was executed again, which must be never."""
        counts = collections.Counter(run.body for run in self._executor.runs if run.handler == BOOK.request_class)
        return sum(count - 1 for count in counts.values())

    def _rejection_reasons(self) -> list[str]:
        """Return the decision module's reasons from the host's log."""
        lines = [line for line in self._host.log().splitlines() if 'text="' in line]
        return sorted({line.split('text="')[1].rstrip('"') for line in lines})


def _run(seed: int, folder: Path, seconds: float, load: float) -> Result:
    session = _Demo(seed, folder)
    try:
        return session.run(seconds, load * CORES / WORK_S)
    finally:
        session.close()


@click.command()
@click.option("--seconds", default=4.0, show_default=True, type=click.FloatRange(0.5, 60))
@click.option(
    "--load",
    default=1.6,
    show_default=True,
    type=click.FloatRange(0.1, 3),
    help="Requests asked for, as a multiple of what the two cores of the fake executor can do.",
)
@click.option("--seed", default=7, show_default=True)
@click.option("--json", "json_", is_flag=True, help="For programs.")
def demo(seconds: float, load: float, seed: int, json_: bool) -> None:
    """Run one worker host with fake peers on loopback, send it more than it can serve, and print the outcomes."""
    if not json_:
        print_line(
            f"seed {seed}: a worker host with {CORES} cores in its fake executor, {load:g} times what they can do, "
            f"for {seconds:g} s ..."
        )
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = _run(seed, Path(folder), seconds, load)
        except (OSError, AssertionError) as err:  # no port, no host, a fake that lost its peer
            raise click.ClickException(f"the demo broke off: {err or type(err).__name__}") from err
    if json_:
        _print_result_json(result)
    else:
        _print_result(result)
    if result.second_executions or result.unanswered:
        print_error(
            f"rules were broken: {result.unanswered} requests without an answer, "
            f"{result.second_executions} bookings ran again"
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
    print_line("why requests were rejected, in the decision module's words:")
    for reason in result.rejection_reasons:
        print_line(f"  {reason}")
    print_line(f"bookings that ran twice: {result.second_executions}")
