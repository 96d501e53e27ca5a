"""From entries to boxes: one box under all its spellings, with typed variables. No I/O.

Two entries are one box where their names agree in their one form, or their addresses and ports do. What they
say of the box must agree then; a contradiction is a fault that names both places. Items (queues, say) of all
its entries add up.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgspec

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity, schema
from lapispick.fleet.entries import Entry, Var
from lapispick.fleet.schema import Schema
from lapispick.fleet.yaml_reader import Map

ITEMS_MOST = 1000  # of one box
_pack = msgspec.msgpack.Encoder(order="sorted")


class Box(msgspec.Struct, frozen=True):
    """One box: its name in its one form, where it is reached, and what the user of the list wants to know."""

    name: str
    host: str  # a name or an address, in its one form
    port: int | None
    vars: dict[str, Any]  # all variables of the schema that are told or have a default
    items: tuple[dict[str, Any], ...] = ()  # by name
    digest: bytes = b""  # of all above
    spellings: tuple[str, ...] = ()  # as the files write it
    places: tuple[SourceLocation, ...] = ()

    def shown(self, wanted: Schema) -> dict[str, Any]:
        """Return the variables with secrets hidden."""
        return {
            k: "***" if (v := wanted.box.get(k)) is not None and v.secret and told else told
            for k, told in self.vars.items()
        }


class _Part:
    """What one entry says, read by the schema."""

    __slots__ = ("apart", "at", "entry", "faults", "host", "items", "name", "named", "port", "told")

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
        self.name, self.host, self.port = "", "", None
        self.apart: tuple[Any, ...] = ()
        self.named: tuple[Any, ...] = ()  # entries that share one of these two are one box
        self.at: tuple[Any, ...] = ()
        self.told: dict[str, Var] = {}
        self.items: list[tuple[dict[str, Any], SourceLocation]] = []
        self.faults = FaultCollector()


class Assembler:
    """Makes boxes of entries for one schema; what did not change since the last time is taken from there."""

    def __init__(self, wanted: Schema, domain: str, environ: Mapping[str, str]) -> None:
        self._schema, self._domain, self._environ = wanted, domain, environ
        self._parts: dict[int, _Part] = {}
        self._boxes: dict[tuple[int, ...], tuple[list[_Part], Box]] = {}

    def boxes(self, entries: list[Entry], most: int, faults: FaultCollector) -> dict[str, Box]:
        """Return the boxes by name; faults are collected."""
        parts: dict[int, _Part] = {}
        for entry in entries:
            part = self._parts.get(id(entry))
            if part is None or part.entry is not entry:
                part = self._part(entry)
            if part.faults:
                faults.extend(part.faults.collected)
            parts[id(entry)] = part
        self._parts = parts
        found: dict[str, Box] = {}
        kept: dict[tuple[int, ...], tuple[list[_Part], Box]] = {}
        if faults:
            return found
        for many in _same_boxes(list(parts.values())):
            key = (id(many[0]),) if len(many) == 1 else tuple(id(p) for p in many)
            known = self._boxes.get(key)  # it holds its parts, so that no other object has their ids
            if known is None:
                known = (many, self._box(many, faults))
            box = known[1]
            kept[key] = known
            if (other := found.get(box.name)) is not None:
                faults.add(box.places[0], box.name, f"another box has this name at {other.places[0]}")
            found[box.name] = box
        self._boxes = kept
        if len(found) > most:
            faults.add(entries[0].place, "", f"{len(found)} boxes; {most} are the most")
        return found

    def _part(self, entry: Entry) -> _Part:
        part, wanted = _Part(entry), self._schema
        try:
            part.name, part.port = identity.endpoint(entry.name, self._domain)
        except identity.NameFault as err:
            part.faults.add(entry.place, "host", str(err))
            return part
        part.host = part.name
        for key in wanted.host:
            if (var := entry.vars.get(key)) is not None and var.value != "":
                self._reached(part, key, var)
                break
        rows: dict[str, Any] = {}
        for key, var in entry.vars.items():
            if what := wanted.unknown(key):
                part.faults.add(var.place, key, what)
            elif key in wanted.box and key not in wanted.host:
                self._told(part, key, var)
            elif key in wanted.item:
                self._value(part, wanted.item[key], key, var, rows)
        if wanted.port and (told := part.told.get(wanted.port)) is not None:
            if part.port is not None and part.port != told.value:
                part.faults.add(told.place, wanted.port, f"{told.value} here, but {part.port} in the name")
            part.port = told.value
        elif wanted.port and part.port is None:
            part.port = wanted.box[wanted.port].default
        part.apart = tuple(part.told[k].value if k in part.told else wanted.box[k].default for k in wanted.apart)
        part.named, part.at = (part.name, part.apart), (part.host, part.port, part.apart)
        self._items(part, rows)
        return part

    def _reached(self, part: _Part, key: str, var: Var) -> None:
        try:
            part.host, port = identity.endpoint(str(var.value), self._domain)
        except identity.NameFault as err:
            return part.faults.add(var.place, key, str(err))
        if port is not None:
            part.port = port

    def _told(self, part: _Part, key: str, var: Var) -> None:
        held: dict[str, Any] = {}
        if not self._value(part, self._schema.box[key], key, var, held):
            return
        part.told[key] = Var(held[key], var.place)
        if (target := self._schema.environ.get(key)) and held[key]:
            if held[key] not in self._environ:
                return part.faults.add(var.place, key, f"{held[key]} is not set in the environment")
            part.told[target] = Var(self._environ[held[key]], var.place)

    def _value(self, part: _Part, variable: schema.Variable, key: str, var: Var, held: dict[str, Any]) -> bool:
        try:
            held[key] = schema.read(variable, var.value, self._domain)
        except (ValueError, OverflowError) as err:
            part.faults.add(var.place, key, str(err))
            return False
        return True

    def _items(self, part: _Part, row: dict[str, Any]) -> None:
        wanted, entry = self._schema, part.entry
        if not wanted.item_name:
            return
        self._listed(part, row)
        if not part.items and not part.faults and wanted.item_needed:
            part.faults.add(entry.place, wanted.item_name, "is not told, and a box needs one")

    def _listed(self, part: _Part, row: dict[str, Any]) -> None:
        wanted, entry = self._schema, part.entry
        listed = entry.vars.get(wanted.items) if wanted.items else None
        if listed is None:
            if wanted.item_name in row:
                part.items.append((row, entry.vars[wanted.item_name].place))
            return
        if not isinstance(listed.value, list) or wanted.item_name in row:
            return part.faults.add(
                listed.place, wanted.items, f"must be a list, and then there is no {wanted.item_name}"
            )
        if len(listed.value) > ITEMS_MOST:
            return part.faults.add(listed.place, wanted.items, f"holds more than {ITEMS_MOST}")
        for each in listed.value:
            if isinstance(each, Map):
                part.items.append((self._item(part, row, each), each.place))
            elif isinstance(each, str):
                part.items.append((self._item(part, row, {wanted.item_name: Var(each, listed.place)}), listed.place))
            else:
                part.faults.add(listed.place, wanted.items, "holds what is neither a name nor a mapping")

    def _item(self, part: _Part, row: dict[str, Any], told: Mapping[str, Var]) -> dict[str, Any]:
        held = dict(row)
        for key, var in told.items():
            if key not in self._schema.item:
                near = schema.suggest_nearest(key, self._schema.item)
                part.faults.add(var.place, key, f"unknown here{near}; there are {', '.join(self._schema.item)}")
            else:
                self._value(part, self._schema.item[key], key, var, held)
        return held

    def _box(self, parts: list[_Part], faults: FaultCollector) -> Box:
        wanted = self._schema
        told: dict[str, Var] = {}
        # The full name stands for the box where one entry gives an address as name; else the first in order.
        lead = min(parts, key=lambda p: (identity.address(p.name) is not None, p.name))
        for part in parts:
            for key, var in part.told.items():
                if key in told and told[key].value != var.value:
                    secret = wanted.box[key].secret
                    said = "another value" if secret else f"{var.value!r} here, but {told[key].value!r}"
                    faults.add(var.place, key, f"{lead.name} has {said} at {told[key].place}")
                told.setdefault(key, var)
        # An address that one entry states is where the box is, whatever the others call it.
        reached = min(parts, key=lambda p: (identity.address(p.host) is None, p.host))
        for part in parts:
            self._agree(lead.name, reached, part, faults)
        vars_ = {key: v.default for key, v in wanted.box.items() if v.default is not None and key not in wanted.host}
        vars_ |= {key: var.value for key, var in told.items()}
        items: dict[str, tuple[dict[str, Any], SourceLocation]] = {}
        for part in parts:
            for item, place in part.items:
                self._add_item(items, item, place, faults)
        ordered = tuple(items[name][0] for name in sorted(items))
        spellings = tuple(dict.fromkeys(p.entry.name for p in parts))
        packed = _pack.encode((lead.name, reached.host, reached.port, vars_, ordered))
        return Box(
            lead.name,
            reached.host,
            reached.port,
            vars_,
            ordered,
            blake2b(packed, digest_size=16).digest(),
            spellings,
            tuple(p.entry.place for p in parts),
        )

    def _agree(self, name: str, reached: _Part, part: _Part, faults: FaultCollector) -> None:
        """Two entries of one box may be reached by a name and its address, not at two addresses or ports."""
        if identity.address(part.host) and part.host != reached.host:
            faults.add(
                part.entry.place,
                "host",
                f"{name} is at {part.host} here, but at {reached.host} at {reached.entry.place}",
            )
        if part.port != reached.port:
            faults.add(
                part.entry.place,
                self._schema.port or "host",
                f"{name} has port {part.port} here, but {reached.port} at {reached.entry.place}",
            )

    def _add_item(
        self,
        items: dict[str, tuple[dict[str, Any], SourceLocation]],
        item: dict[str, Any],
        place: SourceLocation,
        faults: FaultCollector,
    ) -> None:
        wanted = self._schema
        full = {key: v.default for key, v in wanted.item.items() if v.default is not None} | item
        name = full.get(wanted.item_name)
        if not name:
            return faults.add(place, wanted.item_name, "is empty")
        if name in items:
            return faults.add(place, wanted.item_name, f"{name!r} stands twice, first at {items[name][1]}")
        items[name] = (full, place)


def _same_boxes(parts: list[_Part]) -> list[list[_Part]]:
    """Gather the parts of each box, in the order of their first parts."""
    if len({p.named for p in parts}) == len(parts) == len({p.at for p in parts}):
        return [[p] for p in parts]  # as it should be
    leads: dict[Any, int] = {}
    home = list(range(len(parts)))

    def find(at: int) -> int:
        while home[at] != at:
            home[at] = home[home[at]]
            at = home[at]
        return at

    for at, part in enumerate(parts):
        for key in (part.named, part.at):
            one, two = find(at), find(leads.setdefault(key, at))
            home[max(one, two)] = min(one, two)
    made: dict[int, list[_Part]] = {}
    for at, part in enumerate(parts):
        made.setdefault(find(at), []).append(part)
    # The order of the files is no matter: the same parts in another order are the same box.
    return [
        sorted(many, key=lambda p: (p.name, p.entry.name, p.entry.place.line)) if len(many) > 1 else many
        for many in made.values()
    ]
