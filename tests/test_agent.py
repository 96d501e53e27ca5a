"""A box's agent on the running program: changes, undoing, and the agent killed at every point that it names."""

import datetime
import itertools
import json
import os
import signal
import time

import pytest

from lapispick.fakes.agents import HOST_STARTED, LOG_DEBUG_SETTINGS, METRICS_SETTINGS, HostAgent
from lapispick.fakes.fleet import Fleet
from lapispick.fakes.member_cluster import MemberCluster
from lapispick.fakes.ports import call_operators
from lapispick.fakes.program_patches import (
    DOES_NOT_START,
    HANGS_AT_START,
    LOGS_DEBUG_LINES,
    exits_after_a_second,
    program,
)
from lapispick.fakes.waiting import wait_until


class Made:
    """A fleet of one box with an agent, a load, and two generations."""

    def __init__(self, fleet, **bounds):
        self.fleet, self.host = fleet, fleet.hosts[0]
        self.agent = HostAgent(self.host, **bounds)
        self.good = self.agent.add(label="good")
        self.new = self.agent.add(settings=METRICS_SETTINGS + LOG_DEBUG_SETTINGS, label="new")

    def up(self, **more):
        self.agent.start(adopt=self.good, **more)
        if not more:
            self.agent.wait_serving(self.good)
        return self

    def loaded(self):
        self.fleet.start_load()
        self.fleet.wait_for_results(20)
        return self

    def kept(self):
        assert self.fleet.broken_rules() == []
        assert max(self.fleet.record.executions_by_key().values(), default=0) <= 1


@pytest.fixture
def made(tmp_path):
    with Fleet(tmp_path, seed=5, hosts=1, gateways=2, rate=25) as fleet:
        yield Made(fleet)


def test_a_change_serves_and_stays_once_confirmed(made):
    made.up().loaded()
    agent = made.agent
    assert agent.call(f"change 1.a r1 {made.new} 60")[0] == "OK"
    agent.wait_for_phase("proving", serving=made.new)
    assert agent.call("confirm 1.a r1")[0] == "OK"
    assert agent.call("confirm 1.a r1")[0] == "OK done"
    assert agent.wait_for_phase("steady", good=made.new, serving=made.new).rolled_back_rollout == ""
    wait_until(lambda: agent.running_generations() == [made.new], "the end of the old process")
    assert agent.call("back 1.a r1")[0] == "OK"  # a stage that went wrong later on
    agent.wait_for_phase("steady", good=made.good, serving=made.good, rolled_back_rollout="r1")
    made.kept()


def test_what_is_not_confirmed_in_time_is_undone_with_nobody_to_ask(made):
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {made.new} 1.0")
    agent.wait_for_phase("proving")
    agent.wait_for_phase("steady", serving=made.good, rolled_back_rollout="r1", fault="was not confirmed in time")
    assert agent.call("confirm 1.a r1")[0].startswith("ERR undone")
    assert agent.call(f"change 1.a r1 {made.new} 9")[0].startswith("ERR undone")  # a controller that wakes up late
    made.kept()


def test_a_lower_fence_and_another_of_the_same_are_told_no(made):
    made.up()
    agent = made.agent
    assert agent.call("steer 7.b")[0] == "OK"
    change = f"r1 {made.new} 9"
    for word in (f"change 6.a {change}", f"change 7.a {change}", "confirm 6.a r1", "back 1.z r1", "steer 7.a"):
        assert agent.call(word)[0] == f"ERR fenced: 7.b steers, not {word.split()[1]}"
    assert agent.call("steer 8.a")[0] == "OK"
    assert agent.call("steer 7.b")[0].startswith("ERR fenced")
    for word in (
        "change 8.a r1 nowhere 9",
        "change 8.a r1",
        "jump 8.a",
        "steer x",
        f"change 8.a r/1 {made.new} 9",
        f"change 8.a r1 {made.new} nan",
    ):
        assert agent.call(word)[0].startswith("ERR")
    assert agent.status().phase == "steady"


def test_settings_that_sighup_takes_are_changed_in_place_and_back(made):
    other = made.agent.add(config={"stop_ms": 2200})
    made.up().loaded()
    agent, (before,) = made.agent, made.agent.pids()
    assert agent.call_until_serving(f"change 1.a r1 {other} 60")[0] == "OK"
    agent.wait_for_phase("proving", serving=other)
    log = next(agent.folder.glob("lives/1.log"))
    wait_until(lambda: "event=reloaded changed=stop_ms" in log.read_text(), "the reload")
    agent.call("back 1.a r1")
    agent.wait_for_phase("steady", serving=made.good)
    wait_until(lambda: log.read_text().count("event=reloaded changed=stop_ms") == 2, "the reload back")
    assert agent.pids() == [before]
    made.kept()


FAULTY_PROGRAMS = {
    "does not start": DOES_NOT_START,
    "hangs": HANGS_AT_START,
    "dies a second after": exits_after_a_second(),
}


@pytest.mark.parametrize("fault", FAULTY_PROGRAMS)
def test_a_generation_that_fails_is_undone_by_itself(made, fault, tmp_path):
    bad = made.agent.add(program(tmp_path / "bad", FAULTY_PROGRAMS[fault]))
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {bad} 60")
    if fault == "dies a second after":
        agent.wait_for_phase("proving")
        number = made.fleet.record.begin_fault("killed", [made.host.name])
    found = agent.wait_for_phase("steady", rolled_back_rollout="r1", serving=made.good)
    assert bad in found.fault
    assert found.good == made.good
    wait_until(lambda: agent.running_generations() == [made.good], "only the good one")
    if fault == "dies a second after":
        made.fleet.record.end_fault(number)
    made.fleet.wait_for_results(20)
    made.kept()


def test_the_last_good_generation_deleted_stops_a_change_before_it_begins(made):
    made.up()
    agent = made.agent
    os.rename(agent.store.folder / made.good, agent.store.folder / ".away")
    wait_until(lambda: made.good not in agent.status().generations, "that the agent sees it")
    assert "not on the shelf" in agent.call(f"change 1.a r1 {made.new} 9")[0]
    os.rename(agent.store.folder / ".away", agent.store.folder / made.good)
    wait_until(lambda: made.good in agent.status().generations, "that the agent sees it")
    agent.call(f"change 1.a r1 {made.new} 1.0")
    agent.wait_for_phase("proving")
    os.rename(agent.store.folder / made.good, agent.store.folder / ".away")
    found = agent.wait_for_phase("stuck", serving=made.new)  # it must go back and can't: what serves goes on serving
    assert "gone from the shelf" in found.fault
    assert call_operators(agent.operator_addresses[agent_slot(agent)], "check") == ["OK"]


def agent_slot(agent):
    state = json.loads((agent.folder / "state.json").read_text())
    return next(life["slot"] for life in state["lives"] if life["role"] == "serving")


# (point, times it is passed before the agent dies there)
POINTS = [
    ("stored", 1),
    ("starting", 1),
    ("started", 1),
    ("answering", 1),
    ("decided", 2),
    ("stored", 2),
    ("stored", 3),
    ("terminating", 1),
    ("terminated", 1),
    ("decided", 4),
]


@pytest.mark.parametrize(("point", "times"), POINTS)
def test_an_agent_killed_at_any_point_of_a_change_leaves_a_box_that_serves(made, point, times):
    """The next agent goes on: the box ends in the new generation, asked for, or in the good one; with one process."""
    made.up()
    agent = made.agent
    agent.kill()
    agent.start(dies_at=point, times=times)
    wait_until(
        lambda: agent.process.poll() is not None or getattr(agent.status(), "serving", "") == made.good,
        "the agent at work",
    )
    made.loaded()
    agent.call(f"change 1.a r1 {made.new} 60")
    agent.wait_ended()
    made.fleet.wait_for_results(20)  # with no agent at all
    agent.start()
    if agent.status().rollout != "r1":  # it died before the change was on disk: the controller asks again
        agent.wait_serving(made.good)  # once this agent has looked at the process for the first time
        assert agent.call(f"change 1.a r1 {made.new} 60")[0] == "OK"
    agent.wait_for_phase("proving", serving=made.new)
    assert agent.call("confirm 1.a r1")[0].startswith("OK")
    agent.wait_for_phase("steady", serving=made.new, good=made.new)
    wait_until(lambda: agent.running_generations() == [made.new], "one process of the new generation")
    made.fleet.wait_for_results(20)
    made.kept()


@pytest.mark.parametrize(
    ("point", "times"), [("starting", 1), ("started", 1), ("terminating", 1), ("terminated", 1), ("stored", 2)]
)
def test_an_agent_killed_while_it_undoes_a_change_goes_on_undoing_it(made, point, times):
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {made.new} 60")
    agent.wait_for_phase("proving", serving=made.new)
    wait_until(lambda: agent.running_generations() == [made.new], "the end of the old process")
    agent.kill()
    agent.start(dies_at=point, times=times)
    agent.call("back 1.a r1")
    agent.wait_ended()
    agent.start()
    agent.wait_for_phase("steady", serving=made.good, rolled_back_rollout="r1")
    wait_until(lambda: agent.running_generations() == [made.good], "one process of the good generation")
    made.kept()


def test_an_agent_that_sleeps_past_the_confirm_time_undoes_the_change_and_takes_no_late_word(made):
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {made.new} 1.5")
    agent.wait_for_phase("proving", serving=made.new)
    began = time.monotonic()
    agent.process.send_signal(signal.SIGSTOP)
    wait_until(lambda: time.monotonic() - began > 2.0, "the end of the confirm time")
    agent.process.send_signal(signal.SIGCONT)
    assert agent.call("confirm 1.a r1")[0].startswith("ERR")
    agent.wait_for_phase("steady", serving=made.good, rolled_back_rollout="r1")
    made.kept()


def test_a_host_that_is_killed_is_started_again_in_the_good_generation(made):
    made.up().loaded()
    agent, (pid,) = made.agent, made.agent.pids()
    number = made.fleet.record.begin_fault("killed", [made.host.name])
    os.kill(pid, signal.SIGKILL)
    wait_until(lambda: agent.pids() not in ([], [pid]), "another process")
    found = agent.wait_serving(made.good)
    made.fleet.record.end_fault(number)
    assert found.crashes == 1
    assert found.phase == "steady"
    made.fleet.wait_for_results(20)
    made.kept()


def test_a_host_that_hangs_long_after_its_start_is_started_anew_and_one_stopped_for_a_moment_is_not(tmp_path):
    with Fleet(tmp_path, seed=5, hosts=1, gateways=2, rate=25) as fleet:
        made = Made(fleet, start=1.0)
        made.up().loaded()
        (pid,) = made.agent.pids()
        number = made.fleet.record.begin_fault("stopped", [made.host.name])
        os.kill(pid, signal.SIGSTOP)
        began = time.monotonic()
        wait_until(lambda: made.agent.status().serving == "", "that the agent sees it")
        wait_until(lambda: time.monotonic() - began > 2.0, "two seconds")
        os.kill(pid, signal.SIGCONT)
        assert made.agent.wait_serving(made.good).crashes == 0
        assert made.agent.pids() == [pid]
        os.kill(pid, signal.SIGSTOP)
        wait_until(lambda: made.agent.pids() not in ([], [pid]), "another process")
        assert made.agent.wait_serving(made.good).crashes == 1
        made.fleet.record.end_fault(number)
        made.fleet.wait_for_results(20)
        made.kept()


def test_settings_that_read_well_and_kill_the_host_a_second_after_its_start_are_undone(made, tmp_path):
    """Both generations are one program: what differs is a line of the settings that it does not survive."""
    one = program(tmp_path / "one", exits_after_a_second(LOGS_DEBUG_LINES))
    made.good = made.agent.add(one, label="good")
    bad = made.agent.add(one, settings=METRICS_SETTINGS + LOG_DEBUG_SETTINGS)
    made.up().loaded()
    number = made.fleet.record.begin_fault("killed", [made.host.name])
    assert made.agent.call(f"change 1.a r1 {bad} 60")[0] == "OK"
    found = made.agent.wait_for_phase("steady", rolled_back_rollout="r1", serving=made.good)
    assert bad in found.fault
    assert found.good == made.good
    assert found.crashes == 1
    made.fleet.record.end_fault(number)
    made.fleet.wait_for_results(20)
    made.kept()


def test_a_log_that_grew_too_long_gives_way_to_what_comes_next(made):
    made.up()
    log = made.agent.folder / "lives" / "1.log"
    with log.open("ab") as file:
        file.truncate(9 << 20)
    wait_until(lambda: log.stat().st_size < 1 << 20, "a short log")
    assert (log.with_suffix(".old")).stat().st_size >= 9 << 20
    (pid,) = made.agent.pids()
    os.kill(pid, signal.SIGTERM)  # what the process writes from now on is at the beginning
    wait_until(lambda: b"event=shutdown-started" in log.read_bytes(), "what it wrote since")


def test_one_agent_for_a_box_and_an_unreadable_state_is_refused_plainly(made):
    made.up()
    second = HostAgent.__new__(HostAgent)
    second.__dict__ = dict(made.agent.__dict__)
    second.start(wait=False)
    assert second.wait_ended() == 2
    assert "another agent runs here" in second.log()
    made.agent.kill()
    (made.agent.folder / "state.json").write_text("{")
    made.agent.start(wait=False)
    assert made.agent.wait_ended() == 2
    assert "can't be read" in made.agent.log()


def test_boxes_that_nobody_confirmed_go_back_one_after_the_other_by_a_turn(tmp_path):
    """Cut off from a controller all their times are over at once; each waits for its turn, and serves meanwhile."""
    with Fleet(tmp_path, seed=5, hosts=3, gateways=2, rate=25) as fleet:
        cluster = MemberCluster(fleet)
        made = {}
        for box in fleet.hosts:
            agent = HostAgent(box)
            agent.settings_file.write_text(
                agent.settings_file.read_text().replace("end\n", " turn job\n turn-wait 30s\nend\n")
            )
            own = cluster.config_files[box.name].read_text() + METRICS_SETTINGS
            made[box.name] = (
                agent,
                agent.add(settings=own, label="good"),
                agent.add(settings=own + "section log\nend\n"),
            )
        for agent, good, _ in made.values():
            agent.start(adopt=good)
        for agent, good, _ in made.values():
            agent.wait_serving(good)
        fleet.start_load()
        for agent, _, new in made.values():
            assert agent.call(f"change 1.a r1 {new} 6")[0] == "OK"
        for agent, _, _ in made.values():
            agent.wait_for_phase("returning", "steady", rolled_back_rollout="r1")
        for agent, good, _ in made.values():
            agent.wait_for_phase("steady", serving=good, rolled_back_rollout="r1")
        fleet.wait_for_results(20)
        assert fleet.broken_rules() == []
        begun = []
        for agent, _, _ in made.values():
            log = agent.log()
            told = [line for line in log.splitlines() if HOST_STARTED in line]
            begun.append((datetime.datetime.fromisoformat(told[-1].split()[0][3:]), len(told)))
        assert [many for _, many in begun] == [3, 3, 3]
        starts = sorted(at for at, _ in begun)
        spans = [(b - a).total_seconds() for a, b in itertools.pairwise(starts)]
        assert min(spans) > 1.0, spans  # the lease that the one before leaves to run out
