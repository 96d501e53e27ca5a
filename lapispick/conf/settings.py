"""Reads the settings file into its typed sections, and formats settings as a settings file."""

from __future__ import annotations

import fnmatch
import os
from collections.abc import Mapping
from typing import Any, get_type_hints

import msgspec

from lapispick.conf import checks, paths, value_types
from lapispick.conf.parser import Line, Parser, Section
from lapispick.conf.sections import Settings
from lapispick.conf.value_types import Directive
from lapispick.file_errors import FaultCollector, InvalidFileError, SourceLocation, suggest_nearest

DEFAULT_PATH = "deploy/lapispick.conf"  # relative to the root of the project, where the program is started
PATH_VARIABLE = "LAPISPICK_CONF"
LEGACY_PATH = "deploy/amqp.toml"  # ``lapispick.conf.legacy`` reads this file
LEGACY_PATH_VARIABLE = "LAPISPICK_AMQP"
MAX_FILE_BYTES = 1 << 20
_COMMENT_COLUMN = 44  # where the description of a directive begins


class DirectiveField(msgspec.Struct, frozen=True):
    """A directive and the name of the field that holds its value."""

    name: str
    directive: Directive


def section_types() -> dict[str, type[msgspec.Struct]]:
    """Return the type of each section by its name in the file."""
    return {field.encode_name: field.type for field in msgspec.structs.fields(Settings)}


def directives(section: type[msgspec.Struct]) -> dict[str, DirectiveField]:
    """Return the directives of a section by their names in the file."""
    hints = get_type_hints(section, include_extras=True)
    return {
        field.encode_name.replace("_", "-"): DirectiveField(field.name, hints[field.name].__metadata__[0])
        for field in msgspec.structs.fields(section)
    }


def parse(path: str | os.PathLike[str]) -> Settings:
    """Read a settings file and the files that it includes; raises ``InvalidFileError`` with all faults."""
    parser = Parser(_read_files)
    parser.parse_files(paths.normalize(os.fspath(path)))
    faults = parser.faults
    types = section_types()
    sections_by_name: dict[str, list[Section]] = {}
    for section in parser.sections:
        if section.name not in types:
            problem = f"unknown section {section.name}{suggest_nearest(section.name, types)}"
            faults.add(section.location, "section", problem)
        else:
            sections_by_name.setdefault(section.name, []).append(section)
    field_names = {field.encode_name: field.name for field in msgspec.structs.fields(Settings)}
    settings = Settings(
        **{
            field_names[name]: _read_section(name, type_, sections_by_name.get(name, []), faults)
            for name, type_ in types.items()
        }
    )
    if not faults:
        locations = {name: sections[0].location for name, sections in sections_by_name.items()}
        checks.check(settings, locations, SourceLocation(PATH_VARIABLE), faults)
    if faults:
        raise InvalidFileError(faults.collected)
    return settings


def settings_path(environ: Mapping[str, str] = os.environ) -> str:
    """Return the path of the settings file."""
    return environ.get(PATH_VARIABLE) or DEFAULT_PATH


def has_legacy_file(environ: Mapping[str, str] = os.environ) -> bool:
    """Return True if the environment names an ``amqp.toml``, or there is one at its default path."""
    return bool(environ.get(LEGACY_PATH_VARIABLE)) or os.path.exists(LEGACY_PATH)


def load(environ: Mapping[str, str] = os.environ) -> Settings:
    """Read the settings file.

    Returns the defaults if the environment names no file and there is none at the default path.
    """
    path = settings_path(environ)
    if not environ.get(PATH_VARIABLE) and not os.path.exists(path):
        return Settings()
    return parse(path)


def format_settings(settings: Settings) -> list[str]:
    """Return the lines of a settings file with all settings; a directive without a value becomes a comment.

    Parsing these lines returns equal settings.
    """
    formatted: list[str] = []
    for section_field in msgspec.structs.fields(Settings):
        section = getattr(settings, section_field.name)
        formatted.append(f"section {section_field.encode_name}")
        for name, field in directives(type(section)).items():
            value = getattr(section, field.name)
            has_value = value not in (None, "", ())
            line = f"    {name} {_format_directive_value(field.directive, value)}" if has_value else f"    # {name}"
            formatted.append(f"{line:<{_COMMENT_COLUMN}}# {field.directive.doc}")
        formatted.append("end")
    return formatted


def _read_files(pattern: str) -> list[tuple[str, str]]:
    """Return the path and the text of each file that matches a pattern; raises ``OSError`` or ``ValueError``."""
    files: list[tuple[str, str]] = []
    for file_path in _matching_files(pattern):
        if (size := os.stat(file_path).st_size) > MAX_FILE_BYTES:
            raise ValueError(f"expected at most {MAX_FILE_BYTES} bytes, got {size}")
        with open(file_path, encoding="utf-8-sig") as file:
            files.append((file_path, file.read()))
    return files


def _matching_files(pattern: str) -> list[str]:
    """Return the sorted files that match a pattern in the last part of the path; a path without one is returned."""
    folder, name_pattern = os.path.split(pattern)
    if not set(name_pattern) & set("*?["):
        return [pattern]
    try:
        names = os.listdir(folder or ".")
    except FileNotFoundError:
        return []
    return [os.path.join(folder, name) for name in sorted(fnmatch.filter(names, name_pattern))]


def _read_section(
    name: str, type_: type[msgspec.Struct], sections: list[Section], faults: FaultCollector
) -> msgspec.Struct:
    """Return a section from all its occurrences in the file, and collect the faults."""
    known_directives = directives(type_)
    values: dict[str, Any] = {}
    first_locations: dict[str, SourceLocation] = {}
    for line in (line for section in sections for line in section.lines):
        if line.name not in known_directives:
            problem = f"unknown directive in section {name}{suggest_nearest(line.name, known_directives)}"
            faults.add(line.location, line.name, problem)
        else:
            _read_line(line, known_directives[line.name], values, first_locations, faults)
    return type_(**values)


def _read_line(
    line: Line,
    field: DirectiveField,
    values: dict[str, Any],
    first_locations: dict[str, SourceLocation],
    faults: FaultCollector,
) -> None:
    """Add the value of one line to the section's values, or collect its fault."""
    directive = field.directive
    if line.name in first_locations and not directive.repeatable:
        return faults.add(line.location, line.name, f"duplicate directive, first used at {first_locations[line.name]}")
    first_locations.setdefault(line.name, line.location)
    if not line.arguments or (len(line.arguments) > 1 and not directive.repeatable):
        return faults.add(line.location, line.name, f"expected one value, got {len(line.arguments)} values")
    try:
        parsed = [directive.parse_value(raw) for raw in line.arguments]
    except ValueError as err:
        return faults.add(line.location, line.name, str(err))
    if directive.value_type is value_types.path:
        parsed = [paths.relative_to_file(line.location.file, path) for path in parsed]
    values[field.name] = (*values.get(field.name, ()), *parsed) if directive.repeatable else parsed[0]


def _format_directive_value(directive: Directive, value: Any) -> str:
    """Return a value in the form that the directive parses, with the unit of a duration or fraction."""
    if directive.value_type is value_types.duration:
        return f"{value:g}s"
    if directive.value_type is value_types.fraction:
        return f"{value * 100:g}%"
    return value_types.format_value(value)
