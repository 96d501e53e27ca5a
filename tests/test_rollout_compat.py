"""Compatibility of the formats of two generations, and digests and reloads of generations."""

import msgspec
import pytest

from benchmarks.rollout_model import GENERATIONS, OLD
from lapispick import versions
from lapispick.durable import database
from lapispick.handover import messages as handover_messages
from lapispick.rollout import compat, generations, messages


def formats(writes, oldest, newest):
    """Return the formats of a generation that writes and reads these versions of the format ``handover``."""
    return {"handover": compat.FormatSupport(writes, oldest, newest)}


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ((1, 1, 1), (1, 1, 2), []),
        ((1, 1, 2), (2, 1, 2), []),
        ((1, 1, 1), (2, 1, 2), ["first roll out one that reads 2"]),
        ((2, 1, 2), (2, 2, 3), []),
        ((1, 1, 1), (2, 2, 2), ["take a step between", "first roll out one that reads 2"]),
    ],
)
def test_a_change_is_allowed_if_each_generation_reads_what_the_other_writes(old, new, expected):
    reasons = compat.incompatibilities(formats(*old), formats(*new))
    assert len(reasons) == len(expected)
    for text, reason in zip(expected, reasons, strict=True):
        assert text in reason
    ours = formats(*old)["handover"]
    theirs = formats(*new)["handover"]
    assert (compat.common_version(ours, theirs) is not None) or reasons


def test_reported_format_versions_match_those_of_the_modules():
    reported = compat.parse_formats(versions.FORMATS)
    assert reported["handover"].writes == handover_messages.VERSION
    assert reported["durable"].writes == database.SCHEMA_VERSION
    assert reported["agent"].writes == messages.VERSION
    for invalid_formats in ({"x": (2, 1, 1)}, {"x": "1"}, {"x": (1, 1)}):
        with pytest.raises(ValueError):
            compat.parse_formats(invalid_formats)


def test_digest_covers_names_and_contents_and_reload_requires_that_sighup_applies_all_differences():
    digest = generations.files_digest([("a", b"x"), ("b", b"y")])
    assert generations.files_digest([("b", b"y"), ("a", b"x")]) == digest
    assert generations.files_digest([("a", b"xb"), ("", b"y")]) != digest
    old = GENERATIONS[OLD]
    other_stop_time = msgspec.structs.replace(old, config={"stop_ms": 9})
    assert generations.can_reload(old, other_stop_time)
    assert not generations.can_reload(old, old)
    assert not generations.can_reload(old, msgspec.structs.replace(other_stop_time, settings_digest="z"))
    assert not generations.can_reload(old, msgspec.structs.replace(old, config={"stop_ms": 9, "later": 1}))
    assert generations.config_faults({"listen": "x", "stop_ms": 1}) == [
        "listen: is the box's own, no generation sets it"
    ]
