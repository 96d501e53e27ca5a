"""``lapispick demo``: one worker host among stand-ins, a few seconds of requests, and what became of them."""

from __future__ import annotations

import collections
import random
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any

import click

from lapispick.cli.output import DIFFERS, as_json, complain, say, table

WORK_S, CORES = 0.02, 2  # of the stand-in executor
ANSWERS_S = 10.0  # s; the last answers come within the patience of the last requests, far sooner
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
KINDS = (("track", 0.55), ("book", 0.25), ("book again", 0.1), ("track, hardly any time", 0.1))


def _word(answer: Any) -> str:
    if answer is None:
        return "unanswered"
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == -32050 else "failed"


class _Demo:
    """The host, its stand-ins and the requests."""

    def __init__(self, seed: int, folder: Path) -> None:
        from lapispick.fakes.broker import Broker
        from lapispick.fakes.connection_pool import ConnectionPool
        from lapispick.fakes.executor import Executor
        from lapispick.fakes.host_process import HostProcess
        from lapispick.fakes.messages import request_params
        from lapispick.fakes.start_settings import PLATFORM_INFO

        self.random = random.Random(seed)
        self.broker = Broker()
        host, port = self.broker.address.split(":")
        (folder / "own.conf").write_text(CONF)
        (folder / "brokers.yml").write_text(BROKERS.format(host=host, port=port))
        info = {**PLATFORM_INFO, "FamilyInfo": {**PLATFORM_INFO["FamilyInfo"], "CallsOut": 50.0}}
        self.executor = Executor(WORK_S, CORES)
        self.host = HostProcess(
            folder, environ={"LAPISPICK_CONF": str(folder / "own.conf")}, info=info, executor=self.executor
        )
        self.host.wait_for_log("consuming")
        self.gateway, self._params = ConnectionPool(self.host.address, self._heard), request_params
        self.asked: dict[int, str] = {}  # JSON-RPC: number -> kind
        self.answers: dict[int, Any] = {}  # the same numbers; None: the connection ended before the answer
        self.put: dict[str, str] = {}  # AMQP: correlation id -> kind
        self.books: list[tuple[str, str]] = []  # key and body of each, for repeats

    def ask(self, kind: str, front: str) -> None:
        """Send one request."""
        cls = kind.split()[0].rstrip(",")
        body, key = f"subject-{len(self.asked) + len(self.put)}", uuid.UUID(int=self.random.getrandbits(128)).hex
        if kind == "book again" and self.books:
            key, body = self.random.choice(self.books)
        elif cls == "book" and front == "json-rpc":
            self.books.append((key, body))
        patience = 15 if "hardly" in kind else 1200
        if front == "json-rpc" or kind == "book again":
            number = len(self.asked)
            self.asked[number] = kind
            more = {"nonce": key} if cls == "book" else {}
            self.gateway.send_request(cls, number, self._params(body, patience=patience, **more))
        else:
            self.put[key] = kind
            self.broker.put(
                "jobs", body, type=cls, correlation_id=key, message_id=key, reply_to="answers", expiration=str(patience)
            )

    def _heard(self, number: int, answer: Any) -> None:
        self.answers[number] = answer

    def send(self, seconds: float, rate: float) -> None:
        """Send requests at a rate for a span."""
        kinds, weights = zip(*KINDS, strict=True)
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            self.ask(self.random.choices(kinds, weights)[0], self.random.choice(("json-rpc", "amqp")))
            due += self.random.expovariate(rate)
            time.sleep(max(0.0, due - time.monotonic()))

    def outcomes(self) -> dict[tuple[str, str], collections.Counter[str]]:
        """Wait for all answers and count them by front and kind."""
        found: dict[tuple[str, str], collections.Counter[str]] = {}
        end = time.monotonic() + ANSWERS_S
        while (
            len(self.broker.replies) < len(self.put) or len(self.answers) < len(self.asked)
        ) and time.monotonic() < end:
            time.sleep(0.02)
        for number, kind in self.asked.items():
            found.setdefault(("json-rpc", kind), collections.Counter())[_word(self.answers.get(number))] += 1
        replies = {r.properties.correlation_id: r.properties.type for r in list(self.broker.replies)}
        for key, kind in self.put.items():
            found.setdefault(("amqp", kind), collections.Counter())[replies.get(key, "unanswered")] += 1
        return found

    def doubles(self) -> int:
        """Return how many bookings ran twice, which must be none."""
        runs = collections.Counter(body for _, cls, body in self.executor.runs if cls == "book")
        return sum(count - 1 for count in runs.values())

    def close(self) -> None:
        """End the host and the stand-ins."""
        self.gateway.close()
        self.host.close()
        self.broker.close()


@click.command()
@click.option("--seconds", default=4.0, show_default=True, type=click.FloatRange(0.5, 60))
@click.option(
    "--load",
    default=1.6,
    show_default=True,
    type=click.FloatRange(0.1, 3),
    help="Requests asked for, as a multiple of what the two stand-in cores can do.",
)
@click.option("--seed", default=7, show_default=True)
@click.option("--json", "json_", is_flag=True, help="For programs.")
def demo(seconds: float, load: float, seed: int, json_: bool) -> None:
    """Try it: one worker host on loopback among stand-ins, more requests than it can do, over both fronts."""
    with tempfile.TemporaryDirectory() as folder:
        if not json_:
            say(
                f"seed {seed}: a worker host with {CORES} stand-in cores, {load:g} times what they can do, "
                f"for {seconds:g} s ..."
            )
        try:
            made = _Demo(seed, Path(folder))
            try:
                made.send(seconds, load * CORES / WORK_S)
                found, doubles, log = made.outcomes(), made.doubles(), made.host.log()
            finally:
                made.close()
        except (OSError, AssertionError) as err:  # no port, no host, a stand-in that lost its peer
            raise click.ClickException(f"the demo broke off: {err or type(err).__name__}") from err
    _report(found, doubles, log, json_)
    unanswered = sum(count["unanswered"] for count in found.values())
    if doubles or unanswered:
        complain(f"rules were broken: {unanswered} requests without an answer, {doubles} bookings ran again")
        sys.exit(DIFFERS)


def _report(found: dict[tuple[str, str], collections.Counter[str]], doubles: int, log: str, json_: bool) -> None:
    words = ("served", "refused", "failed", "unanswered")
    grounds = sorted({line.split('text="')[1].rstrip('"') for line in log.splitlines() if 'text="' in line})
    if json_:
        rows: list[dict[str, Any]] = [
            {"front": f, "kind": k, **{w: c[w] for w in words}} for (f, k), c in sorted(found.items())
        ]
        return as_json({"outcomes": rows, "doubles": doubles, "grounds": grounds})
    table(
        "what became of them",
        ("front", "request", *words),
        ((front, kind, *(count[w] for w in words)) for (front, kind), count in sorted(found.items())),
    )
    say("why requests were turned away, in the decision module's words:")
    for ground in grounds:
        say(f"  {ground}")
    return say(f"bookings that ran twice: {doubles}")
