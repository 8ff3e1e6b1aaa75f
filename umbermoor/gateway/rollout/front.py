"""A front's part in roll-outs: which version a request goes to, its own scores, its vote. Times:
whole microseconds."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, log, sqrt
from typing import Any

from umbermoor.gateway.rollout.plan import (
    ALL,
    EXPOSED,
    FIRST_MEAN,
    FRESH,
    LEASE,
    LEAST,
    LONE,
    MARGIN,
    SECOND,
    SHARES,
    SIGMA,
    SURE,
    TURN,
    Record,
    busy,
    earliest,
    newer,
    speaks,
)
from umbermoor.statistics.test_roll import needed, posterior, spread, weight

PATIENT = (
    4 * SECOND
)  # a stage is judged this long after its newest machine was listed, short of n* or not
HORIZON = 20 * SECOND  # the requests expected in this time are the paper's N
STALE = 3 * SECOND // 2  # without news for this long a front sends nothing to a trial
RENEW = SECOND // 4  # a report is sent again after this long
APART = SECOND // 25  # and so far apart at the least, when bad answers come
HEAVY = 0.25  # of the requests to the trial at most, where there are few machines
IN_ROW = 3  # failures in a row that set a machine aside while there is another
ASIDE = 2 * SECOND
HOLD = (
    SECOND * 3 // 2
)  # a front that sees enough bad answers itself keeps off for so long, whatever the core says
OWN = log(300)  # enough: so much for WORSE, beyond what is usual here
WORSE = 0.3
NAMED = 12  # machines counted one by one in a report; the others together


@dataclass
class _Service:
    record: Record | None = None
    got: int = 0  # when the record came
    staged: int = 0  # when this front learnt of the stage
    elapsed: float = 0.0  # seconds since the order that had passed then, at the least
    told: bool = False  # whether any news of this service came, be it that there is no order
    used: str | None = None  # the version in use where no order says more
    machines: list[tuple[str, str, int]] = field(default_factory=list)
    since: int = 0  # when this front began to count for the order: names this count to the core
    asked: int = 0
    credit: float = 0.0  # requests that the trial may still be sent
    due: float | None = (
        None  # at this credit one is sent; by chance, so that many light fronts keep the sum
    )
    reserved: int = 0  # of those promised, not sent yet
    under_way: Counter[str] = field(default_factory=Counter)  # by version
    scores: dict[bool, list[int]] = field(
        default_factory=lambda: {True: [0, 0, 0], False: [0, 0, 0]}
    )  # trial?
    each: dict[str, list[int]] = field(default_factory=dict)  # trial machine: outcomes, bad ones
    row: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # machine: failures in a row, time of the last
    against: float = (
        0.0  # what this front's own outcomes since the trial say against the new version
    )
    held_until: int = 0
    rate: float = 0.0  # requests in HORIZON / 2, faded
    rated: int = 0
    reported: int | None = None
    last: tuple[
        Any, ...
    ] = ()  # what was reported: stage, vote, whether old ones had any, bad answers

    base: str | None = (
        None  # the version in use: the one from before the order until that is settled
    )
    before: int = 0  # its machines
    mine: list[tuple[str, int]] = field(
        default_factory=list
    )  # those of the new version, and since when

    def sort(self) -> None:
        """Derives what the record and the listed machines say together."""
        there = Counter(revision for _, revision, _ in self.machines)
        if self.record is None:
            self.base = self.used
        elif self.record["state"] == "settled":
            self.base = self.record["target"]
        else:
            known = self.record["from"] or earliest(
                [one for one in there if one != self.record["target"]]
            )
            self.base = next((one for one in known if one in there), known[0] if known else None)
        self.before = there[self.base]
        self.mine = [
            (id, at)
            for id, revision, at in self.machines
            if self.record is not None and revision == self.record["target"]
        ]


class Trials:
    """Roll-outs at one front. The host calls `heard` whenever it knows that its news from the core
    is up to date.

    For each try: `side` names the version, `machines` narrows the choice within the new one,
    `allowed` is asked right before the sending, then `sent` and, however it ends, `ended`. Nothing
    raises; unknown services have no version until machines are listed."""

    def __init__(self) -> None:
        self.services: dict[str, _Service] = {}
        self.fresh_at: int | None = None

    def _of(self, service: str) -> _Service:
        one = self.services.get(service)
        if one is None:
            one = self.services[service] = _Service()
        return one

    def heard(self, now: int) -> None:
        """News from the core is complete as of now, changed or not."""
        self.fresh_at = now

    def forget(self, service: str) -> None:
        """The configuration no longer names this service."""
        self.services.pop(service, None)

    def order(self, now: int, service: str, record: Record | None, firm: bool = True) -> None:
        """The durable record as news brings it, or that there is none. Older ones are ignored.
        `firm`: the news is up to date as of now."""
        if firm:
            self.heard(now)
        one = self._of(service)
        one.told = True
        if record is None or not newer(record, one.record):
            return
        if one.record is None or record["order"] != one.record["order"]:
            fresh = _Service(
                used=one.used,
                machines=one.machines,
                under_way=one.under_way,
                row=one.row,
                rate=one.rate,
                rated=one.rated,
                told=True,
                since=now,
            )
            one = self.services[service] = fresh
        one.elapsed = max(
            record["elapsed"], one.elapsed + (now - one.got) / SECOND if one.record else 0.0
        )
        if one.record is None or record["stage"] != one.record["stage"]:
            one.staged = now
        one.record, one.got = record, now
        one.sort()

    def listed(self, now: int, service: str, machines: Sequence[tuple[str, str, int]]) -> None:
        """All machines of a service that may be used: id, revision, when this front first had it
        listed."""
        one = self._of(service)
        one.machines = sorted(machines)
        ids = {id for id, _, _ in machines}
        one.row = {id: row for id, row in one.row.items() if id in ids}
        there = Counter(revision for _, revision, _ in machines)
        if (
            one.record is None
            and there
            and (one.used is None or (one.used not in there and one.told))
        ):
            # An order may be under way that this front has not heard of: the lower version is the
            # earlier one.
            one.used = earliest(list(there))[0]
        one.sort()

    def asked(self, now: int, service: str) -> None:
        """A client's request for the service came; further tries are none."""
        one = self._of(service)
        one.asked += 1
        one.rate = one.rate * exp((one.rated - now) / (HORIZON / 2)) + 1
        one.rated = now
        if self._running(one):
            one.credit += EXPOSED

    def _running(self, one: _Service) -> bool:
        return one.record is not None and one.record["state"] == "running"

    def _stage(self, now: int, one: _Service) -> int:
        """The stage this front acts by; -1 where it lacks news, or saw too much, and leaves the
        trial alone."""
        stale = self.fresh_at is None or now - self.fresh_at > STALE
        return -1 if stale or now < one.held_until else one.record["stage"]

    def machines(self, now: int, service: str) -> tuple[str, ...]:
        """Ids of the new version's machines that carry its share now: few, so that their load is a
        real one."""
        one = self._of(service)
        record = one.record
        if record is None:
            return ()
        if record["state"] != "running" or record["stage"] == ALL:
            return tuple(id for id, _ in one.mine)
        warm = [id for id, at in one.mine if now - at >= FRESH]
        sound = [id for id in warm if not self._aside(now, one, id)] or warm
        if record["stage"]:
            return tuple(sound[: busy(record["stage"], one.before)])
        turn = int(one.elapsed * SECOND + now - one.got) // TURN
        return tuple(sound[:2][turn % 2 :][:1] or sound[:1]) if turn % 3 < 2 else ()

    def target(self, service: str) -> str | None:
        """The new version that an order under way names."""
        one = self._of(service)
        return one.record["target"] if one.record is not None and self._running(one) else None

    def _aside(self, now: int, one: _Service, id: str) -> bool:
        row, at = one.row.get(id, (0, 0))
        return row >= IN_ROW and now - at < ASIDE

    def side(self, now: int, service: str, chance: float, again: bool = False) -> str | None:
        """The version that this try must go to; `chance` is drawn from 0 to 1, `again` says that it
        is no first try."""
        one = self._of(service)
        base = one.base
        if not self._running(one):
            return base
        record, stage = one.record, self._stage(now, one)
        if stage == ALL:
            return record["target"]
        if stage < 0 or again or not self.machines(now, service):
            return base
        if stage and now - one.staged <= LEASE * record["rampS"] * SECOND:
            return record["target"] if chance < SHARES[stage] else base
        if one.due is None:
            one.due = chance
            return base
        if one.credit < one.due or chance >= min(HEAVY, 1 / max(1, one.before)):
            return base
        one.credit -= 1
        one.reserved += 1
        return record["target"]

    def allowed(self, now: int, service: str, revision: str) -> bool:
        """The gate right before a sending: whether this version may be sent a request now."""
        one = self._of(service)
        if not self._running(one):
            return revision == one.base
        stage, trial = self._stage(now, one), revision == one.record["target"]
        if not trial:
            return stage != ALL and revision == one.base
        return stage > 0 or (
            stage == 0 and (one.reserved > 0 or (one.due is not None and one.credit >= one.due))
        )

    def sent(self, now: int, service: str, revision: str) -> None:
        """A try was sent to a machine of this version."""
        one = self._of(service)
        one.under_way[revision] += 1
        if self._running(one) and revision == one.record["target"]:
            if one.reserved:
                one.reserved -= 1
            else:
                one.credit -= 1

    def ended(
        self,
        now: int,
        service: str,
        revision: str,
        machine: str,
        listed_at: int,
        in_time: bool,
        failed: bool,
        repeat: bool,
    ) -> None:
        """A try that was sent ended: within the route's aim or not; `failed` where nothing whole
        and good came."""
        one = self._of(service)
        one.under_way[revision] -= 1
        if one.under_way[revision] <= 0:
            del one.under_way[revision]
        if any(id == machine for id, _, _ in one.machines):
            one.row[machine] = (one.row.get(machine, (0, 0))[0] + 1, now) if failed else (0, now)
        if not self._running(one) or repeat or now - listed_at < FRESH:
            return
        trial = revision == one.record["target"]
        if not trial and revision != one.base:
            return
        good = in_time and not failed
        score = one.scores[trial]
        score[0], score[1], score[2] = score[0] + 1, score[1] + good, score[2] + failed
        if trial:
            name = machine if machine in one.each or len(one.each) < NAMED else ""
            count = one.each.setdefault(name, [0, 0])
            count[0], count[1] = count[0] + 1, count[1] + (not good)
            if one.record["stage"]:
                seen, fine, _ = one.scores[False]
                usual = min(0.9, LONE + (seen - fine) / max(seen, LEAST))
                one.against = max(0.0, one.against + speaks(usual, WORSE, 1, not good))
                if (
                    one.against >= OWN
                ):  # threat: the core is busy with its own loss while the version turns bad
                    one.against, one.held_until = 0.0, now + HOLD

    def vote(self, now: int, service: str) -> str | None:
        """Test & Roll on own outcomes: "on", "back", or None while it cannot be judged."""
        one = self._of(service)
        if not self._running(one):
            return None
        new, earlier = one.scores[True], one.scores[False]
        mean = min(SURE, earlier[1] / earlier[0] if earlier[0] >= LEAST else FIRST_MEAN)
        clock = bool(one.mine) and now - max(at for _, at in one.mine) >= PATIENT
        expected = 2 * one.rate * exp((one.rated - now) / (HORIZON / 2))
        if new[0] < LEAST or (not clock and new[0] < needed(expected, mean, SIGMA, LEAST)):
            return None
        s = spread(mean)
        lead = MARGIN + 2 * weight(new[0], s, SIGMA) * s / sqrt(new[0])
        return "back" if mean - posterior(new[1] / new[0], new[0], mean, SIGMA) > lead else "on"

    def tick(self, now: int) -> list[dict[str, Any]]:
        """What to tell the core now; call it several times a second, and after bad answers or
        news."""
        reports = []
        for service, one in self.services.items():
            if not self._running(one):
                continue
            record, vote = one.record, self.vote(now, service)
            target = record["target"]
            new = one.scores[True]
            before = sum(count for revision, count in one.under_way.items() if revision != target)
            earlier = one.scores[False]
            last = (
                self._stage(now, one),
                vote,
                before > 0,
                new[0] - new[1],
                earlier[0] - earlier[1],
            )
            since = RENEW if one.reported is None else now - one.reported
            if since < RENEW and (
                last == one.last
                or (since < APART and last[:2] == one.last[:2])
                or (since < 2 * APART and last[:4] == one.last[:4])
            ):
                continue
            one.reported, one.last = now, last
            warm = sum(now - at >= FRESH for _, at in one.mine)
            reports.append(
                {
                    "service": service,
                    "target": target,
                    "order": record["order"],
                    "stage": last[0],
                    "since": one.since,
                    "elapsed": round(one.elapsed + (now - one.got) / SECOND, 3),
                    "vote": vote,
                    "counts": {"trial": list(new), "base": list(earlier)},
                    "each": {id: list(count) for id, count in one.each.items()},
                    "before": before,
                    "asked": one.asked,
                    "listed": [one.before, warm],
                }
            )
        return reports
