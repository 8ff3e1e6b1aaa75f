"""Selects the subset of machines a front keeps connections to: deterministic, even, little churn.

Three algorithms, which benchmarks/subsets.py compares: rendezvous hashing of the names of front and
machine (Thaler and Ravishankar 1996), consistent hashing on a ring (Karger 1997), and rounds of a
shuffled order, each of which deals all machines out to the fronts in turn. Hashes are xxhash. No
I/O.
"""

import random
from bisect import bisect
from collections.abc import Sequence

import xxhash

POINTS = 64  # per machine on the ring


def rendezvous(front: str, machines: Sequence[str], size: int) -> list[str]:
    """Return the subset of `front` by rendezvous hashing.

    A machine that is removed is replaced by one other. The load per machine varies randomly.
    """
    if size >= len(machines):
        return sorted(machines)
    return sorted(
        sorted(machines, key=lambda one: (xxhash.xxh64_intdigest(f"{front}/{one}".encode()), one))[
            :size
        ]
    )


class Ring:
    """Hash ring of the machines (consistent hashing)."""

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
        """Return the subset of `front`: the next `size` machines on the ring."""
        found: dict[str, None] = {}
        place = bisect(self._at, xxhash.xxh64_intdigest(front.encode()))
        while len(found) < min(size, self._count):
            found[self._who[place % len(self._who)]] = None
            place += 1
        return sorted(found)


def rounds(front: int, machines: Sequence[str], size: int) -> list[str]:
    """Return the subset of the front with number `front`, by rounds of a shuffled order.

    The number of fronts per machine differs by at most one, as each round deals every machine out
    once.
    """
    if size >= len(machines):
        return sorted(machines)
    per_round = len(machines) // size
    order = sorted(machines)
    random.Random(front // per_round).shuffle(order)
    start = front % per_round * size
    return sorted(order[start : start + size])


def spread_rendezvous(front: str, groups: dict[str, Sequence[str]], size: int) -> list[str]:
    """Return a subset by rendezvous hashing within each group of machines.

    Each group gets a share in proportion to its size, and at least one machine if `size` allows.
    """
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
