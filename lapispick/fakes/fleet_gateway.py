"""Gateway of an emulated fleet: sends requests at a rate, retries as the protocol allows, and records all attempts."""

import base64
import random
import threading
import time
from typing import Any, NamedTuple

from lapispick.fakes.connection_pool import ConnectionPool
from lapispick.fakes.messages import request_params
from lapispick.fakes.rule_checker import REJECTED, SERVED, Attempt, answer_kind

KEYED_CLASS = "book"
OTHER_CLASS = "track"
KEYED_FRACTION = 0.3
KEYED_WEIGHT = 5.0
OTHER_WEIGHT = 1.0
MAX_ATTEMPTS = 3
MAX_BACKLOG_S = 0.5  # a gateway that falls further behind its rate skips requests
MIN_TIME_LEFT_S = 0.2  # no retry starts closer to the deadline
RETRY_PAUSE_S = (0.02, 0.1)


class Request(NamedTuple):
    """A request and the number of its remaining attempts."""

    class_name: str
    body: str
    key: str
    began_at: float
    due: float
    attempts_left: int = MAX_ATTEMPTS

    @property
    def weight(self):
        """Return the priority weight."""
        return KEYED_WEIGHT if self.class_name == KEYED_CLASS else OTHER_WEIGHT


class Result(NamedTuple):
    """Outcome of a request."""

    request: Request
    is_served: bool
    duration_s: float


class _PendingAttempt(NamedTuple):
    """An attempt without an answer so far."""

    attempt: Attempt
    host: Any
    request: Request


class Gateway(threading.Thread):
    """Sends requests to hosts that the registry lists; ``calls`` is the fraction that calls the store."""

    def __init__(self, fleet, number, rate, calls):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.name = f"g{number}"
        self.rate = rate
        self.calls = calls
        self.random = random.Random(f"{fleet.seed} {number}")
        self.pools = {}
        self.results = []
        self._number = number
        self._stopped = threading.Event()
        self._request_count = 0
        self._avoid_until = {}  # host name -> Unix time when its Retry-After ends

    def run(self):
        due = time.monotonic()
        while not self._stopped.is_set():
            due += self.random.expovariate(self.rate)
            if self._stopped.wait(max(0.0, due - time.monotonic())):
                return
            due = max(due, time.monotonic() - MAX_BACKLOG_S)
            self.send(self._next_request())

    def _next_request(self):
        self._request_count += 1
        class_name = KEYED_CLASS if self.random.random() < KEYED_FRACTION else OTHER_CLASS
        body = f"{self.name}-{self._request_count}"
        if self.random.random() < self.calls:
            body = f"call:{body}"
        key = f"{self.random.getrandbits(128):032x}" if class_name == KEYED_CLASS else ""
        now = time.time()
        return Request(class_name, body, key, now, now + self.fleet.request_timeout_s)

    def send(self, request, host=None, is_retry=False):
        """Send an attempt of a request to a host, by default to a random one that the registry lists."""
        host = host or self._choose_host()
        if host is None:
            self._finish(request, is_served=False)
            return
        now = time.time()
        if now >= request.due:  # the gateway itself is late; a host closes connections with such invalid messages
            self._finish(request, is_served=False)
            return
        trace = f"{self.random.getrandbits(64):016x}"
        attempt = Attempt(
            trace, self.name, host.name, request.class_name, request.body, request.key, now, request.due, is_retry
        )
        self.fleet.record.add_attempt(attempt)
        try:
            self._pool(host).send_request(
                request.class_name, _PendingAttempt(attempt, host, request), self._params(attempt)
            )
        except OSError:  # the host did not accept the connection
            self.fleet.record.remove_attempt(attempt)
            self._retry(request, host if is_retry else None, is_retry)

    def _choose_host(self):
        now = time.time()
        listed = self.fleet.listed_hosts(self.name)
        preferred = [host for host in listed if self._avoid_until.get(host.name, 0.0) < now]
        candidates = preferred or listed
        return self.random.choice(candidates) if candidates else None

    def _pool(self, host):
        if host.name not in self.pools:
            self.pools[host.name] = ConnectionPool(self.fleet.proxied_address(self.name, host), self._on_answer)
        return self.pools[host.name]

    def _params(self, attempt):
        optional = {}
        if attempt.key:
            optional["nonce"] = attempt.key
        if attempt.is_retry:
            optional["redo"] = 1
        return request_params(
            attempt.body,
            trace=attempt.trace,
            born=attempt.sent_at * 1000,
            patience=(attempt.due - attempt.sent_at) * 1000,
            client=self._number,
            **optional,
        )

    def _on_answer(self, sent, message):
        if sent is None:
            self.fleet.record.add_answer(None, message, None)
            return
        attempt, host, request = sent
        result = base64.b64decode(message["result"]["doc"]).decode() if message and "result" in message else None
        self.fleet.record.add_answer(attempt.trace, message, result)
        kind = answer_kind(message) if message else None
        if kind == SERVED:
            self._finish(request, is_served=True)
        elif kind == REJECTED:
            pause_ms = message["error"].get("data", {}).get("pause", 0.0)
            self._avoid_until[host.name] = time.time() + pause_ms / 1000
            self._retry(request, host if attempt.is_retry else None, attempt.is_retry)
        else:  # a keyed attempt may have run, so it goes to the same host only, marked as a retry
            self._retry(request, host if attempt.key else None, is_retry=True)

    def _retry(self, request, host, is_retry):
        """Send another attempt after a pause if attempts and time remain; otherwise finish the request."""
        is_late = time.time() > request.due - MIN_TIME_LEFT_S
        if request.attempts_left <= 1 or is_late or self._stopped.is_set():
            self._finish(request, is_served=False)
            return
        request = request._replace(attempts_left=request.attempts_left - 1)
        timer = threading.Timer(self.random.uniform(*RETRY_PAUSE_S), self.send, (request, host, is_retry))
        timer.daemon = True
        timer.start()

    def _finish(self, request, is_served):
        self.results.append(Result(request, is_served, time.time() - request.began_at))

    def stop(self):
        """Stop sending requests."""
        self._stopped.set()
