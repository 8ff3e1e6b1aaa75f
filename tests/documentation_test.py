"""What the pages say of the code is there: files, functions, links, packages."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
ROOTS = ROOT / "umbermoor" / "gateway", ROOT  # what the page's file names are relative to


def found_file(name: str) -> Path:
    for root in ROOTS:
        if (root / name).exists():
            return root / name
    raise AssertionError(f"no such file: {name}")


@cache
def definitions(path: Path) -> frozenset[str]:
    """Functions, classes and methods of a file, methods as Class.method."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            found |= {
                f"{node.name}.{part.name}"
                for part in node.body
                if isinstance(part, (ast.FunctionDef, ast.AsyncFunctionDef))
            }
    return frozenset(found)


NAMED = re.findall(r"`([\w/]+\.py): ([\w.]+)`", ARCHITECTURE.read_text())


@pytest.mark.parametrize(("file", "name"), NAMED)
def test_every_function_that_the_architecture_names_is_there(file: str, name: str):
    assert name in definitions(found_file(file))


def test_the_architecture_names_functions():
    assert len(NAMED) > 25


@pytest.mark.parametrize("name", re.findall(r"`((?:[\w.]+/)+[\w.]*)`", ARCHITECTURE.read_text()))
def test_every_file_that_the_architecture_names_is_there(name: str):
    if name.startswith("state/"):
        return  # records of the store
    found_file(name)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_between_pages_lead_somewhere(page: Path):
    for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
        assert (page.parent / target).exists(), target
