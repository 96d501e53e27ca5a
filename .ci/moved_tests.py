#!/usr/bin/env python3
"""Print which test functions of an earlier commit have another file or name now: ``.ci/moved_tests.py REVISION``.

A test with the same file and name is not listed. The others are matched by the structure of their bodies (node types,
constants and operators, but no names), the most alike first. What finds no counterpart is listed as such.
"""

import ast
import subprocess
import sys
from collections import Counter
from typing import NamedTuple

MIN_SIMILARITY = 0.4
SAME_NAME_BONUS = 1.0
SAME_FILE_BONUS = 0.1


class CollectedTest(NamedTuple):
    """A test function: where it stands, and the counts of what its body is made of."""

    file: str
    name: str
    parts: Counter[str]


def git(*arguments: str) -> str:
    """Return the output of a git command."""
    return subprocess.run(["git", *arguments], capture_output=True, text=True, check=True).stdout


def body_parts(function: ast.FunctionDef) -> Counter[str]:
    """Count the node types, constants and operators of a function."""
    nodes = list(ast.walk(function))
    constants = [repr(node.value) for node in nodes if isinstance(node, ast.Constant)]
    return Counter([type(node).__name__ for node in nodes] + constants * 3)


def tests_at(revision: str) -> list[CollectedTest]:
    """Return all test functions of a commit."""
    found = []
    for file in git("ls-tree", "-r", "--name-only", revision, "tests").split():
        if not file.endswith(".py"):
            continue
        for node in ast.walk(ast.parse(git("show", f"{revision}:{file}"))):
            if isinstance(node, ast.FunctionDef) and node.name.startswith("test_"):
                found.append(CollectedTest(file, node.name, body_parts(node)))
    return found


def similarity(one: CollectedTest, other: CollectedTest) -> float:
    """Return the shared fraction of two bodies, with a bonus for the same name or file."""
    shared = sum((one.parts & other.parts).values()) / max(1, sum((one.parts | other.parts).values()))
    if shared < MIN_SIMILARITY and one.name != other.name:
        return 0.0
    return shared + SAME_NAME_BONUS * (one.name == other.name) + SAME_FILE_BONUS * (one.file == other.file)


def match(old: list[CollectedTest], new: list[CollectedTest]) -> dict[tuple[str, str], CollectedTest]:
    """Pair tests greedily, the most alike first."""
    pairs = ((similarity(one, other), i, j) for i, one in enumerate(old) for j, other in enumerate(new))
    matched: dict[int, int] = {}
    for _, i, j in sorted((pair for pair in pairs if pair[0] > 0), reverse=True):
        if i not in matched and j not in matched.values():
            matched[i] = j
    return {(old[i].file, old[i].name): new[j] for i, j in matched.items()}


def main() -> None:
    """Print the table."""
    earlier, now = tests_at(sys.argv[1]), tests_at("HEAD")
    kept = {(test.file, test.name) for test in earlier} & {(test.file, test.name) for test in now}
    old = [test for test in earlier if (test.file, test.name) not in kept]
    new = [test for test in now if (test.file, test.name) not in kept]
    matched = match(old, new)
    print(f"{len(earlier)} test functions before, {len(now)} now; {len(kept)} unchanged, {len(matched)} moved")
    for test in old:
        other = matched.get((test.file, test.name))
        print(f"{test.file}::{test.name} -> {f'{other.file}::{other.name}' if other else 'NO COUNTERPART'}")


main()
