"""Reads the settings file into its typed sections, and writes them as a settings file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path, PurePath
from typing import Any, get_type_hints

import msgspec

from lapispick.conf import checks, value_types
from lapispick.conf.parser import Line, Parser, Section
from lapispick.conf.sections import Settings
from lapispick.conf.value_types import Directive
from lapispick.file_errors import FaultCollector, InvalidFileError, SourceLocation, suggest_nearest

DEFAULT_PATH = "deploy/lapispick.conf"  # from the root, where the program is started
PATH_VARIABLE = "LAPISPICK_CONF"
LEGACY_PATH = "deploy/amqp.toml"  # of the file that ``lapispick.conf.legacy`` reads
LEGACY_PATH_VARIABLE = "LAPISPICK_AMQP"
MAX_FILE_BYTES = 1 << 20
_COMMENT_COLUMN = 44  # of the description behind each directive that is written


class DirectiveField(msgspec.Struct, frozen=True):
    """The field that holds a directive's value, and what the directive takes."""

    name: str
    directive: Directive


def section_types() -> dict[str, type[msgspec.Struct]]:
    """Return the types of the sections by their names in the file."""
    return {field.encode_name: field.type for field in msgspec.structs.fields(Settings)}


def directives(section: type[msgspec.Struct]) -> dict[str, DirectiveField]:
    """Return the directives of a section by their names in the file."""
    hints = get_type_hints(section, include_extras=True)
    return {
        field.encode_name.replace("_", "-"): DirectiveField(field.name, hints[field.name].__metadata__[0])
        for field in msgspec.structs.fields(section)
    }


def parse(path: PurePath) -> Settings:
    """Read a settings file and what it includes; raises ``InvalidFileError`` with all that is wrong."""
    parser = Parser(_read_files)
    parser.file(path)
    faults = parser.faults
    types = section_types()
    given: dict[str, list[Section]] = {}
    for section in parser.sections:
        if section.name not in types:
            problem = f"{section.name} is unknown{suggest_nearest(section.name, types)}"
            faults.add(section.location, "section", problem)
        else:
            given.setdefault(section.name, []).append(section)
    fields = {field.encode_name: field.name for field in msgspec.structs.fields(Settings)}
    settings = Settings(
        **{fields[name]: _read_section(name, type_, given.get(name, []), faults) for name, type_ in types.items()}
    )
    if not faults:
        locations = {name: sections[0].location for name, sections in given.items()}
        checks.check(settings, locations, SourceLocation(PATH_VARIABLE), faults)
    if faults:
        raise InvalidFileError(faults.collected)
    return settings


def located(environ: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file."""
    return Path(environ.get(PATH_VARIABLE) or DEFAULT_PATH)


def has_legacy_file(environ: Mapping[str, str] = os.environ) -> bool:
    """Tell whether there is a file of the earlier form for ``lapispick.conf.legacy``, or one is named."""
    return bool(environ.get(LEGACY_PATH_VARIABLE)) or os.path.exists(LEGACY_PATH)


def load(environ: Mapping[str, str] = os.environ) -> Settings:
    """Read the settings file that the environment names; all defaults where there is none by default."""
    path = located(environ)
    if not environ.get(PATH_VARIABLE) and not path.exists():
        return Settings()
    return parse(path)


def lines(settings: Settings) -> list[str]:
    """Write all settings as a file that reads back the same; a directive without a value becomes a comment."""
    written: list[str] = []
    for section_field in msgspec.structs.fields(Settings):
        section = getattr(settings, section_field.name)
        written.append(f"section {section_field.encode_name}")
        for name, field in directives(type(section)).items():
            value = getattr(section, field.name)
            has_value = value not in (None, "", ())
            line = f"    {name} {_shown(field.directive, value)}" if has_value else f"    # {name}"
            written.append(f"{line:<{_COMMENT_COLUMN}}# {field.directive.doc}")
        written.append("end")
    return written


def _read_files(pattern: PurePath) -> list[tuple[PurePath, str]]:
    """Return (path, text) of the files that a pattern names; raises ``OSError`` or ``ValueError``."""
    path = Path(pattern)
    paths = sorted(path.parent.glob(path.name)) if set(path.name) & set("*?[") else [path]
    found: list[tuple[PurePath, str]] = []
    for each in paths:
        if each.stat().st_size > MAX_FILE_BYTES:
            raise ValueError(f"over {MAX_FILE_BYTES} bytes")
        found.append((PurePath(each), each.read_text(encoding="utf-8-sig")))
    return found


def _read_section(
    name: str, type_: type[msgspec.Struct], sections: list[Section], faults: FaultCollector
) -> msgspec.Struct:
    """Return a section from all its parts; faults are collected."""
    known = directives(type_)
    values: dict[str, Any] = {}
    first: dict[str, SourceLocation] = {}
    for line in (line for section in sections for line in section.lines):
        if line.name not in known:
            faults.add(line.location, line.name, f"unknown in section {name}{suggest_nearest(line.name, known)}")
        else:
            _read_line(line, known[line.name], values, first, faults)
    return type_(**values)


def _read_line(
    line: Line,
    field: DirectiveField,
    values: dict[str, Any],
    first: dict[str, SourceLocation],
    faults: FaultCollector,
) -> None:
    """Add the value of one line to the section's values, or a fault."""
    directive = field.directive
    if line.name in first and not directive.repeatable:
        return faults.add(line.location, line.name, f"stands twice, first at {first[line.name]}")
    first.setdefault(line.name, line.location)
    if not line.arguments or (len(line.arguments) > 1 and not directive.repeatable):
        return faults.add(line.location, line.name, f"takes one value, not {len(line.arguments)}")
    try:
        parsed = [directive.value(raw) for raw in line.arguments]
    except ValueError as err:
        return faults.add(line.location, line.name, str(err))
    if directive.parse is value_types.path:
        parsed = [PurePath(line.location.file).parent / path for path in parsed]
    values[field.name] = (*values.get(field.name, ()), *parsed) if directive.repeatable else parsed[0]


def _shown(directive: Directive, value: Any) -> str:
    if directive.parse is value_types.duration:
        return f"{value:g}s"
    if directive.parse is value_types.fraction:
        return f"{value * 100:g}%"
    return value_types.shown(value)
