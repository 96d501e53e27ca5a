"""Parses one entry of the list by a schema: identity, address, typed variables, items. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity
from lapispick.fleet import schema as schemas
from lapispick.fleet.entries import Entry, Var
from lapispick.fleet.errors import HostNameError
from lapispick.fleet.schema import Schema, Variable
from lapispick.fleet.yaml_values import Map

MAX_ITEMS = 1000  # of one host


class ParsedItem(NamedTuple):
    """An item (a queue, say) by the names of its variables, and where it is written."""

    values: dict[str, Any]
    location: SourceLocation


class ParsedEntry:
    """What one entry says of a host. Entries that share ``name_key`` or ``address_key`` are one host."""

    __slots__ = (
        "address",
        "address_key",
        "distinguishing",
        "entry",
        "faults",
        "items",
        "name",
        "name_key",
        "port",
        "values",
    )

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
        self.name = ""
        self.address = ""
        self.port: int | None = None
        self.distinguishing: tuple[Any, ...] = ()
        self.name_key: tuple[Any, ...] = ()
        self.address_key: tuple[Any, ...] = ()
        self.values: dict[str, Var] = {}
        self.items: list[ParsedItem] = []
        self.faults = FaultCollector()


class EntryParser:
    """Parses entries by one schema."""

    def __init__(self, schema: Schema, domain: str, environ: Mapping[str, str]) -> None:
        self._schema = schema
        self._domain = domain
        self._environ = environ

    def parse(self, entry: Entry) -> ParsedEntry:
        """Return what an entry says; what is wrong stands in its ``faults``."""
        parsed = ParsedEntry(entry)
        try:
            parsed.name, parsed.port = identity.parse_endpoint(entry.name, self._domain)
        except HostNameError as err:
            parsed.faults.add(entry.location, "host", str(err))
            return parsed
        parsed.address = parsed.name
        self._parse_address(parsed)
        item_defaults = self._parse_variables(parsed)
        self._set_keys(parsed)
        if self._schema.item_name:
            self._parse_items(parsed, item_defaults)
        return parsed

    def _parse_address(self, parsed: ParsedEntry) -> None:
        """Take the address of the first variable that gives one; else the name remains the address."""
        entry_vars = parsed.entry.vars
        for key in self._schema.address_variables:
            var = entry_vars.get(key)
            if var is None or var.value == "":
                continue
            try:
                parsed.address, port = identity.parse_endpoint(str(var.value), self._domain)
            except HostNameError as err:
                return parsed.faults.add(var.location, key, str(err))
            if port is not None:
                parsed.port = port
            return None

    def _parse_variables(self, parsed: ParsedEntry) -> dict[str, Any]:
        """Parse the host's variables; return those of items, which hold for each item of the entry."""
        schema = self._schema
        item_defaults: dict[str, Any] = {}
        for key, var in parsed.entry.vars.items():
            if problem := schema.unknown(key):
                parsed.faults.add(var.location, key, problem)
            elif key in schema.host_variables and key not in schema.address_variables:
                self._parse_host_variable(parsed, key, var)
            elif key in schema.item_variables:
                self._read_into(item_defaults, parsed, schema.item_variables[key], key, var)
        return item_defaults

    def _parse_host_variable(self, parsed: ParsedEntry, key: str, var: Var) -> None:
        read: dict[str, Any] = {}
        if not self._read_into(read, parsed, self._schema.host_variables[key], key, var):
            return
        value = read[key]
        parsed.values[key] = Var(value, var.location)
        target = self._schema.environment_variables.get(key)
        if not target or not value:
            return
        if value not in self._environ:
            return parsed.faults.add(var.location, key, f"{value} is not set in the environment")
        parsed.values[target] = Var(self._environ[value], var.location)

    def _read_into(self, values: dict[str, Any], parsed: ParsedEntry, variable: Variable, key: str, var: Var) -> bool:
        """Add a value in its type, or a fault; tell whether it was added."""
        try:
            values[key] = schemas.read(variable, var.value, self._domain)
        except (ValueError, OverflowError) as err:
            parsed.faults.add(var.location, key, str(err))
            return False
        return True

    def _set_keys(self, parsed: ParsedEntry) -> None:
        """Set the port, and what identifies the host."""
        schema = self._schema
        port_variable = schema.port_variable
        if port_variable and (given := parsed.values.get(port_variable)) is not None:
            if parsed.port is not None and parsed.port != given.value:
                parsed.faults.add(given.location, port_variable, f"{given.value} here, but {parsed.port} in the name")
            parsed.port = given.value
        elif port_variable and parsed.port is None:
            parsed.port = schema.host_variables[port_variable].default
        parsed.distinguishing = tuple(
            parsed.values[key].value if key in parsed.values else schema.host_variables[key].default
            for key in schema.distinguishing_variables
        )
        parsed.name_key = (parsed.name, parsed.distinguishing)
        parsed.address_key = (parsed.address, parsed.port, parsed.distinguishing)

    def _parse_items(self, parsed: ParsedEntry, item_defaults: dict[str, Any]) -> None:
        schema = self._schema
        entry_vars = parsed.entry.vars
        item_list = entry_vars.get(schema.items_variable) if schema.items_variable else None
        if item_list is not None:
            self._parse_item_list(parsed, item_defaults, item_list)
        elif schema.item_name in item_defaults:
            parsed.items.append(ParsedItem(item_defaults, entry_vars[schema.item_name].location))
        if not parsed.items and not parsed.faults and schema.item_required:
            parsed.faults.add(parsed.entry.location, schema.item_name, "is not told, and a host needs one")

    def _parse_item_list(self, parsed: ParsedEntry, item_defaults: dict[str, Any], item_list: Var) -> None:
        schema = self._schema
        location = item_list.location
        key = schema.items_variable
        if not isinstance(item_list.value, list) or schema.item_name in item_defaults:
            return parsed.faults.add(location, key, f"must be a list, and then there is no {schema.item_name}")
        if len(item_list.value) > MAX_ITEMS:
            return parsed.faults.add(location, key, f"holds more than {MAX_ITEMS}")
        for element in item_list.value:
            if isinstance(element, Map):
                parsed.items.append(ParsedItem(self._parse_item(parsed, item_defaults, element), element.location))
            elif isinstance(element, str):
                named = {schema.item_name: Var(element, location)}
                parsed.items.append(ParsedItem(self._parse_item(parsed, item_defaults, named), location))
            else:
                parsed.faults.add(location, key, "holds what is neither a name nor a mapping")

    def _parse_item(
        self, parsed: ParsedEntry, item_defaults: dict[str, Any], given: Mapping[str, Var]
    ) -> dict[str, Any]:
        variables = self._schema.item_variables
        item = dict(item_defaults)
        for key, var in given.items():
            if key in variables:
                self._read_into(item, parsed, variables[key], key, var)
            else:
                known = ", ".join(variables)
                parsed.faults.add(
                    var.location, key, f"unknown here{schemas.suggest_nearest(key, variables)}; there are {known}"
                )
        return item
