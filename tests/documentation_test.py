"""What the pages say of the code is there: files, functions, links, pages."""

import ast
import re
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
GLOSSARY = ROOT / "docs" / "glossary.md"
ROOTS = ROOT / "umbermoor" / "gateway", ROOT  # what the page's file names are relative to
STORE_RECORDS = "state/"  # what the page names with a slash, and is no file

# Write-ups of the past keep their text; the glossary says what the pages they name are called now.
PAST = frozenset(("CHANGELOG.md", "glossary.md", "measurements.md", "distance.md", "votes.md"))
QUESTIONS = frozenset(("questions-gateway.md",))  # they speak of the users' files
PLACES = (
    ("", "*.*"),
    ("umbermoor", "**/*.py"),
    ("tests", "**/*.py"),
    ("tests", "**/*.feature"),
    ("benchmarks", "**/*.py"),
    ("docs", "**/*.md"),
    ("deploy", "*"),
)


def texts() -> list[Path]:
    """The files of the project that may name a page."""
    found = {path for folder, pattern in PLACES for path in (ROOT / folder).glob(pattern)}
    return sorted(
        path
        for path in found
        if path.is_file() and path.name not in PAST and path.parent.name != "incidents"
    )


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


def find(name: str) -> Path | None:
    return next((root / name for root in ROOTS if (root / name).exists()), None)


def test_every_function_that_a_page_names_is_there():
    missing, count = [], 0
    for page in (page for page in texts() if page.suffix == ".md"):
        for file, name in re.findall(r"`([\w/]+\.py): ([\w.]+)`", page.read_text()):
            count += 1
            path = find(file)
            if path is None or name not in definitions(path):
                missing.append(f"{page.name}: {file}: {name}")
    assert missing == []
    assert count > 50


def test_every_file_that_the_architecture_names_is_there():
    named = re.findall(r"`((?:[\w.]+/)+[\w.]*)`", ARCHITECTURE.read_text())
    assert named
    missing = [name for name in named if not name.startswith(STORE_RECORDS) and find(name) is None]
    assert missing == []


def test_every_page_that_a_file_names_is_there():
    missing = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in texts()
        for name in re.findall(r"(?<![\w./])docs/[\w/.-]+\.(?:md|svg|kdl)", path.read_text())
        if not (ROOT / name).exists()
    ]
    assert missing == []


def test_every_class_that_the_glossary_names_is_there():
    section = GLOSSARY.read_text().split("## Earlier names of classes\n")[1].split("\n## ")[0]
    rows = [line.strip("|").split("|") for line in section.splitlines() if line.startswith("| `")]
    named = [name for row in rows for name in re.findall(r"`(\w+)`", row[1])]
    assert len(named) > 25
    found = set().union(*(definitions(path) for path in (ROOT / "umbermoor").rglob("*.py")))
    assert [name for name in named if name not in found] == []


def test_every_file_that_a_page_names_is_there():
    """A name with a folder is relative to the root, umbermoor/, umbermoor/gateway/ or the page's folder; one without
    is that of some file in the tree."""
    names = {path.name for path in ROOT.rglob("*") if ".venv" not in path.parts}
    missing = []
    for page in (page for page in texts() if page.suffix == ".md" and page.name not in QUESTIONS):
        for name in re.findall(
            r"`([\w.-]+(?:/[\w.-]+)*\.(?:py|feature|kdl|toml|json))`", page.read_text()
        ):
            places = (*ROOTS, ROOT / "umbermoor", page.parent)
            if name not in names and not any((place / name).exists() for place in places):
                missing.append(f"{page.name}: {name}")
    assert missing == []


def test_the_changelog_has_the_tables_of_earlier_names():
    """Staff search by them: the same in the operators' page and in the CHANGELOG."""
    tables = (ROOT / "docs" / "gateway.md").read_text().split("## Earlier names\n")[1]
    first = tables.index("| earlier | now | what |")
    assert tables[first:].strip() in (ROOT / "CHANGELOG.md").read_text()


def test_every_program_that_a_page_starts_is_there():
    missing = []
    for page in (page for page in texts() if page.suffix == ".md"):
        for module in re.findall(
            r"python3? -m ((?:umbermoor|benchmarks|tests)[\w.]*)", page.read_text()
        ):
            place = ROOT / module.replace(".", "/")
            if not place.with_suffix(".py").exists() and not (place / "__main__.py").exists():
                missing.append(f"{page.name}: {module}")
    assert missing == []


def test_every_page_is_in_the_index():
    index = (ROOT / "docs" / "README.md").read_text()
    pages = {page.name for page in (ROOT / "docs").glob("*.md")} - {"README.md"}
    assert [page for page in sorted(pages) if f"]({page})" not in index] == []


def test_links_between_pages_lead_somewhere():
    missing = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in PAGES
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
        if not (page.parent / target).exists()
    ]
    assert missing == []
