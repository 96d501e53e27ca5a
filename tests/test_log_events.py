"""Checks that the host writes the log events that tests watch for, and that ONCALL.md documents each event."""

import ast
import re
from pathlib import Path

import pytest

from lapispick.fakes.log_events import INTERNAL_ERRORS, internal_errors

ROOT = Path(__file__).parent.parent
HOST = ROOT / "lapispick" / "host"
EVENT = re.compile(r"[a-z]+(-[a-z0-9]+)*")
SOURCE = "\n".join(path.read_text(encoding="utf-8") for path in sorted(HOST.rglob("*.py")))


@pytest.mark.parametrize("event", INTERNAL_ERRORS)
def test_the_host_writes_each_event_for_an_internal_error(event):
    assert f'"{event}"' in SOURCE


@pytest.mark.parametrize("event", INTERNAL_ERRORS)
def test_an_internal_error_is_found_in_a_log(event):
    assert internal_errors(f"ts=1 level=error event={event} in=serve\n") == [event]


def test_other_events_are_not_internal_errors():
    assert internal_errors("ts=1 level=warning event=connect-failed error=refused\n") == []


def _event_names(argument):
    """Return the event names that the event argument of a call of ``log`` contains as constants."""
    names = (node.value for node in ast.walk(argument) if isinstance(node, ast.Constant))
    return {name for name in names if isinstance(name, str) and EVENT.fullmatch(name)}


def _logged_events():
    """Return the events of all calls of ``log(logger, level, event, ...)`` in the program."""
    events = set()
    for path in sorted((ROOT / "lapispick").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "log" and len(node.args) >= 3:
                events |= _event_names(node.args[2])
    return events


def test_the_on_call_page_documents_each_event():
    events = _logged_events()
    page = (ROOT / "ONCALL.md").read_text(encoding="utf-8").partition("## Renamed events")[0]
    documented = set(re.findall(r"`([a-z0-9-]+)`", page))
    assert len(events) > 80
    assert events - documented == set()
