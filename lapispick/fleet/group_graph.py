"""The graph of groups and their children: cycles, depths, descendants and inherited variables. No I/O."""

from __future__ import annotations

from lapispick.file_errors import SourceLocation
from lapispick.fleet.entries import LocatedValue
from lapispick.fleet.yaml_values import YamlMapping

ALL = "all"  # the group that contains every host


class Group:
    """One group, as all files together describe it."""

    __slots__ = ("children", "group_vars", "hosts", "location", "name", "vars")

    def __init__(self, name: str, location: SourceLocation) -> None:
        self.name = name
        self.location = location
        self.vars: dict[str, LocatedValue] = {}
        self.group_vars: dict[str, LocatedValue] = {}  # from the files in the folder ``group_vars``
        self.hosts: dict[str, tuple[YamlMapping, SourceLocation]] = {}
        self.children: dict[str, SourceLocation] = {}


def find_cycle(groups: dict[str, Group]) -> list[str]:
    """Return the groups of a cycle, with the first group repeated at the end; empty if there is no cycle."""
    done: set[str] = set()
    for start in sorted(groups):
        path: list[str] = []
        stack: list[tuple[str, bool]] = [(start, False)]
        while stack:
            name, is_exit = stack.pop()
            if is_exit:
                path.pop()
                done.add(name)
            elif name in path:
                return [*path[path.index(name) :], name]
            elif name not in done:
                path.append(name)
                stack.append((name, True))
                stack += [(child, False) for child in sorted(groups[name].children, reverse=True)]
    return []


def parents_of(groups: dict[str, Group]) -> dict[str, list[str]]:
    """Return the parents of each group."""
    parents: dict[str, list[str]] = {name: [] for name in groups}
    for group in groups.values():
        for child in group.children:
            parents[child].append(group.name)
    return parents


def depths_of(groups: dict[str, Group]) -> dict[str, int]:
    """Return the length of the longest path from the root to each group; the groups must have no cycle."""
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


def descendants_of(groups: dict[str, Group], root: str) -> set[str]:
    """Return a group and all its descendants; empty if the group does not exist."""
    descendants: set[str] = set()
    stack = [root] if root in groups else []
    while stack:
        name = stack.pop()
        if name not in descendants:
            descendants.add(name)
            stack += groups[name].children
    return descendants


def inherited_vars(
    groups: dict[str, Group], direct_groups: tuple[str, ...], parents: dict[str, list[str]], depths: dict[str, int]
) -> dict[str, LocatedValue]:
    """Return the variables that a host of these groups inherits.

    Groups of greater depth override those above them; groups of one depth are applied in the order of their names.
    """
    ancestors: set[str] = {ALL} & groups.keys()
    stack = [name for name in direct_groups if name in groups]
    while stack:
        name = stack.pop()
        if name not in ancestors:
            ancestors.add(name)
            stack += parents[name]
    inherited: dict[str, LocatedValue] = {}
    for name in sorted(ancestors, key=lambda name: (depths[name], name)):
        inherited |= groups[name].vars
        inherited |= groups[name].group_vars
    return inherited
