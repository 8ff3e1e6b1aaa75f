"""What stands behind the fronts: machines, their list, the release, and what befalls them; for
either body.

The host gives the time and calls back at times asked for; the site tells it of changed entries, of
a moved release and of
work that ended. It knows nothing of fronts, connections or sockets.
"""

from collections.abc import Callable
from typing import Any, Protocol

from umbermoor.front.interface import Ending, Readiness, Verdict
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND, Day, Trouble, micros
from umbermoor.lab.machine import Done, Machine, dragging
from umbermoor.lab.places import Places, plight_of
from umbermoor.lab.release import Listed, Order, Release, Roster, Start

DRAG_EVERY = SECOND // 20
FRONTS = ("front-crash", "front-stall")  # troubles that take fronts


class Host(Protocol):
    now: int

    def at(self, when: int, call: Callable, *words: Any) -> None: ...
    def listed(self, row: Listed) -> None: ...
    def moved(self) -> None: ...
    def settled(self, machine: Machine, done: list[Done]) -> None: ...
    def gone(self, machine: Machine) -> None: ...
    def go_away(self, machines: list[Machine]) -> None: ...
    def strike_fronts(self, trouble: Trouble, until: int) -> None: ...


class Site:
    def __init__(self, day: Day, host: Host, begun: int) -> None:
        self._day, self._host = day, host
        self.chance = Chance(day.seed)
        self.begun = begun
        self.places = Places(day, self.chance)
        self.machines: dict[str, Machine] = {}
        self.place: dict[str, int] = {}
        self.roster = Roster()
        self.release = Release(day.platform, day.build, len(self.places), self.places.order, begun)
        self.mute = {"list-silent": 0, "platform-silent": 0}  # until when
        self._wakes: dict[str, int] = {}
        self._serial = 0
        self._planned: set[int] = set()  # times at which the platform looks again
        self._history = 1
        self._booting: set[tuple[int, int]] = set()

    def start(self) -> None:
        for place in range(len(self.places)):
            self._make(place, 1, 0)
        for trouble in self._day.trouble:
            self._host.at(self.begun + micros(trouble.at_s), self._strike, trouble)
        self._plan_release()
        if any(one.fault_kind == "drags" for one in self._day.build):
            self._host.at(self.begun, self._drag)

    # The release.

    def vote(self, front: str, build: int, stage: int, verdict: Verdict) -> Ending:
        ending = self.release.vote(self._host.now, front, build, stage, verdict)
        self._order(self.release.advance(self._host.now))
        return ending

    def _plan_release(self) -> None:
        at = self.release.next_at(self._host.now)
        if at is not None and at not in self._planned:
            self._planned.add(at)
            self._host.at(at, self._release, at)

    def _release(self, at: int) -> None:
        self._planned.discard(at)
        self._order(self.release.advance(self._host.now))
        self._plan_release()

    def _order(self, orders: list[Order]) -> None:
        known = len(self.release.history)
        if known != self._history:
            self._history = known
            self._host.moved()
            self._plan_release()
        for order in orders:
            if isinstance(order, Start):
                for place in order.places:
                    self._boot(place, order.build)
            else:
                for name in [
                    name for name in self.roster.entries if self.machines[name].build == order.build
                ]:
                    self._drain(name)

    # Machines and the list.

    def _make(self, place: int, build: int, born: int, name: str | None = None) -> None:
        if name is None:
            self._serial += 1
            name = f"m{self._serial}"
        self.machines[name], self.place[name] = self.places.make(name, place, build, born), place
        self._wakes.pop(name, None)
        self._list(name, Readiness.READY)
        self.wake(self.machines[name])

    def _list(self, name: str, readiness: Readiness) -> None:
        machine = self.machines[name]
        row = Listed(name, machine.build, readiness, machine.born, self.place[name])
        self.roster.put(row)
        self._host.listed(row)

    def _boot(self, place: int, build: int) -> None:
        """A machine of this build comes up at a place, unless one runs there."""
        runs = any(
            self.place[name] == place
            and self.machines[name].build == build
            and not self.machines[name].draining
            for name in self.roster.entries
        )
        if runs or (place, build) in self._booting:
            return
        self._booting.add((place, build))
        part = 0.5 + 0.5 * self.chance.at("boot", place, build, len(self.release.history))
        self._host.at(
            self._host.now + micros(self._day.platform.boot_s * part), self._booted, place, build
        )

    def _booted(self, place: int, build: int) -> None:
        self._booting.discard((place, build))
        if self._wanted(build):
            self._make(place, build, self._host.now)

    def _wanted(self, build: int) -> bool:
        standing = self.release.now
        return build == self.release.good or (build == standing.build and standing.cap > 0)

    def _drain(self, name: str) -> None:
        machine = self.machines[name]
        if machine.draining or machine.plight.down:
            return
        machine.draining = True
        self._list(name, Readiness.DRAINING)
        self._host.at(
            self._host.now + micros(self._day.platform.drain_s), self._stop, name, machine
        )

    def _stop(self, name: str, machine: Machine) -> None:
        if self.machines.get(name) is machine and not machine.plight.down:
            self._down(name, machine)

    def _down(self, name: str, machine: Machine) -> None:
        cut = machine.change(self._host.now, down=True)
        self._host.gone(machine)
        self._settle(machine, cut)
        self._list(name, Readiness.GONE)

    def _drag(self) -> None:
        alive = [self.machines[name] for name in self.roster.entries]
        factor = dragging(alive)
        for one in alive:
            if one.drag != factor:
                one.drag = factor
                self._settle(one, one.change(self._host.now))
        self._host.at(self._host.now + DRAG_EVERY, self._drag)

    # Troubles.

    def _strike(self, trouble: Trouble) -> None:
        now = self._host.now
        until = now + micros(trouble.for_s)
        if trouble.kind in self.mute:
            self.mute[trouble.kind] = until
            return
        if trouble.kind in FRONTS:
            self._host.strike_fronts(trouble, until)
            return
        struck = self.places.struck(trouble, list(range(len(self.places))))
        names = [name for name in self.roster.entries if self.place[name] in struck]
        if trouble.kind == "goaway":
            self._go_away([self.machines[name] for name in names], trouble, until)
            return
        plight = plight_of(trouble, True)
        for turn, name in enumerate(names):
            machine = self.machines[name]
            if plight:
                self._settle(machine, machine.change(now, **plight))
                self._host.at(until, self._recover, machine, trouble)
            elif trouble.kind == "replace":
                self._host.at(now + micros(trouble.for_s * turn / len(names)), self._replace, name)
            elif trouble.kind == "drain":
                self._drain(name)
                self._host.at(until, self._boot, self.place[name], machine.build)
            elif not machine.plight.down:
                self._down(name, machine)
                if trouble.kind != "loss":
                    self._host.at(until, self._return, name, machine)

    def _go_away(self, machines: list[Machine], trouble: Trouble, until: int) -> None:
        """Every half second, for as long as it lasts."""
        self._host.go_away([one for one in machines if not one.plight.down])
        if self._host.now + SECOND // 2 < until:
            self._host.at(self._host.now + SECOND // 2, self._go_away, machines, trouble, until)

    def _recover(self, machine: Machine, trouble: Trouble) -> None:
        self._settle(machine, machine.change(self._host.now, **plight_of(trouble, False)))

    def _return(self, name: str, machine: Machine) -> None:
        if self._wanted(machine.build) and name not in self.roster.entries:
            self._make(self.place[name], machine.build, self._host.now, name)

    def _replace(self, name: str) -> None:
        """It drains, and another comes up cold in its place."""
        if name in self.roster.entries and not self.machines[name].draining:
            place, build = self.place[name], self.machines[name].build
            self._host.at(
                self._host.now + micros(self._day.platform.boot_s), self._booted, place, build
            )
            self._drain(name)

    # Work.

    def advance(self, machine: Machine) -> None:
        """What has ended by now."""
        if done := machine.advance(self._host.now):
            self._host.settled(machine, done)

    def wake(self, machine: Machine) -> None:
        """To be called after anything that changes what the machine holds."""
        at = machine.next_at()
        if at is not None and self._wakes.get(machine.id) != at:
            self._wakes[machine.id] = at
            self._host.at(max(at, self._host.now), self._woken, machine, at)

    def _woken(self, machine: Machine, at: int) -> None:
        if self._wakes.get(machine.id) == at and self.machines.get(machine.id) is machine:
            del self._wakes[machine.id]
            self._settle(machine, machine.advance(self._host.now))

    def _settle(self, machine: Machine, done: list[Done]) -> None:
        if done:
            self._host.settled(machine, done)
        self.wake(machine)
