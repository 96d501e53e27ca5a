"""Stored samples of every message, file and database that another version of the program reads.

The samples in ``tests/data/stored`` were written once and are not written again. Decoding a sample and encoding the
result must give the same bytes. The tables below are the only place that names the code; whoever renames a class or a
field in Python changes them and no sample.
"""

import shutil
import sqlite3
from pathlib import Path
from types import SimpleNamespace
from typing import get_args

import msgspec
import pytest

from lapispick.admission import CallTimes, LearnedEstimates, Prices
from lapispick.agent import generation_store, rollout_records, rollout_store, state_file
from lapispick.conf.sections import InventorySettings
from lapispick.durable import database
from lapispick.file_errors import FileFault, SourceLocation
from lapispick.fleet import acceptance, last_good
from lapispick.fleet import messages as inventory_messages
from lapispick.fleet.schema import ANY_HOST
from lapispick.handover import messages as handover_messages
from lapispick.host import config as host_config
from lapispick.host import inventory as host_inventory
from lapispick.host.inventory_status import InventoryStatus
from lapispick.host.members import reports as member_reports
from lapispick.members import leases
from lapispick.members import messages as member_messages
from lapispick.rollout import host_state as agent_state
from lapispick.rollout import messages as agent_calls
from lapispick.rollout import pacing, rollout_state
from lapispick.rollout.compat import FormatSupport
from lapispick.rollout.generations import Generation
from lapispick.trace import helper as trace_writer

STORED = Path(__file__).parent / "data" / "stored"
SOURCE = "inventory.yml group brokers"  # of the stored list


def as_json(value):
    return msgspec.json.decode(msgspec.json.encode(value))


def json_codec(kind):
    return msgspec.json.Decoder(kind).decode, msgspec.json.encode


# What the stored ledger holds of the rollout r1, beside its course.
LOOKED = {
    "deviations": ["disp-06 runs something else"],
    "boxes": {"disp-01": ["0123456789abcdef", "steady", "late"]},
}
EXPLAINED = {
    "stage": 2,
    "outcome": "wait",
    "ground": "too few slices",
    "changed": ["disp-01"],
    "old": ["disp-03"],
    "rows": [
        {
            "figure": "refused",
            "slices": 5,
            "mean": 0.5,
            "low": 0.25,
            "high": 0.75,
            "margin": 0.02,
            "evidence": 1.5,
            "needed": 20.5,
            "cleared": 2.5,
            "old_change": 0.125,
        }
    ],
}

# Sample -> (decode, encode), one value a line.
CODECS = {
    "handover.jsonl": (handover_messages.decode, handover_messages.encode),
    "members.jsonl": (member_messages.decode, member_messages.encode),
    "inventory-to-helper.jsonl": json_codec(inventory_messages.ToHelper),
    "inventory-from-helper.jsonl": json_codec(inventory_messages.FromHelper),
    "inventory-state/history.jsonl": json_codec(last_good.HistoryEntry),
    "inventory-state/status.json": json_codec(InventoryStatus),
    "agent-calls.txt": (
        lambda line: agent_calls.decode_call(line.decode()),
        lambda call: agent_calls.encode_call(call).encode(),
    ),
    "agent-status.jsonl": json_codec(agent_calls.Status),
    "agent-state.json": json_codec(agent_state.HostState),
    "generation.json": json_codec(Generation),
    "rollout-course.json": json_codec(rollout_state.RolloutState),
    "host-config.json": json_codec(host_config.Config),
    "members-turns.jsonl": json_codec(member_reports.LeaseInfo),
    "trace-writer-begin.json": json_codec(trace_writer.WriterOptions),
}

# Sample -> all kinds of messages that it must hold.
UNIONS = {
    "handover.jsonl": handover_messages.AnyMessage,
    "members.jsonl": member_messages.AnyMessage,
    "inventory-to-helper.jsonl": inventory_messages.ToHelper,
    "inventory-from-helper.jsonl": inventory_messages.FromHelper,
    "agent-calls.txt": agent_calls.Call,
}

# Values that are written as arrays: concept -> (class, attributes in the order of the array, sample).
ARRAYS = {
    "member state": (
        member_messages.GossipUpdate,
        ("name", "state", "incarnation", "process_epoch", "witness"),
        ["disp-02", "suspect", 3, 1764575000, "disp-03"],
    ),
    "member fact": (
        member_messages.Fact,
        (
            *("author", "process_epoch", "sequence", "kind", "subject", "value", "sample_count", "age_s"),
            *("author_health", "text"),
        ),
        ["disp-01", 1764576000, 4, "store", "10.0.0.9:80", 2.5, 17, 1.25, 1, "slow"],
    ),
    "ballot": (leases.Ballot, ("number", "proposer"), [7, "disp-01"]),
    "learned": (
        LearnedEstimates,
        (
            *("core_ms", "run_ms", "blocked_ms", "call_ms", "runs", "concurrency_limit", "call_times"),
            *("call_limit", "prices", "prices_frozen"),
        ),
        [[1.5], [3.0], [5.0], [7.0], [9], 4.5, [20.0, 30.0], 5.5, [0.25, 0.75], True],
    ),
    "learned call times": (CallTimes, ("usual_ms", "recent_ms"), [20.0, 30.0]),
    "learned prices": (Prices, ("occupancy", "cost"), [0.25, 0.75]),
    "compatibility of a format": (FormatSupport, ("writes", "oldest", "newest"), [2, 1, 3]),
    "pace of a rollout": (pacing.Limits, ("max_changing", "min_serving_fraction"), [3, 0.75]),
    "place in a file": (SourceLocation, ("file", "line", "column"), ["hosts.yml", 12, 5]),
    "fault of a file": (
        FileFault,
        ("location", "key", "message"),
        [["hosts.yml", 12, 5], "amqp_port", "must be a number"],
    ),
}

# How the current code opens, reads and writes what is on disk.
FILES = SimpleNamespace(
    open_keys=database.Database,
    key_row=lambda key, record: (
        *(key, int(record.state), record.incarnation, record.created_at_ms, record.expires_at_ms),
        *(record.request_digest, record.result),
    ),
    open_ledger=rollout_store.RolloutStore,
    open_agent_state=state_file.StateFile,
    open_generations=generation_store.GenerationStore,
    kept_list=last_good.load,
    keep_list=lambda folder, head, snapshot: last_good.save(folder, head.source, snapshot, head.at, head.reason),
    history=last_good.load_history,
    remember=last_good.append_history,
    status=last_good.load_status,
    accepting=last_good.load_operator_digest,
    accept=last_good.save_operator_digest,
)


def lines(sample):
    return (STORED / sample).read_bytes().splitlines()


def restored(sample, path):
    with sqlite3.connect(path) as db:
        db.executescript((STORED / sample).read_text())
    db.close()
    return path


def contents(path):
    """Return the schema and all rows of a database as text."""
    db = sqlite3.connect(path)
    try:
        return list(db.iterdump())
    finally:
        db.close()


def rows(path, query):
    db = sqlite3.connect(path)
    try:
        return db.execute(query).fetchall()
    finally:
        db.close()


def schema(path):
    return sorted(rows(path, "select type, name, sql from sqlite_master where name not like 'sqlite_%'"))


def unpopulated(value, path="value"):
    """Yield the fields of structs that hold their default, or nothing where they have none."""
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(type(value)):
            held = getattr(value, field.name)
            if field.default is not msgspec.NODEFAULT:
                empty = held == field.default
            elif field.default_factory is not msgspec.NODEFAULT:
                empty = held == field.default_factory()
            else:
                empty = not held
            if empty and field.encode_name != "version":
                yield f"{path}.{field.encode_name}"
            yield from unpopulated(held, f"{path}.{field.encode_name}")
    elif isinstance(value, dict):
        for key, held in value.items():
            yield from unpopulated(held, f"{path}[{key}]")
    elif isinstance(value, (list, tuple)):
        for index, held in enumerate(value):
            yield from unpopulated(held, f"{path}[{index}]")


@pytest.mark.parametrize("sample", CODECS)
def test_a_sample_is_encoded_again_to_the_same_bytes(sample):
    decode, encode = CODECS[sample]
    found = lines(sample)
    assert found
    assert [encode(decode(line)).removesuffix(b"\n") for line in found] == found


@pytest.mark.parametrize("sample", CODECS)
def test_a_sample_populates_every_field(sample):
    decode, _ = CODECS[sample]
    assert [path for line in lines(sample) for path in unpopulated(decode(line))] == []


@pytest.mark.parametrize("sample", UNIONS)
def test_there_is_a_sample_of_every_kind_of_message(sample):
    decode, _ = CODECS[sample]
    assert {type(decode(line)) for line in lines(sample)} == set(get_args(UNIONS[sample]))


@pytest.mark.parametrize("concept", ARRAYS)
def test_the_places_of_an_array_keep_their_meaning(concept):
    kind, attributes, sample = ARRAYS[concept]
    raw = msgspec.json.encode(sample)
    made = msgspec.json.decode(raw, type=kind)
    assert msgspec.json.encode([getattr(made, name) for name in attributes]) == raw
    assert msgspec.json.encode(made) == raw


def test_the_stored_keys_are_loaded_and_only_the_number_of_the_life_changes(tmp_path):
    path = restored("keys.sql", tmp_path / "keys.db")
    before, stored = contents(path), rows(path, "select * from keys")
    store = FILES.open_keys(path, "n3")
    found = list(store.load())
    store.close()
    assert [FILES.key_row(*each) for each in found] == stored
    assert len(stored) == 5
    after = contents(path)
    assert [(a, b) for a, b in zip(before, after, strict=True) if a != b] == [
        ("INSERT INTO \"meta\" VALUES('life',1);", "INSERT INTO \"meta\" VALUES('life',2);")
    ]


def test_keys_are_written_as_stored(tmp_path):
    old = restored("keys.sql", tmp_path / "old.db")
    source = FILES.open_keys(old, "n3")
    new = FILES.open_keys(tmp_path / "new.db", "n3")
    new.write(list(source.load()))
    source.close()
    new.close()
    assert schema(tmp_path / "new.db") == schema(old)
    assert rows(tmp_path / "new.db", "select * from keys") == rows(old, "select * from keys")
    assert rows(tmp_path / "new.db", "select * from meta") == [("box", "n3"), ("life", 1), ("version", 1)]


def test_the_stored_ledger_is_read_and_left_unchanged(tmp_path):
    path = restored("ledger.sql", tmp_path / "rollouts.db")
    before = contents(path)
    book = FILES.open_ledger(tmp_path)
    stored = rows(path, "select * from rollouts order by began")
    found = [(name, began, ended, msgspec.json.encode(state)) for name, began, ended, state in book.history()]
    assert found == stored
    assert [row[0] for row in stored] == ["r0", "r1"]
    assert msgspec.json.encode(book.get()) == stored[-1][3] == (STORED / "rollout-course.json").read_bytes().strip()
    assert book.events("r1") == [(1764576010.5, "begun")]
    assert as_json(book.fleet_summary("r1")) == LOOKED
    assert rows(path, "select at from looks where rollout = 'r1'") == [(1764576012.0,)]
    assert as_json(book.explanation("r1")) == [1764576013.0, EXPLAINED]
    assert book.leadership() == ("alpha", 5, 1764576012.0)
    assert contents(path) == before
    assert book.take_over("beta", 0) == 6
    assert book.take_orders("r1") == ["go", "hold"]
    book.close()


def test_a_ledger_is_written_as_stored(tmp_path):
    old = restored("ledger.sql", tmp_path / "old.db")
    state = CODECS["rollout-course.json"][0](lines("rollout-course.json")[0])
    book = FILES.open_ledger(tmp_path / "new")
    assert book.take_over("alpha", 4) == 5
    book.save(state, 1764576010.0, [(1764576010.5, "begun")])
    summary = msgspec.convert(LOOKED, rollout_records.FleetSummary)
    book.record_heartbeat("r1", 1764576012.0, summary)
    explanation = msgspec.convert(EXPLAINED, rollout_records.Explanation)
    book.save_explanation("r1", 1764576013.0, explanation)
    book.add_order("r1", "go")
    book.close()
    new = tmp_path / "new" / "rollouts.db"
    assert schema(new) == schema(old)
    for query in (
        *("select * from meta", "select * from explained", "select * from looks"),
        "select rollout, at, text from events where rollout = 'r1'",
        "select * from rollouts where name = 'r1'",
        "select * from orders where word = 'go'",
    ):
        assert rows(new, query) == rows(old, query) != [], query


def test_the_stored_list_of_an_inventory_is_read_and_written_again(tmp_path):
    folder, fresh = STORED / "inventory-state", tmp_path / "fresh"
    head, snapshot = FILES.kept_list(folder, SOURCE)
    FILES.keep_list(fresh, head, snapshot)
    for entry in FILES.history(folder):
        FILES.remember(fresh, entry, 20)
    FILES.accept(fresh, FILES.accepting(folder))
    for name in ("last-good.jsonl", "history.jsonl", "accept"):
        assert (fresh / name).read_bytes() == (folder / name).read_bytes(), name
    assert msgspec.json.encode(FILES.status(folder)) == (folder / "status.json").read_bytes().strip()
    assert [p for value in (head, *snapshot.hosts.values()) for p in unpopulated(value)] == []


def test_a_host_sends_the_status_of_its_inventory_as_stored(monkeypatch):
    stored = next(line for line in lines("inventory-to-helper.jsonl") if b'"type":"status"' in line)
    helper_line = msgspec.json.encode(msgspec.json.decode(stored)["told"])
    assert helper_line == lines("inventory-state/status.json")[0]
    sent = []
    inventory = host_inventory.Inventory(None, InventorySettings(), ANY_HOST, on_accepted=None)
    inventory.helper = SimpleNamespace(send=sent.append)
    inventory.acceptance.accepted = FILES.kept_list(STORED / "inventory-state", SOURCE)[1]
    fault = FileFault(SourceLocation("hosts.yml", 12, 5), "amqp_port", "must be a number")
    verdict = acceptance.Verdict(acceptance.Phase.HELD, "too many left", is_new=True)
    monkeypatch.setattr(host_inventory.time, "time", lambda: 1764576000.5)
    inventory._save_status(verdict, inventory_messages.Polled(digest="ab" * 16, faults=(fault,)))
    assert [msgspec.json.encode(message) for message in sent] == [stored]


def test_an_agent_finds_its_stored_state_and_writes_it_again(tmp_path):
    shutil.copy(STORED / "agent-state.json", tmp_path / "state.json")
    store = FILES.open_agent_state(tmp_path, "disp-01")
    assert msgspec.json.encode(store.state) == lines("agent-state.json")[0]
    (tmp_path / "state.json").unlink()
    store.save(store.state)
    assert (tmp_path / "state.json").read_bytes() == lines("agent-state.json")[0]
    assert (tmp_path / "agent.lock").exists()


def test_a_stored_generation_is_found_by_its_digest(tmp_path):
    folder = tmp_path / "0123456789abcdef"
    (folder / "program" / "lapispick").mkdir(parents=True)
    (folder / "lapispick.conf").touch()
    shutil.copy(STORED / "generation.json", folder / "generation.json")
    found = FILES.open_generations(tmp_path).all()
    assert [msgspec.json.encode(made) for made in found.values()] == lines("generation.json")
    assert list(found) == ["0123456789abcdef"]


def test_a_stored_platform_configuration_passes_the_checks_of_a_start():
    raw = lines("host-config.json")[0]
    assert msgspec.json.encode(host_config.parse(raw)) == raw
