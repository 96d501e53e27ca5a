"""The adapters between ``benchmarks/state_parity.py`` and the project: all uses of project names stand in this file.

A change of the project's names is followed here and nowhere else in the parity tools. What the adapters hand out is
stable: encoded messages and records as bytes, times as floats, verdicts and states by their values. The kinds of frames
are hashed too, so they keep the names that they had at first.
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

Record = Callable[[str, bytes], None]  # the kind of a frame, and its content
encode_json = msgspec.json.Encoder().encode
MESSAGE_KIND = "say"  # the field of an encoded message that tells its kind


def message_kind(line: bytes) -> str:
    """Return the kind of an encoded message."""
    return str(msgspec.json.decode(line)[MESSAGE_KIND])


# Membership and leases.


class MemberFleet(SimulatedCluster):
    """A simulated cluster of which every datagram and change is recorded with its time."""

    def __init__(
        self, seed: int, size: int, script_text: str, loss: float, slot_counts: dict[str, int], record: Record
    ) -> None:
        self._record = record
        factory = member_factory(host_names(size), slot_counts=slot_counts)
        super().__init__(seed, size, factory, fault_script.parse(script_text), loss)

    def send(self, name: str, outgoing: Sequence[Outgoing]) -> None:
        """Record what a member sends before the links lose, delay or deliver it."""
        for to, message in outgoing:
            datagram = member_messages.encode_datagram(message)
            header = f"{self.now!r} {name} {to} ".encode()
            self._record(f"datagram {message_kind(datagram)}", header + datagram)
        for event in self.members[name].leases.take_events():
            kind, *details = event
            self._record(f"lease {kind}", encode_json([self.now, name, *details]))
        recorded = len(self.changes)
        super().send(name, outgoing)
        for at, observer, change in self.changes[recorded:]:
            self._record("membership", encode_json([at, observer, *change]))

    def request_lease(self, name: str, lease: str, owner: str, priority: int) -> int:
        """Let an owner request a lease; return its fencing token, 0 while it waits."""
        status = self.members[name].leases.request(self.clock(name), lease, owner, priority)
        return 0 if status is None else status.fencing_token

    def release_lease(self, name: str, lease: str, owner: str) -> None:
        """Let an owner release its lease."""
        self.send(name, self.members[name].leases.release(self.clock(name), lease, owner))

    def publish_fact(self, name: str, kind: str, subject: str, value: float, count: int) -> None:
        """Let a member publish a fact."""
        self.members[name].publish_fact(self.clock(name), kind, subject, value, count, "text")

    def change_configuration(self, name: str, names: list[str], digest: str) -> None:
        """Let a member accept another list of members."""
        self.members[name].set_configuration(names, digest, self.clock(name))

    def exchange_states(self, first: str, second: str) -> None:
        """Let two members exchange their complete states, as over a stream."""
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
    """What an agent observes: the machine's boot, whether its processes respond, and if it has a lease to change."""

    boot_id: str = "1"
    unresponsive: bool = False
    has_lease: bool = False


class RolloutConditions(Protocol):
    """What the scenario adds to the rollout model."""

    def memory_and_broken_rules(self, name: str) -> tuple[int, int]:
        """Return the memory in KB and the broken rules of a host."""

    def closed_reason(self, now: float) -> str:
        """Return why no stage may begin at a time; empty where one may."""

    def agent_view(self, name: str) -> AgentView:
        """Return what the agent of a host observes."""


class RolloutFleet(rollout_model.SimulatedFleet):
    """A fleet in simulated time, of which faults can be ordered by stable names."""

    @property
    def names(self) -> list[str]:
        """Return the hosts on the list."""
        return list(self.hosts)

    @property
    def is_over(self) -> bool:
        """Tell whether the rollout has ended."""
        return self.rollout.is_over

    @property
    def awaits_operator(self) -> bool:
        """Tell whether an operator has to decide."""
        return self.rollout.phase in (Phase.AWAITING_DECISION, Phase.HELD)

    @property
    def is_rolling_back(self) -> bool:
        """Tell whether the rollout is being rolled back."""
        return self.rollout.phase == Phase.ROLLING_BACK

    def give_order(self, text: str) -> None:
        """Give an operator's order: ``go``, ``hold`` or ``back``."""
        self.rollout.order = text

    def lose_old_generation(self) -> None:
        """Remove the old generation from all hosts."""
        GENERATIONS.pop(OLD_GENERATION, None)

    def restore_old_generation(self) -> None:
        """Store the old generation at all hosts again."""
        formats = rollout_model.FORMATS
        GENERATIONS[OLD_GENERATION] = Generation(OLD_GENERATION, OLD_GENERATION, "", {}, formats)

    def make_change_reloadable(self) -> None:
        """Let the new generation differ from the old one only in what a reload applies."""
        formats = rollout_model.FORMATS
        GENERATIONS[NEW_GENERATION] = Generation(NEW_GENERATION, OLD_GENERATION, "", {"stop_ms": 5000}, formats)

    def kill_processes(self, name: str) -> None:
        """Let all processes of a host end."""
        self.hosts[name].processes.clear()

    def fail_new_generation(self, name: str) -> None:
        """Let the new generation never accept clients at a host."""
        self.hosts[name].failing_generations.add(NEW_GENERATION)

    def set_reachable(self, name: str, reachable: bool) -> None:
        """Let a host's agent be reachable or not."""
        self.hosts[name].reachable = reachable

    def set_agent_running(self, name: str, running: bool) -> None:
        """Let a host's agent run or not."""
        self.hosts[name].agent_up = running

    def remove_host(self, name: str) -> Any:
        """Remove a host from the list; return it, for ``restore_host``."""
        return self.hosts.pop(name)

    def restore_host(self, name: str, host: Any) -> None:
        """Put a host on the list again."""
        self.hosts[name] = host


class RolloutDecisions:
    """The decisions of agents, controller and analysis, each recorded as it is made."""

    def __init__(self, record: Record, conditions: RolloutConditions) -> None:
        self._record = record
        self._conditions = conditions
        self._decide_host = host_step.decide
        self._handle_call = host_calls.handle_call
        self._decide_rollout = rollout_step.decide
        self._decide_verdict = CanaryAnalysis.verdict

    def step_agent(self, state: HostState, now: float, observation: Observation, timeouts: Timeouts) -> Any:
        """Let an agent decide under the scenario's conditions."""
        observation = _observed(observation, self._conditions.agent_view(state.host))
        decision = self._decide_host(state, now, observation, Timeouts(rollback_lease_wait_s=LEASE_WAIT_S))
        self._record(f"agent {decision.state.phase}", encode_json([now, decision.state]))
        for action in decision.actions:
            self._record(f"agent orders {AGENT_ACTIONS[type(action)]}", encode_json(action))
        return decision

    def call_agent(self, state: HostState, call: rollout_messages.Call, now: float, observation: Observation) -> Any:
        """Let an agent handle a call as it arrives on the wire, and report its status."""
        line = rollout_messages.encode_call(call)
        result = self._handle_call(state, rollout_messages.decode_call(line), now, observation)
        self._record("call", encode_json([now, line, [result.answer], result.state]))
        for status_line in rollout_messages.encode_status(host_calls.status_of(result.state, now, observation)):
            self._record("status", status_line.encode())
        return result

    def step_controller(self, state: RolloutState, fence: Any, observations: Observations) -> Any:
        """Let the controller decide under the scenario's conditions."""
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

    def find_verdict(self, analysis: CanaryAnalysis) -> CanaryVerdict:
        """Let the analysis decide."""
        found = self._decide_verdict(analysis)
        self._record(f"verdict {found.outcome.value}", encode_json([found.outcome.value, found.reason, found.results]))
        return found


@contextmanager
def recorded_rollout(record: Record, conditions: RolloutConditions) -> Iterator[None]:
    """Record the decisions of agents, controller and analysis while this is open; generations are restored after."""
    decisions = RolloutDecisions(record, conditions)
    with (
        mock.patch.dict(GENERATIONS),
        mock.patch.object(host_step, "decide", decisions.step_agent),
        mock.patch.object(host_calls, "handle_call", decisions.call_agent),
        mock.patch.object(rollout_step, "decide", decisions.step_controller),
        mock.patch.object(CanaryAnalysis, "verdict", lambda analysis: decisions.find_verdict(analysis)),
    ):
        yield


def _observed(observation: Observation, view: AgentView) -> Observation:
    unresponsive = observation.accepting if view.unresponsive else frozenset()
    return observation._replace(boot_id=view.boot_id, unresponsive=unresponsive, has_lease=view.has_lease)


def _with_metrics(report: HostReport, memory_kb: int, broken: int) -> HostReport:
    return report._replace(memory_kb=memory_kb, broken_rules=broken)


# Keys that two processes of one host share.

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
    """One of two processes that share keys; its messages go to ``outbox`` as encoded lines."""

    def __init__(self, name: str, window_ms: float, max_result_bytes: int, record: Record) -> None:
        self.name, self._record = name, record
        self.outbox: list[bytes] = []
        self.is_behind = False
        self.running: list[tuple[int, tuple[str, ...]]] = []  # attempts that run here, with their keys
        self._table = IdempotencyTable(max_result_bytes)
        self._ownership = KeyOwnership(self._table, window_ms)
        self._ownership.send = self._send
        self._ownership.has_unsent = lambda: self.is_behind
        self._ownership.on_verdict = self._on_verdict
        self._ownership.on_completed = self._on_completed
        self._attempts: dict[int, tuple[str, ...]] = {}

    def _record_values(self, kind: str, *values: object) -> None:
        self._record(kind, encode_json([self.name, *values]))

    def _send(self, message: messages.Message) -> None:
        line = messages.encode(message)
        self._record(f"message {message_kind(line)}", self.name.encode() + b" " + line)
        self.outbox.append(line)

    def _on_verdict(self, number: int, verdict: Verdict) -> None:
        self._record_values(f"settled {VERDICTS[verdict]}", number)
        self._carry_out(number, verdict)

    def _on_completed(self, waiter: int, result: str | None) -> None:
        self._record_values("joined ended", waiter, result)

    def _carry_out(self, number: int, verdict: Verdict) -> None:
        name = self._attempts[number]
        if verdict is Verdict.RUN:
            self.running.append((number, name))
        elif verdict is Verdict.COALESCE:
            self._coalesce(number, name)

    def _coalesce(self, number: int, name: tuple[str, ...]) -> None:
        key = self._table.get(name)
        if key is None or key.completed:
            self._record_values("result", number, None if key is None else key.result)
        else:
            key.waiters.append(number)

    def arrive(
        self,
        number: int,
        name: tuple[str, ...],
        born_at: float,
        expires_at: float,
        digest: int,
        is_retry: bool,
        now: float,
    ) -> None:
        """Take one attempt of a key, as the host does when the decision module wants to run it."""
        self._attempts[number] = name
        key = self._table.find(name, born_at)
        if key is None or not key.executed_attempt:
            key = self._table.retain(name, number, born_at, expires_at, digest)
        verdict = self._ownership.claim(number, key, born_at, expires_at, is_retry, now)
        self._record_values(f"verdict {VERDICTS[verdict]}", number)
        self._carry_out(number, verdict)

    def end_run(self, index: int, result: str | None, ran: bool) -> None:
        """End a run with its result, or take it back where it did not run."""
        number, name = self.running.pop(index)
        key = self._table.get(name)
        if key is None or key.executed_attempt != number:
            return
        if ran:
            self._ownership.complete(key, result)
        else:
            self._ownership.release(key)

    def receive(self, line: bytes) -> None:
        """Take in a message of the other process."""
        self._ownership.receive(messages.decode(line))

    def on_flushed(self) -> None:
        """Take note that all messages were sent."""
        self._ownership.on_flushed()

    def expire(self, now: float) -> None:
        """End claims and records that lasted too long."""
        self._record_values("expired", self._ownership.expire_claims(now))
        for key in self._table.expired(now):
            self._table.remove(key)

    def connect(self, owner: bool) -> None:
        """Begin to share keys; the owner sends a snapshot of its own."""
        self._ownership.on_peer_connected(Role.OWNER if owner else Role.FOLLOWER)
        if owner:
            for message in self._ownership.snapshot([key.key for key in self._table]):
                self._send(message)

    def disconnect(self, peer_ended: bool, ended_at: float) -> None:
        """Go on without the other process."""
        self._ownership.on_peer_lost(peer_ended, ended_at)

    def limit_results(self, max_result_bytes: int) -> None:
        """Set how many bytes of results are retained."""
        self._table.max_result_bytes = max_result_bytes
        self._table.trim()

    def record_table(self) -> None:
        """Record the role and all idempotency records."""
        self._record_values(
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


# Keys on disk.


class DurableKeys:
    """The durable record of keys, as it would be stored after each step."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._known: dict[str, durable.DurableRecord] = {}
        self.incarnation = 1

    @property
    def names(self) -> list[str]:
        """Return the keys of which something is stored."""
        return list(self._known)

    def arrive(self, name: str, body: bytes, born: float, window: float, now: float) -> None:
        """Take one attempt: record its verdict, and store the intent where it may run."""
        known = self._known.get(name)
        verdict = durable.decide(known, body, now)
        self._record(f"durable {VERDICTS[verdict]}", name.encode())
        if verdict is Verdict.RUN:
            self._store(name, lambda: durable.intend(known, self.incarnation, body, born, window, now))

    def step(self, name: str, action: str, result: bytes) -> None:
        """Take one step with a stored key; one that its state does not allow is recorded as an error."""
        known = self._known[name]
        if action == "withdraw":
            self._store(name, lambda: durable.withdraw(known))
            return
        steps: dict[str, Callable[[], durable.DurableRecord]] = {
            "start": lambda: durable.start(known),
            "finish": lambda: durable.complete(known, result),
            "fail": lambda: durable.fail(known),
            "resolve": lambda: durable.resolve(known, result),
        }
        self._store(name, steps[action])

    def restart(self, now: float) -> None:
        """Recover what is stored, as a later incarnation does."""
        self.incarnation += 1
        for name, known in list(self._known.items()):
            self._store(name, lambda known=known: durable.recover(known, self.incarnation, now))  # type: ignore[misc]

    def _store(self, name: str, step: Callable[[], durable.DurableRecord | None]) -> None:
        try:
            known = step()
        except KeyLifecycleError:
            self._record("durable error", name.encode())
            return
        if known is None:
            del self._known[name]
            self._record("durable deleted", name.encode())
            return
        self._known[name] = known
        row = [
            name,
            int(known.state),
            known.incarnation,
            known.created_at_ms,
            known.expires_at_ms,
            known.request_digest,
            known.result,
        ]
        self._record("durable row", encode_json(row))


def seeded(*parts: object) -> random.Random:
    """Return what draws, by a seed of several parts."""
    return random.Random(" ".join(str(part) for part in parts))
