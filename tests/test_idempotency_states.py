"""Tests of the state machine of an idempotency key, and of the records in memory that follow it."""

import itertools

import pytest

from lapispick.idempotency.states import InvalidTransitionError, KeyEvent, KeyState, next_state
from lapispick.idempotency.table import EXECUTED_BY_PEER, IdempotencyTable

ALLOWED = {
    (KeyState.INTENDED, KeyEvent.START): KeyState.STARTED,
    (KeyState.INTENDED, KeyEvent.WITHDRAW): KeyState.RELEASED,
    (KeyState.INTENDED, KeyEvent.LOSE_OUTCOME): KeyState.OUTCOME_UNKNOWN,
    (KeyState.STARTED, KeyEvent.COMPLETE): KeyState.COMPLETED,
    (KeyState.STARTED, KeyEvent.FAIL): KeyState.FAILED,
    (KeyState.STARTED, KeyEvent.NOT_EXECUTED): KeyState.RELEASED,
    (KeyState.STARTED, KeyEvent.LOSE_OUTCOME): KeyState.OUTCOME_UNKNOWN,
    (KeyState.OUTCOME_UNKNOWN, KeyEvent.RESOLVE): KeyState.COMPLETED,
}
PAIRS = list(itertools.product(KeyState, KeyEvent))
EXPIRES_AT_MS = 5000.0
REQUEST_DIGEST = 77


@pytest.fixture
def table():
    """Return a table without records."""
    return IdempotencyTable()


def record_in(table, state):
    """Add a record in this state to the table and return it."""
    record = table.retain("key", 1, 0.0, EXPIRES_AT_MS, REQUEST_DIGEST)
    record.state = state
    return record


@pytest.mark.parametrize(("state", "event"), ALLOWED)
def test_an_allowed_event_leads_to_the_next_state(state, event):
    assert next_state(state, event) is ALLOWED[state, event]


@pytest.mark.parametrize(("state", "event"), [pair for pair in PAIRS if pair not in ALLOWED])
def test_only_the_listed_events_change_a_state(state, event):
    with pytest.raises(InvalidTransitionError) as raised:
        next_state(state, event)
    assert raised.value.state is state
    assert raised.value.event is event


@pytest.mark.parametrize(("state", "event"), PAIRS)
def test_a_record_ignores_events_that_its_state_does_not_allow(table, state, event):
    record = record_in(table, state)
    record.apply(event)
    assert record.state is ALLOWED.get((state, event), state)


def test_an_execution_with_a_result_completes_its_record(table):
    record = record_in(table, KeyState.INTENDED)
    record.waiters.append("waiter")
    record.mark_started(1, EXPIRES_AT_MS)
    assert not record.completed
    assert table.complete(record, "result") == ["waiter"]
    assert record.state is KeyState.COMPLETED
    assert record.result == "result"


def test_a_record_whose_result_is_evicted_stays_completed(table):
    record = record_in(table, KeyState.INTENDED)
    record.mark_started(EXECUTED_BY_PEER, EXPIRES_AT_MS)
    table.complete(record, "result")
    table.max_result_bytes = 0
    table.trim()
    assert record.result is None
    assert record.state is KeyState.COMPLETED
    assert table.get("key") is record


@pytest.mark.parametrize("state", [KeyState.INTENDED, KeyState.STARTED])
def test_a_record_that_is_removed_before_completion_is_released_and_stays_released(table, state):
    record = record_in(table, state)
    record.waiters.append("waiter")
    assert table.remove(record) == ["waiter"]
    assert record.state is KeyState.RELEASED
    record.mark_started(2, EXPIRES_AT_MS)
    assert record.state is KeyState.RELEASED
    assert record.completed
    assert table.complete(record, "late") == []
    assert record.result is None


def test_only_records_that_are_not_being_executed_expire(table):
    record = record_in(table, KeyState.INTENDED)
    assert table.expired(EXPIRES_AT_MS + 1) == [record]
    record.mark_started(1, EXPIRES_AT_MS)
    assert table.expired(EXPIRES_AT_MS + 1) == []
    table.complete(record, None)
    assert table.expired(EXPIRES_AT_MS) == []
    assert table.expired(EXPIRES_AT_MS + 1) == [record]
