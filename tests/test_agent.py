"""A box's agent on the running program: changes, undoing, and the agent killed at every point that it names."""

import datetime
import itertools
import json
import os
import signal
import time

import pytest

from lapispick.fakes.agents import FIGURES, BoxAgent
from lapispick.fakes.fleet import Fleet, call, program
from lapispick.fakes.member_cluster import MemberCluster
from lapispick.fakes.peers import until


class Made:
    """A fleet of one box with an agent, a load, and two generations."""

    def __init__(self, fleet, **bounds):
        self.fleet, self.box = fleet, fleet.boxes[0]
        self.agent = BoxAgent(self.box, **bounds)
        self.good = self.agent.add(label="good")
        self.new = self.agent.add(conf=FIGURES + "section log\n level debug\nend\n", label="new")

    def up(self, **more):
        self.agent.start(adopt=self.good, **more)
        if not more:
            self.agent.serves(self.good)
        return self

    def loaded(self):
        self.fleet.load()
        self.fleet.answered(20)
        return self

    def kept(self):
        assert self.fleet.broken_rules() == []
        assert max(self.fleet.account.effects().values(), default=0) <= 1


@pytest.fixture
def made(tmp_path):
    with Fleet(tmp_path, seed=5, boxes=1, gateways=2, rate=25) as fleet:
        yield Made(fleet)


def test_a_change_serves_and_stays_once_confirmed(made):
    made.up().loaded()
    agent = made.agent
    assert agent.call(f"change 1.a r1 {made.new} 60")[0] == "OK"
    agent.phase("proving", serving=made.new)
    assert agent.call("confirm 1.a r1")[0] == "OK" and agent.call("confirm 1.a r1")[0] == "OK done"
    assert agent.phase("steady", good=made.new, serving=made.new).undone == ""
    until(lambda: agent.generations() == [made.new], "the end of the old process")
    assert agent.call("back 1.a r1")[0] == "OK"  # a stage that went wrong later on
    agent.phase("steady", good=made.good, serving=made.good, undone="r1")
    made.kept()


def test_what_is_not_confirmed_in_time_is_undone_with_nobody_to_ask(made):
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {made.new} 1.0")
    agent.phase("proving")
    agent.phase("steady", serving=made.good, undone="r1", fault="was not confirmed in time")
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
    assert agent.call("steer 8.a")[0] == "OK" and agent.call("steer 7.b")[0].startswith("ERR fenced")
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
    assert agent.order(f"change 1.a r1 {other} 60")[0] == "OK"
    agent.phase("proving", serving=other)
    log = next(agent.folder.glob("lives/1.log"))
    until(lambda: "event=reloaded changed=stop_ms" in log.read_text(), "the reload")
    agent.call("back 1.a r1")
    agent.phase("steady", serving=made.good)
    until(lambda: log.read_text().count("event=reloaded changed=stop_ms") == 2, "the reload back")
    assert agent.pids() == [before]
    made.kept()


PATCHES = {
    "does not start": [("host/__main__.py", "def main() -> int:", "raise SystemExit(3)\ndef main() -> int:")],
    "hangs": [("host/__main__.py", "    setup()\n", "    setup()\n    time.sleep(60)\n")],
    "dies a second after": [
        (
            "host/core.py",
            "    def serve(self) -> None:",
            "    def serve(self) -> None:\n        self._loop.call_later(1.0, os._exit, 9)\n        "
            "return self.serves()\n\n    def serves(self) -> None:",
        ),
        ("host/core.py", "import logging\n", "import logging\nimport os\n"),
    ],
}


@pytest.mark.parametrize("fault", PATCHES)
def test_a_generation_that_fails_is_undone_by_itself(made, fault, tmp_path):
    bad = made.agent.add(program(tmp_path / "bad", PATCHES[fault]))
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {bad} 60")
    if fault == "dies a second after":
        agent.phase("proving")
        number = made.fleet.account.fault("killed", [made.box.name])
    found = agent.phase("steady", undone="r1", serving=made.good)
    assert bad in found.fault and found.good == made.good
    until(lambda: agent.generations() == [made.good], "only the good one")
    if fault == "dies a second after":
        made.fleet.account.over(number)
    made.fleet.answered(20)
    made.kept()


def test_the_last_good_generation_deleted_stops_a_change_before_it_begins(made):
    made.up()
    agent = made.agent
    os.rename(agent.shelf.folder / made.good, agent.shelf.folder / ".away")
    until(lambda: made.good not in agent.status().shelf, "that the agent sees it")
    assert "not on the shelf" in agent.call(f"change 1.a r1 {made.new} 9")[0]
    os.rename(agent.shelf.folder / ".away", agent.shelf.folder / made.good)
    until(lambda: made.good in agent.status().shelf, "that the agent sees it")
    agent.call(f"change 1.a r1 {made.new} 1.0")
    agent.phase("proving")
    os.rename(agent.shelf.folder / made.good, agent.shelf.folder / ".away")
    found = agent.phase("stuck", serving=made.new)  # it must go back and can't: what serves goes on serving
    assert "gone from the shelf" in found.fault
    assert call(agent.slots[agent_slot(agent)], "check") == ["OK"]


def agent_slot(agent):
    state = json.loads((agent.folder / "state.json").read_text())
    return next(life["slot"] for life in state["lives"] if life["role"] == "serving")


# (point, times it is passed before the agent dies there)
POINTS = [
    ("kept", 1),
    ("starting", 1),
    ("started", 1),
    ("answering", 1),
    ("decided", 2),
    ("kept", 2),
    ("kept", 3),
    ("telling", 1),
    ("told", 1),
    ("decided", 4),
]


@pytest.mark.parametrize("point,times", POINTS)
def test_an_agent_killed_at_any_point_of_a_change_leaves_a_box_that_serves(made, point, times):
    """The next agent goes on: the box ends in the new generation, asked for, or in the good one; with one process."""
    made.up()
    agent = made.agent
    agent.kill()
    agent.start(dies_at=point, times=times)
    until(
        lambda: agent.process.poll() is not None or getattr(agent.status(), "serving", "") == made.good,
        "the agent at work",
    )
    made.loaded()
    agent.call(f"change 1.a r1 {made.new} 60")
    agent.ended()
    made.fleet.answered(20)  # with no agent at all
    agent.start()
    if agent.status().rollout != "r1":  # it died before the change was on disk: the controller asks again
        agent.serves(made.good)  # once this agent has looked at the process for the first time
        assert agent.call(f"change 1.a r1 {made.new} 60")[0] == "OK"
    agent.phase("proving", serving=made.new)
    assert agent.call("confirm 1.a r1")[0].startswith("OK")
    agent.phase("steady", serving=made.new, good=made.new)
    until(lambda: agent.generations() == [made.new], "one process of the new generation")
    made.fleet.answered(20)
    made.kept()


@pytest.mark.parametrize("point,times", [("starting", 1), ("started", 1), ("telling", 1), ("told", 1), ("kept", 2)])
def test_an_agent_killed_while_it_undoes_a_change_goes_on_undoing_it(made, point, times):
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {made.new} 60")
    agent.phase("proving", serving=made.new)
    until(lambda: agent.generations() == [made.new], "the end of the old process")
    agent.kill()
    agent.start(dies_at=point, times=times)
    agent.call("back 1.a r1")
    agent.ended()
    agent.start()
    agent.phase("steady", serving=made.good, undone="r1")
    until(lambda: agent.generations() == [made.good], "one process of the good generation")
    made.kept()


def test_an_agent_that_sleeps_past_the_confirm_time_undoes_the_change_and_takes_no_late_word(made):
    made.up().loaded()
    agent = made.agent
    agent.call(f"change 1.a r1 {made.new} 1.5")
    agent.phase("proving", serving=made.new)
    began = time.monotonic()
    agent.process.send_signal(signal.SIGSTOP)
    until(lambda: time.monotonic() - began > 2.0, "the end of the confirm time")
    agent.process.send_signal(signal.SIGCONT)
    assert agent.call("confirm 1.a r1")[0].startswith("ERR")
    agent.phase("steady", serving=made.good, undone="r1")
    made.kept()


def test_a_host_that_is_killed_is_started_again_in_the_good_generation(made):
    made.up().loaded()
    agent, (pid,) = made.agent, made.agent.pids()
    number = made.fleet.account.fault("killed", [made.box.name])
    os.kill(pid, signal.SIGKILL)
    until(lambda: agent.pids() not in ([], [pid]), "another process")
    found = agent.serves(made.good)
    made.fleet.account.over(number)
    assert found.crashes == 1 and found.phase == "steady"
    made.fleet.answered(20)
    made.kept()


def test_a_host_that_hangs_long_after_its_start_is_started_anew_and_one_stopped_for_a_moment_is_not(tmp_path):
    with Fleet(tmp_path, seed=5, boxes=1, gateways=2, rate=25) as fleet:
        made = Made(fleet, start=1.0)
        made.up().loaded()
        (pid,) = made.agent.pids()
        number = made.fleet.account.fault("stopped", [made.box.name])
        os.kill(pid, signal.SIGSTOP)
        began = time.monotonic()
        until(lambda: made.agent.status().serving == "", "that the agent sees it")
        until(lambda: time.monotonic() - began > 2.0, "two seconds")
        os.kill(pid, signal.SIGCONT)
        assert made.agent.serves(made.good).crashes == 0 and made.agent.pids() == [pid]
        os.kill(pid, signal.SIGSTOP)
        until(lambda: made.agent.pids() not in ([], [pid]), "another process")
        assert made.agent.serves(made.good).crashes == 1
        made.fleet.account.over(number)
        made.fleet.answered(20)
        made.kept()


def test_settings_that_read_well_and_kill_the_host_a_second_after_its_start_are_undone(made, tmp_path):
    """Both generations are one program: what differs is a line of the settings that it does not survive."""
    patches = [
        (
            "host/core.py",
            "    def serve(self) -> None:",
            "    def serve(self) -> None:\n        if logging.getLogger().isEnabledFor(logging.DEBUG):\n"
            "            self._loop.call_later(1.0, os._exit, 9)\n        return self.serves()\n\n"
            "    def serves(self) -> None:",
        ),
        ("host/core.py", "import logging\n", "import logging\nimport os\n"),
    ]
    one = program(tmp_path / "one", patches)
    made.good = made.agent.add(one, label="good")
    bad = made.agent.add(one, conf=FIGURES + "section log\n level debug\nend\n")
    made.up().loaded()
    number = made.fleet.account.fault("killed", [made.box.name])
    assert made.agent.call(f"change 1.a r1 {bad} 60")[0] == "OK"
    found = made.agent.phase("steady", undone="r1", serving=made.good)
    assert bad in found.fault and found.good == made.good and found.crashes == 1
    made.fleet.account.over(number)
    made.fleet.answered(20)
    made.kept()


def test_a_log_that_grew_too_long_gives_way_to_what_comes_next(made):
    made.up()
    log = made.agent.folder / "lives" / "1.log"
    with log.open("ab") as file:
        file.truncate(9 << 20)
    until(lambda: log.stat().st_size < 1 << 20, "a short log")
    assert (log.with_suffix(".old")).stat().st_size >= 9 << 20
    (pid,) = made.agent.pids()
    os.kill(pid, signal.SIGTERM)  # what the process writes from now on is at the beginning
    until(lambda: b"event=leaving" in log.read_bytes(), "what it wrote since")


def test_one_agent_for_a_box_and_an_unreadable_state_is_refused_plainly(made):
    made.up()
    second = BoxAgent.__new__(BoxAgent)
    second.__dict__ = dict(made.agent.__dict__)
    second.start(wait=False)
    assert second.ended() == (2,) and "another agent runs here" in second.log()
    made.agent.kill()
    (made.agent.folder / "state.json").write_text("{")
    made.agent.start(wait=False)
    assert made.agent.ended() == (2,) and "can't be read" in made.agent.log()


def test_boxes_that_nobody_confirmed_go_back_one_after_the_other_by_a_turn(tmp_path):
    """Cut off from a controller all their times are over at once; each waits for its turn, and serves meanwhile."""
    with Fleet(tmp_path, seed=5, boxes=3, gateways=2, rate=25) as fleet:
        cluster = MemberCluster(fleet)
        made = {}
        for box in fleet.boxes:
            agent = BoxAgent(box)
            agent.conf.write_text(agent.conf.read_text().replace("end\n", " turn job\n turn-wait 30s\nend\n"))
            own = cluster.config_files[box.name].read_text() + FIGURES
            made[box.name] = agent, agent.add(conf=own, label="good"), agent.add(conf=own + "section log\nend\n")
        for agent, good, _ in made.values():
            agent.start(adopt=good)
        for agent, good, _ in made.values():
            agent.serves(good)
        fleet.load()
        for agent, _, new in made.values():
            assert agent.call(f"change 1.a r1 {new} 6")[0] == "OK"
        for agent, _, _ in made.values():
            agent.phase("returning", "steady", undone="r1")
        for agent, good, _ in made.values():
            agent.phase("steady", serving=good, undone="r1")
        fleet.answered(20)
        assert fleet.broken_rules() == []
        begun = []
        for agent, _, _ in made.values():
            log = agent.log()
            told = [line for line in log.splitlines() if "event=host-started" in line]
            begun.append((datetime.datetime.fromisoformat(told[-1].split()[0][3:].replace("Z", "+00:00")), len(told)))
        assert [many for _, many in begun] == [3, 3, 3]
        starts = sorted(at for at, _ in begun)
        spans = [(b - a).total_seconds() for a, b in itertools.pairwise(starts)]
        assert min(spans) > 1.0, spans  # the lease that the one before leaves to run out
