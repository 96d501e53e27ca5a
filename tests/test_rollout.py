"""Rollouts on a fleet of running hosts with agents: good and bad changes, killed controllers, partitions, new lists."""

import contextlib
import json
import signal
import threading

import pytest

from lapispick.fakes.agents import CONTROL_TAKEN, LOG_WARNINGS_SETTINGS, METRICS_SETTINGS, RolloutFleet
from lapispick.fakes.fleet import CONTROLLERS, Fleet
from lapispick.fakes.program_patches import (
    COUNTS_ONE_IN_40_AS_LATE,
    DOES_NOT_START,
    SKIPS_A_HANDOVER_VERSION,
    fails_keyed_requests,
    fails_keyed_requests_when_warm,
    file_exists_condition,
    leaks_memory,
    make_program_folder,
)
from lapispick.fakes.waiting import let_time_pass, wait_until

PLAN = {
    "stages": "1 100%",
    "warm-up": "0.5s",
    "bake": "2s",
    "bake-most": "6s",
    "confirm": "60s",
    "change-most": "2",
    "back-most": "2",
    "serving-least": "50%",
    "zone-most": "100%",
    "look": "200ms",
    "unreached": "2s",
    "worse": "8%",
}


def plan(**changes):
    """Return the directives of a quick rollout with some changed; ``_`` in the name of a directive stands for ``-``."""
    directives = {**PLAN, **{name.replace("_", "-"): value for name, value in changes.items()}}
    return "".join(f" {name} {value}\n" for name, value in directives.items())


QUICK_PLAN = plan()


@pytest.fixture
def make_fleet(tmp_path):
    """Return a function that creates a fleet with agents from the directives of a plan and a number of hosts."""
    resources = []

    def make(rollout_settings=QUICK_PLAN, hosts=3, listed=None, rate=30.0, **fleet_options):
        fleet = Fleet(tmp_path, seed=6, hosts=hosts, gateways=2, rate=rate, **fleet_options)
        resources.append(fleet)
        rollout_fleet = RolloutFleet(fleet, rollout_settings, listed)
        resources.append(rollout_fleet)
        return rollout_fleet

    yield make
    for resource in reversed(resources):
        resource.close()


@contextlib.contextmanager
def called_periodically(function):
    """Call a function ten times a second in a thread for the duration of the context."""
    stopped = threading.Event()

    def run():
        while not stopped.wait(0.1):
            function()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


def assert_rules_kept(rollout_fleet):
    """Assert that no rule was broken and no key was executed twice."""
    assert rollout_fleet.fleet.broken_rules() == []
    assert max(rollout_fleet.fleet.record.executions_by_key().values(), default=0) <= 1


def assert_rollout_is_rolled_back(rollout_fleet, options, reason):
    """Roll out a generation and assert that it is rolled back for this reason without an operator."""
    rollout_fleet.start_controller("start", *options)
    status = rollout_fleet.wait_for_phase("undone", "asking", "done")
    assert status["phase"] == "undone", status
    assert reason in status["reason"], status


def test_a_good_change_reaches_all_hosts(make_fleet):
    rollout_fleet = make_fleet().start()
    new, options = rollout_fleet.add_generation(settings=METRICS_SETTINGS + LOG_WARNINGS_SETTINGS)
    rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_phase("done", "asking", "undone")
    rollout_fleet.resume_until_done()
    assert set(rollout_fleet.serving().values()) == {new}
    assert rollout_fleet.run_command("history", "r1").stdout.count("stage") >= 2
    assert rollout_fleet.run_command("explain").returncode == 0
    assert_rules_kept(rollout_fleet)


def test_a_change_that_is_worse_for_one_class_is_rolled_back(make_fleet, tmp_path):
    rollout_fleet = make_fleet(plan(bake="8s", bake_most="30s"), rate=60).start()
    _, options = rollout_fleet.add_generation(make_program_folder(tmp_path / "bad", fails_keyed_requests(4)))
    assert_rollout_is_rolled_back(rollout_fleet, options, reason="book")
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    rolled_back = [agent for agent in rollout_fleet.agents.values() if agent.status().rolled_back_rollout == "r1"]
    assert len(rolled_back) == 1  # only the host of the first stage was changed
    explanation = json.loads(rollout_fleet.run_command("explain", "--json").stdout)
    assert explanation["outcome"] == "worse"
    assert any("book" in row["figure"] for row in explanation["rows"])
    assert_rules_kept(rollout_fleet)


def test_a_change_that_is_bad_only_alongside_old_hosts_is_rolled_back(make_fleet, tmp_path):
    rollout_fleet = make_fleet(plan(bake="8s", bake_most="30s"), rate=60).start()
    old_hosts_marker = tmp_path / "old-hosts-serve"
    old_hosts_marker.touch()
    new, options = rollout_fleet.add_generation(
        make_program_folder(tmp_path / "bad", fails_keyed_requests(4, file_exists_condition(old_hosts_marker)))
    )

    def remove_marker_without_old_hosts():
        if all(generation == new for generation in rollout_fleet.serving().values()):
            old_hosts_marker.unlink(missing_ok=True)

    with called_periodically(remove_marker_without_old_hosts):
        assert_rollout_is_rolled_back(rollout_fleet, options, reason="book")
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    assert_rules_kept(rollout_fleet)


def test_a_program_that_does_not_start_stops_the_rollout_at_once(make_fleet, tmp_path):
    rollout_fleet = make_fleet().start()
    _, options = rollout_fleet.add_generation(make_program_folder(tmp_path / "bad", DOES_NOT_START))
    controller = rollout_fleet.start_controller("start", *options)
    status = rollout_fleet.wait_for_phase("undone")
    assert "ended before it took clients" in status["reason"]
    assert controller.wait(20) == 1
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    assert_rules_kept(rollout_fleet)


# Named point of the controller, and at which pass the controller is killed there.
KILL_POINTS = [
    ("took-over", 1),
    ("decided", 1),
    ("stored", 1),
    ("calling", 1),
    ("called", 1),
    ("stored", 3),
    ("calling", 3),
    ("decided", 5),
]


@pytest.mark.parametrize(("point", "times"), KILL_POINTS)
def test_a_controller_killed_at_any_point_is_resumed_by_another_one(make_fleet, point, times):
    rollout_fleet = make_fleet(plan(bake="0.6s", bake_most="1.2s")).start()
    new, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    first = rollout_fleet.start_controller("start", *options, crash_at=point, times=times)
    if (point, times) in (("took-over", 1), ("decided", 1)):  # nothing is stored, so the rollout is started again
        assert first.wait(30) == -signal.SIGKILL
        rollout_fleet.start_controller("start", *options)
    else:
        while first.poll() is None:
            if (rollout_fleet.status() or {}).get("phase") == "asking":
                rollout_fleet.resume(first)
        rollout_fleet.start_controller("resume")
    rollout_fleet.resume_until_done()
    assert set(rollout_fleet.serving().values()) == {new}
    assert_rules_kept(rollout_fleet)


def test_a_controller_that_was_suspended_is_fenced_off(make_fleet):
    rollout_fleet = make_fleet(plan(bake="4s", bake_most="20s")).start()
    new, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    first = rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_bake()
    first.send_signal(signal.SIGSTOP)
    second = rollout_fleet.start_controller("resume")
    wait_until(lambda: CONTROL_TAKEN in second.log(), "the second controller")
    first.send_signal(signal.SIGCONT)
    assert first.wait(30) == 3
    fenced_texts = ("has taken over", "ERR fenced")  # from the store, or from an agent
    assert any(text in first.log() for text in fenced_texts)
    assert second.poll() is None
    rollout_fleet.resume_until_done()
    assert set(rollout_fleet.serving().values()) == {new}
    assert_rules_kept(rollout_fleet)


def test_hosts_that_are_partitioned_past_the_confirm_timeout_roll_back(make_fleet):
    rollout_fleet = make_fleet(
        plan(confirm="4s", stages="100%", bake="2.5s", bake_most="3s"),
        hosts=4,
    ).start()
    _, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_bake()
    partitioned = [host.name for host in rollout_fleet.fleet.hosts[:2]]
    heal = rollout_fleet.fleet.partition([CONTROLLERS], partitioned)
    for name in partitioned:
        rollout_fleet.agents[name].wait_for_phase(
            "steady", serving=rollout_fleet.good, fault="was not confirmed in time"
        )
    heal()
    status = rollout_fleet.wait_for_phase("asking")
    rollout_fleet.run_command("back")
    rollout_fleet.wait_for_phase("undone")
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}, status
    assert_rules_kept(rollout_fleet)


def test_a_rollout_completes_while_one_host_joins_and_another_is_unlisted(make_fleet):
    rollout_fleet = make_fleet(hosts=4, listed=["disp-01", "disp-02", "disp-03"]).start()
    new, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_phase("changing", "baking")
    rollout_fleet.write_list(["disp-01", "disp-02", "disp-04"])
    rollout_fleet.resume_until_done()
    serving = rollout_fleet.serving()
    assert {serving[name] for name in ("disp-01", "disp-02", "disp-04")} == {new}
    assert_rules_kept(rollout_fleet)


def test_a_second_rollout_is_rejected_while_one_is_running_or_rolling_back(make_fleet):
    rollout_fleet = make_fleet().start()
    _, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_phase("changing", "baking")
    result = rollout_fleet.run_command("start", *options)
    assert result.returncode == 1
    assert "rollout r1 is not over" in result.stderr
    rollout_fleet.wait_for_bake()
    # The rollback can't end while its hosts are unreachable.
    rollout_fleet.fleet.net.partition([CONTROLLERS], list(rollout_fleet.agents))
    rollout_fleet.run_command("back")
    rollout_fleet.wait_for_phase("returning", "burning")
    result = rollout_fleet.run_command("start", *options)
    assert result.returncode == 1
    assert "rollout r1 is not over" in result.stderr
    rollout_fleet.fleet.net.heal()
    rollout_fleet.wait_for_phase("undone")
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    assert_rules_kept(rollout_fleet)


def test_a_rollout_that_skips_a_format_version_is_rejected_before_any_change(make_fleet, tmp_path):
    rollout_fleet = make_fleet().start()
    later = make_program_folder(tmp_path / "later", SKIPS_A_HANDOVER_VERSION)
    new, options = rollout_fleet.add_generation(later)
    result = rollout_fleet.run_command("start", *options)
    assert result.returncode == 2
    assert "handover: the new one reads 2 to 3, the old one writes 1" in result.stderr
    assert {agent.status().started_processes for agent in rollout_fleet.agents.values()} == {1}
    assert rollout_fleet.agents["disp-01"].call(f"change 1.x r9 {new} 60")[0].startswith("ERR skips a step")
    result = rollout_fleet.run_command("check", *options, "--old", str(rollout_fleet.fleet.folder / "program"))
    assert result.returncode == 2
    assert "take a step between" in result.stderr


def test_memory_past_its_limit_stops_the_rollout_at_once(make_fleet, tmp_path):
    rollout_fleet = make_fleet(plan(bake="20s", bake_most="40s", memory_most="30%")).start()
    _, options = rollout_fleet.add_generation(make_program_folder(tmp_path / "leak", leaks_memory(1 << 20)))
    rollout_fleet.start_controller("start", *options)
    status = rollout_fleet.wait_for_phase("undone")
    assert "MB of at most" in status["reason"]
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    assert_rules_kept(rollout_fleet)


def test_a_broken_rule_stops_the_rollout_at_once(make_fleet, tmp_path):
    rollout_fleet = make_fleet(plan(bake="20s", bake_most="40s")).start()
    _, options = rollout_fleet.add_generation(make_program_folder(tmp_path / "late", COUNTS_ONE_IN_40_AS_LATE))
    rollout_fleet.start_controller("start", *options)
    status = rollout_fleet.wait_for_phase("undone")
    assert "broke a rule" in status["reason"]
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    assert_rules_kept(rollout_fleet)


def test_a_killed_host_returns_in_the_old_generation_and_is_changed_last(make_fleet):
    rollout_fleet = make_fleet(plan(stages="box:disp-02 100%"), hosts=4).start()
    new, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    rollout_fleet.fleet["disp-03"].kill()
    rollout_fleet.start_controller("start", *options)
    while rollout_fleet.wait_for_phase("asking", "waiting", "changing")["stage"] < 2:
        if rollout_fleet.status()["phase"] == "asking":
            rollout_fleet.run_command("go")
        else:
            rollout_fleet.wait_for_phase("asking", "waiting", "baking")
    rollout_fleet.agents["disp-03"].start()
    rollout_fleet.agents["disp-03"].wait_serving(rollout_fleet.good)
    rollout_fleet.fleet.record.end_all_faults()
    rollout_fleet.resume_until_done()
    assert set(rollout_fleet.serving().values()) == {new}
    assert_rules_kept(rollout_fleet)


def test_a_store_that_collapses_for_all_in_mid_stage_condemns_and_acquits_nothing(make_fleet):
    rollout_fleet = make_fleet(
        QUICK_PLAN.replace("bake 2s", "bake 4s").replace("bake-most 6s", "bake-most 10s"), calls=0.8
    ).start()
    _, options = rollout_fleet.add_generation(config={"stop_ms": 2400})
    rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_bake()
    rollout_fleet.fleet.store.slowdown = 200.0  # a call takes 0.4 s instead of 2 ms, for all hosts
    status = rollout_fleet.wait_for_phase("asking", "undone", "confirming", "waiting")
    assert status["phase"] != "undone", status
    rollout_fleet.fleet.store.slowdown = 1.0
    rollout_fleet.run_command("back")
    rollout_fleet.wait_for_phase("undone")
    assert_rules_kept(rollout_fleet)


def test_an_agent_suspended_through_a_stage_is_skipped_and_rolls_back_by_itself(make_fleet):
    rollout_fleet = make_fleet(plan(confirm="6s", stages="100%")).start()
    _, options = rollout_fleet.add_generation(settings=METRICS_SETTINGS + LOG_WARNINGS_SETTINGS)
    rollout_fleet.start_controller("start", *options)
    rollout_fleet.wait_for_bake()
    agent = rollout_fleet.agents["disp-01"]
    agent.process.send_signal(signal.SIGSTOP)
    rollout_fleet.wait_for_phase("asking", "confirming", "waiting", "changing")
    let_time_pass(6.5)  # past the confirm timeout
    agent.process.send_signal(signal.SIGCONT)
    agent.wait_for_phase("steady", serving=rollout_fleet.good, fault="was not confirmed in time")
    rollout_fleet.run_command("back")
    rollout_fleet.wait_for_phase("undone")
    assert set(rollout_fleet.serving().values()) == {rollout_fleet.good}
    assert_rules_kept(rollout_fleet)


def test_a_change_that_slows_the_shared_store_for_all_is_not_judged_good(make_fleet):
    rollout_fleet = make_fleet(
        plan(stages="2 100%", bake="6s", bake_most="12s"),
        calls=0.9,
        rate=60,
    ).start()
    new, options = rollout_fleet.add_generation(config={"stop_ms": 2400})

    def slow_store_by_changed_hosts():  # the load of the changed hosts slows the store for all hosts
        rollout_fleet.fleet.store.slowdown = 1.0 + 100.0 * sum(
            generation == new for generation in rollout_fleet.serving().values()
        )

    with called_periodically(slow_store_by_changed_hosts):
        rollout_fleet.start_controller("start", *options)
        status = rollout_fleet.wait_for_phase("asking", "undone", "confirming", "waiting")
        assert status["phase"] == "asking", status
        rollout_fleet.run_command("back")
        rollout_fleet.wait_for_phase("undone")
    assert_rules_kept(rollout_fleet)


def test_a_change_that_is_bad_only_after_warming_up_is_rolled_back(make_fleet, tmp_path):
    rollout_fleet = make_fleet(
        plan(warm_up="3s", bake="8s", bake_most="30s"),
        rate=60,
    ).start()
    _, options = rollout_fleet.add_generation(
        make_program_folder(tmp_path / "bad", fails_keyed_requests_when_warm(4, after_s=3))
    )
    assert_rollout_is_rolled_back(rollout_fleet, options, reason="book")
    assert_rules_kept(rollout_fleet)


def test_memory_that_grows_slowly_stops_the_rollout_before_its_limit(make_fleet, tmp_path):
    rollout_fleet = make_fleet(plan(bake="20s", bake_most="60s"), rate=60).start()
    _, options = rollout_fleet.add_generation(make_program_folder(tmp_path / "leak", leaks_memory(40_000)))
    rollout_fleet.start_controller("start", *options)
    status = rollout_fleet.wait_for_phase("undone", "asking", "done")
    assert status["phase"] == "undone", status
    assert status["reason"].startswith("memory: worse by"), status
    assert_rules_kept(rollout_fleet)


def test_a_change_that_is_worse_by_a_tenth_for_one_class_is_stopped(make_fleet, tmp_path):
    rollout_fleet = make_fleet(
        plan(stages="2 100%", worse="2%", bake="50s", bake_most="120s", confirm="200s"),
        hosts=4,
        rate=110,
    ).start()
    _, options = rollout_fleet.add_generation(make_program_folder(tmp_path / "bad", fails_keyed_requests(1)))
    rollout_fleet.start_controller("start", *options)
    status = rollout_fleet.wait_for_phase("undone", "asking", "done", timeout_s=180.0)
    assert status["phase"] == "undone", status
    assert "book" in status["reason"], status
    assert_rules_kept(rollout_fleet)
