"""The platform's formats: forms, XML and event streams.

Malformed input yields None or is skipped.
"""

import re
from collections.abc import Mapping
from typing import NamedTuple

_TAG = re.compile(r"<(/?)([A-Za-z_][\w.-]*)([^<>]*?)(/?)>")
_ENTITY = re.compile(r"&(#x[0-9A-Fa-f]+|#[0-9]+|lt|gt|amp|quot|apos);")
_SPECIAL = re.compile(r"[^A-Za-z0-9._~-]+")
_ESCAPES = re.compile(r"(?:%[0-9A-Fa-f]{2})+")
_NAMED = {"lt": "<", "gt": ">", "amp": "&", "quot": '"', "apos": "'"}
MAX_LINE_BYTES = 64 * 1024  # bytes of a line of an event stream; longer lines are dropped


class Element(NamedTuple):
    name: str
    text: str
    inner: "list[Element]"

    def find(self, name: str) -> "Element | None":
        """Return the first descendant of this name, depth first."""
        for one in self.inner:
            if one.name == name:
                return one
            if found := one.find(name):
                return found
        return None

    def values(self) -> dict[str, str]:
        return {one.name: one.text for one in self.inner}


def write_form(values: Mapping[str, object]) -> bytes:
    return "&".join(
        f"{_escaped(name)}={_escaped(str(value))}" for name, value in values.items()
    ).encode()


def read_form(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {_unescaped(name): _unescaped(value) for name, _, value in pairs}


def _escaped(text: str) -> str:
    return _SPECIAL.sub(lambda run: "".join(f"%{byte:02X}" for byte in run[0].encode()), text)


def _unescaped(text: str) -> str:
    """Decode percent escapes; text that only resembles an escape is kept as it is."""
    return _ESCAPES.sub(
        lambda run: bytes.fromhex(run[0].replace("%", "")).decode("utf-8", "replace"),
        text.replace("+", " "),
    )


def read_xml(data: bytes) -> Element | None:
    """Parse elements and text; attributes, comments and processing instructions are ignored.

    Returns:
        The root element, or None if the document is malformed.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return None
    text = re.sub(r"<\?.*?\?>|<!--.*?-->|<!DOCTYPE[^>]*>", "", text, flags=re.DOTALL)
    stack, at = [Element("", "", [])], 0
    for tag in _TAG.finditer(text):
        between, at = text[at : tag.start()], tag.end()
        if "<" in between or ">" in between:
            return None
        if tag[1]:
            done = stack.pop()
            if not stack or done.name != tag[2]:
                return None
            stack[-1].inner.append(
                done._replace(
                    text="" if done.inner else _ENTITY.sub(_decode_entity, between).strip()
                )
            )
        elif tag[4]:
            stack[-1].inner.append(Element(tag[2], "", []))
        else:
            stack.append(Element(tag[2], "", []))
    whole = len(stack) == 1 and len(stack[0].inner) == 1 and not text[at:].strip()
    return stack[0].inner[0] if whole else None


def _decode_entity(entity: re.Match[str]) -> str:
    name = entity[1]
    if name in _NAMED:
        return _NAMED[name]
    code = int(name[2:], 16) if name[1] == "x" else int(name[1:])
    return chr(code) if 0 < code < 0x110000 and not 0xD800 <= code < 0xE000 else ""


class Event(NamedTuple):
    kind: str
    data: str


class EventStream:
    """Splits a byte stream, received in pieces, into events (server-sent events)."""

    def __init__(self) -> None:
        self._partial, self._kind, self._data = b"", "", []

    def feed(self, piece: bytes) -> list[Event]:
        events = []
        # a \r at the end may be the first half of \r\n
        *lines, self._partial = re.split(rb"\r\n|\n|\r(?!\Z)", self._partial + piece)
        if len(self._partial) > MAX_LINE_BYTES:
            self._partial = b""
        for line in lines:
            name, _, value = line.decode("utf-8", "replace").partition(":")
            value = value.removeprefix(" ")
            if not line:
                if self._data:
                    events.append(Event(self._kind or "message", "\n".join(self._data)))
                self._kind, self._data = "", []
            elif name == "event":
                self._kind = value
            elif name == "data":
                self._data.append(value)
        return events
