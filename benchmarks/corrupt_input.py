"""Searches the readers of files and peers' messages for errors that their callers don't expect, with corrupted samples.

python -m benchmarks.corrupt_input [--examples 100000] [--seed 1] [--reader NAME ...]

Each reader gets the stored samples of the tests with a few changes: bytes replaced, inserted, removed or repeated, and
values that are valid JSON in an unexpected place. It may return a value or raise one of its documented errors. The
shortest input with any other error is printed for each kind of error, and the exit code is then 1.
"""

from __future__ import annotations

import argparse
import random
import sqlite3
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from lapispick import admission
from lapispick.agent.errors import StateFileError
from lapispick.agent.rollout_store import DATABASE_FILE, RolloutStore, RolloutStoreError
from lapispick.agent.state_file import read_state
from lapispick.durable.database import Database, StoreUnusableError
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fleet import last_good
from lapispick.fleet.reading import InventoryFile, InventoryReader, ReadOptions
from lapispick.fleet.schema import ANY_HOST
from lapispick.handover import messages as handover_messages
from lapispick.host import config
from lapispick.host.amqp import content, methods
from lapispick.host.amqp.errors import AmqpError
from lapispick.host.jsonrpc import messages as jsonrpc_messages
from lapispick.host.members import transport
from lapispick.platform_settings import StartSettings, admission_settings
from lapispick.rollout import messages as agent_messages
from lapispick.trace import files, layout, lines

SAMPLES = Path(__file__).parent.parent / "tests" / "data" / "stored"
TRACE = SAMPLES.parent / "v1.lptrace"
MAX_SHOWN_BYTES = 200
CHANGE_COUNTS = (1, 1, 1, 2, 3, 8)
MAX_INSERTED_BYTES = 5
MAX_REMOVED_BYTES = 20
MAX_REPEATED_BYTES = 200
UNEXPECTED_VALUES = (
    *(b"null", b"true", b"-1", b"1e400", b"1e308", b"NaN", b"99999999999999999999999", b'""', b"[]", b"{}"),
    *(b'"\\ud800"', b"\xed\xa0\x80", b"\x00", b"\xff\xff\xff\xff", b"[" * 3000, b'{"a":' * 2000, b"\n", b","),
)

Read = Callable[[bytes], object]


class Reader(NamedTuple):
    """A reader, its valid samples, and the errors that it documents."""

    read: Read
    samples: list[bytes]
    errors: tuple[type[Exception], ...]


class UnexpectedError(NamedTuple):
    """An undocumented error, and the input that caused it."""

    error: Exception
    data: bytes


def change(rng: random.Random, data: bytes) -> bytes:
    """Return the data with a few random changes."""
    changed = bytearray(data)
    for _ in range(rng.choice(CHANGE_COUNTS)):
        position = rng.randrange(len(changed) + 1)
        match rng.randrange(6):
            case 0 if position < len(changed):
                changed[position] = rng.randrange(256)
            case 1:
                changed[position:position] = rng.randbytes(rng.randrange(1, MAX_INSERTED_BYTES))
            case 2:
                del changed[position : position + rng.randrange(1, MAX_REMOVED_BYTES)]
            case 3:
                changed[position:position] = rng.choice(UNEXPECTED_VALUES)
            case 4:
                del changed[position:]
            case 5:
                begin = rng.randrange(len(changed) + 1)
                changed[position:position] = changed[begin : begin + rng.randrange(MAX_REPEATED_BYTES)]
    return bytes(changed)


def search(reader: Reader, rng: random.Random, examples: int) -> tuple[Counter[str], dict[str, UnexpectedError]]:
    """Return the number of results by kind, and the shortest input for each kind of undocumented error."""
    counts: Counter[str] = Counter()
    unexpected: dict[str, UnexpectedError] = {}
    for _ in range(examples):
        data = change(rng, rng.choice(reader.samples))
        try:
            reader.read(data)
            counts["read"] += 1
        except reader.errors:
            counts["rejected"] += 1
        except Exception as err:  # noqa: BLE001 - these are what the search looks for
            kind = type(err).__name__
            counts[kind] += 1
            if kind not in unexpected or len(data) < len(unexpected[kind].data):
                unexpected[kind] = UnexpectedError(err, data)
    return counts, unexpected


# Readers.


def sample_lines(name: str) -> list[bytes]:
    """Return the lines of a stored sample."""
    return (SAMPLES / name).read_bytes().splitlines()


def read_request(data: bytes, settings: admission.Settings) -> None:
    """Decode and validate a request of a gateway."""
    message = jsonrpc_messages.decode(data)
    jsonrpc_messages.validate(message.params, settings.classes[0], set(), True)


def read_trace(data: bytes, path: Path) -> None:
    """Read all steps of a trace file; an invalid block may be skipped, as the tools do."""
    path.write_bytes(data)
    with files.TraceReader(path) as reader:
        for location in reader.blocks:
            reader.read_steps(location)


def read_inventory(data: bytes, name: str) -> None:
    """Read an inventory file."""
    result = InventoryReader(ReadOptions("all", ANY_HOST), {}).read([InventoryFile(name, data)])
    if not (result.faults or result.hosts):
        raise AssertionError("neither faults nor hosts")


def read_in_folder(data: bytes, folder: Path, name: str, read: Callable[[Path], object]) -> None:
    """Write a file into a folder and read the folder."""
    (folder / name).write_bytes(data)
    read(folder)


def read_keys(data: bytes, path: Path) -> None:
    """Open a database of keys and load all of them."""
    for leftover in path.parent.glob(f"{path.name}*"):
        leftover.unlink()
    path.write_bytes(data)
    store = Database(path, "n3")
    try:
        list(store.load())
    finally:
        store.close()


def read_rollouts(data: bytes, folder: Path) -> None:
    """Open a database of rollouts and read everything in it."""
    for leftover in folder.glob(f"{DATABASE_FILE}*"):
        leftover.unlink()
    (folder / DATABASE_FILE).write_bytes(data)
    store = RolloutStore(folder)
    try:
        for record in store.history():
            store.events(record.name)
            store.explanation(record.name)
            store.fleet_summary(record.name)
        store.leadership()
    finally:
        store.close()


def database_bytes(sample: str, folder: Path) -> bytes:
    """Return the file of a database that is stored as SQL statements."""
    path = folder / f"{sample}.sample"
    with sqlite3.connect(path) as db:
        db.executescript((SAMPLES / sample).read_text())
    db.close()
    return path.read_bytes()


def make_readers(folder: Path) -> dict[str, Reader]:
    """Return all readers by name; ``folder`` is for their files."""
    settings = admission_settings(msgspec.convert(PLATFORM_INFO, StartSettings))
    request = (
        b'{"jsonrpc":"2.0","id":7,"method":"track","params":{"trace":"0123456789abcdef","born":%.1f,"client":3,'
        b'"customer":"shop","patience":500,"redo":0,"size":3.5,"order":0.25,"doc":"eA==","id":4}}'
    ) % (time.time() * 1000)
    properties = content.Properties(
        content_type="a", headers={"size": 2.5, "class": "track", "deep": {"x": True}}, timestamp=9, message_id="m"
    )
    header = content.encode_header(1, 5, properties)[7:-1]
    deliver = methods.encode_method(1, methods.BasicDeliver("tag", 7, True, "exchange", "key"))[7:-1]
    start = methods.encode_method(0, methods.ConnectionStart(0, 9, {"product": "x"}, b"PLAIN", b"en_US"))[7:-1]
    state_folder = folder / "inventory-state"
    state_folder.mkdir()
    trace_lines = [line for line in _trace_lines()]
    json_errors = (msgspec.MsgspecError,)
    return {
        "jsonrpc": Reader(
            partial(read_request, settings=settings), [request], (*json_errors, jsonrpc_messages.InvalidMessageError)
        ),
        "jsonrpc id": Reader(jsonrpc_messages.decode_id, [request], json_errors),
        "amqp method": Reader(methods.decode_method, [deliver, start], (AmqpError,)),
        "amqp properties": Reader(content.decode_properties, [header], (AmqpError,)),
        "amqp body size": Reader(content.decode_body_size, [header], (AmqpError,)),
        "handover": Reader(handover_messages.decode, sample_lines("handover.jsonl"), json_errors),
        "members": Reader(transport.decode, sample_lines("members.jsonl"), ()),
        "agent call": Reader(
            lambda data: agent_messages.decode_call(data.decode()), sample_lines("agent-calls.txt"), (ValueError,)
        ),
        "agent status": Reader(
            lambda data: agent_messages.decode_status(["OK", data.decode()]),
            sample_lines("agent-status.jsonl"),
            (ValueError,),
        ),
        "agent state": Reader(
            lambda data: read_in_folder(
                data, folder, "state.json", lambda path: read_state(path / "state.json", "disp-01")
            ),
            sample_lines("agent-state.json"),
            (StateFileError,),
        ),
        "host config": Reader(config._decode, sample_lines("host-config.json"), (config.ConfigError,)),
        "inventory csv": Reader(partial(read_inventory, name="f.csv"), [b"host,amqp_port,x\na,1,none\nb,2,y\n"], ()),
        "inventory yaml": Reader(
            partial(read_inventory, name="f.yml"), [b"all:\n  hosts:\n    a: {x: 1}\n    b:\n      y: [1, two]\n"], ()
        ),
        "last good list": Reader(
            lambda data: read_in_folder(
                data, state_folder, last_good.LAST_GOOD_FILE, lambda path: last_good.load(path, "inventory.yml")
            ),
            [(SAMPLES / "inventory-state" / "last-good.jsonl").read_bytes()],
            (last_good.StateFolderError,),
        ),
        "inventory history": Reader(
            lambda data: read_in_folder(data, state_folder, last_good.HISTORY_FILE, last_good.load_history),
            [(SAMPLES / "inventory-state" / "history.jsonl").read_bytes()],
            (),
        ),
        "inventory status": Reader(
            lambda data: read_in_folder(data, state_folder, last_good.STATUS_FILE, last_good.load_status),
            [(SAMPLES / "inventory-state" / "status.json").read_bytes()],
            (),
        ),
        "accepted digest": Reader(
            lambda data: read_in_folder(data, state_folder, last_good.ACCEPT_FILE, last_good.load_operator_digest),
            [(SAMPLES / "inventory-state" / "accept").read_bytes()],
            (),
        ),
        "trace": Reader(partial(read_trace, path=folder / "x.lptrace"), [TRACE.read_bytes()], (layout.TraceError,)),
        "trace header line": Reader(lines.decode_header, trace_lines[:1], (lines.TraceLineError,)),
        "trace step line": Reader(lambda data: lines.decode_step(data, 2), trace_lines[1:], (lines.TraceLineError,)),
        "keys": Reader(
            partial(read_keys, path=folder / "keys.db"), [database_bytes("keys.sql", folder)], (StoreUnusableError,)
        ),
        "rollouts": Reader(
            partial(read_rollouts, folder=folder), [database_bytes("ledger.sql", folder)], (RolloutStoreError,)
        ),
    }


def _trace_lines() -> Iterable[bytes]:
    with files.TraceReader(TRACE) as reader:
        yield from lines.encode_trace(reader.header, reader.steps())


def main(arguments: Any = None) -> int:
    """Search all readers, or those that are named; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--examples", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reader", action="append")
    options = parser.parse_args(arguments)
    found = 0
    with tempfile.TemporaryDirectory() as folder:
        readers = make_readers(Path(folder))
        for name in options.reader or readers:
            counts, unexpected = search(readers[name], random.Random(f"{options.seed} {name}"), options.examples)
            print(f"{name}: {dict(counts)}", flush=True)
            for error, data in unexpected.values():
                print(f"  {type(error).__name__}: {error!s:.{MAX_SHOWN_BYTES}}: {data[:MAX_SHOWN_BYTES]!r}", flush=True)
            found += len(unexpected)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
