"""Parses an entry of the inventory by a schema: identity, address, typed variables, items. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity
from lapispick.fleet import schema as schemas
from lapispick.fleet.entries import Entry, LocatedValue
from lapispick.fleet.errors import HostNameError
from lapispick.fleet.schema import Schema, Variable
from lapispick.fleet.yaml_values import YamlMapping

MAX_ITEMS_PER_HOST = 1000


class ParsedItem(NamedTuple):
    """An item, such as a queue: its values by variable name, and its location."""

    values: dict[str, Any]
    location: SourceLocation


class ParsedEntry:
    """Parsed content of one entry. Entries with an equal ``name_key`` or ``address_key`` are the same host."""

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
        self.values: dict[str, LocatedValue] = {}
        self.items: list[ParsedItem] = []
        self.faults = FaultCollector()


class EntryParser:
    """Parses entries by one schema."""

    def __init__(self, schema: Schema, domain: str, environ: Mapping[str, str]) -> None:
        self._schema = schema
        self._domain = domain
        self._environ = environ

    def parse(self, entry: Entry) -> ParsedEntry:
        """Return the parsed entry; ``faults`` has what is wrong with it."""
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
        if self._schema.item_name_variable:
            self._parse_items(parsed, item_defaults)
        return parsed

    def _parse_address(self, parsed: ParsedEntry) -> None:
        """Set the address from the first address variable that is set; without one, the name stays the address."""
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
        """Parse the host's variables; return the values of item variables, which are defaults for the entry's items."""
        schema = self._schema
        item_defaults: dict[str, Any] = {}
        for key, var in parsed.entry.vars.items():
            if problem := schema.name_problem(key):
                parsed.faults.add(var.location, key, problem)
            elif key in schema.host_variables and key not in schema.address_variables:
                self._parse_host_variable(parsed, key, var)
            elif key in schema.item_variables:
                self._parse_value_into(item_defaults, parsed, schema.item_variables[key], key, var)
        return item_defaults

    def _parse_host_variable(self, parsed: ParsedEntry, key: str, var: LocatedValue) -> None:
        parsed_values: dict[str, Any] = {}
        if not self._parse_value_into(parsed_values, parsed, self._schema.host_variables[key], key, var):
            return
        value = parsed_values[key]
        parsed.values[key] = LocatedValue(value, var.location)
        target = self._schema.environment_variables.get(key)
        if not target or not value:
            return
        if value not in self._environ:
            return parsed.faults.add(var.location, key, f"environment variable {value} is not set")
        parsed.values[target] = LocatedValue(self._environ[value], var.location)

    def _parse_value_into(
        self, values: dict[str, Any], parsed: ParsedEntry, variable: Variable, key: str, var: LocatedValue
    ) -> bool:
        """Store a parsed value and return True, or add a fault and return False."""
        try:
            values[key] = schemas.parse_value(variable, var.value, self._domain)
        except (ValueError, OverflowError) as err:
            parsed.faults.add(var.location, key, str(err))
            return False
        return True

    def _set_keys(self, parsed: ParsedEntry) -> None:
        """Set the port and the keys that identify the host."""
        schema = self._schema
        port_variable = schema.port_variable
        if port_variable and (given_port := parsed.values.get(port_variable)) is not None:
            if parsed.port is not None and parsed.port != given_port.value:
                parsed.faults.add(
                    given_port.location,
                    port_variable,
                    f"port {given_port.value} contradicts the port {parsed.port} of the name or address",
                )
            parsed.port = given_port.value
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
        elif schema.item_name_variable in item_defaults:
            parsed.items.append(ParsedItem(item_defaults, entry_vars[schema.item_name_variable].location))
        if not parsed.items and not parsed.faults and schema.item_required:
            parsed.faults.add(
                parsed.entry.location, schema.item_name_variable, "missing; expected at least one for each host"
            )

    def _parse_item_list(self, parsed: ParsedEntry, item_defaults: dict[str, Any], item_list: LocatedValue) -> None:
        schema = self._schema
        location = item_list.location
        key = schema.items_variable
        if not isinstance(item_list.value, list) or schema.item_name_variable in item_defaults:
            return parsed.faults.add(
                location, key, f"expected a list, which can't be combined with {schema.item_name_variable}"
            )
        if len(item_list.value) > MAX_ITEMS_PER_HOST:
            return parsed.faults.add(
                location, key, f"expected at most {MAX_ITEMS_PER_HOST} items, got {len(item_list.value)}"
            )
        for element in item_list.value:
            if isinstance(element, YamlMapping):
                parsed.items.append(ParsedItem(self._parse_item(parsed, item_defaults, element), element.location))
            elif isinstance(element, str):
                item_values = {schema.item_name_variable: LocatedValue(element, location)}
                parsed.items.append(ParsedItem(self._parse_item(parsed, item_defaults, item_values), location))
            else:
                parsed.faults.add(location, key, f"expected a name or a mapping in the list, got {element!r:.60}")

    def _parse_item(
        self, parsed: ParsedEntry, item_defaults: dict[str, Any], item_values: Mapping[str, LocatedValue]
    ) -> dict[str, Any]:
        variables = self._schema.item_variables
        item = dict(item_defaults)
        for key, var in item_values.items():
            if key in variables:
                self._parse_value_into(item, parsed, variables[key], key, var)
            else:
                known = ", ".join(variables)
                parsed.faults.add(
                    var.location,
                    key,
                    f"unknown item variable; expected one of {known}{schemas.suggest_nearest(key, variables)}",
                )
        return item
