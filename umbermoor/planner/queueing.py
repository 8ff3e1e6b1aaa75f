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
    # The recursion for Erlang B, numerically stable for any number of workers.
    for count in range(1, workers + 1):
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
    rate: float,
    work: float,
    workers: int,
    work_cv: float,
    target_time: float,
    arrival_cv2: float = 1.0,
) -> float:
    """Return the share of queries whose work and wait together take longer than ``target_time``.

    The work is lognormal, summed over its quantiles. The wait is exponential, with the probability
    of ``erlang_c`` and the mean of ``mean_wait``.
    """
    offered = rate * work
    if offered >= workers:
        return 1.0
    wait_probability = erlang_c(workers, offered)
    mean = mean_wait(rate, work, workers, work_cv, arrival_cv2)
    # The mean wait of the queries that do wait.
    conditional_wait = mean / wait_probability if wait_probability > 0 else 0.0
    late = 0.0
    log_variance = log(1 + work_cv * work_cv)
    log_mean, log_sd = log(work) - log_variance / 2, sqrt(log_variance)
    for quantile in _NORMAL_QUANTILES:
        work_time = exp(log_mean + log_sd * quantile)
        remaining = target_time - work_time
        if remaining <= 0:
            late += 1
        elif conditional_wait > 0:
            late += wait_probability * exp(-remaining / conditional_wait)
    tail = lognormal_above(target_time, work, work_cv)
    return min(1.0, max(late / len(_NORMAL_QUANTILES), tail))


def lognormal_quantile(probability: float, mean: float, cv: float) -> float:
    """Return the quantile ``probability`` of a lognormal distribution."""
    if cv < 1e-6:
        return mean
    log_variance = log(1 + cv * cv)
    return exp(log(mean) - log_variance / 2 + sqrt(log_variance) * normal_quantile(probability))


def lognormal_above(limit: float, mean: float, cv: float) -> float:
    """Return the probability that a lognormal variable exceeds ``limit``."""

    if cv < 1e-6:
        return float(mean > limit)
    log_variance = log(1 + cv * cv)
    return 0.5 * erfc((log(limit) - log(mean) + log_variance / 2) / sqrt(2 * log_variance))


def normal_quantile(probability: float) -> float:
    """Return a quantile of the standard normal distribution, exact to 1e-9.

    It is found by bisection on erf.
    """

    low, high = -9.0, 9.0
    for _ in range(60):
        mid = (low + high) / 2
        low, high = (mid, high) if 0.5 * (1 + erf(mid / sqrt(2))) < probability else (low, mid)
    return (low + high) / 2


def highest_rate(
    work: float,
    workers: int,
    work_cv: float,
    target_time: float,
    max_late_share: float,
    arrival_cv2: float = 1.0,
) -> float:
    """Return the highest rate at which at most ``max_late_share`` of the queries are late.

    The result is 0 if the work alone makes more of them late.
    """
    if late_share(1e-9, work, workers, work_cv, target_time, arrival_cv2) > max_late_share:
        return 0.0
    low, high = 0.0, workers / work
    for _ in range(50):
        mid = (low + high) / 2
        fits = late_share(mid, work, workers, work_cv, target_time, arrival_cv2) <= max_late_share
        low, high = (mid, high) if fits else (low, mid)
    return low


# 64 evenly spaced quantiles of the standard normal distribution.
_NORMAL_QUANTILES = tuple(normal_quantile((step + 0.5) / 64) for step in range(64))
