"""When a list is believed: settling, guards, rolling deploys and operators; who a box is over time."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.file_errors import FileFault, SourceLocation
from lapispick.fleet import snapshot
from lapispick.fleet.acceptance import Acceptance, Observation, Phase, Policy
from lapispick.fleet.presence import PresenceTracker
from tests.fleet_files import csv_list, hosts, read

POLICY = Policy(
    settle_s=1.0,
    max_settle_s=3.0,
    max_loss_fraction=0.2,
    max_turnover_fraction=0.5,
    loss_window_s=60.0,
    hold_s=300.0,
)
FAULT = Observation(None, (FileFault(SourceLocation("f", 1), "", "broken"),))


def fleet(names, port=1):
    return snapshot.snapshot_of(hosts(csv_list(dict.fromkeys(names, port)), "f.csv"))


def names(count, first=0):
    return [f"b{n}" for n in range(first, first + count)]


class Judge:
    """An acceptance with a clock of its own, looked at every 0.5 s."""

    def __init__(self, accepted=None, **over):
        self.now, self.verdicts = 0.0, []
        self.acceptance = Acceptance(
            Policy(**{**{f: getattr(POLICY, f) for f in POLICY.__struct_fields__}, **over}), accepted
        )

    def see(self, observed, seconds=0.5):
        """Let this be seen for a span; return the last verdict."""
        observation = observed if isinstance(observed, Observation) else Observation(observed)
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            verdict = self.acceptance.observe(self.now, observation)
            self.verdicts.append(verdict)
        return verdict

    @property
    def size(self):
        return len(self.acceptance.accepted.hosts) if self.acceptance.accepted else 0


def test_list_is_accepted_once_after_it_settles():
    j = Judge()
    assert j.see(fleet(names(3)), 1.0).phase is Phase.SETTLING
    assert not j.size
    verdict = j.see(fleet(names(3)))
    assert verdict.phase is Phase.ACCEPTED
    assert len(verdict.difference.joined) == 3
    verdict = j.see(fleet(names(3)), 5)
    assert verdict.accepted is None
    assert not verdict.is_new


def test_changing_list_is_evaluated_after_the_maximum_settling_time():
    j = Judge(fleet(names(100)))
    for n in range(8):
        j.see(fleet(names(100 + n)))
    assert 100 < j.size < 108
    assert "changing" in next(v.reason for v in j.verdicts if v.accepted)


@pytest.mark.parametrize(
    ("observation", "reason"),
    [
        (FAULT, "f:1: broken"),
        (Observation(None), "there is no file"),
        (Observation(fleet(names(9)), incomplete_reason="cut"), "cut"),
    ],
)
def test_faulty_missing_or_incomplete_list_is_rejected(observation, reason):
    j = Judge(fleet(names(10)))
    assert j.see(observation, 0.5).phase is Phase.SETTLING  # a tool may be in the middle of writing it
    verdict = j.see(observation, 4)
    assert (verdict.phase, verdict.reason) == (Phase.REJECTED, reason)
    assert j.size == 10
    assert sum(v.is_new and v.phase is Phase.REJECTED for v in j.verdicts) == 1  # it is told once
    j.see(fleet(names(11)), 2)
    assert j.size == 11


def test_momentary_fault_is_not_rejected():
    j = Judge(fleet(names(10)))
    j.see(FAULT, 0.5)
    j.see(fleet(names(11)), 2)
    assert j.size == 11
    assert all(v.phase is not Phase.REJECTED for v in j.verdicts)


def test_list_that_loses_too_many_hosts_is_held_until_it_persists_or_is_accepted():
    less = fleet(names(7))
    j = Judge(fleet(names(10)))
    assert j.see(less, 290).phase is Phase.HELD
    assert j.size == 10
    assert j.see(fleet(names(10)), 5).phase is Phase.ACCEPTED  # it came back: nothing has happened
    j.see(less, 299)
    assert j.size == 10  # the time held before did not count
    j.see(less, 3)
    assert j.size == 7
    j = Judge(fleet(names(10)))
    j.see(less, 5)
    assert (
        j.see(Observation(less, operator_digest=less.digest[:7]), 1).phase is Phase.HELD
    )  # too short to mean this one
    assert j.see(Observation(less, operator_digest=fleet(names(6)).digest), 1).phase is Phase.HELD
    verdict = j.see(Observation(less, operator_digest=less.digest[:8]))
    assert verdict.reason == "accepted by an operator"
    assert j.size == 7


def test_small_losses_within_the_window_add_up():
    j = Judge(fleet(names(100)))
    for left in (85, 70, 60):
        j.see(fleet(names(left)), 3)
    assert j.size == 85  # 30 of 100 within a minute are too many
    j.see(fleet(names(85)), 70)
    j.see(fleet(names(70)), 3)
    assert j.size == 70  # later it is another 15 of 85


def test_list_of_other_hosts_is_held():
    j = Judge(fleet(names(10)))
    assert "10 of 10 hosts go or move" in j.see(fleet(names(10, 50)), 5).reason
    assert "10 of 10 hosts go or move" in j.see(fleet(names(10), port=2), 5).reason
    assert j.size == 10


@pytest.mark.parametrize("fleet_size", [11, 14, 20, 200])
@pytest.mark.parametrize("span", [21.0, 40.0])
@pytest.mark.parametrize("batch_share", [0.0, 0.17])
@pytest.mark.parametrize("renamed", [False, True])
def test_rolling_deploy_is_accepted_without_an_operator(fleet_size, span, batch_share, renamed):
    """Up to 86% within 21 to 40 s, 17% at a time: each batch leaves the list and comes back, or successors do."""
    count = int(fleet_size * 0.86)
    batch = max(1, int(fleet_size * batch_share))
    listed = names(fleet_size)
    j = Judge(fleet(listed))
    starts = range(0, count, batch)
    step = span / len(starts)
    for turn, start in enumerate(starts):
        going = names(min(batch, count - start), start)
        listed = [n for n in listed if n not in going]
        until = (turn + 0.6) * step
        if until > j.now:
            j.see(fleet(listed), until - j.now)
        listed = listed + [f"new-{n}" if renamed else n for n in going]
        if (turn + 1) * step > j.now:
            j.see(fleet(listed), (turn + 1) * step - j.now)
    j.see(fleet(listed), 5)
    assert set(j.acceptance.accepted.hosts) == set(listed)
    assert not any(v.phase is Phase.HELD for v in j.verdicts)


@given(st.integers(5, 40), st.integers(0, 10_000), st.booleans())
@settings(max_examples=150, deadline=None)
def test_truncated_list_is_never_accepted_below_the_guard(count, at, newline):
    ports = dict.fromkeys(names(count), 1)
    text = csv_list(ports)
    cut = text[: at % len(text)]
    j = Judge(fleet(names(count)))
    found = read(cut, "f.csv", final_newline=newline)
    j.see(
        Observation(
            snapshot.snapshot_of(found.hosts) if not found.faults else None, found.faults, found.incomplete_reason
        ),
        20,
    )
    assert count - j.size <= max(1, -(-count // 5))


@given(st.lists(st.tuples(st.integers(1, 30), st.integers(1, 8)), max_size=20), st.integers(8, 30))
@settings(max_examples=100, deadline=None)
def test_sequence_of_lists_never_loses_more_than_the_guard_in_a_window(steps, size):
    j = Judge(fleet(names(size)), hold_s=10_000.0)
    sizes = [(0.0, size)]
    for count, seconds in steps:
        before = j.size
        j.see(fleet(names(count)), seconds)
        if j.size != before:
            sizes.append((j.now, j.size))
    for at, (when, now) in enumerate(sizes):
        for began, (since, had) in enumerate(sizes[:at]):
            if when - (sizes[began + 1][0] if began + 1 < len(sizes) else when) <= 59 - 8:
                assert had - now <= max(1, -(-had // 5)), (sizes, since)


def test_recorded_peaks_are_bounded():
    j = Judge(fleet(names(50)), settle_s=0.0, max_settle_s=0.0)
    for n in range(300):
        j.see(fleet(names(50 + n % 5)))
    assert len(j.acceptance._peaks) <= 6


def test_host_that_returns_in_time_gets_a_new_incarnation():
    tracker = PresenceTracker(return_window_s=100, max_left=3)
    tracker.apply(0, ["a", "b"], [])
    tracker.apply(10, [], ["a"])
    (back,) = tracker.apply(60, ["a"], [])
    assert (back.incarnation, back.joined) == (2, 60)
    tracker.apply(61, [], ["b"])
    assert not tracker.apply(170, ["b"], [])
    assert tracker.present["b"].incarnation == 1
    for n in range(50):
        tracker.apply(200 + n, [f"x{n}"], [f"x{n - 1}"])
    assert len(tracker._left) <= 4


def test_history_keeps_the_last_lists():
    history = snapshot.History(3)
    for n in range(5):
        history.add(snapshot.Version(n, fleet(names(n + 1)), snapshot.Difference(), "settled"))
    assert [v.at for v in history] == [2, 3, 4]
    assert len(history) == 3
    assert history.find(fleet(names(4)).digest[:9]).at == 3
    assert history.find("nothing") is None
