"""Random numbers by name: the same names and seed give the same number, in whatever order.

Two variants of a day thus meet the same queries, the same work and the same faults (common random
numbers), though what they do with them differs.
"""

import random
from collections.abc import Callable, Iterator
from hashlib import blake2b
from math import log, sqrt

DIGEST_BYTES = 7  # of a number; 56 bits, of which a float holds 53
DIGEST_RANGE = 1 << 8 * DIGEST_BYTES


class Chance:
    """A source of numbers by name, for one seed."""

    __slots__ = ("_key",)

    def __init__(self, seed: int | str) -> None:
        self._key = blake2b(str(seed).encode(), digest_size=16).digest()

    def at(self, *names: object) -> float:
        """Return a number from 0 up to 1, by these names alone."""
        message = "/".join(map(str, names)).encode()
        digest = blake2b(message, key=self._key, digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(digest) / DIGEST_RANGE

    def stream(self, *names: object) -> random.Random:
        """Return a generator by these names, for long runs of numbers."""
        return random.Random(f"{self._key.hex()}/{'/'.join(map(str, names))}")


def draw_sample(source: random.Random, mean: float, spread: str, cv: float) -> float:
    """Draw an amount of work; `cv` is the coefficient of variation, for the lognormal spread."""
    if spread == "exp":
        return source.expovariate(1 / mean)
    if spread == "lognormal" and cv > 0:
        variance = log(1 + cv * cv)  # of the logarithm
        return source.lognormvariate(log(mean) - variance / 2, sqrt(variance))
    return mean


def thinned(
    source: random.Random, max_rate: float, rate: Callable[[float], float], until: float
) -> Iterator[float]:
    """Yield the times of a Poisson process whose rate varies, in seconds.

    By thinning (Lewis and Shedler 1979): `rate` never exceeds `max_rate`.
    """
    at = 0.0
    while (at := at + source.expovariate(max_rate)) < until:
        if source.random() * max_rate < rate(at):
            yield at
