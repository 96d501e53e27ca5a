"""What is opened, drained and closed, in which order, and how much at once."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.fleet.reconciler import Bounds, Close, Drain, Open, Plan, State, next_due

WIDE = Bounds(share=1.0, least=100, wait=10.0, drain=30.0, lives=100)


def plan(bounds=WIDE, **specs):
    made = Plan(bounds)
    made.want(specs)
    for action in made.step(0.0):
        made.opened(0.0, action.life)
    return made


def test_joined_units_are_opened_and_left_ones_drained():
    p = plan(a=1, b=1)
    p.want({"b": 1, "c": 1, "d": 1})
    assert p.step(1.0) == [Open(3, "c", 1), Open(4, "d", 1), Drain(1, "a")]
    p.ended(1)
    assert not p.step(2.0) and {life.key for life in p.lives.values()} == {"b", "c", "d"}


def test_a_changed_unit_is_opened_anew_before_the_old_life_drains():
    p = plan(a="old")
    p.want({"a": "new"})
    assert p.step(1.0) == [Open(2, "a", "new")]
    assert not p.step(2.0)
    p.opened(3.0, 2)
    assert p.step(3.0) == [Drain(1, "a")]


def test_a_new_life_that_never_opens_costs_nothing_that_works():
    p = plan(a="old")
    p.want({"a": "wrong password"})
    p.step(1.0)
    assert not p.step(500.0) and p.lives[1].state is State.OPEN
    p.want({"a": "right"})
    assert p.step(501.0) == [Open(3, "a", "right"), Drain(2, "a")]
    p.want({"a": "old"})
    assert p.step(502.0) == [Drain(3, "a")]


def test_the_bound_on_changes_counts_stuck_ones_for_a_while_only():
    p = Plan(Bounds(share=0.0, least=2, wait=10.0, drain=30.0, lives=100))
    p.want(dict.fromkeys("abcde", 1))
    assert [a.key for a in p.step(0.0)] == ["a", "b"]
    assert not p.step(1.0)
    p.opened(2.0, 1)
    assert [a.key for a in p.step(2.0)] == ["c"]
    assert 0 < next_due(p, 2.0) <= 8.0
    assert [a.key for a in p.step(10.0)] == ["d"]  # b is stuck and counts no more
    assert [a.key for a in p.step(12.1)] == ["e"]


def test_a_drain_that_takes_too_long_is_closed_and_the_unit_may_live_again():
    p = plan(a=1)
    p.want({})
    assert p.step(1.0) == [Drain(1, "a")]
    p.want({"a": 1})
    assert p.step(2.0) == [Open(2, "a", 1)]  # beside the one that still drains
    assert p.step(31.0) == [Close(1, "a")]


def test_where_there_is_no_room_old_lives_make_way_and_the_rest_is_counted():
    p = plan(Bounds(share=1.0, least=9, lives=2), a=1, b=1, c=1)
    assert set(p.wanted) - {life.key for life in p.lives.values()} == {"c"} and p.left_out == 1
    p.want({"a": 2, "b": 1})
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
    bounds = Bounds(share=0.0, least=least, wait=10.0, drain=30.0, lives=most)
    p, now = Plan(bounds), 0.0

    def step():
        room, begun = max(0, least - p.in_change(now)), 0
        served = {n for n, life in p.lives.items() if life.served}
        for action in p.step(now):
            if isinstance(action, Close):
                assert action.life not in p.lives
            else:  # the old life of a unit whose new one is open goes with it
                begun += isinstance(action, Open) or (action.life in served and action.key not in p.wanted)
        assert begun <= room and len(p.lives) <= most

    for move in steps:
        if isinstance(move, dict):
            p.want(move)
        elif move[0] == "wait":
            now += move[1]
        elif lives := sorted(p.lives):
            life = lives[move[1] % len(lives)]
            if move[0] == "open":
                p.opened(now, life)
            elif move[0] == "lose":
                p.lost(now, life)
            elif p.lives[life].state is State.DRAINING:
                p.ended(life)
        step()
    for _ in range(60):  # from here on all opens and drains succeed
        for life in list(p.lives.values()):
            if life.state is State.OPENING:
                p.opened(now, life.number)
            elif life.state is State.DRAINING:
                p.ended(life.number)
        now += 1
        step()
    alive = {life.key: life.spec for life in p.lives.values()}
    assert alive.items() <= p.wanted.items() and len(alive) == min(most, len(p.wanted))
    assert p.left_out == len(p.wanted) - len(alive)
