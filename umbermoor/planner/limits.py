"""Computes every resource limit of a fleet and the load at which it is reached, in closed form.

The results bracket the searches by simulation in virtual time (``search``) and are the only
estimate of limits that a short run cannot reach. All loads are queries per second of the whole
fleet, without retries, in the capture's mix of profiles. The module does no I/O.
"""

from collections.abc import Callable
from math import inf, sqrt
from typing import NamedTuple

from umbermoor.lab.statistics import Interval
from umbermoor.planner.fit import Demand
from umbermoor.planner.queueing import erlang_c, highest_rate, late_share
from umbermoor.planner.sheets import Fleet

RESERVED_DESCRIPTORS = 32  # descriptors that a front keeps for purposes other than connections
CLIENT_PART = 3  # clients use at most 1/CLIENT_PART of a front's descriptors
MIN_TRIAL_OUTCOMES = 10  # with fewer outcomes of a trial, a stage is judged by its duration alone
LIST_PERIOD_S = 2.0  # seconds between a front's requests for the list of machines


class Limit(NamedTuple):
    """A limit of the fleet and the load at which it is reached."""

    name: str
    reached: Interval  # the load; inf if no load reaches the limit, 0 if every load does
    why: str
    below: bool = False  # whether the limit is reached by loads below ``reached``, not above it
    case: str = ""  # the event that the limit presumes, or empty if it always applies


def limits(demand: Demand, fleet: Fleet) -> list[Limit]:
    """Return all limits in the order in which a growing load reaches them."""
    rows = [
        _work(demand, fleet),
        *_goals(demand, fleet),
        _queue(demand, fleet),
        _connections(demand, fleet),
        _cpu(demand, fleet),
        _descriptors(demand, fleet),
        _memory(demand, fleet),
        _platform(demand, fleet),
        _list(demand, fleet),
        _cold_return(demand, fleet),
        _retries(demand, fleet),
        _evidence(demand, fleet),
        _trial_cap(demand, fleet),
    ]
    return sorted(rows, key=lambda row: (row.below, row.reached.mid, row.name))


def mixed_work(demand: Demand) -> tuple[float, float]:
    """Return the mean work of a query of the mix in seconds and its coefficient of variation."""
    total = demand.rate.mid or 1.0
    mean = sum(profile.rate.mid * profile.work_ms.mid for profile in demand.profiles) / total / 1000
    square = (
        sum(
            profile.rate.mid * (profile.work_ms.mid / 1000) ** 2 * (1 + profile.work_cv**2)
            for profile in demand.profiles
        )
        / total
    )
    return mean, sqrt(max(0.0, square / mean**2 - 1))


def with_error(value: float, error: float) -> Interval:
    """Return the value with bounds at the given relative error."""
    return Interval(value, value * max(0.0, 1 - error), value * (1 + error))


def highest_fitting(fits: Callable[[float], bool], top: float) -> float:
    """Return the highest load up to ``top`` that fits, by bisection, or inf if ``top`` fits."""
    if fits(top):
        return inf
    low, high = 0.0, top
    for _ in range(60):
        mid = (low + high) / 2
        low, high = (mid, high) if fits(mid) else (low, mid)
    return low


def saturation(demand: Demand, fleet: Fleet) -> float:
    """Return the load at which all workers are busy all the time."""
    return fleet.capacity / mixed_work(demand)[0]


def goal_bracket(demand: Demand, fleet: Fleet) -> tuple[float, float]:
    """Return a lower and an upper bound of the load at which the goal is missed.

    The lower bound takes random assignment of queries to machines, each with its own queue;
    the upper bound takes all workers as one pool with a single queue. Both are 0 if the work alone
    exceeds the target time too often.
    """
    lows, highs = [], []
    work, cv = mixed_work(demand)
    for profile in demand.profiles:
        late = 1 - fleet.goal_of(profile.name)
        aim = profile.aim_ms / 1000
        mean, profile_cv = profile.work_ms.mid / 1000, profile.work_cv
        slowest = min(group.speed for group in fleet.group)
        if (
            late_share(1e-9, mean / max(group.speed for group in fleet.group), 1, profile_cv, aim)
            > late
        ):
            return 0.0, 0.0
        factor = work / mean  # converts loads of this profile's work into loads of the mix
        workers = max(1, round(fleet.capacity))
        pooled = highest_rate(mean, workers, max(profile_cv, cv), aim, late)
        separate = sum(
            group.machines
            * highest_rate(mean / group.speed, group.workers, max(profile_cv, cv), aim, late)
            for group in fleet.group
        )
        lows.append(separate / factor * min(1.0, slowest))
        highs.append(pooled / factor)
    return min(lows), min(highs)


def _work(demand: Demand, fleet: Fleet) -> Limit:
    work, _ = mixed_work(demand)
    return Limit(
        "machine work",
        with_error(fleet.capacity / work, demand.work_error),
        f"{fleet.capacity:g} workers at speed 1, {work * 1000:.1f} ms of work a query",
    )


def _goals(demand: Demand, fleet: Fleet) -> list[Limit]:
    rows = []
    low, high = goal_bracket(demand, fleet)
    for profile in demand.profiles:
        goal = fleet.goal_of(profile.name)
        late_when_idle = late_share(
            1e-9,
            profile.work_ms.mid / 1000 / max(group.speed for group in fleet.group),
            1,
            profile.work_cv,
            profile.aim_ms / 1000,
        )
        if late_when_idle > 1 - goal:
            rows.append(
                Limit(
                    f"target time of {profile.name}",
                    Interval(0.0, 0.0, 0.0),
                    f"{late_when_idle:.2%} of it takes longer than {profile.aim_ms:g} ms on an "
                    f"idle machine: no number of machines holds {goal:.2%}",
                )
            )
    if not rows:
        rows.append(
            Limit(
                "target time",
                Interval(
                    (low + high) / 2, low * (1 - demand.work_error), high * (1 + demand.work_error)
                ),
                "bracket in closed form; the play decides within it",
            )
        )
    return rows


def _queue(demand: Demand, fleet: Fleet) -> Limit:
    """Return the load above which full queues reject more queries than the goal allows.

    Each machine has its own queue.
    """
    work, _ = mixed_work(demand)
    allowed = 1 - max(fleet.goal_of(profile.name) for profile in demand.profiles)

    def fits(load: float) -> bool:
        for group in fleet.group:
            offered = load / fleet.capacity * work
            if offered >= group.workers:
                return False
            if (
                erlang_c(group.workers, offered) * (offered / group.workers) ** group.queue
                > allowed
            ):
                return False
        return True

    top = saturation(demand, fleet)
    reached = highest_fitting(fits, top * 1.01)
    return Limit(
        "machine queue",
        with_error(min(reached, top), demand.work_error),
        f"queues of {', '.join(str(group.queue) for group in fleet.group)} turn away over "
        f"{allowed:.2%}",
    )


def _concurrent_queries(load: float, demand: Demand, fleet: Fleet) -> float:
    """Return the mean number of concurrent queries in the whole fleet (Little's law).

    The wait is that of one pool of all workers.
    """
    work, cv = mixed_work(demand)
    workers = max(1, round(fleet.capacity))
    from umbermoor.planner.queueing import mean_wait

    wait = mean_wait(load, work, workers, cv)
    longest = max(profile.patience_ms for profile in demand.profiles) / 1000
    return load * min(longest, work + wait)


def _connections(demand: Demand, fleet: Fleet) -> Limit:
    def fits(load: float) -> bool:
        # Concurrent queries of one front at one machine.
        per_machine = _concurrent_queries(load, demand, fleet) / fleet.machines / fleet.front.count
        connections = fleet.front.count * (per_machine + 3 * sqrt(per_machine) + 1)
        return connections <= min(group.connections for group in fleet.group)

    reached = highest_fitting(fits, saturation(demand, fleet))
    return Limit(
        "machine connections",
        with_error(reached, demand.work_error),
        f"{fleet.front.count} fronts keep a line for each hand-off of their busiest moment; the "
        f"least machine takes "
        f"{min(group.connections for group in fleet.group)}",
    )


def _cpu(demand: Demand, fleet: Fleet) -> Limit:
    cost = fleet.front.cpu_us or fleet.limits.front_cpu_us
    tries = 1 / max(0.2, 1 - demand.retry_share.mid)
    return Limit(
        "front CPU",
        with_error(fleet.front.count * 1e6 / cost / tries, 0.05),
        f"{fleet.front.count} cores, {cost:g} us a query, {tries:.2f} tries a query",
    )


def _descriptors(demand: Demand, fleet: Fleet) -> Limit:
    def fits(load: float) -> bool:
        per_front = _concurrent_queries(load, demand, fleet) / fleet.front.count
        peak = per_front + 3 * sqrt(per_front)
        budget = fleet.front.descriptors - RESERVED_DESCRIPTORS
        return peak <= budget / CLIENT_PART and 2 * peak + min(fleet.machines, peak) <= budget

    reached = highest_fitting(fits, saturation(demand, fleet))
    return Limit(
        "front descriptors",
        with_error(reached, demand.work_error),
        f"{fleet.front.descriptors} of each front, a third for clients; one for each hand-off "
        f"besides",
    )


def _memory(demand: Demand, fleet: Fleet) -> Limit:
    available_mb = fleet.front.memory_mb - fleet.limits.front_base_mb

    def fits(load: float) -> bool:
        per_front = _concurrent_queries(load, demand, fleet) / fleet.front.count
        return (per_front + 3 * sqrt(per_front)) * fleet.limits.query_kb / 1024 <= available_mb

    return Limit(
        "front memory",
        with_error(highest_fitting(fits, saturation(demand, fleet)), demand.work_error),
        f"{available_mb:g} MB beside the program, {fleet.limits.query_kb:g} KB an open query",
    )


def _platform(demand: Demand, fleet: Fleet) -> Limit:
    votes = fleet.front.count * (
        1 / (0.7 * fleet.platform.vote_life_s) + 1 / fleet.platform.least_stage_s
    )
    reached = 0.0 if votes > fleet.limits.platform_calls_s else inf
    return Limit(
        "platform calls",
        Interval(reached, reached, reached),
        f"{votes:.1f} votes a second at the most, {fleet.limits.platform_calls_s:g} taken; it "
        f"grows with fronts, not with load",
    )


def _list(demand: Demand, fleet: Fleet) -> Limit:
    calls = fleet.front.count / LIST_PERIOD_S
    reached = 0.0 if calls > fleet.limits.list_calls_s else inf
    return Limit(
        "list calls",
        Interval(reached, reached, reached),
        f"{calls:.1f} a second, {fleet.limits.list_calls_s:g} taken; it grows with fronts, not "
        f"with load",
    )


def _cold_return(demand: Demand, fleet: Fleet) -> Limit:
    """Return the load that the fleet carries while its largest group returns cold.

    The other groups and the reduced capacity of the cold one must carry it.
    """
    work, _ = mixed_work(demand)
    largest = max(fleet.group, key=lambda group: group.machines * group.workers * group.speed)
    lost = largest.machines * largest.workers * largest.speed
    remaining = fleet.capacity - lost * (1 - largest.cold_from)
    return Limit(
        "cold return",
        with_error(remaining / work, demand.work_error),
        f"while group {largest.name} is cold it has {largest.cold_from:.0%} of its capacity",
        case=f"group {largest.name} returns cold",
    )


def _retries(demand: Demand, fleet: Fleet) -> Limit:
    """Bracket the load above which retries keep an overload going.

    The lower bound assumes that every try of a failed query costs machine work, the upper bound
    that only the first does.
    """
    work, _ = mixed_work(demand)
    machine_load = fleet.capacity / work
    cost = fleet.front.cpu_us or fleet.limits.front_cpu_us
    front_load = fleet.front.count * 1e6 / cost / (1 + fleet.clients.retries)
    low = min(machine_load / (1 + fleet.clients.retries), front_load)
    high = min(machine_load, max(front_load, low))
    return Limit(
        "retry amplification",
        Interval(high, low, high),
        f"up to {1 + fleet.clients.retries} tries a query; above it a burst may not drain by "
        f"itself. The lower figure is the load from which it surely does; the play decides "
        f"between them",
        case="a burst comes",
    )


def _evidence(demand: Demand, fleet: Fleet) -> Limit:
    """Return the load below which the first stage of a rollout has too few outcomes to judge."""
    first_stage = fleet.platform.stages[0]
    judged_rate = sum(
        profile.rate.mid
        for profile in demand.profiles
        if profile.repeat == "repeatable" or not fleet.platform.guarded
    )
    part = judged_rate / (demand.rate.mid or 1.0) * min(1.0, first_stage)
    needed = MIN_TRIAL_OUTCOMES * fleet.front.count / fleet.platform.least_stage_s / max(part, 1e-9)
    return Limit(
        "evidence in the first stage",
        with_error(needed, 0.3),
        f"below it a front sees fewer than {MIN_TRIAL_OUTCOMES} outcomes of the trial in "
        f"{fleet.platform.least_stage_s:g} s",
        below=True,
    )


def _trial_cap(demand: Demand, fleet: Fleet) -> Limit:
    """Return the load above which the cap on the trial build's hand-offs takes effect.

    The cap can be lower than the trial's share of the machines. Up to the returned load the
    hand-offs that are exempt from the cap make up for the difference.
    """
    first_stage = fleet.platform.stages[0]
    machine_share = max(1, round(first_stage * fleet.machines)) / (
        fleet.machines + max(1, round(first_stage * fleet.machines))
    )
    cap = min(1.0, first_stage * fleet.platform.slack)
    needed = (
        fleet.platform.free
        * fleet.front.count
        / fleet.platform.window_s
        / max(1e-9, machine_share - cap)
    )
    reached = needed if machine_share > cap else 0.0
    return Limit(
        "trial cap",
        Interval(reached, reached, reached),
        f"the trial's machines are {machine_share:.1%} of the listed, its cap is {cap:.1%}; "
        f"below it the free hand-offs fill the rest",
        below=True,
    )
