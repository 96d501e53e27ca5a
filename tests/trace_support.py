"""Steps, headers and commands shared by the tests of traces."""

import msgspec
from click.testing import CliRunner

from lapispick import admission
from lapispick.cli.main import cli
from lapispick.trace import files
from lapispick.trace.record_types import Answered, Arrival, Step
from tests.controller_harness import make_settings

PSEUDONYM_KEY = bytes(range(20))
CLASS_NAMES = ["track", "book", "job", "quote"]  # of ``make_settings``


def class_name(source_index, class_index):
    return CLASS_NAMES[class_index]


def make_header(host="a", incarnation="1", **overrides):
    fields = dict(
        box=host,
        incarnation=incarnation,
        classes=CLASS_NAMES,
        accounts=["shop", "bar"],
        settings=msgspec.json.encode(make_settings()),
    )
    return files.make_header(**{**fields, **overrides})


def make_request(number, class_index=0, retry_of=0, age=0.0):
    return admission.RequestReceived(number, 0.0, 0.5, age, retry_of, 0.0, 10.0, class_index, 1)


def request_step(now, number, class_index=0, retry_of=0, account="shop", age=0.0, subject=b"", source_index=0):
    request = make_request(number, class_index, retry_of, age)
    return Step(now, (request,), (), (Arrival(number, account, subject, now - age),), source_index)


def answer_step(now, number, kind="served", source_index=0):
    return Step(now, (), (), (Answered(number, kind, 0.0),), source_index)


def start_step(number, now, source_index=0):
    return Step(now, (), (admission.StartRun(number),), (), source_index)


def mixed_steps():
    """Return steps of four requests: two served, one rejected, one unanswered."""
    return [
        request_step(0, 1),
        start_step(1, 10),
        request_step(100, 2, 1, account="bar"),
        answer_step(150, 1),
        start_step(2, 200),
        request_step(300, 3),
        Step(310, (), (admission.Advertise(0.5),)),
        answer_step(320, 3, "refused"),
        answer_step(400, 2),
        request_step(500, 4),
    ]


def read_blocks(path):
    """Return the steps of all blocks, and the closed reader."""
    with files.TraceReader(path) as reader:
        return [step for location in reader.blocks for step in reader.read_steps(location)], reader


def read_steps(path):
    with files.TraceReader(path) as reader:
        return list(reader.steps())


def run_trace_command(*arguments, exit_code=0):
    """Run a trace command and return its output."""
    result = CliRunner().invoke(cli, ["trace", *map(str, arguments)])
    assert result.exit_code == exit_code, result.output
    return result.stdout + result.stderr
