"""Tests of the ownership of keys between two processes of one worker host, without sockets."""

import random

import pytest

from lapispick.handover import messages
from lapispick.idempotency.ownership import CLAIM_TIMEOUT_MS, KeyOwnership, Role
from lapispick.idempotency.states import TRANSITIONS, KeyState, Verdict
from lapispick.idempotency.table import EXECUTED_BY_PEER, NOT_EXECUTED, IdempotencyTable, digest_request
from lapispick.idempotency.unknown_outcomes import UnknownOutcomes

WINDOW_MS = 5000.0
KEYS = [("nonce", str(n)) for n in range(4)]


def reachable(state):
    """Return a state and all states that can be reached from it."""
    states = {state}
    while new_states := {target for (origin, _), target in TRANSITIONS.items() if origin in states} - states:
        states |= new_states
    return states


REACHABLE = {state: reachable(state) for state in KeyState}


class Process:
    """Process of a worker host, with its running attempts and its answers."""

    def __init__(self, executions, role=Role.STANDALONE):
        self.executions = executions
        self.killed = False
        self.peer = None
        self.table = IdempotencyTable()
        self.ownership = KeyOwnership(self.table, WINDOW_MS, role)
        self.inbox = []
        self.unsent = []  # messages that the link has not taken
        self.blocked = False
        self.running_attempts = {}  # attempt -> its record
        self.records = {}  # attempt -> its record
        self.answers = {}
        self.states = {}  # id of a record -> its state when last seen, and the record
        self.ownership.send = self._send
        self.ownership.on_verdict = self.on_verdict
        self.ownership.on_completed = lambda attempt, result: self.answer(attempt, result or "failed")
        self.ownership.has_unsent = lambda: bool(self.unsent)

    def _send(self, message):
        assert messages.decode(messages.encode(message).strip()) == message
        self.unsent.append(message)
        self.flush()

    def flush(self):
        """Send the unsent messages, unless the link is blocked."""
        if not self.blocked and self.peer is not None:
            self.peer.inbox += self.unsent
            self.unsent = []

    def link_to(self, peer):
        """Link to a newer process as the owner of the keys, and send it a complete snapshot."""
        self.peer = peer
        peer.peer = self
        self.inbox = []
        peer.inbox = []
        self.ownership.on_peer_connected(Role.OWNER)
        peer.ownership.on_peer_connected(Role.FOLLOWER)
        for message in self.ownership.snapshot([record.key for record in self.table]):
            self._send(message)

    def request(self, key, now):
        """Receive a new attempt of a key."""
        is_retry = now - self.executions.last_attempt_at.get(key, -1e9) <= WINDOW_MS
        self.executions.last_attempt_at[key] = now
        self.executions.last_attempt += 1
        attempt = self.executions.last_attempt
        record = self.table.find(key, now)
        if record is not None and (record.executed_attempt or record.completed):
            return self.coalesce(attempt, record)
        record = self.queue(key, attempt, now)
        self.executions.created_at[attempt] = now
        self.on_verdict(attempt, self.ownership.claim(attempt, record, now, now + WINDOW_MS, is_retry, now))

    def queue(self, key, attempt, now):
        """Queue an attempt without claiming its key."""
        record = self.table.retain(key, attempt, now, now + WINDOW_MS, digest_request("book", key[1]))
        self.records[attempt] = record
        return record

    def coalesce(self, attempt, record):
        if record.completed:
            self.answer(attempt, record.result or "failed")
        else:
            record.waiters.append(attempt)

    def on_verdict(self, attempt, verdict):
        record = self.records[attempt]
        if verdict is Verdict.RUN:
            self.executions.add(record.key, attempt)
            self.running_attempts[attempt] = record
        elif verdict is Verdict.COALESCE:
            self.coalesce(attempt, record)
        elif verdict is not Verdict.WAIT:
            self.answer(attempt, "rejected" if verdict is Verdict.REJECT else "failed")
            if not record.executed_attempt and record.owner_attempt == attempt:
                self.ownership.release(record)

    def answer(self, attempt, answer):
        assert attempt not in self.answers, "answered twice"
        self.answers[attempt] = answer

    def end_run(self, attempt, result):
        """End the run of an attempt; a result of None means that it failed."""
        self.ownership.complete(self.running_attempts.pop(attempt), result)
        self.answer(attempt, result or "failed")

    def check_states(self):
        """Check that each record is in a state that the state machine allows after the last one seen."""
        for record in self.table:
            previous = self.states.get(id(record), (KeyState.INTENDED, record))[0]
            assert record.state in REACHABLE[previous], f"{record.key} went from {previous.name} to {record.state.name}"
            assert record.state is not KeyState.RELEASED
            assert (record.state is KeyState.INTENDED) == (record.executed_attempt == NOT_EXECUTED)
            self.states[id(record)] = record.state, record  # the reference keeps the id from being reused

    def receive_next(self):
        """Receive the next message, if there is any."""
        if self.inbox:
            self.ownership.receive(self.inbox.pop(0))


class Executions:
    """Executions of all processes, and the clock that they share."""

    def __init__(self):
        self.last_attempt = 0
        self.now = 1000.0
        self.created_at = {}  # attempt -> when it was created
        self.last_attempt_at = {}  # key -> when its last attempt was made
        self.by_key = {}  # key -> when its executed attempts were created

    def add(self, key, attempt):
        times = self.by_key.setdefault(key, [])
        created_at = self.created_at[attempt]  # the window counts from the creation of the executed attempt
        assert not times or created_at > times[-1] + WINDOW_MS, f"{key} ran twice, created at {times} and {created_at}"
        times.append(created_at)


def make_pair():
    """Return the shared executions, an older process and a newer one; they are not linked."""
    executions = Executions()
    old = Process(executions)
    new = Process(executions, Role.SUSPENDED)
    return executions, old, new


def deliver_all(*processes):
    """Deliver all messages between the processes, also those sent in reply."""
    while any(process.inbox for process in processes):
        for process in processes:
            process.receive_next()


def test_results_from_before_the_link_are_known_at_the_newer_process():
    executions, old, new = make_pair()
    for key in KEYS[:2]:
        old.request(key, executions.now)
    old.end_run(1, "r1")
    old.link_to(new)
    deliver_all(old, new)
    for key in KEYS[:2]:
        new.request(key, executions.now)
    assert new.answers == {3: "r1"}
    old.end_run(2, "r2")
    deliver_all(old, new)
    assert new.answers == {3: "r1", 4: "r2"}
    assert len(executions.by_key) == 2


def test_the_newer_process_claims_a_key_and_its_result_is_known_at_the_owner():
    executions, old, new = make_pair()
    old.link_to(new)
    new.request(KEYS[0], executions.now)
    assert not executions.by_key  # it must wait until the owner grants the claim
    deliver_all(old, new)
    old.request(KEYS[0], executions.now)
    new.end_run(1, "r")
    deliver_all(old, new)
    assert old.answers == {2: "r"}
    assert old.table.get(KEYS[0]).executed_attempt == EXECUTED_BY_PEER


def test_two_claims_that_cross_run_once_and_both_processes_have_the_result():
    executions, old, new = make_pair()
    old.link_to(new)
    new.request(KEYS[0], executions.now)
    old.request(KEYS[0], executions.now)
    deliver_all(old, new)
    old.end_run(2, "r")
    deliver_all(old, new)
    assert old.answers == {2: "r"}
    assert new.answers == {1: "r"}


def test_a_claim_without_a_reply_is_rejected_after_its_timeout():
    executions, old, new = make_pair()
    old.link_to(new)
    new.request(KEYS[0], executions.now)
    new.ownership.expire_claims(executions.now + CLAIM_TIMEOUT_MS)
    assert not new.answers
    new.ownership.expire_claims(executions.now + CLAIM_TIMEOUT_MS + 1)
    assert new.answers == {1: "rejected"}
    deliver_all(old, new)  # the grant arrives after the timeout, so the owner releases the key
    old.request(KEYS[0], executions.now)
    assert executions.by_key
    assert old.table.get(KEYS[0]).executed_attempt == 2


def test_the_owner_executes_no_key_before_its_announcement_is_sent():
    executions, old, new = make_pair()
    old.link_to(new)
    old.blocked = True
    old.request(KEYS[0], executions.now)
    assert not executions.by_key
    old.blocked = False
    old.flush()
    old.ownership.on_flushed()
    assert executions.by_key
    assert not old.ownership.expire_claims(executions.now + 2 * CLAIM_TIMEOUT_MS)
    old.blocked = True
    old.request(KEYS[1], executions.now)
    # The other process does not read its messages, so the link must be closed.
    assert old.ownership.expire_claims(executions.now + CLAIM_TIMEOUT_MS + 1)
    old.ownership.on_peer_lost(peer_ended=True)
    assert KEYS[1] in executions.by_key


def test_attempts_that_a_killed_process_did_not_finish_fail_as_their_outcome_is_unknown():
    executions, old, new = make_pair()
    old.link_to(new)
    old.request(KEYS[0], executions.now)
    deliver_all(old, new)
    new.request(KEYS[0], executions.now)
    new.ownership.on_peer_lost(peer_ended=False)
    new.request(KEYS[1], executions.now)
    # The other process may still be running.
    assert new.ownership.role is Role.SUSPENDED
    assert not new.answers
    new.ownership.on_peer_lost(peer_ended=True)
    assert new.answers == {2: "failed"}
    assert KEYS[1] in executions.by_key
    new.request(KEYS[0], executions.now)
    assert new.answers[4] == "failed"


def test_a_key_whose_window_has_ended_runs_again_at_either_process():
    executions, old, new = make_pair()
    old.request(KEYS[0], executions.now)
    old.end_run(1, "r")
    old.link_to(new)
    deliver_all(old, new)
    for process, n in ((new, 2), (old, 3), (new, 4)):
        executions.now += WINDOW_MS + 1
        process.request(KEYS[0], executions.now)
        deliver_all(old, new)
        process.end_run(n, f"r{n}")
        deliver_all(old, new)
        assert old.table.get(KEYS[0]).result == f"r{n}"
        assert new.table.get(KEYS[0]).result == f"r{n}"


def test_outcomes_are_unknown_for_one_window():
    unknown = UnknownOutcomes(7.0)
    assert not unknown.covers(0.0, is_retry=True)
    unknown.record_process_end(3.0)
    assert unknown.covers(9.0, is_retry=True)
    assert not unknown.covers(10.0, is_retry=True)
    assert unknown.covers(3.0, is_retry=False)
    assert not unknown.covers(3.1, is_retry=False)
    assert not unknown.covers(3.1, is_retry=False, retries_are_marked=False)  # it did not end in an upgrade
    unknown.record_process_end(5.0, in_upgrade=True)
    assert unknown.covers(11.9, is_retry=False, retries_are_marked=False)
    assert not unknown.covers(12.0, is_retry=False, retries_are_marked=False)
    assert not unknown.covers(5.1, is_retry=False)


def test_an_attempt_that_was_not_executed_releases_its_key_at_both_processes():
    executions, old, new = make_pair()
    old.link_to(new)
    new.request(KEYS[0], executions.now)
    deliver_all(old, new)
    new.ownership.release(new.running_attempts.pop(1))
    executions.by_key.clear()
    deliver_all(old, new)
    old.request(KEYS[0], executions.now)
    assert executions.by_key


@pytest.mark.parametrize("is_released_by_owner", [True, False])
def test_a_release_takes_effect_where_a_later_attempt_was_queued(is_released_by_owner):
    # Guards against a release that names the end of one process's window, while the other one's record ends later.
    executions, old, new = make_pair()
    old.link_to(new)
    runner, other = (old, new) if is_released_by_owner else (new, old)
    runner.request(KEYS[0], executions.now)
    other.queue(KEYS[0], 2, executions.now + 1)
    deliver_all(old, new)
    assert list(runner.running_attempts) == [1]
    runner.ownership.release(runner.running_attempts.pop(1))
    deliver_all(old, new)
    assert other.table.get(KEYS[0]) is None


class RandomUpgrade:
    """Simulation of an upgrade with random events; raises ``AssertionError`` if a key is executed twice."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.executions = Executions()
        self.processes = [Process(self.executions)]

    def run(self):
        """Run a random number of events and return the number of executions."""
        for _ in range(self.rng.randrange(20, 120)):
            self._run_random_event()
            for process in self.processes:
                process.check_states()
        return sum(len(times) for times in self.executions.by_key.values())

    def _run_random_event(self):
        rng = self.rng
        running = [process for process in self.processes if not process.killed]
        owner = running[0]
        draw = rng.random()
        process = rng.choice(running)
        if draw < 0.35:
            if process.ownership.role is not Role.SUSPENDED or rng.random() < 0.3:
                process.request(rng.choice(KEYS), self.executions.now)
        elif draw < 0.6:
            process.receive_next()
        elif draw < 0.75 and process.running_attempts:
            process.end_run(rng.choice(sorted(process.running_attempts)), rng.choice(["r", None]))
        elif draw < 0.8 and len(running) == 1:
            self.processes.append(Process(self.executions, Role.SUSPENDED))
            owner.link_to(self.processes[-1])
        elif draw < 0.85:
            self._toggle_blocked(process)
        elif draw < 0.93:
            self._advance_clock(running)
        elif draw < 0.96 and len(running) == 2 and rng.random() < 0.5:
            self._kill_one_of(running)
        elif len(running) == 2 and rng.random() < 0.3:  # only the link breaks, and may be made again
            cut_link(owner, running[1])
            if rng.random() < 0.7:
                owner.link_to(running[1])

    def _toggle_blocked(self, process):
        process.blocked = not process.blocked
        process.flush()
        if not process.unsent:
            process.ownership.on_flushed()

    def _advance_clock(self, running):
        self.executions.now += self.rng.choice([1.0, 100.0, 400.0, 3000.0])
        for process in running:
            if process.ownership.expire_claims(self.executions.now) and process.peer is not None:
                cut_link(process, process.peer)

    def _kill_one_of(self, running):
        """Kill a process; the messages that it sent still arrive."""
        victim, survivor = self.rng.sample(running, 2)
        victim.killed = True
        while survivor.inbox:
            survivor.receive_next()
        survivor.ownership.on_peer_lost(True, 0.0 if survivor.ownership.role is Role.OWNER else self.executions.now)
        survivor.peer = None
        survivor.inbox = []
        survivor.unsent = []


def cut_link(first, second):
    """Cut the link between two processes that both keep running."""
    for process in (first, second):
        process.inbox = []
        process.unsent = []
        process.ownership.on_peer_lost(peer_ended=False)
        process.peer = None
    first.ownership.on_peer_lost(peer_ended=first.ownership.role is Role.STANDALONE)


@pytest.mark.parametrize("block", range(4))
def test_no_key_is_executed_twice_in_its_window_despite_kills_cut_links_and_delays(block):
    seeds = range(block * 500, block * 500 + 500)
    print("seeds", seeds)
    executions = 0
    for seed in seeds:
        try:
            executions += RandomUpgrade(seed).run()
        except AssertionError as err:
            raise AssertionError(f"seed {seed}: {err}") from err
    assert executions > 500


def test_a_record_with_a_pending_claim_is_not_removed():
    executions, old, new = make_pair()
    old.link_to(new)
    new.request(KEYS[0], executions.now)
    record = new.table.get(KEYS[0])
    new.ownership.release(record)
    deliver_all(old, new)
    assert new.table.get(KEYS[0]) is record
    assert record.executed_attempt == 1


def test_unknown_outcomes_are_passed_on_with_the_keys():
    executions, old, new = make_pair()
    old.ownership.unknown_outcomes.record_process_end(executions.now)
    old.link_to(new)
    deliver_all(old, new)
    new.ownership.on_peer_lost(peer_ended=True)
    executions.last_attempt_at[KEYS[0]] = executions.now  # sent to a process that left no record
    new.request(KEYS[0], executions.now + 1)
    assert new.answers == {1: "failed"}
    assert not executions.by_key
    assert new.ownership.unknown_outcomes.covers(executions.now + 1, is_retry=False, retries_are_marked=False)


def test_a_late_snapshot_does_not_revert_a_later_announcement():
    executions, old, new = make_pair()
    old.link_to(new)
    old.request(KEYS[0], executions.now)
    old.end_run(1, "r")
    deliver_all(old, new)
    record = new.table.get(KEYS[0])
    new.ownership.receive(
        messages.RecordSnapshot(KEYS[0], record.expires_at_ms, record.request_digest, completed=False)
    )
    assert new.table.get(KEYS[0]).result == "r"
    assert new.table.get(KEYS[0]).completed
