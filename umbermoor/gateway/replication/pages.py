"""Consistency check of the pages of an LMDB file, without mapping it into memory.

LMDB trusts its file: a page number corrupted by a flipped bit makes it access memory outside the
map, and a signal kills the process, again at each restart. So the trees are first walked with plain
reads. Source: LMDB 0.9 (`mdb.c`, data version 1), little endian, 64 bits.
"""

import os
import struct
from typing import BinaryIO, NamedTuple

from umbermoor.gateway.replication.errors import DamagedPagesError

MAGIC, DATA_VERSION = 0xBEEFC0DE, 1
PAGE_SIZE = 4096  # bytes, on most systems
MIN_PAGE_SIZE, MAX_PAGE_SIZE = 512, 1 << 16
MAX_MAP_SIZE = 1 << 34  # bytes
# Pages that a commit allocated and freed again may never have been written, so the file may be
# shorter than its number of pages says, by up to so many bytes.
MAX_UNWRITTEN = 1 << 26
HEADER_SIZE = 16  # bytes of a page's header
NODE_HEADER_SIZE = 8  # bytes
BRANCH, LEAF, OVERFLOW, META = 0x01, 0x02, 0x04, 0x08  # flags of a page
INTEGER_KEY = 0x08  # flag of the tree of free pages; the tree of records has no flag
BIG_DATA = 0x01  # flag of a node whose value lies on overflow pages
NO_ROOT = (1 << 64) - 1  # root page number of an empty tree
MAX_DEPTH = 16
META_BODY = struct.Struct("<IIQQ" + "IHHQQQQQ" * 2 + "QQ")
COMMIT_SIZE = 8  # bytes of the commit number at the end of a meta page's body
FIRST_PAGE = 2  # first page after the two meta pages


class MetaPage(NamedTuple):
    """The contents of one of the two meta pages, as left by a commit."""

    offset: int  # in the file, bytes
    page_size: int  # bytes
    roots: tuple[int, int]  # root page of the tree of free pages, and of the tree of records
    last_page: int
    txn: int  # number of the commit


class _Node(NamedTuple):
    """A node of a page: a key with a child page (in a branch) or with a value (in a leaf)."""

    offset: int  # in the page, bytes
    low: int
    high: int
    flags: int
    key_size: int

    @property
    def child(self) -> int:
        """Page number of the child; only for a node of a branch page."""
        return self.low | self.high << 16 | self.flags << 32

    @property
    def value_size(self) -> int:
        """Size of the value in bytes; only for a node of a leaf page."""
        return self.low | self.high << 16

    @property
    def value_offset(self) -> int:
        """Offset of the value in the page; only for a node of a leaf page."""
        return self.offset + NODE_HEADER_SIZE + self.key_size


def read_metas(file: BinaryIO) -> tuple[MetaPage, MetaPage] | None:
    """Read the two meta pages and return the current one first; None if nothing was ever committed.

    Raises:
        DamagedPagesError: A meta page is damaged.
    """
    metas: list[MetaPage] = []
    size = os.fstat(file.fileno()).st_size
    offset = 0
    for _ in range(2):
        meta = _read_meta(file, offset, size)
        if meta is None:
            break
        metas.append(meta)
        offset = meta.page_size
    if len(metas) == 2 and metas[0].page_size == metas[1].page_size:
        newest, older = sorted(metas, key=lambda meta: -meta.txn)
        return (newest, older) if newest.txn else None
    if size <= 2 * PAGE_SIZE and not any(meta.txn for meta in metas):
        return None  # the process ended while it created the file
    raise DamagedPagesError("a meta page is garbled")


def _read_meta(file: BinaryIO, offset: int, file_size: int) -> MetaPage | None:
    """Read the meta page at `offset`; None if there is no valid one."""
    file.seek(offset)
    page = file.read(HEADER_SIZE + META_BODY.size)
    if len(page) < HEADER_SIZE + META_BODY.size:
        return None
    if not int.from_bytes(page[10:12], "little") & META:
        return None
    magic, version, _, map_size, *trees, last_page, txn = META_BODY.unpack(page[HEADER_SIZE:])
    page_size, free_root, main_root = trees[0], trees[7], trees[15]
    free_flags, main_flags = trees[1], trees[9]
    if magic != MAGIC or version != DATA_VERSION or free_flags != INTEGER_KEY or main_flags:
        return None
    if not MIN_PAGE_SIZE <= page_size <= MAX_PAGE_SIZE or page_size & (page_size - 1):
        return None
    if map_size > MAX_MAP_SIZE or last_page * page_size > file_size + MAX_UNWRITTEN:
        return None
    return MetaPage(offset, page_size, (free_root, main_root), last_page, txn)


def check(path: str) -> bool:
    """Check the pages of the file at `path`; return whether anything was ever committed to it.

    Raises:
        DamagedPagesError: The pages are inconsistent.
        OSError: The file cannot be read.
    """
    with open(path, "rb") as file:
        metas = read_metas(file)
        if metas:
            _check_trees(file, metas[0])
        return bool(metas)


def current_commit(path: str) -> int:
    """Return the number of the current commit; 0 if there is none."""
    with open(path, "rb") as file:
        metas = read_metas(file)
    return metas[0].txn if metas else 0


def first_record_of_other_tree(path: str) -> tuple[bytes, bytes] | None:
    """Return the first record of the tree that is not current; None if that tree is inconsistent.

    The current tree is not the newest one if the number of the newest commit was corrupted or was
    not written.
    """
    with open(path, "rb") as file:
        if not (metas := read_metas(file)):
            return None
        try:
            _check_trees(file, metas[1])
            return _first_record(file, metas[1])
        except DamagedPagesError:
            return None


def make_other_tree_current(path: str, txn: int) -> None:
    """Make the other tree the current one: write `txn` as its commit number, and sync the file."""
    with open(path, "r+b") as file:
        if metas := read_metas(file):
            file.seek(metas[1].offset + HEADER_SIZE + META_BODY.size - COMMIT_SIZE)
            file.write(txn.to_bytes(COMMIT_SIZE, "little"))
            file.flush()
            os.fsync(file.fileno())


def _check_trees(file: BinaryIO, meta: MetaPage) -> None:
    seen: set[int] = set()
    for root in meta.roots:
        if root != NO_ROOT:
            _check_tree(file, meta, root, 0, seen)


def _first_record(file: BinaryIO, meta: MetaPage) -> tuple[bytes, bytes] | None:
    """Return the first record of a tree that was checked; None if there is none to read here.

    A value on overflow pages is not read.
    """
    number = meta.roots[1]
    while number != NO_ROOT:
        page = _read_page(file, meta, number, set())
        flags, lower, _ = struct.unpack_from("<HHH", page, 10)
        if lower == HEADER_SIZE:
            break
        node = _read_node(page, 0)
        if flags & BRANCH:
            number = node.child
            continue
        if node.flags & BIG_DATA:
            break
        key = page[node.offset + NODE_HEADER_SIZE : node.value_offset]
        return key, page[node.value_offset : node.value_offset + node.value_size]
    return None


def _read_page(
    file: BinaryIO, meta: MetaPage, number: int, seen: set[int], count: int = 1
) -> bytes:
    """Read the first of `count` consecutive pages, and mark all of them in `seen` as used.

    Raises:
        DamagedPagesError: A page is out of range, is used twice, or does not hold its own number.
    """
    if number < FIRST_PAGE or max(number, number + count - 1) > meta.last_page:
        raise DamagedPagesError(f"page {number} is outside")
    for used in range(number, number + count):
        if used in seen:
            raise DamagedPagesError(f"page {used} is in use twice")
        seen.add(used)
    file.seek(number * meta.page_size)
    page = file.read(meta.page_size)
    if len(page) < meta.page_size:
        raise DamagedPagesError(f"page {number} is missing")
    if int.from_bytes(page[:8], "little") != number:
        raise DamagedPagesError(f"page {number} says it is another")
    return page


def _read_node(page: bytes, index: int) -> _Node:
    (offset,) = struct.unpack_from("<H", page, HEADER_SIZE + 2 * index)
    return _Node(offset, *struct.unpack_from("<HHHH", page, offset))


def _check_tree(file: BinaryIO, meta: MetaPage, number: int, depth: int, seen: set[int]) -> None:
    if depth > MAX_DEPTH:
        raise DamagedPagesError("the tree is too deep")
    page = _read_page(file, meta, number, seen)
    flags, lower, upper = struct.unpack_from("<HHH", page, 10)
    is_ordered = HEADER_SIZE <= lower <= upper <= meta.page_size
    if flags & 0xFF not in (BRANCH, LEAF) or not is_ordered or lower & 1:
        raise DamagedPagesError(f"page {number} has a garbled header")
    for index in range((lower - HEADER_SIZE) // 2):
        (offset,) = struct.unpack_from("<H", page, HEADER_SIZE + 2 * index)
        if not upper <= offset <= meta.page_size - NODE_HEADER_SIZE or offset & 1:
            raise DamagedPagesError(f"page {number} has a node outside")
        node = _read_node(page, index)
        if flags & BRANCH:
            if node.value_offset > meta.page_size:
                raise DamagedPagesError(f"page {number} has a key beyond its end")
            _check_tree(file, meta, node.child, depth + 1, seen)
        else:
            _check_leaf(file, meta, number, page, node, seen)


def _check_leaf(
    file: BinaryIO, meta: MetaPage, number: int, page: bytes, node: _Node, seen: set[int]
) -> None:
    if node.flags & ~BIG_DATA:
        raise DamagedPagesError(f"page {number} has a node of an unknown kind")
    is_big = node.flags & BIG_DATA
    if node.value_offset + (8 if is_big else node.value_size) > meta.page_size:
        raise DamagedPagesError(f"page {number} has a value beyond its end")
    if is_big:
        (first,) = struct.unpack_from("<Q", page, node.value_offset)
        _check_overflow(file, meta, first, node.value_size, seen)


def _check_overflow(
    file: BinaryIO, meta: MetaPage, first: int, length: int, seen: set[int]
) -> None:
    count = (HEADER_SIZE - 1 + length) // meta.page_size + 1
    page = _read_page(file, meta, first, seen, count)
    flags, page_count = struct.unpack_from("<HI", page, 10)
    if not flags & OVERFLOW or page_count < count:
        raise DamagedPagesError(f"page {first} is no value of that length")
    file.seek(0, os.SEEK_END)
    if file.tell() < first * meta.page_size + HEADER_SIZE + length:
        raise DamagedPagesError(f"page {first} is cut short")
