"""The pages for newcomers name only files and definitions that exist, and link only to pages that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = (
    "README.md",
    "CONTRIBUTING.md",
    "docs/README.md",
    "docs/ARCHITECTURE.md",
    "docs/ADMISSION-DESIGN.md",
    "docs/CROSSINGS.md",
    "docs/SECOND-SITE.md",
    "docs/ROADMAP.md",
)
PATH = re.compile(r"`((?:lapispick|tests|benchmarks|docs|deploy)/[\w./-]*)(?::([\w.]+))?`")
LINK = re.compile(r"\]\(([\w./-]+\.md)\)")


def _defines(path, name):
    """Tell whether a module defines ``Class``, ``function`` or ``Class.method``."""
    body = ast.parse(path.read_text(encoding="utf-8")).body
    for part in name.split("."):
        found = [node for node in body if getattr(node, "name", None) == part]
        if not found:
            return False
        body = getattr(found[0], "body", [])
    return True


def _references(page):
    return PATH.findall((ROOT / page).read_text(encoding="utf-8"))


@pytest.mark.parametrize("page", PAGES)
def test_named_files_and_folders_exist(page):
    assert [path for path, _ in _references(page) if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("page", PAGES)
def test_named_definitions_exist(page):
    named = [(path, name) for path, name in _references(page) if name]
    assert [f"{path}:{name}" for path, name in named if not _defines(ROOT / path, name)] == []


@pytest.mark.parametrize("page", PAGES)
def test_links_lead_to_pages(page):
    folder = (ROOT / page).parent
    links = LINK.findall((ROOT / page).read_text(encoding="utf-8"))
    assert [link for link in links if not (folder / link).exists()] == []


def test_the_architecture_page_names_definitions():
    assert any(name for _, name in _references("docs/ARCHITECTURE.md"))
