"""Tracks what each membership source reported last, and which of its machines count. Without I/O.

Sources report full lists, changes or failures. The last good list of a failing source is kept with
its age. A machine that an authoritative source leaves out is removed at once. If another source
loses most of its machines in one report, the loss is withheld until the source confirms it. A
machine that flaps has to be listed steadily for a while. Times are microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.front.interface import Readiness

SECOND = 1_000_000
# A loss of more than this share at once is withheld, if the source had at least so many machines.
SUDDEN_LOSS_SHARE, SUDDEN_LOSS_MIN = 0.5, 4
CONFIRMED_AFTER = 2  # further reports without the lost machines that confirm the loss
MAX_HOLD = 10 * SECOND  # after which a withheld loss counts in any case
STEADY_FIRST, MAX_STEADY = (
    SECOND,
    60 * SECOND,
)  # time for which a machine that was lost must be listed again; doubles with each loss
FLAP_MEMORY = 300 * SECOND  # time without a loss after which earlier losses are forgotten
MAX_ENTRIES = 20_000  # of one source; further entries are left out, with an event
MAX_EVENTS = 512  # kept to explain the list to operators


class SeenMachine(NamedTuple):
    """A machine as a source lists it; None for what the source does not know."""

    name: str
    address: tuple[str, int]
    readiness: Readiness = Readiness.READY
    build: int | None = None
    born: int | None = None
    zone: int | None = None
    cell: int | None = None
    weight: float | None = None


class Event(NamedTuple):
    """A decision about a source or a machine, to explain the list to operators."""

    at: int
    source: str
    machine: str
    what: str


@dataclass(slots=True)
class _Flap:
    """Recent losses of one machine by one source."""

    losses: int = 0
    lost_at: int = 0
    since: int = 0  # when it was listed again; 0: it is not


@dataclass(slots=True)
class Source:
    """State of one source."""

    name: str
    authoritative: bool
    max_age: int  # of its last good list while it fails; 0: no limit
    machines: dict[str, SeenMachine] = field(default_factory=dict)
    good_at: int = 0  # time of its last good report; 0: none yet
    failing_since: int = 0
    why: str = ""
    version: int = 0
    withheld: dict[str, int] = field(
        default_factory=dict
    )  # machines whose loss is withheld, and since when
    withheld_answers: int = 0
    flaps: dict[str, _Flap] = field(default_factory=dict)

    def is_usable(self, now: int) -> bool:
        """Whether its last good list still counts."""
        return bool(self.good_at) and (
            not self.failing_since or not self.max_age or now - self.good_at <= self.max_age
        )


class SourceTracker:
    """State of all sources.

    Args:
        sources: name, whether it is authoritative, and maximum age of each source.
    """

    def __init__(self, sources: Iterable[tuple[str, bool, int]]) -> None:
        self.sources = {
            name: Source(name, authoritative, max_age) for name, authoritative, max_age in sources
        }
        self.events: list[Event] = []

    # Reports of sources.

    def report_all(
        self, now: int, name: str, entries: Iterable[SeenMachine], version: int = 0
    ) -> bool:
        """Process a full list; return False if its version is older than the last one's."""
        source = self.sources[name]
        if version and source.version and version < source.version:
            self._record(
                now,
                source,
                "",
                f"an older answer, {version} after {source.version}, is passed over",
            )
            return False
        reported = self._limit_entries(now, source, entries)
        lost = [machine for machine in source.machines if machine not in reported]
        sudden = (
            not source.authoritative
            and len(source.machines) >= SUDDEN_LOSS_MIN
            and len(lost) > SUDDEN_LOSS_SHARE * len(source.machines)
        )
        if sudden and not self._confirmed(now, source, lost):
            kept = {machine: source.machines[machine] for machine in lost}
        else:
            kept = {}
            source.withheld.clear()
            source.withheld_answers = 0
        for machine in lost:
            if machine not in kept:
                self._record_loss(now, source, machine)
        for machine in reported:
            if machine not in source.machines:
                self._record_arrival(now, source, machine)
        source.machines = {**kept, **reported}
        self._mark_good(now, source, version)
        return True

    def report_changes(
        self, now: int, name: str, entries: Iterable[SeenMachine], version: int = 0
    ) -> None:
        """Process changes of single machines; GONE removes a machine at once, from any source."""
        source = self.sources[name]
        for machine in entries:
            if machine.readiness is Readiness.GONE:
                if source.machines.pop(machine.name, None) is not None:
                    self._record_loss(now, source, machine.name)
            elif len(source.machines) < MAX_ENTRIES or machine.name in source.machines:
                if machine.name not in source.machines:
                    self._record_arrival(now, source, machine.name)
                source.machines[machine.name] = machine
            source.withheld.pop(machine.name, None)
        self._mark_good(now, source, version)

    def report_failure(self, now: int, name: str, why: str) -> None:
        """Process a failure of the source; its last good list stays."""
        source = self.sources[name]
        if not source.failing_since:
            source.failing_since = now
            self._record(now, source, "", f"fails: {why}; its last good set stays")
        source.why = why

    def tick(self, now: int) -> None:
        """Accept losses withheld for `MAX_HOLD`, and forget old flaps."""
        for source in self.sources.values():
            if (
                source.withheld
                and now - min(source.withheld.values()) >= MAX_HOLD
                and not source.failing_since
            ):
                for machine in list(source.withheld):
                    source.machines.pop(machine, None)
                    self._record_loss(now, source, machine)
                source.withheld.clear()
                source.withheld_answers = 0
            for machine in [
                machine
                for machine, flap in source.flaps.items()
                if now - flap.lost_at > FLAP_MEMORY
            ]:
                del source.flaps[machine]

    # The machines that count.

    def present_machines(self, now: int, name: str) -> dict[str, SeenMachine]:
        """Return a source's machines, without those that flap and are not steady yet."""
        source = self.sources[name]
        if not source.is_usable(now):
            return {}
        return {
            machine: seen
            for machine, seen in source.machines.items()
            if self.steady_at(source, machine) <= now
        }

    def steady_at(self, source: Source, name: str) -> int:
        """Return when a lost machine counts again; 0 if it was never lost or is not listed."""
        flap = source.flaps.get(name)
        if flap is None or not flap.losses or not flap.since:
            return 0
        return flap.since + min(MAX_STEADY, STEADY_FIRST << min(20, flap.losses - 1))

    def next_at(self, now: int) -> int | None:
        """Return when the list may change next without a new report, or None."""
        times = [
            min(one.withheld.values()) + MAX_HOLD for one in self.sources.values() if one.withheld
        ]
        for source in self.sources.values():
            times += [
                at
                for name in source.flaps
                if name in source.machines and (at := self.steady_at(source, name)) > now
            ]
            if source.failing_since and source.max_age:
                times.append(source.good_at + source.max_age + 1)
        return min((one for one in times if one > now), default=None)

    # Internals.

    def _limit_entries(
        self, now: int, source: Source, entries: Iterable[SeenMachine]
    ) -> dict[str, SeenMachine]:
        reported: dict[str, SeenMachine] = {}
        for machine in entries:
            if len(reported) >= MAX_ENTRIES and machine.name not in reported:
                self._record(
                    now,
                    source,
                    "",
                    f"names more than {MAX_ENTRIES} machines: the rest is left out",
                )
                break
            if machine.readiness is not Readiness.GONE:
                reported[machine.name] = machine
        return reported

    def _confirmed(self, now: int, source: Source, lost: list[str]) -> bool:
        """Withhold the loss of `lost`; return whether it is confirmed or withheld long enough."""
        source.withheld_answers += 1
        for machine in lost:
            source.withheld.setdefault(machine, now)
        source.withheld = {
            machine: at for machine, at in source.withheld.items() if machine in lost
        }
        if source.withheld_answers == 1:
            self._record(
                now,
                source,
                "",
                f"left out {len(lost)} of {len(source.machines)} at once: "
                "held until it says so again",
            )
        return (
            source.withheld_answers > CONFIRMED_AFTER
            or now - min(source.withheld.values()) >= MAX_HOLD
        )

    def _mark_good(self, now: int, source: Source, version: int) -> None:
        if source.failing_since:
            self._record(
                now, source, "", f"speaks again after {(now - source.failing_since) / SECOND:.1f} s"
            )
        source.good_at, source.failing_since, source.why = max(1, now), 0, ""
        source.version = version or source.version

    def _record_loss(self, now: int, source: Source, name: str) -> None:
        flap = source.flaps.setdefault(name, _Flap())
        flap.losses, flap.lost_at, flap.since = flap.losses + 1, now, 0
        if len(source.flaps) > 2 * MAX_ENTRIES:
            source.flaps.pop(next(iter(source.flaps)))
        self._record(now, source, name, "is gone")

    def _record_arrival(self, now: int, source: Source, name: str) -> None:
        flap = source.flaps.get(name)
        if flap is not None:
            flap.since = now
        self._record(
            now,
            source,
            name,
            "is there" if flap is None else f"is back, after {flap.losses} losses",
        )

    def _record(self, now: int, source: Source, machine: str, what: str) -> None:
        self.events.append(Event(now, source.name, machine, what))
        del self.events[:-MAX_EVENTS]
