"""Random numbers by name: a number depends on its names and the seed, not on the order of calls.

Two variants of a day therefore get the same queries, work and faults (common random numbers), even
if they handle them differently.
"""

import random
from collections.abc import Callable, Iterator
from hashlib import blake2b
from math import log, sqrt

DIGEST_BYTES = 7  # 56 bits, of which a float holds 53
DIGEST_RANGE = 1 << 8 * DIGEST_BYTES


class Chance:
    """A source of random numbers by name, for one seed."""

    __slots__ = ("_key",)

    def __init__(self, seed: int | str) -> None:
        self._key = blake2b(str(seed).encode(), digest_size=16).digest()

    def at(self, *names: object) -> float:
        """Return a number from 0 up to 1 that depends only on the seed and these names."""
        message = "/".join(map(str, names)).encode()
        digest = blake2b(message, key=self._key, digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(digest) / DIGEST_RANGE

    def stream(self, *names: object) -> random.Random:
        """Return a generator that depends only on the seed and these names, for long sequences."""
        return random.Random(f"{self._key.hex()}/{'/'.join(map(str, names))}")


def draw_sample(source: random.Random, mean: float, spread: str, cv: float) -> float:
    """Draw a number from a distribution.

    Args:
        source: generator to draw from.
        mean: mean of the distribution.
        spread: "exp", "lognormal" or "fixed".
        cv: coefficient of variation of the lognormal distribution.
    """
    if spread == "exp":
        return source.expovariate(1 / mean)
    if spread == "lognormal" and cv > 0:
        variance = log(1 + cv * cv)  # variance of the logarithm
        return source.lognormvariate(log(mean) - variance / 2, sqrt(variance))
    return mean


def poisson_times(
    source: random.Random, max_rate: float, rate: Callable[[float], float], until: float
) -> Iterator[float]:
    """Yield the times of a Poisson process with a varying rate, in seconds.

    Uses thinning (Lewis and Shedler 1979).

    Args:
        source: generator to draw from.
        max_rate: a bound that `rate` never exceeds, in events per second.
        rate: returns the rate at a second.
        until: end of the process, in seconds.
    """
    at = 0.0
    while (at := at + source.expovariate(max_rate)) < until:
        if source.random() * max_rate < rate(at):
            yield at
