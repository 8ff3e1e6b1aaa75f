"""The import tables of docs/ARCHITECTURE.md are what the code does: no import that they do not name, and none
that they name in vain."""

import ast
import re
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
GATEWAY = "umbermoor.gateway."
NONE = "-"

# Modules whose use means sockets, files, threads, processes, or a clock of one's own.
IMPURE_MODULES = frozenset(
    (
        "absl", "asyncio", "concurrent", "httpcore", "hypercorn", "lmdb", "logging", "multiprocessing", "os",
        "pathlib", "select", "selectors", "shutil", "signal", "socket", "ssl", "subprocess", "tempfile",
        "threading", "time", "twisted",
    )
)  # fmt: skip
ADDRESS_FUNCTIONS = frozenset(("AF_INET", "inet_ntop", "inet_pton"))  # of socket: they compute


def modules() -> dict[str, Path]:
    """Every module of the project by its dotted name."""
    found = {}
    for path in sorted((ROOT / "umbermoor").rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


MODULES = modules()


def imports_of(path: Path) -> set[str]:
    """The project's modules that a file imports, at its top or later."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            submodules = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= (submodules & MODULES.keys()) or {node.module or ""}
    return {name for name in found if name.split(".")[0] == "umbermoor"}


def rows(title: str, columns: int) -> list[list[str]]:
    """The rows of the table on the page whose first column has that title."""
    lines = PAGE.read_text().splitlines()
    start = next(place for place, line in enumerate(lines) if line.startswith(f"| {title} |"))
    found = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        assert len(cells) == columns, line
        found.append(cells)
    return found


def names(cell: str) -> list[str]:
    return [] if cell == NONE else [name.strip().strip("`") for name in cell.split(",")]


PACKAGES = rows("package", 3)
GROUPS = rows("group", 3)


def unit_of(module: str) -> str:
    """The row of the tables to which a module belongs."""
    if module.startswith(GATEWAY):
        return GATEWAY + module.removeprefix(GATEWAY).split(".")[0]
    if module in ("umbermoor", "umbermoor.gateway", "umbermoor.front"):
        return module
    parts = module.split(".")
    top = ".".join(parts[1:3]) if parts[1] == "front" else parts[1]
    groups = [group.strip("`") for group, members, _ in GROUPS if top in names(members)]
    assert len(groups) == 1, f"{module} stands in {len(groups)} groups of the table"
    return groups[0]


def actual() -> dict[str, set[str]]:
    found: dict[str, set[str]] = defaultdict(set)
    for module, path in MODULES.items():
        unit = unit_of(module)
        found[unit] |= {unit_of(name) for name in imports_of(path)} - {unit, "umbermoor"}
    return found


def stated() -> dict[str, set[str]]:
    groups = {group.strip("`") for group, _, _ in GROUPS}
    found: dict[str, set[str]] = {
        "umbermoor": set(),
        "umbermoor.gateway": set(),
        "umbermoor.front": set(),
    }
    for package, allowed, _ in PACKAGES:
        found[GATEWAY + package.strip("`")] = {
            name if name in groups else GATEWAY + name for name in names(allowed)
        }
    for group, _, allowed in GROUPS:
        found[group.strip("`")] = set(names(allowed))
    return found


def test_every_import_is_in_the_table_and_every_entry_is_used():
    there, table = actual(), stated()
    assert there.keys() == table.keys()
    not_stated = {unit: there[unit] - table[unit] for unit in there if there[unit] - table[unit]}
    in_vain = {unit: table[unit] - there[unit] for unit in there if table[unit] - there[unit]}
    assert (not_stated, in_vain) == ({}, {})


def test_the_gateway_and_the_front_in_service_share_only_what_knows_neither():
    shared = {"statistics", "http1"}
    for unit, imported in actual().items():
        if unit.startswith(GATEWAY):
            assert {name for name in imported if not name.startswith(GATEWAY)} <= shared, unit
        else:
            assert not any(name.startswith(GATEWAY) for name in imported), unit


def impure_uses(path: Path) -> set[str]:
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
def test_pure_packages_do_no_input_or_output(package: str, pure: str):
    if pure == "no":
        return
    except_files = set(re.findall(r"`([\w/]+\.py)`", pure))
    assert pure == "yes" or (pure.startswith("all but ") and except_files)
    place = ROOT / "umbermoor" / "gateway" / package
    files = sorted(place.rglob("*.py")) if place.is_dir() else [place.with_suffix(".py")]
    assert files
    assert {file.name for file in files} >= except_files
    for file in files:
        found = impure_uses(file)
        if file.name in except_files:
            assert found, f"{file} is pure: the table need not name it"
        else:
            assert not found, f"{file} uses {found}"
