"""Fleet in simulated time: the real decision code of agents and controller, with random processes and metrics.

A process takes a random time until it accepts clients. Metrics are random by host and class: each host has a level of
its own, all hosts share a fluctuation of the load and a store that may collapse, a warm process serves better than a
cold one, and a faulty generation serves worse. The model does not cover sockets; the tests on running hosts do.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from lapispick.fleet.hosts import WorkerHost
from lapispick.rollout import host_calls, host_step, pacing, rollout_state, rollout_step, stages
from lapispick.rollout.canary_analysis import AnalysisBounds, CanaryAnalysis, Verdict
from lapispick.rollout.compat import FormatSupport
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_actions import Action, Kill, Reload, Start, Terminate
from lapispick.rollout.host_state import HostState, Observation, Role, Timeouts
from lapispick.rollout.messages import Fence, Status
from lapispick.rollout.metrics import ClassCounts, Slice
from lapispick.rollout.rollout_plan import Plan
from lapispick.rollout.rollout_state import HostReport, Phase, RolloutState
from lapispick.rollout.step_context import Observations

FORMATS = {"handover": FormatSupport(1, 1, 1)}
OLD = "a" * 16
NEW = "b" * 16
GENERATIONS = {name: Generation(name, name, "", {}, FORMATS) for name in (OLD, NEW)}
CLASS_FRACTIONS = {"track": 0.33, "quote": 0.32, "ping": 0.2, "book": 0.15}
STAGE_SIZES = ("1", "10%", "50%", "100%")
BOOT_ID = "1"
WARM_UP_S = 10.0
FIRST_STARTS_S = 10.0  # hosts that are down before this time are still in their first start
BASELINE_SLICES = 60
VERDICT_INTERVAL_S = 3
Effect = Callable[[str, float], float]  # (class, warm fraction) -> fraction of the requests that are lost


class SimulatedHost:
    """State of one host and of its agent in simulated time."""

    def __init__(self, name: str, rng: random.Random, start_s: float = 1.0) -> None:
        self.name = name
        self.rng = rng
        self.start_s = start_s
        self.state = HostState(name, good=OLD, target=OLD, boot_id=BOOT_ID)
        self.processes: dict[int, tuple[str, float]] = {}  # number -> generation, time from which it accepts clients
        self.agent_up = True
        self.reachable = True
        self.failing_generations: set[str] = set()  # their processes never accept clients
        self.starts = 0
        self.unserved_fraction = max(0.0, rng.gauss(0.06, 0.03))
        self._last_report: tuple[float, Status] | None = None

    def observe(self, now: float) -> Observation:
        """Return the agent's observation of its host."""
        accepting = frozenset(number for number, (_, accepts_at) in self.processes.items() if accepts_at <= now)
        return Observation(frozenset(self.processes), accepting, GENERATIONS, BOOT_ID)

    def step(self, now: float) -> None:
        """Let the agent observe its host, decide and act once."""
        if not self.agent_up:
            return
        decision = host_step.decide(self.state, now, self.observe(now), Timeouts())
        self.state = decision.state
        for action in decision.actions:
            self.act(action, now)

    def act(self, action: Action, now: float) -> None:
        """Carry out an action of the agent."""
        if isinstance(action, Start):
            if action.process.number not in self.processes:
                self._start(action.process.number, action.process.generation, now)
        elif isinstance(action, Reload):
            _, accepts_at = self.processes[action.process.number]
            self.processes[action.process.number] = (action.process.generation, accepts_at)
        elif isinstance(action, Terminate | Kill):
            self.processes.pop(action.number, None)

    def _start(self, number: int, generation: str, now: float) -> None:
        self.starts += 1
        is_failing = generation in self.failing_generations
        accepts_at = math.inf if is_failing else now + self.start_s * self.rng.uniform(0.5, 2)
        self.processes[number] = (generation, accepts_at)

    def report(self, now: float) -> HostReport:
        """Return the newest report of the host that a controller has received."""
        if self.agent_up and self.reachable:
            self._last_report = (now, host_calls.status_of(self.state, now, self.observe(now)))
        if self._last_report is None:
            return HostReport(None, math.inf)
        reported_at, status = self._last_report
        return HostReport(status, now - reported_at)

    def serving(self, now: float) -> tuple[str, float]:
        """Return the generation that serves and for how long; an empty name and 0 if none serves."""
        process = self.state.process(Role.SERVING)
        if process is None or process.number not in self.processes:
            return "", 0.0
        generation, accepts_at = self.processes[process.number]
        return ("", 0.0) if accepts_at > now else (generation, now - accepts_at)


def draw_binomial(rng: random.Random, n: int, p: float) -> int:
    """Draw a binomially distributed number; uses the normal distribution where it is a close approximation."""
    p = min(0.98, max(0.0, p))
    if n * p * (1 - p) < 9:
        return sum(rng.random() < p for _ in range(n))
    return min(n, max(0, round(rng.gauss(n * p, math.sqrt(n * p * (1 - p))))))


class SimulatedFleet:
    """Hosts under load, and a controller with its canary analysis.

    ``effect`` returns the fraction of requests that the new generation loses. ``harm``, multiplied by the fraction of
    changed hosts, is added to the unserved fraction of unchanged hosts. ``drift`` is the standard deviation of the
    change of a host's unserved fraction in a second.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        plan: dict[str, Any] | None = None,
        sizes: tuple[str, ...] = STAGE_SIZES,
        rate: float = 60.0,
        effect: Effect | None = None,
        harm: float = 0.0,
        drift: float = 0.002,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.effect = effect
        self.harm = harm
        self.drift = drift
        self.hosts = {f"d{n:04}": SimulatedHost(f"d{n:04}", random.Random(f"{seed} {n}")) for n in range(size)}
        self.rollout = RolloutState(f"r{seed}", self._plan(f"r{seed}", plan or {}, sizes))
        self.analysis: CanaryAnalysis | None = None
        self.verdict: Verdict | None = None
        self.baseline: list[dict[str, Slice]] = []
        self.common_wave = 0.0
        self.store_collapse = 0.0
        self.lost_requests = 0.0
        self.requests = 0.0
        self.served_without_change = 0.0
        self.max_down = 0
        self._analysed_stage = -1

    def _plan(self, rollout: str, overrides: dict[str, Any], sizes: tuple[str, ...]) -> Plan:
        workers = [
            WorkerHost(
                name, f"{name}:1", agent_address=f"{name}:2", zone=f"z{n % 3}", machine="old" if n % 2 else "new"
            )
            for n, name in enumerate(self.hosts)
        ]
        max_changing = max(2, len(workers) // 20)
        values = {
            "warm_up_s": WARM_UP_S,
            "min_bake_s": 60.0,
            "max_bake_s": 180.0,
            "confirm_timeout_s": 900.0,
            "baseline_s": 30.0,
            "max_concurrent_rollbacks": max_changing,
            "pace": pacing.Limits(max_changing, 0.8),
            **overrides,
        }
        assigned = stages.assign(workers, [stages.parse_size(size) for size in sizes], rollout, stages.Limits(0.6))
        kinds = {worker.name: worker.kind for worker in workers}
        return Plan(NEW, tuple(map(tuple, assigned)), host_kinds=kinds, **values)

    def draw_slice(self, host: SimulatedHost, harm: float) -> Slice | None:
        """Draw the metrics of one host for a second; None if it does not serve."""
        generation, age_s = host.serving(self.now)
        warm = min(1.0, age_s / WARM_UP_S)
        host.unserved_fraction = max(0.0, host.unserved_fraction + self.rng.gauss(0, self.drift))
        unserved = host.unserved_fraction + self.common_wave + self.store_collapse + harm + 0.1 * (1 - warm)
        classes = {}
        for name, request_fraction in CLASS_FRACTIONS.items():
            counts = self._draw_class(name, request_fraction, generation, unserved, warm)
            if counts is not None:
                classes[name] = counts
        if not generation:
            return None
        runs = sum(counts.requests - counts.rejected for counts in classes.values())
        return Slice(host.name, 1.0, classes, runs, int(30_000 + self.rng.gauss(0, 200)))

    def _draw_class(
        self, name: str, request_fraction: float, generation: str, unserved: float, warm: float
    ) -> ClassCounts | None:
        requests = max(0, round(self.rng.gauss(self.rate * request_fraction, math.sqrt(self.rate * request_fraction))))
        lost_fraction = self.effect(name, warm) if self.effect is not None and generation == NEW else 0.0
        self.requests += requests
        self.served_without_change += requests * (1 - min(1.0, unserved))
        if not generation:
            self.lost_requests += requests * (1 - min(1.0, unserved))
            return None
        rejected = draw_binomial(self.rng, requests, unserved + lost_fraction)
        self.lost_requests += requests * min(lost_fraction, 1.0)
        failed = draw_binomial(self.rng, requests - rejected, 0.01)
        served = requests - rejected - failed
        times = {
            16.0: draw_binomial(self.rng, requests, 0.5),
            32.0: draw_binomial(self.rng, requests, 0.4),
            64.0: draw_binomial(self.rng, requests, 0.09),
        }
        late = draw_binomial(self.rng, served, 0.02)
        return ClassCounts(requests, rejected, failed, late, float(served), times)

    def reports(self) -> dict[str, HostReport]:
        """Return the newest reports that the controller has received, by host."""
        return {name: host.report(self.now) for name, host in self.hosts.items()}

    def second(self) -> None:
        """Simulate one second: agents act, metrics arrive, and the controller decides."""
        self.now += 1.0
        for host in self.hosts.values():
            host.step(self.now)
        down = sum(not host.serving(self.now)[0] for host in self.hosts.values())
        self.max_down = max(self.max_down, down if self.now > FIRST_STARTS_S else 0)
        self.common_wave = max(0.0, 0.9 * self.common_wave + self.rng.gauss(0, 0.02))
        self._analyse(self._draw_slices())
        observations = Observations(self.now, self.reports(), self.verdict)
        decision = rollout_step.decide(self.rollout, Fence(1, "sim"), observations)
        self.rollout = decision.state
        for host_call in decision.calls:
            host = self.hosts[host_call.host]
            if host.agent_up and host.reachable:
                result = host_calls.handle_call(host.state, host_call.call, self.now, host.observe(self.now))
                host.state = result.state

    def _draw_slices(self) -> dict[str, Slice]:
        changed = sum(host.serving(self.now)[0] == NEW for host in self.hosts.values())
        harm = self.harm * changed / len(self.hosts)
        slices = {}
        for name, host in self.hosts.items():
            slice_ = self.draw_slice(host, harm if host.serving(self.now)[0] == OLD else 0.0)
            if slice_ is not None:
                slices[name] = slice_
        return slices

    def _analyse(self, slices: dict[str, Slice]) -> None:
        """Update the canary analysis, its verdict and the baseline as the controller does."""
        rollout = self.rollout
        if rollout.phase in (Phase.CHANGING, Phase.BAKING):
            groups = rollout_state.comparison_groups(rollout, self.reports())
            if self._analysed_stage != rollout.stage:
                self._analysed_stage = rollout.stage
                self.verdict = None
                self.analysis = self._new_analysis()
            assert self.analysis is not None
            if groups.changed and groups.unchanged:
                self.analysis.add_canary(groups.changed, groups.unchanged, slices)
            if int(self.now) % VERDICT_INTERVAL_S == 0:
                self.verdict = self.analysis.verdict()
        if not rollout.is_over:
            untouched = {name: slice_ for name, slice_ in slices.items() if name not in rollout.touched_hosts}
            self.baseline = [*self.baseline, untouched][-BASELINE_SLICES:]

    def _new_analysis(self) -> CanaryAnalysis:
        rollout = self.rollout
        analysis = CanaryAnalysis(AnalysisBounds(stage_count=len(rollout.plan.stages)), dict(rollout.plan.host_kinds))
        for slices in self.baseline:
            unchanged = [name for name in slices if name not in rollout.touched_hosts]
            analysis.add_baseline(rollout.stage_hosts, unchanged, slices)
        return analysis

    def play(self, max_s: float = 5000.0, order: str = "go") -> RolloutState:
        """Simulate until the rollout is over; an operator answers each request for a decision with the same order."""
        while not self.rollout.is_over and self.now < max_s:
            if self.rollout.phase == Phase.AWAITING_DECISION:
                self.rollout.order = order
            self.second()
        return self.rollout


__all__ = ["GENERATIONS", "NEW", "OLD", "SimulatedFleet", "SimulatedHost"]
