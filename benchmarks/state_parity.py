"""Proves that two checkouts make the same lease, membership, rollout and idempotency decisions, byte by byte.

``python -m benchmarks.state_parity [--seed 1] [--json FILE] [--compare FILE]``, run in the root of the checkout.

These decisions have no process with a stable wire of their own. So seeded events pass through the decision objects,
and the messages that would be sent and the records that would be stored are hashed as they are encoded. All project
names stand in ``benchmarks/parity_adapters.py``.

The canary analysis sums differences over a set of kinds of hosts, so the last bits of its rows depend on Python's hash
seed. To compare them exactly, the tool runs itself with PYTHONHASHSEED=0 unless that variable is set.
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
    seeded,
)

MEMBER_SEEDS = 20
MEMBER_SECONDS = 60.0
LEASES = {"job": 1, "pool": 3}
LOSSES = (0.0, 0.05, 0.2)
ROLLOUT_SEEDS = 16
ROLLOUT_SECONDS = 900
SECONDS_AFTER_END = 20  # that a rollout is still played
OPERATOR_ORDERS = ("go", "back", "go", "hold")
KEY_SEEDS = 12
KEY_STEPS = 4000
KEY_NAMES = 24
WINDOW_MS = 4000.0
DURABLE_SEEDS = 6
DURABLE_STEPS = 4000
DURABLE_ACTIONS = ("start", "start", "finish", "finish", "fail", "withdraw", "resolve")


def recording(recorder: parity.Recorder) -> Callable[[str, bytes], None]:
    """Return what adds a frame of a kind to a recorder."""

    def record(kind: str, frame: bytes) -> None:
        recorder.counts[kind] += 1
        recorder.events += 1
        recorder.record(kind.encode() + b" " + frame)

    return record


# Membership and leases.


def fault_script(rng: random.Random, names: list[str]) -> str:
    """Return a script of faults of all kinds."""
    lines = []
    for kind in ("part", "one-way", "stop", "kill", "loss", "late", "stop", "part"):
        at, span = rng.uniform(5.0, MEMBER_SECONDS - 15.0), rng.uniform(1.0, 12.0)
        chosen = ",".join(sorted(rng.sample(names, rng.randint(1, max(1, len(names) // 3)))))
        target = "all" if kind in ("loss", "late") else chosen
        value = {"loss": " 20%", "late": " 0.2"}.get(kind, "")
        lines.append(f"{at:.1f}s {kind} {target} for {span:.1f}s{value}")
    return "\n".join(lines)


class LeaseOwners:
    """Owners at every member: they request leases, hold them for a while, publish facts and exchange states."""

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
            self._use(name, lease)
        if self._rng.random() < 0.1:
            fleet.publish_fact(name, "store", f"store-{self._rng.randrange(3)}", self._rng.uniform(0.5, 5.0), 7)
        if self._rng.random() < 0.01:
            other = self._rng.choice(fleet.names)
            if other != name and fleet.is_running(other):
                fleet.exchange_states(name, other)
        fleet.tick_now(name)

    def _use(self, name: str, lease: str) -> None:
        fleet, holding = self._fleet, (name, lease)
        if self._rng.random() < 0.05:
            return
        fence = fleet.request_lease(name, lease, "owner", len(name) % 2)
        if not fence:
            self._held_since.pop(holding, None)
        elif holding not in self._held_since:
            self._held_since[holding] = fleet.now
        elif fleet.now - self._held_since[holding] > 3.0:
            del self._held_since[holding]
            fleet.release_lease(name, lease, "owner")


def change_configurations(fleet: MemberFleet) -> None:
    """Let the members accept a list without the last member, each at its own time."""
    fewer = fleet.names[:-1]
    for number, name in enumerate(fleet.names):
        change = lambda name=name: fleet.change_configuration(name, fewer, "second")  # noqa: E731
        fleet.at(MEMBER_SECONDS / 2 + 0.3 * number, change)


def play_members(seed: int, number: int) -> parity.ScenarioResult:
    """Play one fleet of members with faults."""
    recorder = parity.Recorder(f"members-{number}")
    rng = seeded(seed, "members", number)
    size = 3 + number % 6
    names = [f"disp-{count:04}" for count in range(1, size + 1)]
    loss = LOSSES[number % len(LOSSES)]
    fleet = MemberFleet(rng.getrandbits(32), size, fault_script(rng, names), loss, LEASES, recording(recorder))
    LeaseOwners(fleet, rng)
    if number % 4 == 3:
        change_configurations(fleet)
    fleet.run(MEMBER_SECONDS)
    fleet.record_states()
    return recorder.result()


# Rollouts.


class PendingEnd(NamedTuple):
    """A fault that ends at a time, by a call."""

    at: float
    end: Callable[[], None]


class RolloutFaults:
    """Draws faults of hosts, agents and metrics, and an operator's orders."""

    def __init__(self, fleet: RolloutFleet, rng: random.Random, rate_per_s: float) -> None:
        self._fleet, self._rng, self._rate_per_s = fleet, rng, rate_per_s
        self._pending_ends: list[PendingEnd] = []
        self._heavy_hosts: set[str] = set()
        self._rule_breaking_hosts: set[str] = set()
        self._views: dict[str, AgentView] = {}
        self._boots = 1

    def memory_and_broken_rules(self, name: str) -> tuple[int, int]:
        """Return memory in KB and broken rules of a host."""
        return (10_000_000 if name in self._heavy_hosts else 30_000), int(name in self._rule_breaking_hosts)

    def closed_reason(self, now: float) -> str:
        """Return why no stage may begin at a time; empty where one may."""
        return "outside of the hours" if now % 300 > 250 else ""

    def agent_view(self, name: str) -> AgentView:
        """Return what the agent of a host observes."""
        return self._views.get(name, AgentView())

    def draw_second(self) -> None:
        """Draw the faults of one second, and end those that are over."""
        fleet, rng = self._fleet, self._rng
        for pending in [pending for pending in self._pending_ends if pending.at <= fleet.now]:
            self._pending_ends.remove(pending)
            pending.end()
        if rng.random() < self._rate_per_s:
            self._fault(rng.choice(fleet.names))
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

    def _fault(self, name: str) -> None:
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
                unlisted = fleet.remove_host(name)
                self._end_later(lambda: fleet.restore_host(name, unlisted))
            case 5:
                self._reboot(name)
            case 6:
                self._set_view(name, unresponsive=True)
                self._end_later(lambda: self._set_view(name, unresponsive=False))
            case 7:
                self._set_view(name, has_lease=True)

    def _reboot(self, name: str) -> None:
        self._boots += 1
        self._fleet.kill_processes(name)
        self._set_view(name, boot_id=str(self._boots))

    def _set_view(self, name: str, **changes: Any) -> None:
        self._views[name] = self.agent_view(name)._replace(**changes)

    def _end_later(self, end: Callable[[], None]) -> None:
        self._pending_ends.append(PendingEnd(self._fleet.now + self._rng.uniform(5.0, 60.0), end))


def generation_effect(number: int) -> Callable[[str, float], float] | None:
    """Return the part of the requests that the new generation loses, by class and warm share."""
    worse = (0.0, 0.3, 0.05, 0.0)[number % 4]
    return (lambda class_name, warm: worse if class_name == "book" else 0.0) if worse else None


def play_rollout(seed: int, number: int) -> parity.ScenarioResult:
    """Play one rollout with faults, until some time after its end."""
    recorder = parity.Recorder(f"rollout-{number}")
    rng = seeded(seed, "rollout", number)
    plan: dict[str, Any] = {"hold_after_stages": (1,)} if number % 5 == 2 else {}
    plan["use_controls"] = number % 3 != 1
    effect = generation_effect(number)
    fleet = RolloutFleet(rng.getrandbits(32), 8 + 2 * (number % 8), plan, effect=effect, harm=0.3 * (number % 7 == 6))
    faults = RolloutFaults(fleet, rng, 0.01 * (number % 4))
    operator_order = OPERATOR_ORDERS[number % len(OPERATOR_ORDERS)]
    seconds_after_end = 0
    with recorded_rollout(recording(recorder), faults):
        if number % 4 == 1:
            fleet.make_change_reloadable()
        while fleet.now < ROLLOUT_SECONDS and seconds_after_end < SECONDS_AFTER_END:
            if fleet.awaits_operator and rng.random() < 0.2:
                fleet.give_order("go" if operator_order == "hold" else operator_order)
            if operator_order == "hold" and rng.random() < 0.01:
                fleet.give_order("hold")
            faults.draw_second()
            fleet.second()
            seconds_after_end += fleet.is_over
    return recorder.result()


# Keys that two processes of one host share.


class SharedKeys:
    """Two processes joined by queues, under random attempts, ends, losses of the link and stalls."""

    def __init__(self, rng: random.Random, recorder: parity.Recorder) -> None:
        self._rng, self._now, self._number = rng, 1_000_000.0, 0
        record = recording(recorder)
        self._processes = [KeyProcess(name, WINDOW_MS, 400, record) for name in ("old", "new")]
        self._linked = False

    def play(self) -> None:
        """Play all steps."""
        actions = (
            self._arrive,
            self._end,
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
        self._number += 1
        born = self._now - rng.expovariate(1 / 200.0)
        name = ("account", f"key-{rng.randrange(KEY_NAMES)}")
        body = rng.randrange(2)
        self._draw_process().arrive(self._number, name, born, born + WINDOW_MS, body, rng.random() < 0.3, self._now)

    def _end(self) -> None:
        process, rng = self._draw_process(), self._rng
        if process.running:
            result = None if rng.random() < 0.2 else "r" * rng.randrange(1, 60)
            process.end_run(rng.randrange(len(process.running)), result, rng.random() < 0.85)

    def _deliver(self) -> None:
        index = self._rng.randrange(2)
        sender, receiver = self._processes[index], self._processes[1 - index]
        if sender.outbox:
            receiver.receive(sender.outbox.pop(0))
        elif not sender.is_behind:
            sender.on_flushed()

    def _expire(self) -> None:
        self._draw_process().expire(self._now)

    def _toggle_stall(self) -> None:
        process = self._draw_process()
        process.is_behind = not process.is_behind
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
    """Play two processes that share keys."""
    recorder = parity.Recorder(f"shared-keys-{number}")
    SharedKeys(seeded(seed, "keys", number), recorder).play()
    return recorder.result()


# Durable keys.


def play_durable(seed: int, number: int) -> parity.ScenarioResult:
    """Play the durable records of keys over several incarnations."""
    recorder = parity.Recorder(f"durable-keys-{number}")
    rng = seeded(seed, "durable", number)
    keys, now = DurableKeys(recording(recorder)), 1_000_000.0
    for _ in range(DURABLE_STEPS):
        now += rng.expovariate(1 / 10.0)
        if rng.random() < 0.4:
            name, body = f"key-{rng.randrange(KEY_NAMES)}", f"body-{rng.random() < 0.1}".encode()
            keys.arrive(name, body, now + rng.uniform(-300.0, 50.0), WINDOW_MS, now)
        elif rng.random() < 0.005:
            keys.restart(now)
        elif keys.names:
            keys.step(rng.choice(keys.names), rng.choice(DURABLE_ACTIONS), f"result {rng.randrange(9)}".encode())
    return recorder.result()


@click.command()
@parity.output_options
def main(seed: int, json_file: Path | None, compare_file: Path | None) -> None:
    """Hash the messages and records of this checkout's lease, rollout and idempotency decisions."""
    results = [play_members(seed, number) for number in range(MEMBER_SEEDS)]
    results += [play_rollout(seed, number) for number in range(ROLLOUT_SEEDS)]
    results += [play_keys(seed, number) for number in range(KEY_SEEDS)]
    results += [play_durable(seed, number) for number in range(DURABLE_SEEDS)]
    parity.finish(parity.combine("state_parity", seed, results), json_file, compare_file)


if __name__ == "__main__":
    parity.pin_hash_seed("benchmarks.state_parity")
    main()
