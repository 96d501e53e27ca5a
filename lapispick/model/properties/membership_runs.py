"""Properties of the membership view in simulated clusters."""

from __future__ import annotations

import random

from lapispick.members.member import Member, MemberSettings
from lapispick.model.cluster import CONFIGURATION_DIGEST, FLEET, SimulatedCluster, host_names, member_factory
from lapispick.model.fault_script import FaultKind, FaultStep
from lapispick.model.properties.base import LEASE, Property, require, require_agreement

LOSS_AND_MAX_FALSE_DEATHS = ((0.05, 0), (0.2, 1))


def no_false_deaths(seed: int) -> None:
    """With a loss of 5 % no member that answers is declared dead; with 20 % seldom, and not for long.

    The stated rate is at most one member of twelve in two minutes, alive for all again by their end.
    """
    names = host_names(12)
    for loss, max_false_deaths in LOSS_AND_MAX_FALSE_DEATHS:
        cluster = SimulatedCluster(seed, 12, member_factory(names), loss=loss)
        cluster.max_extra_delay_s = 0.1
        cluster.run(120.0)
        wrong = sorted({death.name for death in cluster.deaths()})
        require(len(wrong) <= max_false_deaths, f"{wrong} were declared dead at a loss of {loss} and always answered")
        cluster.loss = 0.0
        cluster.run(150.0)
        require_agreement(cluster, set(names), set())


def short_pauses(seed: int) -> None:
    """A member that is paused for 2 s is not declared dead, nor does it declare others dead."""
    names = host_names(8)
    rng = random.Random(seed)
    script = [FaultStep(10.0 + 6 * n, FaultKind.PAUSE, rng.choice(names), 2.0) for n in range(10)]
    cluster = SimulatedCluster(seed, 8, member_factory(names), script)
    cluster.run(80.0)
    require(not cluster.deaths(), f"{cluster.deaths()[:2]} were declared dead and were only slow")


def partial_link_failures(seed: int) -> None:
    """Links that fail between two members, or in one direction, make no member dead."""
    names = host_names(8)
    cluster = SimulatedCluster(seed, 8, member_factory(names))
    cluster.blocked_links = {(names[0], names[1]), (names[1], names[0]), (names[2], names[3])}
    cluster.run(90.0)
    require(not cluster.deaths(), f"{cluster.deaths()[:2]} were declared dead and could be reached by others")


def deaths_detected(seed: int) -> None:
    """Members that die are dead for all within a minute, and alive for all again after their restart."""
    names = host_names(10)
    killed = names[:2]
    script = [FaultStep(10.0, FaultKind.KILL, ",".join(killed), 60.0)]
    cluster = SimulatedCluster(seed, 10, member_factory(names), script, loss=0.05)
    cluster.run(69.9)
    require_agreement(cluster, set(names[2:]), set(killed))
    cluster.run(130.0)
    require_agreement(cluster, set(names), set())


def convergence_after_partition(seed: int) -> None:
    """After a partition views agree within a minute, and only the larger side had a quorum meanwhile."""
    names = host_names(9)
    minority = names[:4]
    script = [FaultStep(5.0, FaultKind.PARTITION, ",".join(minority), 85.0)]
    cluster = SimulatedCluster(seed, 9, member_factory(names), script)
    cluster.run(89.0)
    for name in names:
        view = cluster.members[name].view
        in_majority = name not in minority
        require(view.live_count() == (5 if in_majority else 4), f"{name} sees {view.live_count()} of 9")
        require(view.has_quorum() == in_majority, f"{name} sees {view.live_count()} of 9, quorum {view.has_quorum()}")
    cluster.run(150.0)
    require_agreement(cluster, set(names), set())


def lost_process_epoch(seed: int) -> None:
    """A member whose epoch went back, with its disk and clock, is alive for all again in a later epoch than before."""
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
    require(epoch > 1000, f"its process epoch is {epoch}")


PROPERTIES: tuple[Property, ...] = (
    no_false_deaths,
    short_pauses,
    partial_link_failures,
    deaths_detected,
    convergence_after_partition,
    lost_process_epoch,
)
