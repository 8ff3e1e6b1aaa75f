"""Operation of a front: drain state, admin endpoint, snapshots, metrics and background work."""

import logging
import time
from collections import Counter
from hashlib import blake2b
from typing import Any

from umbermoor.front.configuration import Configuration
from umbermoor.front.facade import Asked
from umbermoor.front.interface import Ending, Entry
from umbermoor.front.lifecycle.admin_calls import AdminCalls, metrics_text
from umbermoor.front.lifecycle.drain_keeper import SECOND, DrainAction, DrainKeeper
from umbermoor.front.lifecycle.scheduler import Scheduler, Task
from umbermoor.front.lifecycle.snapshot import (
    MachineSnapshot,
    Snapshot,
    UnusableFile,
    find_mismatch,
    load,
    usable_machines,
    write,
)
from umbermoor.front.own_settings import OwnSettings
from umbermoor.front.server.admin_endpoint import AdminEndpoint, AdminEndpointError, read_token
from umbermoor.logs import note

log = logging.getLogger(__name__)

BUSY_FRACTION = 0.8  # of the query capacity; above it, background work waits
OUTCOMES = {0: "left", 200: "done", 429: "denied", 503: "denied", 502: "abandoned"}


def note_background_work(task: Task, detail: str) -> None:
    """Log what the scheduler reports of a task: a slice over its bound, or a failure."""
    note(log, "background work", logging.WARNING, task=task.name, detail=detail)


class Operations:
    """Runs the front's operations, and counts queries as an observer of the exchange."""

    def __init__(
        self,
        reactor,
        clock,
        configuration: Configuration,
        own_settings: OwnSettings,
        buffers,
        exchange,
        clients,
        machines,
    ) -> None:
        self._reactor, self._clock, self._configuration, self._own_settings = (
            reactor,
            clock,
            configuration,
            own_settings,
        )
        self._exchange, self._clients, self._machines = exchange, clients, machines
        self._query_capacity = max(8, (configuration.sockets - 32) // 3)
        self.keeper = exchange.keeper = clients.keeper = DrainKeeper(clock(), self._query_capacity)
        self._profile_names = sorted(configuration.profiles, key=configuration.profiles.__getitem__)
        self._open: dict[str, tuple[int, int, int]] = {}  # query: profile, arrival time, due time
        self._counts: Counter[tuple[str, str]] = Counter()
        self._listed: dict[str, tuple[int, int]] = {}
        self.members = None  # the membership sources, if configured
        self._timer = self._background_timer = None
        self._scheduler = Scheduler(
            clock,
            report=note_background_work,
        )
        self._admin_endpoint = self._address = None
        if own_settings.door is not None:
            token = read_token(own_settings.door.token) if own_settings.door.token else ""
            self._admin_endpoint = AdminEndpoint(
                reactor,
                buffers,
                AdminCalls(
                    {
                        "status": self.status,
                        "hands": self.hands,
                        "config": self.config,
                        "metrics": self.metrics,
                        "members": self.explain_members,
                        "drain": self.drain,
                        "resume": self.resume,
                    },
                    token,
                ),
            )

    def start(self) -> None:
        if self._admin_endpoint is not None:
            try:
                self._address = self._admin_endpoint.listen(self._own_settings.door.where)
                note(log, "door", where=self._address)
            except AdminEndpointError as fault:
                note(log, "the door stays shut", logging.ERROR, why=fault)
        if self._own_settings.remember is not None:
            self._recall(self._own_settings.remember.path)
            self._scheduler.add(
                "snapshot",
                1,
                self._snapshot,
                every=round(self._own_settings.remember.every_s * SECOND),
                after=round(self._own_settings.remember.every_s * SECOND),
            )
        self._run_keeper()
        self._run_background_work()

    def stop(self) -> None:
        for timer in (self._timer, self._background_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if self._admin_endpoint is not None:
            self._admin_endpoint.stop()
        if self._own_settings.remember is not None:
            for _ in self._snapshot():
                pass

    # Admin calls.

    def drain(self, within: int | None) -> str:
        answer = self.keeper.drain(self._clock(), within)
        note(log, "drain asked", answer=answer, in_hand=len(self._exchange.pending))
        self._run_keeper()
        return answer

    def resume(self) -> str:
        answer = self.keeper.resume(self._clock())
        note(log, "resume asked", answer=answer)
        self._run_keeper()
        return answer

    def ready(self) -> None:
        self.keeper.ready(self._clock())

    def leave(self) -> None:
        self.keeper.leave(self._clock())

    def status(self) -> dict[str, Any]:
        now, keeper = self._clock(), self.keeper
        ages: dict[int, list[int]] = {}
        for profile, came, _ in self._open.values():
            ages.setdefault(profile, []).append(now - came)
        return {
            "name": self._configuration.name,
            "state": keeper.state.value,
            "up": self._clients.up and keeper.up,
            "deadline_s": None
            if keeper.deadline is None
            else round((keeper.deadline - now) / SECOND, 3),
            "in_hand": len(self._exchange.pending),
            "clients": len(self._clients.open),
            "machines": len(self._listed),
            "stage": str(self._exchange.stage),
            "takes_at_once": keeper.max_in_hand(now),
            "profiles": {
                name: {
                    "in_hand": len(ages.get(at, ())),
                    "oldest_ms": round(max(ages.get(at, (0,))) / 1000, 1),
                }
                for at, name in enumerate(self._profile_names)
            },
            "history": [
                [round((now - one.at) / SECOND, 1), one.state.value, one.why]
                for one in keeper.history
            ],
        }

    def hands(self) -> list[dict[str, Any]]:
        now = self._clock()
        return [
            {
                "query": query,
                "profile": self._profile_names[profile],
                "age_ms": round((now - came) / 1000, 1),
                "left_ms": round((due - now) / 1000, 1),
            }
            for query, (profile, came, due) in self._open.items()
        ]

    def config(self) -> dict[str, Any]:
        configuration = self._configuration
        return {
            "name": configuration.name,
            "listen": "{}:{}".format(*configuration.listen),
            "sockets": configuration.sockets,
            "memory_mb": configuration.memory >> 20,
            "profiles": self._profile_names,
            "fronts": configuration.charter.fronts,
            "fleet": self._fleet(),
        }

    def explain_members(self) -> list[str]:
        return self.members.explain() if self.members is not None else ["the platform's list alone"]

    def metrics(self) -> bytes:
        rows = [
            (
                "answers_total",
                "counter",
                "Answers by profile and kind.",
                {"profile": profile, "kind": kind},
                count,
            )
            for (profile, kind), count in sorted(self._counts.items())
        ]
        rows += [
            ("in_hand", "gauge", "Queries in hand.", {}, len(self._exchange.pending)),
            ("clients", "gauge", "Clients' connections.", {}, len(self._clients.open)),
            ("machines", "gauge", "Machines listed.", {}, len(self._listed)),
            (
                "state",
                "gauge",
                "1 for the state that the front is in.",
                {"state": self.keeper.state.value},
                1,
            ),
        ]
        rows += [
            (
                "background_longest_us",
                "gauge",
                "The longest slice of background work.",
                {"task": one.name},
                one.longest,
            )
            for one in self._scheduler.tasks
        ]
        return metrics_text(rows)

    # Notifications from the exchange.

    def listed(self, whole: bool, entries: list[Entry]) -> None:
        if whole:
            self._listed.clear()
        for one in entries:
            if one.readiness:
                self._listed[one.machine] = one.build, one.born
            else:
                self._listed.pop(one.machine, None)

    def asked(self, asked: Asked) -> None:
        self._open[asked.query] = asked.profile, self._clock(), asked.due

    def handed(self, query: str, machine: str) -> None:
        """Do nothing: a query is counted when it is closed."""

    def ended(self, query: str, machine: str, ending: Ending, took: int) -> None:
        """Do nothing: outcomes of hand-offs are not counted here."""

    def closed(self, query: str, status: int) -> None:
        if (one := self._open.pop(query, None)) is not None:
            self._counts[self._profile_names[one[0]], OUTCOMES.get(status, "failed")] += 1

    # Timers.

    def _run_keeper(self) -> None:
        """Execute what the drain keeper has due, and schedule its next check."""
        now = self._clock()
        for due in self.keeper.tick(now, len(self._exchange.pending)):
            if due is DrainAction.CLOSE_IDLE:
                self._clients.close_idle()
            elif due is DrainAction.GIVE_UP:
                note(log, "deadline", given_up=len(self._exchange.pending))
                self._exchange.give_up_all()
            elif due is DrainAction.FORGET:
                self._exchange.forget()
        at = self.keeper.next_at(now)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if at is not None:
            self._timer = self._reactor.callLater(
                max(0.005, min(0.05, (at - now) / SECOND)), self._run_keeper
            )

    def _run_background_work(self) -> None:
        self._scheduler.run(len(self._exchange.pending) > BUSY_FRACTION * self._query_capacity)
        at = self._scheduler.next_at()
        wait = 1.0 if at is None else max(0.005, min(1.0, (at - self._clock()) / SECOND))
        self._background_timer = self._reactor.callLater(wait, self._run_background_work)

    # Snapshots.

    def _fleet(self) -> str:
        return blake2b(
            repr(
                (self._configuration.charter._replace(seed=0, me=0), self._profile_names)
            ).encode(),
            digest_size=8,
        ).hexdigest()

    def _snapshot(self):
        took, work, carried, usual, rows = self._exchange.remember()
        machines = []
        for at, row in enumerate(rows):
            machines.append(MachineSnapshot(*row))
            if at % 200 == 199:
                yield 0
        memory = Snapshot(
            time.time_ns() // 1000,
            self._configuration.name,
            self._fleet(),
            took,
            work,
            carried,
            usual,
            tuple(machines),
        )
        try:
            yield write(self._own_settings.remember.path, memory)
        except OSError as error:
            note(log, "snapshot not written", logging.WARNING, why=error.strerror)

    def _recall(self, path: str) -> None:
        memory = load(path)
        now = time.time_ns() // 1000
        if memory is None:
            return
        wrong = (
            memory
            if isinstance(memory, UnusableFile)
            else find_mismatch(memory, now, self._configuration.name, self._fleet())
        )
        if wrong is not None:
            note(log, "snapshot not used", logging.WARNING, path=path, why=wrong.why)
            return
        machines = usable_machines(memory, now, self._listed)
        self._exchange.recall(memory, machines)
        note(log, "snapshot used", age_s=round((now - memory.at) / 1e6, 1), machines=len(machines))
