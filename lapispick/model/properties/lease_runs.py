"""Properties of leases in simulated clusters, with and without faults."""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial

from lapispick.members.member import Member, MemberSettings
from lapispick.model.cluster import FLEET, SimulatedCluster, host_names, member_factory
from lapispick.model.fault_script import FaultKind, FaultStep
from lapispick.model.properties.base import LEASE, OWNER, POLL_INTERVAL_S, Property, require

LOSSES = (0.0, 0.05, 0.2)
FAULT_KINDS = (FaultKind.PAUSE, FaultKind.PARTITION, FaultKind.ONE_WAY_PARTITION, FaultKind.KILL)
OUTAGES_S = (0.5, 3.0, 15.0)


class _Owners:
    """One owner at each member, which repeatedly requests the lease, holds it for ``hold_s`` and releases it."""

    def __init__(self, cluster: SimulatedCluster, hold_s: float = 3.0) -> None:
        self.cluster = cluster
        self.hold_s = hold_s
        self.held_since: dict[str, float] = {}
        self.fencing_tokens: list[int] = []
        self.highest_token = 0
        self._holders: dict[int, tuple[str, int]] = {}  # by token: the member and its process epoch
        for name in cluster.names:
            cluster.at(cluster.rng.random(), partial(self._poll, name))

    def _poll(self, name: str) -> None:
        cluster = self.cluster
        cluster.at(cluster.now + POLL_INTERVAL_S, partial(self._poll, name))
        if not cluster.is_running(name):
            return
        leases = cluster.members[name].leases
        now = cluster.clock(name)
        status = leases.request(now, LEASE, OWNER)
        if status is None or not status.fencing_token:
            self.held_since.pop(name, None)
        elif name not in self.held_since:
            self._record_acquisition(name, now, status.fencing_token)
        elif now - self.held_since[name] > self.hold_s:
            del self.held_since[name]
            cluster.send(name, leases.release(now, LEASE, OWNER))
            return
        cluster.tick_now(name)

    def _record_acquisition(self, name: str, now: float, token: int) -> None:
        self.held_since[name] = now
        self.fencing_tokens.append(token)
        holder = (name, self.cluster.process_epochs[name])
        is_only_holder = self._holders.setdefault(token, holder) == holder
        require(is_only_holder, f"fencing token {token} has two holders at {self.cluster.now:.1f} s")

    def check(self) -> None:
        """Check that at this instant at most one member holds the slot, and that none acts under an outdated token."""
        cluster = self.cluster
        holding = [
            (name, status.fencing_token)
            for name in self.held_since
            if name not in cluster.killed
            for status in cluster.members[name].leases.statuses(cluster.clock(name))
            if status.fencing_token
        ]
        require(len(holding) <= 1, f"several members hold one slot at {cluster.now:.2f} s: {holding}")
        for name, token in holding:
            if not cluster.is_paused(name):
                require(
                    token >= self.highest_token, f"{name} acts under token {token} after token {self.highest_token}"
                )
                self.highest_token = max(self.highest_token, token)


def _random_faults(rng: random.Random, names: Sequence[str], until: float) -> list[FaultStep]:
    steps = []
    at = rng.uniform(1, 8)
    while at < until:
        kind = rng.choice(FAULT_KINDS)
        if kind in (FaultKind.PARTITION, FaultKind.ONE_WAY_PARTITION):
            hosts = rng.sample(list(names), rng.randint(1, len(names) - 1))
            span = rng.uniform(1, 15)
        else:
            hosts = [rng.choice(list(names))]
            span = rng.choice(OUTAGES_S)
        steps.append(FaultStep(at, kind, ",".join(hosts), span))
        at += rng.uniform(1, 8)
    return steps


def single_holder(seed: int) -> None:
    """At most one member holds a slot at any time, each token has one holder, and leases are granted after faults."""
    rng = random.Random(f"faults {seed}")
    names = host_names(5)
    faults = _random_faults(rng, names, 60.0)
    cluster = SimulatedCluster(seed, 5, member_factory(names), faults, LOSSES[seed % len(LOSSES)])
    cluster.max_extra_delay_s = 0.4
    owners = _Owners(cluster)
    cluster.run(80.0, owners.check)
    acquired_before = len(owners.fencing_tokens)
    cluster.loss = 0.0
    cluster.run(150.0, owners.check)
    require(len(owners.fencing_tokens) > acquired_before, "no member obtained the lease after the faults")


def fencing_tokens_survive_restart(seed: int) -> None:
    """Fencing tokens continue to increase after all members restarted without state."""
    script = [FaultStep(25.0, FaultKind.KILL, "all", 1.0)]
    cluster = SimulatedCluster(seed, 3, member_factory(host_names(3)), script)
    owners = _Owners(cluster, hold_s=1.0)
    cluster.run(25.0, owners.check)
    highest_before = owners.highest_token
    owners.held_since.clear()
    cluster.run(70.0, owners.check)
    require(
        0 < highest_before < owners.highest_token,
        f"highest token: {highest_before} before the restart, {owners.highest_token} after it",
    )


def reconfiguration(seed: int) -> None:
    """At most one member holds the slot while the members change configuration at different times.

    The old and the new configuration have one member in common.
    """
    names = host_names(9)
    old = frozenset(names[:5])
    new = frozenset(names[4:])
    rng = random.Random(seed)

    def start(name: str, epoch: int, now: float, member_rng: random.Random) -> Member:
        settings = MemberSettings()
        return Member(name, FLEET, epoch, old, "old", {LEASE: 1}, settings, member_rng, now, is_first_process=True)

    def change(name: str) -> None:
        cluster.members[name].set_configuration(new, "new", cluster.clock(name))

    cluster = SimulatedCluster(seed, 9, start)
    cluster.max_extra_delay_s = 0.3
    owners = _Owners(cluster)
    for name in names:
        cluster.at(15.0 + rng.uniform(0, 10), partial(change, name))
    cluster.run(100.0, owners.check)
    require(bool(owners.fencing_tokens), "no member obtained the lease")


def owners_share_no_slot(seed: int) -> None:
    """Owners never share a slot: neither two owners at one member nor the owners at more members than slots."""
    names = host_names(3)
    cluster = SimulatedCluster(seed, 3, member_factory(names, slot_counts={LEASE: 2}))
    max_held = 0

    def poll(name: str) -> None:
        nonlocal max_held
        cluster.at(cluster.now + POLL_INTERVAL_S, partial(poll, name))
        now = cluster.clock(name)
        for owner in ("one", "two"):
            cluster.members[name].leases.request(now, LEASE, owner)
        cluster.tick_now(name)
        held = [
            status.slot
            for member in names
            for status in cluster.members[member].leases.statuses(cluster.clock(member))
            if status.fencing_token
        ]
        require(len(held) == len(set(held)), f"a slot has two holders; held slots: {held}")
        max_held = max(max_held, len(held))

    for name in names:
        cluster.at(cluster.rng.random(), partial(poll, name))
    cluster.run(40.0)
    require(max_held == 2, f"{max_held} of 2 slots were used at the same time")


def simultaneous_requests(seed: int) -> None:
    """Members that request a lease at the same instant all obtain it, one after the other."""
    names = host_names(14)
    cluster = SimulatedCluster(seed, 14, member_factory(names))
    acquired_at: dict[str, float] = {}
    released: set[str] = set()

    def poll(name: str) -> None:
        cluster.at(cluster.now + POLL_INTERVAL_S, partial(poll, name))
        if name in released:
            return
        leases = cluster.members[name].leases
        now = cluster.clock(name)
        if name not in acquired_at:
            status = leases.request(now, LEASE, OWNER)
            if status is not None and status.fencing_token:
                acquired_at[name] = cluster.now
            cluster.tick_now(name)
        elif acquired_at[name] <= cluster.now - 1.0:
            released.add(name)
            cluster.send(name, leases.release(now, LEASE, OWNER))
        else:
            leases.request(now, LEASE, OWNER)

    for name in names:
        cluster.at(20.0, partial(poll, name))
    cluster.run(90.0)
    require(len(acquired_at) == 14, f"{len(acquired_at)} of 14 members obtained the lease within 70 s")


def all_slots_used(seed: int) -> None:
    """With more proposers than slots all slots are used: waiters for one slot do not block waiters for another."""
    names = host_names(6)
    cluster = SimulatedCluster(seed, 6, member_factory(names, slot_counts={LEASE: 2}))
    acquired_at: dict[str, float] = {}
    acquired_count = 0

    def poll(name: str) -> None:
        nonlocal acquired_count
        cluster.at(cluster.now + POLL_INTERVAL_S, partial(poll, name))
        leases = cluster.members[name].leases
        now = cluster.clock(name)
        status = leases.request(now, LEASE, OWNER)
        if status is not None and status.fencing_token and name not in acquired_at:
            acquired_at[name] = cluster.now
            acquired_count += 1
        if name in acquired_at and cluster.now - acquired_at[name] >= 0.5:
            del acquired_at[name]
            cluster.send(name, leases.release(now, LEASE, OWNER))
        else:
            cluster.tick_now(name)

    for name in names:
        cluster.at(10.0, partial(poll, name))
    cluster.run(70.0)
    require(
        acquired_count > 120, f"two slots were leased {acquired_count} times for 0.5 s in 60 s, expected more than 120"
    )


def abandoned_lease_expires(seed: int) -> None:
    """A lease whose owner stops requesting it goes to no other owner before it expires, also at the same member."""
    names = host_names(3)
    cluster = SimulatedCluster(seed, 3, member_factory(names))
    silent_owner_until = 0.0
    acquired_at: list[float] = []

    def poll(name: str, owner: str) -> None:
        nonlocal silent_owner_until
        cluster.at(cluster.now + POLL_INTERVAL_S, partial(poll, name, owner))
        if owner == "silent" and silent_owner_until:
            return  # it obtained the lease once, and acts under it until it expires
        status = cluster.members[name].leases.request(cluster.clock(name), LEASE, owner)
        cluster.tick_now(name)
        if status is None or not status.fencing_token:
            return
        if owner == "silent":
            silent_owner_until = cluster.now + cluster.simulated_duration(name, status.remaining_s)
        else:
            acquired_at.append(cluster.now)

    cluster.at(2.0, partial(poll, names[0], "silent"))
    for name in names:
        cluster.at(6.0, partial(poll, name, "other"))
    cluster.run(60.0)
    require(silent_owner_until > 0, "the silent owner never obtained the lease")
    require(bool(acquired_at), "no other owner obtained the lease")
    early_s = silent_owner_until - acquired_at[0]
    require(early_s <= 0, f"another owner obtained the lease {early_s:.1f} s before it expired")


PROPERTIES: tuple[Property, ...] = (
    single_holder,
    fencing_tokens_survive_restart,
    reconfiguration,
    owners_share_no_slot,
    simultaneous_requests,
    all_slots_used,
    abandoned_lease_expires,
)
