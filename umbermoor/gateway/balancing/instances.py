"""Machines as one front meets them: who may take a request now, and who takes it soonest. No I/O.

The present front's measure, in the terms of this wire: expected time = pace x (own work + what is
ahead), longer for machines whose failures or silence stand out; only what a front sees itself and
what machines tell of their load."""

from collections.abc import Callable, Container, Iterable
from math import exp

from umbermoor.gateway.discovery.registry import DRAINING, GONE, READY, InstanceRecord

SECOND = 1_000_000
LEARN = 0.15  # weight of the newest answer in a machine's pace
TOLD = 600_000  # us: what a machine told of its load fades with this
REST = 150_000  # us: after a failure; doubled with each in a row
REST_MOST = 3 * SECOND
ROW = 3  # failures in a row of kinds that need not be the machine's fault
CHANCE = 0.15  # by so much chance spreads like machines
# a machine of another zone is chosen where it seems faster by so much: bytes between zones cost
FAR = 1.2
COLD = 2.0  # how much slower a machine is taken to be while it warms
HUNG = (
    6.0  # a machine that has said nothing for so many usual times, with requests out, is left alone
)


class Plant:
    """One life of a machine."""

    __slots__ = (
        "denied",
        "entry",
        "heard",
        "listed",
        "open",
        "pace",
        "rest_until",
        "row",
        "since",
        "told",
        "told_at",
        "told_open",
        "warm_at",
    )

    def __init__(self, entry: InstanceRecord, now: int) -> None:
        self.entry, self.listed, self.warm_at = entry, now, now + entry.warmup_us
        self.open, self.pace, self.told, self.told_at, self.told_open = 0, 1.0, 0.0, 0, 0
        self.row, self.rest_until, self.heard, self.since, self.denied = 0, 0, now, 0, False

    @property
    def id(self) -> str:
        return self.entry.id

    def load(self, now: int) -> float:
        """Requests there, as far as known: what it told, fading, and this front's own since."""
        fade = exp((self.told_at - now) / TOLD)
        return max(self.open, self.told * fade + self.open - self.told_open * fade)


class Plants:
    """All machines this front may meet, by service."""

    def __init__(self, zone: str = "") -> None:
        self.zone = zone
        self.by_id: dict[str, Plant] = {}
        self.services: dict[str, dict[str, Plant]] = {}
        self.usual: dict[str, float] = {}  # time of an answer by service, us
        self.changed: set[str] = set()  # services whose lists changed since this was emptied

    def take(self, now: int, entries: Iterable[InstanceRecord]) -> list[Plant]:
        """Notes the news; returns those that may get nothing any more."""
        left = []
        for entry in entries:
            plant = self.by_id.get(entry.id)
            if entry.state in (GONE, DRAINING):
                if plant is not None:
                    self._drop(plant)
                    left.append(plant)
                continue
            if plant is None:
                if not entry.service or entry.state != READY:
                    continue
                plant = self.by_id[entry.id] = Plant(entry, now)
                self.services.setdefault(entry.service, {})[entry.id] = plant
                self.changed.add(entry.service)
            elif plant.entry.state != entry.state or plant.entry.revision != entry.revision:
                self.changed.add(entry.service)
            plant.entry = entry
            if entry.warmup_us:
                plant.warm_at = now + entry.warmup_us
        return left

    def _drop(self, plant: Plant) -> None:
        del self.by_id[plant.id]
        self.services.get(plant.entry.service, {}).pop(plant.id, None)
        self.changed.add(plant.entry.service)

    def forget(self, id: str) -> None:
        """No member knows it any more."""
        if plant := self.by_id.get(id):
            self._drop(plant)

    def wrong(self, plant: Plant) -> None:
        """Another machine has its address."""
        if self.by_id.get(plant.id) is plant:
            self._drop(plant)

    def listed(self, service: str) -> Iterable[Plant]:
        return self.services.get(service, {}).values()

    def judged(self, service: str) -> list[Plant]:
        """Those by which a version is judged: its ready ones, or, where it has none, the silent. A
        dead one that is still listed would make a version's last machine seem one of several, and
        its failures that machine's own."""
        listed = list(self.listed(service))
        ready = {one.entry.revision for one in listed if one.entry.state == READY}
        return [
            one for one in listed if one.entry.state == READY or one.entry.revision not in ready
        ]

    def may(self, now: int, plant: Plant) -> bool:
        """The gate before every send: it is still listed, and not leaving."""
        return self.by_id.get(plant.id) is plant

    def choose(
        self,
        now: int,
        service: str,
        revision: str,
        only: Container[str],
        tried: Container[str],
        chance: Callable[[], float],
        most_wait: float,
    ) -> Plant | None:
        """The machine of that version expected to answer soonest; None where none can within
        most_wait (us). Those tried come last; `only`, unless empty, names those that may be
        taken."""
        usual, best, least = self.usual.get(service, 50_000.0), None, 0.0
        for plant in self.listed(service):
            if plant.entry.revision != revision or (only and plant.id not in only):
                continue
            if plant.rest_until > now and plant.open > 0:
                continue
            time = self.time(now, plant, usual) * (1 + CHANCE * chance())
            if plant.rest_until > now:
                time += plant.rest_until - now
            if plant.id in tried:
                time += 10 * usual
            if best is None or time < least:
                best, least = plant, time
        return best if best is not None and least <= most_wait else None

    def time(self, now: int, plant: Plant, usual: float) -> float:
        """Expected time of an answer, us."""
        slots, load = plant.entry.capacity, plant.load(now)
        time = usual * plant.pace * (1 + max(0.0, load + 1 - slots) / slots + 0.3 * load / slots)
        if now < plant.warm_at:
            time *= COLD
        if plant.entry.zone != self.zone:
            time *= FAR
        if plant.entry.state != READY:
            time *= 4
        if plant.open and now - max(plant.heard, plant.since) > HUNG * usual * plant.pace:
            time *= 20
        return time

    def sent(self, now: int, plant: Plant) -> None:
        if not plant.open:
            plant.since = now
        plant.open += 1

    def back(self, plant: Plant) -> None:
        """A request is no longer out there, whatever became of it."""
        plant.open -= 1

    def load_told(self, now: int, plant: Plant, text: str) -> None:
        """X-Load-Level: running, waiting, slots."""
        parts = text.split(",")
        if len(parts) == 3 and all(part.strip().isdecimal() and len(part) < 9 for part in parts):
            plant.told, plant.told_at, plant.told_open = (
                float(parts[0]) + float(parts[1]),
                now,
                plant.open,
            )

    def answered(self, now: int, plant: Plant, took: int) -> None:
        """A whole answer after `took` us."""
        service = plant.entry.service
        usual, took = self.usual.get(service), max(1, took)
        if usual is None:
            self.usual[service] = float(took)
        else:
            self.usual[service] = usual + (took - usual) * 0.02
            part = min(4.0, took / usual)
            plant.pace = min(4.0, max(0.4, plant.pace + (part - plant.pace) * LEARN * 0.5))
        plant.row, plant.rest_until, plant.heard = 0, 0, now

    def full(self, now: int, plant: Plant) -> None:
        """It turned a request away: it has all it can carry."""
        plant.heard = now
        plant.told = max(plant.told, 2.0 * plant.entry.capacity)
        plant.told_at, plant.told_open = now, plant.open

    def failed(self, now: int, plant: Plant, sure: bool) -> None:
        """It failed a request; sure: nothing there took the connection."""
        plant.row += 1
        if sure or plant.row >= ROW:
            times = plant.row if sure else plant.row - ROW + 1
            plant.rest_until = now + min(REST_MOST, REST << min(6, times))
