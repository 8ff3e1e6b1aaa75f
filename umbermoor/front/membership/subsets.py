"""Which part of the machines a front keeps connections to: deterministic, even, and with little
churn. Without I/O.

Three ways, measured against one another in benchmarks/subsets.py: the highest weights of a hash of
both names (rendezvous,
Thaler and Ravishankar 1996), a ring of points (Karger 1997), and rounds of a shuffled order (each
round deals all machines
out to the fronts in turn). Hashes are by xxhash.
"""

import random
from bisect import bisect
from collections.abc import Sequence

import xxhash

POINTS = 64  # of each machine on the ring


def rendezvous(front: str, machines: Sequence[str], size: int) -> list[str]:
    """A machine that goes is replaced by one other; load is even as chance has it."""
    if size >= len(machines):
        return sorted(machines)
    return sorted(
        sorted(machines, key=lambda one: (xxhash.xxh64_intdigest(f"{front}/{one}".encode()), one))[
            :size
        ]
    )


class Ring:
    def __init__(self, machines: Sequence[str]) -> None:
        points = sorted(
            (xxhash.xxh64_intdigest(f"{one}#{at}".encode()), one)
            for one in machines
            for at in range(POINTS)
        )
        self._at = [point for point, _ in points]
        self._who = [one for _, one in points]
        self._count = len(set(machines))

    def of(self, front: str, size: int) -> list[str]:
        found: dict[str, None] = {}
        place = bisect(self._at, xxhash.xxh64_intdigest(front.encode()))
        while len(found) < min(size, self._count):
            found[self._who[place % len(self._who)]] = None
            place += 1
        return sorted(found)


def rounds(front: int, machines: Sequence[str], size: int) -> list[str]:
    """Even to one, as each round deals every machine out once; the number of the front has to be
    known."""
    if size >= len(machines):
        return sorted(machines)
    per_round = len(machines) // size
    order = sorted(machines)
    random.Random(front // per_round).shuffle(order)
    start = front % per_round * size
    return sorted(order[start : start + size])


def spread_rendezvous(front: str, groups: dict[str, Sequence[str]], size: int) -> list[str]:
    """The same over groups: each gets its share by its size, and at least one while there is
    room."""
    total = sum(len(one) for one in groups.values())
    if size >= total:
        return sorted(one for some in groups.values() for one in some)
    exact = {name: size * len(some) / total for name, some in groups.items()}
    counts = {name: max(1, int(value)) for name, value in exact.items()}
    while sum(counts.values()) > size:
        most = max(counts, key=lambda name: (counts[name] - exact[name], name))
        counts[most] -= 1
    while sum(counts.values()) < size:
        least = max(counts, key=lambda name: (exact[name] - counts[name], name))
        counts[least] += 1
    return sorted(
        one
        for name, some in groups.items()
        for one in rendezvous(front, some, min(len(some), counts[name]))
    )
