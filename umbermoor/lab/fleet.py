"""A whole fleet in virtual time, around the real decision module of each front.

`play` runs a day and returns its outcome as plain data; `Fleet` connects the parts of
`umbermoor.lab.virtual` and is the host of the backend (machines, machine list and release). All
these are models, but each front's decisions are made by the real module, `umbermoor.front.facade`.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from umbermoor.front.capture.frames import Header, file_head
from umbermoor.front.capture.recorder import Recorder
from umbermoor.lab.audit import Ledger
from umbermoor.lab.backend import Backend
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import Day, FaultInjection, micros
from umbermoor.lab.demand import Arrival, generate_arrivals
from umbermoor.lab.machine import EndedJob, Machine
from umbermoor.lab.measure import Measure
from umbermoor.lab.release import ListEntry
from umbermoor.lab.terms import start_settings
from umbermoor.lab.virtual.clients import VirtualClients
from umbermoor.lab.virtual.clock import START, VirtualClock
from umbermoor.lab.virtual.control_plane import VirtualControlPlane
from umbermoor.lab.virtual.front import VirtualFront
from umbermoor.lab.virtual.network import VirtualNetwork
from umbermoor.lab.virtual.outcome import fleet_outcome

CLOSING_S = 5  # after the last query's timeout, for answers in transit
CAPTURED_FRONT = "n0"


class Fleet(VirtualClock):
    """A run of a day in virtual time.

    Args:
        day: fleet, load, builds and faults.
        replay: first queries that replace the day's load.
        on_progress: called about once a virtual second with the seconds since the start.
        make_recorder: returns the recorder of a front's queries, or None.
    """

    def __init__(
        self,
        day: Day,
        replay: Iterator[Arrival] | None = None,
        on_progress: Callable[[float], None] | None = None,
        make_recorder: Callable[[VirtualFront], Recorder | None] | None = None,
    ) -> None:
        super().__init__()
        self.day, self.settings = day, start_settings(day)
        self.make_recorder = make_recorder
        self.chance = Chance(day.seed)
        self.backend = Backend(day, self, START)
        self.ledger, self.measure = Ledger(day), Measure(day)
        arrivals = replay if replay is not None else generate_arrivals(day, self.chance)
        self.clients = VirtualClients(self, arrivals)
        self.network = VirtualNetwork(self)
        self.control_plane = VirtualControlPlane(self)
        self.fronts: list[VirtualFront] = []
        self.down_since: dict[str, int] = {}  # by front
        self._starts: Counter[str] = Counter()  # by front
        self._on_progress = on_progress

    def play(self) -> "Fleet":
        """Play the day to its end."""
        self.backend.start()
        for number in range(self.day.front.count):
            self._start_front(f"n{number}")
        self.clients.schedule_next()
        self.control_plane.start()
        end = START + micros(self.day.length_s)
        max_patience_s = max(row.patience_ms for row in self.day.profile) / 1000
        retries_s = max_patience_s * (self.day.clients.retries + 1)
        deadline = end + micros(retries_s + CLOSING_S)
        self.run(end, deadline, self.clients.pending, self._on_progress)
        self.ledger.close(self.now)
        return self

    def outcome(self) -> dict[str, Any]:
        """Return the figures of the run as plain data."""
        return fleet_outcome(self)

    def delay(self, *names: object) -> int:
        """Return the delay of a packet in microseconds, drawn by these names."""
        network = self.day.network
        return round(network.one_way_us * (1 + network.jitter * self.chance.at("way", *names)))

    # Fronts.

    def _start_front(self, name: str) -> None:
        self._starts[name] += 1
        front = VirtualFront(self, name, self._starts[name])
        names = [existing.name for existing in self.fronts]
        if name in names:
            self.fronts[names.index(name)] = front
        else:
            self.fronts.append(front)
        self.down_since.pop(name, None)
        self.control_plane.send_initial_state(front)

    def inject_front_fault(self, fault: FaultInjection, until: int) -> None:
        """Stall or kill some of the fronts until a time."""
        ranked = sorted(
            self.fronts,
            key=lambda front: self.chance.at("struck", fault.kind, fault.at_s, front.name),
        )
        for front in ranked[: max(1, round(fault.part * len(ranked)))]:
            if fault.kind == "front-stall":
                front.stalled_until = until
            elif front.is_alive:
                self._kill(front, until)

    def _kill(self, front: VirtualFront, back_at: int) -> None:
        front.is_alive = False
        self.down_since[front.name] = self.now
        self.ledger.dropped(self.now, front.name)
        for name, idle in front.idle_connections.items():
            if machine := self.backend.machines.get(name):
                machine.connections = max(0, machine.connections - len(idle))
        for key, attempt in front.attempts.items():
            if attempt.is_sent[0]:
                self.network.cancel(attempt.go)
            self.network.forget(key)
        for query, pending in self.clients.pending.items():
            if pending.front is front:
                self.at(self.now + self.delay(query), self.clients.lost, query)
        self.at(back_at, self._start_front, front.name)

    # Notifications of the backend.

    def entry_changed(self, entry: ListEntry) -> None:
        """Send a changed entry of the machine list to the fronts."""
        self.control_plane.list_changed(entry)

    def release_changed(self) -> None:
        """Send the changed state of the release to the fronts."""
        self.control_plane.stage_changed()

    def jobs_ended(self, machine: Machine, done: list[EndedJob]) -> None:
        """Send the replies of jobs that ended at a machine."""
        self.network.jobs_ended(machine, done)

    def machine_down(self, machine: Machine) -> None:
        """Close the fronts' idle connections to a machine whose process has ended."""
        for front in self.fronts:
            front.machine_connections -= len(front.idle_connections.pop(machine.id, []))

    def go_away(self, machines: list[Machine]) -> None:
        """Do nothing: connections to machines are HTTP/1.1 here, which has no GOAWAY."""


def capture_day(day: Day, path: str) -> dict[str, Any]:
    """Play a day and write a capture of its first front, in the format of a real front's capture.

    Args:
        day: what is played.
        path: file that the capture is written to.
    """
    profiles = tuple(
        {
            "name": row.name,
            "aim_ms": row.aim_ms,
            "patience_ms": row.patience_ms,
            "late_value": row.late_value,
            "repeat": row.repeat,
        }
        for row in day.profile
    )
    header = Header(CAPTURED_FRONT, START, profiles)
    with open(path, "wb") as file:
        recorders: list[Recorder] = []

        def write(data: bytes) -> None:
            file.write(data)

        def make_recorder(front: VirtualFront) -> Recorder | None:
            if front.name != CAPTURED_FRONT or recorders:
                return None
            recorder = Recorder(lambda: front.fleet.now, header, write)
            recorders.append(recorder)
            write(file_head() + recorder.begin())
            return recorder

        outcome = Fleet(day, make_recorder=make_recorder).play().outcome()
        recorders[0].flush()
    return outcome


def play(
    day: Day,
    on_progress: Callable[[float], None] | None = None,
    replay: Iterator[Arrival] | None = None,
) -> dict[str, Any]:
    """Play a day and return its outcome as plain data."""
    return Fleet(day, replay, on_progress).play().outcome()
