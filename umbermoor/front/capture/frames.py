"""File format of a capture, version 1, without I/O. All integers are little-endian.

    file    "UMCAP" version:u8 reserved:u16, then frames
    frame   "Fr" kind:u8 reserved:u8 length:u32 crc32:u32 (of kind and payload), payload
    kind H  JSON: name of the front, begun (microseconds of its clock), profiles
    kind R  zlib of: base:u64 machines:u16 rows:u32, the machines (length:u8 name build:u16
            born:u64), the rows

Each frame of rows is self-contained: it includes the machines that its rows refer to. A file that
ends in the middle of a frame loses only that frame.
"""

import zlib
from collections.abc import Iterable, Iterator
from struct import Struct
from struct import error as StructError
from typing import Any, NamedTuple

import orjson

MAGIC = b"UMCAP"
VERSION = 1
_FILE = Struct("<5sBH")
_FRAME = Struct("<2sBBII")
_ROWS = Struct("<QHI")
_MACHINE = Struct("<HQ")
_ROW = Struct("<IBBBBIIHHIII")
FRAME_MARK = b"Fr"
HEAD, ROWS = ord("H"), ord("R")
MAX_PAYLOAD = 4 << 20  # bytes; a longer frame is treated as damage
MAX_UNPACKED = 32 << 20
NO_MACHINE = 0xFFFF
REPEATED, HINTED = 1, 2

ENDINGS = ("open", "done", "denied", "abandoned", "left", "failed")


class SeenMachine(NamedTuple):
    """A machine in a frame."""

    name: str
    build: int
    born: int  # start time, microseconds of the front's clock; 0: long ago


class Row(NamedTuple):
    """One query. Times are microseconds: `came` by the front's clock, the others since `came`."""

    came: int
    profile: int
    repeated: bool
    hint: int | None  # work estimate that came with it
    ending: str
    hand_offs: int
    took: int  # until its final response
    patience: int  # time left to its deadline when it came
    machine: SeenMachine | None  # of the last hand-off
    ahead: int  # this front's other open hand-offs to that machine at that time
    sent: int  # when the last hand-off was decided
    served: int  # duration of that hand-off; 0: it was not completed


class Damage(NamedTuple):
    """Data that could not be read; all rows before it were read."""

    at: int  # byte offset in the file
    what: str


class Header(NamedTuple):
    """Header of a capture: the front, its start time and its profiles."""

    name: str
    begun: int
    profiles: tuple[dict[str, Any], ...]


_U32 = 0xFFFFFFFF


def file_head() -> bytes:
    """Return the bytes that a file begins with."""
    return _FILE.pack(MAGIC, VERSION, 0)


def frame(kind: int, payload: bytes) -> bytes:
    """Return a frame with its checksum."""
    return _FRAME.pack(FRAME_MARK, kind, 0, len(payload), zlib.crc32(payload, kind)) + payload


def header_frame(header: Header) -> bytes:
    """Return the frame of a header."""
    return frame(
        HEAD,
        orjson.dumps(
            {"name": header.name, "begun": header.begun, "profiles": list(header.profiles)}
        ),
    )


def rows_frame(rows: Iterable[Row]) -> bytes:
    """Return a frame of rows that span less than an hour and at most 65,535 machines."""
    rows = list(rows)
    base = min(row.came for row in rows)
    places: dict[SeenMachine, int] = {}
    packed = []
    for row in rows:
        place = NO_MACHINE if row.machine is None else places.setdefault(row.machine, len(places))
        flags = REPEATED * row.repeated | HINTED * (row.hint is not None)
        packed.append(
            _ROW.pack(
                min(_U32, row.came - base),
                row.profile,
                flags,
                ENDINGS.index(row.ending),
                min(255, row.hand_offs),
                min(_U32, row.took),
                min(_U32, row.hint or 0),
                place,
                min(0xFFFF, row.ahead),
                min(_U32, row.sent),
                min(_U32, row.served),
                min(_U32, row.patience),
            )
        )
    names = []
    for seen in places:
        name = seen.name.encode()[:255]
        names.append(
            bytes([len(name)]) + name + _MACHINE.pack(seen.build & 0xFFFF, max(0, seen.born))
        )
    body = _ROWS.pack(base, len(places), len(rows)) + b"".join(names) + b"".join(packed)
    return frame(ROWS, zlib.compress(body, 1))


def read(data: bytes) -> Iterator[Header | list[Row] | Damage]:
    """Yield the frames' contents in order; the first damage ends the iteration."""
    if len(data) < _FILE.size:
        yield Damage(0, "ends before the file's head does")
        return
    magic, version, _ = _FILE.unpack_from(data)
    if magic != MAGIC:
        yield Damage(0, "is no capture")
        return
    if version != VERSION:
        yield Damage(5, f"is of version {version}; this program reads version {VERSION}")
        return
    at = _FILE.size
    while at < len(data):
        if len(data) - at < _FRAME.size:
            yield Damage(at, "ends within a frame's head")
            return
        mark, kind, _, length, checksum = _FRAME.unpack_from(data, at)
        if mark != FRAME_MARK or length > MAX_PAYLOAD:
            yield Damage(at, "no frame begins here")
            return
        payload = data[at + _FRAME.size : at + _FRAME.size + length]
        if len(payload) < length:
            yield Damage(at, f"ends within a frame: {len(payload)} of {length} bytes")
            return
        if zlib.crc32(payload, kind) != checksum:
            yield Damage(at, "the checksum differs")
            return
        try:
            yield _header(payload) if kind == HEAD else _read_rows(payload)
        except (StructError, zlib.error, KeyError, TypeError, ValueError, IndexError) as error:
            yield Damage(at, f"a frame that cannot be read: {type(error).__name__}: {error}")
            return
        at += _FRAME.size + length


def _header(payload: bytes) -> Header:
    given = orjson.loads(payload)
    return Header(
        str(given["name"]), int(given["begun"]), tuple(dict(one) for one in given["profiles"])
    )


def _read_rows(payload: bytes) -> list[Row]:
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(payload, MAX_UNPACKED)
    if unpacker.unconsumed_tail:
        raise ValueError("more than a frame may hold")
    base, machines, count = _ROWS.unpack_from(body)
    at, seen = _ROWS.size, []
    for _ in range(machines):
        size = body[at]
        name = body[at + 1 : at + 1 + size].decode()
        seen.append(SeenMachine(name, *_MACHINE.unpack_from(body, at + 1 + size)))
        at += 1 + size + _MACHINE.size
    if len(body) - at != count * _ROW.size:
        raise ValueError(f"{len(body) - at} bytes for {count} rows")
    rows = []
    for packed in _ROW.iter_unpack(body[at:]):
        came, profile, flags, ending, tries, took, hint, place, ahead, sent, served, patience = (
            packed
        )
        rows.append(
            Row(
                base + came,
                profile,
                bool(flags & REPEATED),
                hint if flags & HINTED else None,
                ENDINGS[ending],
                tries,
                took,
                patience,
                None if place == NO_MACHINE else seen[place],
                ahead,
                sent,
                served,
            )
        )
    return rows
