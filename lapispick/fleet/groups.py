"""Groups of boxes: members, children and variables, and what each box inherits. No I/O.

Variables count in this order, the later the more: ``all``, then groups from the top down (those of one depth
by name), what ``group_vars`` says of each of them, the box itself, what ``host_vars`` says of it. Several
files are read in the order of their names; a later one overrides an earlier one, key by key.
"""

from __future__ import annotations

from typing import Any

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import identity, ranges
from lapispick.fleet.entries import Entry, Var
from lapispick.fleet.yaml_reader import Map

ALL = "all"
KEYS = ("hosts", "vars", "children")
GROUPS_MOST = 5_000
DEPTH_MOST = 32  # groups within groups


class Group:
    """One group with all that the files say of it."""

    __slots__ = ("children", "hosts", "more", "name", "place", "vars")

    def __init__(self, name: str, place: SourceLocation) -> None:
        self.name, self.place = name, place
        self.vars: dict[str, Var] = {}
        self.more: dict[str, Var] = {}  # from group_vars
        self.hosts: dict[str, tuple[Map, SourceLocation]] = {}
        self.children: dict[str, SourceLocation] = {}


class Tree:
    """All groups of all files."""

    def __init__(self, most: int, faults: FaultCollector) -> None:
        self.groups: dict[str, Group] = {}
        self.host_vars: dict[str, Map] = {}
        self.rows: list[tuple[str, Entry]] = []  # of CSV files, with their groups
        self._most, self._faults, self._members = most, faults, 0

    def group(self, name: str, place: SourceLocation) -> Group:
        """Return a group, made where it is new."""
        if (known := self.groups.get(name)) is None:
            known = self.groups[name] = Group(name, place)
            if len(self.groups) == GROUPS_MOST + 1:
                self._faults.add(place, name, f"more than {GROUPS_MOST} groups")
        return known

    def add(self, top: Map) -> None:
        """Take the groups of one YAML file."""
        for name, var in top.items():
            self._group(name, var, 0)

    def add_rows(self, rows: list[tuple[str, Entry]]) -> None:
        """Take the rows of one CSV file."""
        self.rows += rows
        for name, entry in rows:
            if name and name not in self.groups:
                self.group(name, entry.place)

    def _mapping(self, var: Var, key: str) -> Map:
        if var.value is None:
            return Map(var.place)
        if not isinstance(var.value, Map):
            self._faults.add(var.place, key, "must be a mapping")
            return Map(var.place)
        return var.value

    def _group(self, name: str, var: Var, depth: int) -> None:
        group = self.group(name, var.place)
        if depth > DEPTH_MOST:
            return self._faults.add(var.place, name, f"groups are nested more than {DEPTH_MOST} deep")
        for key, part in self._mapping(var, name).items():
            if key not in KEYS:
                self._faults.add(part.place, key, f"a group has only {', '.join(KEYS)}")
                continue
            held = self._mapping(part, key)
            if key == "vars":
                group.vars |= held
            elif key == "children":
                for child, inner in held.items():
                    group.children.setdefault(child, inner.place)
                    self._group(child, inner, depth + 1)
            else:
                self._hosts(group, held)

    def _hosts(self, group: Group, held: Map) -> None:
        for pattern, inner in held.items():
            told = self._mapping(inner, pattern)
            names = (pattern,)
            if "[" in pattern:
                try:
                    names = ranges.expand(pattern, self._most)
                except ranges.RangeFault as err:
                    self._faults.add(inner.place, pattern, str(err))
            for name in names:
                if name in group.hosts and group.hosts[name][0]:
                    both = Map(inner.place)
                    both.update(group.hosts[name][0] | told)
                    told = both
                group.hosts[name] = (told, inner.place)
            self._members += len(names)
        if self._members > 2 * self._most:  # a box may stand in several groups, but not without end
            self._faults.add(group.place, group.name, f"more than {2 * self._most} members of groups")


class Resolver:
    """Works out what each box inherits; keeps what did not change since the last time."""

    def __init__(self) -> None:
        # What an entry was made of, and the entry; the same parts, told by ``is``, give the same entry.
        self._kept: dict[str, tuple[tuple[Any, ...], Entry]] = {}
        self._rows: dict[int, tuple[tuple[Any, ...], Entry]] = {}
        self._shared: dict[tuple[Any, ...], dict[str, Var]] = {}

    def entries(self, tree: Tree, wanted: str, domain: str, faults: FaultCollector) -> list[Entry]:
        """Return the boxes of a group and all below it, in the order of the files."""
        known_group = wanted in tree.groups or wanted == ALL or not all(name for name, _ in tree.rows)
        if not known_group and (tree.groups or tree.rows):
            known = ", ".join(sorted(tree.groups)) or "none"
            faults.add(SourceLocation("inventory"), wanted, f"there is no such group; there are {known[:300]}")
            return []
        if loop := _cycle(tree.groups):
            faults.add(tree.groups[loop[0]].children[loop[1]], loop[0], f"groups hold each other: {' -> '.join(loop)}")
            return []
        depths, parents = _depths(tree.groups), _parents(tree.groups)
        below = _below(tree.groups, wanted)
        own_groups: dict[str, list[str]] = {}
        for group in tree.groups.values():
            for name in group.hosts:
                own_groups.setdefault(name, []).append(group.name)
        shared: dict[tuple[str, ...], dict[str, Var]] = {}

        def inherited(direct: tuple[str, ...]) -> dict[str, Var]:
            if direct not in shared:
                shared[direct] = self._steady(direct, _inherit(tree.groups, direct, parents, depths))
            return shared[direct]

        host_vars = _host_vars(tree.host_vars, domain)
        made: list[Entry] = []
        kept: dict[str, tuple[tuple[Any, ...], Entry]] = {}
        for name, direct in own_groups.items():
            if wanted == ALL or below.intersection(direct):
                made.append(
                    self._host(tree, name, tuple(direct), inherited(tuple(direct)), host_vars, domain, kept, faults)
                )
        rows: dict[int, tuple[tuple[Any, ...], Entry]] = {}
        for group_name, row in tree.rows:
            if not group_name or wanted == ALL or group_name in below:
                made.append(self._row(row, inherited((group_name or wanted,)), host_vars, domain, rows))
        # Only what this list uses is kept: groups that are renamed for ever must not add up.
        self._kept, self._rows, self._shared = kept, rows, shared
        return made

    def _steady(self, direct: tuple[str, ...], fresh: dict[str, Var]) -> dict[str, Var]:
        """Return the same object as last time where the values are the same."""
        old = self._shared.get(direct)
        if old is not None and old == fresh:
            return old
        self._shared[direct] = fresh
        return fresh

    def _host(
        self,
        tree: Tree,
        name: str,
        direct: tuple[str, ...],
        inherited: dict[str, Var],
        host_vars: dict[str, Map],
        domain: str,
        kept: dict[str, Any],
        faults: FaultCollector,
    ) -> Entry:
        told = [tree.groups[g].hosts[name] for g in direct]
        more = host_vars.get(name) or host_vars.get(_canonical(name, domain)) if host_vars else None
        parts = (*(t[0] for t in told), more, inherited)
        old = self._kept.get(name)
        if old is not None and _identical(old[0], parts):
            kept[name] = old
            return old[1]
        vars_ = dict(inherited)
        first: dict[str, Var] = {}
        for mapping, _ in told:
            for key, var in mapping.items():
                if key in first and first[key].value != var.value and first[key].place.file == var.place.file:
                    faults.add(var.place, key, f"{name} has another value at {first[key].place}")
                first[key] = var
        vars_ |= first
        vars_ |= more or {}
        entry = Entry(name, told[0][1], vars_)
        kept[name] = (parts, entry)
        return entry

    def _row(
        self, row: Entry, inherited: dict[str, Var], host_vars: dict[str, Map], domain: str, rows: dict[int, Any]
    ) -> Entry:
        more = host_vars.get(_canonical(row.name, domain)) if host_vars else None
        if not inherited and not more:
            return row
        old = self._rows.get(id(row))
        parts = (row, inherited, more)
        if old is None or not _identical(old[0], parts):
            old = (parts, Entry(row.name, row.place, {**inherited, **row.vars, **(more or {})}))
        rows[id(row)] = old
        return old[1]


def _identical(one: tuple[Any, ...], two: tuple[Any, ...]) -> bool:
    return len(one) == len(two) and all(a is b for a, b in zip(one, two, strict=True))


def _canonical(name: str, domain: str) -> str:
    try:
        return identity.endpoint(name, domain)[0]
    except identity.NameFault:
        return name


def _host_vars(told: dict[str, Map], domain: str) -> dict[str, Map]:
    return told | {_canonical(name, domain): held for name, held in told.items()}


def _parents(groups: dict[str, Group]) -> dict[str, list[str]]:
    made: dict[str, list[str]] = {name: [] for name in groups}
    for group in groups.values():
        for child in group.children:
            made[child].append(group.name)
    return made


def _cycle(groups: dict[str, Group]) -> list[str]:
    """Return the groups of a loop, the first one again as the last; none where there is no loop."""
    done: set[str] = set()
    for start in sorted(groups):
        path: list[str] = []
        stack: list[tuple[str, bool]] = [(start, False)]
        while stack:
            name, leaving = stack.pop()
            if leaving:
                path.pop()
                done.add(name)
            elif name in path:
                return [*path[path.index(name) :], name]
            elif name not in done:
                path.append(name)
                stack.append((name, True))
                stack += [(child, False) for child in sorted(groups[name].children, reverse=True)]
    return []


def _depths(groups: dict[str, Group]) -> dict[str, int]:
    """Return how far each group is from the top at the most; there are no loops any more."""
    depths = {name: 0 if name == ALL else 1 for name in groups}
    changed = True
    while changed:
        changed = False
        for group in groups.values():
            for child in group.children:
                if depths[child] <= depths[group.name]:
                    depths[child] = depths[group.name] + 1
                    changed = True
    return depths


def _below(groups: dict[str, Group], wanted: str) -> set[str]:
    found: set[str] = set()
    stack = [wanted] if wanted in groups else []
    while stack:
        name = stack.pop()
        if name not in found:
            found.add(name)
            stack += groups[name].children
    return found


def _inherit(
    groups: dict[str, Group], direct: tuple[str, ...], parents: dict[str, list[str]], depths: dict[str, int]
) -> dict[str, Var]:
    found: set[str] = {ALL} & groups.keys()
    stack = [name for name in direct if name in groups]
    while stack:
        name = stack.pop()
        if name not in found:
            found.add(name)
            stack += parents[name]
    order = sorted(found, key=lambda name: (depths[name], name))
    made: dict[str, Var] = {}
    for name in order:
        made |= groups[name].vars
        made |= groups[name].more
    return made
