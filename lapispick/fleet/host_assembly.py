"""Assembles hosts from parsed entries and merges the entries of one host. No I/O.

Two entries belong to one host if their canonical names are equal, or their addresses and ports are. They must then
agree; a contradiction is a fault that names both locations. A host has the items (such as queues) of all its entries.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgspec

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity
from lapispick.fleet.entries import Entry, LocatedValue
from lapispick.fleet.entry_parser import EntryParser, ParsedEntry, ParsedItem
from lapispick.fleet.schema import Schema

_REDACTED = "***"
_digest_encoder = msgspec.msgpack.Encoder(order="sorted")


class InventoryHost(msgspec.Struct, frozen=True):
    """One host: its canonical name, its address, and the values of its variables in the schema."""

    name: str
    address: str = msgspec.field(name="host")  # a name or an address, in its canonical form
    port: int | None
    vars: dict[str, Any]  # all variables of the schema that are given or have a default
    items: tuple[dict[str, Any], ...] = ()  # sorted by name
    digest: bytes = b""  # of all fields above
    spellings: tuple[str, ...] = ()  # names as written in the files
    locations: tuple[SourceLocation, ...] = msgspec.field(default=(), name="places")

    def redacted_vars(self, schema: Schema) -> dict[str, Any]:
        """Return the variables with the values of secrets replaced by asterisks."""
        return {key: _REDACTED if value and _is_secret(schema, key) else value for key, value in self.vars.items()}


def _is_secret(schema: Schema, key: str) -> bool:
    variable = schema.host_variables.get(key)
    return variable is not None and variable.secret


class Assembler:
    """Assembles the hosts of one schema; reuses the hosts that did not change since the last call."""

    def __init__(self, schema: Schema, domain: str, environ: Mapping[str, str]) -> None:
        self._schema = schema
        self._parser = EntryParser(schema, domain, environ)
        self._parsed: dict[int, ParsedEntry] = {}  # by the ids of their entries
        # By the ids of the parsed entries, which are also kept, so that no other object gets the same id.
        self._hosts: dict[tuple[int, ...], tuple[list[ParsedEntry], InventoryHost]] = {}

    def assemble(self, entries: list[Entry], max_hosts: int, faults: FaultCollector) -> dict[str, InventoryHost]:
        """Return the hosts by name; faults are collected."""
        parsed_entries = self._parse(entries, faults)
        hosts: dict[str, InventoryHost] = {}
        if faults:
            return hosts
        assembled: dict[tuple[int, ...], tuple[list[ParsedEntry], InventoryHost]] = {}
        for group in _group_by_host(parsed_entries):
            key = (id(group[0]),) if len(group) == 1 else tuple(id(parsed) for parsed in group)
            known = self._hosts.get(key)
            if known is None:
                known = (group, self._merge(group, faults))
            host = known[1]
            assembled[key] = known
            if (other := hosts.get(host.name)) is not None:
                faults.add(host.locations[0], host.name, f"duplicate host, first used at {other.locations[0]}")
            hosts[host.name] = host
        self._hosts = assembled
        if len(hosts) > max_hosts:
            faults.add(entries[0].location, "", f"expected at most {max_hosts} hosts, got {len(hosts)}")
        return hosts

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
        # The host gets the first name in order; an address is used as its name only if no entry has a name.
        name_source = min(group, key=lambda parsed: (identity.canonical_address(parsed.name) is not None, parsed.name))
        merged_vars = self._merge_values(name_source, group, faults)
        # An address in any entry is preferred to a name, whatever the other entries have.
        address_source = min(
            group, key=lambda parsed: (identity.canonical_address(parsed.address) is None, parsed.address)
        )
        for parsed in group:
            self._check_agreement(name_source.name, address_source, parsed, faults)
        if not self._schema.prefix:
            self._check_written_values(name_source.name, group, faults)
        values = {
            key: variable.default
            for key, variable in self._schema.host_variables.items()
            if variable.default is not None and key not in self._schema.address_variables
        }
        values |= {key: var.value for key, var in merged_vars.items()}
        items = self._merge_items(group, faults)
        packed = _digest_encoder.encode((name_source.name, address_source.address, address_source.port, values, items))
        return InventoryHost(
            name=name_source.name,
            address=address_source.address,
            port=address_source.port,
            vars=values,
            items=items,
            digest=blake2b(packed, digest_size=16).digest(),
            spellings=tuple(dict.fromkeys(parsed.entry.name for parsed in group)),
            locations=tuple(parsed.entry.location for parsed in group),
        )

    def _merge_values(
        self, name_source: ParsedEntry, group: list[ParsedEntry], faults: FaultCollector
    ) -> dict[str, LocatedValue]:
        merged: dict[str, LocatedValue] = {}
        for parsed in group:
            for key, var in parsed.values.items():
                known = merged.setdefault(key, var)
                if known.value == var.value:
                    continue
                secret = self._schema.host_variables[key].secret
                shown = "another value" if secret else f"{var.value!r} here, but {known.value!r}"
                faults.add(var.location, key, f"{name_source.name} has {shown} at {known.location}")
        return merged

    def _check_agreement(
        self, name: str, address_source: ParsedEntry, parsed: ParsedEntry, faults: FaultCollector
    ) -> None:
        """Add a fault if an entry has another address or port; a name beside an address is no contradiction."""
        location = parsed.entry.location
        other_location = address_source.entry.location
        if identity.canonical_address(parsed.address) and parsed.address != address_source.address:
            faults.add(
                location,
                "host",
                f"{name} has address {parsed.address} here, but {address_source.address} at {other_location}",
            )
        if parsed.port != address_source.port:
            key = self._schema.port_variable or "host"
            faults.add(
                location, key, f"{name} has port {parsed.port} here, but {address_source.port} at {other_location}"
            )

    def _check_written_values(self, name: str, group: list[ParsedEntry], faults: FaultCollector) -> None:
        """Add a fault for each variable with two values, as written: no schema says what they mean."""
        first_values: dict[str, LocatedValue] = {}
        for parsed in group:
            for key, var in parsed.entry.vars.items():
                is_single_value = isinstance(var.value, str | int | float)
                if not is_single_value or var.value == "" or key in self._schema.address_variables:
                    continue
                first = first_values.setdefault(key, var)
                if str(first.value) != str(var.value):
                    shown = f"{var.value!r} here, but {first.value!r}"
                    faults.add(var.location, key, f"{name} has {shown} at {first.location}")

    def _merge_items(self, group: list[ParsedEntry], faults: FaultCollector) -> tuple[dict[str, Any], ...]:
        """Return the items of all entries, sorted by name."""
        schema = self._schema
        defaults = {
            key: variable.default for key, variable in schema.item_variables.items() if variable.default is not None
        }
        items: dict[str, ParsedItem] = {}
        for parsed in group:
            for values, location in parsed.items:
                item = defaults | values
                name = item.get(schema.item_name_variable)
                if not name:
                    faults.add(location, schema.item_name_variable, "is empty; expected a name")
                elif name in items:
                    faults.add(
                        location,
                        schema.item_name_variable,
                        f"duplicate name {name!r}, first used at {items[name].location}",
                    )
                else:
                    items[name] = ParsedItem(item, location)
        return tuple(items[name].values for name in sorted(items))


def _group_by_host(parsed_entries: list[ParsedEntry]) -> list[list[ParsedEntry]]:
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
    # Sorted, so that the host does not depend on the order of its entries in the files.
    return [
        sorted(group, key=lambda parsed: (parsed.name, parsed.entry.name, parsed.entry.location.line))
        if len(group) > 1
        else group
        for group in groups.values()
    ]
