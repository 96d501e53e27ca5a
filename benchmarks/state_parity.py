"""Check that two checkouts make the same lease, membership, rollout and idempotency decisions, byte by byte.

``python -m benchmarks.state_parity [--seed 1] [--json FILE] [--compare FILE]``, run in the root of the checkout.

No process with a stable wire protocol exposes these decisions alone. The tool therefore passes seeded random events to
the decision objects, and hashes the encoded messages that they would send and the encoded records that they would
store. Only ``benchmarks/parity_adapters.py`` uses names of the program.

The canary analysis sums differences over a set of kinds of hosts, so the last bits of its rows depend on Python's hash
seed. To compare the rows exactly, the tool restarts itself with PYTHONHASHSEED=0 unless that variable is set.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import click

from benchmarks import parity
from benchmarks.parity_adapters import (
    AgentView,
    DurableKeys,
    KeyProcess,
    MemberFleet,
    RolloutFleet,
    recorded_rollout,
    seeded_random,
)

MEMBER_SEEDS = 20
MEMBER_SECONDS = 60.0
LEASES = {"job": 1, "pool": 3}  # number of slots by lease
DATAGRAM_LOSS_FRACTIONS = (0.0, 0.05, 0.2)
ROLLOUT_SEEDS = 16
ROLLOUT_SECONDS = 900
SECONDS_AFTER_END = 20  # played after the end of a rollout
OPERATOR_ORDERS = ("go", "back", "go", "hold")
KEY_SEEDS = 12
KEY_STEPS = 4000
KEY_COUNT = 24
WINDOW_MS = 4000.0
DURABLE_SEEDS = 6
DURABLE_STEPS = 4000
DURABLE_ACTIONS = ("start", "start", "finish", "finish", "fail", "withdraw", "resolve")


def frame_recorder(recorder: parity.Recorder) -> Callable[[str, bytes], None]:
    """Return a function that adds a frame of a kind to a recorder."""

    def record(kind: str, frame: bytes) -> None:
        recorder.counts[kind] += 1
        recorder.events += 1
        recorder.record(kind.encode() + b" " + frame)

    return record


# Membership and leases.


def fault_script(rng: random.Random, names: list[str]) -> str:
    """Return a fault script with faults of all kinds."""
    lines = []
    for kind in ("part", "one-way", "stop", "kill", "loss", "late", "stop", "part"):
        start_s, duration_s = rng.uniform(5.0, MEMBER_SECONDS - 15.0), rng.uniform(1.0, 12.0)
        members = ",".join(sorted(rng.sample(names, rng.randint(1, max(1, len(names) // 3)))))
        target = "all" if kind in ("loss", "late") else members
        value = {"loss": " 20%", "late": " 0.2"}.get(kind, "")
        lines.append(f"{start_s:.1f}s {kind} {target} for {duration_s:.1f}s{value}")
    return "\n".join(lines)


class LeaseOwners:
    """One lease owner per member: holds leases for some seconds, publishes gossip facts and exchanges states."""

    def __init__(self, fleet: MemberFleet, rng: random.Random) -> None:
        self._fleet, self._rng = fleet, rng
        self._held_since: dict[tuple[str, str], float] = {}
        for name in fleet.names:
            fleet.at(rng.random(), lambda name=name: self._step_owner(name))  # type: ignore[misc]

    def _step_owner(self, name: str) -> None:
        fleet = self._fleet
        fleet.at(fleet.now + 0.25, lambda: self._step_owner(name))
        if not fleet.is_running(name):
            return
        for lease in LEASES:
            self._update_lease(name, lease)
        if self._rng.random() < 0.1:
            fleet.publish_fact(name, "store", f"store-{self._rng.randrange(3)}", self._rng.uniform(0.5, 5.0), 7)
        if self._rng.random() < 0.01:
            other = self._rng.choice(fleet.names)
            if other != name and fleet.is_running(other):
                fleet.exchange_states(name, other)
        fleet.tick_now(name)

    def _update_lease(self, name: str, lease: str) -> None:
        fleet, lease_key = self._fleet, (name, lease)
        if self._rng.random() < 0.05:
            return
        fencing_token = fleet.request_lease(name, lease, "owner", len(name) % 2)
        if not fencing_token:
            self._held_since.pop(lease_key, None)
        elif lease_key not in self._held_since:
            self._held_since[lease_key] = fleet.now
        elif fleet.now - self._held_since[lease_key] > 3.0:
            del self._held_since[lease_key]
            fleet.release_lease(name, lease, "owner")


def change_configurations(fleet: MemberFleet) -> None:
    """Schedule a new list without the last member at all members, at a different time for each."""
    remaining_names = fleet.names[:-1]
    for number, name in enumerate(fleet.names):
        change = lambda name=name: fleet.change_configuration(name, remaining_names, "second")  # noqa: E731
        fleet.at(MEMBER_SECONDS / 2 + 0.3 * number, change)


def play_members(seed: int, number: int) -> parity.ScenarioResult:
    """Play one fleet of members with network and process faults."""
    recorder = parity.Recorder(f"members-{number}")
    rng = seeded_random(seed, "members", number)
    size = 3 + number % 6
    names = [f"disp-{count:04}" for count in range(1, size + 1)]
    loss_fraction = DATAGRAM_LOSS_FRACTIONS[number % len(DATAGRAM_LOSS_FRACTIONS)]
    fleet = MemberFleet(
        rng.getrandbits(32), size, fault_script(rng, names), loss_fraction, LEASES, frame_recorder(recorder)
    )
    LeaseOwners(fleet, rng)
    if number % 4 == 3:
        change_configurations(fleet)
    fleet.run(MEMBER_SECONDS)
    fleet.record_states()
    return recorder.result()


# Rollouts.


class PendingEnd(NamedTuple):
    """End of a fault: its time and the callback that ends the fault."""

    at: float
    end: Callable[[], None]


class RolloutFaults:
    """Random faults of hosts, agents and metrics, which are the conditions of a rollout."""

    def __init__(self, fleet: RolloutFleet, rng: random.Random, rate_per_s: float) -> None:
        self._fleet, self._rng, self._rate_per_s = fleet, rng, rate_per_s
        self._pending_ends: list[PendingEnd] = []
        self._heavy_hosts: set[str] = set()
        self._rule_breaking_hosts: set[str] = set()
        self._views: dict[str, AgentView] = {}
        self._boot_count = 1

    def memory_and_broken_rules(self, name: str) -> tuple[int, int]:
        """Return the memory in KB and the number of broken rules of a host."""
        return (10_000_000 if name in self._heavy_hosts else 30_000), int(name in self._rule_breaking_hosts)

    def closed_reason(self, now: float) -> str:
        """Return the reason that no stage may begin at this time; empty if one may."""
        return "outside of the hours" if now % 300 > 250 else ""

    def agent_view(self, name: str) -> AgentView:
        """Return the observations of the agent of a host."""
        return self._views.get(name, AgentView())

    def advance_second(self) -> None:
        """End the faults whose time has come, and draw the new faults of one second."""
        fleet, rng = self._fleet, self._rng
        for pending in [pending for pending in self._pending_ends if pending.at <= fleet.now]:
            self._pending_ends.remove(pending)
            pending.end()
        if rng.random() < self._rate_per_s:
            self._inject_fault(rng.choice(fleet.names))
        if rng.random() < self._rate_per_s / 30:
            self._heavy_hosts.add(rng.choice(fleet.names))
        if rng.random() < self._rate_per_s / 30:
            self._rule_breaking_hosts.add(rng.choice(fleet.names))
        if fleet.is_rolling_back and rng.random() < self._rate_per_s * 10:
            for name in fleet.names[::2]:
                fleet.kill_processes(name)
        if rng.random() < self._rate_per_s / 5:
            fleet.lose_old_generation()
            self._end_later(fleet.restore_old_generation)

    def _inject_fault(self, name: str) -> None:
        fleet = self._fleet
        match self._rng.randrange(8):
            case 0:
                fleet.kill_processes(name)
            case 1:
                fleet.fail_new_generation(name)
            case 2:
                fleet.set_reachable(name, False)
                self._end_later(lambda: fleet.set_reachable(name, True))
            case 3:
                fleet.set_agent_running(name, False)
                self._end_later(lambda: fleet.set_agent_running(name, True))
            case 4 if len(fleet.names) > 4:
                removed_host = fleet.remove_host(name)
                self._end_later(lambda: fleet.restore_host(name, removed_host))
            case 5:
                self._reboot(name)
            case 6:
                self._set_view(name, unresponsive=True)
                self._end_later(lambda: self._set_view(name, unresponsive=False))
            case 7:
                self._set_view(name, has_lease=True)

    def _reboot(self, name: str) -> None:
        self._boot_count += 1
        self._fleet.kill_processes(name)
        self._set_view(name, boot_id=str(self._boot_count))

    def _set_view(self, name: str, **changes: Any) -> None:
        self._views[name] = self.agent_view(name)._replace(**changes)

    def _end_later(self, end: Callable[[], None]) -> None:
        self._pending_ends.append(PendingEnd(self._fleet.now + self._rng.uniform(5.0, 60.0), end))


def generation_effect(number: int) -> Callable[[str, float], float] | None:
    """Return the fraction of requests that the new generation loses, by class and warm fraction; None for no loss."""
    loss_fraction = (0.0, 0.3, 0.05, 0.0)[number % 4]
    return (lambda class_name, warm: loss_fraction if class_name == "book" else 0.0) if loss_fraction else None


def play_rollout(seed: int, number: int) -> parity.ScenarioResult:
    """Play one rollout with faults, until ``SECONDS_AFTER_END`` after its end."""
    recorder = parity.Recorder(f"rollout-{number}")
    rng = seeded_random(seed, "rollout", number)
    plan: dict[str, Any] = {"hold_after_stages": (1,)} if number % 5 == 2 else {}
    plan["use_controls"] = number % 3 != 1
    effect = generation_effect(number)
    fleet = RolloutFleet(rng.getrandbits(32), 8 + 2 * (number % 8), plan, effect=effect, harm=0.3 * (number % 7 == 6))
    faults = RolloutFaults(fleet, rng, 0.01 * (number % 4))
    operator_order = OPERATOR_ORDERS[number % len(OPERATOR_ORDERS)]
    seconds_after_end = 0
    with recorded_rollout(frame_recorder(recorder), faults):
        if number % 4 == 1:
            fleet.make_change_reloadable()
        while fleet.now < ROLLOUT_SECONDS and seconds_after_end < SECONDS_AFTER_END:
            if fleet.awaits_operator and rng.random() < 0.2:
                fleet.give_order("go" if operator_order == "hold" else operator_order)
            if operator_order == "hold" and rng.random() < 0.01:
                fleet.give_order("hold")
            faults.advance_second()
            fleet.second()
            seconds_after_end += fleet.is_over
    return recorder.result()


# Idempotency keys shared by two processes of one host.


class SharedKeys:
    """Two processes linked by queues, with random attempts, ends of runs, losses of the link and stalls."""

    def __init__(self, rng: random.Random, recorder: parity.Recorder) -> None:
        self._rng, self._now, self._attempt = rng, 1_000_000.0, 0
        record = frame_recorder(recorder)
        self._processes = [KeyProcess(name, WINDOW_MS, 400, record) for name in ("old", "new")]
        self._linked = False

    def play(self) -> None:
        """Play all steps."""
        actions = (
            self._arrive,
            self._end_run,
            self._deliver,
            self._expire,
            self._toggle_stall,
            self._toggle_link,
            self._record_tables,
        )
        weights = (30, 25, 45, 3, 4, 1, 1)
        for _ in range(KEY_STEPS):
            self._now += self._rng.expovariate(1 / 8.0)
            self._rng.choices(actions, weights)[0]()
        self._record_tables()

    def _draw_process(self) -> KeyProcess:
        return self._rng.choice(self._processes)

    def _arrive(self) -> None:
        rng = self._rng
        self._attempt += 1
        created_at_ms = self._now - rng.expovariate(1 / 200.0)
        key = ("account", f"key-{rng.randrange(KEY_COUNT)}")
        request_digest = rng.randrange(2)
        self._draw_process().arrive(
            self._attempt,
            key,
            created_at_ms,
            created_at_ms + WINDOW_MS,
            request_digest,
            rng.random() < 0.3,
            self._now,
        )

    def _end_run(self) -> None:
        process, rng = self._draw_process(), self._rng
        if process.running:
            result = None if rng.random() < 0.2 else "r" * rng.randrange(1, 60)
            process.end_run(rng.randrange(len(process.running)), result, rng.random() < 0.85)

    def _deliver(self) -> None:
        index = self._rng.randrange(2)
        sender, receiver = self._processes[index], self._processes[1 - index]
        if sender.outbox:
            receiver.receive(sender.outbox.pop(0))
        elif not sender.is_stalled:
            sender.on_flushed()

    def _expire(self) -> None:
        self._draw_process().expire(self._now)

    def _toggle_stall(self) -> None:
        process = self._draw_process()
        process.is_stalled = not process.is_stalled
        if self._rng.random() < 0.2:
            process.limit_results(self._rng.randrange(100, 800))

    def _toggle_link(self) -> None:
        if self._linked:
            self._disconnect()
        else:
            owner = self._rng.randrange(2)
            for process in self._processes:
                process.outbox.clear()
            self._processes[owner].connect(owner=True)
            self._processes[1 - owner].connect(owner=False)
        self._linked = not self._linked

    def _disconnect(self) -> None:
        rng = self._rng
        for process in self._processes:
            ended_at = self._now if rng.random() < 0.3 else 0.0
            process.disconnect(peer_ended=rng.random() < 0.6, ended_at=ended_at)

    def _record_tables(self) -> None:
        for process in self._processes:
            process.record_table()


def play_keys(seed: int, number: int) -> parity.ScenarioResult:
    """Play two processes that share idempotency keys."""
    recorder = parity.Recorder(f"shared-keys-{number}")
    SharedKeys(seeded_random(seed, "keys", number), recorder).play()
    return recorder.result()


# Durable idempotency keys.


def play_durable(seed: int, number: int) -> parity.ScenarioResult:
    """Play the durable records of idempotency keys over several incarnations."""
    recorder = parity.Recorder(f"durable-keys-{number}")
    rng = seeded_random(seed, "durable", number)
    keys, now = DurableKeys(frame_recorder(recorder)), 1_000_000.0
    for _ in range(DURABLE_STEPS):
        now += rng.expovariate(1 / 10.0)
        if rng.random() < 0.4:
            name, body = f"key-{rng.randrange(KEY_COUNT)}", f"body-{rng.random() < 0.1}".encode()
            keys.arrive(name, body, now + rng.uniform(-300.0, 50.0), WINDOW_MS, now)
        elif rng.random() < 0.005:
            keys.restart(now)
        elif keys.names:
            keys.step(rng.choice(keys.names), rng.choice(DURABLE_ACTIONS), f"result {rng.randrange(9)}".encode())
    return recorder.result()


@click.command()
@parity.output_options
def main(seed: int, json_file: Path | None, compare_file: Path | None) -> None:
    """Hash the messages and records of the membership, lease, rollout and idempotency decisions of this checkout."""
    results = [play_members(seed, number) for number in range(MEMBER_SEEDS)]
    results += [play_rollout(seed, number) for number in range(ROLLOUT_SEEDS)]
    results += [play_keys(seed, number) for number in range(KEY_SEEDS)]
    results += [play_durable(seed, number) for number in range(DURABLE_SEEDS)]
    parity.report_result(parity.combine("state_parity", seed, results), json_file, compare_file)


if __name__ == "__main__":
    parity.pin_hash_seed("benchmarks.state_parity")
    main()
