"""Subsets: every box has the same answer, no backend is without, little moves."""

import json
import random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.cli.main import cli
from lapispick.shares.subsets import Backend, Host, assign, loads, moved, needs, rooms, shares

WEIGHTS = st.sampled_from((0.5, 1.0, 2.0))
FLEETS = st.integers(1, 24).flatmap(
    lambda n: st.lists(st.tuples(st.sampled_from(("pipera", "militari", "otopeni")), WEIGHTS), min_size=n, max_size=n)
)


def made(told, backends):
    return (
        [Host(f"disp-{n:02}", zone, weight) for n, (zone, weight) in enumerate(told)],
        [Backend(f"broker-{n:02}", weight) for n, weight in enumerate(backends)],
    )


def consumers(chosen, backend):
    return [host for host, mine in chosen.items() if backend in mine]


@settings(max_examples=120, deadline=None)
@given(FLEETS, st.lists(WEIGHTS, min_size=1, max_size=12), st.integers(1, 5), st.randoms(use_true_random=False))
def test_no_backend_is_short_no_host_over_its_room_and_the_order_is_no_matter(told, weights, least, rng):
    hosts, backends = made(told, weights)
    chosen = assign(hosts, backends, least, each=0)
    wanted = needs(backends, len(hosts), least)
    assert {each.name: len(consumers(chosen, each.name)) for each in backends} == wanted
    room = rooms(hosts, sum(wanted.values()), len(backends))
    if sum(min(room[h.name], len(backends)) for h in hosts) >= 2 * sum(wanted.values()) + len(backends):
        assert all(len(chosen[h.name]) <= room[h.name] for h in hosts)
    shuffled = list(hosts), list(backends)
    for each in shuffled:
        rng.shuffle(each)
    assert assign(*shuffled, least, each=0) == chosen
    chosen = assign(hosts, backends, least)
    assert assign(*shuffled, least) == chosen and all(chosen.values())
    assert all(len(consumers(chosen, each.name)) >= wanted[each.name] for each in backends)
    parts = shares(hosts, backends, chosen)
    assert all(abs(sum(row.values()) - 1) < 1e-9 for row in parts.values() if row)


@pytest.mark.parametrize("hosts,backends,least", [(12, 6, 3), (200, 40, 10), (50, 10, 5), (14, 14, 4)])
def test_loads_are_even_and_a_backends_hosts_stand_in_several_zones(hosts, backends, least):
    told = [(("pipera", "militari", "otopeni")[n % 3], 1.0) for n in range(hosts)]
    ours, theirs = made(told, [1.0] * backends)
    chosen = assign(ours, theirs, least)
    zone = {host.name: host.zone for host in ours}
    for backend in theirs:
        zones = [zone[name] for name in consumers(chosen, backend.name)]
        assert least <= len(zones) <= least + 2 and len(set(zones)) == min(3, least)
    found = loads(ours, shares(ours, theirs, chosen)).values()
    assert max(found) <= 1.2 * sum(found) / len(found)


@pytest.mark.parametrize("seed", range(6))
def test_one_that_comes_or_goes_moves_little_more_than_it_must(seed):
    rng = random.Random(seed)
    hosts, backends = made([(rng.choice(("a", "b", "c")), 1.0) for _ in range(60)], [1.0] * 20)
    whole = assign(hosts, backends, 6)
    for gone in rng.sample(hosts, 10):
        found = moved(whole, assign([h for h in hosts if h != gone], backends, 6))
        assert found.needed >= len(whole[gone.name]) - 1
        assert len(found.begun) <= found.needed + 8, (gone, found)
    for gone in rng.sample(backends, 5):
        found = moved(whole, assign(hosts, [b for b in backends if b != gone], 6))
        assert len(found.begun) <= 12 < len(consumers(whole, gone.name)) * 3


def test_two_lists_at_once_leave_no_backend_without_and_none_with_twice_its_hosts():
    hosts, backends = made([("a", 1.0)] * 12, [1.0] * 8)
    old, new = assign(hosts[:10], backends, 3), assign(hosts[2:], backends, 3)
    rng = random.Random(4)
    for _ in range(200):  # each box has the one list or the other
        chosen = {h.name: (old if rng.random() < 0.5 else new).get(h.name, ()) for h in hosts}
        many = [len(consumers(chosen, b.name)) for b in backends]
        assert min(many) >= 1 and max(many) <= 6, many


def test_the_commands_tell_a_subset_and_what_a_change_would_move(tmp_path):
    (tmp_path / "boxes.csv").write_text(
        "host,lapispick_zone,ansible_host\n" + "".join(f"disp-{n:02},z{n % 3},10.0.0.{n}\n" for n in range(1, 13))
    )
    (tmp_path / "brokers.csv").write_text(
        "host,amqp_queue,ansible_host\n" + "".join(f"broker-{n},q,10.0.1.{n}\n" for n in range(1, 9))
    )
    (tmp_path / "own.conf").write_text(
        f"section inventory\n path {tmp_path / 'boxes.csv'}\nend\nsection fleet\n group all\nend\n"
    )
    told = ["--conf", str(tmp_path / "own.conf"), "--backends", str(tmp_path / "brokers.csv"), "--least", "3"]
    runner = CliRunner()
    shown = json.loads(runner.invoke(cli, ["shares", "subset", "disp-04", "--json", *told]).output)
    assert shown["backends"] and all(1 <= each["place"] <= 12 for each in shown["backends"])
    found = json.loads(runner.invoke(cli, ["shares", "what-if", "--without", "disp-04", "--json", *told]).output)
    assert found["needed"] == len(shown["backends"]) <= len(found["begun"])
    grown = json.loads(runner.invoke(cli, ["shares", "what-if", "--boxes", "24", "--json", *told]).output)
    assert grown["hosts"] == 24 and grown["least"] >= 3
    assert runner.invoke(cli, ["shares", "subset", "nobody", *told]).exit_code == 2
    assert runner.invoke(cli, ["shares", "what-if", *told]).exit_code == 2
    assert "broker-" in runner.invoke(cli, ["shares", "show", *told]).output
