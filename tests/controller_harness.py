"""Settings of the decision module, and a harness that drives a controller through its interface."""

from lapispick import ClassSettings, Controller, Settings, admission

# The classes of ``make_settings``.
IDEMPOTENT = 0
KEYED = 1
AT_MOST_ONCE = 2
SKIPPABLE = 3  # idempotent, and its downstream calls can be skipped


def make_class(**over):
    """Return the settings of a class of idempotent requests, with changes."""
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
    """Return the settings of a decision module with four classes, with changes."""
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
        actions = self.controller.step(self.now, list(events))
        self.actions += actions
        return actions

    def tick(self, ms, gauges=(1.0, 2.0), every=40):
        """Let time pass with the module's timer firing."""
        actions = []
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + every)
            actions += self.step(admission.TimerFired(0, gauges))
        return actions

    def request(self, class_index=0, **over):
        """Return the event of a new request, with changes."""
        self.next_id += 1
        base = dict(
            id=self.next_id,
            deadline_at=0,
            rank=0.5,
            age_ms=0,
            retry_of=0,
            cost=0,
            request_memory_kb=10,
            class_index=class_index,
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
