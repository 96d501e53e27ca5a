"""What is opened, drained and closed, in which order, and how much at once."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.fleet.reconciler import Bounds, Close, Drain, Open, Reconciler, State, next_due

WIDE_BOUNDS = Bounds(
    max_changing_fraction=1.0, min_changing=100, change_timeout_s=10.0, drain_timeout_s=30.0, max_instances=100
)


def reconciler(bounds=WIDE_BOUNDS, **specs):
    made = Reconciler(bounds)
    made.set_desired(specs)
    for action in made.step(0.0):
        made.opened(0.0, action.instance)
    return made


def test_joined_units_are_opened_and_left_ones_drained():
    p = reconciler(a=1, b=1)
    p.set_desired({"b": 1, "c": 1, "d": 1})
    assert p.step(1.0) == [Open(3, "c", 1), Open(4, "d", 1), Drain(1, "a")]
    p.ended(1)
    assert not p.step(2.0)
    assert {instance.key for instance in p.instances.values()} == {"b", "c", "d"}


def test_a_changed_unit_is_opened_anew_before_the_old_instance_drains():
    p = reconciler(a="old")
    p.set_desired({"a": "new"})
    assert p.step(1.0) == [Open(2, "a", "new")]
    assert not p.step(2.0)
    p.opened(3.0, 2)
    assert p.step(3.0) == [Drain(1, "a")]


def test_a_new_instance_that_never_opens_costs_nothing_that_works():
    p = reconciler(a="old")
    p.set_desired({"a": "wrong password"})
    p.step(1.0)
    assert not p.step(500.0)
    assert p.instances[1].state is State.OPEN
    p.set_desired({"a": "right"})
    assert p.step(501.0) == [Open(3, "a", "right"), Drain(2, "a")]
    p.set_desired({"a": "old"})
    assert p.step(502.0) == [Drain(3, "a")]


def test_the_bound_on_changes_counts_stuck_ones_for_a_while_only():
    p = Reconciler(
        Bounds(
            max_changing_fraction=0.0, min_changing=2, change_timeout_s=10.0, drain_timeout_s=30.0, max_instances=100
        )
    )
    p.set_desired(dict.fromkeys("abcde", 1))
    assert [a.key for a in p.step(0.0)] == ["a", "b"]
    assert not p.step(1.0)
    p.opened(2.0, 1)
    assert [a.key for a in p.step(2.0)] == ["c"]
    assert 0 < next_due(p, 2.0) <= 8.0
    assert [a.key for a in p.step(10.0)] == ["d"]  # b is stuck and counts no more
    assert [a.key for a in p.step(12.1)] == ["e"]


def test_a_drain_that_takes_too_long_is_closed_and_the_unit_may_live_again():
    p = reconciler(a=1)
    p.set_desired({})
    assert p.step(1.0) == [Drain(1, "a")]
    p.set_desired({"a": 1})
    assert p.step(2.0) == [Open(2, "a", 1)]  # beside the one that still drains
    assert p.step(31.0) == [Close(1, "a")]


def test_where_there_is_no_room_old_instances_make_way_and_the_rest_is_counted():
    p = reconciler(Bounds(max_changing_fraction=1.0, min_changing=9, max_instances=2), a=1, b=1, c=1)
    assert set(p.desired) - {instance.key for instance in p.instances.values()} == {"c"}
    assert p.left_out == 1
    p.set_desired({"a": 2, "b": 1})
    assert p.step(1.0) == [Drain(1, "a")]
    p.ended(1)
    assert p.step(2.0) == [Open(3, "a", 2)]


moves = st.lists(
    st.one_of(
        st.dictionaries(st.sampled_from("abcdefgh"), st.integers(1, 2)),
        st.tuples(st.just("open"), st.integers(0, 9)),
        st.tuples(st.just("end"), st.integers(0, 9)),
        st.tuples(st.just("lose"), st.integers(0, 9)),
        st.tuples(st.just("wait"), st.integers(0, 20)),
    ),
    max_size=40,
)


@given(moves, st.integers(1, 3), st.integers(2, 6))
@settings(max_examples=400, deadline=None)
def test_whatever_happens_bounds_hold_and_the_plan_gets_there(steps, least, most):
    bounds = Bounds(
        max_changing_fraction=0.0, min_changing=least, change_timeout_s=10.0, drain_timeout_s=30.0, max_instances=most
    )
    p, now = Reconciler(bounds), 0.0

    def step():
        room, begun = max(0, least - p.changing(now)), 0
        served = {n for n, instance in p.instances.items() if instance.served}
        for action in p.step(now):
            if isinstance(action, Close):
                assert action.instance not in p.instances
            else:  # the old instance of a unit whose new one is open goes with it
                begun += isinstance(action, Open) or (action.instance in served and action.key not in p.desired)
        assert begun <= room
        assert len(p.instances) <= most

    for move in steps:
        if isinstance(move, dict):
            p.set_desired(move)
        elif move[0] == "wait":
            now += move[1]
        elif instances := sorted(p.instances):
            instance = instances[move[1] % len(instances)]
            if move[0] == "open":
                p.opened(now, instance)
            elif move[0] == "lose":
                p.lost(now, instance)
            elif p.instances[instance].state is State.DRAINING:
                p.ended(instance)
        step()
    for _ in range(60):  # from here on all opens and drains succeed
        for instance in list(p.instances.values()):
            if instance.state is State.OPENING:
                p.opened(now, instance.number)
            elif instance.state is State.DRAINING:
                p.ended(instance.number)
        now += 1
        step()
    alive = {instance.key: instance.spec for instance in p.instances.values()}
    assert alive.items() <= p.desired.items()
    assert len(alive) == min(most, len(p.desired))
    assert p.left_out == len(p.desired) - len(alive)
