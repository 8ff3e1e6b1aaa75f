"""Closed-form queueing formulas for a station of several workers.

They bracket the searches by simulation.

Sources: Erlang (1917) for the probability of waiting; Allen (1978) and Cunneen for general work and
arrivals. All times are in the same unit, and rates are arrivals per that unit.
"""

from math import erf, erfc, exp, log, sqrt


def erlang_c(workers: int, offered: float) -> float:
    """Return the probability that an arrival waits (Poisson arrivals, exponential work).

    ``offered`` is the offered load in units of workers.
    """
    if offered >= workers:
        return 1.0
    if offered <= 0:
        return 0.0
    blocked = 1.0
    for count in range(
        1, workers + 1
    ):  # the recursion for Erlang B, numerically stable for any number of workers
        blocked = offered * blocked / (count + offered * blocked)
    return blocked / (1 - offered / workers * (1 - blocked))


def mean_wait(
    rate: float, work: float, workers: int, work_cv: float, arrival_cv2: float = 1.0
) -> float:
    """Return the mean wait by Allen and Cunneen's approximation, infinite at full load or more."""
    offered = rate * work
    if offered >= workers:
        return float("inf")
    return (
        erlang_c(workers, offered)
        * work
        / (workers - offered)
        * (arrival_cv2 + work_cv * work_cv)
        / 2
    )


def late_share(
    rate: float, work: float, workers: int, work_cv: float, aim: float, arrival_cv2: float = 1.0
) -> float:
    """Return the share of queries whose work and wait together take longer than ``aim``.

    The work is lognormal, summed over its quantiles. The wait is exponential, with the probability
    of ``erlang_c`` and the mean of ``mean_wait``.
    """
    offered = rate * work
    if offered >= workers:
        return 1.0
    waits = erlang_c(workers, offered)
    mean = mean_wait(rate, work, workers, work_cv, arrival_cv2)
    span = mean / waits if waits > 0 else 0.0  # mean wait of the queries that do wait
    late = 0.0
    s2 = log(1 + work_cv * work_cv)
    middle, spread = log(work) - s2 / 2, sqrt(s2)
    for place in _PLACES:
        own = exp(middle + spread * place)
        left = aim - own
        if left <= 0:
            late += 1
        elif span > 0:
            late += waits * exp(-left / span)
    tail = lognormal_above(aim, work, work_cv)
    return min(1.0, max(late / len(_PLACES), tail))


def lognormal_quantile(part: float, mean: float, cv: float) -> float:
    """Return the quantile ``part`` of a lognormal distribution."""
    if cv < 1e-6:
        return mean
    s2 = log(1 + cv * cv)
    return exp(log(mean) - s2 / 2 + sqrt(s2) * normal_quantile(part))


def lognormal_above(limit: float, mean: float, cv: float) -> float:
    """Return the probability that a lognormal variable exceeds ``limit``."""

    if cv < 1e-6:
        return float(mean > limit)
    s2 = log(1 + cv * cv)
    return 0.5 * erfc((log(limit) - log(mean) + s2 / 2) / sqrt(2 * s2))


def normal_quantile(part: float) -> float:
    """Return a quantile of the standard normal distribution, exact to 1e-9.

    It is found by bisection on erf.
    """

    low, high = -9.0, 9.0
    for _ in range(60):
        mid = (low + high) / 2
        low, high = (mid, high) if 0.5 * (1 + erf(mid / sqrt(2))) < part else (low, mid)
    return (low + high) / 2


def highest_rate(
    work: float,
    workers: int,
    work_cv: float,
    aim: float,
    late_most: float,
    arrival_cv2: float = 1.0,
) -> float:
    """Return the highest rate at which at most ``late_most`` of the queries are late.

    The result is 0 if the work alone makes more of them late.
    """
    if late_share(1e-9, work, workers, work_cv, aim, arrival_cv2) > late_most:
        return 0.0
    low, high = 0.0, workers / work
    for _ in range(50):
        mid = (low + high) / 2
        fits = late_share(mid, work, workers, work_cv, aim, arrival_cv2) <= late_most
        low, high = (mid, high) if fits else (low, mid)
    return low


# 64 evenly spaced quantiles of the standard normal distribution.
_PLACES = tuple(normal_quantile((step + 0.5) / 64) for step in range(64))
