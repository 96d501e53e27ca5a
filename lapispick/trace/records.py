"""The records of a trace as protobuf messages: columns of a block's steps. No I/O.

The columns follow from the tables in ``kinds``; readers skip records and fields that they do not know, and give
fields that a file does not have yet their zero. docs/TRACE-FORMAT.md tells the whole.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import chain
from typing import Any

import numpy as np
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from lapispick import admission
from lapispick.trace import column_codec
from lapispick.trace.record_types import ACTIONS, EVENTS, KINDS, NUMBERS, Step

_F = descriptor_pb2.FieldDescriptorProto
STEPS_MOST, ITEMS_MOST = 1 << 16, 1 << 20  # of one block; what a reader makes room for before it has seen them
NOW, BOX, SHAPE = 1, 2, 3  # fields of record 0, the step itself
# A shape is the numbers of a step's records, a byte each: events, 0, actions, 0, notes. Few differ in a block.
SHAPE_END = b"\0"
LENGTHS = 64  # a list's lengths stand under its field's number and this
ZERO: dict[str, Any] = {
    "int": 0,
    "float": 0.0,
    "bool": False,
    "str": "",
    "bytes": b"",
    "Outcome": admission.Outcome.ERROR,
    "tuple[float, ...]": (),
}
OUTCOMES = {int(one): one for one in admission.Outcome}

_TABLE: dict[str, tuple[tuple[str, str], ...]] = {
    "Column": (
        ("record", "UINT32"),
        ("field", "UINT32"),
        ("form", "UINT32"),
        ("scale", "UINT32"),
        ("delta", "BOOL"),
        ("width", "UINT32"),
        ("against", "UINT32"),
        ("words", "*BYTES"),
        ("data", "BYTES"),
    ),
    "Block": (("steps", "UINT32"), ("columns", "*Column")),
    "Source": (
        ("box", "STRING"),
        ("incarnation", "STRING"),
        ("sequence", "UINT64"),
        ("started_ms", "DOUBLE"),
        ("module_now", "DOUBLE"),
        ("seed", "UINT64"),
        ("settings", "BYTES"),
        ("module", "STRING"),
        ("created_ms", "DOUBLE"),
        ("classes", "*STRING"),
        ("accounts", "*STRING"),
        ("offset", "DOUBLE"),
        ("drift", "DOUBLE"),
        ("at", "DOUBLE"),
        ("error", "DOUBLE"),
    ),
    "Header": (("sources", "*Source"), ("made", "*STRING")),
    "Entry": (("offset", "UINT64"), ("first", "DOUBLE"), ("last", "DOUBLE"), ("steps", "UINT64")),
    "Index": (("entries", "*Entry"),),
}


def _messages() -> dict[str, Any]:
    file = descriptor_pb2.FileDescriptorProto(name="lapispick/trace.proto", package="lapispick", syntax="proto3")
    for title, fields in _TABLE.items():
        message = file.message_type.add(name=title)
        for number, (name, kind) in enumerate(fields, 1):
            of = kind.lstrip("*")
            message.field.add(
                name=name,
                number=number,
                label=_F.LABEL_REPEATED if kind[0] == "*" else _F.LABEL_OPTIONAL,
                type=_F.TYPE_MESSAGE if of in _TABLE else getattr(_F, f"TYPE_{of}"),
                type_name=f".lapispick.{of}" if of in _TABLE else None,
            )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"lapispick.{name}")) for name in _TABLE}


_MADE = _messages()
Header, Source, BlockMessage, Index = _MADE["Header"], _MADE["Source"], _MADE["Block"], _MADE["Index"]


def fields_of(kind: type) -> dict[str, str]:
    """Return the annotations of a named tuple as they are written."""
    return {name: getattr(a, "__forward_arg__", str(a)) for name, a in kind.__annotations__.items()}


FIELDS: dict[type, tuple[tuple[str, str], ...]] = {kind: tuple(fields_of(kind).items()) for kind in NUMBERS}


def _add(block: Any, record: int, field: int, coded: column_codec.Coded, known: Iterable[bytes] = ()) -> None:
    block.columns.add(record=record, field=field, words=known, **coded._asdict())


def _column(block: Any, record: int, field: int, annotation: str, values: Sequence[Any], now: Any) -> None:
    if annotation == "float":
        _add(block, record, field, column_codec.floats(values, now))
    elif annotation in ("str", "bytes"):
        coded, known = column_codec.words(values)
        _add(block, record, field, coded, [word.encode() if isinstance(word, str) else word for word in known])
    elif annotation.startswith("tuple"):
        _add(block, record, field, column_codec.floats(list(chain.from_iterable(values))))
        _add(block, record, field + LENGTHS, column_codec.whole([len(value) for value in values]))
    else:
        _add(block, record, field, column_codec.whole(values))


def _chunks(block: Any) -> list[bytes]:
    """Return the bytes of a block in pieces that a compressor does best to code each by itself.

    A message may be put together from parts that repeat its fields, and ``data`` is the last field of a column.
    """
    made = [BlockMessage(steps=block.steps).SerializeToString()]
    for column in block.columns:
        whole = BlockMessage(columns=[column]).SerializeToString()
        size = len(column.data) // max(1, column.width)
        head = len(whole) - len(column.data)
        made.append(whole[:head])
        made += [whole[at : at + size] for at in range(head, len(whole), max(1, size))]
    return made


def pack(steps: Sequence[Step]) -> list[bytes]:
    """Return the bytes of a block with these steps, in pieces for ``layout.frame``."""
    block = BlockMessage(steps=len(steps))
    now = np.array([step.now for step in steps], dtype=np.float64)
    _add(block, 0, NOW, column_codec.floats(now))
    _add(block, 0, BOX, column_codec.whole([step.box for step in steps]))
    by_kind: dict[type, list[Any]] = {}
    places: dict[type, list[int]] = {}
    shapes = []
    for at, step in enumerate(steps):
        shape = bytearray()
        for part in (step.events, step.actions, step.notes):
            for item in part:
                kind = type(item)
                shape.append(NUMBERS[kind])
                by_kind.setdefault(kind, []).append(item)
                places.setdefault(kind, []).append(at)
            shape += SHAPE_END
        shapes.append(bytes(shape))
    coded, known = column_codec.words(shapes)
    _add(block, 0, SHAPE, coded, known)
    for kind, items in by_kind.items():
        fields = zip(FIELDS[kind], zip(*items, strict=True), strict=True)
        for at, ((_, annotation), values) in enumerate(fields, 1):
            _column(block, NUMBERS[kind], at, annotation, values, now[places[kind]])
    return _chunks(block)


class Rows:
    """All records of one kind in a block, field by field; ``steps`` says in which step each stands."""

    __slots__ = ("_block", "_found", "count", "kind", "steps")

    def __init__(self, block: Block, kind: type, steps: Any) -> None:
        self._block, self.kind, self.steps, self.count = block, kind, steps, len(steps)
        self._found: dict[str, Any] = {}

    def column(self, name: str) -> Any:
        """Return a field's values: an array of numbers, or of places in ``words(name)``."""
        if name not in self._found:
            self._found[name] = self._numbers(name)
        return self._found[name]

    def _place(self, name: str) -> tuple[int, str]:
        for at, (known, annotation) in enumerate(FIELDS[self.kind], 1):
            if known == name:
                return at, annotation
        raise KeyError(name)

    def _numbers(self, name: str) -> Any:
        at, annotation = self._place(name)
        got = self._block.numbers(NUMBERS[self.kind], at, self.count, self._block.now[self.steps])
        return np.zeros(self.count, np.float64 if annotation == "float" else np.int64) if got is None else got

    def words(self, name: str) -> list[bytes]:
        """Return what the places of a field of strings or bytes stand for; [b''] where the file has none."""
        column = self._block.columns.get((NUMBERS[self.kind], self._place(name)[0]))
        found = list(column.words) if column is not None else [b""]
        places = self.column(name)
        if self.count and not (int(places.min()) >= 0 and int(places.max()) < len(found)):
            raise ValueError("is no block: a word that is not there")
        return found

    def values(self, name: str) -> list[Any]:
        """Return a field's values as the records hold them."""
        at, annotation = self._place(name)
        if annotation == "tuple[float, ...]":
            lengths = self._block.numbers(NUMBERS[self.kind], at + LENGTHS, self.count)
            if lengths is None:
                return [()] * self.count
            ends = np.cumsum(lengths)
            if self.count and (int(lengths.min()) < 0 or int(lengths.max()) > ITEMS_MOST or int(ends[-1]) > ITEMS_MOST):
                raise ValueError("is no block: a list without bounds")
            flat = self._block.numbers(NUMBERS[self.kind], at, int(ends[-1]) if self.count else 0).tolist()
            return [
                tuple(flat[end - length : end]) for length, end in zip(lengths.tolist(), ends.tolist(), strict=True)
            ]
        found = self.column(name).tolist()
        if annotation == "Outcome":
            if not set(found) <= set(OUTCOMES):
                raise ValueError("is no block: an outcome that is not known")
            return [OUTCOMES[one] for one in found]
        if annotation == "bool":
            return [bool(one) for one in found]
        if annotation in ("str", "bytes"):
            known = self.words(name)
            told = [word.decode() for word in known] if annotation == "str" else known
            return [told[one] for one in found]
        return found


class Block:
    """The steps of a block by columns; each is decoded when it is asked for. Raises ``ValueError`` for no block."""

    def __init__(self, data: bytes) -> None:
        try:
            message = BlockMessage.FromString(data)
        except Exception as err:  # noqa: BLE001 - the library's DecodeError has no common base across its versions
            raise ValueError(f"is no block: {err}") from None
        self.columns = {(c.record, c.field): c for c in message.columns}
        self.count = message.steps
        if self.count > STEPS_MOST:
            raise ValueError(f"is no block: {self.count} steps; {STEPS_MOST} are the most")
        self.now = self._of_steps(NOW, np.float64)
        self.box = self._of_steps(BOX, np.int64)
        self._parts: dict[int, tuple[Any, Any]] = {}

    def numbers(self, record: int, field: int, count: int, now: Any = None) -> Any:
        """Return a column's values, None where the block has none such; ``now``: of the step of each."""
        column = self.columns.get((record, field))
        if column is None:
            return None
        return column_codec.numbers(
            column_codec.Coded(column.form, column.scale, column.delta, column.width, column.data, column.against),
            count,
            now,
        )

    def _of_steps(self, field: int, kind: Any) -> Any:
        got = self.numbers(0, field, self.count)
        return np.zeros(self.count, kind) if got is None else got

    def part(self, at: int) -> tuple[Any, Any]:
        """Return (step, kind number) of all items of the events (0), actions (1) or notes (2), in order."""
        if at not in self._parts:
            column, shapes = self.columns.get((0, SHAPE)), self._of_steps(SHAPE, np.int64)
            known = [word.split(SHAPE_END) for word in column.words] if column is not None else []
            if any(len(parts) < 3 for parts in known) or (
                self.count and not 0 <= int(shapes.min()) <= int(shapes.max()) < len(known)
            ):
                raise ValueError("is no block: a step without a shape")
            flat = np.frombuffer(b"".join(parts[at] for parts in known), dtype=np.uint8)
            lengths = np.array([len(parts[at]) for parts in known], dtype=np.int64)
            counts = lengths[shapes] if self.count else np.zeros(0, np.int64)
            total = int(counts.sum())
            if total > ITEMS_MOST:
                raise ValueError(f"is no block: {total} records; {ITEMS_MOST} are the most")
            begins = (np.cumsum(lengths) - lengths)[shapes] if self.count else counts
            places = np.arange(total) + np.repeat(begins - (np.cumsum(counts) - counts), counts)
            self._parts[at] = np.repeat(np.arange(self.count), counts), flat[places]
        return self._parts[at]

    def rows(self, kind: type) -> Rows:
        """Return all records of a kind, in order."""
        steps, kinds = self.part(part_of(kind))
        return Rows(self, kind, steps[kinds == NUMBERS[kind]])

    def steps(self) -> list[Step]:
        """Return the steps with their records."""
        parts = []
        for at in range(3):
            places, kinds = self.part(at)
            waiting = {number: iter(self._made(KINDS[number])) for number in set(kinds.tolist()) if number in KINDS}
            held: list[list[Any]] = [[] for _ in range(self.count)]
            for place, number in zip(places.tolist(), kinds.tolist(), strict=True):
                if (one := waiting.get(number)) is not None:  # else a record of a newer minor version
                    held[place].append(next(one))
            parts.append([tuple(one) for one in held])
        return [Step(*one) for one in zip(self.now.tolist(), *parts, self.box.tolist(), strict=True)]

    def _made(self, kind: type) -> list[Any]:
        rows = self.rows(kind)
        return [kind(*values) for values in zip(*(rows.values(name) for name, _ in FIELDS[kind]), strict=True)]


def part_of(kind: type) -> int:
    """Return where records of a kind stand: 0 events, 1 actions, 2 notes."""
    return _PARTS[kind]


def unpack(data: bytes) -> list[Step]:
    """Return the steps of a block; raises ``ValueError`` for what is no block."""
    return Block(data).steps()


_PARTS = {kind: 0 if kind in EVENTS else 1 if kind in ACTIONS else 2 for kind in NUMBERS}
