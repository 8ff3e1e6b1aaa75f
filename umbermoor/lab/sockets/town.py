"""The stand-ins: machines, list and platform of a day, in one process, in real time.

Usage: python -m umbermoor.lab.sockets.town DAY.json EVENTS.json BEGIN

It prints its ports as one line of JSON, and ends, with its events written, when its input does.
"""

import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec
import orjson
from twisted.internet import reactor, stdio
from twisted.internet.protocol import Protocol

from umbermoor.front.interface import Ending, Phase, Readiness, Verdict
from umbermoor.front.server.formats import read_form, write_form
from umbermoor.http1.reader import Request
from umbermoor.http1.writer import write_response
from umbermoor.lab.backend import Backend
from umbermoor.lab.day import Day, FaultInjection, micros
from umbermoor.lab.machine import Done, Job, Machine, Reply
from umbermoor.lab.release import ListEntry, MachineList
from umbermoor.lab.sockets.common import LOOPBACK, Events, Served, listen, now
from umbermoor.lab.sockets.h2stand import Either, Stream

UNIX = time.time_ns() // 1000 - now()  # what makes this clock that of the list
STATES = {Readiness.READY: "SERVING", Readiness.DRAINING: "DRAINING", Readiness.GONE: "DELETED"}
PHASES = {
    Phase.TRIAL: "trial",
    Phase.GOING_BACK: "rolling_back",
    Phase.RELEASED: "released",
    Phase.WITHDRAWN: "withdrawn",
}
VERDICTS = {
    "WITHDRAW": Verdict.NONE,
    "PROCEED": Verdict.ON,
    "HOLD": Verdict.HOLD,
    "ROLLBACK": Verdict.BACK,
}
ERRORS = {Ending.FULL: "Throttling", Ending.MOOT: "ConditionFailed"}
COMPLAINT_S = 2.0


class View:
    """The list as one front is told it, and the platform as it speaks to that front."""

    def __init__(self, town: "Town", name: str) -> None:
        self.town, self.name, self.machine_list = town, name, MachineList()
        self._watchers: list[tuple[Served, int, Any]] = []
        self.streams: list[Served] = []
        self.list_port = listen(reactor, self._list_asked)
        self.platform_port = listen(reactor, self._platform_asked)

    def put(self, row: ListEntry) -> None:
        self.machine_list.put(row)
        watchers, self._watchers = self._watchers, []
        for served, after, timer in watchers:
            timer.cancel()
            self._answer(served, after)

    def _list_asked(self, served: Served, request: Request) -> None:
        path, _, query = request.target.partition("?")
        if path != "/discovery/hosts" or self.town.silent("list-silent"):
            return
        asked = read_form(query)
        after, wait = int(asked.get("after", -1)), int(asked.get("wait_ms", 0))
        if (
            after < 0
            or not wait
            or self.machine_list.since(after) is None
            or self.machine_list.since(after)
        ):
            self._answer(served, after)
        else:
            timer = reactor.callLater(min(60_000, wait) / 1000, self._waited, served, after)
            self._watchers.append((served, after, timer))

    def _waited(self, served: Served, after: int) -> None:
        self._watchers = [one for one in self._watchers if one[0] is not served]
        self._answer(served, after)

    def _answer(self, served: Served, after: int) -> None:
        changed = self.machine_list.since(after) if after >= 0 else None
        rows = list(self.machine_list.entries.values()) if changed is None else changed
        for row in rows:
            self.town.events.note("told_list", self.name, row.machine, int(row.readiness))
        served.write(
            write_response(
                200,
                orjson.dumps(
                    {
                        "seq": self.machine_list.version,
                        "whole": changed is None,
                        "hosts": [self._host(row) for row in rows],
                    }
                ),
            )
        )

    def _host(self, row: ListEntry) -> dict[str, Any]:
        born = round((row.born + UNIX) / 1000) if row.born else 0
        return {
            "host": row.machine,
            "dial": f"{LOOPBACK}:{self.town.ports.get(row.machine, 1)}",
            "site": "a",
            "class": "m",
            "block": 1,
            "health": STATES[row.readiness],
            "share": 1.0,
            "born_ms": born,
            "build": row.build,
        }

    def known(self) -> dict[str, Any]:
        return {
            "seq": self.machine_list.version,
            "whole": True,
            "hosts": [self._host(row) for row in self.machine_list.entries.values()],
        }

    def stage(self) -> dict[str, Any]:
        one = self.town.backend.release.state
        return {
            "Revision": one.build,
            "Wave": one.stage,
            "State": PHASES[one.phase],
            "MaxShare": one.cap,
            "AgeMs": max(0, (now() - one.since) // 1000),
        }

    def _note_stage(self) -> None:
        one = self.town.backend.release.state
        self.town.events.note(
            "told_stage", self.name, one.build, one.stage, int(one.phase), one.cap
        )

    def tell_stage(self) -> None:
        if not self.town.silent("platform-silent") and self.streams:
            self._note_stage()
            self.tell("stage", self.stage())

    def tell(self, kind: str, values: dict[str, Any]) -> None:
        piece = f"event: {kind}\ndata: {write_form(values).decode()}\n\n".encode()
        self._piece(piece)

    def alive(self) -> None:
        if not self.town.silent("platform-silent"):
            self._piece(b":\n")

    def _piece(self, piece: bytes) -> None:
        for one in self.streams:
            one.write(b"%x\r\n%s\r\n" % (len(piece), piece))

    def _platform_asked(self, served: Served, request: Request) -> None:
        if request.target == "/v1/bulletin":
            served.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self.streams.append(served)
            served.on_close = lambda: self.streams.remove(served)
            self.tell_stage()
            return
        if self.town.silent("platform-silent"):
            return
        form = read_form(request.body.decode("latin-1"))
        try:
            build, stage, verdict = (
                int(form["Revision"]),
                int(form["Wave"]),
                VERDICTS[form["Decision"]],
            )
        except (KeyError, ValueError):
            served.write(_error("ValidationError"))
            return
        ending = self.town.backend.vote(self.name, build, stage, verdict)
        if ending is not Ending.OK:
            served.write(_error(ERRORS[ending]))
            return
        self._note_stage()
        inner = "".join(f"<{name}>{value}</{name}>" for name, value in self.stage().items())
        served.write(
            write_response(
                200,
                f'<?xml version="1.0"?><Response><results><item>{inner}</item></results>'
                f"</Response>".encode(),
            )
        )


def _error(code: str) -> bytes:
    return write_response(400, f"<Error><Code>{code}</Code></Error>".encode())


class Town:
    """The host of the site in real time."""

    def __init__(self, day: Day, begin: int, path: str) -> None:
        self.day, self._path, self.events = day, path, Events()
        self.ports: dict[str, int] = {}
        self._listening: dict[str, Any] = {}
        self._lines: dict[str, list[Served]] = {}
        self._waiting: dict[tuple[str, int], Served] = {}
        self._serial = self.connections = 0
        self._views: dict[str, View] = {}
        self._early = True
        self.backend = Backend(day, self, begin)
        self._views = {f"n{at}": View(self, f"n{at}") for at in range(day.front.count)}
        self.backend.start()
        self._early = False

    @property
    def now(self) -> int:
        return now()

    def at(self, when: int, call: Callable, *words: Any) -> None:
        reactor.callLater(max(0, when - now()) / 1e6, call, *words)

    def silent(self, what: str) -> bool:
        return self.backend.is_silent(what)

    # What the site tells.

    def listed(self, row: ListEntry) -> None:
        if row.readiness is Readiness.READY and row.machine not in self._listening:
            port = listen(
                reactor,
                lambda served, request: self._asked(row.machine, served, request),
                lambda served: self._connected(row.machine, served),
                lambda told: Either(told, lambda stream: self._called_off(row.machine, stream)),
            )
            self._listening[row.machine], self.ports[row.machine] = port, port.getHost().port
            self._lines[row.machine] = []
        if self._early:
            for view in self._views.values():
                view.machine_list.put(row)
            return
        notice = micros(self.day.listing.notice_ms / 1000)
        for view in self._views.values():
            spread = (
                self.day.listing.spread_ms
                * 1000
                * self.backend.chance.at("spread", view.name, row.machine, row.born)
            )
            self.at(
                max(now() + notice, self.backend.silent_until["list-silent"]) + round(spread),
                view.put,
                row,
            )

    def moved(self) -> None:
        for view in self._views.values():
            wait = (
                self.day.platform.told_ms
                * 1000
                * (
                    0.5
                    + self.backend.chance.at("told", view.name, len(self.backend.release.history))
                )
            )
            self.at(
                max(now() + round(wait), self.backend.silent_until["platform-silent"]),
                view.tell_stage,
            )

    def gone(self, machine: Machine) -> None:
        if port := self._listening.pop(machine.id, None):
            port.stopListening()
        for line in self._lines.pop(machine.id, []):
            line.abort()

    def strike_fronts(self, fault: FaultInjection, until: int) -> None:
        """The runner does that."""

    def settled(self, machine: Machine, done: list[Done]) -> None:
        for one in done:
            if one.ran:
                self.events.note("ran", one.job.key[0], machine.id)
            served = self._waiting.pop(one.job.key, None)
            if served is not None:
                self._reply(served, machine, one)

    def _reply(self, served: Served, machine: Machine, one: Done) -> None:
        query = one.job.key[0].encode()
        match one.reply:
            case Reply.DONE:
                served.reply(200, b"done " + query)
            case Reply.WRONG:
                served.reply(200, b"wrong " + query)
                self._complain(machine, one)
            case Reply.ERROR:
                served.reply(500, b"error")
            case Reply.REJECTED:
                self.events.note("outcome", one.job.key[0], int(Ending.FULL))
                served.reply(503, b"", {"X-Turned-Away": "1"})
            case Reply.MALFORMED:
                served.spoil()
            case Reply.RESET:
                served.abort()

    def _complain(self, machine: Machine, one: Done) -> None:
        """To the front that passed it on; which one that was, the query's id tells."""
        front = one.job.key[0].split("-")[0]
        if (
            front in self._views
            and self.backend.chance.at("complaint", *one.job.key)
            < self.day.platform.complaint_share
        ):
            lane = self.day.profile[one.job.profile].name
            reactor.callLater(
                COMPLAINT_S,
                self._views[front].tell,
                "flag",
                {"InstanceId": machine.id, "Lane": lane, "AgeMs": round(COMPLAINT_S * 1000)},
            )

    # Machines' connections.

    def _connected(self, name: str, served: Served) -> None:
        machine = self.backend.machines[name]
        if name not in self._lines or not machine.connect(now()):
            served.abort()
            return
        self.connections += 1
        self._lines[name].append(served)
        self.backend.wake(machine)
        served.on_close = lambda: self._closed(name, machine, served)

    def _closed(self, name: str, machine: Machine, served: Served) -> None:
        if served in self._lines.get(name, ()):
            self._lines[name].remove(served)
            machine.connections = max(0, machine.connections - 1)
        for key in [
            key for key, one in self._waiting.items() if served in (one, getattr(one, "line", None))
        ]:
            self._stop(name, machine, key)

    def _called_off(self, name: str, stream: Stream) -> None:
        machine = self.backend.machines[name]
        for key in [key for key, one in self._waiting.items() if one is stream]:
            self._stop(name, machine, key)

    def _stop(self, name: str, machine: Machine, key: tuple[str, int]) -> bool:
        """Whether it had not run and never will."""
        self._waiting.pop(key, None)
        self.backend.advance(machine)
        stopped = machine.stop(now(), key)
        if stopped is not None and stopped.ran:
            self.events.note("ran", key[0], name)
        self.backend.wake(machine)
        return stopped is not None and not stopped.ran

    def go_away(self, machines: list[Machine]) -> None:
        """Their HTTP/2 connections end in order: what only waits there is left out, and never
        runs."""
        for machine in machines:
            self.backend.advance(machine)
            waiting = machine.waiting()
            for line in list(self._lines.get(machine.id, ())):
                keys = {
                    id(one): key
                    for key, one in self._waiting.items()
                    if getattr(one, "line", None) is line
                }
                for stream in line.go_away(
                    lambda one, keys=keys, held=waiting: keys.get(id(one)) not in held
                ):
                    key = keys.get(id(stream))
                    if key is not None:
                        self._stop(machine.id, machine, key)
                        self.events.note("outcome", key[0], int(Ending.MOOT))

    def _asked(self, name: str, served: Served, request: Request) -> None:
        query = request.headers.get("x-txn")
        path, _, words = request.target.partition("?")
        if query is None or path != "/api":
            served.reply(404)
            return
        machine = self.backend.machines[name]
        given = read_form(words)
        self._serial += 1
        due = now() + micros(float(request.headers.get("x-remaining", "4")))
        job = Job((query, self._serial), int(given["p"]), float(given["w"]), due)
        self.events.note("sent", query, name, machine.build)
        self.backend.advance(machine)
        fell = machine.collapsed
        self._waiting[job.key] = served
        done = machine.offer(now(), job)
        if machine.collapsed and not fell:
            self.events.note("fell", name)
            self.gone(machine)
        if done is not None:
            self.settled(machine, [done])
        self.backend.wake(machine)

    # The whole.

    def beat(self) -> None:
        for view in self._views.values():
            view.alive()
        reactor.callLater(1.0, self.beat)

    def push(self) -> None:
        for view in self._views.values():
            view.tell_stage()
        reactor.callLater(self.day.platform.push_s, self.push)

    def ports_line(self) -> bytes:
        return (
            orjson.dumps(
                {
                    "fronts": {
                        view.name: {
                            "discovery": view.list_port.getHost().port,
                            "platform": view.platform_port.getHost().port,
                            "known": view.known(),
                            "news": view.stage(),
                        }
                        for view in self._views.values()
                    }
                }
            )
            + b"\n"
        )

    def end(self) -> None:
        release = self.backend.release
        self.events.write(
            self._path,
            connections=self.connections,
            stages=[
                [at, one.build, one.stage, one.phase.name.lower(), one.cap]
                for at, one in release.history
            ],
            machines={
                name: {
                    "build": one.build,
                    "group": one.group.name,
                    "begun": one.jobs_started,
                    "work_s": round(one.work_done / 1e6, 3),
                    "fallen": one.collapsed,
                }
                for name, one in self.backend.machines.items()
            },
        )
        if reactor.running:
            reactor.stop()


class _Input(Protocol):
    def __init__(self, town: Town) -> None:
        self._town = town

    def connectionLost(self, reason) -> None:
        self._town.end()


def main(words: list[str]) -> int:
    path, events, begin = words
    with open(path, "rb") as file:
        day = msgspec.json.decode(file.read(), type=Day)
    town = Town(day, int(begin), events)
    reactor.callWhenRunning(town.beat)
    reactor.callWhenRunning(town.push)
    stdio.StandardIO(_Input(town))
    sys.stdout.buffer.write(town.ports_line())
    sys.stdout.buffer.flush()
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
