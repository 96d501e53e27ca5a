"""Tests of a host's agent with the running program: changes, rollbacks, and agents killed at each failpoint."""

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
from lapispick.fakes.ports import call_ops
from lapispick.fakes.program_patches import (
    DOES_NOT_START,
    HANGS_AT_START,
    LOGS_DEBUG_LINES,
    exits_after_a_second,
    make_program_folder,
)
from lapispick.fakes.waiting import let_time_pass, wait_until


class AgentScenario:
    """A fleet of one host with an agent, load from gateways, and two generations.

    ``agent_options`` are passed to ``HostAgent``.
    """

    def __init__(self, fleet, **agent_options):
        self.fleet = fleet
        self.host = fleet.hosts[0]
        self.agent = HostAgent(self.host, **agent_options)
        self.good = self.agent.add_generation(label="good")
        self.new = self.agent.add_generation(settings=METRICS_SETTINGS + LOG_DEBUG_SETTINGS, label="new")

    def start(self):
        """Start the agent, and wait until the host serves."""
        self.agent.start(adopt=self.good)
        self.agent.wait_serving(self.good)

    def start_load(self):
        """Start sending requests from the gateways, and wait until some are answered."""
        self.fleet.start_load()
        self.fleet.wait_for_results(20)

    def start_under_load(self):
        """Start the agent and the load."""
        self.start()
        self.start_load()

    def check_rules(self):
        """Assert that no rule was broken and no key executed twice."""
        assert self.fleet.broken_rules() == []
        assert max(self.fleet.record.executions_by_key().values(), default=0) <= 1


@pytest.fixture
def scenario(tmp_path):
    """Provide a host with an agent that is not started yet."""
    with Fleet(tmp_path, seed=5, hosts=1, gateways=2, rate=25) as fleet:
        yield AgentScenario(fleet)


def test_a_confirmed_change_stays_until_the_rollout_is_rolled_back(scenario):
    scenario.start_under_load()
    agent = scenario.agent
    assert agent.call(f"change 1.a r1 {scenario.new} 60")[0] == "OK"
    agent.wait_for_phase("proving", serving=scenario.new)
    assert agent.call("confirm 1.a r1")[0] == "OK"
    assert agent.call("confirm 1.a r1")[0] == "OK done"
    assert agent.wait_for_phase("steady", good=scenario.new, serving=scenario.new).rolled_back_rollout == ""
    wait_until(lambda: agent.running_generations() == [scenario.new], "the end of the old process")
    assert agent.call("back 1.a r1")[0] == "OK"  # the rollout fails after this host was confirmed
    agent.wait_for_phase("steady", good=scenario.good, serving=scenario.good, rolled_back_rollout="r1")
    scenario.check_rules()


def test_a_change_that_is_not_confirmed_in_time_is_rolled_back_without_a_controller(scenario):
    scenario.start_under_load()
    agent = scenario.agent
    agent.call(f"change 1.a r1 {scenario.new} 1.0")
    agent.wait_for_phase("proving")
    agent.wait_for_phase("steady", serving=scenario.good, rolled_back_rollout="r1", fault="was not confirmed in time")
    assert agent.call("confirm 1.a r1")[0].startswith("ERR undone")
    assert agent.call(f"change 1.a r1 {scenario.new} 9")[0].startswith("ERR undone")  # a delayed call
    scenario.check_rules()


def test_a_lower_fence_and_another_controller_of_the_same_epoch_are_rejected(scenario):
    scenario.start()
    agent = scenario.agent
    assert agent.call("steer 7.b")[0] == "OK"
    change = f"r1 {scenario.new} 9"
    for call in (f"change 6.a {change}", f"change 7.a {change}", "confirm 6.a r1", "back 1.z r1", "steer 7.a"):
        assert agent.call(call)[0] == f"ERR fenced: 7.b steers, not {call.split()[1]}"
    assert agent.call("steer 8.a")[0] == "OK"
    assert agent.call("steer 7.b")[0].startswith("ERR fenced")
    for call in (
        "change 8.a r1 nowhere 9",
        "change 8.a r1",
        "jump 8.a",
        "steer x",
        f"change 8.a r/1 {scenario.new} 9",
        f"change 8.a r1 {scenario.new} nan",
    ):
        assert agent.call(call)[0].startswith("ERR")
    assert agent.status().phase == "steady"


def test_settings_that_sighup_applies_are_changed_and_rolled_back_in_place(scenario):
    other = scenario.agent.add_generation(config={"stop_ms": 2200})
    scenario.start_under_load()
    agent = scenario.agent
    pids_before = agent.pids()
    assert len(pids_before) == 1
    assert agent.call_until_serving(f"change 1.a r1 {other} 60")[0] == "OK"
    agent.wait_for_phase("proving", serving=other)
    log_file = next(agent.folder.glob("lives/1.log"))
    wait_until(lambda: "event=reloaded changed=stop_ms" in log_file.read_text(), "the reload")
    agent.call("back 1.a r1")
    agent.wait_for_phase("steady", serving=scenario.good)
    wait_until(lambda: log_file.read_text().count("event=reloaded changed=stop_ms") == 2, "the reload back")
    assert agent.pids() == pids_before
    scenario.check_rules()


FAULTY_PROGRAMS = {
    "does not start": DOES_NOT_START,
    "hangs at start": HANGS_AT_START,
    "exits after a second": exits_after_a_second(),
}


@pytest.mark.parametrize("fault", FAULTY_PROGRAMS)
def test_a_generation_that_fails_is_rolled_back_without_a_call(scenario, fault, tmp_path):
    faulty_generation = scenario.agent.add_generation(make_program_folder(tmp_path / "bad", FAULTY_PROGRAMS[fault]))
    scenario.start_under_load()
    agent = scenario.agent
    agent.call(f"change 1.a r1 {faulty_generation} 60")
    if fault == "exits after a second":
        agent.wait_for_phase("proving")
        open_fault = scenario.fleet.record.begin_fault("killed", [scenario.host.name])
    status = agent.wait_for_phase("steady", rolled_back_rollout="r1", serving=scenario.good)
    assert faulty_generation in status.fault
    assert status.good == scenario.good
    wait_until(
        lambda: agent.running_generations() == [scenario.good],
        "the end of all processes but one of the good generation",
    )
    if fault == "exits after a second":
        scenario.fleet.record.end_fault(open_fault)
    scenario.fleet.wait_for_results(20)
    scenario.check_rules()


def test_no_change_starts_while_the_good_generation_is_missing(scenario):
    scenario.start()
    agent = scenario.agent
    os.rename(agent.store.folder / scenario.good, agent.store.folder / ".away")
    wait_until(lambda: scenario.good not in agent.status().generations, "detection of the missing generation")
    assert "not on the shelf" in agent.call(f"change 1.a r1 {scenario.new} 9")[0]
    os.rename(agent.store.folder / ".away", agent.store.folder / scenario.good)
    wait_until(lambda: scenario.good in agent.status().generations, "detection of the restored generation")
    agent.call(f"change 1.a r1 {scenario.new} 1.0")
    agent.wait_for_phase("proving")
    os.rename(agent.store.folder / scenario.good, agent.store.folder / ".away")
    status = agent.wait_for_phase("stuck", serving=scenario.new)  # it can't roll back and continues to serve
    assert "gone from the shelf" in status.fault
    assert call_ops(agent.operator_addresses[serving_slot(agent)], "check") == ["OK"]


def serving_slot(agent):
    """Return the slot of the serving process, from the agent's stored state."""
    state = json.loads((agent.folder / "state.json").read_text())
    return next(process["slot"] for process in state["lives"] if process["role"] == "serving")


# (failpoint, the pass through it at which the agent is killed)
FAILPOINTS = [
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


@pytest.mark.parametrize(("failpoint", "times"), FAILPOINTS)
def test_a_change_completes_after_the_agent_is_killed_at_any_failpoint(scenario, failpoint, times):
    """The host serves without an agent; the next agent completes the change, so that one new process remains."""
    scenario.start()
    agent = scenario.agent
    agent.kill()
    agent.start(crash_at=failpoint, times=times)
    wait_until(
        lambda: agent.process.poll() is not None or getattr(agent.status(), "serving", "") == scenario.good,
        "the first health check or the end of the agent",
    )
    scenario.start_load()
    agent.call(f"change 1.a r1 {scenario.new} 60")
    agent.wait_ended()
    scenario.fleet.wait_for_results(20)  # while no agent runs
    agent.start()
    if agent.status().rollout != "r1":  # it ended before the change was on disk: the controller repeats the call
        agent.wait_serving(scenario.good)  # the new agent has checked the process
        assert agent.call(f"change 1.a r1 {scenario.new} 60")[0] == "OK"
    agent.wait_for_phase("proving", serving=scenario.new)
    assert agent.call("confirm 1.a r1")[0].startswith("OK")
    agent.wait_for_phase("steady", serving=scenario.new, good=scenario.new)
    wait_until(lambda: agent.running_generations() == [scenario.new], "one process of the new generation")
    scenario.fleet.wait_for_results(20)
    scenario.check_rules()


@pytest.mark.parametrize(
    ("failpoint", "times"), [("starting", 1), ("started", 1), ("terminating", 1), ("terminated", 1), ("stored", 2)]
)
def test_an_agent_killed_during_a_rollback_continues_it(scenario, failpoint, times):
    scenario.start_under_load()
    agent = scenario.agent
    agent.call(f"change 1.a r1 {scenario.new} 60")
    agent.wait_for_phase("proving", serving=scenario.new)
    wait_until(lambda: agent.running_generations() == [scenario.new], "the end of the old process")
    agent.kill()
    agent.start(crash_at=failpoint, times=times)
    agent.call("back 1.a r1")
    agent.wait_ended()
    agent.start()
    agent.wait_for_phase("steady", serving=scenario.good, rolled_back_rollout="r1")
    wait_until(lambda: agent.running_generations() == [scenario.good], "one process of the good generation")
    scenario.check_rules()


def test_an_agent_suspended_past_the_confirm_time_rolls_back_and_rejects_a_late_confirmation(scenario):
    scenario.start_under_load()
    agent = scenario.agent
    agent.call(f"change 1.a r1 {scenario.new} 1.5")
    agent.wait_for_phase("proving", serving=scenario.new)
    agent.process.send_signal(signal.SIGSTOP)
    let_time_pass(2.0)  # longer than the confirm timeout
    agent.process.send_signal(signal.SIGCONT)
    assert agent.call("confirm 1.a r1")[0].startswith("ERR")
    agent.wait_for_phase("steady", serving=scenario.good, rolled_back_rollout="r1")
    scenario.check_rules()


def test_a_killed_host_is_restarted_in_the_good_generation(scenario):
    scenario.start_under_load()
    agent = scenario.agent
    (pid,) = agent.pids()
    open_fault = scenario.fleet.record.begin_fault("killed", [scenario.host.name])
    os.kill(pid, signal.SIGKILL)
    wait_until(lambda: agent.pids() not in ([], [pid]), "another process")
    status = agent.wait_serving(scenario.good)
    scenario.fleet.record.end_fault(open_fault)
    assert status.crashes == 1
    assert status.phase == "steady"
    scenario.fleet.wait_for_results(20)
    scenario.check_rules()


def test_a_host_that_hangs_is_restarted_and_one_suspended_for_a_moment_is_not(tmp_path):
    with Fleet(tmp_path, seed=5, hosts=1, gateways=2, rate=25) as fleet:
        scenario = AgentScenario(fleet, start_timeout_s=1.0)
        scenario.start_under_load()
        (pid,) = scenario.agent.pids()
        open_fault = scenario.fleet.record.begin_fault("stopped", [scenario.host.name])
        os.kill(pid, signal.SIGSTOP)
        started_at = time.monotonic()
        wait_until(lambda: scenario.agent.status().serving == "", "detection of the suspended process")
        wait_until(lambda: time.monotonic() - started_at > 2.0, "the end of the two seconds")
        os.kill(pid, signal.SIGCONT)
        assert scenario.agent.wait_serving(scenario.good).crashes == 0
        assert scenario.agent.pids() == [pid]
        os.kill(pid, signal.SIGSTOP)
        wait_until(lambda: scenario.agent.pids() not in ([], [pid]), "another process")
        assert scenario.agent.wait_serving(scenario.good).crashes == 1
        scenario.fleet.record.end_fault(open_fault)
        scenario.fleet.wait_for_results(20)
        scenario.check_rules()


def test_valid_settings_that_end_the_host_after_a_second_are_rolled_back(scenario, tmp_path):
    """Both generations have the same program, which exits a second after its start if it logs debug lines."""
    crashing_program = make_program_folder(tmp_path / "crashing", exits_after_a_second(LOGS_DEBUG_LINES))
    scenario.good = scenario.agent.add_generation(crashing_program, label="good")
    faulty_generation = scenario.agent.add_generation(crashing_program, settings=METRICS_SETTINGS + LOG_DEBUG_SETTINGS)
    scenario.start_under_load()
    open_fault = scenario.fleet.record.begin_fault("killed", [scenario.host.name])
    assert scenario.agent.call(f"change 1.a r1 {faulty_generation} 60")[0] == "OK"
    status = scenario.agent.wait_for_phase("steady", rolled_back_rollout="r1", serving=scenario.good)
    assert faulty_generation in status.fault
    assert status.good == scenario.good
    assert status.crashes == 1
    scenario.fleet.record.end_fault(open_fault)
    scenario.fleet.wait_for_results(20)
    scenario.check_rules()


def test_a_log_that_grew_too_long_is_rotated(scenario):
    scenario.start()
    log_file = scenario.agent.folder / "lives" / "1.log"
    with log_file.open("ab") as file:
        file.truncate(9 << 20)
    wait_until(lambda: log_file.stat().st_size < 1 << 20, "the truncation of the log")
    assert (log_file.with_suffix(".old")).stat().st_size >= 9 << 20
    (pid,) = scenario.agent.pids()
    os.kill(pid, signal.SIGTERM)  # its next output is at the start of the truncated log
    wait_until(lambda: b"event=shutdown-started" in log_file.read_bytes(), "new output in the truncated log")


def test_a_second_agent_and_an_unreadable_state_are_rejected(scenario):
    scenario.start()
    second_agent = HostAgent.__new__(HostAgent)
    second_agent.__dict__ = dict(scenario.agent.__dict__)
    second_agent.start(wait=False)
    assert second_agent.wait_ended() == 2
    assert "locked by another agent" in second_agent.log()
    scenario.agent.kill()
    (scenario.agent.folder / "state.json").write_text("{")
    scenario.agent.start(wait=False)
    assert scenario.agent.wait_ended() == 2
    assert "can't be read" in scenario.agent.log()


def host_start_times(agent):
    """Return the times at which an agent started processes of its host, read from its log."""
    lines = [line for line in agent.log().splitlines() if HOST_STARTED in line]
    return [datetime.datetime.fromisoformat(line.split()[0].removeprefix("ts=")) for line in lines]


def test_unconfirmed_hosts_roll_back_one_at_a_time_under_a_lease(tmp_path):
    """Without a controller all confirm timeouts expire at once; each host serves while it waits for the lease."""
    with Fleet(tmp_path, seed=5, hosts=3, gateways=2, rate=25) as fleet:
        cluster = MemberCluster(fleet)
        agents = []
        good_generations = {}
        new_generations = {}
        for host in fleet.hosts:
            agent = HostAgent(host)
            agent_settings = agent.settings_file.read_text()
            agent.settings_file.write_text(agent_settings.replace("end\n", " turn job\n turn-wait 30s\nend\n"))
            host_settings = cluster.config_files[host.name].read_text() + METRICS_SETTINGS
            good_generations[agent] = agent.add_generation(settings=host_settings, label="good")
            new_generations[agent] = agent.add_generation(settings=host_settings + "section log\nend\n")
            agents.append(agent)
        for agent in agents:
            agent.start(adopt=good_generations[agent])
        for agent in agents:
            agent.wait_serving(good_generations[agent])
        fleet.start_load()
        for agent in agents:
            assert agent.call(f"change 1.a r1 {new_generations[agent]} 6")[0] == "OK"
        for agent in agents:
            agent.wait_for_phase("returning", "steady", rolled_back_rollout="r1")
        for agent in agents:
            agent.wait_for_phase("steady", serving=good_generations[agent], rolled_back_rollout="r1")
        fleet.wait_for_results(20)
        assert fleet.broken_rules() == []
        assert [len(host_start_times(agent)) for agent in agents] == [3, 3, 3]
        last_starts = sorted(host_start_times(agent)[-1] for agent in agents)
        intervals_s = [(later - earlier).total_seconds() for earlier, later in itertools.pairwise(last_starts)]
        assert min(intervals_s) > 1.0, intervals_s  # the lease of the previous host expires first
