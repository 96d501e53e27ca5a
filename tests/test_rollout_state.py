"""What a rollout decides: stages, pacing, hosts whose agents die at any instant, whole fleets, canary analysis."""

import datetime
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.rollout_model import GENERATIONS, NEW, OLD, SimulatedFleet, SimulatedHost
from lapispick import versions
from lapispick.durable import database
from lapispick.fleet.hosts import Worker
from lapispick.handover import messages as say
from lapispick.rollout import (
    compat,
    evidence,
    generations,
    host_calls,
    host_state,
    host_step,
    messages,
    metrics,
    pacing,
    rollout_state,
    rollout_step,
    stages,
)
from lapispick.rollout.canary_analysis import Bounds, CanaryAnalysis, Outcome
from lapispick.rollout.evidence import Series
from lapispick.rollout.host_actions import Kill, Terminate
from lapispick.rollout.host_state import HostPhase, HostProcess, HostState, Observation, Role, Timeouts
from lapispick.rollout.messages import Change, Confirm, Fence, RollBack
from lapispick.rollout.pacing import Candidate
from lapispick.rollout.rollout_state import Order, Phase
from lapispick.rollout.stages import parse_size
from lapispick.rollout.step_context import Observations


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
    boxes, bounds = workers(*sizes), stages.Limits(most)
    made = stages.assign(boxes, [parse_size(w) for w in wants], name, bounds)
    assert sorted(n for stage in made for n in stage) == sorted(b.name for b in boxes)
    for stage in made:
        for z, size in enumerate(sizes):
            assert sum(n.startswith(f"z{z}-") for n in stage) < max(2, size)
    shuffled = boxes[:]
    random.Random(1).shuffle(shuffled)
    assert stages.assign(shuffled, [parse_size(w) for w in wants], name, bounds) == made  # any order of the list


@pytest.mark.parametrize("word", ["0", "x", "120%", "0%", "box:", "-1", "1.5"])
def test_a_stage_that_is_none_is_refused(word):
    with pytest.raises(ValueError):
        parse_size(word)


def test_named_boxes_come_in_their_stage_and_a_wrong_name_is_told_the_nearest():
    boxes = workers(4, 4)
    made = stages.assign(boxes, [parse_size("box:z0-1,z1-2"), parse_size("100%")], "r", stages.Limits())
    assert made[0] == ["z0-1", "z1-2"]
    with pytest.raises(ValueError, match="did you mean z0-1"):
        stages.assign(boxes, [parse_size("box:z0-11")], "r", stages.Limits())
    assert any("stay as they are" in r for r in stages.remarks(boxes, made[:1], stages.Limits()))


@SAME
@given(
    st.lists(st.tuples(st.booleans(), st.booleans(), st.booleans()), min_size=1, max_size=40),
    st.integers(1, 9),
    st.floats(0, 1),
)
def test_the_pace_never_begins_too_many_nor_leaves_too_few(rows, most, least):
    places = [Candidate(str(n), *row) for n, row in enumerate(rows)]
    begun, why = pacing.next_hosts(places, pacing.Limits(most, least))
    changing = sum(p.is_changing for p in places)
    assert not begun or changing + len(begun) <= most
    by_name = {p.name: p for p in places}
    left = sum(p.is_serving and not p.is_changing and p.name not in begun for p in places)
    assert not any(by_name[n].is_serving for n in begun) or left >= least * len(places) - 1e-6
    assert why or sum(p.is_waiting and not p.is_changing for p in places) == len(begun)


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
    assert (not pacing.closed_reason(datetime.datetime.fromisoformat(at), pacing.parse_hours(span), not_days)) is open_


# A host whose agent dies at any instant: what was decided is on disk, done or half done.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10**9))
def test_a_box_ends_in_one_generation_that_was_asked_for_whatever_dies_when(seed):
    rng, now = random.Random(seed), 0.0
    made = SimulatedHost("x", random.Random(seed))
    asked, confirmed, last = {OLD}, {OLD}, ""
    for turn in range(300):
        now += rng.choice((0.1, 0.1, 0.5, 3.0))
        state, actions = host_step.decide(made.state, now, made.observe(now), Timeouts())
        made.state = state  # kept; the agent may die after any action
        for action in actions[: rng.choice((0, 1, 9, 9, 9))]:
            made.act(action, now)
        if rng.random() < 0.03 and made.processes:
            made.processes.pop(rng.choice(list(made.processes)))  # a process is killed
        if rng.random() < 0.1 and turn < 200:
            fence, name = Fence(rng.randrange(3), rng.choice("ab")), f"r{rng.randrange(3)}"
            change = Change(fence, name, rng.choice((OLD, NEW)), 5.0, rng.random() < 0.3)
            call = rng.choice((change, Confirm(fence, name), RollBack(fence, name)))
            before = made.state
            made.state, answer = host_calls.handle_call(before, call, now, made.observe(now))
            assert messages.decode_call(messages.encode_call(call)) == call
            if answer.startswith("ERR fenced"):
                assert made.state == before
            elif isinstance(call, Change) and answer == "OK":
                asked.add(call.generation)
            elif isinstance(call, Confirm) and answer == "OK":
                confirmed.add(made.state.good)
        assert made.state.fence.epoch >= 0 and len(made.state.processes) <= host_state.SLOTS
        running = {life.number for life in made.state.processes if life.role != Role.DRAINING}
        assert len(running) <= 2 and len({life.slot for life in made.state.processes}) == len(made.state.processes)
    for _ in range(100):  # left alone, it comes to rest: one process, of a generation that was asked for and confirmed
        now += 0.5
        made.state, actions = host_step.decide(made.state, now, made.observe(now), Timeouts())
        for action in actions:
            made.act(action, now)
    assert made.state.phase == HostPhase.STEADY, (seed, made.state, last)
    assert [g for g, _ in made.processes.values()] == [made.state.good] and made.state.good in asked & confirmed
    assert msgspec.json.decode(msgspec.json.encode(made.state), type=HostState) == made.state


def test_a_good_generation_that_fails_to_start_once_is_tried_again_and_one_that_is_gone_waits_for_its_return():
    made = proving()
    assert ask(made, RollBack(Fence(1, "a"), "r1"), 12.0) == "OK"
    made.step(12.0)
    made.processes.pop(made.state.process(Role.STARTING).number)  # killed by something else
    made.step(12.2)
    assert made.state.phase == HostPhase.ROLLING_BACK and made.serving(12.2)[0] == NEW
    for n in range(13, 30):
        made.step(float(n))
    assert made.state.phase == HostPhase.STEADY and made.serving(30.0)[0] == OLD
    made = proving()
    state, _ = host_calls.handle_call(made.state, RollBack(Fence(1, "a"), "r1"), 12.0, made.observe(12.0))
    state, _ = host_step.decide(
        state, 12.0, made.observe(12.0)._replace(generations={NEW: GENERATIONS[NEW]}), Timeouts()
    )
    assert state.phase == HostPhase.STUCK and "gone from the shelf" in state.fault
    state, _ = host_step.decide(state, 13.0, made.observe(13.0), Timeouts())
    assert state.phase == HostPhase.ROLLING_BACK and state.process(Role.STARTING).generation == OLD


def test_a_machine_that_starts_again_before_the_confirmation_goes_back():
    made = SimulatedHost("x", random.Random(1))
    for n in range(10):
        made.step(float(n))
    made.state, answer = host_calls.handle_call(
        made.state, Change(Fence(1, "a"), "r1", NEW, 100.0), 10.0, made.observe(10.0)
    )
    for n in range(10, 20):
        made.step(float(n))
    assert answer == "OK" and made.state.phase == HostPhase.UNCONFIRMED and made.serving(20.0)[0] == NEW
    made.processes.clear()
    state, _ = host_step.decide(made.state, 0.5, Observation(frozenset(), frozenset(), GENERATIONS, "2"), Timeouts())
    assert (
        state.target == OLD
        and "before the change was confirmed" in state.fault
        and state.processes[0].generation == OLD
    )


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
    assert messages.is_accepted(Fence(*held), Fence(*asked)) is admitted
    state = HostState("x", good=OLD, epoch=held[0], controller=held[1])
    after, answer = host_calls.handle_call(
        state, messages.TakeControl(Fence(*asked)), 0.0, Observation(frozenset(), frozenset(), GENERATIONS)
    )
    assert answer.startswith("OK" if admitted else "ERR fenced") and (after.fence == Fence(*asked)) is admitted


def test_a_process_that_is_only_starting_is_never_told_by_sighup():
    made = SimulatedHost("x", random.Random(1))
    made.step(1.0)
    ask = Change(Fence(1, "a"), "r1", NEW, 9.0)
    assert host_calls.handle_call(made.state, ask, 1.0, made.observe(1.0))[1] == "ERR nothing serves here"
    stop = msgspec.structs.replace(GENERATIONS[NEW], program=OLD, settings="", config={"stop_ms": 9})
    shelf = {OLD: GENERATIONS[OLD], NEW: stop}
    for took, kind in ((True, "Reload"), (False, "Start")):
        state = host_state.copy_of(made.state)
        state.phase, state.target, state.change, state.processes[0].has_accepted = HostPhase.CHANGING, NEW, 1, took
        _, actions = host_step.decide(state, 2.0, Observation(frozenset([1]), frozenset(), shelf, "1"), Timeouts())
        assert [type(a).__name__ for a in actions] == [kind]


# What two versions must read of each other.


def spoken(writes, oldest, newest):
    return {"handover": compat.FormatSupport(writes, oldest, newest)}


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
    assert (compat.common_version(ours, theirs) is not None) or found


def test_what_is_spoken_is_what_the_parts_say_of_themselves():
    told = compat.parse_formats(versions.FORMATS)
    assert told["handover"].writes == say.VERSION and told["durable"].writes == database.VERSION
    assert told["agent"].writes == messages.VERSION
    for bad in ({"x": (2, 1, 1)}, {"x": "1"}, {"x": (1, 1)}):
        with pytest.raises(ValueError):
            compat.parse_formats(bad)


def test_a_generation_is_its_files_and_settings_and_in_place_only_where_sighup_takes_all():
    one = generations.files_digest([("a", b"x"), ("b", b"y")])
    assert (
        one
        == generations.files_digest([("b", b"y"), ("a", b"x")])
        != generations.files_digest([("a", b"xb"), ("", b"y")])
    )
    old, stop = GENERATIONS[OLD], msgspec.structs.replace(GENERATIONS[OLD], config={"stop_ms": 9})
    assert generations.can_reload(old, stop) and not generations.can_reload(old, old)
    assert not generations.can_reload(old, msgspec.structs.replace(stop, settings="z"))
    assert not generations.can_reload(old, msgspec.structs.replace(old, config={"stop_ms": 9, "later": 1}))
    assert generations.config_faults({"listen": "x", "stop_ms": 1}) == [
        "listen: is the box's own, no generation sets it"
    ]


# Whole fleets, with the agents' own decisions.


def test_a_good_rollout_of_many_boxes_ends_with_all_of_them_and_keeps_its_pace():
    fleet = SimulatedFleet(3, 60)
    state = fleet.play()
    assert state.phase == Phase.DONE and all(b.serving(fleet.now)[0] == NEW for b in fleet.hosts.values())
    assert fleet.max_down == 0


def test_a_bad_generation_costs_little_and_goes_back():
    fleet = SimulatedFleet(4, 60, effect=lambda cls, warm: 0.3)
    state = fleet.play()
    assert state.phase == Phase.ROLLED_BACK and all(b.serving(fleet.now)[0] == OLD for b in fleet.hosts.values())
    assert fleet.lost_requests / fleet.served_without_change < 0.03


def test_fine_cold_and_bad_warm_is_found():
    state = SimulatedFleet(5, 60, effect=lambda cls, warm: 0.25 if warm >= 1 else 0.0).play()
    assert state.phase == Phase.ROLLED_BACK


def test_a_change_that_harms_the_old_boxes_is_never_taken_for_good():
    fleet = SimulatedFleet(6, 30, sizes=("30%", "100%"), harm=1.0, drift=0.0)
    while fleet.rollout.phase not in (
        Phase.AWAITING_DECISION,
        Phase.DONE,
        Phase.ROLLED_BACK,
        Phase.CONFIRMING,
    ):
        fleet.second()
    assert fleet.rollout.phase == Phase.AWAITING_DECISION and "that stay as they are got worse" in fleet.rollout.reason


def test_a_collapse_of_the_store_in_mid_stage_condemns_nothing():
    fleet = SimulatedFleet(7, 30, sizes=("30%", "100%"))
    while fleet.rollout.phase != Phase.BAKING:
        fleet.second()
    for n in range(40):
        fleet.store_collapse = 0.5 if n < 30 else 0.0
        fleet.second()
    assert fleet.rollout.phase in (Phase.BAKING, Phase.AWAITING_DECISION, Phase.CONFIRMING)


def test_a_fleet_on_fire_is_not_started_anew():
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


# The canary analysis.


def test_the_evidence_is_a_fair_game_and_grows_with_a_true_difference():
    rng, passed = random.Random(1), 0
    for _ in range(400):
        run, ever = Series(), False
        for _ in range(100):
            run.add(rng.gauss(0, 1))
            ever |= evidence.log_evidence(run.total, run.count, 1.0) >= 2.9957  # log 20
        passed += ever
    assert passed / 400 < 0.05
    run = Series()
    for _ in range(100):
        run.add(rng.gauss(0.8, 1))
    assert (
        evidence.log_evidence(run.total, run.count, 1.0) > 10 and evidence.log_evidence(-run.total, run.count, 1.0) < 0
    )
    assert abs(run.mean - 0.8) < evidence.confidence_radius(run.count, run.count, 1.0, 0.05)


def slices(rng, worse, names, n=40):
    made = {}
    for name in names:
        refused = sum(rng.random() < 0.05 + worse.get(name, 0.0) for _ in range(n))
        book = metrics.ClassCounts(n, refused, 0, 0, float(n - refused), {16.0: n})
        made[name] = metrics.Slice(name, 1.0, {"book": book}, n - refused, 30_000)
    return made


@pytest.mark.parametrize("worse,outcome", [({"a": 0.0}, Outcome.GOOD), ({"a": 0.3}, Outcome.WORSE), ({"b": 0.3}, None)])
def test_only_the_changed_boxes_doing_worse_condemns(worse, outcome):
    rng, analysis = random.Random(2), CanaryAnalysis(Bounds(), {"a": 1, "b": 1, "c": 2})
    for _ in range(60):
        analysis.add_baseline(["a"], ["b"], slices(rng, {}, "ab"))
    assert analysis.verdict().outcome is Outcome.UNSURE
    for _ in range(100):
        analysis.add_canary(["a"], ["b"], slices(rng, worse, "ab"))
    found = analysis.verdict()
    assert found.outcome is outcome if outcome else found.outcome is not Outcome.WORSE
    assert found.results and all(row.low <= row.mean <= row.high for row in found.results)


def test_a_class_that_is_asked_seldom_is_judged_by_all_of_its_requests():
    rng, analysis = random.Random(9), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(400):
        (analysis.add_baseline if n < 100 else analysis.add_canary)(
            ["a"], ["b"], slices(rng, {"a": 0.4} if n >= 100 else {}, "ab", n=2)
        )
    found = analysis.verdict()
    assert found.outcome is Outcome.WORSE and {row.slices for row in found.results if "book" in row.metric} == {100}


def test_what_told_the_boxes_apart_before_the_change_is_no_fault_of_it():
    rng, analysis = random.Random(6), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        (analysis.add_baseline if n < 60 else analysis.add_canary)(["a"], ["b"], slices(rng, {"a": 0.2}, "ab"))
    assert analysis.verdict().outcome is not Outcome.WORSE


def test_boxes_of_other_kinds_are_never_compared():
    rng, analysis = random.Random(2), CanaryAnalysis(Bounds(), {"a": 1, "c": 2})
    for _ in range(50):
        analysis.add_canary(["a"], ["c"], slices(rng, {"a": 0.5}, "ac"))
    assert analysis.verdict() == (Outcome.UNSURE, "there is nothing to compare with", ())


def test_figures_of_another_process_make_no_slice():
    lines = [
        "app.success.book:5|c",
        "app.busy.book:1|c",
        "app.took.book.16:6|c",
        "app.memory_kb:9|g",
        "app.generation.ab:1|g",
        "END",
    ]
    was = metrics.decode_sample(lines, 1.0)
    now = metrics.decode_sample([lines[0].replace(":5", ":9"), *lines[1:]], 2.0)
    assert metrics.slice_between("x", was, now).classes["book"][:2] == (4, 0) and was.generation == "ab"
    again = msgspec.structs.replace(was, at=3.0)
    assert metrics.slice_between("x", now, was) is None and metrics.slice_between("x", now, again) is None
    for bad in (["x"], ["app.a:1|c"], ["app.a:-1|c", "END"]):
        with pytest.raises(ValueError):
            metrics.decode_sample(bad, 1.0)


def test_memory_that_grows_slowly_is_worse_though_it_is_far_from_its_bound():
    rng, analysis = random.Random(3), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        now = slices(rng, {}, "ab")
        if n < 60:
            analysis.add_baseline(["a"], ["b"], now)
            continue
        leak = (n - 60) * 400  # kB; a fifth of the limit in 100 slices
        analysis.add_canary(["a"], ["b"], {**now, "a": now["a"]._replace(memory_kb=30_000 + leak + rng.randrange(500))})
    found = analysis.verdict()
    assert found.outcome is Outcome.WORSE and found.reason.startswith("memory")


def test_old_boxes_that_get_worse_block_good_and_condemn_nothing():
    rng, analysis = random.Random(4), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        both = {"a": 0.15, "b": 0.15} if n >= 60 else {}
        (analysis.add_baseline if n < 60 else analysis.add_canary)(["a"], ["b"], slices(rng, both, "ab"))
    found = analysis.verdict()
    assert found.outcome is Outcome.UNSURE and "that stay as they are got worse" in found.reason


# What an agent answers, one rule at a time.


def proving(rollout="r1"):
    made = SimulatedHost("x", random.Random(1))
    for n in range(6):
        made.step(float(n))
    made.state, answer = host_calls.handle_call(
        made.state, Change(Fence(1, "a"), rollout, NEW, 10.0), 6.0, made.observe(6.0)
    )
    assert answer == "OK"
    for n in range(6, 12):
        made.step(float(n))
    assert made.state.phase == HostPhase.UNCONFIRMED
    return made


def ask(made, call, now):
    made.state, answer = host_calls.handle_call(made.state, call, now, made.observe(now))
    return answer


def test_a_rollout_that_was_undone_is_refused_for_good_and_another_one_is_not():
    made, fence = proving(), Fence(1, "a")
    assert ask(made, RollBack(fence, "r1"), 12.0) == "OK"
    for n in range(12, 20):
        made.step(float(n))
    assert made.state.phase == HostPhase.STEADY and made.serving(20.0)[0] == OLD
    assert ask(made, Change(fence, "r1", NEW, 9.0), 20.0) == "ERR undone: called back"
    assert ask(made, Confirm(fence, "r1"), 20.0).startswith("ERR undone")
    assert ask(made, Change(fence, "r2", NEW, 9.0), 20.0) == "OK"


def test_a_confirmation_counts_in_time_only_and_from_a_box_that_takes_clients():
    made, fence = proving(), Fence(1, "a")
    late = made.state.confirm_deadline
    assert ask(made, Confirm(fence, "r2"), 12.0) == "ERR another rollout"
    assert ask(made, Confirm(fence, "r1"), late) == "ERR too late: it is undone now"
    number = made.state.process(Role.SERVING).number
    made.processes[number] = (NEW, 1e9)
    assert ask(made, Confirm(fence, "r1"), 12.0) == "ERR it takes no clients"
    made.processes[number] = (NEW, 0.0)
    assert ask(made, Confirm(fence, "r1"), 12.0) == "OK" and made.state.good == NEW and made.state.previous == OLD


def test_an_agent_that_died_between_its_decision_and_the_start_goes_on_with_it():
    made = SimulatedHost("x", random.Random(1))
    for n in range(6):
        made.step(float(n))
    assert ask(made, Change(Fence(1, "a"), "r1", NEW, 9.0), 6.0) == "OK"
    state, actions = host_step.decide(made.state, 6.0, made.observe(6.0), Timeouts())
    (start,) = actions
    again, actions = host_step.decide(state, 6.5, made.observe(6.5), Timeouts())  # kept, and never done
    assert actions == [start] and again == state and start.process.generation == NEW


def test_a_process_that_is_gone_while_it_is_proved_is_undone_and_strangers_are_ended():
    made = proving()
    made.processes.clear()
    state, _ = host_step.decide(made.state, 12.0, made.observe(12.0), Timeouts())
    assert state.phase == HostPhase.ROLLING_BACK and "ended" in state.fault
    made = proving()
    made.processes[99] = (NEW, 0.0)  # of a life that was struck off before the agent died
    _, actions = host_step.decide(made.state, 12.0, made.observe(12.0), Timeouts())
    assert Kill(99) in actions


def test_a_process_that_leaves_too_slowly_or_hangs_alone_is_ended():
    made = SimulatedHost("x", random.Random(1))
    made.failing_generations = {OLD}
    made.step(0.0)
    made.step(1.0)
    _, actions = host_step.decide(
        made.state, 1.0 + host_step.HUNG_AFTER_STARTS * Timeouts().start_s, made.observe(1.0), Timeouts()
    )
    assert Kill(1) in actions
    made = proving()
    made.state.processes.append(HostProcess(50, OLD, 0, Role.DRAINING, 0, 11.0, True, True))
    made.processes[50] = (OLD, 0.0)
    for now, wanted in ((12.0, Terminate(50)), (11.0 + Timeouts().stop_s, Kill(50))):
        assert wanted in host_step.decide(made.state, now, made.observe(now), Timeouts())[1]


def test_going_back_keeps_its_own_pace():
    fleet = SimulatedFleet(9, 40, sizes=("60%", "100%"), plan={"max_concurrent_rollbacks": 2})
    while fleet.rollout.phase != Phase.BAKING:
        fleet.second()
    fleet.rollout.order = Order.ROLL_BACK
    worst = 0
    while not fleet.rollout.is_over:
        fleet.second()
        worst = max(worst, sum(b.state.phase == HostPhase.ROLLING_BACK for b in fleet.hosts.values()))
    assert fleet.rollout.phase == Phase.ROLLED_BACK and 0 < worst <= 3


def test_cold_boxes_are_in_neither_group():
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
    assert set(changed) == set(fleet.rollout.stage_hosts) and set(old) == set(fleet.rollout.controls)


def until_phase(fleet, *phases, most=2000):
    while fleet.rollout.phase not in phases:
        fleet.second()
        assert fleet.now < most, fleet.rollout.phase
    return fleet.rollout


def test_a_planned_hold_waits_for_a_person_and_begins_nothing():
    fleet = SimulatedFleet(11, 20, sizes=("20%", "100%"), plan={"hold_after_stages": (1,)})
    until_phase(fleet, Phase.HELD, Phase.AWAITING_DECISION)
    if fleet.rollout.phase == Phase.AWAITING_DECISION:
        fleet.rollout.order = Order.RESUME
        until_phase(fleet, Phase.HELD)
    starts = sum(b.starts for b in fleet.hosts.values())
    for _ in range(60):
        fleet.second()
    assert fleet.rollout.phase == Phase.HELD and sum(b.starts for b in fleet.hosts.values()) == starts
    fleet.rollout.order = Order.RESUME
    assert fleet.play().phase == Phase.DONE


def test_a_person_holds_a_stage_and_lets_it_go_on_where_it_was():
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
    assert state.phase == Phase.BASELINE and not calls
    state.phase, state.stage = Phase.WAITING, 1
    state, calls = rollout_step.decide(state, Fence(1, "a"), Observations(501.0, reports, None, "it is 03:00"))
    assert state.phase == Phase.WAITING and state.reason == "it is 03:00"
    state, _ = rollout_step.decide(state, Fence(1, "a"), Observations(502.0, reports, None, ""))
    assert state.phase == Phase.CHANGING
    state, _ = rollout_step.decide(state, Fence(1, "a"), Observations(503.0, reports, None, "it is 03:00"))
    assert state.phase == Phase.CHANGING


def test_boxes_that_join_come_last_and_those_that_leave_are_struck_off():
    fleet = SimulatedFleet(14, 12, sizes=("30%", "100%"))
    until_phase(fleet, Phase.CHANGING)
    gone = next(n for n in fleet.hosts if n not in fleet.rollout.stage_hosts)
    del fleet.hosts[gone]
    fleet.hosts["d9999"] = SimulatedHost("d9999", random.Random(1))
    fleet.second()
    assert gone in fleet.rollout.removed_hosts and fleet.rollout.deferred_hosts == ["d9999"]
    assert fleet.play().phase == Phase.DONE
    assert all(b.serving(fleet.now)[0] == NEW for b in fleet.hosts.values())


def test_a_box_out_of_reach_is_passed_over_and_changed_when_it_is_heard_again():
    fleet = SimulatedFleet(15, 12, sizes=("50%", "100%"))
    until_phase(fleet, Phase.CHANGING)
    lost = fleet.rollout.stage_hosts[0]
    fleet.hosts[lost].reachable = False
    until_phase(fleet, Phase.BAKING)
    assert lost in fleet.rollout.deferred_hosts and lost not in fleet.rollout.stage_hosts
    for _ in range(5000):
        if fleet.rollout.phase == Phase.AWAITING_DECISION:
            fleet.rollout.order = Order.RESUME
        if fleet.rollout.stage >= 2:
            break
        fleet.second()
    assert until_phase(fleet, Phase.CHANGING, most=6000).stage_hosts == [lost]
    for _ in range(60):
        fleet.second()
    assert fleet.rollout.phase == Phase.CHANGING and "can be reached" in fleet.rollout.reason
    fleet.hosts[lost].reachable = True
    assert fleet.play().phase == Phase.DONE and fleet.hosts[lost].serving(fleet.now)[0] == NEW
