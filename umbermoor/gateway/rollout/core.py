"""The core's part in roll-outs: gathers the fronts' votes and counts, and says when the next step
is due.

How they combine: a front's vote alone moves nothing. Outcomes of all fronts are pooled into a
sequential test (a sum of log-likelihood ratios that never falls below 0, Page's CUSUM) of the new
version's bad answers against those that the earlier one gave at the same time. It sends back at
once, if it still would, more weakly, without the machine and without the front that speak most
against the version: one machine may die, one front may have its own trouble."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import exp, log, sqrt
from typing import Any

from umbermoor.gateway.effects import Outcome, Status
from umbermoor.gateway.rollout.plan import (
    ALL,
    LEAST,
    LONE,
    MARGIN,
    SECOND,
    SIGMA,
    STARTS,
    SURE,
    Record,
    newer,
    speaks,
)
from umbermoor.gateway.rollout.trial import ask, judge_begin
from umbermoor.statistics.test_roll import posterior, spread, weight

WORSE = (0.1, 0.3, 0.6)  # shares of else good answers that bad versions are supposed to spoil
ALARM = log(3000)  # the test's sum, for one of these, that sends back
ECHO = log(
    30
    # and what must be left of it without one machine, and without one front: two bad answers at least
)
DOUBT = ALARM / 3  # no step further with more left than this
FADE = 0.8 * SECOND  # memory of the earlier version's outcomes, for what is usual now
LEAN, USUAL = 20.0, 0.02  # and a guess that it leans on: bad outcomes among so many
FLOOR = 0.05  # less is never taken for usual
# outcomes are weighed so much later: those of the earlier version from the same time come first
BEHIND = 150_000
HEARD = SECOND  # reports older than this do not count among the fronts
REST = (
    7 * SECOND // 10
)  # after all fronts said that nothing goes to the old machines, before they may be stopped
DWELL = 0.03  # a stage lasts this part of the time up to the term at least
WAIT = 0.04  # and waits so much longer for votes
RENEW = SECOND  # the record is written again after this long, for its elapsed time
AGAIN = 3 * SECOND // 10  # and what was to be written, if it has not come back
LIGHT = (
    300  # requests since the order up to which the trial may go on with less than LEAST outcomes
)
FRONTS = 256  # fronts and machines remembered one by one at most


@dataclass
class _Told:
    """What a front told last."""

    at: int
    report: dict[str, Any]


@dataclass
class _Order:
    record: Record
    since: int  # when `elapsed` of the record was true, on this member's clock
    put: Record | None = None
    put_at: int = 0
    staged: int = 0  # when this member learnt of the stage
    fronts: dict[str, _Told] = field(default_factory=dict)
    sums: dict[float, float] = field(default_factory=lambda: dict.fromkeys(WORSE, 0.0))
    parts: dict[float, dict[tuple[str, str], float]] = field(
        default_factory=lambda: {one: defaultdict(float) for one in WORSE}
    )  # of sums, by ("front" or "machine", id)
    trial: list[int] = field(default_factory=lambda: [0, 0, 0])  # outcomes, good, failed
    base: list[int] = field(default_factory=lambda: [0, 0, 0])
    counted: dict[str, dict[str, list[float]]] = field(
        default_factory=lambda: {"front": {}, "machine": {}}
    )  # by id: outcomes, bad ones, how many were to be bad
    unweighed: deque[tuple[int, str, str, int, int]] = field(
        default_factory=deque
    )  # when, front, machine, n, bad
    usual: tuple[float, float, int] = (
        0.0,
        0.0,
        0,
    )  # the earlier version's outcomes, bad ones, faded; when
    quiet_since: int | None = None  # since when no front sends to the old machines

    def elapsed(self, now: int) -> float:
        """Seconds since the order."""
        return self.record["elapsed"] + (now - self.since) / SECOND


def _trails(n: float, bad: float, expected: float) -> bool:
    """Whether n outcomes of the new version, some bad, trail the earlier one's, of which so many
    were to be bad."""
    if n < LEAST:
        return False
    mean = min(SURE, 1 - expected / n)
    s = spread(mean)
    lead = MARGIN + 2 * weight(n, s, SIGMA) * s / sqrt(n)
    return mean - posterior(1 - bad / n, n, mean, SIGMA) > lead


class Steps:
    """Roll-outs at the member that leads them; any member can go on from the durable record and the
    reports.

    What `tick` returns is to be put durably, whole, under the service's name, only in place of the
    record that it was decided on (trial.py): then two members that both think they lead do no harm.
    `begin` judges an order as the head does, beside this member's own copy."""

    def __init__(self) -> None:
        self.orders: dict[str, _Order] = {}

    def begin(
        self, now: int, service: str, target: str, ramp_s: float, present: list[str]
    ) -> Record | Status:
        """An operator's order: the record to put, OK if nothing is to change, CONFLICT or INVALID.
        `ramp_s` in seconds; `present` names the revisions of the service's listed machines."""
        if (
            not target
            or not isinstance(target, str)
            or isinstance(ramp_s, bool)
            or not (isinstance(ramp_s, (int, float)) and 0 < ramp_s < float("inf"))
        ):
            return Status.INVALID
        held = self.orders.get(service)
        told = judge_begin(
            held.record if held else None, ask(target, ramp_s, present), lambda: True
        )
        return (
            told.value
            if told.outcome is Outcome.ACCEPTED
            else Status.OK
            if told.outcome is Outcome.UNCHANGED
            else Status.CONFLICT
        )

    def read(self, service: str) -> dict[str, str] | Status:
        """What an operator reads: state and target."""
        held = self.orders.get(service)
        return {key: held.record[key] for key in ("state", "target")} if held else Status.NOT_FOUND

    def record(self, now: int, service: str, record: Record | None) -> None:
        """The durable record, as news brings it. Older ones are ignored."""
        held = self.orders.get(service)
        if record is None or (held and not newer(record, held.record)):
            return
        if held is None or record["order"] != held.record["order"]:
            self.orders[service] = _Order(record, now, staged=now)
            return
        if record["stage"] != held.record["stage"]:
            held.staged, held.quiet_since = now, None
        ours = held.put == record  # then its time is that of the putting
        since = held.put_at if ours else now
        if record["elapsed"] + (now - since) / SECOND < held.elapsed(now):  # time does not go back
            since = now - round((held.elapsed(now) - record["elapsed"]) * SECOND)
        held.record, held.since = record, since

    def report(self, now: int, front: str, report: dict[str, Any]) -> None:
        """What a front's `tick` returned. Counts in it are sums since `since`, so that lost ones do
        no harm."""
        held = self.orders.get(report.get("service", ""))
        if held is None or held.record["order"] != report["order"]:
            return
        last = held.fronts.get(front)
        if last and last.report["since"] == report["since"]:
            known = last.report
            if report["counts"]["trial"][0] < known["counts"]["trial"][0] or (
                report["counts"]["base"][0] < known["counts"]["base"][0]
            ):
                return  # overtaken on the way
        else:
            known = {"counts": {"trial": [0, 0, 0], "base": [0, 0, 0]}, "each": {}}
        if last is None and len(held.fronts) >= FRONTS:
            del held.fronts[min(held.fronts, key=lambda one: held.fronts[one].at)]
        held.fronts[front] = _Told(now, report)
        if report["elapsed"] > held.elapsed(now):  # fronts count on while the lead passes on
            held.since = now - round((report["elapsed"] - held.record["elapsed"]) * SECOND)
        self._count(now, held, front, known, report)

    def _count(
        self, now: int, held: _Order, front: str, known: dict[str, Any], report: dict[str, Any]
    ) -> None:
        for pool, side in ((held.trial, "trial"), (held.base, "base")):
            for i in range(3):
                pool[i] += report["counts"][side][i] - known["counts"][side][i]
        n, good = (report["counts"]["base"][i] - known["counts"]["base"][i] for i in range(2))
        seen, bad, at = held.usual
        kept = exp((at - now) / FADE)
        held.usual = seen * kept + n, bad * kept + n - good, now
        for machine, (n, bad) in report["each"].items():
            before = known["each"].get(machine, (0, 0))
            if n > before[0]:
                held.unweighed.append((now, front, machine, n - before[0], bad - before[1]))

    def _usual(self, held: _Order) -> tuple[float, float]:
        """The share of bad answers that the earlier version gives now: its mean, and that with
        twice its error."""
        seen, bad, _ = held.usual
        mean = (bad + LEAN * USUAL) / (seen + LEAN)
        high = mean + 2 * sqrt(mean * (1 - mean) / (seen + LEAN))
        return mean, min(0.9, max(high, LONE if held.record["stage"] == ALL else FLOOR))

    def _weigh(self, now: int, held: _Order) -> None:
        mean, usual = self._usual(held)
        while held.unweighed and (
            held.record["stage"] == ALL or now - held.unweighed[0][0] >= BEHIND
        ):
            self._add(held, mean, usual, *held.unweighed.popleft()[1:])

    def _add(
        self, held: _Order, mean: float, usual: float, front: str, machine: str, n: int, bad: int
    ) -> None:
        if machine not in held.counted["machine"] and len(held.counted["machine"]) >= FRONTS:
            machine = ""
        for kind, id in ("front", front), ("machine", machine):
            count = held.counted[kind].setdefault(id, [0, 0, 0])
            count[0], count[1], count[2] = count[0] + n, count[1] + bad, count[2] + n * mean
        for worse in WORSE:
            more = speaks(usual, worse, n, bad)
            parts = held.parts[worse]
            held.sums[worse] += more
            if held.sums[worse] <= 0:
                held.sums[worse] = 0.0
                parts.clear()
            else:
                parts["front", front] += more
                parts["machine", machine] += more

    def _against(self, now: int, held: _Order) -> tuple[float, float]:
        """The test's sum, and what of it is left without one machine or front; by the worst
        supposition."""
        fresh = self._fresh(now, held)
        machines = self._machines(now, held)
        most = 0.0, 0.0
        for worse, sum in held.sums.items():
            parts = held.parts[worse]
            left = sum
            for kind, others in (("machine", machines > 1), ("front", len(fresh) > 1)):
                if others:
                    left = min(
                        left,
                        sum
                        - max(
                            (part for (one, _), part in parts.items() if one == kind), default=0.0
                        ),
                    )
            most = max(most, (min(sum, left + ALARM - ECHO), left), key=lambda pair: pair[0])
        return most

    def _machines(self, now: int, held: _Order) -> int:
        """The new version's machines that count."""
        return max((told.report["listed"][1] for told in self._fresh(now, held)), default=1)

    def _fresh(self, now: int, held: _Order) -> list[_Told]:
        return [told for told in held.fronts.values() if now - told.at <= HEARD]

    def _behind(self, now: int, held: _Order) -> bool:
        """Test & Roll on pooled outcomes, also without the machine and the front with most bad
        ones. The earlier mean is the one at the times of the trial's outcomes: a passing trouble of
        everything is no difference."""
        n, bad, expected = (
            sum(count[i] for count in held.counted["front"].values()) for i in range(3)
        )
        kinds = ["front"] * (len(self._fresh(now, held)) > 1) + ["machine"] * (
            self._machines(now, held) > 1
        )
        worst = [
            max(
                held.counted[kind].values(),
                key=lambda count: count[1] - count[2],
                default=(0, 0, 0),
            )
            for kind in kinds
        ]
        return all(
            _trails(n - one[0], bad - one[1], expected - one[2]) for one in ((0, 0, 0), *worst)
        )

    def tick(self, now: int) -> list[tuple[str, Record]]:
        """Records to be put now; call it at the member that leads, after each report or some ten
        times a second."""
        puts = []
        for service, held in self.orders.items():
            if held.record["state"] != "running":
                continue
            changes = self._next(now, held)
            ended = changes.get("state", "running") != "running"
            if (
                held.put
                and newer(held.put, held.record)
                and now - held.put_at < AGAIN
                and (not ended or held.put["state"] != "running")
            ):
                continue
            if not changes and now - held.since < RENEW:
                continue
            record = (
                held.record
                | changes
                | {"serial": held.record["serial"] + 1, "elapsed": round(held.elapsed(now), 3)}
            )
            held.put, held.put_at = record, now
            puts.append((service, record))
        return puts

    def _next(self, now: int, held: _Order) -> dict[str, Any]:
        """What changes in the record now."""
        record, fresh = held.record, self._fresh(now, held)
        self._weigh(now, held)
        against, left = self._against(now, held)
        if against >= ALARM:
            return {"state": "reverted", "why": f"bad answers: {held.trial}, before {held.base}"}
        votes = [told.report["vote"] for told in fresh]
        backs, ons = votes.count("back"), votes.count("on")
        stage, part = record["stage"], held.elapsed(now) / record["rampS"]
        behind = self._behind(now, held)
        if behind and backs >= 2 and backs > ons:
            return {"state": "reverted", "why": f"votes: {backs} back, {ons} on"}
        if stage == ALL:
            return self._settle(now, held, fresh)
        asked = sum(told.report["asked"] for told in held.fronts.values())
        enough = held.trial[0] >= (1 if asked <= LIGHT else LEAST)
        before, there = (
            max((told.report["listed"][i] for told in fresh), default=0) for i in range(2)
        )
        dwelt = (now - held.staged) / SECOND >= DWELL * record["rampS"]
        if not (
            fresh
            and part >= STARTS[stage + 1]
            and dwelt
            and enough
            and there
            and 2 * there >= before
        ):
            return {}
        if behind:
            return {"state": "reverted", "why": f"behind: {held.trial}, before {held.base}"}
        follow = sum(told.report["stage"] == stage for told in fresh)
        if (
            left >= DOUBT
            or 2 * follow <= len(fresh)
            or (backs > ons and part < STARTS[stage + 1] + WAIT)
        ):
            return {}
        return {"stage": stage + 1}

    def _settle(self, now: int, held: _Order, fresh: list[_Told]) -> dict[str, Any]:
        """Settled once no front that is heard sends to the old machines, nothing is under way
        there, and REST more."""
        quiet = fresh and all(
            told.report["stage"] == ALL and not told.report["before"] for told in fresh
        )
        if not quiet:
            held.quiet_since = None
            return {}
        held.quiet_since = now if held.quiet_since is None else held.quiet_since
        return {"state": "settled"} if now - held.quiet_since >= REST else {}
