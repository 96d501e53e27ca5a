"""Groups of hosts: members, children and variables, and the variables that each host inherits. No I/O.

Variables are applied in this order, and later ones override earlier ones: those of ``all``; those of the other groups
by increasing depth, and by name within one depth; those of the host itself; its ``host_vars``. The ``group_vars`` of a
group follow its own variables. Files are read in the order of their names; a later file overrides an earlier one, key
by key.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity, ranges
from lapispick.fleet.entries import Entry, LocatedValue
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
from lapispick.fleet.yaml_values import YamlMapping

GROUP_KEYS = ("hosts", "vars", "children")
MAX_GROUPS = 5_000
MAX_GROUP_DEPTH = 32  # of nested groups
_MAX_SHOWN_CHARACTERS = 300  # of the known groups in a message


class GroupTree:
    """The groups of all files of a list, with their hosts and variables."""

    def __init__(self, max_hosts: int, faults: FaultCollector) -> None:
        self.groups: dict[str, Group] = {}
        self.host_vars: dict[str, YamlMapping] = {}
        self.rows: list[tuple[str, Entry]] = []  # of CSV files: (group or "", entry)
        self._max_hosts = max_hosts
        self._max_memberships = 2 * max_hosts  # a host may be in several groups
        self._membership_count = 0
        self._faults = faults

    def get_or_create_group(self, name: str, location: SourceLocation) -> Group:
        """Return a group; create it if it is new."""
        if (group := self.groups.get(name)) is None:
            group = self.groups[name] = Group(name, location)
            if len(self.groups) == MAX_GROUPS + 1:
                self._faults.add(location, name, f"expected at most {MAX_GROUPS} groups, got more")
        return group

    def add(self, root: YamlMapping) -> None:
        """Add the groups of one YAML file."""
        for name, contents in root.items():
            self._add_group(name, contents, 0)

    def add_rows(self, rows: list[tuple[str, Entry]]) -> None:
        """Add the rows of one CSV file."""
        self.rows += rows
        for name, entry in rows:
            if name and name not in self.groups:
                self.get_or_create_group(name, entry.location)

    def _mapping(self, contents: LocatedValue, key: str) -> YamlMapping:
        if contents.value is None:
            return YamlMapping(contents.location)
        if not isinstance(contents.value, YamlMapping):
            self._faults.add(contents.location, key, "expected a mapping")
            return YamlMapping(contents.location)
        return contents.value

    def _add_group(self, name: str, contents: LocatedValue, depth: int) -> None:
        group = self.get_or_create_group(name, contents.location)
        if depth > MAX_GROUP_DEPTH:
            return self._faults.add(
                contents.location, name, f"expected groups nested at most {MAX_GROUP_DEPTH} levels deep, got more"
            )
        for key, inner in self._mapping(contents, name).items():
            if key not in GROUP_KEYS:
                self._faults.add(
                    inner.location, key, f"unknown key in a group; expected one of {', '.join(GROUP_KEYS)}"
                )
                continue
            mapping = self._mapping(inner, key)
            if key == "vars":
                group.vars |= mapping
            elif key == "children":
                self._add_children(group, mapping, depth)
            else:
                self._add_hosts(group, mapping)

    def _add_children(self, group: Group, children: YamlMapping, depth: int) -> None:
        for name, contents in children.items():
            group.children.setdefault(name, contents.location)
            self._add_group(name, contents, depth + 1)

    def _add_hosts(self, group: Group, hosts: YamlMapping) -> None:
        for pattern, contents in hosts.items():
            host_vars = self._mapping(contents, pattern)
            names = self._expand(pattern, contents.location)
            for name in names:
                if name in group.hosts and group.hosts[name][0]:
                    merged = YamlMapping(contents.location)
                    merged.update(group.hosts[name][0] | host_vars)
                    host_vars = merged
                group.hosts[name] = (host_vars, contents.location)
            self._membership_count += len(names)
        if self._membership_count > self._max_memberships:
            self._faults.add(
                group.location,
                group.name,
                f"expected at most {self._max_memberships} group memberships, got more",
            )

    def _expand(self, pattern: str, location: SourceLocation) -> list[str]:
        try:
            return ranges.expand(pattern, self._max_hosts)
        except HostRangeError as err:
            self._faults.add(location, pattern, str(err))
            return [pattern]


class _ResolvedEntry(NamedTuple):
    """An entry and the objects that it was built from; it is reused while these are the same objects."""

    sources: tuple[Any, ...]
    entry: Entry


class _Inheritance:
    """The variables that hosts inherit, for one read of the list."""

    def __init__(self, tree: GroupTree, domain: str, previous: dict[tuple[str, ...], dict[str, LocatedValue]]) -> None:
        self.by_groups: dict[tuple[str, ...], dict[str, LocatedValue]] = {}
        self._groups = tree.groups
        self._domain = domain
        self._previous = previous
        self._depths = depths_of(tree.groups)
        self._parents = parents_of(tree.groups)
        self._host_vars = tree.host_vars | {
            _canonical_name(name, domain): mapping for name, mapping in tree.host_vars.items()
        }

    def group_vars(self, direct_groups: tuple[str, ...]) -> dict[str, LocatedValue]:
        """Return the variables inherited from these groups; the object of the last read if it is equal."""
        known = self.by_groups.get(direct_groups)
        if known is None:
            known = inherited_vars(self._groups, direct_groups, self._parents, self._depths)
            earlier = self._previous.get(direct_groups)
            if earlier is not None and earlier == known:
                known = earlier
            self.by_groups[direct_groups] = known
        return known

    def host_vars(self, name: str) -> YamlMapping | None:
        """Return the ``host_vars`` of a host, by its name as written or its canonical name."""
        if not self._host_vars:
            return None
        return self._host_vars.get(name) or self._host_vars.get(_canonical_name(name, self._domain))

    def host_vars_of_row(self, name: str) -> YamlMapping | None:
        """Return the ``host_vars`` of the host of a CSV row, by its canonical name."""
        return self._host_vars.get(_canonical_name(name, self._domain)) if self._host_vars else None


class Resolver:
    """Resolves the variables that each host inherits; reuses results that did not change since the last call."""

    def __init__(self) -> None:
        self._hosts: dict[str, _ResolvedEntry] = {}
        self._rows: dict[int, _ResolvedEntry] = {}
        self._inherited: dict[tuple[str, ...], dict[str, LocatedValue]] = {}

    def entries(self, tree: GroupTree, group: str, domain: str, faults: FaultCollector) -> list[Entry]:
        """Return the entries of the hosts in a group and its descendants, in the order of the files."""
        if not _check_groups(tree, group, faults):
            return []
        selected = descendants_of(tree.groups, group)
        inheritance = _Inheritance(tree, domain, self._inherited)
        entries: list[Entry] = []
        hosts: dict[str, _ResolvedEntry] = {}
        for name, direct_groups in _groups_of_hosts(tree.groups).items():
            if group == ALL or selected.intersection(direct_groups):
                hosts[name] = self._resolve_host(tree, name, tuple(direct_groups), inheritance, faults)
                entries.append(hosts[name].entry)
        rows: dict[int, _ResolvedEntry] = {}
        for group_name, row in tree.rows:
            if not group_name or group == ALL or group_name in selected:
                entries.append(self._resolve_row(row, group_name or group, inheritance, rows))
        # Keep only what this list uses, so that repeatedly renamed groups don't make the cache grow.
        self._hosts = hosts
        self._rows = rows
        self._inherited = inheritance.by_groups
        return entries

    def _resolve_host(
        self,
        tree: GroupTree,
        name: str,
        direct_groups: tuple[str, ...],
        inheritance: _Inheritance,
        faults: FaultCollector,
    ) -> _ResolvedEntry:
        definitions = [tree.groups[group].hosts[name] for group in direct_groups]
        inherited = inheritance.group_vars(direct_groups)
        host_vars = inheritance.host_vars(name)
        sources = (*(mapping for mapping, _ in definitions), host_vars, inherited)
        known = self._hosts.get(name)
        if known is not None and _are_same_objects(known.sources, sources):
            return known
        merged: dict[str, LocatedValue] = {}
        for mapping, _ in definitions:
            for key, var in mapping.items():
                earlier = merged.get(key)
                if earlier is not None and earlier.value != var.value and earlier.location.file == var.location.file:
                    faults.add(var.location, key, f"{name} has another value at {earlier.location}")
                merged[key] = var
        first_location = definitions[0][1]
        return _ResolvedEntry(sources, Entry(name, first_location, {**inherited, **merged, **(host_vars or {})}))

    def _resolve_row(self, row: Entry, group: str, inheritance: _Inheritance, rows: dict[int, _ResolvedEntry]) -> Entry:
        """Return the row itself if it inherits nothing, otherwise a resolved entry, which is added to ``rows``."""
        inherited = inheritance.group_vars((group,))
        host_vars = inheritance.host_vars_of_row(row.name)
        if not inherited and not host_vars:
            return row
        sources = (row, inherited, host_vars)
        resolved = self._rows.get(id(row))
        if resolved is None or not _are_same_objects(resolved.sources, sources):
            entry = Entry(row.name, row.location, {**inherited, **row.vars, **(host_vars or {})})
            resolved = _ResolvedEntry(sources, entry)
        rows[id(row)] = resolved
        return resolved.entry


def _check_groups(tree: GroupTree, group: str, faults: FaultCollector) -> bool:
    """Return True if the group exists and no group contains itself; otherwise add a fault."""
    is_known = group in tree.groups or group == ALL or not all(name for name, _ in tree.rows)
    if not is_known and (tree.groups or tree.rows):
        known = ", ".join(sorted(tree.groups)) or "none"
        problem = f"unknown group; expected one of {known[:_MAX_SHOWN_CHARACTERS]}"
        faults.add(SourceLocation("inventory"), group, problem)
        return False
    if cycle := find_cycle(tree.groups):
        location = tree.groups[cycle[0]].children[cycle[1]]
        faults.add(location, cycle[0], f"cycle of groups: {' -> '.join(cycle)}")
        return False
    return True


def _groups_of_hosts(groups: dict[str, Group]) -> dict[str, list[str]]:
    """Return the groups that directly contain each host."""
    groups_of_hosts: dict[str, list[str]] = {}
    for group in groups.values():
        for name in group.hosts:
            groups_of_hosts.setdefault(name, []).append(group.name)
    return groups_of_hosts


def _are_same_objects(left: tuple[Any, ...], right: tuple[Any, ...]) -> bool:
    return len(left) == len(right) and all(a is b for a, b in zip(left, right, strict=True))


def _canonical_name(name: str, domain: str) -> str:
    try:
        return identity.parse_endpoint(name, domain)[0]
    except HostNameError:
        return name
