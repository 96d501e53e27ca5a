"""Stages and pacing of a rollout: the hosts of each stage, how many change at once, and when stages may begin."""

import datetime
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.fleet.hosts import WorkerHost
from lapispick.rollout import pacing, stages
from lapispick.rollout.pacing import PacedHost
from lapispick.rollout.stages import parse_size
from tests.property_support import cpu_time_bounded


def make_workers(*zone_sizes):
    return [
        WorkerHost(
            f"z{zone}-{n}",
            f"z{zone}-{n}:1",
            agent_address="x:1",
            zone=f"z{zone}",
            domain=f"r{n % 2}",
            machine=f"m{n % 2}",
        )
        for zone, size in enumerate(zone_sizes)
        for n in range(size)
    ]


DETERMINISTIC = settings(derandomize=True, deadline=None)  # the same examples in every run
STAGE_SIZES = [("1", "10%", "100%"), ("100%",), ("2", "5", "50%", "100%")]


@DETERMINISTIC
@given(
    st.lists(st.integers(1, 30), min_size=1, max_size=5),
    st.sampled_from(STAGE_SIZES),
    st.floats(0.1, 1.0),
    st.text(min_size=1, max_size=8),
)
@cpu_time_bounded
def test_every_host_has_one_stage_and_no_stage_takes_all_of_a_zone(zone_sizes, stage_sizes, max_zone_fraction, name):
    hosts = make_workers(*zone_sizes)
    limits = stages.Limits(max_zone_fraction)
    sizes = [parse_size(size) for size in stage_sizes]
    assigned = stages.assign(hosts, sizes, name, limits)
    assert sorted(host for stage in assigned for host in stage) == sorted(host.name for host in hosts)
    for stage in assigned:
        for zone, size in enumerate(zone_sizes):
            assert sum(host.startswith(f"z{zone}-") for host in stage) < max(2, size)
    shuffled = hosts[:]
    random.Random(1).shuffle(shuffled)
    assert stages.assign(shuffled, sizes, name, limits) == assigned  # independent of the order of the list


@pytest.mark.parametrize("text", ["0", "x", "120%", "0%", "box:", "-1", "1.5"])
def test_an_invalid_stage_size_is_rejected(text):
    with pytest.raises(ValueError):
        parse_size(text)


def test_named_hosts_are_in_their_stage_and_for_an_unknown_name_the_nearest_one_is_suggested():
    hosts = make_workers(4, 4)
    assigned = stages.assign(hosts, [parse_size("box:z0-1,z1-2"), parse_size("100%")], "r", stages.Limits())
    assert assigned[0] == ["z0-1", "z1-2"]
    with pytest.raises(ValueError, match="unknown host z0-11; did you mean z0-1"):
        stages.assign(hosts, [parse_size("box:z0-11")], "r", stages.Limits())
    assert any(
        "6 hosts are in no stage and are not changed" in remark
        for remark in stages.remarks(hosts, assigned[:1], stages.Limits())
    )


@DETERMINISTIC
@given(
    st.lists(st.tuples(st.booleans(), st.booleans(), st.booleans()), min_size=1, max_size=40),
    st.integers(1, 9),
    st.floats(0, 1),
)
@cpu_time_bounded
def test_pacing_never_admits_too_many_hosts_and_keeps_enough_serving(rows, max_changing, min_serving):
    hosts = [PacedHost(str(number), *row) for number, row in enumerate(rows)]
    admitted, reason = pacing.next_hosts(hosts, pacing.Limits(max_changing, min_serving))
    changing = sum(host.is_changing for host in hosts)
    assert not admitted or changing + len(admitted) <= max_changing
    by_name = {host.name: host for host in hosts}
    still_serving = sum(host.is_serving and not host.is_changing and host.name not in admitted for host in hosts)
    assert not any(by_name[name].is_serving for name in admitted) or still_serving >= min_serving * len(hosts) - 1e-6
    assert reason or sum(host.is_waiting and not host.is_changing for host in hosts) == len(admitted)


@pytest.mark.parametrize(
    ("at", "hours", "excluded_days", "is_open"),
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
def test_no_stage_starts_outside_of_the_hours_or_on_excluded_days(at, hours, excluded_days, is_open):
    now = datetime.datetime.fromisoformat(at)
    reason = pacing.closed_reason(now, pacing.parse_hours(hours), excluded_days)
    assert (not reason) is is_open
