"""Chance by name: the same words and seed give the same number, in whatever order they are asked.

Two variants of a day thus meet the same queries, the same work and the same faults (common random
numbers), though what they do with them differs.
"""

import random
from hashlib import blake2b
from math import log, sqrt

SPREADS = ("fixed", "exp", "lognormal")


class Chance:
    __slots__ = ("_key",)

    def __init__(self, seed: int | str) -> None:
        self._key = blake2b(str(seed).encode(), digest_size=16).digest()

    def at(self, *words: object) -> float:
        """From 0 up to 1, by these words alone."""
        data = blake2b("/".join(map(str, words)).encode(), key=self._key, digest_size=7).digest()
        return int.from_bytes(data) / (1 << 56)

    def stream(self, *words: object) -> random.Random:
        """A generator of its own, for long runs of numbers."""
        return random.Random(f"{self._key.hex()}/{'/'.join(map(str, words))}")


def drawn(source: random.Random, mean: float, spread: str, cv: float) -> float:
    """One amount of work. Its mean is as given whatever the spread."""
    if spread == "exp":
        return source.expovariate(1 / mean)
    if spread == "lognormal" and cv > 0:
        s2 = log(1 + cv * cv)
        return source.lognormvariate(log(mean) - s2 / 2, sqrt(s2))
    return mean


def deviation(spread: str, cv: float) -> float:
    """The coefficient of variation that a spread comes to."""
    return {"fixed": 0.0, "exp": 1.0}.get(spread, cv)


def thinned(source: random.Random, rate_most: float, rate, until: float):
    """Times of a Poisson process whose rate varies, in seconds (Lewis and Shedler, thinning)."""
    at = 0.0
    while (at := at + source.expovariate(rate_most)) < until:
        if source.random() * rate_most < rate(at):
            yield at
