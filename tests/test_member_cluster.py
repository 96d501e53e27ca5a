"""Members and turns on running hosts: partitions, stalls, deaths, lost words, lists that change."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from lapispick.fakes.fleet import ROOT, Fleet
from lapispick.fakes.member_cluster import QUICK, STEADY, Talk
from lapispick.fakes.peers import until


def span(seconds):
    """Let time pass in which something must not happen."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(0.02)


@pytest.fixture
def talking(tmp_path):
    """Make a fleet whose boxes talk; not started."""
    open_ = []

    def make(boxes=5, told=QUICK, names=None, seed=11, rate=8.0):
        fleet = Fleet(tmp_path, seed=seed, hosts=boxes, gateways=1, rate=rate)
        open_.append(fleet)
        talk = Talk(fleet, told, names)
        open_.append(talk)
        return talk

    yield make
    for each in reversed(open_):
        each.close()


def names(talk):
    return [box.name for box in talk.fleet.hosts]


def test_members_agree_turns_go_round_and_no_request_waits_for_any_of_it(talking):
    talk = talking(told=STEADY).start()
    talk.fleet.start_load()
    all_ = names(talk)
    talk.agree(all_)
    found = talk.view(all_[0])
    assert (found["seen"], found["size"], found["majority"]) == (5, 5, True)
    owners = talk.want(hold=0.1)
    talk.turned(10)
    talk.fleet.wait_for_results(20)
    talk.close()
    talk.kept()
    assert sum(1 for owner in owners if owner.held) >= 4  # no box is passed all the time
    assert talk.deaths() == [] and talk.fleet.broken_rules() == []


def split(talk, *groups):
    """Cut the links between groups of boxes; returns what heals them."""
    ends = [talk.fleet.partition(one, other) for n, one in enumerate(groups) for other in groups[n + 1 :]]
    return lambda: [end() for end in ends]


def test_a_partition_gives_turns_to_the_majority_only_and_heals(talking):
    talk = talking().start()
    talk.fleet.start_load()
    all_ = names(talk)
    few, many = all_[:2], all_[2:]
    talk.agree(all_)
    talk.want(hold=0.1)
    talk.turned(3)
    heal = split(talk, few, many)
    talk.agree(many, gone=few)
    talk.agree(few, gone=many)
    assert not talk.view(few[0])["majority"] and talk.view(many[0])["majority"]
    before = {fence for _, fence in talk.resource.top_fences()}
    talk.turned(4)
    fresh = [act for act in list(talk.resource.acts) if act[2] not in before]
    assert {box for *_, box in fresh} <= set(many)
    heal()
    talk.agree(all_)
    talk.turned(6)
    talk.fleet.wait_for_results(5)
    talk.close()
    talk.kept()
    assert talk.fleet.broken_rules() == []


def test_three_parts_without_a_majority_grant_nothing_new_until_they_heal(talking):
    talk = talking(6).start()
    all_ = names(talk)
    talk.agree(all_)
    talk.want(hold=0.1)
    talk.turned(2)
    heal = split(talk, all_[:2], all_[2:4], all_[4:])
    span(2.0)  # longer than the lease that was running
    before = talk.resource.top_fences()
    span(2.0)
    assert talk.resource.top_fences() == before
    heal()
    talk.turned(4)
    talk.close()
    talk.kept()


def test_a_holder_that_is_stopped_past_its_lease_holds_nothing_when_it_wakes(talking):
    talk = talking().start()
    all_ = names(talk)
    talk.agree(all_)
    owners = {each.box.name: each for each in talk.want(hold=20.0)}  # each would keep it for long
    talk.turned(1)
    holder = talk.resource.acts[-1][3]
    wake = talk.fleet.suspend(talk.fleet[holder])
    talk.turned(1)  # its lease ends at the others, and one of them has it
    assert talk.resource.acts[-1][3] != holder
    wake()
    span(1.0)
    assert owners[holder].held[-1][3] < talk.resource.acts[-1][0]
    talk.close()
    talk.kept()
    log = next(iter(talk.fleet[holder].folder.glob("config-1.log"))).read_text()
    assert "event=turn-lost" in log or "event=turn-dropped" in log


def test_a_holder_that_dies_is_followed_and_its_box_returns_as_a_later_life_without_its_disk(talking):
    talk = talking().start()
    all_ = names(talk)
    talk.agree(all_)
    talk.want(hold=20.0)
    talk.turned(1)
    gone = talk.resource.acts[-1][3]
    rest = [name for name in all_ if name != gone]
    life = next(each["life"] for each in talk.view(rest[0])["members"] if each["name"] == gone)
    talk.fleet[gone].kill()
    talk.turned(1)
    talk.agree(rest, gone=[gone])
    for path in (talk.fleet[gone].folder / "members").iterdir():
        path.unlink()
    talk.fleet[gone].start(conf=talk.conf[gone], skew=-3600.0)  # and its clock went back
    talk.agree(all_)
    assert talk.view(gone)["life"] > life
    for name in rest:
        assert next(each["life"] for each in talk.view(name)["members"] if each["name"] == gone) > life
    talk.close()
    talk.kept()


def test_links_that_work_one_way_or_not_between_two_kill_nobody(talking):
    talk = talking(told=STEADY).start()
    all_ = names(talk)
    talk.agree(all_)
    talk.want(hold=0.1)
    talk.fleet.net.part([all_[0]], [all_[1]])
    talk.fleet.net.part([all_[2]], [all_[3]], one_way=True)
    talk.turned(12)
    span(6.0)  # each is probed twice, and a suspicion that begins at once is over
    assert talk.deaths() == []
    talk.close()
    talk.kept()


def test_a_member_that_everyone_but_one_can_reach_stays_alive_for_all(talking):
    talk = talking(told=STEADY).start()
    all_ = names(talk)
    talk.agree(all_)
    talk.fleet.net.part([all_[0]], [all_[4]])
    began = time.monotonic()
    while time.monotonic() - began < 10.0:  # more than twice a suspicion
        assert talk.states(all_[0]).get(all_[4]) in ("alive", "suspect")
        time.sleep(0.1)
    assert talk.deaths() == []


def test_a_member_that_stalls_for_two_seconds_is_not_dead_at_the_times_of_service(talking):
    """Times as in service but for the period: a suspicion lasts 5 s at least, and a stall of 2 s is no death."""
    talk = talking(
        told=QUICK.replace("period 200ms", "period 1s")
        .replace("timeout 80ms", "timeout 300ms")
        .replace("suspicion 4", "suspicion 5")
    ).start()
    all_ = names(talk)
    talk.agree(all_)
    for name in all_[:3]:
        wake = talk.fleet.suspend(talk.fleet[name])
        span(2.0)
        wake()
    talk.agree(all_)
    assert talk.deaths() == []


@pytest.mark.parametrize("loss", [0.05, 0.2, 0.5])
def test_words_that_are_lost_doubled_late_and_out_of_order_give_no_two_holders(talking, loss):
    talk = talking(told=STEADY if loss < 0.3 else QUICK).start()
    all_ = names(talk)
    talk.agree(all_)
    talk.fleet.net.slow(all_, all_, loss=loss, double=0.2, shuffle=0.2, jitter=0.02)
    talk.want(hold=0.1)
    if loss < 0.5:
        talk.turned(4, within=60.0)
    else:
        span(6.0)  # whether a claim gets through is chance then; that no two hold is not
    if loss < 0.3:
        assert talk.deaths() == []
    talk.fleet.net.heal()
    talk.agree(all_)
    talk.turned(3)
    talk.close()
    talk.kept()


def test_a_partition_that_flaps_every_second_gives_no_two_holders(talking):
    talk = talking().start()
    all_ = names(talk)
    talk.agree(all_)
    talk.want(hold=0.2)
    for n in range(8):
        side = all_[:2] if n % 2 else all_[3:]
        talk.fleet.net.part(side, [name for name in all_ if name not in side], one_way=n % 3 == 2)
        span(1.0)
        talk.fleet.net.heal()
    talk.agree(all_)
    talk.turned(5)
    talk.close()
    talk.kept()


def test_a_fifth_killed_at_once_is_found_and_all_but_one_killed_leave_no_majority(talking):
    talk = talking(10).start()
    all_ = names(talk)
    talk.agree(all_)
    gone = all_[:2]
    for name in gone:
        talk.fleet[name].kill()
    took = talk.agree(all_[2:], gone=gone)
    print(f"found in {took:.1f} s")
    last = all_[-1]
    for name in all_[2:-1]:
        talk.fleet[name].kill()
    talk.agree([last], gone=all_[:-1], within=60.0)
    assert (talk.view(last)["seen"], talk.view(last)["majority"]) == (1, False)
    talk.want(names=[last])
    span(3.0)
    assert talk.resource.acts == []
    threads = [threading.Thread(target=talk.fleet[name].start, kwargs={"conf": talk.conf[name]}) for name in all_[:-1]]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    talk.agree(all_)
    talk.turned(1)
    talk.close()
    talk.kept()


def test_a_list_that_replaces_six_in_ten_boxes_and_comes_late_to_some_gives_no_two_holders(talking):
    talk = talking(10)
    all_ = names(talk)
    old, new = all_[:7], all_[3:]  # 7 boxes each; 4 stay
    talk.list(old)
    talk.start()
    talk.agree(old)
    talk.want(hold=0.15)
    talk.turned(4)
    heal = split(talk, all_[:2], all_[2:])  # and a partition heals while the list changes
    for name in all_:
        talk.list(new, [name])
        span(0.5)
        if name == all_[4]:
            heal()
    talk.agree(new, within=30.0)
    assert talk.view(new[-1])["size"] == 7
    talk.turned(6)
    talk.close()
    talk.kept()


def test_two_versions_of_the_list_stay_side_by_side_and_give_no_two_holders(talking):
    talk = talking(6)
    all_ = names(talk)
    talk.list(all_[:5], all_[:3])
    talk.list(all_, all_[3:])
    talk.start()
    talk.want(hold=0.15)
    span(4.0)  # 5 of the one list, 3 of whom hold it; 6 of the other, 3 of whom do
    assert talk.overlaps() == []
    talk.list(all_)
    talk.agree(all_)
    talk.turned(4)
    talk.close()
    talk.kept()


def test_clocks_that_are_minutes_off_change_nothing(talking):
    talk = talking(told=STEADY)
    threads = [
        threading.Thread(target=box.start, kwargs={"conf": talk.conf[box.name], "skew": skew})
        for box, skew in zip(talk.fleet.hosts, (0.0, 300.0, -300.0, 7200.0, -60.0), strict=True)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    all_ = names(talk)
    talk.agree(all_)
    talk.want(hold=0.15)
    talk.turned(6)
    talk.close()
    talk.kept()
    assert talk.deaths() == []


def test_a_turn_of_two_has_two_holders_at_most_and_both_slots_are_used(talking):
    talk = talking().start()
    talk.agree(names(talk))
    talk.want("pair", hold=0.3)
    talk.turned(12)
    talk.close()
    talk.kept()
    assert {slot for slot, _ in talk.resource.top_fences()} == {"pair/0", "pair/1"}


def test_strangers_nonsense_and_floods_cost_themselves_only(talking):

    talk = talking(3, told=STEADY).start()
    all_ = names(talk)
    talk.agree(all_)
    host, port = talk.at[all_[0]].split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger, socket.socket() as stream:
        word = (
            b'{"say":"probe","fleet":"fleet","sender":"disp-02","life":99999999999999,"incarnation":9,'
            b'"rumours":[["disp-03","dead",9,99999999999999]]}'
        )
        for n in range(2000):
            stranger.sendto(word if n % 2 else b"\xff{" * (n % 700), (host, int(port)))
        stream.connect((host, int(port)))
        stream.sendall(b"{" * 100_000 + b"\n")
        stream.settimeout(5)
        with contextlib.suppress(OSError):
            assert stream.recv(10) == b""
    talk.fleet.start_load()
    talk.fleet.wait_for_results(10)
    found = talk.view(all_[0])
    assert found["dropped"]["not from its address"] > 100 and found["dropped"]["nonsense"] > 100
    assert {each["state"] for each in found["members"]} == {"alive"}
    assert max(each["life"] for each in found["members"]) < 99999999999999
    assert talk.deaths() == []


def test_a_box_that_leaves_says_so_and_gives_its_turn_back(talking):
    talk = talking(4).start()
    all_ = names(talk)
    talk.agree(all_)
    talk.want(hold=20.0)
    talk.turned(1)
    holder = talk.resource.acts[-1][3]
    began = time.monotonic()
    os.kill(talk.fleet[holder].processes[-1].pid, signal.SIGTERM)
    talk.turned(1)
    took = time.monotonic() - began
    print(f"the next one had it after {took:.2f} s")
    rest = [name for name in all_ if name != holder]
    talk.agree(rest, gone=[holder])
    until(lambda: all(talk.states(name)[holder] == "left" for name in rest), "that all know that it left by itself")
    talk.close()
    talk.kept()


def tool(*told, **more):
    return subprocess.run(
        [sys.executable, "-m", "lapispick", *told], capture_output=True, text=True, timeout=60, cwd=ROOT, **more
    )


def test_the_commands_show_the_view_and_hold_a_turn_for_a_command(talking, tmp_path):
    talk = talking(3).start()
    all_ = names(talk)
    talk.agree(all_)
    ops = [talk.fleet[name].processes[-1].ops for name in all_]
    shown = tool("members", "show", "--at", ops[0])
    assert shown.returncode == 0 and "sees 3 of 3" in shown.stdout and all_[2] in shown.stdout
    until(
        lambda: [
            f
            for f in json.loads(tool("members", "show", "--json", "--at", ops[0]).stdout)["facts"]
            if (f[0], f[3]) == (all_[1], "load")
        ],
        "what another box says of itself",
    )
    talk.fleet[all_[2]].kill()
    talk.agree(all_[:2], gone=[all_[2]])
    why = tool("members", "why", all_[2], "--at", ops[0])
    assert "is dead" in why.stdout and ("no answer" in why.stdout or "says so" in why.stdout)
    assert tool("members", "why", "nobody", "--at", ops[0]).returncode == 1
    out = tmp_path / "out"
    script = f"echo $LAPISPICK_FENCE begins >> {out}; sleep 0.4; echo $LAPISPICK_FENCE ends >> {out}; exit 7"
    held = [
        subprocess.Popen(
            [sys.executable, "-m", "lapispick", "turns", "hold", "--at", at, "job", "--", "sh", "-c", script], cwd=ROOT
        )
        for at in ops[:2] * 2
    ]
    assert [each.wait(60) for each in held] == [7] * 4
    lines = [line.split() for line in out.read_text().splitlines()]
    assert [word for _, word in lines] == ["begins", "ends"] * 4  # one after the other
    fences = [int(fence) for fence, _ in lines]
    assert fences == sorted(fences) and len(set(fences)) == 4
    assert tool("turns", "list", "--at", ops[0]).returncode == 0
    assert tool("turns", "hold", "--at", ops[0], "nothing", "--", "true").returncode == 2


def test_a_command_under_a_turn_is_ended_before_the_lease_is_lost(talking, tmp_path):
    talk = talking(3).start()
    all_ = names(talk)
    talk.agree(all_)
    out = tmp_path / "out"
    held = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lapispick",
            "turns",
            "hold",
            "--at",
            talk.fleet[all_[0]].processes[-1].ops,
            "job",
            "--",
            "sh",
            "-c",
            f"echo $LAPISPICK_FENCE > {out}; exec sleep 60",
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
    )
    until(lambda: out.exists() and out.read_text().strip(), "the command's start")
    talk.fleet.partition([all_[0]], all_[1:])  # the holder is cut off from the majority
    began = time.monotonic()
    assert held.wait(30) == 1 and b"was lost while the command ran" in held.stderr.read()
    assert time.monotonic() - began < 1.5 + 0.5  # the lease
    talk.want(names=all_[1:])
    talk.turned(1)
    assert talk.resource.acts[0][2] > int(out.read_text())
    talk.close()
    talk.kept()


def test_what_a_slow_store_does_to_several_is_known_to_all(talking):
    talk = talking(3, rate=40.0).start()
    all_ = names(talk)
    talk.agree(all_)
    talk.fleet.start_load()
    talk.fleet.wait_for_results(150)  # some seconds of what is usual

    def told():
        return {fact[0]: fact[5] for fact in (talk.view(all_[0]) or {"facts": []})["facts"] if fact[3] == "store"}

    until(lambda: set(told()) == set(all_), "a fact of each box")
    assert max(told().values()) < 4.0
    talk.fleet.store.slow = 200.0  # 0.4 s a call, far over what a busy machine makes of the usual
    until(lambda: sum(value > 4.0 for value in told().values()) >= 2, "that two say so")
    talk.fleet.store.slow = 1.0
    until(lambda: max(told().values()) < 3.0, "that it is over")
    assert talk.fleet.broken_rules() == []


def test_members_that_share_one_busy_core_are_not_dead_at_the_times_of_service(talking):
    talk = talking(
        3,
        told=QUICK.replace("period 200ms", "period 1s")
        .replace("timeout 80ms", "timeout 300ms")
        .replace("suspicion 4", "suspicion 5"),
    ).start()
    all_ = names(talk)
    talk.agree(all_)
    core = min(os.sched_getaffinity(0))
    for name in all_[:2]:
        os.sched_setaffinity(talk.fleet[name].processes[-1].pid, {core})
    busy = [
        subprocess.Popen(
            [
                sys.executable,
                "-c",
                f"import os, time\nos.sched_setaffinity(0, {{{core}}})\n"
                "end = time.monotonic() + 10\nwhile time.monotonic() < end: pass",
            ]
        )
        for _ in range(3)
    ]
    try:
        for each in busy:
            each.wait(30)
        talk.agree(all_)
        assert talk.deaths() == []
    finally:
        for each in busy:
            each.kill()
            each.wait()
