"""Acceptance of host lists: settling, limits, rolling deployments, operators. Also incarnations and the history."""

import msgspec
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


def make_list(names, port=1):
    """Return a list of hosts with these names."""
    return snapshot.snapshot_of(hosts(csv_list(dict.fromkeys(names, port)), "f.csv"))


def host_names(count, first=0):
    """Return ``count`` host names, numbered from ``first``."""
    return [f"b{n}" for n in range(first, first + count)]


class AcceptanceHarness:
    """An ``Acceptance`` with a simulated clock, which observes a poll every 0.5 s."""

    def __init__(self, accepted=None, **policy_fields):
        self.now = 0.0
        self.verdicts = []
        self.acceptance = Acceptance(msgspec.structs.replace(POLICY, **policy_fields), accepted)

    def observe(self, polled, seconds=0.5):
        """Observe a snapshot or an observation for some seconds; return the last verdict."""
        observation = polled if isinstance(polled, Observation) else Observation(polled)
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            verdict = self.acceptance.observe(self.now, observation)
            self.verdicts.append(verdict)
        return verdict

    @property
    def size(self):
        """Return the number of hosts in the accepted list."""
        return len(self.acceptance.accepted.hosts) if self.acceptance.accepted else 0


def test_list_is_accepted_once_after_it_settles():
    harness = AcceptanceHarness()
    assert harness.observe(make_list(host_names(3)), 1.0).phase is Phase.SETTLING
    assert not harness.size
    verdict = harness.observe(make_list(host_names(3)))
    assert verdict.phase is Phase.ACCEPTED
    assert len(verdict.difference.joined) == 3
    verdict = harness.observe(make_list(host_names(3)), 5)
    assert verdict.accepted is None
    assert not verdict.is_new


def test_changing_list_is_evaluated_after_the_maximum_settling_time():
    harness = AcceptanceHarness(make_list(host_names(100)))
    for n in range(8):
        harness.observe(make_list(host_names(100 + n)))
    assert 100 < harness.size < 108
    assert "changing" in next(v.reason for v in harness.verdicts if v.accepted)


@pytest.mark.parametrize(
    ("observation", "reason"),
    [
        (FAULT, "f:1: broken"),
        (Observation(None), "there is no file"),
        (Observation(make_list(host_names(9)), incomplete_reason="cut"), "cut"),
    ],
)
def test_faulty_missing_or_incomplete_list_is_rejected(observation, reason):
    harness = AcceptanceHarness(make_list(host_names(10)))
    assert harness.observe(observation, 0.5).phase is Phase.SETTLING  # a tool may still be writing it
    verdict = harness.observe(observation, 4)
    assert (verdict.phase, verdict.reason) == (Phase.REJECTED, reason)
    assert harness.size == 10
    assert sum(v.is_new and v.phase is Phase.REJECTED for v in harness.verdicts) == 1  # reported once
    harness.observe(make_list(host_names(11)), 2)
    assert harness.size == 11


def test_momentary_fault_is_not_rejected():
    harness = AcceptanceHarness(make_list(host_names(10)))
    harness.observe(FAULT, 0.5)
    harness.observe(make_list(host_names(11)), 2)
    assert harness.size == 11
    assert all(v.phase is not Phase.REJECTED for v in harness.verdicts)


def test_list_that_loses_too_many_hosts_is_held_until_it_persists_or_an_operator_accepts_it():
    smaller = make_list(host_names(7))
    harness = AcceptanceHarness(make_list(host_names(10)))
    assert harness.observe(smaller, 290).phase is Phase.HELD
    assert harness.size == 10
    assert harness.observe(make_list(host_names(10)), 5).phase is Phase.ACCEPTED  # the hosts returned
    harness.observe(smaller, 299)
    assert harness.size == 10  # the time for which it was held earlier does not count
    harness.observe(smaller, 3)
    assert harness.size == 7
    harness = AcceptanceHarness(make_list(host_names(10)))
    harness.observe(smaller, 5)
    too_short = Observation(smaller, operator_digest=smaller.digest[:7])
    assert harness.observe(too_short, 1).phase is Phase.HELD
    assert harness.observe(Observation(smaller, operator_digest=make_list(host_names(6)).digest), 1).phase is Phase.HELD
    verdict = harness.observe(Observation(smaller, operator_digest=smaller.digest[:8]))
    assert verdict.reason == "accepted by an operator"
    assert harness.size == 7


def test_small_losses_within_the_window_add_up():
    harness = AcceptanceHarness(make_list(host_names(100)))
    for count in (85, 70, 60):
        harness.observe(make_list(host_names(count)), 3)
    assert harness.size == 85  # a loss of 30 out of 100 within a minute exceeds 20%
    harness.observe(make_list(host_names(85)), 70)
    harness.observe(make_list(host_names(70)), 3)
    assert harness.size == 70  # after the window, the loss is 15 out of 85


def test_list_whose_hosts_are_all_replaced_or_moved_is_held():
    harness = AcceptanceHarness(make_list(host_names(10)))
    assert "10 of 10 hosts go or move" in harness.observe(make_list(host_names(10, 50)), 5).reason
    assert "10 of 10 hosts go or move" in harness.observe(make_list(host_names(10), port=2), 5).reason
    assert harness.size == 10


@pytest.mark.parametrize("fleet_size", [11, 14, 20, 200])
@pytest.mark.parametrize("span", [21.0, 40.0])
@pytest.mark.parametrize("batch_fraction", [0.0, 0.17])
@pytest.mark.parametrize("renamed", [False, True])
def test_rolling_deploy_is_accepted_without_an_operator(fleet_size, span, batch_fraction, renamed):
    """Remove 86% of the hosts within 21 to 40 s, up to 17% at a time; each batch returns, possibly renamed."""
    count = int(fleet_size * 0.86)
    batch = max(1, int(fleet_size * batch_fraction))
    listed = host_names(fleet_size)
    harness = AcceptanceHarness(make_list(listed))
    starts = range(0, count, batch)
    batch_interval = span / len(starts)
    for index, start in enumerate(starts):
        leaving = host_names(min(batch, count - start), start)
        listed = [name for name in listed if name not in leaving]
        batch_returns_at = (index + 0.6) * batch_interval
        if batch_returns_at > harness.now:
            harness.observe(make_list(listed), batch_returns_at - harness.now)
        listed = listed + [f"new-{name}" if renamed else name for name in leaving]
        batch_ends_at = (index + 1) * batch_interval
        if batch_ends_at > harness.now:
            harness.observe(make_list(listed), batch_ends_at - harness.now)
    harness.observe(make_list(listed), 5)
    assert set(harness.acceptance.accepted.hosts) == set(listed)
    assert not any(v.phase is Phase.HELD for v in harness.verdicts)


@given(st.integers(5, 40), st.integers(0, 10_000), st.booleans())
@settings(max_examples=150, deadline=None)
def test_truncated_list_never_loses_more_than_the_allowed_fraction(count, cut_at, newline):
    ports = dict.fromkeys(host_names(count), 1)
    text = csv_list(ports)
    truncated = text[: cut_at % len(text)]
    harness = AcceptanceHarness(make_list(host_names(count)))
    reading = read(truncated, "f.csv", final_newline=newline)
    listed = snapshot.snapshot_of(reading.hosts) if not reading.faults else None
    harness.observe(Observation(listed, reading.faults, reading.incomplete_reason), 20)
    assert count - harness.size <= max(1, -(-count // 5))


@given(st.lists(st.tuples(st.integers(1, 30), st.integers(1, 8)), max_size=20), st.integers(8, 30))
@settings(max_examples=100, deadline=None)
def test_sequence_of_lists_never_loses_more_than_the_allowed_fraction_in_a_window(steps, size):
    harness = AcceptanceHarness(make_list(host_names(size)), hold_s=10_000.0)
    sizes = [(0.0, size)]
    for count, seconds in steps:
        previous_size = harness.size
        harness.observe(make_list(host_names(count)), seconds)
        if harness.size != previous_size:
            sizes.append((harness.now, harness.size))
    for later, (later_at, later_size) in enumerate(sizes):
        for earlier, (earlier_at, earlier_size) in enumerate(sizes[:later]):
            replaced_at = sizes[earlier + 1][0] if earlier + 1 < len(sizes) else later_at
            if later_at - replaced_at <= 59 - 8:
                assert earlier_size - later_size <= max(1, -(-earlier_size // 5)), (sizes, earlier_at)


def test_recorded_peaks_are_bounded():
    harness = AcceptanceHarness(make_list(host_names(50)), settle_s=0.0, max_settle_s=0.0)
    for n in range(300):
        harness.observe(make_list(host_names(50 + n % 5)))
    assert len(harness.acceptance._peaks) <= 6


def test_host_that_returns_within_the_window_gets_a_new_incarnation():
    tracker = PresenceTracker(return_window_s=100, max_departed=3)
    tracker.apply(0, ["a", "b"], [])
    tracker.apply(10, [], ["a"])
    (returned,) = tracker.apply(60, ["a"], [])
    assert (returned.incarnation, returned.joined_at) == (2, 60)
    tracker.apply(61, [], ["b"])
    assert not tracker.apply(170, ["b"], [])
    assert tracker.present["b"].incarnation == 1
    for n in range(50):
        tracker.apply(200 + n, [f"x{n}"], [f"x{n - 1}"])
    assert len(tracker._departed) <= 4


def test_history_keeps_the_last_lists():
    history = snapshot.History(3)
    for n in range(5):
        history.add(snapshot.Version(n, make_list(host_names(n + 1)), snapshot.Difference(), "settled"))
    assert [v.at for v in history] == [2, 3, 4]
    assert len(history) == 3
    assert history.find(make_list(host_names(4)).digest[:9]).at == 3
    assert history.find("nothing") is None
