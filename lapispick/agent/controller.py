"""The controller of a rollout: polls the agents, stores the state and makes the calls that it decides on.

The state is written to disk before any call that follows from it is made. A controller may end at any time; another one
continues from the stored state with a higher epoch, and the agents reject calls with the earlier epoch.
"""

from __future__ import annotations

import datetime
import logging
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from lapispick.agent import line_client
from lapispick.agent.errors import FencedError
from lapispick.agent.managed_host import ManagedHost
from lapispick.agent.rollout_records import Explanation, summarize_fleet
from lapispick.agent.rollout_store import RolloutStore
from lapispick.agent.stage_analysis import StageAnalysis
from lapispick.fleet.hosts import WorkerHost
from lapispick.host.dns_resolver import DnsResolver
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.worker_threads import WorkerThreads
from lapispick.rollout import messages, metrics, pacing, rollout_state, rollout_step
from lapispick.rollout.canary_analysis import AnalysisBounds
from lapispick.rollout.messages import Fence
from lapispick.rollout.pacing import Hours
from lapispick.rollout.rollout_plan import slice_duration_s
from lapispick.rollout.rollout_state import HostCall, HostReport, RolloutState
from lapispick.rollout.step_context import Observations

LOG = "rollout"
CALL_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 64
HEARTBEAT_INTERVAL_S = 1.0
MIN_POLL_PAUSE_S = 0.02
_JOIN_POLL_INTERVAL_S = 0.005


class ControllerOptions(NamedTuple):
    """Settings of a controller."""

    name: str
    poll_interval_s: float
    analysis_bounds: AnalysisBounds
    hours: Hours | None = None  # of the day at which stages may begin; None = at all hours
    excluded_days: tuple[str, ...] = ()
    names_file: str | None = None


class Controller:
    """Controls one rollout."""

    def __init__(
        self,
        rollout_store: RolloutStore,
        state: RolloutState,
        workers: Sequence[WorkerHost],
        options: ControllerOptions,
        accepted_workers: Callable[[], list[WorkerHost] | None] | None = None,
    ) -> None:
        """``accepted_workers`` returns the hosts of a newly accepted list, None if no new list was accepted."""
        self.loop = EventLoop()
        self.worker_threads = WorkerThreads(self.loop)
        self.rollout_store = rollout_store
        self.state = state
        self.hosts = {worker.name: ManagedHost(worker) for worker in workers}
        self.fence = Fence(0, options.name)
        self.ended_reason = ""  # why it stopped before the rollout was over; empty = it has not
        self._options = options
        self._accepted_workers = accepted_workers
        self._dns_resolver = DnsResolver(self.loop, CALL_TIMEOUT_S, options.names_file)
        self._analysis = StageAnalysis(options.analysis_bounds)
        self._last_slice_at = 0.0
        self._last_heartbeat_at = 0.0
        self._stored_note_count = len(state.notes)

    def failpoint(self, name: str) -> None:
        """Mark a named step at which tests may end the process."""

    def run(self) -> RolloutState:
        """Run the rollout until it is over, another controller takes over, or an error occurs; returns its state."""
        self.loop.spawn(self._serve)
        self.loop.run()
        return self.state

    def _serve(self) -> None:
        try:
            self._take_over()
            while not self.state.is_over and not self.ended_reason:
                started_at = time.monotonic()
                self._poll()
                elapsed = time.monotonic() - started_at
                self.loop.sleep(max(MIN_POLL_PAUSE_S, self._options.poll_interval_s - elapsed))
        except FencedError as err:
            self.ended_reason = str(err)
        except Exception as err:  # noqa: BLE001 - agents continue on their own and roll back unconfirmed changes
            log(LOG, logging.ERROR, "controller-failed", error=repr(err))
            self.ended_reason = f"failed: {err!r}"
        self.loop.stop()

    def _take_over(self) -> None:
        self._run_concurrently(list(self.hosts), self._poll_host)
        statuses = [host.status for host in self.hosts.values() if host.status is not None]
        epochs = [messages.parse_fence(status.fence).epoch for status in statuses]
        epoch = self.worker_threads.run(self.rollout_store.take_over, self._options.name, max(epochs, default=0))
        self.fence = Fence(epoch, self._options.name)
        log(
            LOG,
            logging.INFO,
            "control-taken",
            rollout=self.state.name,
            fence=self.fence,
            hosts=len(self.hosts),
        )
        self.failpoint("took-over")

    def _poll(self) -> None:
        """Poll all agents once, decide, store the decision, and make the calls that follow from it."""
        self._update_hosts()
        self._run_concurrently(list(self.hosts), self._poll_host)
        self._analyse()
        now = time.time()
        state = self._state_with_newest_order()
        closed_reason = pacing.closed_reason(datetime.datetime.now(), self._options.hours, self._options.excluded_days)
        observations = Observations(now, self._reports(), self._analysis.verdict, closed_reason)
        decision = rollout_step.decide(state, self.fence, observations)
        if decision.state != self.state:
            self.failpoint("decided")
            self._store(decision.state, now)
            self.failpoint("stored")
        self._send_heartbeat(now)
        if decision.calls:
            self.failpoint("calling")
            self._make_calls(decision.calls)
            self.failpoint("called")

    def _update_hosts(self) -> None:
        if self._accepted_workers is None:
            return
        workers = self.worker_threads.run(self._accepted_workers)
        if workers is None:
            return
        for worker in workers:
            self.hosts.setdefault(worker.name, ManagedHost(worker)).worker = worker
        for name in self.hosts.keys() - {worker.name for worker in workers}:
            del self.hosts[name]

    def _state_with_newest_order(self) -> RolloutState:
        orders = self.worker_threads.run(self.rollout_store.take_orders, self.state.name)
        return msgspec.structs.replace(self.state, order=orders[-1]) if orders else self.state

    def _reports(self) -> dict[str, HostReport]:
        now = time.monotonic()
        return {name: host.report(now) for name, host in self.hosts.items()}

    def _store(self, state: RolloutState, now: float) -> None:
        notes = state.notes[-1:]  # if the list got shorter, its oldest notes were dropped
        if len(state.notes) >= self._stored_note_count:
            notes = state.notes[self._stored_note_count :]
        self.worker_threads.run(self.rollout_store.save, state, now, notes)
        for _, text in notes:
            log(LOG, logging.INFO, "rollout-phase", rollout=state.name, note=text)
        self._stored_note_count = len(state.notes)
        self.state = state

    def _send_heartbeat(self, now: float) -> None:
        if time.monotonic() - self._last_heartbeat_at <= HEARTBEAT_INTERVAL_S:
            return
        self._last_heartbeat_at = time.monotonic()
        reports = self._reports()
        summary = summarize_fleet(rollout_state.deviations(self.state, reports), reports)
        self.worker_threads.run(self.rollout_store.record_heartbeat, self.state.name, now, summary)

    def _analyse(self) -> None:
        """Pass the metrics to the canary analysis, once a whole slice has elapsed."""
        now = time.monotonic()
        if now - self._last_slice_at < slice_duration_s(self.state.plan):
            return
        self._last_slice_at = now
        slices = {name: slice_ for name, host in self.hosts.items() if (slice_ := host.take_slice()) is not None}
        explanation = self._analysis.add(self.state, self._reports(), slices)
        if explanation is not None:
            self._store_explanation(explanation)

    def _store_explanation(self, explanation: Explanation) -> None:
        self.worker_threads.run(self.rollout_store.save_explanation, self.state.name, time.time(), explanation)

    # Calls to agents.

    def _run_concurrently(self, names: list[str], job: Callable[[ManagedHost], None]) -> None:
        """Run a job for several hosts concurrently, and wait until each one has been answered or timed out."""
        remaining = list(reversed(names))
        greenlets = min(MAX_CONCURRENT_CALLS, len(names))
        running = greenlets

        def run_jobs() -> None:
            nonlocal running
            while remaining:
                host = self.hosts.get(remaining.pop())
                if host is not None:
                    job(host)
            running -= 1

        for _ in range(greenlets):
            self.loop.spawn(run_jobs)
        while running:
            self.loop.sleep(_JOIN_POLL_INTERVAL_S)

    def _call(self, host: ManagedHost, line: str) -> list[str]:
        """Call an agent and return the lines of its answer; raises ``OSError`` or ``ValueError``."""
        name, port = line_client.parse_address(host.worker.agent_address)
        return line_client.call(self.loop, (self._dns_resolver.lookup(name)[0], port), line, CALL_TIMEOUT_S)

    def _poll_host(self, host: ManagedHost) -> None:
        if not host.worker.agent_address:
            return
        try:
            host.update_status(messages.decode_status(self._call(host, "status")))
            if host.status is not None and host.status.serving:
                host.update_metrics(metrics.decode_sample(self._call(host, "vars"), time.monotonic()))
        except (OSError, ValueError) as err:
            log(LOG, logging.DEBUG, "agent-unreachable", host=host.worker.name, error=err)

    def _make_calls(self, calls: list[HostCall]) -> None:
        by_host = {host_call.host: host_call.call for host_call in calls}
        self._run_concurrently(list(by_host), lambda host: self._make_call(host, by_host[host.worker.name]))

    def _make_call(self, host: ManagedHost, call: messages.Call) -> None:
        line = messages.encode_call(call)
        try:
            lines = self._call(host, line)
        except (OSError, ValueError) as err:
            log(LOG, logging.WARNING, "agent-call-failed", host=host.worker.name, call=line, error=err)
            return
        answer = lines[0] if lines else "nothing"
        level = logging.INFO if answer.startswith("OK") else logging.WARNING
        log(LOG, level, "agent-call-answered", host=host.worker.name, call=line, answer=answer)
        if answer.startswith("ERR fenced") and messages.parse_fence(answer.split()[2]) > self.fence:
            self.ended_reason = answer
