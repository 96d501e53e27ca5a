"""What commands do when the other end of a connection or a pipe is closed."""

import os
import subprocess
import sys

import pytest
from click.testing import CliRunner

from lapispick.cli.main import cli


@pytest.mark.parametrize(
    ("broken", "command"),
    [
        ("lapispick.fakes.connection_pool.ConnectionPool.send_request", ["demo", "--seconds", "0.5"]),
        ("lapispick.cli.ops.call", ["ops", "check", "--at", "127.0.0.1:1"]),
    ],
)
def test_a_connection_closed_by_its_peer_is_reported(monkeypatch, broken, command):
    def hang_up(*_, **__):
        raise BrokenPipeError(32, "Broken pipe")

    monkeypatch.setattr(broken, hang_up)
    result = CliRunner().invoke(cli, command)
    assert result.exit_code == 1
    assert "Broken pipe" in result.stderr


@pytest.mark.parametrize("unbuffered", ["", "1"])
def test_a_closed_pipe_of_the_output_is_not_reported(unbuffered):
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
