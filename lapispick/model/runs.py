"""Simulation runs and their metrics."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

import msgspec

from lapispick.members.member import MemberSettings
from lapispick.model import fault_script
from lapispick.model.cluster import SimulatedCluster, host_names, member_factory

LEASE = "job"
OWNER = "owner"
HOLD_TIME_S = 0.5  # time for which an owner holds a lease before it releases it
CHECK_INTERVAL_S = 0.1


class RunSettings(msgspec.Struct, frozen=True):
    """Settings of one run; ``loss`` is the fraction of lost messages, ``script`` the text of a fault script."""

    size: int  # members
    seconds: float = 60.0  # simulated time
    loss: float = 0.0
    seed: int = 1
    script: str = ""
    lease_requesters: int = 0  # members that request the lease


class RunMetrics(msgspec.Struct):
    """Metrics of a run. Times are in s; -1 means that there was no such event. Saved sweeps use the JSON names."""

    size: int
    messages_per_member_s: float = msgspec.field(name="words")
    bytes_per_member_s: float = msgspec.field(name="bytes")
    killed: int
    detected: int = msgspec.field(name="noticed")  # killed members that were declared dead
    mean_first_detection_s: float = msgspec.field(name="notice_first")
    mean_last_detection_s: float = msgspec.field(name="notice_all")  # until the last declaration by a live member
    false_deaths: int  # members that were declared dead without being killed
    leases: int = msgspec.field(name="turns")
    mean_lease_wait_s: float = msgspec.field(name="turn_wait")  # from a holder's release to the next acquisition
    overlaps: int  # checks that found more than one holder
    cpu_s: float


class _LeaseWorkload:
    """Owners that repeatedly request the lease, hold it for ``HOLD_TIME_S`` and release it."""

    def __init__(self, cluster: SimulatedCluster, owners: list[str]) -> None:
        self.cluster = cluster
        self.acquired_count = 0
        self.total_wait_s = 0.0
        self.overlaps = 0
        self._held_since: dict[str, float] = {}
        self._free_since = 0.0
        for name in owners:
            cluster.at(cluster.rng.random(), partial(self._poll, name))

    def _poll(self, name: str) -> None:
        cluster = self.cluster
        cluster.at(cluster.now + CHECK_INTERVAL_S, partial(self._poll, name))
        if not cluster.is_running(name):
            return
        leases = cluster.members[name].leases
        now = cluster.clock(name)
        status = leases.request(now, LEASE, OWNER)
        if status is not None:
            self._record_status(name, bool(status.fencing_token))
        if name in self._held_since and cluster.now - self._held_since[name] >= HOLD_TIME_S:
            del self._held_since[name]
            self._free_since = cluster.now
            cluster.send(name, leases.release(now, LEASE, OWNER))
        else:
            cluster.tick_now(name)

    def _record_status(self, name: str, is_held: bool) -> None:
        if not is_held:
            self._held_since.pop(name, None)
        elif name not in self._held_since:
            self._held_since[name] = self.cluster.now
            self.acquired_count += 1
            self.total_wait_s += self.cluster.now - self._free_since

    def check(self) -> None:
        """Count an overlap if more than one member holds the lease at this instant, each by its own clock."""
        holders = sum(self._is_holder(name) for name in self._held_since if name not in self.cluster.killed)
        self.overlaps += holders > 1

    def _is_holder(self, name: str) -> bool:
        statuses = self.cluster.members[name].leases.statuses(self.cluster.clock(name))
        return any(status.fencing_token for status in statuses)


def simulate(run: RunSettings, settings: MemberSettings | None = None) -> RunMetrics:
    """Run one simulation and return its metrics."""
    started_cpu = time.process_time()
    factory = member_factory(host_names(run.size), settings)
    cluster = SimulatedCluster(run.seed, run.size, factory, fault_script.parse(run.script), run.loss)
    killed: dict[str, float] = {}
    _record_kills(cluster, killed)
    workload = _LeaseWorkload(cluster, cluster.names[: run.lease_requesters])
    cluster.run(run.seconds, workload.check if run.lease_requesters else None)
    first_detections: dict[str, float] = {}
    last_detections: dict[str, float] = {}
    for at, observer, name in cluster.deaths():
        if name in killed and at >= killed[name] and observer not in killed:
            first_detections.setdefault(name, at - killed[name])
            last_detections[name] = at - killed[name]
    return RunMetrics(
        size=run.size,
        messages_per_member_s=cluster.sent_messages / run.size / run.seconds,
        bytes_per_member_s=cluster.sent_bytes / run.size / run.seconds,
        killed=len(killed),
        detected=len(first_detections),
        mean_first_detection_s=_mean(first_detections),
        mean_last_detection_s=_mean(last_detections),
        false_deaths=len({death.name for death in cluster.deaths() if death.name not in killed}),
        leases=workload.acquired_count,
        mean_lease_wait_s=workload.total_wait_s / workload.acquired_count if workload.acquired_count else -1.0,
        overlaps=workload.overlaps,
        cpu_s=time.process_time() - started_cpu,
    )


def _mean(values: dict[str, float]) -> float:
    return sum(values.values()) / len(values) if values else -1.0


def _record_kills(cluster: SimulatedCluster, killed: dict[str, float]) -> None:
    """Record when each member is first killed, to the precision of ``CHECK_INTERVAL_S``."""

    def check() -> None:
        for name in cluster.killed:
            killed.setdefault(name, cluster.now)
        cluster.at(cluster.now + CHECK_INTERVAL_S, check)

    cluster.at(0.0, check)


def plot(rows: list[RunMetrics], path: str) -> None:
    """Plot metrics by cluster size, and write the plot to an image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(11, 3.2))
    values: tuple[tuple[str, Callable[[RunMetrics], float]], ...] = (
        ("time to first detection of a death (s)", lambda row: row.mean_first_detection_s),
        ("messages per member per second", lambda row: row.messages_per_member_s),
        ("bytes per member per second", lambda row: row.bytes_per_member_s),
    )
    for axis, (label, value) in zip(axes, values, strict=True):
        axis.plot([row.size for row in rows], [value(row) for row in rows], marker="o")
        axis.set_xscale("log")
        axis.set_ylim(bottom=0)
        axis.set_xlabel("members")
        axis.set_title(label, fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
