"""Whole rollouts of simulated fleets, with the decisions of controller and agents, in simulated time."""

import random

from benchmarks.rollout_model import NEW, OLD, SimulatedFleet, SimulatedHost
from lapispick.rollout import pacing, rollout_state, rollout_step
from lapispick.rollout.host_state import HostPhase
from lapispick.rollout.messages import Fence
from lapispick.rollout.rollout_state import Order, Phase
from lapispick.rollout.step_context import Observations


def play_until_phase(fleet, *phases, max_now=2000):
    """Advance the simulated time until the rollout is in one of these phases, and return the rollout."""
    while fleet.rollout.phase not in phases:
        fleet.second()
        assert fleet.now < max_now, fleet.rollout.phase
    return fleet.rollout


def test_a_good_rollout_changes_all_hosts_and_takes_none_down():
    fleet = SimulatedFleet(3, 60)
    state = fleet.play()
    assert state.phase == Phase.DONE
    assert all(host.serving(fleet.now)[0] == NEW for host in fleet.hosts.values())
    assert fleet.max_down == 0


def test_a_bad_generation_loses_few_requests_and_is_rolled_back():
    fleet = SimulatedFleet(4, 60, effect=lambda class_name, warm: 0.3)
    state = fleet.play()
    assert state.phase == Phase.ROLLED_BACK
    assert all(host.serving(fleet.now)[0] == OLD for host in fleet.hosts.values())
    assert fleet.lost_requests / fleet.served_without_change < 0.03


def test_a_generation_that_is_bad_only_when_warm_is_rolled_back():
    state = SimulatedFleet(5, 60, effect=lambda class_name, warm: 0.25 if warm >= 1 else 0.0).play()
    assert state.phase == Phase.ROLLED_BACK


def test_a_change_that_harms_unchanged_hosts_is_never_judged_good():
    fleet = SimulatedFleet(6, 30, sizes=("30%", "100%"), harm=1.0, drift=0.0)
    play_until_phase(fleet, Phase.AWAITING_DECISION, Phase.DONE, Phase.ROLLED_BACK, Phase.CONFIRMING)
    assert fleet.rollout.phase == Phase.AWAITING_DECISION
    assert "that stay as they are got worse" in fleet.rollout.reason


def test_a_store_collapse_within_a_stage_stops_no_rollout():
    fleet = SimulatedFleet(7, 30, sizes=("30%", "100%"))
    play_until_phase(fleet, Phase.BAKING)
    for second in range(40):
        fleet.store_collapse = 0.5 if second < 30 else 0.0
        fleet.second()
    assert fleet.rollout.phase in (Phase.BAKING, Phase.AWAITING_DECISION, Phase.CONFIRMING)


def test_a_rollback_is_suspended_while_too_much_of_the_fleet_is_down():
    fleet = SimulatedFleet(8, 20, sizes=("50%", "100%"))
    play_until_phase(fleet, Phase.BAKING)
    for name in list(fleet.hosts)[:10]:
        fleet.hosts[name].processes.clear()
        fleet.hosts[name].failing_generations = {OLD, NEW}
    for _ in range(30):
        fleet.second()
    assert fleet.rollout.phase == Phase.ROLLBACK_SUSPENDED
    cause, _, suspension = fleet.rollout.reason.rpartition("; ")
    assert "boxes do not serve" in suspension
    starts = sum(host.starts for host in fleet.hosts.values() if not host.failing_generations)
    for _ in range(30):
        fleet.second()
    assert sum(host.starts for host in fleet.hosts.values() if not host.failing_generations) == starts
    for host in fleet.hosts.values():
        host.failing_generations = set()
    assert fleet.play(order=Order.ROLL_BACK).phase == Phase.ROLLED_BACK
    assert fleet.rollout.reason == cause  # the cause of the rollback, without the reason of its suspension


def test_a_rollback_has_its_own_limit_of_concurrent_hosts():
    fleet = SimulatedFleet(9, 40, sizes=("60%", "100%"), plan={"max_concurrent_rollbacks": 2})
    play_until_phase(fleet, Phase.BAKING)
    fleet.rollout.order = Order.ROLL_BACK
    max_rolling_back = 0
    while not fleet.rollout.is_over:
        fleet.second()
        max_rolling_back = max(
            max_rolling_back, sum(host.state.phase == HostPhase.ROLLING_BACK for host in fleet.hosts.values())
        )
    assert fleet.rollout.phase == Phase.ROLLED_BACK
    assert 0 < max_rolling_back <= 3


def test_hosts_that_are_warming_up_are_not_compared():
    fleet = SimulatedFleet(10, 20, sizes=("30%", "100%"), plan={"warm_up_s": 10.0})
    play_until_phase(fleet, Phase.BAKING)
    reports = fleet.reports()
    changed, unchanged = rollout_state.comparison_groups(fleet.rollout, reports)
    assert all(reports[name].status.serving_s >= 10.0 for name in (*changed, *unchanged))
    for _ in range(20):
        fleet.second()
    reports = fleet.reports()
    changed, unchanged = rollout_state.comparison_groups(fleet.rollout, reports)
    assert set(changed) == set(fleet.rollout.stage_hosts)
    assert set(unchanged) == set(fleet.rollout.controls)


def test_a_planned_hold_waits_for_an_operator_and_changes_no_host():
    fleet = SimulatedFleet(11, 20, sizes=("20%", "100%"), plan={"hold_after_stages": (1,)})
    play_until_phase(fleet, Phase.HELD, Phase.AWAITING_DECISION)
    if fleet.rollout.phase == Phase.AWAITING_DECISION:
        fleet.rollout.order = Order.RESUME
        play_until_phase(fleet, Phase.HELD)
    starts = sum(host.starts for host in fleet.hosts.values())
    for _ in range(60):
        fleet.second()
    assert fleet.rollout.phase == Phase.HELD
    assert sum(host.starts for host in fleet.hosts.values()) == starts
    fleet.rollout.order = Order.RESUME
    assert fleet.play().phase == Phase.DONE


def test_an_operator_holds_a_stage_and_resumes_it_where_it_was():
    fleet = SimulatedFleet(12, 20, sizes=("50%", "100%"), plan={"pace": pacing.Limits(1, 0.5)})
    play_until_phase(fleet, Phase.CHANGING)
    fleet.second()
    fleet.rollout.order = Order.HOLD
    fleet.second()
    assert fleet.rollout.phase == Phase.HELD
    started_changes = sum(
        host.serving(fleet.now)[0] == NEW or host.state.phase != HostPhase.STEADY for host in fleet.hosts.values()
    )
    for _ in range(30):
        fleet.second()
    assert sum(host.state.target == NEW for host in fleet.hosts.values()) == started_changes < 10
    fleet.rollout.order = Order.RESUME
    fleet.second()
    assert fleet.rollout.phase == Phase.CHANGING
    fleet.rollout.order = Order.ROLL_BACK
    assert fleet.play().phase == Phase.ROLLED_BACK


def test_no_stage_starts_outside_of_the_hours_and_a_running_stage_continues():
    fleet = SimulatedFleet(13, 12, sizes=("30%", "100%"))
    reports = fleet.reports()
    state, calls = rollout_step.decide(fleet.rollout, Fence(1, "a"), Observations(1.0, reports, None, "it is 03:00"))
    state, calls = rollout_step.decide(state, Fence(1, "a"), Observations(500.0, reports, None, "it is 03:00"))
    assert state.phase == Phase.BASELINE
    assert not calls
    state.phase, state.stage = Phase.WAITING, 1
    state, calls = rollout_step.decide(state, Fence(1, "a"), Observations(501.0, reports, None, "it is 03:00"))
    assert state.phase == Phase.WAITING
    assert state.reason == "it is 03:00"
    state, _ = rollout_step.decide(state, Fence(1, "a"), Observations(502.0, reports, None, ""))
    assert state.phase == Phase.CHANGING
    state, _ = rollout_step.decide(state, Fence(1, "a"), Observations(503.0, reports, None, "it is 03:00"))
    assert state.phase == Phase.CHANGING


def test_hosts_that_join_are_changed_last_and_unlisted_hosts_are_removed():
    fleet = SimulatedFleet(14, 12, sizes=("30%", "100%"))
    play_until_phase(fleet, Phase.CHANGING)
    removed = next(name for name in fleet.hosts if name not in fleet.rollout.stage_hosts)
    del fleet.hosts[removed]
    fleet.hosts["d9999"] = SimulatedHost("d9999", random.Random(1))
    fleet.second()
    assert removed in fleet.rollout.removed_hosts
    assert fleet.rollout.deferred_hosts == ["d9999"]
    assert fleet.play().phase == Phase.DONE
    assert all(host.serving(fleet.now)[0] == NEW for host in fleet.hosts.values())


def test_an_unreachable_host_is_deferred_and_changed_once_it_answers():
    fleet = SimulatedFleet(15, 12, sizes=("50%", "100%"))
    play_until_phase(fleet, Phase.CHANGING)
    unreachable = fleet.rollout.stage_hosts[0]
    fleet.hosts[unreachable].reachable = False
    play_until_phase(fleet, Phase.BAKING)
    assert unreachable in fleet.rollout.deferred_hosts
    assert unreachable not in fleet.rollout.stage_hosts
    for _ in range(5000):
        if fleet.rollout.phase == Phase.AWAITING_DECISION:
            fleet.rollout.order = Order.RESUME
        if fleet.rollout.stage >= 2:
            break
        fleet.second()
    assert play_until_phase(fleet, Phase.CHANGING, max_now=6000).stage_hosts == [unreachable]
    for _ in range(60):
        fleet.second()
    assert fleet.rollout.phase == Phase.CHANGING
    assert "can be reached" in fleet.rollout.reason
    fleet.hosts[unreachable].reachable = True
    assert fleet.play().phase == Phase.DONE
    assert fleet.hosts[unreachable].serving(fleet.now)[0] == NEW
