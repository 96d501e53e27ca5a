"""Rejects JSON lines that are not a valid part of a trace."""

import pytest

from lapispick.trace import lines


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"{", "line 7"),
        (b'{"now": "x"}', "line 7: Expected `float`"),
        (b'{"now": 1, "events": [{"record": "Run", "id": 1}]}', "expected a record type of the events, got 'Run'"),
        (b'{"now": 1, "actions": [{"record": "Run"}]}', "line 7: 'id'"),
        (b'{"now": 1, "actions": [{"record": "Run", "id": 1, "x": 2}]}', "unknown field 'x' of Run"),
        (b'{"now": 1, "events": [{"record": "RunEnded", "id": 1, "outcome": "GOOD", "took": 1}]}', "GOOD"),
        (b'{"now": 1, "notes": [{"record": "Arrival", "id": 1, "account": "a", "subject": "?", "born": 1}]}', "line 7"),
    ],
)
def test_invalid_lines_are_rejected_with_their_number_and_reason(line, reason):
    with pytest.raises(lines.TraceLineError, match=reason):
        lines.decode_step(line, 7)
