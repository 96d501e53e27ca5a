"""Helpers that build settings and drive a controller through its interface, and start hosts."""

import socket

import msgspec
import pytest

from lapispick import ClassSettings, Controller, Settings, admission
from lapispick.fakes.log_events import internal_errors
from lapispick.fakes.peers import Host

# The classes of ``make_settings``.
IDEMPOTENT = 0
KEYED = 1
AT_MOST_ONCE = 2
SKIPPABLE = 3  # idempotent, and its downstream calls can be skipped


def make_class(**over):
    base = dict(
        latency_objective_ms=1000,
        objective_stretch=0,
        deadline_ms=4000,
        idempotency=admission.Idempotency.IDEMPOTENT,
        idempotency_window_ms=5000,
        priority_weight=1,
        late_weight=0,
        degraded_weight=0,
    )
    return ClassSettings(**{**base, **over})


def make_settings(**over):
    base = dict(
        classes=(
            make_class(),
            make_class(idempotency=admission.Idempotency.KEYED, priority_weight=3),
            make_class(idempotency=admission.Idempotency.AT_MOST_ONCE, priority_weight=5),
            make_class(degraded_weight=0.5),
        ),
        weight_by_work=False,
        callers=4,
        lower_tier=False,
        cores=2,
        memory_kb=100_000,
        run_memory_factor=8,
        key_memory_kb=10,
        warming_up=False,
        cold_speed_fraction=0.25,
        warm_up_ms=10_000,
        overload_runs_per_core=8,
        drain_grace_ms=1000,
        cancel_mode=admission.CancelMode.DROP,
        backpressure_signal=admission.BackpressureSignal.LEVEL,
        call_quota=0,
        call_quota_window_ms=5000,
        max_retry_after_ms=1000,
        idle_timeout_ms=30_000,
        gauges=("core_use", "on_cores"),
    )
    return Settings(**{**base, **over})


class ControllerHarness:
    """One controller with a clock of its own and a record of all its actions; settings are keyword arguments."""

    def __init__(self, now=0.0, **over):
        self.settings = make_settings(**over)
        self.controller = Controller(self.settings, 1, now)
        self.state = self.controller.state
        self.now = now
        self.actions = []
        self.next_id = 0

    def step(self, *events, at=None):
        """Step the controller at the present time, or at the time given; return its actions."""
        if at is not None:
            self.now = at
        got = self.controller.step(self.now, list(events))
        self.actions += got
        return got

    def tick(self, ms, gauges=(1.0, 2.0), every=40):
        """Let time pass with the module's timer firing."""
        got = []
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + every)
            got += self.step(admission.TimerFired(0, gauges))
        return got

    def request(self, cls=0, **over):
        self.next_id += 1
        base = dict(
            id=self.next_id,
            deadline_at=0,
            rank=0.5,
            age_ms=0,
            retry_of=0,
            cost=0,
            request_memory_kb=10,
            cls=cls,
            caller=0,
        )
        return admission.RequestReceived(**{**base, **over})

    def actions_of(self, kind, request_id=None):
        """Return the actions of a kind so far, of one request if it is given."""
        found = [action for action in self.actions if isinstance(action, kind)]
        return found if request_id is None else [action for action in found if action.id == request_id]

    def final_answers(self, request_id):
        """Return the rejections and failures that a request got."""
        return self.actions_of((admission.Reject, admission.Fail), request_id)


@pytest.fixture
def make_harness():
    """Return the class of a controller with a record of its actions; its settings are keyword arguments."""
    return ControllerHarness


def replace(settings, **over):
    return msgspec.structs.replace(settings, **over)


@pytest.fixture
def host(tmp_path, monkeypatch):
    """Start worker hosts that are ended with the test; ``beside`` an earlier one, or by themselves."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    started = []

    def start(beside=None, **over):
        started.append(beside.beside(**over) if beside else Host(tmp_path, **over))
        return started[-1]

    yield start
    for each in started:
        each.close()
        assert internal_errors(each.log()) == []


@pytest.fixture
def shared_address():
    """Return what reserves a port for processes that share it, as an address of the configuration."""
    reserved = []

    def reserve():
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", 0))
        reserved.append(sock)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    yield reserve
    for sock in reserved:
        sock.close()
