"""Inventories as configuration tools keep them: CSV with a header, or YAML with groups, hosts and vars.

Both give hosts with variables; each variable knows where it was written, so that faults can say so.
"""

from __future__ import annotations

import csv
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import yaml

SIZE_MOST = 4 << 20  # bytes of one file
DEPTH_MOST = 32  # groups within groups
GROUP_KEYS = ("hosts", "vars", "children")


class InventoryError(Exception):
    """The inventory cannot be used; the text names file, row and key."""


class Var(NamedTuple):
    """A value and where it was written."""

    value: Any
    where: str

    def fault(self, key: str, what: str) -> InventoryError:
        """Make the error for this variable."""
        return InventoryError(f"{self.where}: {key}: {what}")


@dataclass
class Host:
    """One host, or one of its rows."""

    name: str
    where: str
    vars: dict[str, Var] = field(default_factory=dict)


def load(path: Path, group: str) -> list[Host]:
    """Return the hosts of a group; raises ``InventoryError``."""
    try:
        if path.stat().st_size > SIZE_MOST:
            raise InventoryError(f"{path}: over {SIZE_MOST} bytes")
        text = path.read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as err:
        raise InventoryError(f"{path}: {err}") from None
    if path.suffix == ".csv":
        return _from_csv(path, text, group)
    if path.suffix in (".yml", ".yaml"):
        return _from_yaml(path, text, group)
    raise InventoryError(f"{path}: neither .csv nor .yml or .yaml")


def _from_csv(path: Path, text: str, group: str) -> list[Host]:
    """Read rows with a column ``host``, perhaps ``group``, and one for each variable; empty is absent."""
    reader = csv.reader(text.splitlines(), strict=True)
    hosts: list[Host] = []
    header: list[str] = []
    try:
        for cells in reader:
            where = f"{path}: row {reader.line_num}"
            if not any(c.strip() for c in cells):
                continue
            if not header:
                header = [c.strip() for c in cells]
                if "host" not in header:
                    raise InventoryError(f"{where}: host: the header has no such column")
                if double := next((c for c in header if header.count(c) > 1), None):
                    raise InventoryError(f"{where}: {double}: the header has this column twice")
                continue
            if len(cells) != len(header):
                key = header[min(len(cells), len(header) - 1)]
                raise InventoryError(f"{where}: {key}: {len(cells)} cells under {len(header)} columns")
            row = {k: c.strip() for k, c in zip(header, cells, strict=True) if c.strip()}
            if "host" not in row:
                raise InventoryError(f"{where}: host: is empty")
            if row.get("group", group) == group:
                held = {k: Var(v, where) for k, v in row.items() if k not in ("host", "group")}
                hosts.append(Host(row["host"], where, held))
    except csv.Error as err:
        raise InventoryError(f"{path}: row {reader.line_num}: {err}") from None
    if not header:
        raise InventoryError(f"{path}: row 1: host: there is no header")
    return hosts


class _Mapping(dict[str, Any]):
    """A YAML mapping that knows the lines of its keys."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: dict[str, int] = {}


class _Loader(yaml.SafeLoader):
    """The safe loader, with lines, text keys and no key twice."""


def _construct(loader: _Loader, node: yaml.MappingNode) -> Any:
    made = _Mapping()
    yield made
    seen: set[str] = set()
    for key_node, _ in node.value:
        if not isinstance(key_node, yaml.ScalarNode) or key_node.value in seen:
            text = f"{key_node.value}: stands twice, or is no plain key"
            raise yaml.constructor.ConstructorError(None, None, text, key_node.start_mark)
        seen.add(key_node.value)
    loader.flatten_mapping(node)
    for key_node, value_node in node.value:
        made[key_node.value] = loader.construct_object(value_node, deep=True)
        made.lines[key_node.value] = key_node.start_mark.line + 1


_Loader.add_constructor("tag:yaml.org,2002:map", _construct)


@dataclass
class _Group:
    vars: dict[str, Var] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    children: list[str] = field(default_factory=list)


def _from_yaml(path: Path, text: str, group: str) -> list[Host]:
    try:
        top = yaml.load(text, Loader=_Loader)
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        line = mark.line + 1 if mark else 1
        raise InventoryError(f"{path}: row {line}: {err.problem or err}") from None
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        raise InventoryError(f"{path}: row 1: {err}") from None
    groups: dict[str, _Group] = {}
    for name, body in _mapping(top, path, "row 1", "the whole").items():
        _read_group(path, groups, name, body, f"row {top.lines[name]}", 0)
    if group not in groups:
        raise InventoryError(f"{path}: row 1: {group}: there is no such group")
    hosts: dict[str, Host] = {}
    _inherit(groups, group, {}, hosts, _above(groups, group))
    return list(hosts.values())


def _mapping(value: Any, path: Path, where: str, key: str) -> _Mapping:
    if value is None:
        return _Mapping()
    if not isinstance(value, _Mapping):
        raise InventoryError(f"{path}: {where}: {key}: must be a mapping")
    return value


def _read_group(path: Path, groups: dict[str, _Group], name: str, body: Any, where: str, depth: int) -> None:
    if depth > DEPTH_MOST:
        raise InventoryError(f"{path}: {where}: {name}: groups are nested too deep")
    group = groups.setdefault(name, _Group())
    body = _mapping(body, path, where, name)
    for key in body:
        at = f"row {body.lines[key]}"
        if key not in GROUP_KEYS:
            raise InventoryError(f"{path}: {at}: {key}: a group has only {', '.join(GROUP_KEYS)}")
        part = _mapping(body[key], path, at, key)
        for inner, value in part.items():
            row = f"row {part.lines[inner]}"
            if key == "vars":
                group.vars[inner] = Var(value, f"{path}: {row}")
            elif key == "children":
                group.children += [inner] if inner not in group.children else []
                _read_group(path, groups, inner, value, row, depth + 1)
            else:
                held = _mapping(value, path, row, inner)
                host = group.hosts.setdefault(inner, Host(inner, f"{path}: {row}"))
                host.vars |= {k: Var(v, f"{path}: row {held.lines[k]}") for k, v in held.items()}


def _above(groups: dict[str, _Group], name: str, seen: frozenset[str] = frozenset()) -> dict[str, Var]:
    """Return what a group inherits: ``all`` first, then its parents from the top down."""
    held = dict(groups["all"].vars) if "all" in groups and name != "all" else {}
    for parent in sorted(groups):
        if name in groups[parent].children and parent not in seen:
            held |= _above(groups, parent, seen | {name}) | groups[parent].vars
    return held


def _inherit(groups: dict[str, _Group], name: str, held: dict[str, Var], hosts: dict[str, Host],
             above: dict[str, Var], depth: int = 0) -> None:
    """Collect the hosts of a group and of those below; the nearer a variable stands, the more it counts."""
    group = groups[name]
    held = above | held | group.vars
    for host in group.hosts.values():
        known = hosts.setdefault(host.name, Host(host.name, host.where))
        known.vars |= held
        for other in groups.values():  # a host may be named in several groups and told of in one
            if host.name in other.hosts:
                known.vars |= other.hosts[host.name].vars
    for child in group.children if depth <= DEPTH_MOST else ():
        _inherit(groups, child, held, hosts, {}, depth + 1)
