"""The behaviour of commands when their peer closes the connection, or their output pipe is closed."""

import os
import subprocess
import sys

import pytest
from click.testing import CliRunner

from lapispick.cli.main import cli


@pytest.mark.parametrize(
    ("patched_function", "command"),
    [
        ("lapispick.fakes.connection_pool.ConnectionPool.send_request", ["demo", "--seconds", "0.5"]),
        ("lapispick.cli.ops.call", ["ops", "check", "--at", "127.0.0.1:1"]),
    ],
)
def test_a_connection_closed_by_its_peer_is_reported(monkeypatch, patched_function, command):
    def raise_broken_pipe(*_, **__):
        raise BrokenPipeError(32, "Broken pipe")

    monkeypatch.setattr(patched_function, raise_broken_pipe)
    result = CliRunner().invoke(cli, command)
    assert result.exit_code == 1
    assert "Broken pipe" in result.stderr


@pytest.mark.parametrize("unbuffered", ["", "1"])
def test_a_closed_output_pipe_is_not_reported(unbuffered):
    process = subprocess.Popen(
        [sys.executable, "-m", "lapispick", "config", "show"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": unbuffered},
    )
    process.stdout.close()
    assert process.stderr.read() == b""
    assert process.wait(20) == 1
    process.stderr.close()
