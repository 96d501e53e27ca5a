"""Tests of the demo: both fronts answer all requests, and the summary counts their outcomes."""

import json
import subprocess
import sys

import pytest


@pytest.mark.parametrize("options", [[], ["--load", "3", "--seconds", "1.5"]])
def test_the_demo_answers_all_requests_of_both_fronts_and_executes_none_twice(options):
    process = subprocess.run(
        [sys.executable, "-m", "lapispick", "demo", "--json", *options], capture_output=True, text=True, timeout=60
    )
    summary = json.loads(process.stdout)
    assert process.returncode == 0
    assert summary["doubles"] == 0
    assert {outcome["front"] for outcome in summary["outcomes"]} == {"amqp", "json-rpc"}
    assert not any(outcome["unanswered"] for outcome in summary["outcomes"])
