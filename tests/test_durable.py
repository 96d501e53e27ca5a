"""Keys across restarts: the states, the room, the disk's syncs, and the store through kills, faults and two lives."""

import os
import random
import resource
import signal
import sqlite3
import subprocess
import sys

import pytest

from lapispick.durable import keys
from lapispick.durable.budget import GUARD, Room
from lapispick.durable.commits import Answer, Commits, Disk
from lapispick.durable.database import Database, DiskFault, Fenced, Unusable
from lapispick.durable.keys import Broken, Known, State, Verdict

WINDOW = 14_286.0


def known(state=State.FINISHED, life=1, born=0.0, until=WINDOW, result=b"r"):
    return Known(state, life, born, until, b"body", result if state is State.FINISHED else None)


@pytest.mark.parametrize(
    "state,wanted",
    [
        (State.INTENDED, Verdict.JOIN),
        (State.STARTED, Verdict.JOIN),
        (State.FINISHED, Verdict.RESULT),
        (State.FAILED, Verdict.FAIL),
        (State.DOUBT, Verdict.FAIL),
    ],
)
def test_what_a_try_gets(state, wanted):
    one = known(state)
    assert keys.verdict(one, b"body", 5.0) is wanted
    assert keys.verdict(one, b"another", 5.0) is Verdict.OTHER
    assert keys.verdict(one, b"body", WINDOW) is keys.verdict(None, b"body", 5.0) is Verdict.RUN


def test_a_result_that_was_given_up_for_room_fails_and_never_runs():
    assert keys.verdict(known(result=None), b"body", 5.0) is Verdict.FAIL


def test_a_window_counts_from_birth_and_no_clock_ahead_stretches_it():
    assert keys.intend(None, 1, b"", 100.0, WINDOW, 300.0).until == 100.0 + WINDOW
    assert keys.intend(None, 1, b"", 1e9, WINDOW, 300.0).until == 300.0 + WINDOW


def test_steps_out_of_order_are_faults_of_the_program():
    for step in (
        lambda: keys.finish(known(State.INTENDED), b""),
        lambda: keys.fail(known(State.DOUBT)),
        lambda: keys.started(known(State.STARTED)),
        lambda: keys.withdraw(known(State.STARTED)),
        lambda: keys.intend(known(State.FAILED), 1, b"", 0.0, WINDOW, 5.0),
        lambda: keys.recover(known(State.STARTED, life=3), 3, 5.0),
        lambda: keys.resolve(known(), b""),
    ):
        with pytest.raises(Broken):
            step()


def test_a_new_life_doubts_what_it_cannot_know_and_forgets_what_is_over():
    for state in (State.INTENDED, State.STARTED):
        doubt = keys.recover(known(state), 2, 5.0)
        assert doubt.state is State.DOUBT and keys.resolve(doubt, b"late").result == b"late"
    for state in (State.FINISHED, State.FAILED, State.DOUBT):
        assert keys.recover(known(state), 2, 5.0) == known(state)
    assert keys.recover(known(), 2, WINDOW) is None


class Box:
    """A box that may die between any two of its steps; ``disk`` outlives it, ``effects`` is what the ledger saw."""

    def __init__(self, seed):
        self.rng, self.now, self.life = random.Random(seed), 0.0, 1
        self.disk, self.live, self.effects, self.served = {}, {}, {}, {}

    def dies(self):
        if self.rng.random() < 0.1:
            self.life += 1
            self.live = {k: kept for k, one in self.disk.items() if (kept := keys.recover(one, self.life, self.now))}
            self.disk = dict(self.live)
            return True
        return False

    def attempt(self, key):
        told = keys.verdict(self.live.get(key), b"body", self.now)
        if told is Verdict.RESULT:
            assert self.live[key].result == self.served.get(key, self.live[key].result)
        if told is not Verdict.RUN:
            assert key in self.effects or self.live[key].state is not State.FINISHED
            return
        one = keys.intend(self.live.get(key), self.life, b"body", self.now - self.rng.uniform(0, 500), WINDOW, self.now)
        self.live[key] = one
        if self.dies():  # the intent was lost with the process, and no command left
            return
        self.disk[key] = one
        if self.dies():
            return
        if self.rng.random() < 0.1:  # its due time came first
            keys.withdraw(one)
            del self.live[key], self.disk[key]
            return
        self.live[key] = one = keys.started(one)
        ran = self.effects.setdefault(key, [])
        assert not any(self.now < until for until in ran), "a second run within the window"
        ran.append(one.until)
        if self.dies():
            return
        end = keys.finish(one, b"%d" % self.rng.getrandbits(32)) if self.rng.random() < 0.8 else keys.fail(one)
        self.live[key] = end
        if self.dies():
            return
        self.disk[key] = end
        if self.dies():
            return
        if end.state is State.FINISHED:
            self.served[key] = end.result


@pytest.mark.parametrize("seeds", [range(at, at + 250) for at in range(0, 1000, 250)])
def test_a_box_that_dies_anywhere_runs_no_key_twice_and_contradicts_no_answer(seeds):
    verdicts = 0
    for seed in seeds:
        box = Box(seed)
        for _ in range(120):
            box.now += box.rng.uniform(0, 2000)
            for key, one in list(box.live.items()):
                if box.now >= one.until:
                    del box.live[key]
                    box.disk.pop(key, None)
                    box.served.pop(key, None)
            box.attempt(box.rng.randrange(6))
        verdicts += box.life
    assert verdicts > 1000  # there were deaths


def test_results_go_for_room_and_guards_never():
    room = Room(most=100 * GUARD)
    for n in range(80):
        room.guard()
        room.keep(b"%d" % n, 150)
    assert room.guards == 80 and room.results + 80 * GUARD <= room.most
    assert b"0" not in room.sizes and b"79" in room.sizes  # the oldest went
    assert room.keep(b"huge", 51 * GUARD) is None and b"79" in room.sizes  # and none for one that can't be kept
    while room.admits():
        room.guard()
    assert room.guards == 100 and room.results == 0 and not room.admits()
    room.drop(b"5")
    assert room.admits()


def test_a_write_is_tried_only_where_its_syncs_fit():
    it, now = Commits(bare=False), 1000.0
    for _ in range(60):
        it.began(now)
        it.ended(now + 4.0)
    assert it.answer(now, now + 200.0, 100.0) is Answer.WRITE
    assert it.answer(now, now + 105.0, 100.0) is Answer.REFUSE
    it.began(now)
    assert it.answer(now + 500.0, now + 1000.0, 100.0) is Answer.REFUSE  # one hangs: as long again, and its own
    assert it.pause(now + 500.0) >= 500.0
    it.ended(now + 500.0)
    assert it.needs(now) > 50.0


def test_a_disk_that_fails_is_left_alone_for_longer_each_time_and_looked_at_again():
    for bare, wanted in ((False, Answer.REFUSE), (True, Answer.BARE)):
        it, now, waits = Commits(bare=bare), 0.0, []
        for _ in range(9):
            it.began(now)
            it.failed(now, gone=True)
            assert it.answer(now, now + 4000, 100.0) is wanted and it.disk is Disk.GONE
            waits.append(it.again - now)
            now = it.again
            assert it.answer(now, now + 4000, 100.0) is Answer.WRITE
        assert waits[:3] == [100, 200, 400] and waits[-1] == 10_000
        it.began(now)
        it.ended(now + 1)
        assert it.disk is Disk.WELL and it.failures == 0


def test_the_store_gives_back_what_was_written_and_forgets_what_is_over(tmp_path):
    store = Database(tmp_path / "x.db", "n3")
    made = {b"%d" % n: known(list(State)[n % 5], until=100.0 * n) for n in range(50)}
    store.write(made.items())
    store.write([(b"7", None), (b"8", known())])
    del made[b"7"]
    made[b"8"] = known()
    store.close()
    again = Database(tmp_path / "x.db", "n3")
    assert dict(again.load()) == made and again.life == 2 and again.check() == []
    assert again.expire(1000.0, 4) == 4 and again.expire(1000.0, 100) == 5
    assert {one.until for _, one in again.load()} >= {1100.0, WINDOW} and len(dict(again.load())) == 40


def test_a_later_life_fences_the_one_before(tmp_path):
    old = Database(tmp_path / "x.db", "n3")
    old.write([(b"a", known(State.STARTED))])
    new = Database(tmp_path / "x.db", "n3")
    for write in (lambda: old.write([(b"a", known())]), lambda: old.expire(1e9, 9)):
        with pytest.raises(Fenced, match="life 2"):
            write()
    assert dict(new.load())[b"a"].state is State.STARTED
    new.write([(b"a", known())])


def test_files_that_are_not_ours_are_refused_with_the_reason(tmp_path):
    Database(tmp_path / "x.db", "n3").close()
    with pytest.raises(Unusable, match="belongs to the box n3, not n4"):
        Database(tmp_path / "x.db", "n4")
    with sqlite3.connect(tmp_path / "x.db") as db:
        db.execute("update meta set value = 9 where name = 'version'")
    with pytest.raises(Unusable, match="has version 9"):
        Database(tmp_path / "x.db", "n3")
    (tmp_path / "y.db").write_bytes(b"no database at all" * 500)
    with pytest.raises(Unusable, match="not a database"):
        Database(tmp_path / "y.db", "n3")


def test_a_disk_that_fills_up_fails_the_write_and_keeps_what_was_there(tmp_path):
    store = Database(tmp_path / "x.db", "n3")
    store.write([(b"a", known())])
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    size = sum(path.stat().st_size for path in tmp_path.iterdir())
    resource.setrlimit(resource.RLIMIT_FSIZE, (size + 8192, limits[1]))
    try:
        with pytest.raises(DiskFault) as raised:
            store.write([(b"%d" % n, known(result=b"x" * 4000)) for n in range(200)])
        assert not isinstance(raised.value, Fenced)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
    store.write([(b"b", known())])
    assert set(dict(store.load())) == {b"a", b"b"} and store.check() == []


def test_a_batch_that_fails_in_the_middle_is_not_there_and_stops_nothing(tmp_path):
    store = Database(tmp_path / "x.db", "n3")
    with pytest.raises(DiskFault):
        store.write([(b"a", known()), (b"b", known(result=object()))])
    assert not dict(store.load())
    store.write([(b"c", known())])
    assert set(dict(store.load())) == {b"c"}


WRITER = """
import sys
from lapispick.durable.database import Database
from lapispick.durable.keys import Known, State
store = Database(sys.argv[1], "n3")
for n in range(100_000):
    store.write([(b"%d.%d" % (n, k), Known(State.STARTED, store.life, 0.0, 1e15, b"", b"x" * 300)) for k in range(3)])
    print(n, flush=True)
"""


@pytest.mark.parametrize("seed", range(6))
def test_what_was_written_outlives_a_kill_and_no_batch_is_half_there(tmp_path, seed):
    print("seed", seed)
    wanted = random.Random(seed).randrange(1, 120)
    process = subprocess.Popen([sys.executable, "-c", WRITER, str(tmp_path / "x.db")], stdout=subprocess.PIPE)
    told = -1
    while told < wanted:
        told = int(process.stdout.readline())
    os.kill(process.pid, signal.SIGKILL)
    told = max([told, *map(int, process.stdout.read().split(b"\n")[:-1])])
    process.wait()
    store = Database(tmp_path / "x.db", "n3")
    found = dict(store.load())
    for n in range(told + 1):
        assert {b"%d.%d" % (n, k) for k in range(3)} <= set(found)
    assert len(found) in (3 * (told + 1), 3 * (told + 2)) and store.check() == []
    assert all(keys.recover(one, store.life, 5.0).state is State.DOUBT for one in found.values())
