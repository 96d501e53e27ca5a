"""The log events that tests watch for are those that the host writes."""

from pathlib import Path

import pytest

from lapispick.fakes.log_events import INTERNAL_ERRORS, internal_errors

HOST = Path(__file__).parent.parent / "lapispick" / "host"
SOURCE = "\n".join(path.read_text(encoding="utf-8") for path in sorted(HOST.rglob("*.py")))


@pytest.mark.parametrize("event", INTERNAL_ERRORS)
def test_the_host_writes_each_event_for_an_internal_error(event):
    assert f'"{event}"' in SOURCE


@pytest.mark.parametrize("event", INTERNAL_ERRORS)
def test_an_internal_error_is_found_in_a_log(event):
    assert internal_errors(f"ts=1 level=error event={event} in=serve\n") == [event]


def test_other_events_are_no_internal_error():
    assert internal_errors("ts=1 level=warning event=connect-failed error=refused\n") == []
