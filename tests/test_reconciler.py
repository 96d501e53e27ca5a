"""Which instances are opened, drained and closed, in which order, and how many at once."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lapispick.fleet.reconciler import Bounds, Close, Drain, Open, Reconciler, State, next_step_delay_s

LOOSE_BOUNDS = Bounds(
    max_changing_fraction=1.0, min_changing=100, change_timeout_s=10.0, drain_timeout_s=30.0, max_instances=100
)


def make_reconciler(bounds=LOOSE_BOUNDS, **specs):
    """Return a reconciler with an open instance of each of these units."""
    reconciler = Reconciler(bounds)
    reconciler.set_desired(specs)
    for action in reconciler.step(0.0):
        reconciler.record_opened(0.0, action.instance)
    return reconciler


def test_joined_units_are_opened_and_removed_ones_drained():
    reconciler = make_reconciler(a=1, b=1)
    reconciler.set_desired({"b": 1, "c": 1, "d": 1})
    assert reconciler.step(1.0) == [Open(3, "c", 1), Open(4, "d", 1), Drain(1, "a")]
    reconciler.record_ended(1)
    assert not reconciler.step(2.0)
    assert {instance.key for instance in reconciler.instances.values()} == {"b", "c", "d"}


def test_a_changed_unit_is_reopened_before_the_old_instance_drains():
    reconciler = make_reconciler(a="old")
    reconciler.set_desired({"a": "new"})
    assert reconciler.step(1.0) == [Open(2, "a", "new")]
    assert not reconciler.step(2.0)
    reconciler.record_opened(3.0, 2)
    assert reconciler.step(3.0) == [Drain(1, "a")]


def test_a_new_instance_that_never_opens_leaves_the_old_one_open():
    reconciler = make_reconciler(a="old")
    reconciler.set_desired({"a": "wrong password"})
    reconciler.step(1.0)
    assert not reconciler.step(500.0)
    assert reconciler.instances[1].state is State.OPEN
    reconciler.set_desired({"a": "right"})
    assert reconciler.step(501.0) == [Open(3, "a", "right"), Drain(2, "a")]
    reconciler.set_desired({"a": "old"})
    assert reconciler.step(502.0) == [Drain(3, "a")]


def test_the_limit_of_concurrent_changes_counts_stuck_ones_until_their_timeout():
    reconciler = Reconciler(
        Bounds(
            max_changing_fraction=0.0, min_changing=2, change_timeout_s=10.0, drain_timeout_s=30.0, max_instances=100
        )
    )
    reconciler.set_desired(dict.fromkeys("abcde", 1))
    assert [action.key for action in reconciler.step(0.0)] == ["a", "b"]
    assert not reconciler.step(1.0)
    reconciler.record_opened(2.0, 1)
    assert [action.key for action in reconciler.step(2.0)] == ["c"]
    assert 0 < next_step_delay_s(reconciler, 2.0) <= 8.0
    assert [action.key for action in reconciler.step(10.0)] == ["d"]  # b is stuck and no longer counts
    assert [action.key for action in reconciler.step(12.1)] == ["e"]


def test_a_drain_past_its_timeout_is_closed_and_the_unit_can_be_reopened():
    reconciler = make_reconciler(a=1)
    reconciler.set_desired({})
    assert reconciler.step(1.0) == [Drain(1, "a")]
    reconciler.set_desired({"a": 1})
    assert reconciler.step(2.0) == [Open(2, "a", 1)]  # while the old instance still drains
    assert reconciler.step(31.0) == [Close(1, "a")]


def test_at_the_instance_limit_old_instances_are_drained_first_and_omitted_units_counted():
    reconciler = make_reconciler(Bounds(max_changing_fraction=1.0, min_changing=9, max_instances=2), a=1, b=1, c=1)
    assert set(reconciler.desired) - {instance.key for instance in reconciler.instances.values()} == {"c"}
    assert reconciler.omitted_count == 1
    reconciler.set_desired({"a": 2, "b": 1})
    assert reconciler.step(1.0) == [Drain(1, "a")]
    reconciler.record_ended(1)
    assert reconciler.step(2.0) == [Open(3, "a", 2)]


event_lists = st.lists(
    st.one_of(
        st.dictionaries(st.sampled_from("abcdefgh"), st.integers(1, 2)),
        st.tuples(st.just("open"), st.integers(0, 9)),
        st.tuples(st.just("end"), st.integers(0, 9)),
        st.tuples(st.just("lose"), st.integers(0, 9)),
        st.tuples(st.just("wait"), st.integers(0, 20)),
    ),
    max_size=40,
)


class CheckedReconciler(Reconciler):
    """A reconciler that changes at most ``max_changing`` units at once, and checks its bounds at each step."""

    def __init__(self, max_changing, max_instances):
        self.max_changing = max_changing
        self.max_instances = max_instances
        super().__init__(
            Bounds(
                max_changing_fraction=0.0,
                min_changing=max_changing,
                change_timeout_s=10.0,
                drain_timeout_s=30.0,
                max_instances=max_instances,
            )
        )

    def checked_step(self, now):
        """Step, and check how many units start to change at once; all instances of one unit may be drained together."""
        max_started = max(0, self.max_changing - self.changing_count(now))
        started = set()
        opened_numbers = {number for number, instance in self.instances.items() if instance.was_opened}
        for action in self.step(now):
            if isinstance(action, Close):
                assert action.instance not in self.instances
            else:  # draining an old instance beside an open new one does not count as another change
                if isinstance(action, Open) or (action.instance in opened_numbers and action.key not in self.desired):
                    started.add(action.key)
        assert len(started) <= max_started
        assert len(self.instances) <= self.max_instances


@given(event_lists, st.integers(1, 3), st.integers(2, 6))
@example([{"a": 2}, ("open", 0), {"a": 1}, {}], 1, 2)  # two open instances of one unit are drained in one step
@settings(max_examples=400, deadline=None)
def test_any_sequence_of_events_keeps_the_bounds_and_reaches_the_desired_units(events, max_changing, max_instances):
    reconciler = CheckedReconciler(max_changing, max_instances)
    now = 0.0
    for event in events:
        if isinstance(event, dict):
            reconciler.set_desired(event)
        elif event[0] == "wait":
            now += event[1]
        elif numbers := sorted(reconciler.instances):
            number = numbers[event[1] % len(numbers)]
            if event[0] == "open":
                reconciler.record_opened(now, number)
            elif event[0] == "lose":
                reconciler.record_lost(now, number)
            elif reconciler.instances[number].state is State.DRAINING:
                reconciler.record_ended(number)
        reconciler.checked_step(now)
    for _ in range(60):  # from now on, every opening and draining succeeds
        for instance in list(reconciler.instances.values()):
            if instance.state is State.OPENING:
                reconciler.record_opened(now, instance.number)
            elif instance.state is State.DRAINING:
                reconciler.record_ended(instance.number)
        now += 1
        reconciler.checked_step(now)
    specs_by_key = {instance.key: instance.spec for instance in reconciler.instances.values()}
    assert specs_by_key.items() <= reconciler.desired.items()
    assert len(specs_by_key) == min(max_instances, len(reconciler.desired))
    assert reconciler.omitted_count == len(reconciler.desired) - len(specs_by_key)
