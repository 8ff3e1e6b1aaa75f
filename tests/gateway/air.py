"""Fleets of fronts in virtual time: datagrams are lost, doubled, late and cut; fronts end, start
again and stall.

Everything follows from a seed. Times are whole microseconds.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from umbermoor.gateway.membership.failure_detector import Sonde

MS, SECOND = 1000, 1_000_000
TICK = 100 * MS


def address(at: int) -> str:
    return f"10.0.{at // 200}.{at % 200 + 1}"


@dataclass
class Place:
    """An address, and the front that runs there."""

    ip: str
    sonde: Sonde | None = None
    lives: int = 0
    sleeps: tuple[int, int] = (
        0,
        0,
    )  # between ticks of a slow front, at least and at most; (0, 0): not slow
    waiting: list[tuple[str, bytes]] = field(default_factory=list)  # came while it slept
    sent: int = 0
    bytes_sent: int = 0
    largest: int = 0


class Air:
    """What lies between the fronts, and their clocks."""

    def __init__(
        self, seed: int, fronts: int, loss: float = 0.0, doubled: float = 0.0, late: float = 0.0
    ) -> None:
        self.chance, self.loss, self.doubled, self.late = random.Random(seed), loss, doubled, late
        self.now, self._events, self._order = 10 * SECOND, [], 0
        self.places = {address(at): Place(address(at)) for at in range(fronts)}
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.stranger: list[tuple[int, str, bytes]] = []  # what came to addresses without a front

    def at(self, time: int, what: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (time, self._order, what))

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = end

    def until(self, holds: Callable[[], bool], seconds: float) -> float | None:
        """Seconds until it holds, looked at each 50 ms; None where that takes longer."""
        began = self.now
        while not holds():
            if self.now - began >= seconds * SECOND:
                return None
            self.run(0.05)
        return (self.now - began) / SECOND

    def start(self, ip: str, heard_of: tuple[str, ...] = (), life: int | None = None) -> None:
        place = self.places.setdefault(ip, Place(ip))
        place.lives += 1
        place.waiting.clear()
        sonde = place.sonde = Sonde(
            ip, self.now if life is None else life, random.Random(self.chance.random())
        )
        sonde.heard_of(self.now, heard_of)
        self.at(self.now + self.chance.randrange(TICK), lambda: self._tick(place, sonde))

    def start_all(self, knowing: int = 3) -> None:
        names = list(self.places)
        for ip in names:
            self.start(ip, tuple(self.chance.sample(names, min(knowing, len(names)))))

    def kill(self, ip: str) -> None:
        self.places[ip].sonde = None

    def leave(self, ip: str) -> None:
        place = self.places[ip]
        self.carry(ip, place.sonde.leave(self.now))
        sonde = place.sonde
        self.at(self.now + SECOND, lambda: self.kill(ip) if place.sonde is sonde else None)

    def _tick(self, place: Place, sonde: Sonde) -> None:
        if place.sonde is not sonde:
            return
        self.carry(
            place.ip, sonde.tick(self.now)
        )  # first the clock, then what waited: the worse order
        waiting, place.waiting = place.waiting, []
        for source, data in waiting:
            self.carry(place.ip, sonde.datagram(self.now, source, data))
        wait = (
            self.chance.randrange(*place.sleeps)
            if place.sleeps[1]
            else TICK + self.chance.randrange(20 * MS)
        )
        self.at(self.now + wait, lambda: self._tick(place, sonde))

    def carry(self, source: str, letters: list[tuple[str, bytes]]) -> None:
        place = self.places.get(source)
        for to, data in letters:
            if place is not None:
                place.sent += 1
                place.bytes_sent += len(data)
                place.largest = max(place.largest, len(data))
            for _ in range(1 + (self.chance.random() < self.doubled)):
                if self.chance.random() >= self.loss:
                    way = 200 + self.chance.randrange(3 * MS)
                    if self.chance.random() < self.late:
                        way += self.chance.randrange(800 * MS)
                    self.at(self.now + way, lambda to=to, data=data: self._arrive(source, to, data))

    def _arrive(self, source: str, to: str, data: bytes) -> None:
        place = self.places.get(to)
        if self.cut(source, to):
            return
        if place is None or place.sonde is None:
            self.stranger.append((self.now, to, data))
        elif place.sleeps[1]:
            place.waiting.append((source, data))
        else:
            self.carry(to, place.sonde.datagram(self.now, source, data))

    # What is so, and what is believed

    def running(self) -> list[Sonde]:
        return [place.sonde for place in self.places.values() if place.sonde is not None]

    def all_know_all(self) -> bool:
        truth = tuple(sorted(sonde.me for sonde in self.running()))
        return all(sonde.alive() == truth for sonde in self.running())

    def knowing(self, ip: str) -> int:
        return sum(ip in sonde.alive() for sonde in self.running() if sonde.me != ip)

    def counting(self, ip: str) -> int:
        """How many others count it, suspect or not."""
        return sum(ip in sonde._members for sonde in self.running() if sonde.me != ip)

    def sum(self, name: str) -> int:
        return sum(sonde.story()[name] for sonde in self.running())
