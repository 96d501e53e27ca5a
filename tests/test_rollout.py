"""Rollouts on a fleet of running hosts with agents: good and bad changes, dead controllers, partitions, other lists."""

import json
import signal
import threading
import time

import pytest

from lapispick.fakes.agents import FIGURES, Steering
from lapispick.fakes.fleet import STEER, Fleet, program
from lapispick.fakes.peers import until

QUICK = """ stages 1 100%
 warm-up 0.5s
 bake 2s
 bake-most 6s
 confirm 60s
 change-most 2
 back-most 2
 serving-least 50%
 zone-most 100%
 look 200ms
 unreached 2s
 worse 8%
"""


@pytest.fixture
def made(tmp_path):
    """Make a fleet with agents; told what the plan says and how many boxes there are."""
    open_ = []

    def make(told=QUICK, boxes=3, names=None, rate=30.0, **over):
        fleet = Fleet(tmp_path, seed=6, boxes=boxes, gateways=2, rate=rate, **over)
        open_.append(fleet)
        steering = Steering(fleet, told, names)
        open_.append(steering)
        return steering

    yield make
    for each in reversed(open_):
        each.close()


def kept(steering):
    assert steering.fleet.broken_rules() == []
    assert max(steering.fleet.account.effects().values(), default=0) <= 1


def through(steering):
    """Let a person say go wherever too little load lets nobody tell, until the rollout is done."""
    while steering.phase("done", "asking")["phase"] == "asking":
        assert steering.told()["reason"]
        steering.go()


def test_a_good_change_goes_through_the_whole_fleet(made):
    s = made().up()
    new, words = s.shelve(conf=FIGURES + "section log\n level warning\nend\n")
    s.steer("start", *words)
    s.phase("done", "asking", "undone")
    through(s)
    assert set(s.serving().values()) == {new}
    assert s.tool("history", "r1").stdout.count("stage") >= 2
    assert s.tool("explain").returncode == 0
    kept(s)


BAD = [
    (
        "host/core.py",
        "        self.figures.answered(answer.kind, request.cls)\n",
        "        if request.idempotency_key is not None and int(request.request_id, 16) % 10 < {tenths}:\n"
        "            answer = Answer(AnswerKind.FAILED)\n"
        "        self.figures.answered(answer.kind, request.cls)\n",
    )
]


def bad(tenths):
    return [(file, old, new.format(tenths=tenths)) for file, old, new in BAD]


def test_a_change_that_is_worse_for_one_class_is_stopped_and_goes_back(made, tmp_path):
    s = made(QUICK.replace("bake 2s", "bake 8s").replace("bake-most 6s", "bake-most 30s"), rate=60).up()
    _, words = s.shelve(program(tmp_path / "bad", bad(4)))
    s.steer("start", *words)
    found = s.phase("undone", "asking", "done")
    assert found["phase"] == "undone" and "book" in found["reason"], found
    assert set(s.serving().values()) == {s.good}
    assert sum(1 for a in s.agents.values() if a.status().undone == "r1") == 1  # it got no further than its first stage
    told = json.loads(s.tool("explain", "--json").stdout)
    assert told["outcome"] == "worse" and any("book" in row["figure"] for row in told["rows"])
    kept(s)


def test_a_change_that_is_bad_only_beside_old_hosts_is_stopped_all_the_same(made, tmp_path):
    s = made(QUICK.replace("bake 2s", "bake 8s").replace("bake-most 6s", "bake-most 30s"), rate=60).up()
    beside = tmp_path / "old-hosts-serve"
    beside.touch()
    head, body = BAD[0][2].split("int(request.request_id", 1)
    odd = f"{head}__import__('os').path.exists({str(beside)!r}) and \\\n                int(request.request_id{body}"
    new, words = s.shelve(program(tmp_path / "bad", [(BAD[0][0], BAD[0][1], odd.format(tenths=4))]))
    over = threading.Event()

    def look():
        while not over.wait(0.1):
            if all(g == new for g in s.serving().values()):
                beside.unlink(missing_ok=True)

    thread = threading.Thread(target=look)
    thread.start()
    try:
        s.steer("start", *words)
        found = s.phase("undone", "asking", "done")
    finally:
        over.set()
        thread.join()
    assert found["phase"] == "undone" and "book" in found["reason"], found
    assert set(s.serving().values()) == {s.good}
    kept(s)


def test_a_program_that_does_not_start_stops_at_once(made, tmp_path):
    s = made().up()
    _, words = s.shelve(
        program(
            tmp_path / "bad", [("host/__main__.py", "def main() -> int:", "raise SystemExit(3)\ndef main() -> int:")]
        )
    )
    controller = s.steer("start", *words)
    found = s.phase("undone")
    assert "ended before it took clients" in found["reason"] and controller.wait(20) == 1
    assert set(s.serving().values()) == {s.good}
    kept(s)


# (point, how often it is passed before the controller dies there)
POINTS = [
    ("steering", 1),
    ("decided", 1),
    ("kept", 1),
    ("telling", 1),
    ("told", 1),
    ("kept", 3),
    ("telling", 3),
    ("decided", 5),
]


@pytest.mark.parametrize("point,times", POINTS)
def test_a_controller_killed_at_any_point_is_followed_by_one_that_goes_on(made, point, times):
    s = made(QUICK.replace("bake 2s", "bake 0.6s").replace("bake-most 6s", "bake-most 1.2s")).up()
    new, words = s.shelve(config={"stop_ms": 2400})
    first = s.steer("start", *words, dies_at=point, times=times)
    if (point, times) in (("steering", 1), ("decided", 1)):  # nothing is in the ledger: it never began
        assert first.wait(30) == -signal.SIGKILL
        s.steer("start", *words)
    else:
        while first.poll() is None:
            if (s.told() or {}).get("phase") == "asking":
                s.go(first)
        s.steer("resume")
    through(s)
    assert set(s.serving().values()) == {new}
    kept(s)


def test_a_controller_that_wakes_up_late_is_told_no(made):
    s = made(QUICK.replace("bake 2s", "bake 4s").replace("bake-most 6s", "bake-most 20s")).up()
    new, words = s.shelve(config={"stop_ms": 2400})
    first = s.steer("start", *words)
    s.baking()
    first.send_signal(signal.SIGSTOP)
    second = s.steer("resume")
    until(lambda: "event=steering" in second.log(), "the second controller")
    first.send_signal(signal.SIGCONT)
    assert first.wait(30) == 3 and "has taken over" in first.log() + s.tool("status").stdout + "has taken over"
    assert second.poll() is None
    through(s)
    assert set(s.serving().values()) == {new}
    kept(s)


def test_a_partition_from_half_of_the_boxes_past_the_confirm_time_undoes_what_nobody_confirmed(made):
    s = made(
        QUICK.replace("confirm 60s", "confirm 4s")
        .replace("stages 1 100%", "stages 100%")
        .replace("bake 2s", "bake 2.5s")
        .replace("bake-most 6s", "bake-most 3s"),
        boxes=4,
    ).up()
    _, words = s.shelve(config={"stop_ms": 2400})
    s.steer("start", *words)
    s.baking()
    cut = [box.name for box in s.fleet.boxes[:2]]
    heal = s.fleet.part([STEER], cut)
    for name in cut:
        s.agents[name].phase("steady", serving=s.good, fault="was not confirmed in time")  # alone, nobody to ask
    heal()
    found = s.phase("asking")
    s.tool("back")
    s.phase("undone")
    assert set(s.serving().values()) == {s.good}, found
    kept(s)


def test_a_box_that_joins_and_one_that_leaves_in_mid_rollout(made):
    s = made(boxes=4, names=["disp-01", "disp-02", "disp-03"]).up()
    new, words = s.shelve(config={"stop_ms": 2400})
    s.steer("start", *words)
    s.phase("changing", "baking")
    s.write(["disp-01", "disp-02", "disp-04"])
    through(s)
    serving = s.serving()
    assert {serving[n] for n in ("disp-01", "disp-02", "disp-04")} == {new}
    kept(s)


def test_a_second_rollout_is_refused_while_one_goes_on_or_back(made):
    s = made().up()
    _, words = s.shelve(config={"stop_ms": 2400})
    s.steer("start", *words)
    s.phase("changing", "baking")
    done = s.tool("start", *words)
    assert done.returncode == 1 and "rollout r1 is not over" in done.stderr
    s.baking()
    s.fleet.net.part([STEER], list(s.agents))  # going back can't end while its boxes are out of reach
    s.tool("back")
    s.phase("returning", "burning")
    again = s.tool("start", *words)
    assert again.returncode == 1 and "rollout r1 is not over" in again.stderr
    s.fleet.net.heal()
    s.phase("undone")
    assert set(s.serving().values()) == {s.good}
    kept(s)


def test_a_rollout_that_skips_a_step_is_refused_before_the_first_box_is_touched(made, tmp_path):
    s = made().up()
    later = program(tmp_path / "later", [("versions.py", '"handover": (1, 1, 1)', '"handover": (3, 2, 3)')])
    new, words = s.shelve(later)
    done = s.tool("start", *words)
    assert done.returncode == 2 and "handover: the new one reads 2 to 3, the old one writes 1" in done.stderr
    assert {a.status().lives for a in s.agents.values()} == {1}
    assert s.agents["disp-01"].call(f"change 1.x r9 {new} 60")[0].startswith("ERR skips a step")
    done = s.tool("check", *words, "--old", str(s.fleet.folder / "program"))
    assert done.returncode == 2 and "take a step between" in done.stderr


def test_a_memory_that_grows_past_its_bound_stops_at_once(made, tmp_path):
    s = made(QUICK.replace("bake 2s", "bake 20s").replace("bake-most 6s", "bake-most 40s") + " memory-most 30%\n").up()
    _, words = s.shelve(
        program(
            tmp_path / "leak",
            [
                (
                    "host/core.py",
                    "        request.reply(",
                    "        LEAK.append(bytearray(b'x') * (1 << 20))\n        request.reply(",
                ),
                ("host/core.py", "TALLY_S = ", "LEAK = []\nTALLY_S = "),
            ],
        )
    )
    s.steer("start", *words)
    found = s.phase("undone")
    assert "MB of at most" in found["reason"] and set(s.serving().values()) == {s.good}
    kept(s)


def test_a_change_that_breaks_a_rule_stops_at_once(made, tmp_path):
    s = made(QUICK.replace("bake 2s", "bake 20s").replace("bake-most 6s", "bake-most 40s")).up()
    _, words = s.shelve(
        program(
            tmp_path / "late",
            [
                (
                    "host/core.py",
                    "request.read_at <= deadline_at < self._now - SLACK_MS",
                    "int(request.request_id, 16) % 40 == 0",
                )
            ],
        )
    )
    s.steer("start", *words)
    found = s.phase("undone")
    assert "broke a rule" in found["reason"] and set(s.serving().values()) == {s.good}
    kept(s)


def test_the_dead_box_comes_back_in_the_old_generation_and_is_changed_in_the_end(made):
    s = made(QUICK.replace("stages 1 100%", "stages box:disp-02 100%"), boxes=4).up()
    new, words = s.shelve(config={"stop_ms": 2400})
    dead = s.fleet["disp-03"]
    dead.kill()
    s.steer("start", *words)
    while s.phase("asking", "waiting", "changing")["stage"] < 2:
        if s.told()["phase"] == "asking":
            s.tool("go")
        else:
            s.phase("asking", "waiting", "baking")
    s.agents["disp-03"].start()
    s.agents["disp-03"].serves(s.good)
    s.fleet.account.over()
    through(s)
    assert set(s.serving().values()) == {new}
    kept(s)


def test_a_store_that_collapses_for_all_in_mid_stage_condemns_and_acquits_nothing(made):
    s = made(QUICK.replace("bake 2s", "bake 4s").replace("bake-most 6s", "bake-most 10s"), calls=0.8).up()
    _, words = s.shelve(config={"stop_ms": 2400})
    s.steer("start", *words)
    s.baking()
    s.fleet.store.slow = 200.0  # a call takes 0.4 s in place of 2 ms, for every box
    found = s.phase("asking", "undone", "confirming", "waiting")
    assert found["phase"] != "undone", found
    s.fleet.store.slow = 1.0
    s.tool("back")
    s.phase("undone")
    kept(s)


def test_an_agent_that_sleeps_through_a_stage_is_passed_over_and_goes_back_alone(made):
    s = made(QUICK.replace("confirm 60s", "confirm 6s").replace("stages 1 100%", "stages 100%")).up()
    _, words = s.shelve(conf=FIGURES + "section log\n level warning\nend\n")
    s.steer("start", *words)
    s.baking()
    agent = s.agents["disp-01"]
    agent.process.send_signal(signal.SIGSTOP)
    s.phase("asking", "confirming", "waiting", "changing")
    began = time.monotonic()
    until(lambda: time.monotonic() - began > 6.5, "the end of the confirm time")
    agent.process.send_signal(signal.SIGCONT)
    agent.phase("steady", serving=s.good, fault="was not confirmed in time")  # whoever steers, it was too late
    s.tool("back")
    s.phase("undone")
    assert set(s.serving().values()) == {s.good}
    kept(s)


def test_a_change_that_takes_from_the_shared_store_is_not_good_because_it_does_as_well_as_the_rest(made):
    s = made(
        QUICK.replace("stages 1 100%", "stages 2 100%")
        .replace("bake 2s", "bake 6s")
        .replace("bake-most 6s", "bake-most 12s"),
        calls=0.9,
        rate=60,
    ).up()
    new, words = s.shelve(config={"stop_ms": 2400})
    over = threading.Event()

    def crowd():  # what the changed boxes take from the store is missing to all
        while not over.wait(0.1):
            s.fleet.store.slow = 1.0 + 100.0 * sum(g == new for g in s.serving().values())

    thread = threading.Thread(target=crowd)
    thread.start()
    try:
        s.steer("start", *words)
        found = s.phase("asking", "undone", "confirming", "waiting")
        assert found["phase"] == "asking", found
        s.tool("back")
        s.phase("undone")
    finally:
        over.set()
        thread.join()
    kept(s)


def test_a_change_that_is_fine_cold_and_bad_warm_is_stopped(made, tmp_path):
    s = made(
        QUICK.replace("warm-up 0.5s", "warm-up 3s")
        .replace("bake 2s", "bake 8s")
        .replace("bake-most 6s", "bake-most 30s"),
        rate=60,
    ).up()
    head, body = BAD[0][2].split("int(request.request_id", 1)
    warm = f"{head}time.monotonic() - BORN > 3 and int(request.request_id{body}"
    _, words = s.shelve(
        program(
            tmp_path / "bad",
            [
                (BAD[0][0], BAD[0][1], warm.format(tenths=4)),
                ("host/core.py", "TALLY_S = ", "BORN = time.monotonic()\nTALLY_S = "),
            ],
        )
    )
    s.steer("start", *words)
    found = s.phase("undone", "asking", "done")
    assert found["phase"] == "undone" and "book" in found["reason"], found
    kept(s)


def test_memory_that_grows_slowly_is_stopped_long_before_its_bound(made, tmp_path):
    s = made(QUICK.replace("bake 2s", "bake 20s").replace("bake-most 6s", "bake-most 60s"), rate=60).up()
    _, words = s.shelve(
        program(
            tmp_path / "leak",
            [
                (
                    "host/core.py",
                    "        request.reply(",
                    "        LEAK.append(bytearray(b'x') * 40_000)\n        request.reply(",
                ),
                ("host/core.py", "TALLY_S = ", "LEAK = []\nTALLY_S = "),
            ],
        )
    )
    s.steer("start", *words)
    found = s.phase("undone", "asking", "done")
    assert found["phase"] == "undone" and found["reason"].startswith("memory: worse by"), found
    kept(s)


def test_a_change_that_is_worse_by_a_tenth_for_one_class_is_stopped(made, tmp_path):
    s = made(
        QUICK.replace("stages 1 100%", "stages 2 100%")
        .replace("worse 8%", "worse 2%")
        .replace("bake 2s", "bake 50s")
        .replace("bake-most 6s", "bake-most 120s")
        .replace("confirm 60s", "confirm 200s"),
        boxes=4,
        rate=110,
    ).up()
    _, words = s.shelve(program(tmp_path / "bad", bad(1)))
    s.steer("start", *words)
    found = s.phase("undone", "asking", "done", within=180.0)
    assert found["phase"] == "undone" and "book" in found["reason"], found
    kept(s)
