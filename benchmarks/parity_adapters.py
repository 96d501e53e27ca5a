"""Adapters between ``benchmarks/state_parity.py`` and the program.

Among the parity tools, only this file uses names of the program, so a rename in the program needs a change only here.
The adapters return stable representations: encoded messages and records as bytes, times as floats, verdicts and states
by their values. The kinds of frames are hashed too, so they keep their original names.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol
from unittest import mock

import msgspec

from benchmarks import rollout_model
from lapispick.durable import records as durable
from lapispick.handover import messages
from lapispick.idempotency.ownership import KeyOwnership, Role
from lapispick.idempotency.states import KeyLifecycleError, Verdict
from lapispick.idempotency.table import IdempotencyRecord, IdempotencyTable
from lapispick.members import messages as member_messages
from lapispick.members.failure_detector import Outgoing
from lapispick.model import fault_script
from lapispick.model.cluster import SimulatedCluster, host_names, member_factory
from lapispick.rollout import host_actions, host_calls, host_step, rollout_step
from lapispick.rollout import messages as rollout_messages
from lapispick.rollout.canary_analysis import CanaryAnalysis
from lapispick.rollout.canary_analysis import Verdict as CanaryVerdict
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_state import HostState, Observation, Timeouts
from lapispick.rollout.rollout_state import HostReport, Phase, RolloutState, deviations
from lapispick.rollout.step_context import Observations

RecordFrame = Callable[[str, bytes], None]  # takes the kind and the content of a frame
encode_json = msgspec.json.Encoder().encode
MESSAGE_KIND_FIELD = "say"


def message_kind(line: bytes) -> str:
    """Return the kind of an encoded message."""
    return str(msgspec.json.decode(line)[MESSAGE_KIND_FIELD])


# Membership and leases.


class MemberFleet(SimulatedCluster):
    """A simulated cluster that records each datagram, lease event and membership change with its time."""

    def __init__(
        self,
        seed: int,
        size: int,
        script_text: str,
        loss_fraction: float,
        slot_counts: dict[str, int],
        record: RecordFrame,
    ) -> None:
        self._record = record
        factory = member_factory(host_names(size), slot_counts=slot_counts)
        super().__init__(seed, size, factory, fault_script.parse(script_text), loss_fraction)

    def send(self, name: str, outgoing: Sequence[Outgoing]) -> None:
        """Record the datagrams of a member before the links lose, delay or deliver them."""
        for to, message in outgoing:
            datagram = member_messages.encode_datagram(message)
            header = f"{self.now!r} {name} {to} ".encode()
            self._record(f"datagram {message_kind(datagram)}", header + datagram)
        for event in self.members[name].leases.take_events():
            kind, *details = event
            self._record(f"lease {kind}", encode_json([self.now, name, *details]))
        recorded_count = len(self.changes)
        super().send(name, outgoing)
        for at, observer, change in self.changes[recorded_count:]:
            self._record("membership", encode_json([at, observer, *change]))

    def request_lease(self, name: str, lease: str, owner: str, priority: int) -> int:
        """Request a lease for an owner; return its fencing token, or 0 while the request waits."""
        status = self.members[name].leases.request(self.clock(name), lease, owner, priority)
        return 0 if status is None else status.fencing_token

    def release_lease(self, name: str, lease: str, owner: str) -> None:
        """Release the lease of an owner."""
        self.send(name, self.members[name].leases.release(self.clock(name), lease, owner))

    def publish_fact(self, name: str, kind: str, subject: str, value: float, count: int) -> None:
        """Publish a gossip fact from a member."""
        self.members[name].publish_fact(self.clock(name), kind, subject, value, count, "text")

    def change_configuration(self, name: str, names: list[str], digest: str) -> None:
        """Set another list of members at a member."""
        self.members[name].set_configuration(names, digest, self.clock(name))

    def exchange_states(self, first: str, second: str) -> None:
        """Exchange the complete states of two members, as over a stream connection."""
        self._send_state(first, second, is_reply=False)
        self._send_state(second, first, is_reply=True)

    def _send_state(self, sender: str, receiver: str, is_reply: bool) -> None:
        line = member_messages.encode(self.members[sender].state_sync(self.clock(sender), is_reply))
        self._record("view", line)
        self.members[receiver].merge_state(self.clock(receiver), member_messages.decode(line))

    def record_states(self) -> None:
        """Record the complete state and the leases of every member."""
        for name in self.names:
            now = self.clock(name)
            member = self.members[name]
            self._record("view", member_messages.encode(member.state_sync(now)))
            leases = [
                [status.owner, status.lease, status.slot, status.fencing_token, status.remaining_s]
                for status in member.leases.statuses(now)
            ]
            self._record("turns", encode_json(leases))


# Rollouts.

OLD_GENERATION, NEW_GENERATION = rollout_model.OLD, rollout_model.NEW
GENERATIONS = rollout_model.GENERATIONS
LEASE_WAIT_S = 20.0
AGENT_ACTIONS = {
    host_actions.Start: "start",
    host_actions.Reload: "reload",
    host_actions.Terminate: "term",
    host_actions.Kill: "kill",
}


class AgentView(NamedTuple):
    """Observations of an agent: boot id, unresponsive processes, and whether it has the lease to change its host."""

    boot_id: str = "1"
    unresponsive: bool = False
    has_lease: bool = False


class RolloutConditions(Protocol):
    """Conditions that a scenario adds to the rollout model."""

    def memory_and_broken_rules(self, name: str) -> tuple[int, int]:
        """Return the memory in KB and the number of broken rules of a host."""

    def closed_reason(self, now: float) -> str:
        """Return the reason that no stage may begin at this time; empty if one may."""

    def agent_view(self, name: str) -> AgentView:
        """Return the observations of the agent of a host."""


class RolloutFleet(rollout_model.SimulatedFleet):
    """A simulated fleet with stable method names for the faults and orders of a scenario."""

    @property
    def names(self) -> list[str]:
        """Return the names of the hosts on the list."""
        return list(self.hosts)

    @property
    def is_over(self) -> bool:
        """Return True if the rollout has ended."""
        return self.rollout.is_over

    @property
    def awaits_operator(self) -> bool:
        """Return True if the rollout waits for a decision of an operator."""
        return self.rollout.phase in (Phase.AWAITING_DECISION, Phase.HELD)

    @property
    def is_rolling_back(self) -> bool:
        """Return True if the rollout is being rolled back."""
        return self.rollout.phase == Phase.ROLLING_BACK

    def give_order(self, text: str) -> None:
        """Give an operator's order: ``go``, ``hold`` or ``back``."""
        self.rollout.order = text

    def lose_old_generation(self) -> None:
        """Remove the old generation from the generations stored at all hosts."""
        GENERATIONS.pop(OLD_GENERATION, None)

    def restore_old_generation(self) -> None:
        """Store the old generation at all hosts again."""
        formats = rollout_model.FORMATS
        GENERATIONS[OLD_GENERATION] = Generation(OLD_GENERATION, OLD_GENERATION, "", {}, formats)

    def make_change_reloadable(self) -> None:
        """Make the new generation differ from the old one only in settings that a reload applies."""
        formats = rollout_model.FORMATS
        GENERATIONS[NEW_GENERATION] = Generation(NEW_GENERATION, OLD_GENERATION, "", {"stop_ms": 5000}, formats)

    def kill_processes(self, name: str) -> None:
        """End all processes of a host."""
        self.hosts[name].processes.clear()

    def fail_new_generation(self, name: str) -> None:
        """Make processes of the new generation at a host never accept clients."""
        self.hosts[name].failing_generations.add(NEW_GENERATION)

    def set_reachable(self, name: str, reachable: bool) -> None:
        """Set whether the agent of a host is reachable."""
        self.hosts[name].reachable = reachable

    def set_agent_running(self, name: str, running: bool) -> None:
        """Set whether the agent of a host runs."""
        self.hosts[name].agent_up = running

    def remove_host(self, name: str) -> Any:
        """Remove a host from the list; return it for ``restore_host``."""
        return self.hosts.pop(name)

    def restore_host(self, name: str, host: Any) -> None:
        """Add a removed host to the list again."""
        self.hosts[name] = host


class RolloutDecisions:
    """Wrappers of the decisions of agents, controller and canary analysis that record each decision."""

    def __init__(self, record: RecordFrame, conditions: RolloutConditions) -> None:
        self._record = record
        self._conditions = conditions
        self._decide_host = host_step.decide
        self._handle_call = host_calls.handle_call
        self._decide_rollout = rollout_step.decide
        self._compute_verdict = CanaryAnalysis.verdict

    def step_agent(self, state: HostState, now: float, observation: Observation, timeouts: Timeouts) -> Any:
        """Decide a step of an agent under the conditions of the scenario, and record it."""
        observation = _apply_agent_view(observation, self._conditions.agent_view(state.host))
        decision = self._decide_host(state, now, observation, Timeouts(rollback_lease_wait_s=LEASE_WAIT_S))
        self._record(f"agent {decision.state.phase}", encode_json([now, decision.state]))
        for action in decision.actions:
            self._record(f"agent orders {AGENT_ACTIONS[type(action)]}", encode_json(action))
        return decision

    def call_agent(self, state: HostState, call: rollout_messages.Call, now: float, observation: Observation) -> Any:
        """Handle a call to an agent in its encoded form; record the result and the status of the agent."""
        line = rollout_messages.encode_call(call)
        result = self._handle_call(state, rollout_messages.decode_call(line), now, observation)
        self._record("call", encode_json([now, line, [result.answer], result.state]))
        for status_line in rollout_messages.encode_status(host_calls.status_of(result.state, now, observation)):
            self._record("status", status_line.encode())
        return result

    def step_controller(self, state: RolloutState, fence: Any, observations: Observations) -> Any:
        """Decide a step of the controller under the conditions of the scenario, and record it."""
        now = observations.now
        reports = {
            name: _with_metrics(report, *self._conditions.memory_and_broken_rules(name))
            for name, report in observations.reports.items()
        }
        closed_reason = self._conditions.closed_reason(now)
        observations = observations._replace(reports=reports, closed_reason=closed_reason)
        decision = self._decide_rollout(state, fence, observations)
        self._record(f"course {decision.state.phase}", encode_json([now, decision.state]))
        self._record("deviations", encode_json(deviations(decision.state, reports)))
        return decision

    def compute_verdict(self, analysis: CanaryAnalysis) -> CanaryVerdict:
        """Compute and record the verdict of the canary analysis."""
        verdict = self._compute_verdict(analysis)
        outcome = verdict.outcome.value
        self._record(f"verdict {outcome}", encode_json([outcome, verdict.reason, verdict.results]))
        return verdict


@contextmanager
def recorded_rollout(record: RecordFrame, conditions: RolloutConditions) -> Iterator[None]:
    """Record the decisions of agents, controller and canary analysis within this context; restore generations after."""
    decisions = RolloutDecisions(record, conditions)
    with (
        mock.patch.dict(GENERATIONS),
        mock.patch.object(host_step, "decide", decisions.step_agent),
        mock.patch.object(host_calls, "handle_call", decisions.call_agent),
        mock.patch.object(rollout_step, "decide", decisions.step_controller),
        mock.patch.object(CanaryAnalysis, "verdict", lambda analysis: decisions.compute_verdict(analysis)),
    ):
        yield


def _apply_agent_view(observation: Observation, view: AgentView) -> Observation:
    unresponsive = observation.accepting if view.unresponsive else frozenset()
    return observation._replace(boot_id=view.boot_id, unresponsive=unresponsive, has_lease=view.has_lease)


def _with_metrics(report: HostReport, memory_kb: int, broken_rules: int) -> HostReport:
    return report._replace(memory_kb=memory_kb, broken_rules=broken_rules)


# Idempotency keys shared by two processes of one host.

VERDICTS = {
    Verdict.RUN: "run",
    Verdict.WAIT: "wait",
    Verdict.COALESCE: "join",
    Verdict.REJECT: "refuse",
    Verdict.FAIL: "fail",
    Verdict.REPLAY: "result",
    Verdict.MISMATCH: "other",
}
ROLES = {Role.STANDALONE: "alone", Role.OWNER: "owner", Role.FOLLOWER: "follower", Role.SUSPENDED: "shut"}


class KeyProcess:
    """One of two processes that share idempotency keys; it appends its encoded messages to ``outbox``."""

    def __init__(self, name: str, window_ms: float, max_result_bytes: int, record: RecordFrame) -> None:
        self.name, self._record = name, record
        self.outbox: list[bytes] = []
        self.is_stalled = False
        self.running: list[tuple[int, tuple[str, ...]]] = []  # attempts that run here, with their keys
        self._table = IdempotencyTable(max_result_bytes)
        self._ownership = KeyOwnership(self._table, window_ms)
        self._ownership.send = self._send
        self._ownership.has_unsent = lambda: self.is_stalled
        self._ownership.on_verdict = self._on_verdict
        self._ownership.on_completed = self._on_completed
        self._attempt_keys: dict[int, tuple[str, ...]] = {}

    def _record_frame(self, kind: str, *values: object) -> None:
        self._record(kind, encode_json([self.name, *values]))

    def _send(self, message: messages.Message) -> None:
        line = messages.encode(message)
        self._record(f"message {message_kind(line)}", self.name.encode() + b" " + line)
        self.outbox.append(line)

    def _on_verdict(self, number: int, verdict: Verdict) -> None:
        self._record_frame(f"settled {VERDICTS[verdict]}", number)
        self._apply_verdict(number, verdict)

    def _on_completed(self, waiter: int, result: str | None) -> None:
        self._record_frame("joined ended", waiter, result)

    def _apply_verdict(self, number: int, verdict: Verdict) -> None:
        key = self._attempt_keys[number]
        if verdict is Verdict.RUN:
            self.running.append((number, key))
        elif verdict is Verdict.COALESCE:
            self._coalesce(number, key)

    def _coalesce(self, number: int, key: tuple[str, ...]) -> None:
        record = self._table.get(key)
        if record is None or record.completed:
            self._record_frame("result", number, None if record is None else record.result)
        else:
            record.waiters.append(number)

    def arrive(
        self,
        number: int,
        key: tuple[str, ...],
        created_at_ms: float,
        expires_at_ms: float,
        request_digest: int,
        is_retry: bool,
        now: float,
    ) -> None:
        """Claim a key for an attempt, as the host does when the decision module starts a run."""
        self._attempt_keys[number] = key
        record = self._table.find(key, created_at_ms)
        if record is None or not record.executed_attempt:
            record = self._table.retain(key, number, created_at_ms, expires_at_ms, request_digest)
        verdict = self._ownership.claim(number, record, created_at_ms, expires_at_ms, is_retry, now)
        self._record_frame(f"verdict {VERDICTS[verdict]}", number)
        self._apply_verdict(number, verdict)

    def end_run(self, index: int, result: str | None, executed: bool) -> None:
        """Complete a run with its result, or release its key if it did not execute."""
        number, key = self.running.pop(index)
        record = self._table.get(key)
        if record is None or record.executed_attempt != number:
            return
        if executed:
            self._ownership.complete(record, result)
        else:
            self._ownership.release(record)

    def receive(self, line: bytes) -> None:
        """Process an encoded message of the other process."""
        self._ownership.receive(messages.decode(line))

    def on_flushed(self) -> None:
        """Process the event that all messages were sent."""
        self._ownership.on_flushed()

    def expire(self, now: float) -> None:
        """End expired claims and remove expired idempotency records."""
        self._record_frame("expired", self._ownership.expire_claims(now))
        for record in self._table.expired(now):
            self._table.remove(record)

    def connect(self, owner: bool) -> None:
        """Begin to share keys; the owner sends a snapshot of its keys."""
        self._ownership.on_peer_connected(Role.OWNER if owner else Role.FOLLOWER)
        if owner:
            for message in self._ownership.snapshot([record.key for record in self._table]):
                self._send(message)

    def disconnect(self, peer_ended: bool, ended_at: float) -> None:
        """Continue without the other process."""
        self._ownership.on_peer_lost(peer_ended, ended_at)

    def limit_results(self, max_result_bytes: int) -> None:
        """Set the limit of retained results in bytes."""
        self._table.max_result_bytes = max_result_bytes
        self._table.trim()

    def record_table(self) -> None:
        """Record the role and all idempotency records."""
        self._record_frame(
            "table",
            ROLES[self._ownership.role],
            self._table.result_bytes,
            [_table_row(record) for record in self._table],
        )


def _table_row(record: IdempotencyRecord) -> list[object]:
    return [
        record.key,
        record.owner_attempt,
        record.expires_at_ms,
        record.request_digest,
        record.executed_attempt,
        record.completed,
        record.result,
        record.waiters,
    ]


# Idempotency keys on disk.


class DurableKeys:
    """The durable records of idempotency keys; each record is written as a frame after its change."""

    def __init__(self, record: RecordFrame) -> None:
        self._record = record
        self._stored: dict[str, durable.DurableRecord] = {}
        self.incarnation = 1

    @property
    def names(self) -> list[str]:
        """Return the keys that have a stored record."""
        return list(self._stored)

    def arrive(self, name: str, body: bytes, created_at_ms: float, window_ms: float, now: float) -> None:
        """Decide an attempt and record the verdict; store the intent if the attempt may run."""
        stored = self._stored.get(name)
        verdict = durable.decide(stored, body, now)
        self._record(f"durable {VERDICTS[verdict]}", name.encode())
        if verdict is Verdict.RUN:
            self._store(name, lambda: durable.intend(stored, self.incarnation, body, created_at_ms, window_ms, now))

    def step(self, name: str, action: str, result: bytes) -> None:
        """Apply a step to a stored key; record an error if the state of the key does not allow the step."""
        stored = self._stored[name]
        if action == "withdraw":
            self._store(name, lambda: durable.withdraw(stored))
            return
        steps: dict[str, Callable[[], durable.DurableRecord]] = {
            "start": lambda: durable.start(stored),
            "finish": lambda: durable.complete(stored, result),
            "fail": lambda: durable.fail(stored),
            "resolve": lambda: durable.resolve(stored, result),
        }
        self._store(name, steps[action])

    def restart(self, now: float) -> None:
        """Recover all stored records, as a new incarnation does."""
        self.incarnation += 1
        for name, stored in list(self._stored.items()):
            self._store(name, lambda stored=stored: durable.recover(stored, self.incarnation, now))  # type: ignore[misc]

    def _store(self, name: str, step: Callable[[], durable.DurableRecord | None]) -> None:
        try:
            updated = step()
        except KeyLifecycleError:
            self._record("durable error", name.encode())
            return
        if updated is None:
            del self._stored[name]
            self._record("durable deleted", name.encode())
            return
        self._stored[name] = updated
        row = [
            name,
            int(updated.state),
            updated.incarnation,
            updated.created_at_ms,
            updated.expires_at_ms,
            updated.request_digest,
            updated.result,
        ]
        self._record("durable row", encode_json(row))


def seeded_random(*parts: object) -> random.Random:
    """Return a random generator with a seed of several parts."""
    return random.Random(" ".join(str(part) for part in parts))
