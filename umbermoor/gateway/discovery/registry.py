"""What one core member knows of the machines: from beats that it took, and from what other members
told it.

Entries merge by rules that need no clock: a later sample wins, and what has been said of leaving
stands for that life. Every change gets the next number of this member, so that a reader asks for
what came after the number it holds."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

READY, SILENT, DRAINING, GONE = range(4)  # how an entry stands; of one sample the higher one holds
STANDINGS = "ready", "silent", "draining", "gone"  # their names, for operators
STATES = {"ready": READY, "draining": DRAINING}
SILENCE = 3.4  # beats missed in a row after which a machine counts as silent
# a member that was out of touch tells nothing of what it has not heard of for so long (us)
OLD = 30_000_000
KEPT = 40_000_000  # how long what is gone is remembered (us): longer than any news is under way
MOST = 20_000  # entries held at most


@dataclass(slots=True, frozen=True)
class Entry:
    """One life of a machine, as its beats tell it."""

    id: str
    service: str
    address: str
    zone: str
    revision: str
    capacity: int
    state: int
    warm_us: int  # how much longer it was slow when this sample was sent
    sample: int

    def told(self) -> list[Any]:
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.revision,
            self.capacity,
            self.state,
            self.warm_us,
            self.sample,
        ]


def entry_of(told: Any) -> Entry | None:
    """An entry from what a member told; None where it is garbled."""
    kinds = str, str, str, str, str, int, int, int, int
    if (
        not isinstance(told, list)
        or len(told) != len(kinds)
        or not all(map(isinstance, told, kinds))
    ):
        return None
    return Entry(*told)


def beat_of(id: str, body: Any) -> Entry | str:
    """An entry from a machine's own beat; a line that names what is wrong with it."""
    if not isinstance(body, dict):
        return "a beat is a table"
    for key in ("service", "address", "zone", "revision"):
        if not isinstance(body.get(key), str) or not 0 < len(body[key]) <= 200:
            return f"{key}: a text is missing"
    host, colon, port = body["address"].rpartition(":")
    if (
        not colon
        or not (port.isascii() and port.isdecimal())
        or not 0 < int(port) < 65536
        or not host
    ):
        return "address: not of the form ip:port"
    if not isinstance(body.get("state"), str) or body["state"] not in STATES:
        return "state: neither ready nor draining"
    numbers = [body.get(key, 0) for key in ("capacity", "warmupLeftS", "sample")]
    if any(
        isinstance(one, bool) or not isinstance(one, (int, float)) or not 0 <= one < 1e15
        for one in numbers
    ):
        return "capacity, warmupLeftS, sample: not numbers from 0 on"
    capacity, warm, sample = numbers
    return Entry(
        id,
        body["service"],
        body["address"],
        body["zone"],
        body["revision"],
        max(1, int(capacity)),
        STATES[body["state"]],
        round(warm * 1e6),
        int(sample),
    )


def later(old: Entry | None, new: Entry) -> Entry | None:
    """What holds of the two where that is not the old one; there may be none."""
    if old is None:
        return new
    if old.state == GONE:
        return None
    if new.state == GONE:
        return replace(old, state=GONE, sample=max(old.sample, new.sample))
    if old.state == DRAINING:  # no way back within one life
        return replace(new, state=DRAINING) if new.sample > old.sample else None
    if new.state == DRAINING:
        return new if new.sample >= old.sample else replace(old, state=DRAINING)
    return new if (new.sample, new.state) > (old.sample, old.state) else None


class Registry:
    """Machines by id. `number` rises with each change; `life` tells its counts from those of
    earlier lives."""

    def __init__(self, life: int, period: int) -> None:
        self.life, self.period, self.number = life, period, 0
        self.entries: dict[str, Entry] = {}
        self.urgent = 0  # the number of the newest change that should not wait
        self.shape = 0  # of the newest change of what is worth keeping over a restart
        self._numbers: dict[str, int] = {}
        self._heard: dict[str, int] = {}  # when its entry last changed here
        self._connected_since: int | None = None

    def take(self, now: int, entry: Entry) -> bool:
        """Notes what a beat or another member says. Whether it was news."""
        old = self.entries.get(entry.id)
        held = later(old, entry)
        if held is None or (old is None and len(self.entries) >= MOST):
            return False
        self.entries[entry.id] = held
        self.number += 1
        self._numbers[entry.id], self._heard[entry.id] = self.number, now
        if old is None or (old.state, old.address, old.service) != (
            held.state,
            held.address,
            held.service,
        ):
            self.urgent = self.shape = self.number
        return True

    def kept(self) -> list[list[Any]]:
        """What a member that starts again may begin with: those not gone. Beats put right what has
        changed since."""
        return [entry.told() for entry in self.entries.values() if entry.state != GONE]

    def gone(self, now: int, id: str) -> Entry:
        """A machine says that it leaves."""
        old = self.entries.get(id)
        entry = replace(old, state=GONE) if old else Entry(id, "", "", "", "", 1, GONE, 0, 0)
        self.take(now, entry)
        return entry

    def heard(self, id: str) -> int:
        """When the entry of a known machine last changed here."""
        return self._heard[id]

    def after(self, number: int) -> list[list[Any]]:
        """What changed after that number, the newest last."""
        changed = [(at, id) for id, at in self._numbers.items() if at > number]
        return [self.entries[id].told() for _, id in sorted(changed)]

    def tick(self, now: int, connected: bool) -> None:
        """Finds who fell silent while this member heard the others; forgets what left long ago."""
        if not connected:
            self._connected_since = None
            return
        if self._connected_since is None:
            self._connected_since = now
            for id, heard in list(
                self._heard.items()
            ):  # others may have forgotten by now that it is gone
                if now - heard > OLD and self.entries[id].state < DRAINING:
                    del self.entries[id], self._numbers[id], self._heard[id]
        limit = round(SILENCE * self.period)
        for id, heard in list(self._heard.items()):
            entry, quiet = self.entries[id], now - max(heard, self._connected_since)
            if entry.state == READY and quiet > limit:
                self.take(now, replace(entry, state=SILENT))
            elif entry.state != READY and quiet > KEPT:
                del self.entries[id], self._numbers[id], self._heard[id]


def merged(entries: Iterable[Entry], held: dict[str, Entry]) -> list[Entry]:
    """Takes entries into a table; those that changed it, as they now hold."""
    changed = []
    for entry in entries:
        new = later(held.get(entry.id), entry)
        if new is not None:
            held[entry.id] = new
            changed.append(new)
    return changed
