"""Crashes at each step of a commit, and flipped bits, built on copies of a store's file.

LMDB commits in this order: it writes the pages, syncs them, writes a meta page, and syncs that. A
page that is not synced yet may be present, missing or torn after a loss of power, independently of
the others. So every state in between can be built from the files before and after a commit.
"""

import os
import random
import shutil
from collections.abc import Iterator

from umbermoor.gateway.replication.store import DATA, Store

PAGE = 4096
SIZE = 8 << 20
State = dict[str, bytes]


def read_file(path: str) -> bytes:
    with open(os.path.join(path, DATA), "rb") as file:
        return file.read()


def open_copy(path: str, data: bytes, store: type[Store] = Store) -> tuple[State, str]:
    """Open a store on a file of these bytes; return its records and why it counts as lost."""
    shutil.rmtree(path, ignore_errors=True)
    os.makedirs(path)
    with open(os.path.join(path, DATA), "wb") as file:
        file.write(data)
    tested = store(path, SIZE)
    try:
        return tested.load(), tested.lost
    finally:
        tested.close()


def random_writes(
    path: str, chance: random.Random, count: int
) -> Iterator[tuple[bytes, State, bytes, State]]:
    """Yield the file and the records before, and those after, each of `count` random writes."""
    store, state = Store(path, SIZE), dict[str, bytes]()
    store.write({})  # the first commit
    before, old_state = read_file(path), dict(state)
    for number in range(count):
        puts: dict[str, bytes | None] = {"version": b"[64, %d]" % number, "members": b'["a"]'}
        for _ in range(chance.randrange(1, 4)):
            key = f"state/{chance.choice('abcdefghij')}"
            size = chance.choice((10, 200, 3000, 20000))
            puts[key] = (
                None
                if chance.random() < 0.2
                else b'"%s"' % chance.randbytes(size // 2).hex().encode()
            )
        assert store.write(puts)
        for key, value in puts.items():
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
        after = read_file(path)
        yield before, old_state, after, dict(state)
        before, old_state = after, dict(state)
    store.close()


def replace_pages(base: bytes, pages: dict[int, bytes]) -> bytes:
    data = bytearray(base)
    for number, page in pages.items():
        offset = number * PAGE
        if len(data) < offset:
            data.extend(bytes(offset - len(data)))
        data[offset : offset + len(page)] = page
    return bytes(data)


def crash_points(
    before: bytes, after: bytes, chance: random.Random
) -> Iterator[tuple[bytes, bool]]:
    """Yield files that a crash during the commit may leave, and whether each may hold the commit."""
    changed = {
        number: after[number * PAGE : (number + 1) * PAGE]
        for number in range(len(after) // PAGE)
        if after[number * PAGE : (number + 1) * PAGE] != before[number * PAGE : (number + 1) * PAGE]
    }
    metas = {number: changed.pop(number) for number in (0, 1) if number in changed}
    assert len(metas) == 1, sorted(metas)
    yield before, False
    for (
        number,
        page,
    ) in changed.items():  # killed after writing this page; this page alone missing; or torn
        written = {other: changed[other] for other in changed if other <= number}
        yield replace_pages(before, written), False
        yield (
            replace_pages(before, {other: changed[other] for other in changed if other != number}),
            False,
        )
        torn = chance.randrange(1, PAGE)
        old = before[number * PAGE : (number + 1) * PAGE].ljust(PAGE, b"\0")
        yield replace_pages(before, changed | {number: page[:torn] + old[torn:]}), False
    for _ in range(3):
        yield (
            replace_pages(
                before, {other: page for other, page in changed.items() if chance.random() < 0.5}
            ),
            False,
        )
    synced = replace_pages(before, changed)
    yield synced, False
    ((number, page),) = metas.items()
    old = before[number * PAGE : (number + 1) * PAGE]
    for torn in range(16, 16 + 136, 8):
        yield replace_pages(synced, {number: page[:torn] + old[torn:]}), True
    yield after, True


def crash_at_each_step(
    path: str, chance: random.Random, count: int, store: type[Store] = Store
) -> int:
    """Crash at every step of `count` writes, and return the number of crashes.

    Raises:
        AssertionError: A crash left other records than those before or after the write.
    """
    crashes = 0
    for before, old_state, after, new_state in random_writes(
        os.path.join(path, "run"), chance, count
    ):
        for data, may_hold_commit in crash_points(before, after, chance):
            found, lost = open_copy(os.path.join(path, "crashed"), data, store)
            assert not lost, lost
            assert found == old_state or (may_hold_commit and found == new_state), (
                crashes,
                sorted(found),
            )
            crashes += 1
    return crashes


def flip_bits(
    path: str, chance: random.Random, count: int, store: type[Store] = Store
) -> tuple[int, int]:
    """Flip bits in a file, one at a time; return how many were found and how many were harmless.

    Raises:
        AssertionError: A store took other records for those that were written.
    """
    *_, (_, _, data, state) = random_writes(os.path.join(path, "run"), chance, 30)
    found = harmless = 0
    for _ in range(count):
        offset = chance.randrange(len(data))
        if chance.random() < 0.2:
            offset = chance.randrange(2 * PAGE) & ~0xF00  # the first bytes of a meta page
        corrupted = bytearray(data)
        corrupted[offset] ^= 1 << chance.randrange(8)
        read, lost = open_copy(os.path.join(path, "rotten"), bytes(corrupted), store)
        assert (lost and not read) or read == state, (
            offset,
            lost,
            [key for key in state if read.get(key) != state[key]],
        )
        found, harmless = found + bool(lost), harmless + (not lost)
    return found, harmless
