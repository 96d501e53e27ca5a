"""What a rollout decides: stages, pace, boxes under deaths at any instant, the course of a fleet, and the judge."""

import datetime
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.rollout_model import NEW, OLD, SHELF, Box, Fleet
from lapispick import versions
from lapispick.durable import database
from lapispick.fleet.hosts import Worker
from lapispick.handover import messages as handover_messages
from lapispick.rollout import (
    compat,
    evidence,
    generations,
    host_state,
    messages,
    metrics,
    pacing,
    rollout_state,
    stages,
)
from lapispick.rollout.canary_analysis import Bounds, Judge, Outcome
from lapispick.rollout.evidence import Series
from lapispick.rollout.messages import Back, Change, Confirm, Fence
from lapispick.rollout.pacing import Place
from lapispick.rollout.stages import want


def workers(*sizes):
    return [
        Worker(f"z{z}-{n}", f"z{z}-{n}:1", agent="x:1", zone=f"z{z}", domain=f"r{n % 2}", machine=f"m{n % 2}")
        for z, size in enumerate(sizes)
        for n in range(size)
    ]


SAME = settings(derandomize=True)  # the same verdict every time
WANTS = [("1", "10%", "100%"), ("100%",), ("2", "5", "50%", "100%")]


@SAME
@given(
    st.lists(st.integers(1, 30), min_size=1, max_size=5),
    st.sampled_from(WANTS),
    st.floats(0.1, 1.0),
    st.text(min_size=1, max_size=8),
)
def test_every_box_has_one_stage_and_none_takes_all_of_a_zone(sizes, wants, most, name):
    boxes, bounds = workers(*sizes), stages.Bounds(most)
    made = stages.assign(boxes, [want(w) for w in wants], name, bounds)
    assert sorted(n for stage in made for n in stage) == sorted(b.name for b in boxes)
    for stage in made:
        for z, size in enumerate(sizes):
            assert sum(n.startswith(f"z{z}-") for n in stage) < max(2, size)
    shuffled = boxes[:]
    random.Random(1).shuffle(shuffled)
    assert stages.assign(shuffled, [want(w) for w in wants], name, bounds) == made  # any order of the list


@pytest.mark.parametrize("word", ["0", "x", "120%", "0%", "box:", "-1", "1.5"])
def test_a_stage_that_is_none_is_refused(word):
    with pytest.raises(ValueError):
        want(word)


def test_named_boxes_come_in_their_stage_and_a_wrong_name_is_told_the_nearest():
    boxes = workers(4, 4)
    made = stages.assign(boxes, [want("box:z0-1,z1-2"), want("100%")], "r", stages.Bounds())
    assert made[0] == ["z0-1", "z1-2"]
    with pytest.raises(ValueError, match="did you mean z0-1"):
        stages.assign(boxes, [want("box:z0-11")], "r", stages.Bounds())
    assert any("stay as they are" in r for r in stages.remarks(boxes, made[:1], stages.Bounds()))


@SAME
@given(
    st.lists(st.tuples(st.booleans(), st.booleans(), st.booleans()), min_size=1, max_size=40),
    st.integers(1, 9),
    st.floats(0, 1),
)
def test_the_pace_never_begins_too_many_nor_leaves_too_few(rows, most, least):
    places = [Place(str(n), *row) for n, row in enumerate(rows)]
    begun, why = pacing.next_boxes(places, pacing.Bounds(most, least))
    changing = sum(p.in_change for p in places)
    assert not begun or changing + len(begun) <= most
    by_name = {p.name: p for p in places}
    left = sum(p.serves and not p.in_change and p.name not in begun for p in places)
    assert not any(by_name[n].serves for n in begun) or left >= least * len(places) - 1e-6
    assert why or sum(p.waits and not p.in_change for p in places) == len(begun)


@pytest.mark.parametrize(
    "at,span,not_days,open_",
    [
        ("2026-12-01 10:00", "09:00-17:00", (), True),
        ("2026-12-01 08:59", "09:00-17:00", (), False),
        ("2026-12-01 17:00", "09:00-17:00", (), False),
        ("2026-12-05 10:00", "", ("sat",), False),
        ("2026-12-05 01:00", "22:00-04:00", ("sat",), True),
        ("2026-12-06 01:00", "22:00-04:00", ("sat",), False),
        ("2026-12-06 12:00", "22:00-04:00", (), False),
    ],
)
def test_hours_and_days_in_which_nothing_begins(at, span, not_days, open_):
    assert (not pacing.open_at(datetime.datetime.fromisoformat(at), pacing.hours(span), not_days)) is open_


# A box, its agent dying at any instant: what was decided is on disk, done or half done.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10**9))
def test_a_box_ends_in_one_generation_that_was_asked_for_whatever_dies_when(seed):
    rng, now = random.Random(seed), 0.0
    made = Box("x", random.Random(seed))
    asked, confirmed, last = {OLD}, {OLD}, ""
    for turn in range(300):
        now += rng.choice((0.1, 0.1, 0.5, 3.0))
        state, actions = host_state.step(made.state, now, made.seen(now), host_state.Bounds())
        made.state = state  # kept; the agent may die after any action
        for action in actions[: rng.choice((0, 1, 9, 9, 9))]:
            made.act(action, now)
        if rng.random() < 0.03 and made.procs:
            made.procs.pop(rng.choice(list(made.procs)))  # a process is killed
        if rng.random() < 0.1 and turn < 200:
            fence, name = Fence(rng.randrange(3), rng.choice("ab")), f"r{rng.randrange(3)}"
            change = Change(fence, name, rng.choice((OLD, NEW)), 5.0, rng.random() < 0.3)
            call = rng.choice((change, Confirm(fence, name), Back(fence, name)))
            before = made.state
            made.state, answer = host_state.call(before, call, now, made.seen(now))
            assert messages.read(messages.write(call)) == call
            if answer[0].startswith("ERR fenced"):
                assert made.state == before
            elif isinstance(call, Change) and answer[0] == "OK":
                asked.add(call.generation)
            elif isinstance(call, Confirm) and answer[0] == "OK":
                confirmed.add(made.state.good)
        assert made.state.fence.epoch >= 0 and len(made.state.lives) <= host_state.SLOTS
        running = {life.number for life in made.state.lives if life.role != host_state.LEAVING}
        assert len(running) <= 2 and len({life.slot for life in made.state.lives}) == len(made.state.lives)
    for _ in range(100):  # left alone, it comes to rest: one process, of a generation that was asked for and confirmed
        now += 0.5
        made.state, actions = host_state.step(made.state, now, made.seen(now), host_state.Bounds())
        for action in actions:
            made.act(action, now)
    assert made.state.phase == host_state.STEADY, (seed, made.state, last)
    assert [g for g, _ in made.procs.values()] == [made.state.good] and made.state.good in asked & confirmed
    assert msgspec.json.decode(msgspec.json.encode(made.state), type=host_state.State) == made.state


def test_a_good_generation_that_fails_to_start_once_is_tried_again_and_one_that_is_gone_waits_for_its_return():
    made = proving()
    assert ask(made, Back(Fence(1, "a"), "r1"), 12.0) == "OK"
    made.step(12.0)
    made.procs.pop(made.state.life(host_state.COMING).number)  # killed by something else
    made.step(12.2)
    assert made.state.phase == host_state.RETURNING and made.serving(12.2)[0] == NEW
    for n in range(13, 30):
        made.step(float(n))
    assert made.state.phase == host_state.STEADY and made.serving(30.0)[0] == OLD
    made = proving()
    state, _ = host_state.call(made.state, Back(Fence(1, "a"), "r1"), 12.0, made.seen(12.0))
    state, _ = host_state.step(state, 12.0, made.seen(12.0)._replace(shelf={NEW: SHELF[NEW]}), host_state.Bounds())
    assert state.phase == host_state.STUCK and "gone from the shelf" in state.fault
    state, _ = host_state.step(state, 13.0, made.seen(13.0), host_state.Bounds())
    assert state.phase == host_state.RETURNING and state.life(host_state.COMING).generation == OLD


def test_a_machine_that_starts_again_before_the_confirmation_goes_back():
    made = Box("x", random.Random(1))
    for n in range(10):
        made.step(float(n))
    made.state, answer = host_state.call(made.state, Change(Fence(1, "a"), "r1", NEW, 100.0), 10.0, made.seen(10.0))
    for n in range(10, 20):
        made.step(float(n))
    assert answer == ["OK"] and made.state.phase == host_state.PROVING and made.serving(20.0)[0] == NEW
    made.procs.clear()
    state, _ = host_state.step(
        made.state, 0.5, host_state.Seen(frozenset(), frozenset(), SHELF, "2"), host_state.Bounds()
    )
    assert state.wanted == OLD and "before the change was confirmed" in state.fault and state.lives[0].generation == OLD


@pytest.mark.parametrize(
    "held,asked,admitted",
    [
        ((0, ""), (1, "a"), True),
        ((7, "a"), (7, "a"), True),
        ((7, "a"), (8, "b"), True),
        ((7, "a"), (7, "b"), False),
        ((7, "a"), (6, "a"), False),
        ((0, ""), (0, "a"), False),
    ],
)
def test_only_the_newest_fence_counts_and_one_epoch_has_one_holder(held, asked, admitted):
    assert messages.admits(Fence(*held), Fence(*asked)) is admitted
    state = host_state.State("x", good=OLD, epoch=held[0], who=held[1])
    after, answer = host_state.call(
        state, messages.Steer(Fence(*asked)), 0.0, host_state.Seen(frozenset(), frozenset(), SHELF)
    )
    assert answer[0].startswith("OK" if admitted else "ERR fenced") and (after.fence == Fence(*asked)) is admitted


def test_a_process_that_is_only_starting_is_never_told_by_sighup():
    made = Box("x", random.Random(1))
    made.step(1.0)
    ask = Change(Fence(1, "a"), "r1", NEW, 9.0)
    assert host_state.call(made.state, ask, 1.0, made.seen(1.0))[1] == ["ERR nothing serves here"]
    stop = msgspec.structs.replace(SHELF[NEW], program=OLD, conf="", config={"stop_ms": 9})
    shelf = {OLD: SHELF[OLD], NEW: stop}
    for took, kind in ((True, "Reload"), (False, "Start")):
        state = host_state.copy(made.state)
        state.phase, state.wanted, state.change, state.lives[0].took = host_state.TRYING, NEW, 1, took
        _, actions = host_state.step(
            state, 2.0, host_state.Seen(frozenset([1]), frozenset(), shelf, "1"), host_state.Bounds()
        )
        assert [type(a).__name__ for a in actions] == [kind]


# What two versions must read of each other.


def spoken(writes, oldest, newest):
    return {"handover": compat.Spoken(writes, oldest, newest)}


@pytest.mark.parametrize(
    "old,new,words_",
    [
        ((1, 1, 1), (1, 1, 2), []),
        ((1, 1, 2), (2, 1, 2), []),
        ((1, 1, 1), (2, 1, 2), ["first roll out one that reads 2"]),
        ((2, 1, 2), (2, 2, 3), []),
        ((1, 1, 1), (2, 2, 2), ["take a step between", "first roll out one that reads 2"]),
    ],
)
def test_a_step_is_allowed_where_each_reads_what_the_other_writes(old, new, words_):
    found = compat.objections(spoken(*old), spoken(*new))
    assert len(found) == len(words_) and all(w in f for w, f in zip(words_, found, strict=True))
    ours, theirs = spoken(*old)["handover"], spoken(*new)["handover"]
    assert (compat.agreed(ours, theirs) is not None) or found


def test_what_is_spoken_is_what_the_parts_say_of_themselves():
    told = compat.parsed(versions.SPOKEN)
    assert told["handover"].writes == handover_messages.VERSION and told["durable"].writes == database.VERSION
    assert told["agent"].writes == messages.VERSION
    for bad in ({"x": (2, 1, 1)}, {"x": "1"}, {"x": (1, 1)}):
        with pytest.raises(ValueError):
            compat.parsed(bad)


def test_a_generation_is_its_files_and_settings_and_in_place_only_where_sighup_takes_all():
    one = generations.digest([("a", b"x"), ("b", b"y")])
    assert one == generations.digest([("b", b"y"), ("a", b"x")]) != generations.digest([("a", b"xb"), ("", b"y")])
    old, stop = SHELF[OLD], msgspec.structs.replace(SHELF[OLD], config={"stop_ms": 9})
    assert generations.in_place(old, stop) and not generations.in_place(old, old)
    assert not generations.in_place(old, msgspec.structs.replace(stop, conf="z"))
    assert not generations.in_place(old, msgspec.structs.replace(old, config={"stop_ms": 9, "later": 1}))
    assert generations.faults({"listen": "x", "stop_ms": 1}) == ["listen: is the box's own, no generation sets it"]


# The course of a fleet, with the agents' own decisions.


def test_a_good_rollout_of_many_boxes_ends_with_all_of_them_and_keeps_its_pace():
    fleet = Fleet(3, 60)
    course = fleet.play()
    assert course.phase == rollout_state.DONE and all(b.serving(fleet.now)[0] == NEW for b in fleet.boxes.values())
    assert fleet.worst_down == 0


def test_a_bad_generation_costs_little_and_goes_back():
    fleet = Fleet(4, 60, effect=lambda cls, warm: 0.3)
    course = fleet.play()
    assert course.phase == rollout_state.UNDONE and all(b.serving(fleet.now)[0] == OLD for b in fleet.boxes.values())
    assert fleet.lost / fleet.bare < 0.03


def test_fine_cold_and_bad_warm_is_found():
    course = Fleet(5, 60, effect=lambda cls, warm: 0.25 if warm >= 1 else 0.0).play()
    assert course.phase == rollout_state.UNDONE


def test_a_change_that_harms_the_old_boxes_is_never_taken_for_good():
    fleet = Fleet(6, 30, wants=("30%", "100%"), harm=1.0, drift=0.0)
    while fleet.course.phase not in (
        rollout_state.ASKING,
        rollout_state.DONE,
        rollout_state.UNDONE,
        rollout_state.CONFIRMING,
    ):
        fleet.second()
    assert fleet.course.phase == rollout_state.ASKING and "that stay as they are got worse" in fleet.course.reason


def test_a_collapse_of_the_store_in_mid_stage_condemns_nothing():
    fleet = Fleet(7, 30, wants=("30%", "100%"))
    while fleet.course.phase != rollout_state.BAKING:
        fleet.second()
    for n in range(40):
        fleet.collapse = 0.5 if n < 30 else 0.0
        fleet.second()
    assert fleet.course.phase in (rollout_state.BAKING, rollout_state.ASKING, rollout_state.CONFIRMING)


def test_a_fleet_on_fire_is_not_started_anew():
    fleet = Fleet(8, 20, wants=("50%", "100%"))
    while fleet.course.phase != rollout_state.BAKING:
        fleet.second()
    for name in list(fleet.boxes)[:10]:
        fleet.boxes[name].procs.clear()
        fleet.boxes[name].fails = {OLD, NEW}
    for _ in range(30):
        fleet.second()
    assert fleet.course.phase == rollout_state.BURNING
    cause, _, burns = fleet.course.reason.rpartition("; ")
    assert "boxes do not serve" in burns
    starts = sum(b.starts for b in fleet.boxes.values() if not b.fails)
    for _ in range(30):
        fleet.second()
    assert sum(b.starts for b in fleet.boxes.values() if not b.fails) == starts
    for each in fleet.boxes.values():
        each.fails = set()
    assert fleet.play(person="back").phase == rollout_state.UNDONE
    assert fleet.course.reason == cause  # why it went back is told in the end, not that a fire is over


# The judge.


def test_the_evidence_is_a_fair_game_and_grows_with_a_true_difference():
    rng, passed = random.Random(1), 0
    for _ in range(400):
        run, ever = Series(), False
        for _ in range(100):
            run.add(rng.gauss(0, 1))
            ever |= evidence.log_evidence(run.total, run.n, 1.0) >= 2.9957  # log 20
        passed += ever
    assert passed / 400 < 0.05
    run = Series()
    for _ in range(100):
        run.add(rng.gauss(0.8, 1))
    assert evidence.log_evidence(run.total, run.n, 1.0) > 10 and evidence.log_evidence(-run.total, run.n, 1.0) < 0
    assert abs(run.mean - 0.8) < evidence.radius(run.n, run.n, 1.0, 0.05)


def slices(rng, worse, names, n=40):
    made = {}
    for name in names:
        refused = sum(rng.random() < 0.05 + worse.get(name, 0.0) for _ in range(n))
        book = metrics.Class(n, refused, 0, 0, float(n - refused), {16.0: n})
        made[name] = metrics.Slice(name, 1.0, {"book": book}, n - refused, 30_000)
    return made


@pytest.mark.parametrize("worse,outcome", [({"a": 0.0}, Outcome.GOOD), ({"a": 0.3}, Outcome.WORSE), ({"b": 0.3}, None)])
def test_only_the_changed_boxes_doing_worse_condemns(worse, outcome):
    rng, judge = random.Random(2), Judge(Bounds(), {"a": 1, "b": 1, "c": 2})
    for _ in range(60):
        judge.before(["a"], ["b"], slices(rng, {}, "ab"))
    assert judge.verdict().outcome is Outcome.UNSURE
    for _ in range(100):
        judge.after(["a"], ["b"], slices(rng, worse, "ab"))
    found = judge.verdict()
    assert found.outcome is outcome if outcome else found.outcome is not Outcome.WORSE
    assert found.rows and all(row.low <= row.mean <= row.high for row in found.rows)


def test_a_class_that_is_asked_seldom_is_judged_by_all_of_its_requests():
    rng, judge = random.Random(9), Judge(Bounds(), {"a": 1, "b": 1})
    for n in range(400):
        (judge.before if n < 100 else judge.after)(["a"], ["b"], slices(rng, {"a": 0.4} if n >= 100 else {}, "ab", n=2))
    found = judge.verdict()
    assert found.outcome is Outcome.WORSE and {row.slices for row in found.rows if "book" in row.figure} == {100}


def test_what_told_the_boxes_apart_before_the_change_is_no_fault_of_it():
    rng, judge = random.Random(6), Judge(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        (judge.before if n < 60 else judge.after)(["a"], ["b"], slices(rng, {"a": 0.2}, "ab"))
    assert judge.verdict().outcome is not Outcome.WORSE


def test_boxes_of_other_kinds_are_never_compared():
    rng, judge = random.Random(2), Judge(Bounds(), {"a": 1, "c": 2})
    for _ in range(50):
        judge.after(["a"], ["c"], slices(rng, {"a": 0.5}, "ac"))
    assert judge.verdict() == (Outcome.UNSURE, "there is nothing to compare with", ())


def test_figures_of_another_process_make_no_slice():
    lines = [
        "app.success.book:5|c",
        "app.busy.book:1|c",
        "app.took.book.16:6|c",
        "app.memory_kb:9|g",
        "app.generation.ab:1|g",
        "END",
    ]
    was = metrics.read(lines, 1.0)
    now = metrics.read([lines[0].replace(":5", ":9"), *lines[1:]], 2.0)
    assert metrics.sliced("x", was, now).classes["book"][:2] == (4, 0) and was.generation == "ab"
    again = msgspec.structs.replace(was, at=3.0)
    assert metrics.sliced("x", now, was) is None and metrics.sliced("x", now, again) is None
    for bad in (["x"], ["app.a:1|c"], ["app.a:-1|c", "END"]):
        with pytest.raises(ValueError):
            metrics.read(bad, 1.0)


def test_memory_that_grows_slowly_is_worse_though_it_is_far_from_its_bound():
    rng, judge = random.Random(3), Judge(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        now = slices(rng, {}, "ab")
        if n < 60:
            judge.before(["a"], ["b"], now)
            continue
        leak = (n - 60) * 400  # kB; a fifth of the limit in 100 slices
        judge.after(["a"], ["b"], {**now, "a": now["a"]._replace(memory_kb=30_000 + leak + rng.randrange(500))})
    found = judge.verdict()
    assert found.outcome is Outcome.WORSE and found.ground.startswith("memory")


def test_old_boxes_that_get_worse_block_good_and_condemn_nothing():
    rng, judge = random.Random(4), Judge(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        both = {"a": 0.15, "b": 0.15} if n >= 60 else {}
        (judge.before if n < 60 else judge.after)(["a"], ["b"], slices(rng, both, "ab"))
    found = judge.verdict()
    assert found.outcome is Outcome.UNSURE and "that stay as they are got worse" in found.ground


# What an agent answers, one rule at a time.


def proving(rollout="r1"):
    made = Box("x", random.Random(1))
    for n in range(6):
        made.step(float(n))
    made.state, answer = host_state.call(made.state, Change(Fence(1, "a"), rollout, NEW, 10.0), 6.0, made.seen(6.0))
    assert answer == ["OK"]
    for n in range(6, 12):
        made.step(float(n))
    assert made.state.phase == host_state.PROVING
    return made


def ask(made, call, now):
    made.state, answer = host_state.call(made.state, call, now, made.seen(now))
    return answer[0]


def test_a_rollout_that_was_undone_is_refused_for_good_and_another_one_is_not():
    made, fence = proving(), Fence(1, "a")
    assert ask(made, Back(fence, "r1"), 12.0) == "OK"
    for n in range(12, 20):
        made.step(float(n))
    assert made.state.phase == host_state.STEADY and made.serving(20.0)[0] == OLD
    assert ask(made, Change(fence, "r1", NEW, 9.0), 20.0) == "ERR undone: called back"
    assert ask(made, Confirm(fence, "r1"), 20.0).startswith("ERR undone")
    assert ask(made, Change(fence, "r2", NEW, 9.0), 20.0) == "OK"


def test_a_confirmation_counts_in_time_only_and_from_a_box_that_takes_clients():
    made, fence = proving(), Fence(1, "a")
    late = made.state.deadline
    assert ask(made, Confirm(fence, "r2"), 12.0) == "ERR another rollout"
    assert ask(made, Confirm(fence, "r1"), late) == "ERR too late: it is undone now"
    number = made.state.life(host_state.SERVING).number
    made.procs[number] = (NEW, 1e9)
    assert ask(made, Confirm(fence, "r1"), 12.0) == "ERR it takes no clients"
    made.procs[number] = (NEW, 0.0)
    assert ask(made, Confirm(fence, "r1"), 12.0) == "OK" and made.state.good == NEW and made.state.previous == OLD


def test_an_agent_that_died_between_its_decision_and_the_start_goes_on_with_it():
    made = Box("x", random.Random(1))
    for n in range(6):
        made.step(float(n))
    assert ask(made, Change(Fence(1, "a"), "r1", NEW, 9.0), 6.0) == "OK"
    state, actions = host_state.step(made.state, 6.0, made.seen(6.0), host_state.Bounds())
    (start,) = actions
    again, actions = host_state.step(state, 6.5, made.seen(6.5), host_state.Bounds())  # kept, and never done
    assert actions == [start] and again == state and start.life.generation == NEW


def test_a_process_that_is_gone_while_it_is_proved_is_undone_and_strangers_are_ended():
    made = proving()
    made.procs.clear()
    state, _ = host_state.step(made.state, 12.0, made.seen(12.0), host_state.Bounds())
    assert state.phase == host_state.RETURNING and "ended" in state.fault
    made = proving()
    made.procs[99] = (NEW, 0.0)  # of a life that was struck off before the agent died
    _, actions = host_state.step(made.state, 12.0, made.seen(12.0), host_state.Bounds())
    assert host_state.Kill(99) in actions


def test_a_process_that_leaves_too_slowly_or_hangs_alone_is_ended():
    made = Box("x", random.Random(1))
    made.fails = {OLD}
    made.step(0.0)
    made.step(1.0)
    _, actions = host_state.step(
        made.state, 1.0 + host_state.HANGS * host_state.Bounds().start, made.seen(1.0), host_state.Bounds()
    )
    assert host_state.Kill(1) in actions
    made = proving()
    made.state.lives.append(host_state.Life(50, OLD, 0, host_state.LEAVING, 0, 11.0, True, True))
    made.procs[50] = (OLD, 0.0)
    for now, wanted in ((12.0, host_state.Term(50)), (11.0 + host_state.Bounds().stop, host_state.Kill(50))):
        assert wanted in host_state.step(made.state, now, made.seen(now), host_state.Bounds())[1]


def test_going_back_keeps_its_own_pace():
    fleet = Fleet(9, 40, wants=("60%", "100%"), plan={"back_most": 2})
    while fleet.course.phase != rollout_state.BAKING:
        fleet.second()
    fleet.course.told, worst = "back", 0
    while fleet.course.phase not in rollout_state.OVER:
        fleet.second()
        worst = max(worst, sum(b.state.phase == host_state.RETURNING for b in fleet.boxes.values()))
    assert fleet.course.phase == rollout_state.UNDONE and 0 < worst <= 3


def test_cold_boxes_are_in_neither_group():
    fleet = Fleet(10, 20, wants=("30%", "100%"), plan={"warm_up": 10.0})
    while fleet.course.phase != rollout_state.BAKING:
        fleet.second()
    heard = {name: each.heard(fleet.now) for name, each in fleet.boxes.items()}
    changed, old = rollout_state.groups(fleet.course, heard)
    assert all(heard[n].status.since_s >= 10.0 for n in (*changed, *old))
    for _ in range(20):
        fleet.second()
    heard = {name: each.heard(fleet.now) for name, each in fleet.boxes.items()}
    changed, old = rollout_state.groups(fleet.course, heard)
    assert set(changed) == set(fleet.course.boxes) and set(old) == set(fleet.course.controls)


def until_phase(fleet, *phases, most=2000):
    while fleet.course.phase not in phases:
        fleet.second()
        assert fleet.now < most, fleet.course.phase
    return fleet.course


def test_a_planned_hold_waits_for_a_person_and_begins_nothing():
    fleet = Fleet(11, 20, wants=("20%", "100%"), plan={"hold": (1,)})
    until_phase(fleet, rollout_state.HOLDING, rollout_state.ASKING)
    if fleet.course.phase == rollout_state.ASKING:
        fleet.course.told = "go"
        until_phase(fleet, rollout_state.HOLDING)
    starts = sum(b.starts for b in fleet.boxes.values())
    for _ in range(60):
        fleet.second()
    assert fleet.course.phase == rollout_state.HOLDING and sum(b.starts for b in fleet.boxes.values()) == starts
    fleet.course.told = "go"
    assert fleet.play().phase == rollout_state.DONE


def test_a_person_holds_a_stage_and_lets_it_go_on_where_it_was():
    fleet = Fleet(12, 20, wants=("50%", "100%"), plan={"pace": pacing.Bounds(1, 0.5)})
    until_phase(fleet, rollout_state.CHANGING)
    fleet.second()
    fleet.course.told = "hold"
    fleet.second()
    assert fleet.course.phase == rollout_state.HOLDING
    begun = sum(b.serving(fleet.now)[0] == NEW or b.state.phase != host_state.STEADY for b in fleet.boxes.values())
    for _ in range(30):
        fleet.second()
    assert sum(b.state.wanted == NEW for b in fleet.boxes.values()) == begun < 10
    fleet.course.told = "go"
    fleet.second()
    assert fleet.course.phase == rollout_state.CHANGING
    fleet.course.told = "back"
    assert fleet.play().phase == rollout_state.UNDONE


def test_nothing_begins_outside_of_the_hours_and_a_stage_under_way_goes_on():
    fleet = Fleet(13, 12, wants=("30%", "100%"))
    heard = {name: each.heard(0.0) for name, each in fleet.boxes.items()}
    course, calls = rollout_state.step(fleet.course, 1.0, Fence(1, "a"), heard, None, "it is 03:00")
    course, calls = rollout_state.step(course, 500.0, Fence(1, "a"), heard, None, "it is 03:00")
    assert course.phase == rollout_state.WATCHING and not calls
    course.phase, course.stage = rollout_state.WAITING, 1
    course, calls = rollout_state.step(course, 501.0, Fence(1, "a"), heard, None, "it is 03:00")
    assert course.phase == rollout_state.WAITING and course.reason == "it is 03:00"
    course, _ = rollout_state.step(course, 502.0, Fence(1, "a"), heard, None, "")
    assert course.phase == rollout_state.CHANGING
    course, _ = rollout_state.step(course, 503.0, Fence(1, "a"), heard, None, "it is 03:00")
    assert course.phase == rollout_state.CHANGING


def test_boxes_that_join_come_last_and_those_that_leave_are_struck_off():
    fleet = Fleet(14, 12, wants=("30%", "100%"))
    until_phase(fleet, rollout_state.CHANGING)
    gone = next(n for n in fleet.boxes if n not in fleet.course.boxes)
    del fleet.boxes[gone]
    fleet.boxes["d9999"] = Box("d9999", random.Random(1))
    fleet.second()
    assert gone in fleet.course.gone and fleet.course.later == ["d9999"]
    assert fleet.play().phase == rollout_state.DONE
    assert all(b.serving(fleet.now)[0] == NEW for b in fleet.boxes.values())


def test_a_box_out_of_reach_is_passed_over_and_changed_when_it_is_heard_again():
    fleet = Fleet(15, 12, wants=("50%", "100%"))
    until_phase(fleet, rollout_state.CHANGING)
    lost = fleet.course.boxes[0]
    fleet.boxes[lost].reached = False
    until_phase(fleet, rollout_state.BAKING)
    assert lost in fleet.course.later and lost not in fleet.course.boxes
    for _ in range(5000):
        if fleet.course.phase == rollout_state.ASKING:
            fleet.course.told = "go"
        if fleet.course.stage >= 2:
            break
        fleet.second()
    assert until_phase(fleet, rollout_state.CHANGING, most=6000).boxes == [lost]
    for _ in range(60):
        fleet.second()
    assert fleet.course.phase == rollout_state.CHANGING and "can be reached" in fleet.course.reason
    fleet.boxes[lost].reached = True
    assert fleet.play().phase == rollout_state.DONE and fleet.boxes[lost].serving(fleet.now)[0] == NEW
