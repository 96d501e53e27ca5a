"""Fixtures that several test modules share: a controller's harness, worker hosts as processes, addresses."""

import contextlib

import pytest

from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.ports import reserved_address
from tests.controller_harness import ControllerHarness


@pytest.fixture
def make_harness():
    """Return the class of a controller with a record of its actions; its settings are keyword arguments."""
    return ControllerHarness


@pytest.fixture
def host(tmp_path, monkeypatch):
    """Start worker hosts that are ended with the test; as the ``successor_of`` an earlier one, or by themselves."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    started = []

    def start(successor_of=None, **over):
        process = successor_of.start_successor(**over) if successor_of else HostProcess(tmp_path, **over)
        started.append(process)
        return process

    yield start
    for each in started:
        each.close()
        each.check_log()


@pytest.fixture
def shared_address():
    """Return what reserves a port for processes that share it, as an address of the start settings."""
    with contextlib.ExitStack() as stack:
        yield lambda: stack.enter_context(reserved_address())
