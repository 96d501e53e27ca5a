"""Assembles hosts from parsed entries: one host under all its spellings. No I/O.

Two entries are one host where their canonical names agree, or their addresses and ports do. What they say of the host
must agree then; a contradiction is a fault that names both locations. Items (queues, say) of all its entries add up.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgspec

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity
from lapispick.fleet.entries import Entry, Var
from lapispick.fleet.entry_parser import EntryParser, ParsedEntry, ParsedItem
from lapispick.fleet.schema import Schema

_HIDDEN = "***"
_pack = msgspec.msgpack.Encoder(order="sorted")


class InventoryHost(msgspec.Struct, frozen=True):
    """One host: its canonical name, where it is reached, and what the user of the list reads of it."""

    name: str
    address: str = msgspec.field(name="host")  # a name or an address, in its canonical form
    port: int | None
    vars: dict[str, Any]  # all variables of the schema that are given or have a default
    items: tuple[dict[str, Any], ...] = ()  # by name
    digest: bytes = b""  # of all above
    spellings: tuple[str, ...] = ()  # as the files write it
    locations: tuple[SourceLocation, ...] = msgspec.field(default=(), name="places")

    def shown(self, schema: Schema) -> dict[str, Any]:
        """Return the variables with secrets hidden."""
        return {key: _HIDDEN if value and _is_secret(schema, key) else value for key, value in self.vars.items()}


def _is_secret(schema: Schema, key: str) -> bool:
    variable = schema.host_variables.get(key)
    return variable is not None and variable.secret


class Assembler:
    """Assembles the hosts of one schema; what did not change since the last call is reused."""

    def __init__(self, schema: Schema, domain: str, environ: Mapping[str, str]) -> None:
        self._schema = schema
        self._parser = EntryParser(schema, domain, environ)
        self._parsed: dict[int, ParsedEntry] = {}  # by the identity of their entries
        self._hosts: dict[tuple[int, ...], tuple[list[ParsedEntry], InventoryHost]] = {}

    def assemble(self, entries: list[Entry], max_hosts: int, faults: FaultCollector) -> dict[str, InventoryHost]:
        """Return the hosts by name; faults are collected."""
        parsed_entries = self._parse(entries, faults)
        found: dict[str, InventoryHost] = {}
        if faults:
            return found
        assembled: dict[tuple[int, ...], tuple[list[ParsedEntry], InventoryHost]] = {}
        for group in _same_hosts(parsed_entries):
            key = (id(group[0]),) if len(group) == 1 else tuple(id(parsed) for parsed in group)
            known = self._hosts.get(key)  # it refers to its entries, so that no other object has their ids
            if known is None:
                known = (group, self._merge(group, faults))
            host = known[1]
            assembled[key] = known
            if (other := found.get(host.name)) is not None:
                faults.add(host.locations[0], host.name, f"another host has this name at {other.locations[0]}")
            found[host.name] = host
        self._hosts = assembled
        if len(found) > max_hosts:
            faults.add(entries[0].location, "", f"{len(found)} hosts; {max_hosts} are the most")
        return found

    def _parse(self, entries: list[Entry], faults: FaultCollector) -> list[ParsedEntry]:
        parsed_entries: dict[int, ParsedEntry] = {}
        for entry in entries:
            parsed = self._parsed.get(id(entry))
            if parsed is None or parsed.entry is not entry:
                parsed = self._parser.parse(entry)
            if parsed.faults:
                faults.extend(parsed.faults.collected)
            parsed_entries[id(entry)] = parsed
        self._parsed = parsed_entries
        return list(parsed_entries.values())

    def _merge(self, group: list[ParsedEntry], faults: FaultCollector) -> InventoryHost:
        """Return the host that these entries describe."""
        # A name is preferred to an address as the host's name; else the first in order.
        leader = min(group, key=lambda parsed: (identity.canonical_address(parsed.name) is not None, parsed.name))
        given = self._merge_values(leader, group, faults)
        # An address that one entry gives is preferred to names, whatever the others say.
        reached = min(group, key=lambda parsed: (identity.canonical_address(parsed.address) is None, parsed.address))
        for parsed in group:
            self._check_agreement(leader.name, reached, parsed, faults)
        values = {
            key: variable.default
            for key, variable in self._schema.host_variables.items()
            if variable.default is not None and key not in self._schema.address_variables
        }
        values |= {key: var.value for key, var in given.items()}
        items = self._merge_items(group, faults)
        packed = _pack.encode((leader.name, reached.address, reached.port, values, items))
        return InventoryHost(
            name=leader.name,
            address=reached.address,
            port=reached.port,
            vars=values,
            items=items,
            digest=blake2b(packed, digest_size=16).digest(),
            spellings=tuple(dict.fromkeys(parsed.entry.name for parsed in group)),
            locations=tuple(parsed.entry.location for parsed in group),
        )

    def _merge_values(self, leader: ParsedEntry, group: list[ParsedEntry], faults: FaultCollector) -> dict[str, Var]:
        merged: dict[str, Var] = {}
        for parsed in group:
            for key, var in parsed.values.items():
                known = merged.setdefault(key, var)
                if known.value == var.value:
                    continue
                secret = self._schema.host_variables[key].secret
                shown = "another value" if secret else f"{var.value!r} here, but {known.value!r}"
                faults.add(var.location, key, f"{leader.name} has {shown} at {known.location}")
        return merged

    def _check_agreement(self, name: str, reached: ParsedEntry, parsed: ParsedEntry, faults: FaultCollector) -> None:
        """Entries of one host may give a name and its address, but not two addresses or ports."""
        location = parsed.entry.location
        other_location = reached.entry.location
        if identity.canonical_address(parsed.address) and parsed.address != reached.address:
            faults.add(
                location, "host", f"{name} is at {parsed.address} here, but at {reached.address} at {other_location}"
            )
        if parsed.port != reached.port:
            key = self._schema.port_variable or "host"
            faults.add(location, key, f"{name} has port {parsed.port} here, but {reached.port} at {other_location}")

    def _merge_items(self, group: list[ParsedEntry], faults: FaultCollector) -> tuple[dict[str, Any], ...]:
        """Return the items of all entries in the order of their names."""
        schema = self._schema
        defaults = {
            key: variable.default for key, variable in schema.item_variables.items() if variable.default is not None
        }
        items: dict[str, ParsedItem] = {}
        for parsed in group:
            for values, location in parsed.items:
                item = defaults | values
                name = item.get(schema.item_name)
                if not name:
                    faults.add(location, schema.item_name, "is empty")
                elif name in items:
                    faults.add(location, schema.item_name, f"{name!r} stands twice, first at {items[name].location}")
                else:
                    items[name] = ParsedItem(item, location)
        return tuple(items[name].values for name in sorted(items))


def _same_hosts(parsed_entries: list[ParsedEntry]) -> list[list[ParsedEntry]]:
    """Group the entries of each host, in the order of their first entries (union-find over both keys)."""
    names = {parsed.name_key for parsed in parsed_entries}
    addresses = {parsed.address_key for parsed in parsed_entries}
    if len(names) == len(parsed_entries) == len(addresses):
        return [[parsed] for parsed in parsed_entries]
    first_of_key: dict[Any, int] = {}
    parents = list(range(len(parsed_entries)))

    def find(index: int) -> int:
        while parents[index] != index:
            parents[index] = parents[parents[index]]
            index = parents[index]
        return index

    for index, parsed in enumerate(parsed_entries):
        for key in (parsed.name_key, parsed.address_key):
            root = find(index)
            other = find(first_of_key.setdefault(key, index))
            parents[max(root, other)] = min(root, other)
    groups: dict[int, list[ParsedEntry]] = {}
    for index, parsed in enumerate(parsed_entries):
        groups.setdefault(find(index), []).append(parsed)
    # Sorted, so that the same entries give the same host in whatever order the files have them.
    return [
        sorted(group, key=lambda parsed: (parsed.name, parsed.entry.name, parsed.entry.location.line))
        if len(group) > 1
        else group
        for group in groups.values()
    ]
