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
    """Return a function that starts a worker host, as ``successor_of`` an earlier one or alone, until the test ends."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    started = []

    def start(successor_of=None, **over):
        process = successor_of.start_successor(**over) if successor_of else HostProcess(tmp_path, **over)
        started.append(process)
        return process

    yield start
    for process in started:
        process.close()
        process.check_log()


@pytest.fixture
def shared_address():
    """Return a function that reserves a port for processes that share it, and returns it as an address."""
    with contextlib.ExitStack() as stack:
        yield lambda: stack.enter_context(reserved_address())
