"""Checks that everything docs/oncall.md names in back quotes exists in the code.

Each such text must be an event with its keys, a log line, a command or option, an API call, a
setting, a file, or a word of the output. Texts of any other kind fail the test.
"""

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
EXCLUDED_PACKAGES = ("simulation", "local")  # their events are not seen by operators
CALL_DECORATORS = ("call", "api_call")
HISTORICAL_PAGES = ("measurements.md", "distance.md", "votes.md")
GATEWAY_PREFIX = "python -m umbermoor.gateway "


class LoggedEvent(NamedTuple):
    """The names and keys that an `event(...)` call logs."""

    names: frozenset[str]  # several if a conditional expression selects the name
    keys: frozenset[str]
    possible_keys: frozenset[str]  # strings in the code of mappings passed with **, keys among them


@cache
def syntax_tree(path: Path) -> ast.Module:
    return ast.parse(path.read_text())


def files(folder: Path) -> list[Path]:
    return sorted(folder.rglob("*.py"))


def string_constants(node: ast.AST) -> set[str]:
    return {
        part.value
        for part in ast.walk(node)
        if isinstance(part, ast.Constant) and isinstance(part.value, str)
    }


def unqualified_name(node: ast.expr) -> str:
    """Return the last part of a dotted name, or "" for any other expression."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


@cache
def logged_events() -> tuple[LoggedEvent, ...]:
    """Return the `event(...)` calls of the gateway's code, without the excluded packages."""
    found = []
    for path in files(GATEWAY):
        if path.relative_to(GATEWAY).parts[0] in EXCLUDED_PACKAGES:
            continue
        for call in ast.walk(syntax_tree(path)):
            if isinstance(call, ast.Call) and unqualified_name(call.func) == "event" and call.args:
                names = possible_strings(call.args[0])
                keys = {keyword.arg for keyword in call.keywords if keyword.arg}
                unpacked = [keyword.value for keyword in call.keywords if keyword.arg is None]
                possible_keys = set().union(*(mapping_strings(value, path) for value in unpacked))
                found.append(
                    LoggedEvent(frozenset(names), frozenset(keys), frozenset(possible_keys))
                )
    return tuple(found)


def mapping_strings(value: ast.expr, path: Path) -> set[str]:
    """Return the strings that may be keys of a mapping passed to `event` with **.

    If a call makes the mapping, these are the strings in all functions of that name; otherwise all
    strings of the file that passes it.
    """
    if not isinstance(value, ast.Call):
        return string_constants(syntax_tree(path))
    return {
        text
        for file in files(GATEWAY)
        for node in ast.walk(syntax_tree(file))
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))
        and node.name == unqualified_name(value.func)
        for text in string_constants(node)
    }


def possible_strings(node: ast.expr) -> set[str]:
    """Return the strings that a constant or conditional expression can evaluate to."""
    if isinstance(node, ast.IfExp):
        return possible_strings(node.body) | possible_strings(node.orelse)
    return {node.value} if isinstance(node, ast.Constant) and isinstance(node.value, str) else set()


@cache
def literals() -> frozenset[str]:
    """Return all string constants of the project's code, including the parts of f-strings."""
    return frozenset(
        text for path in files(PACKAGE) for text in string_constants(syntax_tree(path))
    )


@cache
def log_keywords() -> frozenset[str]:
    """Return the names of all keyword arguments of calls that log."""
    return frozenset(
        keyword.arg
        for path in files(PACKAGE)
        for call in ast.walk(syntax_tree(path))
        if isinstance(call, ast.Call) and unqualified_name(call.func) in ("event", "note")
        for keyword in call.keywords
        if keyword.arg
    )


@cache
def commands() -> dict[str, set[str]]:
    """Return the options of each gateway command by "group name" or "name"."""
    found: dict[str, set[str]] = {}
    for path in files(COMMANDS):
        in_module = module_commands(syntax_tree(path))
        assert not in_module.keys() & found.keys(), path
        found |= in_module
    return found


def module_commands(tree: ast.Module) -> dict[str, set[str]]:
    """Return the options of each command that one module defines."""
    groups = {"app": ""}
    for node in tree.body:
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Call):
            if unqualified_name(node.value.func) == "App" and isinstance(node.targets[0], ast.Name):
                named = [keyword for keyword in node.value.keywords if keyword.arg == "name"]
                if node.targets[0].id != "app":
                    groups[node.targets[0].id] = ast.literal_eval(named[0].value) + " "
    found = {}
    for node in tree.body:
        for decorator in getattr(node, "decorator_list", ()):
            if isinstance(decorator, ast.Call) and unqualified_name(decorator.func) == "command":
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
    """Return the keys that commands print as `key=value`."""
    return frozenset(
        key for path in files(COMMANDS) for text in string_constants(syntax_tree(path))
        for key in re.findall(r"(\w+)=$|(\w+)=", text) for key in key if key
    )  # fmt: skip


@cache
def api_calls() -> frozenset[str]:
    """Return the controller's API calls as "METHOD /Path"."""
    return frozenset(
        f"{decorator.args[0].value} {decorator.args[1].value}"
        for path in files(GATEWAY)
        for node in ast.walk(syntax_tree(path))
        for decorator in getattr(node, "decorator_list", ())
        if isinstance(decorator, ast.Call) and unqualified_name(decorator.func) in CALL_DECORATORS
    )


def is_command(words: str) -> bool:
    """Whether the words begin with a command, and it has all the options among them."""
    named = [word for word in words.split() if not word.startswith("-")]
    options = {word for word in words.split() if word.startswith("--")}
    for length in (2, 1):
        command_options = commands().get(" ".join(named[:length]))
        if command_options is not None and len(named) >= length:
            return options <= command_options
    return False


def is_event(text: str) -> bool:
    """Whether the code logs an event of this name with at least the keys in the text."""
    pairs = dict(re.findall(r"(\w+)=(\S+)", text))
    name = pairs.pop("event")
    return any(name in event.names and pairs.keys() <= event.keys for event in logged_events())


def is_log_line(text: str) -> bool:
    """Whether the text is a log line of the front, `what=...`, with known keys.

    A quoted message that ends in " ..." needs to match only the beginning of a message.
    """
    what = re.match(r'what=(?:"([^"]*)"|(\S+))', text)
    assert what, text
    name = (what[1] or what[2]).removesuffix(" ...")
    keys = set(re.findall(r"(\w+)=", text[what.end() :]))
    abbreviated = (what[1] or "").endswith(" ...")
    found = (
        any(literal.startswith(name) for literal in literals())
        if abbreviated
        else name in literals()
    )
    return found and keys <= log_keywords()


def is_key_and_value(text: str) -> bool:
    """Whether the key of a `key=` or `key=value` text, and the value if any, exist in the code."""
    key, _, value = text.partition("=")
    key_found = key in log_keywords() | printed_keys() | literals()
    return key_found and (not value or is_known_value(value))


def is_known_value(value: str) -> bool:
    """Whether the value is a boolean, a number, a string constant or an enum member."""
    value = value.strip('"')
    if value in ("true", "false") or value.replace(".", "").isdecimal():
        return True
    return value in literals() or value in enum_members()


@cache
def enum_members() -> frozenset[str]:
    """Return the names of all enum members in lower case, as logs show them."""
    return frozenset(
        target.id.lower()
        for path in files(PACKAGE)
        for node in ast.walk(syntax_tree(path))
        if isinstance(node, ast.ClassDef)
        and any("Enum" in unqualified_name(base) for base in node.bases)
        for part in node.body
        if isinstance(part, ast.Assign)
        for target in part.targets
        if isinstance(target, ast.Name)
    )


def is_in_the_code(text: str) -> bool:
    """Whether a text in back quotes exists in the code, checked according to its form."""
    if text.startswith(GATEWAY_PREFIX):
        return is_command(text.removeprefix(GATEWAY_PREFIX))
    if text.startswith("umbermoor "):
        return all(word.isupper() or word in literals() for word in text.split()[1:])
    if text.startswith("event="):
        return is_event(text)
    if text.startswith("what="):
        return is_log_line(text)
    if re.match(r"(GET|POST) /", text):
        method, path = text.split()[:2]
        return (
            f"{method} {path}" in api_calls() or path in literals() or path.encode() in byte_words()
        )
    if re.match(r"\w+=", text):
        return is_key_and_value(text)
    if text.startswith("--"):
        return all(is_option(word) for word in text.split() if word.startswith("--"))
    if "/" in text and (ROOT / text).exists():
        return True
    return (
        text in literals() or text in log_keywords() or text in enum_members() or is_command(text)
        or any(f"{text}=" in literal for literal in literals())
    )  # fmt: skip


def is_option(word: str) -> bool:
    return any(word in options for options in commands().values()) or any(
        word in text for text in literals()
    )


@cache
def byte_words() -> frozenset[bytes]:
    """Return the words of all bytes constants, which include the paths of HTTP requests."""
    return frozenset(
        part
        for path in files(PACKAGE)
        for node in ast.walk(syntax_tree(path))
        if isinstance(node, ast.Constant) and isinstance(node.value, bytes)
        for part in node.value.split()
    )


def test_everything_between_back_quotes_is_in_the_code():
    text = PAGE.read_text()
    named = [*re.findall(r"`([^`]+)`", text), *re.findall(r"(?m)^    (python -m [^#\n]+)", text)]
    assert len(named) > 100
    assert [name for name in named if not is_in_the_code(name.strip())] == []


def test_events_that_other_pages_name_are_in_the_code():
    """Historical pages and the tables of earlier names, which end their page, are not checked."""
    missing = []
    for page in sorted((ROOT / "docs").glob("*.md")):
        if page.name in HISTORICAL_PAGES:
            continue
        text = page.read_text().split("## Earlier names\n")[0]
        for name in re.findall(r"`(event=\w+[^`]*)`", text):
            if not is_event(name):
                missing.append(f"{page.name}: {name}")
    assert missing == []


def test_calls_that_pages_name_are_in_the_code():
    missing, count = [], 0
    for page in sorted((ROOT / "docs").glob("*.md")):
        if page.name in HISTORICAL_PAGES:
            continue
        text = page.read_text().split("## Earlier names\n")[0]
        for method, path in re.findall(r"`(GET|POST) (/[A-Z][\w.]+)", text):
            count += 1
            if not {f"{method} {path}", f"{method} {path}/"} & api_calls():
                missing.append(f"{page.name}: {method} {path}")
    assert missing == []
    assert count > 10


def event_rows() -> dict[str, set[str]]:
    """Return the documented keys of each event in the page's table."""
    lines = PAGE.read_text().splitlines()
    start = lines.index("| event | by | keys | what to do |")
    found = {}
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cells = line.strip("|").split("|")
        found[cells[0].strip().strip("`")] = set(re.findall(r"`(\w+)`", cells[2]))
    return found


def test_the_table_of_events_lists_every_event():
    rows = event_rows()
    assert rows.keys() == {name for event in logged_events() for name in event.names}


@pytest.mark.parametrize("name", sorted(event_rows()))
def test_the_documented_keys_of_an_event_are_those_it_is_logged_with(name: str):
    listed, events = event_rows()[name], [event for event in logged_events() if name in event.names]
    certain_keys = {key for event in events for key in event.keys}
    possible_keys = {key for event in events for key in event.possible_keys}
    assert certain_keys <= listed <= certain_keys | possible_keys
