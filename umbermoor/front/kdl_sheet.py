"""Reads KDL documents ("sheets") into typed records. Errors name the file and line.

A record is a msgspec Struct. A node's arguments fill the fields that its ``PLACES`` name, in order;
its properties and children fill the fields of the same names, with ``-`` for ``_``. A child that
may be repeated has a field that is a list or tuple of records. The syntax is the KDL specification,
version 1, as parsed by kdl-py.
"""

import re
import types
import typing
from pathlib import Path
from typing import Any, ClassVar, NamedTuple, TypeVar, Union

import kdl
import msgspec

MAX_BYTES = 4 * 1024 * 1024  # bytes; larger files are rejected


class SheetError(Exception):
    """A sheet is invalid. The text is one line: file, line, and what was expected there."""


class Node(NamedTuple):
    name: str
    values: list[Any]
    properties: dict[str, Any]
    children: "list[Node]"
    line: int


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    PLACES: ClassVar[tuple[str, ...]] = ()

    def fault(self) -> str | None:
        """Return an error that involves several fields, or None if the record is valid."""
        return None


RecordT = TypeVar("RecordT", bound=Record)


def read_sheet(path: str | Path, word: str, kind: type[RecordT]) -> RecordT:
    """Read a sheet with a single top node of this name.

    Raises:
        SheetError: The sheet cannot be read or is invalid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SheetError(f"{path}:0: expected a file that can be read: {error.strerror}") from None
    return parse_sheet(data, str(path), word, kind)


def parse_sheet(data: bytes, name: str, word: str, kind: type[RecordT]) -> RecordT:
    nodes = _nodes(data, name)
    if len(nodes) != 1 or nodes[0].name != word:
        line = (
            nodes[1].line
            if len(nodes) > 1 and nodes[0].name == word
            else nodes[0].line
            if nodes
            else 1
        )
        raise SheetError(f"{name}:{line}: expected one node '{word}' at the top")
    return _record(nodes[0], kind, name)


def _nodes(data: bytes, name: str) -> list[Node]:
    if len(data) > MAX_BYTES:
        raise SheetError(f"{name}:1: expected at most {MAX_BYTES} bytes, not {len(data)}")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise SheetError(f"{name}:{line}: expected UTF-8") from None
    lines: dict[int, int] = {}

    def record_line(node: kdl.Node, fragment: kdl.ParseFragment) -> kdl.Node:
        lines[id(node)] = int(str(fragment.error("")).partition(":")[0])
        return node

    try:
        found = kdl.parse(text, kdl.ParseConfig(nodeConverters={re.compile(""): record_line}))
    except kdl.ParseError as error:
        line, _, rest = str(error).partition(":")
        raise SheetError(
            f"{name}:{line}: expected KDL: {rest.partition('parse error: ')[2].splitlines()[0]}"
        ) from None
    except RecursionError:
        raise SheetError(f"{name}:1: expected fewer levels of nested nodes") from None
    return [_node(one, lines) for one in found.nodes]


def _node(one: kdl.Node, lines: dict[int, int]) -> Node:
    return Node(
        one.name,
        [_value(value) for value in one.args],
        {key: _value(value) for key, value in one.props.items()},
        [_node(inner, lines) for inner in one.nodes],
        lines.get(id(one), 0),
    )


def _value(value: Any) -> Any:
    """Convert whole numbers to int, as KDL does not distinguish integers."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


def _record(node: Node, kind: type[RecordT], name: str) -> RecordT:
    hints = typing.get_type_hints(kind)
    fields = {field.name: hints[field.name] for field in msgspec.structs.fields(kind)}

    def fail(line: int, text: str) -> SheetError:
        return SheetError(f"{name}:{line}: {text}")

    def field(word: str, line: int) -> str:
        key = word.replace("-", "_")
        if key not in fields or "_" in word:
            known = ", ".join(one.replace("_", "-") for one in fields)
            raise fail(line, f"expected one of {known} in '{node.name}', not {word!r}")
        return key

    given: dict[str, Any] = {}
    if len(node.values) > len(kind.PLACES):
        raise fail(
            node.line,
            f"expected {len(kind.PLACES) or 'no'} values after '{node.name}', not {len(node.values)}",
        )
    given.update(zip(kind.PLACES, node.values))
    for word, value in node.properties.items():
        key = field(word, node.line)
        if key in given:
            raise fail(node.line, f"expected {word!r} once in '{node.name}'")
        given[key] = value
    for child in node.children:
        key = field(child.name, child.line)
        inner, several = _nested_record(fields[key])
        if several and inner is not None:
            given.setdefault(key, []).append(_record(child, inner, name))
            continue
        if key in given:
            raise fail(child.line, f"expected {child.name!r} once in '{node.name}'")
        if inner is not None:
            given[key] = _record(child, inner, name)
        elif child.properties or child.children or (not several and len(child.values) != 1):
            raise fail(
                child.line, f"expected '{child.name}' and {'values' if several else 'one value'}"
            )
        else:
            given[key] = child.values if several else child.values[0]
    try:
        record = msgspec.convert(given, kind)
    except msgspec.ValidationError as error:
        raise fail(*_locate(str(error), node)) from None
    if fault := record.fault():
        raise fail(node.line, fault)
    return record


def _locate(text: str, node: Node) -> tuple[int, str]:
    """Return the line and text for an error of msgspec."""
    what, _, path = text.partition(" - at `$")
    words = re.findall(r"\.(\w+)", path)
    what = what[:1].lower() + what[1:]
    if not words:
        return node.line, f"{what.replace('_', '-')} in '{node.name}'"
    word = words[0].replace("_", "-")
    line = next((child.line for child in node.children if child.name == word), node.line)
    return line, f"{what} for '{word}' in '{node.name}'"


def _nested_record(hint: Any) -> tuple[type[Record] | None, bool]:
    """Return the record type within a field's type, if any, and whether it holds several values."""
    origin = typing.get_origin(hint)
    if origin in (Union, types.UnionType):
        return next(
            (
                found
                for one in typing.get_args(hint)
                if (found := _nested_record(one)) != (None, False)
            ),
            (None, False),
        )
    if origin in (list, tuple):
        return _nested_record(typing.get_args(hint)[0])[0], True
    if origin is typing.Annotated:
        return _nested_record(typing.get_args(hint)[0])
    return (hint, False) if isinstance(hint, type) and issubclass(hint, Record) else (None, False)
