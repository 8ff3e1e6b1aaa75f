"""The system behind the fronts: machines, the machine list, the release and injected faults.

Both the virtual fleet and the stand-ins on sockets use it. The host provides the time and scheduled
calls; the backend notifies it of changes of the list and of the release and of jobs that ended. It
does not depend on fronts, connections or sockets.
"""

from collections.abc import Callable
from typing import Any, Protocol

from umbermoor.front.interface import Ending, Readiness, Verdict
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND, Day, FaultInjection, micros
from umbermoor.lab.machine import EndedJob, Machine, shared_contention
from umbermoor.lab.placement import Placement, fault_fields
from umbermoor.lab.release import ListEntry, MachineList, Order, Release, StartMachines

CONTENTION_PERIOD = SECOND // 20
GOAWAY_PERIOD = SECOND // 2
MIN_BOOT_SHARE = 0.5  # share of the day's boot time that the fastest machine takes
FIRST_BUILD = 1
FRONT_FAULTS = ("front-crash", "front-stall")
LIST_SILENT, PLATFORM_SILENT = "list-silent", "platform-silent"


class Host(Protocol):
    """The environment of a backend: clock, scheduler and receiver of its notifications."""

    @property
    def now(self) -> int:
        """The present time in microseconds."""

    def at(self, when: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call at a time."""

    def entry_changed(self, entry: ListEntry) -> None:
        """Handle a changed entry of the machine list."""

    def release_changed(self) -> None:
        """Handle a change of the release's state."""

    def jobs_ended(self, machine: Machine, done: list[EndedJob]) -> None:
        """Handle jobs that ended at a machine."""

    def machine_down(self, machine: Machine) -> None:
        """Handle the end of a machine's process, which closes its connections."""

    def go_away(self, machines: list[Machine]) -> None:
        """Close connections of machines gracefully, by GOAWAY in HTTP/2."""

    def inject_front_fault(self, fault: FaultInjection, until: int) -> None:
        """Stall or kill some of the fronts until a time."""


class Backend:
    """The machines, the machine list and the release of a day.

    Args:
        day: fleet, builds and faults.
        host: the environment it runs in.
        day_start: time of the day's start, in microseconds.
    """

    def __init__(self, day: Day, host: Host, day_start: int) -> None:
        self._day, self._host, self._day_start = day, host, day_start
        self.chance = Chance(day.seed)
        self.machines: dict[str, Machine] = {}
        self.machine_list = MachineList()
        self.silent_until = {LIST_SILENT: 0, PLATFORM_SILENT: 0}
        self._placement = Placement(day, self.chance)
        self.release = Release(
            day.platform, day.build, len(self._placement), self._placement.rollout_order, day_start
        )
        self._place: dict[str, int] = {}  # by machine
        self._wake_times: dict[str, int] = {}  # by machine
        self._machine_count = 0
        self._release_times: set[int] = set()  # at which `Release.advance` is scheduled
        self._handled_history = 1
        self._booting: set[tuple[int, int]] = set()  # (place, build)

    def start(self) -> None:
        """Create the day's first machines and schedule its faults and builds."""
        for place in range(len(self._placement)):
            self._add_machine(place, FIRST_BUILD, 0)
        for fault in self._day.trouble:
            self._host.at(self._day_start + micros(fault.at_s), self._inject, fault)
        self._schedule_release()
        if any(build.fault_kind == "drags" for build in self._day.build):
            self._host.at(self._day_start, self._update_contention)

    def is_silent(self, source: str) -> bool:
        """Whether the list or the platform (`LIST_SILENT`, `PLATFORM_SILENT`) is silenced."""
        return self._host.now < self.silent_until[source]

    # The release.

    def vote(self, front: str, build: int, stage: int, verdict: Verdict) -> Ending:
        """Count a front's vote; return the result."""
        ending = self.release.vote(self._host.now, front, build, stage, verdict)
        self._carry_out(self.release.advance(self._host.now))
        return ending

    def _schedule_release(self) -> None:
        at = self.release.next_at(self._host.now)
        if at is not None and at not in self._release_times:
            self._release_times.add(at)
            self._host.at(at, self._advance_release, at)

    def _advance_release(self, at: int) -> None:
        self._release_times.discard(at)
        self._carry_out(self.release.advance(self._host.now))
        self._schedule_release()

    def _carry_out(self, orders: list[Order]) -> None:
        changes = len(self.release.history)
        if changes != self._handled_history:
            self._handled_history = changes
            self._host.release_changed()
            self._schedule_release()
        for order in orders:
            if isinstance(order, StartMachines):
                for place in order.places:
                    self._boot(place, order.build)
            else:
                self._drain_build(order.build)

    def _drain_build(self, build: int) -> None:
        names = list(self.machine_list.entries)
        for name in names:
            if self.machines[name].build == build:
                self._drain(name)

    # Machines and the list.

    def _add_machine(self, place: int, build: int, born: int, name: str | None = None) -> None:
        if name is None:
            self._machine_count += 1
            name = f"m{self._machine_count}"
        self.machines[name] = self._placement.make_machine(name, place, build, born)
        self._place[name] = place
        self._wake_times.pop(name, None)
        self._update_list(name, Readiness.READY)
        self.wake(self.machines[name])

    def _update_list(self, name: str, readiness: Readiness) -> None:
        machine = self.machines[name]
        entry = ListEntry(name, machine.build, readiness, machine.born, self._place[name])
        self.machine_list.put(entry)
        self._host.entry_changed(entry)

    def _boot(self, place: int, build: int) -> None:
        """Start a machine of this build at a place, unless one runs or boots there."""
        runs = any(
            self._place[name] == place
            and self.machines[name].build == build
            and not self.machines[name].draining
            for name in self.machine_list.entries
        )
        if runs or (place, build) in self._booting:
            return
        self._booting.add((place, build))
        fraction = self.chance.at("boot", place, build, len(self.release.history))
        share = MIN_BOOT_SHARE + (1 - MIN_BOOT_SHARE) * fraction
        ready_at = self._host.now + micros(self._day.platform.boot_s * share)
        self._host.at(ready_at, self._booted, place, build)

    def _booted(self, place: int, build: int) -> None:
        self._booting.discard((place, build))
        if self._is_wanted(build):
            self._add_machine(place, build, self._host.now)

    def _is_wanted(self, build: int) -> bool:
        state = self.release.state
        return build == self.release.serving_build or (build == state.build and state.cap > 0)

    def _drain(self, name: str) -> None:
        machine = self.machines[name]
        if machine.draining or machine.faults.down:
            return
        machine.draining = True
        self._update_list(name, Readiness.DRAINING)
        drained_at = self._host.now + micros(self._day.platform.drain_s)
        self._host.at(drained_at, self._end_drain, name, machine)

    def _end_drain(self, name: str, machine: Machine) -> None:
        if self.machines.get(name) is machine and not machine.faults.down:
            self._take_down(name, machine)

    def _take_down(self, name: str, machine: Machine) -> None:
        ended = machine.set_faults(self._host.now, down=True)
        self._host.machine_down(machine)
        self._report_ended(machine, ended)
        self._update_list(name, Readiness.GONE)

    def _update_contention(self) -> None:
        machines = [self.machines[name] for name in self.machine_list.entries]
        factor = shared_contention(machines)
        for machine in machines:
            if machine.contention != factor:
                machine.contention = factor
                self._report_ended(machine, machine.set_faults(self._host.now))
        self._host.at(self._host.now + CONTENTION_PERIOD, self._update_contention)

    # Faults.

    def _inject(self, fault: FaultInjection) -> None:
        until = self._host.now + micros(fault.for_s)
        if fault.kind in self.silent_until:
            self.silent_until[fault.kind] = until
            return
        if fault.kind in FRONT_FAULTS:
            self._host.inject_front_fault(fault, until)
            return
        places = self._placement.affected_places(fault)
        names = [name for name in self.machine_list.entries if self._place[name] in places]
        if fault.kind == "goaway":
            self._go_away([self.machines[name] for name in names], until)
            return
        for index, name in enumerate(names):
            if fault.kind == "replace":
                delay = micros(fault.for_s * index / len(names))
                self._host.at(self._host.now + delay, self._replace, name)
            else:
                self._inject_into(name, fault, until)

    def _inject_into(self, name: str, fault: FaultInjection, until: int) -> None:
        machine = self.machines[name]
        if fields := fault_fields(fault, begins=True):
            self._report_ended(machine, machine.set_faults(self._host.now, **fields))
            self._host.at(until, self._recover, machine, fault)
        elif fault.kind == "drain":
            self._drain(name)
            self._host.at(until, self._boot, self._place[name], machine.build)
        elif not machine.faults.down:
            self._take_down(name, machine)
            if fault.kind != "loss":
                self._host.at(until, self._restart, name, machine)

    def _go_away(self, machines: list[Machine], until: int) -> None:
        """Close connections of machines gracefully, repeatedly until a time."""
        self._host.go_away([machine for machine in machines if not machine.faults.down])
        next_at = self._host.now + GOAWAY_PERIOD
        if next_at < until:
            self._host.at(next_at, self._go_away, machines, until)

    def _recover(self, machine: Machine, fault: FaultInjection) -> None:
        fields = fault_fields(fault, begins=False)
        self._report_ended(machine, machine.set_faults(self._host.now, **fields))

    def _restart(self, name: str, machine: Machine) -> None:
        if self._is_wanted(machine.build) and name not in self.machine_list.entries:
            self._add_machine(self._place[name], machine.build, self._host.now, name)

    def _replace(self, name: str) -> None:
        """Drain a machine and start a new, cold one in its place."""
        if name in self.machine_list.entries and not self.machines[name].draining:
            place, build = self._place[name], self.machines[name].build
            ready_at = self._host.now + micros(self._day.platform.boot_s)
            self._host.at(ready_at, self._booted, place, build)
            self._drain(name)

    # Jobs.

    def advance(self, machine: Machine) -> None:
        """Notify the host of the jobs that have ended at a machine by now."""
        if ended := machine.advance(self._host.now):
            self._host.jobs_ended(machine, ended)

    def wake(self, machine: Machine) -> None:
        """Schedule a machine's next step; must be called when its jobs have changed."""
        at = machine.next_at()
        if at is not None and self._wake_times.get(machine.id) != at:
            self._wake_times[machine.id] = at
            self._host.at(max(at, self._host.now), self._wake_up, machine, at)

    def _wake_up(self, machine: Machine, at: int) -> None:
        if self._wake_times.get(machine.id) == at and self.machines.get(machine.id) is machine:
            del self._wake_times[machine.id]
            self._report_ended(machine, machine.advance(self._host.now))

    def _report_ended(self, machine: Machine, ended: list[EndedJob]) -> None:
        if ended:
            self._host.jobs_ended(machine, ended)
        self.wake(machine)
