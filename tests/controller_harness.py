"""Test settings of the decision module, and a harness that drives a controller through its interface."""

from lapispick import ClassSettings, Controller, Settings, admission

# Class indexes in the settings of ``make_settings``.
IDEMPOTENT = 0
KEYED = 1
AT_MOST_ONCE = 2
SKIPPABLE = 3  # idempotent; its downstream calls can be skipped


def make_class(**overrides):
    """Return the settings of an idempotent request class; keyword arguments override the defaults."""
    defaults = dict(
        latency_objective_ms=1000,
        objective_stretch=0,
        deadline_ms=4000,
        idempotency=admission.Idempotency.IDEMPOTENT,
        idempotency_window_ms=5000,
        priority_weight=1,
        late_weight=0,
        degraded_weight=0,
    )
    return ClassSettings(**{**defaults, **overrides})


def make_settings(**overrides):
    """Return settings with four request classes; keyword arguments override the defaults."""
    defaults = dict(
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
        initial_speed_fraction=0.25,
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
    return Settings(**{**defaults, **overrides})


class ControllerHarness:
    """Controller with a simulated clock and a record of all its actions; keyword arguments override settings."""

    def __init__(self, now=0.0, **overrides):
        self.settings = make_settings(**overrides)
        self.controller = Controller(self.settings, 1, now)
        self.state = self.controller.state
        self.now = now
        self.actions = []
        self.last_id = 0

    def step(self, *events, at=None):
        """Step the controller at the present time, or at ``at`` if it is given; return its actions."""
        if at is not None:
            self.now = at
        actions = self.controller.step(self.now, list(events))
        self.actions += actions
        return actions

    def tick(self, duration_ms, gauges=(1.0, 2.0), interval_ms=40):
        """Advance the clock and fire the timer at each interval; return the actions."""
        actions = []
        ends_at = self.now + duration_ms
        while self.now < ends_at:
            self.now = min(ends_at, self.now + interval_ms)
            actions += self.step(admission.TimerFired(0, gauges))
        return actions

    def request(self, class_index=0, **overrides):
        """Return the event for a new request; keyword arguments override its fields."""
        self.last_id += 1
        defaults = dict(
            id=self.last_id,
            deadline_at=0,
            rank=0.5,
            age_ms=0,
            retry_of=0,
            cost=0,
            request_memory_kb=10,
            class_index=class_index,
            caller=0,
        )
        return admission.RequestReceived(**{**defaults, **overrides})

    def actions_of(self, action_type, request_id=None):
        """Return all actions of a type so far; with ``request_id`` those of this request only."""
        matching = [action for action in self.actions if isinstance(action, action_type)]
        return matching if request_id is None else [action for action in matching if action.id == request_id]

    def final_answers(self, request_id):
        """Return the rejections and failures of a request."""
        return self.actions_of((admission.Reject, admission.Fail), request_id)
