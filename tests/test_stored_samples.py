"""Tests that stored samples of messages, files and databases of other versions are read and written unchanged.

The samples in ``tests/data/stored`` cover every message, file and database that another version of the program reads.
They are never regenerated: decoding a sample and encoding the result must give the same bytes. Only the tables below
name the code. A rename of a class or a field in Python changes these tables and no sample.
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
from lapispick.rollout import messages as agent_messages
from lapispick.rollout import pacing, rollout_state
from lapispick.rollout.compat import FormatSupport
from lapispick.rollout.generations import Generation
from lapispick.trace import helper as trace_writer

STORED = Path(__file__).parent / "data" / "stored"
SOURCE = "inventory.yml group brokers"  # source of the stored inventory


def to_builtins(value):
    return msgspec.json.decode(msgspec.json.encode(value))


def json_codec(decoded_type):
    return msgspec.json.Decoder(decoded_type).decode, msgspec.json.encode


# Objects of the rollout r1 in the stored database, in addition to its state.
FLEET_SUMMARY = {
    "deviations": ["disp-06 runs something else"],
    "boxes": {"disp-01": ["0123456789abcdef", "steady", "late"]},
}
EXPLANATION = {
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

# Sample -> (decode, encode); a sample has one value per line.
CODECS = {
    "handover.jsonl": (handover_messages.decode, handover_messages.encode),
    "members.jsonl": (member_messages.decode, member_messages.encode),
    "inventory-to-helper.jsonl": json_codec(inventory_messages.ToHelper),
    "inventory-from-helper.jsonl": json_codec(inventory_messages.FromHelper),
    "inventory-state/history.jsonl": json_codec(last_good.HistoryEntry),
    "inventory-state/status.json": json_codec(InventoryStatus),
    "agent-calls.txt": (
        lambda line: agent_messages.decode_call(line.decode()),
        lambda call: agent_messages.encode_call(call).encode(),
    ),
    "agent-status.jsonl": json_codec(agent_messages.Status),
    "agent-state.json": json_codec(agent_state.HostState),
    "generation.json": json_codec(Generation),
    "rollout-course.json": json_codec(rollout_state.RolloutState),
    "host-config.json": json_codec(host_config.Config),
    "members-turns.jsonl": json_codec(member_reports.LeaseInfo),
    "trace-writer-begin.json": json_codec(trace_writer.WriterOptions),
}

# Sample -> union of the message types of which it must have examples.
UNIONS = {
    "handover.jsonl": handover_messages.AnyMessage,
    "members.jsonl": member_messages.AnyMessage,
    "inventory-to-helper.jsonl": inventory_messages.ToHelper,
    "inventory-from-helper.jsonl": inventory_messages.FromHelper,
    "agent-calls.txt": agent_messages.Call,
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
    "learned estimates": (
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
    "limits of a rollout": (pacing.Limits, ("max_changing", "min_serving_fraction"), [3, 0.75]),
    "location in a file": (SourceLocation, ("file", "line", "column"), ["hosts.yml", 12, 5]),
    "fault of a file": (
        FileFault,
        ("location", "key", "message"),
        [["hosts.yml", 12, 5], "amqp_port", "must be a number"],
    ),
}

# Functions of the current code that open, read and write the files on disk.
FILES = SimpleNamespace(
    open_database=database.Database,
    key_row=lambda key, record: (
        *(key, int(record.state), record.incarnation, record.created_at_ms, record.expires_at_ms),
        *(record.request_digest, record.result),
    ),
    open_rollout_store=rollout_store.RolloutStore,
    open_agent_state=state_file.StateFile,
    open_generations=generation_store.GenerationStore,
    load_last_good=last_good.load,
    save_last_good=lambda folder, header, snapshot: last_good.save(
        folder, header.source, snapshot, header.at, header.reason
    ),
    load_history=last_good.load_history,
    append_history=last_good.append_history,
    load_status=last_good.load_status,
    load_operator_digest=last_good.load_operator_digest,
    save_operator_digest=last_good.save_operator_digest,
)


def sample_lines(sample):
    return (STORED / sample).read_bytes().splitlines()


def restore_database(sample, path):
    with sqlite3.connect(path) as db:
        db.executescript((STORED / sample).read_text())
    db.close()
    return path


def database_dump(path):
    """Return the schema and all rows of a database as SQL statements."""
    db = sqlite3.connect(path)
    try:
        return list(db.iterdump())
    finally:
        db.close()


def query_rows(path, query):
    db = sqlite3.connect(path)
    try:
        return db.execute(query).fetchall()
    finally:
        db.close()


def database_schema(path):
    return sorted(query_rows(path, "select type, name, sql from sqlite_master where name not like 'sqlite_%'"))


def unpopulated_fields(value, path="value"):
    """Yield the paths of struct fields that have their default, or are empty if they have no default."""
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(type(value)):
            field_value = getattr(value, field.name)
            if field.default is not msgspec.NODEFAULT:
                is_empty = field_value == field.default
            elif field.default_factory is not msgspec.NODEFAULT:
                is_empty = field_value == field.default_factory()
            else:
                is_empty = not field_value
            if is_empty and field.encode_name != "version":
                yield f"{path}.{field.encode_name}"
            yield from unpopulated_fields(field_value, f"{path}.{field.encode_name}")
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from unpopulated_fields(item, f"{path}[{key}]")
    elif isinstance(value, (list, tuple)):
        for index, item in enumerate(value):
            yield from unpopulated_fields(item, f"{path}[{index}]")


@pytest.mark.parametrize("sample", CODECS)
def test_a_sample_is_encoded_again_to_the_same_bytes(sample):
    decode, encode = CODECS[sample]
    stored_lines = sample_lines(sample)
    assert stored_lines
    assert [encode(decode(line)).removesuffix(b"\n") for line in stored_lines] == stored_lines


@pytest.mark.parametrize("sample", CODECS)
def test_a_sample_populates_every_field(sample):
    decode, _ = CODECS[sample]
    assert [path for line in sample_lines(sample) for path in unpopulated_fields(decode(line))] == []


@pytest.mark.parametrize("sample", UNIONS)
def test_every_message_type_has_a_sample(sample):
    decode, _ = CODECS[sample]
    assert {type(decode(line)) for line in sample_lines(sample)} == set(get_args(UNIONS[sample]))


@pytest.mark.parametrize("concept", ARRAYS)
def test_the_positions_of_array_elements_are_unchanged(concept):
    struct_type, attributes, sample = ARRAYS[concept]
    raw = msgspec.json.encode(sample)
    decoded = msgspec.json.decode(raw, type=struct_type)
    assert msgspec.json.encode([getattr(decoded, name) for name in attributes]) == raw
    assert msgspec.json.encode(decoded) == raw


def test_stored_keys_are_loaded_and_only_the_incarnation_changes(tmp_path):
    path = restore_database("keys.sql", tmp_path / "keys.db")
    before, stored = database_dump(path), query_rows(path, "select * from keys")
    store = FILES.open_database(path, "n3")
    loaded = list(store.load())
    store.close()
    assert [FILES.key_row(key, record) for key, record in loaded] == stored
    assert len(stored) == 5
    after = database_dump(path)
    assert [(old, new) for old, new in zip(before, after, strict=True) if old != new] == [
        ("INSERT INTO \"meta\" VALUES('life',1);", "INSERT INTO \"meta\" VALUES('life',2);")
    ]


def test_keys_are_written_as_stored(tmp_path):
    old = restore_database("keys.sql", tmp_path / "old.db")
    source = FILES.open_database(old, "n3")
    new = FILES.open_database(tmp_path / "new.db", "n3")
    new.write(list(source.load()))
    source.close()
    new.close()
    assert database_schema(tmp_path / "new.db") == database_schema(old)
    assert query_rows(tmp_path / "new.db", "select * from keys") == query_rows(old, "select * from keys")
    assert query_rows(tmp_path / "new.db", "select * from meta") == [("box", "n3"), ("life", 1), ("version", 1)]


def test_a_stored_rollout_database_is_read_and_left_unchanged(tmp_path):
    path = restore_database("ledger.sql", tmp_path / "rollouts.db")
    before = database_dump(path)
    store = FILES.open_rollout_store(tmp_path)
    stored = query_rows(path, "select * from rollouts order by began")
    loaded = [(name, began, ended, msgspec.json.encode(state)) for name, began, ended, state in store.history()]
    assert loaded == stored
    assert [row[0] for row in stored] == ["r0", "r1"]
    assert msgspec.json.encode(store.get()) == stored[-1][3] == (STORED / "rollout-course.json").read_bytes().strip()
    assert store.events("r1") == [(1764576010.5, "begun")]
    assert to_builtins(store.fleet_summary("r1")) == FLEET_SUMMARY
    assert query_rows(path, "select at from looks where rollout = 'r1'") == [(1764576012.0,)]
    assert to_builtins(store.explanation("r1")) == [1764576013.0, EXPLANATION]
    assert store.leadership() == ("alpha", 5, 1764576012.0)
    assert database_dump(path) == before
    assert store.take_over("beta", 0) == 6
    assert store.take_orders("r1") == ["go", "hold"]
    store.close()


def test_a_rollout_database_is_written_as_stored(tmp_path):
    old = restore_database("ledger.sql", tmp_path / "old.db")
    state = CODECS["rollout-course.json"][0](sample_lines("rollout-course.json")[0])
    store = FILES.open_rollout_store(tmp_path / "new")
    assert store.take_over("alpha", 4) == 5
    store.save(state, 1764576010.0, [(1764576010.5, "begun")])
    summary = msgspec.convert(FLEET_SUMMARY, rollout_records.FleetSummary)
    store.record_heartbeat("r1", 1764576012.0, summary)
    explanation = msgspec.convert(EXPLANATION, rollout_records.Explanation)
    store.save_explanation("r1", 1764576013.0, explanation)
    store.add_order("r1", "go")
    store.close()
    new = tmp_path / "new" / "rollouts.db"
    assert database_schema(new) == database_schema(old)
    for query in (
        *("select * from meta", "select * from explained", "select * from looks"),
        "select rollout, at, text from events where rollout = 'r1'",
        "select * from rollouts where name = 'r1'",
        "select * from orders where word = 'go'",
    ):
        assert query_rows(new, query) == query_rows(old, query) != [], query


def test_a_stored_inventory_is_read_and_written_unchanged(tmp_path):
    folder, fresh = STORED / "inventory-state", tmp_path / "fresh"
    header, snapshot = FILES.load_last_good(folder, SOURCE)
    FILES.save_last_good(fresh, header, snapshot)
    for entry in FILES.load_history(folder):
        FILES.append_history(fresh, entry, 20)
    FILES.save_operator_digest(fresh, FILES.load_operator_digest(folder))
    for name in ("last-good.jsonl", "history.jsonl", "accept"):
        assert (fresh / name).read_bytes() == (folder / name).read_bytes(), name
    assert msgspec.json.encode(FILES.load_status(folder)) == (folder / "status.json").read_bytes().strip()
    assert [path for value in (header, *snapshot.hosts.values()) for path in unpopulated_fields(value)] == []


def test_a_host_sends_the_status_of_its_inventory_as_stored(monkeypatch):
    stored = next(line for line in sample_lines("inventory-to-helper.jsonl") if b'"type":"status"' in line)
    helper_line = msgspec.json.encode(msgspec.json.decode(stored)["told"])
    assert helper_line == sample_lines("inventory-state/status.json")[0]
    sent = []
    inventory = host_inventory.Inventory(None, InventorySettings(), ANY_HOST, on_accepted=None)
    inventory.helper = SimpleNamespace(send=sent.append)
    inventory.acceptance.accepted = FILES.load_last_good(STORED / "inventory-state", SOURCE)[1]
    fault = FileFault(SourceLocation("hosts.yml", 12, 5), "amqp_port", "must be a number")
    verdict = acceptance.Verdict(acceptance.Phase.HELD, "too many left", is_new=True)
    monkeypatch.setattr(host_inventory.time, "time", lambda: 1764576000.5)
    inventory._save_status(verdict, inventory_messages.Polled(digest="ab" * 16, faults=(fault,)))
    assert [msgspec.json.encode(message) for message in sent] == [stored]


def test_an_agent_loads_its_stored_state_and_writes_it_unchanged(tmp_path):
    shutil.copy(STORED / "agent-state.json", tmp_path / "state.json")
    store = FILES.open_agent_state(tmp_path, "disp-01")
    assert msgspec.json.encode(store.state) == sample_lines("agent-state.json")[0]
    (tmp_path / "state.json").unlink()
    store.save(store.state)
    assert (tmp_path / "state.json").read_bytes() == sample_lines("agent-state.json")[0]
    assert (tmp_path / "agent.lock").exists()


def test_a_stored_generation_is_found_by_its_digest(tmp_path):
    folder = tmp_path / "0123456789abcdef"
    (folder / "program" / "lapispick").mkdir(parents=True)
    (folder / "lapispick.conf").touch()
    shutil.copy(STORED / "generation.json", folder / "generation.json")
    generations = FILES.open_generations(tmp_path).all()
    encoded = [msgspec.json.encode(generation) for generation in generations.values()]
    assert encoded == sample_lines("generation.json")
    assert list(generations) == ["0123456789abcdef"]


def test_a_stored_host_configuration_is_valid_at_start():
    raw = sample_lines("host-config.json")[0]
    assert msgspec.json.encode(host_config.parse(raw)) == raw
