"""Whether the pages of an LMDB file hang together, read without mapping it.

LMDB trusts its file: a page number that a flipped bit sent astray ends the process by a signal, at
each start anew. So the file is walked by plain reads first. Source: LMDB 0.9 (`mdb.c`, data version
1), little endian, 64 bits.
"""

import os
import struct
from typing import BinaryIO, NamedTuple

MAGIC, DATA_VERSION = 0xBEEFC0DE, 1
PAGE = 4096  # bytes of a page on most systems
LARGEST = 1 << 34  # bytes of a map
UNWRITTEN = 1 << 26  # bytes at the end of pages that a commit took and gave back, at most
HEADER = 16  # bytes of a page's header
BRANCH, LEAF, OVERFLOW, META = 0x01, 0x02, 0x04, 0x08
INTEGER_KEY = 0x08  # the flag of the free pages' tree; the records' tree has none
BIG_DATA = 0x01  # a node whose value lies on overflow pages
NONE = (1 << 64) - 1  # the root of an empty tree
DEEPEST = 16
_META = struct.Struct("<IIQQ" + "IHHQQQQQ" * 2 + "QQ")


class Meta(NamedTuple):
    place: int  # in the file, bytes
    page_size: int
    roots: tuple[int, int]  # of the free pages' tree, and of the records'
    last_page: int
    txn: int


class Torn(Exception):
    """The file is not what a commit left; says where."""


def read_metas(file: BinaryIO) -> tuple[Meta, Meta] | None:
    """The two meta pages, the one in force first; None if nothing was ever committed. Raises
    Torn."""
    found = []
    size = os.fstat(file.fileno()).st_size
    offset = 0
    for _ in range(2):
        file.seek(offset)
        page = file.read(HEADER + _META.size)
        if len(page) < HEADER + _META.size or not int.from_bytes(page[10:12], "little") & META:
            break
        magic, version, _, map_size, *trees, last, txn = _META.unpack(page[HEADER:])
        psize, free, main = trees[0], trees[7], trees[15]
        if magic != MAGIC or version != DATA_VERSION or trees[1] != INTEGER_KEY or trees[9]:
            break
        if psize < 512 or psize > 1 << 16 or psize & (psize - 1) or map_size > LARGEST:
            break
        if last * psize > size + UNWRITTEN:
            break
        found.append(Meta(offset, psize, (free, main), last, txn))
        offset = psize
    if len(found) == 2 and found[0].page_size == found[1].page_size:
        first, second = sorted(found, key=lambda meta: -meta.txn)
        return (first, second) if first.txn else None
    if size <= 2 * PAGE and not any(meta.txn for meta in found):
        return None  # its end came while it was made
    raise Torn("a meta page is garbled")


def check(path: str) -> bool:
    """Whether anything was ever committed to the file at `path`. Raises Torn, and OSError."""
    with open(path, "rb") as file:
        metas = read_metas(file)
        if metas:
            _check(file, metas[0])
        return bool(metas)


def set_aside(path: str) -> tuple[bytes, bytes] | None:
    """The first record of the tree that is not in force, if that one hangs together: where the
    number of the newest commit is spoilt or was not written, the tree in force is not the newest
    one."""
    with open(path, "rb") as file:
        if not (metas := read_metas(file)):
            return None
        try:
            _check(file, metas[1])
            return _first(file, metas[1])
        except Torn:
            return None


def put_in_force(path: str, txn: int) -> None:
    """Number the tree that is not in force `txn`, synced."""
    with open(path, "r+b") as file:
        if metas := read_metas(file):
            file.seek(metas[1].place + HEADER + _META.size - 8)
            file.write(txn.to_bytes(8, "little"))
            file.flush()
            os.fsync(file.fileno())


def _check(file: BinaryIO, meta: Meta) -> None:
    seen: set[int] = set()
    for root in meta.roots:
        if root != NONE:
            _walk(file, meta, root, 0, seen)


def _first(file: BinaryIO, meta: Meta) -> tuple[bytes, bytes] | None:
    """The first record, of a tree that was walked."""
    number = meta.roots[1]
    while number != NONE:
        page = _page(file, meta, number, set())
        flags, lower, _ = struct.unpack_from("<HHH", page, 10)
        if lower == HEADER:
            break
        (at,) = struct.unpack_from("<H", page, HEADER)
        low, high, node_flags, key_size = struct.unpack_from("<HHHH", page, at)
        if flags & BRANCH:
            number = low | high << 16 | node_flags << 32
            continue
        behind = at + 8 + key_size
        if node_flags & BIG_DATA:
            break
        return page[at + 8 : behind], page[behind : behind + (low | high << 16)]
    return None


def _page(file: BinaryIO, meta: Meta, number: int, seen: set[int], count: int = 1) -> bytes:
    if not 2 <= number <= meta.last_page or number + count - 1 > meta.last_page:
        raise Torn(f"page {number} is outside")
    for one in range(number, number + count):
        if one in seen:
            raise Torn(f"page {one} is in use twice")
        seen.add(one)
    file.seek(number * meta.page_size)
    page = file.read(meta.page_size)
    if len(page) < meta.page_size:
        raise Torn(f"page {number} is missing")
    if int.from_bytes(page[:8], "little") != number:
        raise Torn(f"page {number} says it is another")
    return page


def _walk(file: BinaryIO, meta: Meta, number: int, depth: int, seen: set[int]) -> None:
    if depth > DEEPEST:
        raise Torn("the tree is too deep")
    page = _page(file, meta, number, seen)
    flags, lower, upper = struct.unpack_from("<HHH", page, 10)
    if (
        flags & 0xFF not in (BRANCH, LEAF)
        or not HEADER <= lower <= upper <= meta.page_size
        or lower & 1
    ):
        raise Torn(f"page {number} has a garbled header")
    for index in range((lower - HEADER) // 2):
        (at,) = struct.unpack_from("<H", page, HEADER + 2 * index)
        if not upper <= at <= meta.page_size - 8 or at & 1:
            raise Torn(f"page {number} has a node outside")
        low, high, node_flags, key_size = struct.unpack_from("<HHHH", page, at)
        if flags & BRANCH:
            if at + 8 + key_size > meta.page_size:
                raise Torn(f"page {number} has a key beyond its end")
            _walk(file, meta, low | high << 16 | node_flags << 32, depth + 1, seen)
            continue
        if node_flags & ~BIG_DATA:
            raise Torn(f"page {number} has a node of an unknown kind")
        big = node_flags & BIG_DATA
        length = low | high << 16
        if at + 8 + key_size + (8 if big else length) > meta.page_size:
            raise Torn(f"page {number} has a value beyond its end")
        if big:
            (first,) = struct.unpack_from("<Q", page, at + 8 + key_size)
            _overflow(file, meta, first, length, seen)


def _overflow(file: BinaryIO, meta: Meta, first: int, length: int, seen: set[int]) -> None:
    count = (HEADER - 1 + length) // meta.page_size + 1
    page = _page(file, meta, first, seen, count)
    flags, pages = struct.unpack_from("<HI", page, 10)
    if not flags & OVERFLOW or pages < count:
        raise Torn(f"page {first} is no value of that length")
    file.seek(0, os.SEEK_END)
    if file.tell() < first * meta.page_size + HEADER + length:
        raise Torn(f"page {first} is cut short")
