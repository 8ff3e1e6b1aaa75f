"""Ends of a process and of power at each step of a commit, and rotten bytes, made by hand on copies
of a store's file.

A commit, as LMDB does it: pages are written, then synced, then a meta page is written, then synced.
What is not synced yet may be there, missing or torn after a loss of power, each page by itself. So
of the files before and after a commit all states in between can be built.
"""

import os
import random
import shutil
from collections.abc import Iterator

from umbermoor.gateway.replication.store import DATA, Store

PAGE = 4096
SIZE = 8 << 20
State = dict[str, bytes]


def image(path: str) -> bytes:
    with open(os.path.join(path, DATA), "rb") as file:
        return file.read()


def opened(path: str, data: bytes, store: type[Store] = Store) -> tuple[State, str]:
    """What a store makes of that file: what it holds, and why it counts as lost."""
    shutil.rmtree(path, ignore_errors=True)
    os.makedirs(path)
    with open(os.path.join(path, DATA), "wb") as file:
        file.write(data)
    held = store(path, SIZE)
    try:
        return held.load(), held.lost
    finally:
        held.close()


def run_of_changes(
    path: str, chance: random.Random, count: int
) -> Iterator[tuple[bytes, State, bytes, State]]:
    """File and state before and after each of `count` writes."""
    store, state = Store(path, SIZE), dict[str, bytes]()
    store.write({})  # the first commit
    before, held = image(path), dict(state)
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
        after = image(path)
        yield before, held, after, dict(state)
        before, held = after, dict(state)
    store.close()


def _with(base: bytes, pages: dict[int, bytes]) -> bytes:
    data = bytearray(base)
    for number, page in pages.items():
        at = number * PAGE
        if len(data) < at:
            data.extend(bytes(at - len(data)))
        data[at : at + len(page)] = page
    return bytes(data)


def crash_points(
    before: bytes, after: bytes, chance: random.Random
) -> Iterator[tuple[bytes, bool]]:
    """Files that an end in the midst of that commit may leave, and whether the commit may be in
    force in it."""
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
    ) in changed.items():  # written in order, killed after each; and each alone missing, and torn
        written = {one: changed[one] for one in changed if one <= number}
        yield _with(before, written), False
        yield _with(before, {one: changed[one] for one in changed if one != number}), False
        torn = chance.randrange(1, PAGE)
        old = before[number * PAGE : (number + 1) * PAGE].ljust(PAGE, b"\0")
        yield _with(before, changed | {number: page[:torn] + old[torn:]}), False
    for _ in range(3):
        yield (
            _with(before, {one: page for one, page in changed.items() if chance.random() < 0.5}),
            False,
        )
    synced = _with(before, changed)
    yield synced, False
    ((number, page),) = metas.items()
    old = before[number * PAGE : (number + 1) * PAGE]
    for torn in range(16, 16 + 136, 8):
        yield _with(synced, {number: page[:torn] + old[torn:]}), True
    yield after, True


def play(path: str, chance: random.Random, count: int, store: type[Store] = Store) -> int:
    """Ends at every step of `count` writes; how many were played. Raises AssertionError where
    something was lost."""
    played = 0
    for before, held, after, now in run_of_changes(os.path.join(path, "run"), chance, count):
        for data, may in crash_points(before, after, chance):
            found, lost = opened(os.path.join(path, "crashed"), data, store)
            assert not lost, lost
            assert found == held or (may and found == now), (played, sorted(found))
            played += 1
    return played


def rot(
    path: str, chance: random.Random, count: int, store: type[Store] = Store
) -> tuple[int, int]:
    """Flips bits in a file, one at a time; how many were found, and how many did no harm. Raises
    AssertionError where something else than what was written is taken for it."""
    *_, (_, _, data, state) = run_of_changes(os.path.join(path, "run"), chance, 30)
    found = harmless = 0
    for _ in range(count):
        place = chance.randrange(len(data))
        if chance.random() < 0.2:
            place = chance.randrange(2 * PAGE) & ~0xF00  # the meta pages' first bytes
        spoilt = bytearray(data)
        spoilt[place] ^= 1 << chance.randrange(8)
        read, lost = opened(os.path.join(path, "rotten"), bytes(spoilt), store)
        assert (lost and not read) or read == state, (
            place,
            lost,
            [key for key in state if read.get(key) != state[key]],
        )
        found, harmless = found + bool(lost), harmless + (not lost)
    return found, harmless
