"""Decisions of an agent for its host and its answers to controllers, also if the agent crashes at any time."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.rollout_model import GENERATIONS, NEW, OLD, SimulatedHost
from lapispick.rollout import host_calls, host_state, host_step, messages
from lapispick.rollout.host_actions import Kill, Reload, Start, Terminate
from lapispick.rollout.host_state import HostPhase, HostProcess, HostState, Observation, Role, Timeouts
from lapispick.rollout.messages import Change, Confirm, Fence, RollBack


def run_agent(host, begin, end):
    """Let the agent decide and act once a second, from ``begin`` until before ``end``."""
    for second in range(begin, end):
        host.step(float(second))


def call_agent(host, call, now):
    """Let the agent handle a call, and return the answer."""
    host.state, answer = host_calls.handle_call(host.state, call, now, host.observe(now))
    return answer


def unconfirmed_host(rollout="r1"):
    """Return a host that serves an unconfirmed change."""
    host = SimulatedHost("x", random.Random(1))
    run_agent(host, 0, 6)
    assert call_agent(host, Change(Fence(1, "a"), rollout, NEW, 10.0), 6.0) == "OK"
    run_agent(host, 6, 12)
    assert host.state.phase == HostPhase.UNCONFIRMED
    return host


def test_a_rolled_back_rollout_is_rejected_afterwards_and_another_one_is_not():
    host = unconfirmed_host()
    fence = Fence(1, "a")
    assert call_agent(host, RollBack(fence, "r1"), 12.0) == "OK"
    run_agent(host, 12, 20)
    assert host.state.phase == HostPhase.STEADY
    assert host.serving(20.0)[0] == OLD
    assert call_agent(host, Change(fence, "r1", NEW, 9.0), 20.0) == "ERR undone: called back"
    assert call_agent(host, Confirm(fence, "r1"), 20.0).startswith("ERR undone")
    assert call_agent(host, Change(fence, "r2", NEW, 9.0), 20.0) == "OK"


def test_a_confirmation_is_accepted_only_in_time_and_while_the_host_accepts_clients():
    host = unconfirmed_host()
    fence = Fence(1, "a")
    deadline = host.state.confirm_deadline
    assert call_agent(host, Confirm(fence, "r2"), 12.0) == "ERR another rollout"
    assert call_agent(host, Confirm(fence, "r1"), deadline) == "ERR too late: it is undone now"
    number = host.state.process(Role.SERVING).number
    host.processes[number] = (NEW, 1e9)
    assert call_agent(host, Confirm(fence, "r1"), 12.0) == "ERR it takes no clients"
    host.processes[number] = (NEW, 0.0)
    assert call_agent(host, Confirm(fence, "r1"), 12.0) == "OK"
    assert host.state.good == NEW
    assert host.state.previous == OLD


def test_an_agent_that_crashed_between_its_decision_and_the_start_repeats_the_start():
    host = SimulatedHost("x", random.Random(1))
    run_agent(host, 0, 6)
    assert call_agent(host, Change(Fence(1, "a"), "r1", NEW, 9.0), 6.0) == "OK"
    state, actions = host_step.decide(host.state, 6.0, host.observe(6.0), Timeouts())
    (start,) = actions
    # The first decision was stored, but its actions were not carried out.
    repeated_state, actions = host_step.decide(state, 6.5, host.observe(6.5), Timeouts())
    assert actions == [start]
    assert repeated_state == state
    assert start.process.generation == NEW


def test_a_change_whose_process_ends_unconfirmed_is_rolled_back_and_unknown_processes_are_killed():
    host = unconfirmed_host()
    host.processes.clear()
    state, _ = host_step.decide(host.state, 12.0, host.observe(12.0), Timeouts())
    assert state.phase == HostPhase.ROLLING_BACK
    assert "ended" in state.fault
    host = unconfirmed_host()
    host.processes[99] = (NEW, 0.0)  # removed from the state before the agent crashed
    _, actions = host_step.decide(host.state, 12.0, host.observe(12.0), Timeouts())
    assert Kill(99) in actions


def test_a_process_that_drains_too_slowly_or_hangs_without_a_successor_is_killed():
    host = SimulatedHost("x", random.Random(1))
    host.failing_generations = {OLD}
    host.step(0.0)
    host.step(1.0)
    _, actions = host_step.decide(
        host.state, 1.0 + host_step.HUNG_AFTER_START_TIMEOUTS * Timeouts().start_s, host.observe(1.0), Timeouts()
    )
    assert Kill(1) in actions
    host = unconfirmed_host()
    host.state.processes.append(HostProcess(50, OLD, 0, Role.DRAINING, 0, 11.0, True, True))
    host.processes[50] = (OLD, 0.0)
    for now, expected in ((12.0, Terminate(50)), (11.0 + Timeouts().stop_s, Kill(50))):
        assert expected in host_step.decide(host.state, now, host.observe(now), Timeouts())[1]


class RandomHost:
    """Host under random calls and crashes of its agent and processes; records requested and confirmed generations."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.host = SimulatedHost("x", random.Random(seed))
        self.requested = {OLD}
        self.confirmed = {OLD}

    def decide(self):
        """Decide, keep the new state, and return the actions."""
        host = self.host
        host.state, actions = host_step.decide(host.state, self.now, host.observe(self.now), Timeouts())
        return actions

    def step(self, makes_calls):
        """Advance the time and decide; the agent may crash after any action, and a process may be killed."""
        host = self.host
        self.now += self.rng.choice((0.1, 0.1, 0.5, 3.0))
        actions = self.decide()
        for action in actions[: self.rng.choice((0, 1, 9, 9, 9))]:
            host.act(action, self.now)
        if self.rng.random() < 0.03 and host.processes:
            host.processes.pop(self.rng.choice(list(host.processes)))
        if self.rng.random() < 0.1 and makes_calls:
            self._make_random_call()

    def _make_random_call(self):
        rng = self.rng
        fence = Fence(rng.randrange(3), rng.choice("ab"))
        rollout = f"r{rng.randrange(3)}"
        change = Change(fence, rollout, rng.choice((OLD, NEW)), 5.0, rng.random() < 0.3)
        call = rng.choice((change, Confirm(fence, rollout), RollBack(fence, rollout)))
        state_before = self.host.state
        answer = call_agent(self.host, call, self.now)
        assert messages.decode_call(messages.encode_call(call)) == call
        if answer.startswith("ERR fenced"):
            assert self.host.state == state_before
        elif isinstance(call, Change) and answer == "OK":
            self.requested.add(call.generation)
        elif isinstance(call, Confirm) and answer == "OK":
            self.confirmed.add(self.host.state.good)

    def settle(self):
        """Let 50 s pass without calls or crashes."""
        for _ in range(100):
            self.now += 0.5
            for action in self.decide():
                self.host.act(action, self.now)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10**9))
def test_a_host_settles_on_one_requested_generation_after_random_crashes(seed):
    random_host = RandomHost(seed)
    host = random_host.host
    for step in range(300):
        random_host.step(makes_calls=step < 200)
        assert host.state.fence.epoch >= 0
        assert len(host.state.processes) <= host_state.SLOT_COUNT
        running = {process.number for process in host.state.processes if process.role != Role.DRAINING}
        assert len(running) <= 2
        assert len({process.slot for process in host.state.processes}) == len(host.state.processes)
    random_host.settle()
    assert host.state.phase == HostPhase.STEADY, (seed, host.state)
    assert [generation for generation, _ in host.processes.values()] == [host.state.good]
    assert host.state.good in random_host.requested & random_host.confirmed
    assert msgspec.json.decode(msgspec.json.encode(host.state), type=HostState) == host.state


def test_a_rollback_retries_a_failed_start_and_waits_for_a_missing_generation():
    host = unconfirmed_host()
    assert call_agent(host, RollBack(Fence(1, "a"), "r1"), 12.0) == "OK"
    host.step(12.0)
    host.processes.pop(host.state.process(Role.STARTING).number)  # killed by something other than the agent
    host.step(12.2)
    assert host.state.phase == HostPhase.ROLLING_BACK
    assert host.serving(12.2)[0] == NEW
    run_agent(host, 13, 30)
    assert host.state.phase == HostPhase.STEADY
    assert host.serving(30.0)[0] == OLD
    host = unconfirmed_host()
    state, _ = host_calls.handle_call(host.state, RollBack(Fence(1, "a"), "r1"), 12.0, host.observe(12.0))
    state, _ = host_step.decide(
        state, 12.0, host.observe(12.0)._replace(generations={NEW: GENERATIONS[NEW]}), Timeouts()
    )
    assert state.phase == HostPhase.STUCK
    assert "gone from the shelf" in state.fault
    state, _ = host_step.decide(state, 13.0, host.observe(13.0), Timeouts())
    assert state.phase == HostPhase.ROLLING_BACK
    assert state.process(Role.STARTING).generation == OLD


def test_a_reboot_before_the_confirmation_rolls_the_change_back():
    host = SimulatedHost("x", random.Random(1))
    run_agent(host, 0, 10)
    assert call_agent(host, Change(Fence(1, "a"), "r1", NEW, 100.0), 10.0) == "OK"
    run_agent(host, 10, 20)
    assert host.state.phase == HostPhase.UNCONFIRMED
    assert host.serving(20.0)[0] == NEW
    host.processes.clear()
    state, _ = host_step.decide(host.state, 0.5, Observation(frozenset(), frozenset(), GENERATIONS, "2"), Timeouts())
    assert state.target == OLD
    assert "before the change was confirmed" in state.fault
    assert state.processes[0].generation == OLD


@pytest.mark.parametrize(
    ("current", "requested", "is_accepted"),
    [
        ((0, ""), (1, "a"), True),
        ((7, "a"), (7, "a"), True),
        ((7, "a"), (8, "b"), True),
        ((7, "a"), (7, "b"), False),
        ((7, "a"), (6, "a"), False),
        ((0, ""), (0, "a"), False),
    ],
)
def test_only_the_newest_fence_is_accepted_and_an_epoch_has_one_controller(current, requested, is_accepted):
    assert messages.is_fence_accepted(Fence(*current), Fence(*requested)) is is_accepted
    state = HostState("x", good=OLD, epoch=current[0], controller=current[1])
    new_state, answer = host_calls.handle_call(
        state, messages.TakeControl(Fence(*requested)), 0.0, Observation(frozenset(), frozenset(), GENERATIONS)
    )
    assert answer.startswith("OK" if is_accepted else "ERR fenced")
    assert (new_state.fence == Fence(*requested)) is is_accepted


def test_a_starting_process_is_never_reloaded():
    host = SimulatedHost("x", random.Random(1))
    host.step(1.0)
    call = Change(Fence(1, "a"), "r1", NEW, 9.0)
    assert host_calls.handle_call(host.state, call, 1.0, host.observe(1.0)).answer == "ERR nothing serves here"
    reloadable = msgspec.structs.replace(
        GENERATIONS[NEW], program_digest=OLD, settings_digest="", config={"stop_ms": 9}
    )
    generations = {OLD: GENERATIONS[OLD], NEW: reloadable}
    for has_accepted, action_type in ((True, Reload), (False, Start)):
        state = host_state.copy_of(host.state)
        state.phase = HostPhase.CHANGING
        state.target = NEW
        state.change = 1
        state.processes[0].has_accepted = has_accepted
        _, actions = host_step.decide(
            state, 2.0, Observation(frozenset([1]), frozenset(), generations, "1"), Timeouts()
        )
        assert [type(action) for action in actions] == [action_type]
