"""Whole rollouts in simulated time, with the agents' own decisions."""

import random

from benchmarks.rollout_model import NEW, OLD, SimulatedFleet, SimulatedHost
from lapispick.rollout import (
    pacing,
    rollout_state,
    rollout_step,
)
from lapispick.rollout.host_state import HostPhase
from lapispick.rollout.messages import Fence
from lapispick.rollout.rollout_state import Order, Phase
from lapispick.rollout.step_context import Observations


def test_a_good_rollout_changes_all_hosts_and_keeps_its_pace():
    fleet = SimulatedFleet(3, 60)
    state = fleet.play()
    assert state.phase == Phase.DONE
    assert all(b.serving(fleet.now)[0] == NEW for b in fleet.hosts.values())
    assert fleet.max_down == 0


def test_a_bad_generation_costs_little_and_is_rolled_back():
    fleet = SimulatedFleet(4, 60, effect=lambda class_name, warm: 0.3)
    state = fleet.play()
    assert state.phase == Phase.ROLLED_BACK
    assert all(b.serving(fleet.now)[0] == OLD for b in fleet.hosts.values())
    assert fleet.lost_requests / fleet.served_without_change < 0.03


def test_a_generation_that_is_bad_only_when_warm_is_found():
    state = SimulatedFleet(5, 60, effect=lambda class_name, warm: 0.25 if warm >= 1 else 0.0).play()
    assert state.phase == Phase.ROLLED_BACK


def test_a_change_that_harms_unchanged_hosts_is_never_taken_for_good():
    fleet = SimulatedFleet(6, 30, sizes=("30%", "100%"), harm=1.0, drift=0.0)
    while fleet.rollout.phase not in (
        Phase.AWAITING_DECISION,
        Phase.DONE,
        Phase.ROLLED_BACK,
        Phase.CONFIRMING,
    ):
        fleet.second()
    assert fleet.rollout.phase == Phase.AWAITING_DECISION
    assert "that stay as they are got worse" in fleet.rollout.reason


def test_a_store_collapse_within_a_stage_stops_nothing():
    fleet = SimulatedFleet(7, 30, sizes=("30%", "100%"))
    while fleet.rollout.phase != Phase.BAKING:
        fleet.second()
    for n in range(40):
        fleet.store_collapse = 0.5 if n < 30 else 0.0
        fleet.second()
    assert fleet.rollout.phase in (Phase.BAKING, Phase.AWAITING_DECISION, Phase.CONFIRMING)


def test_a_rollback_is_suspended_while_too_much_of_the_fleet_is_down():
    fleet = SimulatedFleet(8, 20, sizes=("50%", "100%"))
    while fleet.rollout.phase != Phase.BAKING:
        fleet.second()
    for name in list(fleet.hosts)[:10]:
        fleet.hosts[name].processes.clear()
        fleet.hosts[name].failing_generations = {OLD, NEW}
    for _ in range(30):
        fleet.second()
    assert fleet.rollout.phase == Phase.ROLLBACK_SUSPENDED
    cause, _, burns = fleet.rollout.reason.rpartition("; ")
    assert "boxes do not serve" in burns
    starts = sum(b.starts for b in fleet.hosts.values() if not b.failing_generations)
    for _ in range(30):
        fleet.second()
    assert sum(b.starts for b in fleet.hosts.values() if not b.failing_generations) == starts
    for each in fleet.hosts.values():
        each.failing_generations = set()
    assert fleet.play(order=Order.ROLL_BACK).phase == Phase.ROLLED_BACK
    assert fleet.rollout.reason == cause  # why it went back is told in the end, not that a fire is over


def test_a_rollback_has_a_pace_of_its_own():
    fleet = SimulatedFleet(9, 40, sizes=("60%", "100%"), plan={"max_concurrent_rollbacks": 2})
    while fleet.rollout.phase != Phase.BAKING:
        fleet.second()
    fleet.rollout.order = Order.ROLL_BACK
    worst = 0
    while not fleet.rollout.is_over:
        fleet.second()
        worst = max(worst, sum(b.state.phase == HostPhase.ROLLING_BACK for b in fleet.hosts.values()))
    assert fleet.rollout.phase == Phase.ROLLED_BACK
    assert 0 < worst <= 3


def test_cold_hosts_are_in_neither_group():
    fleet = SimulatedFleet(10, 20, sizes=("30%", "100%"), plan={"warm_up_s": 10.0})
    while fleet.rollout.phase != Phase.BAKING:
        fleet.second()
    reports = fleet.reports()
    changed, old = rollout_state.comparison_groups(fleet.rollout, reports)
    assert all(reports[n].status.serving_s >= 10.0 for n in (*changed, *old))
    for _ in range(20):
        fleet.second()
    reports = fleet.reports()
    changed, old = rollout_state.comparison_groups(fleet.rollout, reports)
    assert set(changed) == set(fleet.rollout.stage_hosts)
    assert set(old) == set(fleet.rollout.controls)


def until_phase(fleet, *phases, most=2000):
    while fleet.rollout.phase not in phases:
        fleet.second()
        assert fleet.now < most, fleet.rollout.phase
    return fleet.rollout


def test_a_planned_hold_waits_for_an_operator_and_begins_nothing():
    fleet = SimulatedFleet(11, 20, sizes=("20%", "100%"), plan={"hold_after_stages": (1,)})
    until_phase(fleet, Phase.HELD, Phase.AWAITING_DECISION)
    if fleet.rollout.phase == Phase.AWAITING_DECISION:
        fleet.rollout.order = Order.RESUME
        until_phase(fleet, Phase.HELD)
    starts = sum(b.starts for b in fleet.hosts.values())
    for _ in range(60):
        fleet.second()
    assert fleet.rollout.phase == Phase.HELD
    assert sum(b.starts for b in fleet.hosts.values()) == starts
    fleet.rollout.order = Order.RESUME
    assert fleet.play().phase == Phase.DONE


def test_an_operator_holds_a_stage_and_resumes_it_where_it_was():
    fleet = SimulatedFleet(12, 20, sizes=("50%", "100%"), plan={"pace": pacing.Limits(1, 0.5)})
    until_phase(fleet, Phase.CHANGING)
    fleet.second()
    fleet.rollout.order = Order.HOLD
    fleet.second()
    assert fleet.rollout.phase == Phase.HELD
    begun = sum(b.serving(fleet.now)[0] == NEW or b.state.phase != HostPhase.STEADY for b in fleet.hosts.values())
    for _ in range(30):
        fleet.second()
    assert sum(b.state.target == NEW for b in fleet.hosts.values()) == begun < 10
    fleet.rollout.order = Order.RESUME
    fleet.second()
    assert fleet.rollout.phase == Phase.CHANGING
    fleet.rollout.order = Order.ROLL_BACK
    assert fleet.play().phase == Phase.ROLLED_BACK


def test_nothing_begins_outside_of_the_hours_and_a_stage_under_way_goes_on():
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


def test_hosts_that_join_come_last_and_hosts_that_leave_are_removed():
    fleet = SimulatedFleet(14, 12, sizes=("30%", "100%"))
    until_phase(fleet, Phase.CHANGING)
    gone = next(n for n in fleet.hosts if n not in fleet.rollout.stage_hosts)
    del fleet.hosts[gone]
    fleet.hosts["d9999"] = SimulatedHost("d9999", random.Random(1))
    fleet.second()
    assert gone in fleet.rollout.removed_hosts
    assert fleet.rollout.deferred_hosts == ["d9999"]
    assert fleet.play().phase == Phase.DONE
    assert all(b.serving(fleet.now)[0] == NEW for b in fleet.hosts.values())


def test_an_unreachable_host_is_deferred_and_changed_once_it_answers():
    fleet = SimulatedFleet(15, 12, sizes=("50%", "100%"))
    until_phase(fleet, Phase.CHANGING)
    lost = fleet.rollout.stage_hosts[0]
    fleet.hosts[lost].reachable = False
    until_phase(fleet, Phase.BAKING)
    assert lost in fleet.rollout.deferred_hosts
    assert lost not in fleet.rollout.stage_hosts
    for _ in range(5000):
        if fleet.rollout.phase == Phase.AWAITING_DECISION:
            fleet.rollout.order = Order.RESUME
        if fleet.rollout.stage >= 2:
            break
        fleet.second()
    assert until_phase(fleet, Phase.CHANGING, most=6000).stage_hosts == [lost]
    for _ in range(60):
        fleet.second()
    assert fleet.rollout.phase == Phase.CHANGING
    assert "can be reached" in fleet.rollout.reason
    fleet.hosts[lost].reachable = True
    assert fleet.play().phase == Phase.DONE
    assert fleet.hosts[lost].serving(fleet.now)[0] == NEW
