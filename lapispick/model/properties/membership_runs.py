"""Properties of the membership view in simulated clusters."""

from __future__ import annotations

import random

from lapispick.members.member import Member, MemberSettings
from lapispick.model.cluster import CONFIGURATION_DIGEST, FLEET, SimulatedCluster, host_names, member_factory
from lapispick.model.fault_script import FaultKind, FaultStep
from lapispick.model.properties.base import LEASE, Property, require, require_agreement

LOSS_AND_MAX_FALSE_DEATHS = ((0.05, 0), (0.2, 1))


def no_false_deaths(seed: int) -> None:
    """With 5% message loss no running member is declared dead; with 20% rarely, and it recovers.

    Rarely means at most one member of 12 in two minutes. All views have it alive again 30 s after the loss ends.
    """
    names = host_names(12)
    for loss, max_false_deaths in LOSS_AND_MAX_FALSE_DEATHS:
        cluster = SimulatedCluster(seed, 12, member_factory(names), loss=loss)
        cluster.max_extra_delay_s = 0.1
        cluster.run(120.0)
        false_deaths = sorted({death.name for death in cluster.deaths()})
        observed = f"running members declared dead with a message loss of {loss:.0%}: {false_deaths}"
        require(len(false_deaths) <= max_false_deaths, observed)
        cluster.loss = 0.0
        cluster.run(150.0)
        require_agreement(cluster, set(names), set())


def short_pauses(seed: int) -> None:
    """A member that is paused for 2 s is not declared dead, and does not declare others dead."""
    names = host_names(8)
    rng = random.Random(seed)
    script = [FaultStep(10.0 + 6 * n, FaultKind.PAUSE, rng.choice(names), 2.0) for n in range(10)]
    cluster = SimulatedCluster(seed, 8, member_factory(names), script)
    cluster.run(80.0)
    require(not cluster.deaths(), f"members declared dead with pauses of 2 s only: {cluster.deaths()[:2]}")


def partial_link_failures(seed: int) -> None:
    """No member is declared dead because of links that fail between two members only, or in one direction only."""
    names = host_names(8)
    cluster = SimulatedCluster(seed, 8, member_factory(names))
    cluster.blocked_links = {(names[0], names[1]), (names[1], names[0]), (names[2], names[3])}
    cluster.run(90.0)
    require(not cluster.deaths(), f"members declared dead that others could reach: {cluster.deaths()[:2]}")


def deaths_detected(seed: int) -> None:
    """All members see killed members as dead within a minute, and as alive within a minute of their restart."""
    names = host_names(10)
    killed = names[:2]
    script = [FaultStep(10.0, FaultKind.KILL, ",".join(killed), 60.0)]
    cluster = SimulatedCluster(seed, 10, member_factory(names), script, loss=0.05)
    cluster.run(69.9)
    require_agreement(cluster, set(names[2:]), set(killed))
    cluster.run(130.0)
    require_agreement(cluster, set(names), set())


def convergence_after_partition(seed: int) -> None:
    """Only the larger side of a partition has a quorum, and all views agree within a minute after the partition."""
    names = host_names(9)
    minority = names[:4]
    script = [FaultStep(5.0, FaultKind.PARTITION, ",".join(minority), 85.0)]
    cluster = SimulatedCluster(seed, 9, member_factory(names), script)
    cluster.run(89.0)
    for name in names:
        view = cluster.members[name].view
        in_majority = name not in minority
        require(
            view.live_count() == (5 if in_majority else 4), f"{name} sees {view.live_count()} of 9 members as alive"
        )
        require(
            view.has_quorum() == in_majority,
            f"{name} has quorum {view.has_quorum()} with {view.live_count()} of 9 alive",
        )
    cluster.run(150.0)
    require_agreement(cluster, set(names), set())


def lost_process_epoch(seed: int) -> None:
    """A member whose process epoch is lower after a restart rejoins with a higher epoch than before.

    An epoch decreases if the stored epoch is lost and the host's clock is set back.
    """
    names = host_names(5)
    configuration = frozenset(names)

    def start(name: str, epoch: int, now: float, rng: random.Random) -> Member:
        process_epoch = 1000 if epoch == 1 else 3
        settings = MemberSettings()
        return Member(name, FLEET, process_epoch, configuration, CONFIGURATION_DIGEST, {LEASE: 1}, settings, rng, now)

    cluster = SimulatedCluster(seed, 5, start, [FaultStep(10.0, FaultKind.KILL, names[0], 30.0)])
    cluster.run(100.0)
    require_agreement(cluster, set(names), set())
    epoch = cluster.members[names[0]].process_epoch
    require(epoch > 1000, f"the process epoch after the restart is {epoch}, expected more than 1000")


PROPERTIES: tuple[Property, ...] = (
    no_false_deaths,
    short_pauses,
    partial_link_failures,
    deaths_detected,
    convergence_after_partition,
    lost_process_epoch,
)
