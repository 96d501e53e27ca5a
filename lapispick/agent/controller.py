"""The controller of a rollout: polls the agents, stores the state, and makes the calls that are decided.

The state is on disk before any call that follows from it. A controller may end at any instant; another one continues
from the store, with a higher epoch, and the agents reject the calls of the one before.
"""

from __future__ import annotations

import datetime
import logging
import time
from collections.abc import Callable, Sequence
from pathlib import Path
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
from lapispick.rollout.canary_analysis import Bounds
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
_JOIN_PAUSE_S = 0.005


class ControllerOptions(NamedTuple):
    """How a controller works."""

    name: str
    poll_interval_s: float
    analysis_bounds: Bounds
    hours: Hours | None = None  # when stages may begin
    excluded_days: tuple[str, ...] = ()
    names_file: Path | None = None


class Controller:
    """Controls one rollout."""

    def __init__(
        self,
        store: RolloutStore,
        state: RolloutState,
        workers: Sequence[WorkerHost],
        options: ControllerOptions,
        accepted_workers: Callable[[], list[WorkerHost] | None] | None = None,
    ) -> None:
        """``accepted_workers`` returns the hosts of a list that was accepted just now, None where it did not change."""
        self.loop = EventLoop()
        self.work = WorkerThreads(self.loop)
        self.store = store
        self.state = state
        self.hosts = {worker.name: ManagedHost(worker) for worker in workers}
        self.fence = Fence(0, options.name)
        self.ended_reason = ""  # why this controller is not in charge any more
        self._options = options
        self._accepted_workers = accepted_workers
        self._names = DnsResolver(self.loop, CALL_TIMEOUT_S, options.names_file)
        self._analysis = StageAnalysis(options.analysis_bounds)
        self._slice_at = 0.0
        self._heartbeat_at = 0.0
        self._stored_notes = len(state.notes)

    def point(self, name: str) -> None:
        """Mark a named point; tests end the process at each of them."""

    def run(self) -> RolloutState:
        """Control the rollout until it is over or another controller has taken over; returns its state then."""
        self.loop.spawn(self._serve)
        self.loop.run()
        return self.state

    def _serve(self) -> None:
        try:
            self._take_over()
            while not self.state.is_over and not self.ended_reason:
                began = time.monotonic()
                self._poll()
                elapsed = time.monotonic() - began
                self.loop.sleep(max(MIN_POLL_PAUSE_S, self._options.poll_interval_s - elapsed))
        except FencedError as err:
            self.ended_reason = str(err)
        except Exception as err:  # noqa: BLE001 - the agents go on alone, and roll back what nobody confirms
            log(LOG, logging.ERROR, "controller-failed", error=repr(err))
            self.ended_reason = f"failed: {err!r}"
        self.loop.stop()

    def _take_over(self) -> None:
        self._for_each(list(self.hosts), self._poll_host)
        statuses = [host.status for host in self.hosts.values() if host.status is not None]
        epochs = [messages.parse_fence(status.fence).epoch for status in statuses]
        epoch = self.work.run(self.store.take_over, self._options.name, max(epochs, default=0))
        self.fence = Fence(epoch, self._options.name)
        log(
            LOG,
            logging.INFO,
            "control-taken",
            rollout=self.state.name,
            fence=self.fence,
            hosts=len(self.hosts),
        )
        self.point("took-over")

    def _poll(self) -> None:
        """Poll all agents once, decide, store what was decided, and make the calls that follow from it."""
        self._update_list()
        self._for_each(list(self.hosts), self._poll_host)
        self._analyse()
        now = time.time()
        state = self._with_newest_order()
        closed_reason = pacing.closed_reason(datetime.datetime.now(), self._options.hours, self._options.excluded_days)
        observations = Observations(now, self._reports(), self._analysis.verdict, closed_reason)
        decision = rollout_step.decide(state, self.fence, observations)
        if decision.state != self.state:
            self.point("decided")
            self._store(decision.state, now)
            self.point("stored")
        self._send_heartbeat(now)
        if decision.calls:
            self.point("calling")
            self._make_calls(decision.calls)
            self.point("called")

    def _update_list(self) -> None:
        if self._accepted_workers is None:
            return
        workers = self.work.run(self._accepted_workers)
        if workers is None:
            return
        for worker in workers:
            self.hosts.setdefault(worker.name, ManagedHost(worker)).worker = worker
        for name in self.hosts.keys() - {worker.name for worker in workers}:
            del self.hosts[name]

    def _with_newest_order(self) -> RolloutState:
        orders = self.work.run(self.store.take_orders, self.state.name)
        return msgspec.structs.replace(self.state, order=orders[-1]) if orders else self.state

    def _reports(self) -> dict[str, HostReport]:
        now = time.monotonic()
        return {name: host.report(now) for name, host in self.hosts.items()}

    def _store(self, state: RolloutState, now: float) -> None:
        notes = state.notes[-1:]  # the oldest were dropped
        if len(state.notes) >= self._stored_notes:
            notes = state.notes[self._stored_notes :]
        self.work.run(self.store.save, state, now, notes)
        for _, text in notes:
            log(LOG, logging.INFO, "rollout-phase", rollout=state.name, note=text)
        self._stored_notes = len(state.notes)
        self.state = state

    def _send_heartbeat(self, now: float) -> None:
        if time.monotonic() - self._heartbeat_at <= HEARTBEAT_INTERVAL_S:
            return
        self._heartbeat_at = time.monotonic()
        reports = self._reports()
        summary = summarize_fleet(rollout_state.deviations(self.state, reports), reports)
        self.work.run(self.store.record_heartbeat, self.state.name, now, summary)

    def _analyse(self) -> None:
        """Give the canary analysis a slice of time, once it is long enough."""
        now = time.monotonic()
        if now - self._slice_at < slice_duration_s(self.state.plan):
            return
        self._slice_at = now
        slices = {name: slice_ for name, host in self.hosts.items() if (slice_ := host.take_slice()) is not None}
        explanation = self._analysis.add(self.state, self._reports(), slices)
        if explanation is not None:
            self._store_explanation(explanation)

    def _store_explanation(self, explanation: Explanation) -> None:
        self.work.run(self.store.save_explanation, self.state.name, time.time(), explanation)

    # Calls to agents.

    def _for_each(self, names: list[str], job: Callable[[ManagedHost], None]) -> None:
        """Do a job for hosts, several at once, and wait until each has had its answer or timed out."""
        remaining = list(reversed(names))
        workers = min(MAX_CONCURRENT_CALLS, len(names))
        running = workers

        def work() -> None:
            nonlocal running
            while remaining:
                host = self.hosts.get(remaining.pop())
                if host is not None:
                    job(host)
            running -= 1

        for _ in range(workers):
            self.loop.spawn(work)
        while running:
            self.loop.sleep(_JOIN_PAUSE_S)

    def _call(self, host: ManagedHost, line: str) -> list[str]:
        """Call an agent and return its answer; raises ``OSError`` or ``ValueError``."""
        name, port = line_client.parse_address(host.worker.agent_address)
        return line_client.call(self.loop, (self._names.lookup(name)[0], port), line, CALL_TIMEOUT_S)

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
        self._for_each(list(by_host), lambda host: self._make_call(host, by_host[host.worker.name]))

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
