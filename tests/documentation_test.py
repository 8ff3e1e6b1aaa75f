"""Checks that the files, functions, classes, programs and pages that the pages refer to exist."""

import ast
import re
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
GLOSSARY = ROOT / "docs" / "glossary.md"
BASE_FOLDERS = ROOT / "umbermoor" / "gateway", ROOT  # file names are relative to one of these
STORE_RECORD_PREFIX = "state/"  # records of the store, not files

# Historical pages are not updated after renames, so they may name pages that no longer exist. The
# glossary gives the present names of those pages.
HISTORICAL_PAGES = frozenset(
    ("CHANGELOG.md", "glossary.md", "measurements.md", "distance.md", "votes.md")
)
# Name files of the users, which are not in this tree.
QUESTION_PAGES = frozenset(("questions-gateway.md",))
SEARCHED_FILES = (
    ("", "*.*"),
    ("umbermoor", "**/*.py"),
    ("tests", "**/*.py"),
    ("tests", "**/*.feature"),
    ("benchmarks", "**/*.py"),
    ("docs", "**/*.md"),
    ("deploy", "*"),
)


def referring_files() -> list[Path]:
    """Return the files whose references are checked: pages, code, features and deploy files."""
    found = {path for folder, pattern in SEARCHED_FILES for path in (ROOT / folder).glob(pattern)}
    return sorted(
        path
        for path in found
        if path.is_file() and path.name not in HISTORICAL_PAGES and path.parent.name != "incidents"
    )


@cache
def definitions(path: Path) -> frozenset[str]:
    """Return the functions, classes and methods that a file defines, methods as Class.method."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            found |= {
                f"{node.name}.{member.name}"
                for member in node.body
                if isinstance(member, (ast.FunctionDef, ast.AsyncFunctionDef))
            }
    return frozenset(found)


def existing_path(name: str) -> Path | None:
    """Return the file or folder that a name on a page refers to, or None if there is none."""
    return next((root / name for root in BASE_FOLDERS if (root / name).exists()), None)


def test_every_function_named_on_a_page_exists():
    missing, count = [], 0
    for page in (page for page in referring_files() if page.suffix == ".md"):
        for file, name in re.findall(r"`([\w/]+\.py): ([\w.]+)`", page.read_text()):
            count += 1
            path = existing_path(file)
            if path is None or name not in definitions(path):
                missing.append(f"{page.name}: {file}: {name}")
    assert missing == []
    assert count > 50


def test_every_file_named_in_the_architecture_exists():
    named = re.findall(r"`((?:[\w.]+/)+[\w.]*)`", ARCHITECTURE.read_text())
    assert named
    missing = [
        name
        for name in named
        if not name.startswith(STORE_RECORD_PREFIX) and existing_path(name) is None
    ]
    assert missing == []


def test_every_page_named_in_a_file_exists():
    missing = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in referring_files()
        for name in re.findall(r"(?<![\w./])docs/[\w/.-]+\.(?:md|svg|kdl)", path.read_text())
        if not (ROOT / name).exists()
    ]
    assert missing == []


def test_every_class_named_in_the_glossary_exists():
    section = GLOSSARY.read_text().split("## Earlier names of classes\n")[1].split("\n## ")[0]
    rows = [line.strip("|").split("|") for line in section.splitlines() if line.startswith("| `")]
    named = [name for row in rows for name in re.findall(r"`(\w+)`", row[1])]
    assert len(named) > 25
    found = set().union(*(definitions(path) for path in (ROOT / "umbermoor").rglob("*.py")))
    assert [name for name in named if name not in found] == []


def test_every_file_named_on_a_page_exists():
    """Check the file names in back quotes.

    A name with a folder is relative to the root, umbermoor/, umbermoor/gateway/ or the page's
    folder. A name without a folder may be that of any file in the tree.
    """
    names = {path.name for path in ROOT.rglob("*") if ".venv" not in path.parts}
    missing = []
    for page in (
        page
        for page in referring_files()
        if page.suffix == ".md" and page.name not in QUESTION_PAGES
    ):
        for name in re.findall(
            r"`([\w.-]+(?:/[\w.-]+)*\.(?:py|feature|kdl|toml|json))`", page.read_text()
        ):
            folders = (*BASE_FOLDERS, ROOT / "umbermoor", page.parent)
            if name not in names and not any((folder / name).exists() for folder in folders):
                missing.append(f"{page.name}: {name}")
    assert missing == []


def test_the_changelog_has_the_tables_of_earlier_names():
    """Operators search for earlier names, in docs/gateway.md as well as in the CHANGELOG."""
    tables = (ROOT / "docs" / "gateway.md").read_text().split("## Earlier names\n")[1]
    first = tables.index("| earlier | now | what |")
    assert tables[first:].strip() in (ROOT / "CHANGELOG.md").read_text()


def test_every_program_started_on_a_page_exists():
    missing = []
    for page in (page for page in referring_files() if page.suffix == ".md"):
        for module in re.findall(
            r"python3? -m ((?:umbermoor|benchmarks|tests)[\w.]*)", page.read_text()
        ):
            path = ROOT / module.replace(".", "/")
            if not path.with_suffix(".py").exists() and not (path / "__main__.py").exists():
                missing.append(f"{page.name}: {module}")
    assert missing == []


def test_every_page_is_in_the_index():
    index = (ROOT / "docs" / "README.md").read_text()
    pages = {page.name for page in (ROOT / "docs").glob("*.md")} - {"README.md"}
    assert [page for page in sorted(pages) if f"]({page})" not in index] == []


def test_links_between_pages_lead_to_existing_files():
    missing = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in PAGES
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
        if not (page.parent / target).exists()
    ]
    assert missing == []
