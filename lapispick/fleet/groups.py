"""Groups of hosts: members, children and variables, and what each host inherits. No I/O.

Variables override each other in this order, the last one counts: ``all``, then groups from the top down (those of one
depth by name), the ``group_vars`` of each of them, the host itself, its ``host_vars``. Several files
are read in the order of their names; a later one overrides an earlier one, key by key.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity, ranges
from lapispick.fleet.entries import Entry, Var
from lapispick.fleet.errors import HostNameError, HostRangeError
from lapispick.fleet.group_graph import (
    ALL,
    Group,
    depths_of,
    descendants_of,
    find_cycle,
    inherited_vars,
    parents_of,
)
from lapispick.fleet.yaml_values import Map

GROUP_KEYS = ("hosts", "vars", "children")
MAX_GROUPS = 5_000
MAX_GROUP_DEPTH = 32  # groups within groups
_MAX_SHOWN_CHARACTERS = 300  # of the known groups in a message


class GroupTree:
    """All groups of all files."""

    def __init__(self, max_hosts: int, faults: FaultCollector) -> None:
        self.groups: dict[str, Group] = {}
        self.host_vars: dict[str, Map] = {}
        self.rows: list[tuple[str, Entry]] = []  # of CSV files, with their groups
        self._max_hosts = max_hosts
        self._max_memberships = 2 * max_hosts  # a host may be in several groups
        self._membership_count = 0
        self._faults = faults

    def group(self, name: str, location: SourceLocation) -> Group:
        """Return a group, created where it is new."""
        if (known := self.groups.get(name)) is None:
            known = self.groups[name] = Group(name, location)
            if len(self.groups) == MAX_GROUPS + 1:
                self._faults.add(location, name, f"more than {MAX_GROUPS} groups")
        return known

    def add(self, top: Map) -> None:
        """Add the groups of one YAML file."""
        for name, var in top.items():
            self._add_group(name, var, 0)

    def add_rows(self, rows: list[tuple[str, Entry]]) -> None:
        """Add the rows of one CSV file."""
        self.rows += rows
        for name, entry in rows:
            if name and name not in self.groups:
                self.group(name, entry.location)

    def _mapping(self, var: Var, key: str) -> Map:
        if var.value is None:
            return Map(var.location)
        if not isinstance(var.value, Map):
            self._faults.add(var.location, key, "must be a mapping")
            return Map(var.location)
        return var.value

    def _add_group(self, name: str, var: Var, depth: int) -> None:
        group = self.group(name, var.location)
        if depth > MAX_GROUP_DEPTH:
            return self._faults.add(var.location, name, f"groups are nested more than {MAX_GROUP_DEPTH} deep")
        for key, inner in self._mapping(var, name).items():
            if key not in GROUP_KEYS:
                self._faults.add(inner.location, key, f"a group has only {', '.join(GROUP_KEYS)}")
                continue
            mapping = self._mapping(inner, key)
            if key == "vars":
                group.vars |= mapping
            elif key == "children":
                self._add_children(group, mapping, depth)
            else:
                self._add_hosts(group, mapping)

    def _add_children(self, group: Group, children: Map, depth: int) -> None:
        for name, var in children.items():
            group.children.setdefault(name, var.location)
            self._add_group(name, var, depth + 1)

    def _add_hosts(self, group: Group, hosts: Map) -> None:
        for pattern, var in hosts.items():
            host_vars = self._mapping(var, pattern)
            names = self._expand(pattern, var.location)
            for name in names:
                if name in group.hosts and group.hosts[name][0]:
                    merged = Map(var.location)
                    merged.update(group.hosts[name][0] | host_vars)
                    host_vars = merged
                group.hosts[name] = (host_vars, var.location)
            self._membership_count += len(names)
        if self._membership_count > self._max_memberships:
            self._faults.add(group.location, group.name, f"more than {self._max_memberships} members of groups")

    def _expand(self, pattern: str, location: SourceLocation) -> list[str]:
        try:
            return ranges.expand(pattern, self._max_hosts)
        except HostRangeError as err:
            self._faults.add(location, pattern, str(err))
            return [pattern]


class _ResolvedEntry(NamedTuple):
    """An entry and the objects it was made of; the same objects, compared by ``is``, give the same entry."""

    sources: tuple[Any, ...]
    entry: Entry


class _Inheritance:
    """What the hosts of one reading inherit."""

    def __init__(self, tree: GroupTree, domain: str, previous: dict[tuple[str, ...], dict[str, Var]]) -> None:
        self.by_groups: dict[tuple[str, ...], dict[str, Var]] = {}
        self._groups = tree.groups
        self._domain = domain
        self._previous = previous
        self._depths = depths_of(tree.groups)
        self._parents = parents_of(tree.groups)
        self._host_vars = tree.host_vars | {
            _canonical(name, domain): mapping for name, mapping in tree.host_vars.items()
        }

    def group_vars(self, direct: tuple[str, ...]) -> dict[str, Var]:
        """Return what these groups give a host; the same object as in the last reading where it is equal."""
        known = self.by_groups.get(direct)
        if known is None:
            known = inherited_vars(self._groups, direct, self._parents, self._depths)
            earlier = self._previous.get(direct)
            if earlier is not None and earlier == known:
                known = earlier
            self.by_groups[direct] = known
        return known

    def host_vars(self, name: str) -> Map | None:
        """Return the ``host_vars`` of a host, under its name as written or its canonical name."""
        if not self._host_vars:
            return None
        return self._host_vars.get(name) or self._host_vars.get(_canonical(name, self._domain))

    def row_vars(self, name: str) -> Map | None:
        """Return the ``host_vars`` of the host of a CSV row, under its canonical name."""
        return self._host_vars.get(_canonical(name, self._domain)) if self._host_vars else None


class Resolver:
    """Resolves what each host inherits; reuses what did not change since the last call."""

    def __init__(self) -> None:
        self._hosts: dict[str, _ResolvedEntry] = {}
        self._rows: dict[int, _ResolvedEntry] = {}
        self._inherited: dict[tuple[str, ...], dict[str, Var]] = {}

    def entries(self, tree: GroupTree, group: str, domain: str, faults: FaultCollector) -> list[Entry]:
        """Return the hosts of a group and all below it, in the order of the files."""
        if not _check_groups(tree, group, faults):
            return []
        selected = descendants_of(tree.groups, group)
        inheritance = _Inheritance(tree, domain, self._inherited)
        entries: list[Entry] = []
        hosts: dict[str, _ResolvedEntry] = {}
        for name, direct in _groups_of_hosts(tree.groups).items():
            if group == ALL or selected.intersection(direct):
                hosts[name] = self._resolve_host(tree, name, tuple(direct), inheritance, faults)
                entries.append(hosts[name].entry)
        rows: dict[int, _ResolvedEntry] = {}
        for group_name, row in tree.rows:
            if not group_name or group == ALL or group_name in selected:
                entries.append(self._resolve_row(row, group_name or group, inheritance, rows))
        # Only what this list uses is retained: groups that are renamed over and over must not add up.
        self._hosts = hosts
        self._rows = rows
        self._inherited = inheritance.by_groups
        return entries

    def _resolve_host(
        self, tree: GroupTree, name: str, direct: tuple[str, ...], inheritance: _Inheritance, faults: FaultCollector
    ) -> _ResolvedEntry:
        given = [tree.groups[group].hosts[name] for group in direct]
        inherited = inheritance.group_vars(direct)
        host_vars = inheritance.host_vars(name)
        sources = (*(mapping for mapping, _ in given), host_vars, inherited)
        known = self._hosts.get(name)
        if known is not None and _identical(known.sources, sources):
            return known
        merged: dict[str, Var] = {}
        for mapping, _ in given:
            for key, var in mapping.items():
                earlier = merged.get(key)
                if earlier is not None and earlier.value != var.value and earlier.location.file == var.location.file:
                    faults.add(var.location, key, f"{name} has another value at {earlier.location}")
                merged[key] = var
        first_location = given[0][1]
        return _ResolvedEntry(sources, Entry(name, first_location, {**inherited, **merged, **(host_vars or {})}))

    def _resolve_row(self, row: Entry, group: str, inheritance: _Inheritance, rows: dict[int, _ResolvedEntry]) -> Entry:
        """Return the entry of a row; the row itself where it inherits nothing, else one that is added to ``rows``."""
        inherited = inheritance.group_vars((group,))
        host_vars = inheritance.row_vars(row.name)
        if not inherited and not host_vars:
            return row
        sources = (row, inherited, host_vars)
        resolved = self._rows.get(id(row))
        if resolved is None or not _identical(resolved.sources, sources):
            entry = Entry(row.name, row.location, {**inherited, **row.vars, **(host_vars or {})})
            resolved = _ResolvedEntry(sources, entry)
        rows[id(row)] = resolved
        return resolved.entry


def _check_groups(tree: GroupTree, group: str, faults: FaultCollector) -> bool:
    """Tell whether the group exists and no group contains itself; else there is a fault."""
    is_known = group in tree.groups or group == ALL or not all(name for name, _ in tree.rows)
    if not is_known and (tree.groups or tree.rows):
        known = ", ".join(sorted(tree.groups)) or "none"
        problem = f"there is no such group; there are {known[:_MAX_SHOWN_CHARACTERS]}"
        faults.add(SourceLocation("inventory"), group, problem)
        return False
    if cycle := find_cycle(tree.groups):
        location = tree.groups[cycle[0]].children[cycle[1]]
        faults.add(location, cycle[0], f"groups hold each other: {' -> '.join(cycle)}")
        return False
    return True


def _groups_of_hosts(groups: dict[str, Group]) -> dict[str, list[str]]:
    """Return the groups that name each host."""
    direct: dict[str, list[str]] = {}
    for group in groups.values():
        for name in group.hosts:
            direct.setdefault(name, []).append(group.name)
    return direct


def _identical(one: tuple[Any, ...], two: tuple[Any, ...]) -> bool:
    return len(one) == len(two) and all(a is b for a, b in zip(one, two, strict=True))


def _canonical(name: str, domain: str) -> str:
    try:
        return identity.parse_endpoint(name, domain)[0]
    except HostNameError:
        return name
