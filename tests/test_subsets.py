"""Subsets: every host computes the same assignment, each backend has a host, and changes move few pairs."""

import json
import random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.cli.main import cli
from lapispick.shares.load_fractions import backend_loads, load_fractions
from lapispick.shares.subsets import (
    Backend,
    Host,
    assign_backends,
    compare_assignments,
    host_capacities,
    required_hosts,
)

ZONES = ("pipera", "militari", "otopeni")
WEIGHTS = st.sampled_from((0.5, 1.0, 2.0))
ZONES_AND_WEIGHTS = st.integers(1, 24).flatmap(
    lambda n: st.lists(st.tuples(st.sampled_from(ZONES), WEIGHTS), min_size=n, max_size=n)
)


def make_hosts(zones_and_weights):
    return [Host(f"disp-{n:02}", zone, weight) for n, (zone, weight) in enumerate(zones_and_weights)]


def make_backends(weights):
    return [Backend(f"broker-{n:02}", weight) for n, weight in enumerate(weights)]


def hosts_of(assignment, backend):
    return [host for host, backends in assignment.items() if backend in backends]


@settings(max_examples=120, deadline=None)
@given(
    ZONES_AND_WEIGHTS, st.lists(WEIGHTS, min_size=1, max_size=12), st.integers(1, 5), st.randoms(use_true_random=False)
)
def test_backends_have_enough_hosts_within_their_capacity_in_any_order_of_the_lists(
    zones_and_weights, weights, min_hosts, rng
):
    hosts = make_hosts(zones_and_weights)
    backends = make_backends(weights)
    assignment = assign_backends(hosts, backends, min_hosts, min_backends=0)
    required = required_hosts(backends, len(hosts), min_hosts)
    assert {backend.name: len(hosts_of(assignment, backend.name)) for backend in backends} == required
    capacities = host_capacities(hosts, sum(required.values()), len(backends))
    total_capacity = sum(min(capacities[host.name], len(backends)) for host in hosts)
    if total_capacity >= 2 * sum(required.values()) + len(backends):
        for host in hosts:
            assert len(assignment[host.name]) <= capacities[host.name]
    shuffled_hosts = list(hosts)
    shuffled_backends = list(backends)
    rng.shuffle(shuffled_hosts)
    rng.shuffle(shuffled_backends)
    assert assign_backends(shuffled_hosts, shuffled_backends, min_hosts, min_backends=0) == assignment
    assignment = assign_backends(hosts, backends, min_hosts)
    assert assign_backends(shuffled_hosts, shuffled_backends, min_hosts) == assignment
    assert all(assignment.values())
    for backend in backends:
        assert len(hosts_of(assignment, backend.name)) >= required[backend.name]
    for fractions in load_fractions(hosts, backends, assignment).values():
        if fractions:
            assert sum(fractions.values()) == pytest.approx(1, abs=1e-9, rel=0)


@pytest.mark.parametrize(
    ("host_count", "backend_count", "min_hosts"), [(12, 6, 3), (200, 40, 10), (50, 10, 5), (14, 14, 4)]
)
def test_loads_are_even_and_hosts_of_a_backend_are_in_several_zones(host_count, backend_count, min_hosts):
    hosts = make_hosts([(ZONES[n % 3], 1.0) for n in range(host_count)])
    backends = make_backends([1.0] * backend_count)
    assignment = assign_backends(hosts, backends, min_hosts)
    zone_of = {host.name: host.zone for host in hosts}
    for backend in backends:
        zones = [zone_of[name] for name in hosts_of(assignment, backend.name)]
        assert min_hosts <= len(zones) <= min_hosts + 2
        assert len(set(zones)) == min(3, min_hosts)
    loads = backend_loads(hosts, load_fractions(hosts, backends, assignment)).values()
    assert max(loads) <= 1.2 * sum(loads) / len(loads)


@pytest.mark.parametrize("seed", range(6))
def test_a_removed_host_or_backend_moves_few_more_pairs_than_needed(seed):
    rng = random.Random(seed)
    hosts = make_hosts([(rng.choice(("a", "b", "c")), 1.0) for _ in range(60)])
    backends = make_backends([1.0] * 20)
    before = assign_backends(hosts, backends, 6)
    for removed in rng.sample(hosts, 10):
        after = assign_backends([host for host in hosts if host != removed], backends, 6)
        change = compare_assignments(before, after)
        assert change.min_added >= len(before[removed.name]) - 1
        assert len(change.added) <= change.min_added + 8, (removed, change)
    for removed in rng.sample(backends, 5):
        after = assign_backends(hosts, [backend for backend in backends if backend != removed], 6)
        change = compare_assignments(before, after)
        assert len(change.added) <= 12 < len(hosts_of(before, removed.name)) * 3


def test_while_hosts_use_two_lists_each_backend_has_at_least_one_and_at_most_twice_its_hosts():
    hosts = make_hosts([("a", 1.0)] * 12)
    backends = make_backends([1.0] * 8)
    old = assign_backends(hosts[:10], backends, 3)
    new = assign_backends(hosts[2:], backends, 3)
    rng = random.Random(4)
    for _ in range(200):  # each host uses either the old or the new list
        mixed = {host.name: (old if rng.random() < 0.5 else new).get(host.name, ()) for host in hosts}
        host_counts = [len(hosts_of(mixed, backend.name)) for backend in backends]
        assert min(host_counts) >= 1, host_counts
        assert max(host_counts) <= 6, host_counts


@pytest.fixture
def invoke(tmp_path):
    """Return a function that runs a subcommand of ``shares`` on lists of twelve hosts and eight brokers."""
    hosts = "".join(f"disp-{n:02},z{n % 3},10.0.0.{n}\n" for n in range(1, 13))
    (tmp_path / "boxes.csv").write_text(f"host,lapispick_zone,ansible_host\n{hosts}")
    brokers = "".join(f"broker-{n},q,10.0.1.{n}\n" for n in range(1, 9))
    (tmp_path / "brokers.csv").write_text(f"host,amqp_queue,ansible_host\n{brokers}")
    conf = tmp_path / "own.conf"
    conf.write_text(f"section inventory\n path {tmp_path / 'boxes.csv'}\nend\nsection fleet\n group all\nend\n")
    options = ["--conf", str(conf), "--backends", str(tmp_path / "brokers.csv"), "--least", "3"]
    runner = CliRunner()
    return lambda *arguments: runner.invoke(cli, ["shares", *arguments, *options])


def test_the_commands_show_a_subset_and_what_a_change_would_move(invoke):
    subset = json.loads(invoke("subset", "disp-04", "--json").output)
    assert subset["backends"]
    assert all(1 <= rank["place"] <= 12 for rank in subset["backends"])
    change = json.loads(invoke("what-if", "--without", "disp-04", "--json").output)
    assert change["needed"] == len(subset["backends"])
    assert change["needed"] <= len(change["begun"])
    larger_fleet = json.loads(invoke("what-if", "--boxes", "24", "--json").output)
    assert larger_fleet["hosts"] == 24
    assert larger_fleet["least"] >= 3
    assert invoke("subset", "nobody").exit_code == 2
    assert invoke("what-if").exit_code == 2
    assert "broker-" in invoke("show").output
