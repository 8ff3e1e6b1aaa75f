"""Checks the import tables of docs/ARCHITECTURE.md against the code.

The code has no import that the tables do not list, and the tables list no import that the code does
not have. Packages that the page calls pure do no I/O.
"""

import ast
import re
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
GATEWAY = "umbermoor.gateway."
EMPTY_CELL = "-"

# Modules that give access to sockets, files, threads, processes or the system clock.
IMPURE_MODULES = frozenset(
    (
        "absl", "asyncio", "concurrent", "httpcore", "hypercorn", "lmdb", "logging", "multiprocessing", "os",
        "pathlib", "select", "selectors", "shutil", "signal", "socket", "ssl", "subprocess", "tempfile",
        "threading", "time", "twisted",
    )
)  # fmt: skip
# Allowed from `socket`: they convert addresses and do no I/O.
ADDRESS_FUNCTIONS = frozenset(("AF_INET", "inet_ntop", "inet_pton"))


def find_modules() -> dict[str, Path]:
    """Return the path of every module of the project by its dotted name."""
    found = {}
    for path in sorted((ROOT / "umbermoor").rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


MODULES = find_modules()


def project_imports(path: Path) -> set[str]:
    """Return the project's modules that a file imports, at module level or inside functions."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            submodules = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= (submodules & MODULES.keys()) or {node.module or ""}
    return {name for name in found if name.split(".")[0] == "umbermoor"}


def table_rows(title: str, columns: int) -> list[list[str]]:
    """Return the cells of each row of the table whose first column has the given title."""
    lines = ARCHITECTURE.read_text().splitlines()
    start = next(number for number, line in enumerate(lines) if line.startswith(f"| {title} |"))
    found = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        assert len(cells) == columns, line
        found.append(cells)
    return found


def cell_names(cell: str) -> list[str]:
    """Return the names in a cell, which are separated by commas."""
    return [] if cell == EMPTY_CELL else [name.strip().strip("`") for name in cell.split(",")]


PACKAGES = table_rows("package", 3)
GROUPS = table_rows("group", 3)


def unit_of(module: str) -> str:
    """Return the name of the table row that covers a module: a gateway package or a group."""
    if module.startswith(GATEWAY):
        return GATEWAY + module.removeprefix(GATEWAY).split(".")[0]
    if module in ("umbermoor", "umbermoor.gateway", "umbermoor.front"):
        return module
    parts = module.split(".")
    top = ".".join(parts[1:3]) if parts[1] == "front" else parts[1]
    groups = [group.strip("`") for group, members, _ in GROUPS if top in cell_names(members)]
    assert len(groups) == 1, f"{module} is in {len(groups)} groups of the table, not in one"
    return groups[0]


def actual_imports() -> dict[str, set[str]]:
    """Return the rows that each row's modules import from, other than the row itself."""
    found: dict[str, set[str]] = defaultdict(set)
    for module, path in MODULES.items():
        unit = unit_of(module)
        found[unit] |= {unit_of(name) for name in project_imports(path)} - {unit, "umbermoor"}
    return found


def documented_imports() -> dict[str, set[str]]:
    """Return the rows that each row's modules may import from according to the tables."""
    groups = {group.strip("`") for group, _, _ in GROUPS}
    found: dict[str, set[str]] = {
        "umbermoor": set(),
        "umbermoor.gateway": set(),
        "umbermoor.front": set(),
    }
    for package, allowed, _ in PACKAGES:
        found[GATEWAY + package.strip("`")] = {
            name if name in groups else GATEWAY + name for name in cell_names(allowed)
        }
    for group, _, allowed in GROUPS:
        found[group.strip("`")] = set(cell_names(allowed))
    return found


def test_the_documented_imports_are_the_actual_ones():
    actual, documented = actual_imports(), documented_imports()
    assert actual.keys() == documented.keys()
    undocumented = {
        unit: actual[unit] - documented[unit] for unit in actual if actual[unit] - documented[unit]
    }
    unused = {
        unit: documented[unit] - actual[unit] for unit in actual if documented[unit] - actual[unit]
    }
    assert (undocumented, unused) == ({}, {})


def test_the_gateway_shares_only_neutral_packages_with_the_rest_of_the_project():
    shared = {"statistics", "http1"}
    for unit, imported in actual_imports().items():
        if unit.startswith(GATEWAY):
            assert {name for name in imported if not name.startswith(GATEWAY)} <= shared, unit
        else:
            assert not any(name.startswith(GATEWAY) for name in imported), unit


def impure_uses(path: Path) -> set[str]:
    """Return the impure modules that a file imports, and "open()" if it calls `open`."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.split(".")[0] for alias in node.names} & IMPURE_MODULES
        elif isinstance(node, ast.ImportFrom) and node.module:
            top = node.module.split(".")[0]
            if top == "socket" and {alias.name for alias in node.names} <= ADDRESS_FUNCTIONS:
                continue
            found |= {top} & IMPURE_MODULES
        elif (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Name)
            and node.func.id == "open"
        ):
            found.add("open()")
    return found


@pytest.mark.parametrize(("package", "pure"), [(row[0].strip("`"), row[2]) for row in PACKAGES])
def test_packages_documented_as_pure_do_no_input_or_output(package: str, pure: str):
    if pure == "no":
        return
    impure_files = set(re.findall(r"`([\w/]+\.py)`", pure))
    assert pure == "yes" or (pure.startswith("all but ") and impure_files)
    path = ROOT / "umbermoor" / "gateway" / package
    files = sorted(path.rglob("*.py")) if path.is_dir() else [path.with_suffix(".py")]
    assert files
    assert {file.name for file in files} >= impure_files
    for file in files:
        found = impure_uses(file)
        if file.name in impure_files:
            assert found, f"{file} is pure, but the table lists it as an exception"
        else:
            assert not found, f"{file} uses {found}"
