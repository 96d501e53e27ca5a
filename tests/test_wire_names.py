"""Tests of the names that leave the program: protocols, settings, metrics, JSON output, values in stored states.

``tests/data/wire_names.json`` lists these names by protocol or format. The tables below map its keys to the code. A
rename of a class, function or constant in Python changes these tables and not the list.
"""

import base64
import json
import re
import socket
import sqlite3
import time
import tomllib
from pathlib import Path
from types import SimpleNamespace
from typing import get_args

import click
import msgspec
import pytest
from click.testing import CliRunner

from lapispick import admission, platform_settings, versions
from lapispick.admission import Outcome
from lapispick.agent import rollout_records, stage_analysis
from lapispick.agent import service as agent_service
from lapispick.cli.main import HIDDEN_ALIASES
from lapispick.cli.main import cli as command_line
from lapispick.conf import settings as operator_settings
from lapispick.fleet import acceptance, last_good
from lapispick.fleet import messages as inventory_messages
from lapispick.handover import messages as handover_messages
from lapispick.host import assembly, events, executor, extended_metrics, metrics, ops, registry, scheduler, store
from lapispick.host import config as host_config
from lapispick.host.handover import key_lock
from lapispick.host.handover.handshake import HostIdentity
from lapispick.host.handover.service import Handover
from lapispick.host.jsonrpc import connection as jsonrpc_connection
from lapispick.host.jsonrpc import messages as jsonrpc_messages
from lapispick.host.members import process_epoch
from lapispick.host.members import reports as member_reports
from lapispick.host.requests import Answer, AnswerKind
from lapispick.members import leases, member_state
from lapispick.members import messages as member_messages
from lapispick.rollout import canary_analysis, rollout_plan, rollout_state
from lapispick.rollout import host_state as agent_state
from lapispick.rollout import messages as agent_messages
from lapispick.rollout.generations import Generation
from lapispick.simulator import adapter, codec
from lapispick.trace import helper as trace_writer
from lapispick.trace import lines as trace_text
from lapispick.trace import record_types
from lapispick.trace import schema as trace_schema
from lapispick.trace.block_reader import decode_block
from lapispick.trace.block_writer import encode_block
from lapispick.trace.text_names import outcome_name

ROOT = Path(__file__).parent.parent
STORED = json.loads((Path(__file__).parent / "data" / "wire_names.json").read_text())
SAMPLES = Path(__file__).parent / "data" / "stored"

# Protocol -> union of its messages, each of which has a tag.
TAGGED = {
    "handover": handover_messages.AnyMessage,
    "members": member_messages.AnyMessage,
    "inventory, to the helper": inventory_messages.ToHelper,
    "inventory, from the helper": inventory_messages.FromHelper,
    "votes on turns": leases.LeaseProposal | leases.LeaseVote | leases.LeaseRelease,
}

# Object that is encoded without a tag -> its class.
UNTAGGED = {
    "platform, message": jsonrpc_messages.Message,
    "platform, parameters": jsonrpc_messages.Params,
    "executor, notice": executor.Notice,
    "platform's configuration": host_config.Config,
    "platform's configuration, limits": host_config.Limits,
    "start settings": platform_settings.StartSettings,
    "start settings, family": platform_settings.HostProperties,
    "start settings, bounds": platform_settings.RetryAfterSettings,
    "start settings, guarantees": platform_settings.PlatformGuarantees,
    "start settings, class": platform_settings.RequestClass,
    "start settings, tenant": platform_settings.Tenant,
    "start settings, callers": platform_settings.CallerProperties,
    "module's settings": admission.Settings,
    "module's settings, class": admission.ClassSettings,
    "agent, status": agent_messages.Status,
    "agent, stored state": agent_state.HostState,
    "agent, stored process": agent_state.HostProcess,
    "generation": Generation,
    "rollout": rollout_state.RolloutState,
    "rollout, plan": rollout_plan.Plan,
    "inventory, head of the last good list": last_good.Header,
    "inventory, line of the history": last_good.HistoryEntry,
    "trace, start of the writer": trace_writer.WriterOptions,
    "operators, view of members": member_reports.ViewInfo,
    "operators, one member": member_reports.MemberInfo,
    "operators, one turn": member_reports.LeaseInfo,
}

# Kind of values in messages and stored states -> function that returns these values from the code.
VALUES = {
    "phases of an agent": lambda: list(agent_state.HostPhase),
    "roles of a process": lambda: list(agent_state.Role),
    "phases of a rollout": lambda: list(rollout_state.Phase),
    "phases after which a rollout is over": lambda: sorted(rollout_state.FINAL_PHASES),
    "outcomes of the judge": lambda: [outcome.value for outcome in canary_analysis.Outcome],
    "states of a member": lambda: {name: int(state) for state, name in member_state.STATE_NAMES.items()},
    "phases of an inventory": lambda: [phase.value for phase in acceptance.Phase],
    "effects of a class": lambda: list(platform_settings.IDEMPOTENCY),
    "ways to halt": lambda: list(platform_settings.CANCEL_MODES),
    "ways to advertise": lambda: list(platform_settings.BACKPRESSURE_SIGNALS),
    "effects, in the module's settings": lambda: [idempotency.value for idempotency in admission.Idempotency],
    "ways to halt, in the module's settings": lambda: [mode.value for mode in admission.CancelMode],
    "ways to advertise, in the module's settings": lambda: [signal.value for signal in admission.BackpressureSignal],
    "outcomes of a run or call": lambda: {outcome_name(outcome): int(outcome) for outcome in admission.Outcome},
    "kinds of an answer, in traces": lambda: [AnswerKind.SERVED, AnswerKind.REJECTED, AnswerKind.FAILED],
    "ends of a run": lambda: {name: int(outcome) for name, outcome in executor.RUN_OUTCOMES.items()},
    "formats and their versions": lambda: {name: list(support) for name, support in versions.FORMATS.items()},
    "words in the lock of a hand-over": lambda: [key_lock.SERVING.decode(), key_lock.ENDED.decode()],
    "file with the number of a life": lambda: process_epoch.FILE_NAME,
    "host's calls that an agent passes on": lambda: list(agent_service.FORWARDED_CALLS),
}

# Event of the simulator -> (code, class of the decoded event; None for events that start or end an instance).
EVENTS = {
    "run over": (codec.RUN_OVER, admission.RunCompleted),
    "born": (codec.BORN, None),
    "blocked": (codec.BLOCKED, admission.CallRequested),
    "hang-up": (codec.HANGUP, admission.ClientCancelled),
    "knock": (codec.KNOCK, admission.RequestReceived),
    "came back": (codec.CAME_BACK, admission.CallCompleted),
    "kill": (codec.KILL, None),
    "deadline hit": (codec.DEADLINE_HIT, admission.TimerFired),
    "terminate soon": (codec.TERMINATE_SOON, admission.ShutdownRequested),
}

# Action of the simulator -> (code, an example whose fields have different values).
ACTIONS = {
    "dispatch": (codec.DISPATCH, admission.StartRun(7)),
    "pin": (codec.PIN, admission.RetainKey(7, 2.5)),
    "invoke": (codec.INVOKE, admission.StartCall(7, 2.5)),
    "say": (codec.SAY, admission.Advertise(2.5)),
    "join": (codec.JOIN, admission.Coalesce(7)),
    "emit": (codec.EMIT, admission.Log("text")),
    "yank": (codec.YANK, admission.CancelRun(7)),
    "idle limit": (codec.IDLE_LIMIT, admission.SetIdleTimeout(2.5)),
    "say no": (codec.SAY_NO, admission.Reject(7, 2.5, True, "ground")),
    "go on": (codec.GO_ON, admission.SkipCall(7)),
    "release key": (codec.RELEASE_KEY, admission.ReleaseKey(7)),
    "mark health": (codec.MARK_HEALTH, admission.SetHealth(True, False)),
    "arm": (codec.ARM, admission.SetTimer(2.5, 7)),
    "report failure": (codec.REPORT_FAILURE, admission.Fail(7)),
}


class StopError(Exception):
    """Ends a service loop that would not return."""


def stop(*_):
    raise StopError


class FakeStream:
    """Connection that reads the given lines, calls the functions between them, and records the written data."""

    closed = failed = eof_received = closing = discarding = False
    unsent_bytes = unread_bytes = 0

    def __init__(self, *inputs):
        self.inputs, self.written = list(inputs), []
        self.loop = FakeLoop()

    def read_line(self, timeout=None):
        while self.inputs:
            item = self.inputs.pop(0)
            if isinstance(item, bytes):
                return item
            item()
        return None

    def read_exactly(self, size, timeout=None):
        return self.inputs.pop(0)

    def write(self, data):
        self.written.append(data)

    def has_line(self):
        return False

    def is_idle(self):
        return False

    def reset(self):
        pass

    def close_gracefully(self, span=0.0):
        pass

    def close(self):
        pass


class FakeLoop:
    """Event loop that runs spawned functions immediately, ignores timers, and raises ``StopError`` on every wait."""

    max_unsent_bytes = 1 << 20
    suspend = sleep = staticmethod(stop)

    def spawn(self, function, *arguments):
        function(*arguments)

    def call_later(self, span, function, *arguments):
        pass

    def active_time(self):
        return time.monotonic()


def decode_lines(written):
    return [json.loads(line) for line in b"".join(written).splitlines()]


def encoded_names(struct_type):
    return list(struct_type.__struct_encode_fields__)


def shape(value):
    """Return a JSON value with each scalar replaced by the name of its type, and lists cut to one element."""
    if isinstance(value, dict):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, list):
        return [shape(value[0])] if value else []
    return type(value).__name__


def start_settings():
    return json.loads((SAMPLES / "host-config.json").read_text())["settings"]


# Names that are read and written without a struct.


def platform_answers():
    """Send a message for each occasion, and return the lines that the connection writes."""
    info = msgspec.convert(start_settings(), platform_settings.StartSettings)
    context = jsonrpc_connection.ConnectionContext(
        loop=FakeLoop(),
        post=None,
        backpressure=lambda: 2.5,
        class_indexes={"book": 0},
        classes=platform_settings.admission_settings(info).classes,
        tenants={"acme"},
        needs_timeout=True,
        retries_are_marked=True,
        on_closed=lambda connection: None,
    )
    answers = {}

    def exchange(occasion, method, respond=None, **message):
        params = {
            "trace": "0123456789abcdef",
            "born": time.time() * 1000,
            "client": 3,
            "customer": "acme",
            "patience": 500.0,
            "redo": 1,
            "size": 2.0,
            "order": 0.5,
            "nonce": "ab" * 16,
            "doc": "eA==",
            **message.pop("params", {}),
        }
        line = {"jsonrpc": "2.0", "id": 5, "method": method, "params": params, **message}
        posted, stream = [], FakeStream(json.dumps(line).encode())
        context.post = posted.append
        connection = jsonrpc_connection.Connection(context, stream)
        connection.serve()
        respond(connection, posted[0])
        answers[occasion] = decode_lines(stream.written)

    def answer(*values):
        return lambda connection, item: item.request.reply(Answer(*values))

    exchange("served", "book", answer(AnswerKind.SERVED, "eA==", 0.0, False, 1.5))
    exchange("failed", "book", answer(AnswerKind.FAILED, None, 0.0, False, 1.5))
    exchange("refused", "book", answer(AnswerKind.REJECTED, None, 20.0, True, 1.5))
    exchange("fault of the peer", "book", answer(AnswerKind.FAILED, None, 0.0, False, 1.5, "a fault"))
    exchange("health", "probe", lambda connection, item: item.reply(True, 1.5), params={"thorough": True})
    exchange("leave", "probe", lambda connection, item: connection.send_goaway())
    give_up = json.dumps({"jsonrpc": "2.0", "method": "giveUp", "params": {"id": 5}}).encode()
    exchange("given up", "book", lambda connection, item: connection._on_line(give_up))
    return answers


def platform_codes():
    return list(jsonrpc_messages.ErrorCode)


def executor_commands(monkeypatch):
    """Return the commands that the executor's link writes; also checks the events that it posts for notices."""
    posted = []
    link = executor.ExecutorLink(FakeLoop(), ("127.0.0.1", 1), posted.append)

    def notice(**fields):
        return json.dumps(fields).encode()

    def send_commands_for_runs():
        link.commands.start_run("a", "book", "eA==", idempotent=False)
        link.commands.cancel_run("a")
        link.commands.resume_run("a")

    def send_other_commands():
        link.commands.send_call_reply("a", 1, "eQ==")
        link.commands.skip_call("a", 9)
        link.commands.request_gauges()
        link.commands.start_health_check()

    stream = FakeStream(
        notice(verb="WELCOME", outcome="chilly", spent=1.5),
        send_commands_for_runs,
        notice(verb="CALLOUT", index=1, task="a", bytes="eA=="),
        send_other_commands,
        notice(verb="EXIT", index=2, task="a", outcome="complete", spent=2.5, bytes="eQ=="),
        notice(verb="METERS", index=3, nonce="tick", readings=[1.5, 2.5]),
        notice(verb="DIAGNOSED", index=4, nonce="check-1", outcome="complete"),
        lambda: link.commands.start_run("b", "book", "eA==", idempotent=True),
        notice(verb="BAD", index=5, outcome="EXEC", task="b"),
    )
    monkeypatch.setattr(executor, "connect", lambda *_, **__: stream)
    with pytest.raises(StopError):
        link.serve()
    expected = [
        events.ExecutorReady(True, 1.5),
        events.CallRequested("a", 1, "eA=="),
        events.RunCompleted("a", Outcome.OK, 2.5, "eQ=="),
        events.GaugesReported((1.5, 2.5)),
        events.HealthCheckCompleted("check-1", True),
        events.RunUnknown("b"),
    ]
    assert posted == expected
    return decode_lines(stream.written)


def store_request(monkeypatch):
    """Return the call as it is written, with N for the wait, which differs between runs."""
    posted = []
    stream = FakeStream(b"HTTP/1.1 503 Busy\r", b"X-Not-Run: 1\r", b"Content-Length: 2\r", b"\r", b"no")
    monkeypatch.setattr(store, "connect", lambda *_, **__: stream)
    client = store.StoreClient(FakeLoop(), ("127.0.0.1", 8080), posted.append, 10)
    client.start_call("0123456789abcdef", base64.b64encode(b"body").decode(), 250.0)
    assert [(event.outcome, event.body) for event in posted] == [(Outcome.FULL, base64.b64encode(b"no").decode())]
    return re.sub(r"(?<=X-Wait-Ms: )\d+", "N", b"".join(stream.written).decode())


def store_outcomes():
    headers_by_reply = {
        "200": {},
        "409, not run": {b"x-not-run": b"1"},
        "503, not run": {b"x-not-run": b"1"},
        "503": {},
    }
    headers_by_reply |= {"504": {}, "500": {}}
    return {reply: int(store.outcome_of_reply(int(reply[:3]), headers)) for reply, headers in headers_by_reply.items()}


def registry_reports():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        reports, client = [], registry.RegistryClient(FakeLoop(), receiver.getsockname(), "n3")
        for listed in (True, False):
            client.set_listed(listed)
            with pytest.raises(StopError):
                client.serve()
            reports.append(receiver.recv(200).decode())
    return reports


def metric_names():
    basic = metrics.Metrics(["book"])
    extended = extended_metrics.ExtendedMetrics(["book"], [(100.0, 1.0, 0.5)], "0123456789abcdef", lambda: (1, 2))

    def names(lines):
        return [re.sub(r":\d+\|", "|", line) for line in lines]

    return {"basic": names(basic.lines(3)), "extended": names(extended.lines())}


def directives():
    """Return the directives of each section with their defaults, from the settings file that the program writes."""
    sections, section = {}, ""
    for line in operator_settings.format_settings(operator_settings.Settings()):
        words = line.split("# ")[0].split() if not line.lstrip().startswith("#") else [line.split()[1]]
        if words[0] == "section":
            section = words[1]
            sections[section] = {}
        elif words[0] != "end":
            sections[section][words[0]] = " ".join(words[1:])
    return sections


def environment_variables():
    """Return the names of the project's environment variables that occur in the code."""
    pattern = re.compile(r"[\"'](LB_[A-Z_]*[A-Z]|LAPISPICK_[A-Z_]*[A-Z])[\"']")
    source_texts = [path.read_text() for path in (ROOT / "lapispick").rglob("*.py") if "fakes" not in path.parts]
    return sorted({name for text in source_texts for name in pattern.findall(text)})


def operator_answers():
    """Return the first words of the answers to a known, an unknown, an unterminated and an undecodable call."""
    server = ops.OperatorServer(scheduler.EventLoop(), ("127.0.0.1", 0), 4, {"check": lambda: ["OK"]})
    return [server._answer(line)[0].split()[0] for line in (b"check", b"other", None, b"\xff")]


def trace_lines():
    """Return the keys and values of each record type in a line of a trace, by record number.

    The columns of a trace file follow this order.
    """
    parts = {"events": record_types.EVENTS, "actions": record_types.ACTIONS, "notes": record_types.NOTES}
    examples = {
        "int": 7,
        "float": 2.5,
        "bool": True,
        "str": "text",
        "bytes": b"data",
        "tuple[float, ...]": (1.5, 2.5),
        Outcome.__name__: Outcome.OK,
    }
    records = {}
    for part, types_of_part in parts.items():
        for record_type in types_of_part:
            fields = trace_schema.RECORD_FIELDS[record_type]
            record = record_type(*(examples[annotation] for _, annotation in fields))
            step = record_types.Step(1.5, **{part: (record,)})
            line = trace_text.encode_step(step, "n3")
            assert trace_text.decode_step(line, 1) == step
            assert decode_block(b"".join(encode_block([step]))) == [step]
            number = record_types.RECORD_NUMBERS[record_type]
            records[str(number)] = [part, *map(list, json.loads(line)[part][0].items())]
    return records


def trace_messages():
    return {
        name: {field.name: field.number for field in message_type.DESCRIPTOR.fields}
        for name, message_type in trace_schema.MESSAGE_TYPES.items()
    }


def event_frames():
    """Return the code, layout and example frame of each event, and the event that is decoded from the frame."""
    frames = {}
    for event, (code, event_type) in EVENTS.items():
        layout = codec.EVENTS[code]
        count = 2 if code in (codec.BORN, codec.DEADLINE_HIT) else 0
        values = list(range(2, len(re.findall(r"[A-Za-z]", layout.format)) + 2))
        if count:
            values[-1] = count
        tail = {codec.BORN: b"{}", codec.DEADLINE_HIT: b"\x3f\xc0\x00\x00\x40\x20\x00\x00"}.get(code, b"")
        body = bytes([code]) + layout.pack(*values) + tail
        frame = codec.BATCH_HEAD.pack(codec.BATCH_HEAD.size + len(body), 1.5, 9) + body
        clock, number, (record,) = codec.decode_batch(frame)
        assert (clock, number, record[0]) == (1.5, 9, code)
        frames[event] = {"code": code, "layout": layout.format, "frame": frame.hex()}
        if event_type is not None:
            decoded = adapter.event_from(record)
            assert type(decoded) is event_type
            frames[event]["event"] = json.loads(msgspec.json.encode(tuple(decoded)))
    return frames


def action_records():
    """Return the code, layout and record of each action of instance 3."""
    records = {}
    for action, (code, example) in ACTIONS.items():
        record = adapter.ENCODERS[type(example)](3, example)
        assert record[0] == code
        layout = codec.ACTIONS.get(code, codec.TEXT_HEAD).format
        records[action] = {"code": code, "layout": layout, "record": record.hex()}
    text = codec.encode_text(codec.FATAL, 3, "text")
    records["fatal"] = {"code": codec.FATAL, "layout": codec.TEXT_HEAD.format, "record": text.hex()}
    return records


def operator_calls(monkeypatch, folder):
    """Return the calls that a worker host answers, with and without arguments."""
    answered_calls = {}

    class FakeOperatorServer:
        def __init__(self, loop, listen, max_connections, calls):
            answered_calls["host"] = sorted(calls)
            answered_calls["check while it starts"] = calls["check"]()[0].split()[0]
            answered_calls["last line of vars"] = calls["vars"]()[-1]

        def add_calls(self, calls, handle_line):
            answered_calls["members"] = sorted(calls)
            for call in ("why disp-01", "want restart owner 7", "done restart owner", "other"):
                is_unknown = handle_line(call)[0].startswith("ERR unknown call")
                answered_calls[call] = "unknown" if is_unknown else "known"

    (folder / "own.conf").write_text(
        "section handover\n enabled no\nend\nsection fleet\n group hosts\nend\n"
        "section inventory\n path list.yml\nend\nsection members\n enabled yes\n listen 127.0.0.1:7946\nend\n"
    )
    (folder / "list.yml").write_text("hosts:\n  hosts:\n    n3:\n")
    config = json.loads((SAMPLES / "host-config.json").read_text()) | {"listen": "127.0.0.1:0"}
    monkeypatch.setattr(assembly, "OperatorServer", FakeOperatorServer)
    host = assembly.Host(
        host_config.parse(json.dumps(config).encode()),
        operator_settings.parse(folder / "own.conf"),
        SimpleNamespace(),
    )
    host.gateways.close_listener()
    return answered_calls


def handover_files(folder):
    """Return the files in the folder that two processes of a host share, and the content of the lock."""
    handover = Handover(FakeLoop(), folder, HostIdentity("n3", "127.0.0.1:8443"), 1, None, None, None)
    return {
        "files": sorted(path.name for path in folder.iterdir()),
        "lock": [path.read_text() for path in folder.glob("*.lock")],
        "socket": Path(handover.address.path).name,
    }


def rollout_store_objects():
    """Return the keys of the objects that a controller stores for a rollout in addition to its state."""
    state = msgspec.json.decode((SAMPLES / "rollout-course.json").read_bytes(), type=rollout_state.RolloutState)
    status = msgspec.json.decode((SAMPLES / "agent-status.jsonl").read_bytes(), type=agent_messages.Status)
    reports = {"disp-01": rollout_state.HostReport(status, 99.0)}
    explanation = stage_analysis.StageAnalysis(canary_analysis.AnalysisBounds()).add(state, reports, {})
    summary = rollout_records.summarize_fleet(rollout_state.deviations(state, reports), reports)
    return {
        "seen": shape(json.loads(msgspec.json.encode(summary))),
        "explained": list(json.loads(msgspec.json.encode(explanation))),
        "row of a figure": [field.encode_name for field in msgspec.structs.fields(rollout_records.MetricExplanation)],
    }


def command_options(command, name="lapispick"):
    """Return the options and arguments of each command, by the full name of the command."""
    if not isinstance(command, click.Group):
        return {name: sorted(word for param in command.params for word in (*param.opts, *param.secondary_opts))}
    context, options = click.Context(command), {}
    for word in (*command.list_commands(context), *(HIDDEN_ALIASES if command is command_line else ())):
        options |= command_options(command.get_command(context, word), f"{name} {word}")
    return options


def json_outputs(folder):
    """Return the keys of the ``--json`` output of each command."""
    with sqlite3.connect(folder / "rollouts.db") as db:
        db.executescript((SAMPLES / "ledger.sql").read_text())
    db.close()
    (folder / "list.yml").write_text(
        "hosts:\n  hosts:\n    disp-01: {lapispick_agent: '10.0.0.1:7000'}\n    disp-02:\n"
        "mq:\n  hosts:\n    mq-01: {amqp_user: shop, amqp_password: x, amqp_queues: [{amqp_queue: jobs}]}\n"
    )
    for path in (SAMPLES / "inventory-state").iterdir():
        (folder / path.name).write_bytes(path.read_bytes())
    conf = folder / "own.conf"
    conf.write_text(
        "section inventory\n path list.yml\n group mq\n state-folder .\nend\nsection fleet\n group hosts\nend\n"
        "section rollout\n state-folder .\nend\n"
    )
    trace = str(Path(__file__).parent / "data" / "v1.lptrace")
    backends = ["--backends", str(folder / "list.yml"), "--group", "mq", "--least", "1"]
    commands = {
        "config check": ["config", "check", "--conf", str(conf)],
        "inventory check": ["inventory", "check", "--conf", str(conf)],
        "inventory list": ["inventory", "list", "--conf", str(conf)],
        "inventory history": ["inventory", "history", "--conf", str(conf)],
        "rollout status": ["rollout", "status", "--conf", str(conf)],
        "rollout history": ["rollout", "history", "--conf", str(conf)],
        "rollout history NAME": ["rollout", "history", "--conf", str(conf), "r1"],
        "rollout explain": ["rollout", "explain", "--conf", str(conf)],
        "shares show": ["shares", "show", "--conf", str(conf), *backends],
        "shares subset": ["shares", "subset", "disp-01", "--conf", str(conf), *backends],
        "shares what-if": ["shares", "what-if", "--without", "disp-01", "--conf", str(conf), *backends],
        "trace info": ["trace", "info", trace],
        "trace verify": ["trace", "verify", trace],
    }
    outputs = {}
    for title, command in commands.items():
        completed = CliRunner().invoke(command_line, [*command, "--json"])
        assert completed.stdout.lstrip()[:1] in ("{", "["), (title, completed.output, completed.exception)
        outputs[title] = shape(json.loads(completed.stdout))
    return outputs


# Section of the stored list -> function that returns the current names from the code.
SECTIONS = {
    "tagged messages": lambda: {
        protocol: {
            message.__struct_config__.tag: [message.__struct_config__.tag_field, *encoded_names(message)]
            for message in get_args(union)
        }
        for protocol, union in TAGGED.items()
    },
    "plain objects": lambda: {concept: encoded_names(struct_type) for concept, struct_type in UNTAGGED.items()},
    "words": lambda: json.loads(json.dumps({concept: values() for concept, values in VALUES.items()})),
    "platform, answers": platform_answers,
    "platform, codes of errors": platform_codes,
    "store, outcomes of replies": store_outcomes,
    "roster, reports": registry_reports,
    "operators, answers": operator_answers,
    "figures": metric_names,
    "directives": directives,
    "environment variables": environment_variables,
    "balancer.toml": lambda: list(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())),
    "simulator, heads of frames": lambda: [codec.BATCH_HEAD.format, codec.REPLY_HEAD.format, codec.TEXT_HEAD.format],
    "simulator, events": event_frames,
    "simulator, actions": action_records,
    "trace, records": trace_lines,
    "trace, messages": trace_messages,
    "ledger, objects": rollout_store_objects,
    "command line": lambda: command_options(command_line),
}


def test_every_section_of_the_stored_list_is_compared():
    separate_tests = {"executor, commands", "store, request", "output of commands as JSON", "operators, calls"}
    assert set(STORED) == {*SECTIONS, *separate_tests, "hand-over, files"}


@pytest.mark.parametrize("section", SECTIONS)
def test_names_match_the_stored_list(section):
    assert SECTIONS[section]() == STORED[section]


def test_executor_commands_and_notices_match_the_stored_list(monkeypatch):
    assert executor_commands(monkeypatch) == STORED["executor, commands"]


def test_path_and_headers_of_a_store_call_match_the_stored_list(monkeypatch):
    assert store_request(monkeypatch) == STORED["store, request"]


def test_operator_calls_match_the_stored_list(monkeypatch, tmp_path):
    assert operator_calls(monkeypatch, tmp_path) == STORED["operators, calls"]


def test_handover_files_match_the_stored_list(tmp_path):
    assert handover_files(tmp_path) == STORED["hand-over, files"]


def test_keys_of_json_output_match_the_stored_list(tmp_path):
    assert json_outputs(tmp_path) == STORED["output of commands as JSON"]


def test_every_code_of_the_simulator_is_in_the_list():
    assert {code for code, _ in EVENTS.values()} == set(codec.EVENTS)
    assert {code for code, _ in ACTIONS.values()} | {codec.FATAL} == {*codec.ACTIONS, codec.EMIT, codec.FATAL}
    assert {type(example) for _, example in ACTIONS.values()} == set(get_args(admission.Action))


def test_a_configuration_is_found_by_its_environment_variables(tmp_path):
    path = tmp_path / "config.json"
    path.write_bytes((SAMPLES / "host-config.json").read_bytes())
    config = host_config.load({"LB_CONFIG": str(path), "LB_OPS": "127.0.0.1:9999"})
    assert (config.name, config.ops) == ("n3", "127.0.0.1:9999")
    assert operator_settings.settings_path({"LAPISPICK_CONF": "a.conf"}) == "a.conf"


def test_files_named_in_balancer_toml_exist():
    config = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert all((ROOT / path).exists() for path in (*config["policy"], *config["node"]))
    for key in ("run", "sim"):
        module = re.search(r"python -m ([\w.]+)$", config[key]).group(1).replace(".", "/")
        assert (ROOT / f"{module}.py").is_file() or (ROOT / module / "__main__.py").is_file()


def test_the_deployment_settings_file_is_valid():
    settings = operator_settings.parse(ROOT / "deploy" / "lapispick.conf")
    assert (settings.inventory.group, settings.amqp.enabled) == ("dispatch_brokers", False)
