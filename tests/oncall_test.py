"""What docs/oncall.md names is in the code: events with their keys, log lines, commands, calls, settings, words of
the output. Nothing there is taken on trust: whatever stands between back quotes is of one of these kinds."""

import ast
import re
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "oncall.md"
PACKAGE = ROOT / "umbermoor"
GATEWAY = PACKAGE / "gateway"
COMMANDS = GATEWAY / "cli"
NOT_SERVING = ("simulation", "local")  # packages whose events no operator sees
CALL_DECORATORS = ("call", "api_call")
RECORDS_OF_THE_PAST = ("measurements.md", "distance.md", "votes.md")
GATEWAY_PREFIX = "python -m umbermoor.gateway "


class LoggedEvent(NamedTuple):
    """An `event(...)` call."""

    names: frozenset[str]  # more than one where a condition chooses
    keys: frozenset[str]
    further: frozenset[str]  # strings of what it passes on with **: keys may be among them


@cache
def tree_of(path: Path) -> ast.Module:
    return ast.parse(path.read_text())


def files(folder: Path) -> list[Path]:
    return sorted(folder.rglob("*.py"))


def strings(node: ast.AST) -> set[str]:
    return {
        part.value
        for part in ast.walk(node)
        if isinstance(part, ast.Constant) and isinstance(part.value, str)
    }


def name_of(function: ast.expr) -> str:
    if isinstance(function, ast.Attribute):
        return function.attr
    return function.id if isinstance(function, ast.Name) else ""


@cache
def logged_events() -> tuple[LoggedEvent, ...]:
    found = []
    for path in files(GATEWAY):
        if path.relative_to(GATEWAY).parts[0] in NOT_SERVING:
            continue
        for call in ast.walk(tree_of(path)):
            if isinstance(call, ast.Call) and name_of(call.func) == "event" and call.args:
                names = chosen(call.args[0])
                keys = {keyword.arg for keyword in call.keywords if keyword.arg}
                passed_on = [keyword.value for keyword in call.keywords if keyword.arg is None]
                further = set().union(*(strings_behind(value, path) for value in passed_on))
                found.append(LoggedEvent(frozenset(names), frozenset(keys), frozenset(further)))
    return tuple(found)


def strings_behind(value: ast.expr, path: Path) -> set[str]:
    """The strings of the functions that make a mapping, or else of the file that passes it on."""
    if not isinstance(value, ast.Call):
        return strings(tree_of(path))
    return {
        text
        for file in files(GATEWAY)
        for node in ast.walk(tree_of(file))
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))
        and node.name == name_of(value.func)
        for text in strings(node)
    }


def chosen(node: ast.expr) -> set[str]:
    """The strings that an expression may come to."""
    if isinstance(node, ast.IfExp):
        return chosen(node.body) | chosen(node.orelse)
    return {node.value} if isinstance(node, ast.Constant) and isinstance(node.value, str) else set()


@cache
def literals() -> frozenset[str]:
    """All string constants of the project's code, pieces of f-strings too."""
    return frozenset(text for path in files(PACKAGE) for text in strings(tree_of(path)))


@cache
def keyword_names() -> frozenset[str]:
    """Names by which something is passed on to a log line."""
    return frozenset(
        keyword.arg
        for path in files(PACKAGE)
        for call in ast.walk(tree_of(path))
        if isinstance(call, ast.Call) and name_of(call.func) in ("event", "note")
        for keyword in call.keywords
        if keyword.arg
    )


@cache
def commands() -> dict[str, set[str]]:
    """The gateway's commands, "group name" or "name", with their options."""
    found: dict[str, set[str]] = {}
    for path in files(COMMANDS):
        in_module = commands_of(tree_of(path))
        assert not in_module.keys() & found.keys(), path
        found |= in_module
    return found


def commands_of(tree: ast.Module) -> dict[str, set[str]]:
    """The commands of one module."""
    groups = {"app": ""}
    for node in tree.body:
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Call):
            if name_of(node.value.func) == "App" and isinstance(node.targets[0], ast.Name):
                named = [keyword for keyword in node.value.keywords if keyword.arg == "name"]
                if node.targets[0].id != "app":
                    groups[node.targets[0].id] = ast.literal_eval(named[0].value) + " "
    found = {}
    for node in tree.body:
        for decorator in getattr(node, "decorator_list", ()):
            if isinstance(decorator, ast.Call) and name_of(decorator.func) == "command":
                group = groups[decorator.func.value.id]
                name = next(
                    ast.literal_eval(keyword.value)
                    for keyword in decorator.keywords
                    if keyword.arg == "name"
                )
                found[group + name] = {
                    "--" + argument.arg.replace("_", "-")
                    for argument in (*node.args.args, *node.args.kwonlyargs)
                }
    return found


@cache
def printed_keys() -> frozenset[str]:
    """What stands before `=` in the lines that commands print."""
    return frozenset(
        key for path in files(COMMANDS) for text in strings(tree_of(path))
        for key in re.findall(r"(\w+)=$|(\w+)=", text) for key in key if key
    )  # fmt: skip


@cache
def calls() -> frozenset[str]:
    """The controller's calls, as "METHOD /Path"."""
    return frozenset(
        f"{decorator.args[0].value} {decorator.args[1].value}"
        for path in files(GATEWAY)
        for node in ast.walk(tree_of(path))
        for decorator in getattr(node, "decorator_list", ())
        if isinstance(decorator, ast.Call) and name_of(decorator.func) in CALL_DECORATORS
    )


def is_command(words: str) -> bool:
    named = [word for word in words.split() if not word.startswith("-")]
    options = {word for word in words.split() if word.startswith("--")}
    for length in (2, 1):
        known = commands().get(" ".join(named[:length]))
        if known is not None and len(named) >= length:
            return options <= known
    return False


def is_event(text: str) -> bool:
    pairs = dict(re.findall(r"(\w+)=(\S+)", text))
    name = pairs.pop("event")
    return any(name in event.names and pairs.keys() <= event.keys for event in logged_events())


def is_line(text: str) -> bool:
    """A log line of the front in service: `what=...` and its keys."""
    what = re.match(r'what=(?:"([^"]*)"|(\S+))', text)
    assert what, text
    name = (what[1] or what[2]).removesuffix(" ...")
    keys = set(re.findall(r"(\w+)=", text[what.end() :]))
    cut = (what[1] or "").endswith(" ...")
    known = any(one.startswith(name) for one in literals()) if cut else name in literals()
    return known and keys <= keyword_names()


def is_pair(text: str) -> bool:
    key, _, value = text.partition("=")
    known = key in keyword_names() | printed_keys() | literals()
    return known and (not value or is_value(value))


def is_value(value: str) -> bool:
    value = value.strip('"')
    if value in ("true", "false") or value.replace(".", "").isdecimal():
        return True
    return value in literals() or value in enum_words()


@cache
def enum_words() -> frozenset[str]:
    """Members of enumerations as logs show them."""
    return frozenset(
        target.id.lower()
        for path in files(PACKAGE)
        for node in ast.walk(tree_of(path))
        if isinstance(node, ast.ClassDef) and any("Enum" in name_of(base) for base in node.bases)
        for part in node.body
        if isinstance(part, ast.Assign)
        for target in part.targets
        if isinstance(target, ast.Name)
    )


def is_known(text: str) -> bool:
    """Whether what stands between back quotes is in the code, by its kind."""
    if text.startswith(GATEWAY_PREFIX):
        return is_command(text.removeprefix(GATEWAY_PREFIX))
    if text.startswith("umbermoor "):
        return all(word.isupper() or word in literals() for word in text.split()[1:])
    if text.startswith("event="):
        return is_event(text)
    if text.startswith("what="):
        return is_line(text)
    if re.match(r"(GET|POST) /", text):
        method, path = text.split()[:2]
        return f"{method} {path}" in calls() or path in literals() or path.encode() in paths()
    if re.match(r"\w+=", text):
        return is_pair(text)
    if text.startswith("--"):
        return all(is_option(word) for word in text.split() if word.startswith("--"))
    if "/" in text and (ROOT / text).exists():
        return True
    return (
        text in literals() or text in keyword_names() or text in enum_words() or is_command(text)
        or any(f"{text}=" in one for one in literals())
    )  # fmt: skip


def is_option(word: str) -> bool:
    return any(word in options for options in commands().values()) or any(
        word in text for text in literals()
    )


@cache
def paths() -> frozenset[bytes]:
    return frozenset(
        part
        for path in files(PACKAGE)
        for node in ast.walk(tree_of(path))
        if isinstance(node, ast.Constant) and isinstance(node.value, bytes)
        for part in node.value.split()
    )


def test_everything_between_back_quotes_is_in_the_code():
    text = PAGE.read_text()
    named = [*re.findall(r"`([^`]+)`", text), *re.findall(r"(?m)^    (python -m [^#\n]+)", text)]
    assert len(named) > 100
    assert [name for name in named if not is_known(name.strip())] == []


def test_events_that_other_pages_name_are_in_the_code():
    """The tables of earlier names apart, which end the page that has them."""
    missing = []
    for page in sorted((ROOT / "docs").glob("*.md")):
        if page.name in RECORDS_OF_THE_PAST:
            continue
        text = page.read_text().split("## Earlier names\n")[0]
        for name in re.findall(r"`(event=\w+[^`]*)`", text):
            if not is_event(name):
                missing.append(f"{page.name}: {name}")
    assert missing == []


def test_calls_that_pages_name_are_in_the_code():
    missing, count = [], 0
    for page in sorted((ROOT / "docs").glob("*.md")):
        if page.name in RECORDS_OF_THE_PAST:
            continue
        text = page.read_text().split("## Earlier names\n")[0]
        for method, path in re.findall(r"`(GET|POST) (/[A-Z][\w.]+)", text):
            count += 1
            if not {f"{method} {path}", f"{method} {path}/"} & calls():
                missing.append(f"{page.name}: {method} {path}")
    assert missing == []
    assert count > 10


def event_rows() -> dict[str, set[str]]:
    """The page's table of events: name, keys."""
    lines = PAGE.read_text().splitlines()
    start = lines.index("| event | by | keys | what to do |")
    found = {}
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cells = line.strip("|").split("|")
        found[cells[0].strip().strip("`")] = set(re.findall(r"`(\w+)`", cells[2]))
    return found


def test_the_table_of_events_is_whole():
    rows = event_rows()
    assert rows.keys() == {name for event in logged_events() for name in event.names}


@pytest.mark.parametrize("name", sorted(event_rows()))
def test_the_keys_of_an_event_are_those_that_it_is_logged_with(name: str):
    told, events = event_rows()[name], [one for one in logged_events() if name in one.names]
    always = {key for event in events for key in event.keys}
    further = {key for event in events for key in event.further}
    assert always <= told <= always | further
