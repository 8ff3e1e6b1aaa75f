"""The stand-ins of a day: machines, machine list and platform in one process, in real time.

Usage: python -m umbermoor.lab.sockets.stand_ins DAY.json EVENTS.json BEGIN

It prints its ports as one line of JSON. When its input ends, it writes its events and exits.
"""

import sys
from collections.abc import Callable
from typing import Any

import msgspec
import orjson
from twisted.internet import reactor as installed_reactor
from twisted.internet import stdio
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from umbermoor.front.interface import Ending, Readiness
from umbermoor.front.server.formats import read_form
from umbermoor.http1.reader import Request
from umbermoor.lab.backend import LIST_SILENT, PLATFORM_SILENT, Backend
from umbermoor.lab.day import SECOND, Day, FaultInjection, micros
from umbermoor.lab.machine import EndedJob, Job, Machine, Reply
from umbermoor.lab.release import ListEntry
from umbermoor.lab.sockets.common import Events, ServerConnection, listen, now
from umbermoor.lab.sockets.front_endpoints import FrontEndpoints
from umbermoor.lab.sockets.h2stand import DualProtocolConnection, Stream

reactor: Any = installed_reactor
COMPLAINT_S = 2.0  # delay until a wrong answer is reported
HEARTBEAT_S = 1.0  # interval of keep-alives on the event streams
DEFAULT_REMAINING_S = "4"  # for a query whose header does not give its remaining time

Responder = ServerConnection | Stream  # receives the reply to a query


class StandIns:
    """Runs the backend in real time and serves the machines' connections.

    Args:
        day: what is played.
        day_start: time of the day's start, in microseconds of `now`.
        events_path: where the events are written at the end.
    """

    def __init__(self, day: Day, day_start: int, events_path: str) -> None:
        self.day, self._events_path = day, events_path
        self.events = Events()
        self.ports: dict[str, int] = {}  # by machine
        self._listening: dict[str, Any] = {}  # by machine
        self._connections: dict[str, list[ServerConnection]] = {}  # by machine
        self._connections_accepted = 0
        self._responders: dict[tuple[str, int], Responder] = {}  # by job
        self._jobs = 0
        self.backend = Backend(day, self, day_start)
        names = [f"n{number}" for number in range(day.front.count)]
        self._endpoints = {name: FrontEndpoints(self, name) for name in names}
        self._has_started = False
        self.backend.start()
        self._has_started = True

    @property
    def now(self) -> int:
        """The present time in microseconds."""
        return now()

    def at(self, when: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call at a time."""
        reactor.callLater(max(0, when - now()) / SECOND, call, *arguments)

    # Notifications of the backend.

    def entry_changed(self, entry: ListEntry) -> None:
        """Listen for a new machine, and send the entry to each front with a delay of its own."""
        if entry.readiness is Readiness.READY and entry.machine not in self._listening:
            self._listen(entry.machine)
        for name, endpoints in self._endpoints.items():
            if not self._has_started:
                endpoints.put(entry)
                continue
            listing = self.day.listing
            part = self.backend.chance.at("spread", name, entry.machine, entry.born)
            spread = round(listing.spread_ms * 1000 * part)
            noticed_at = now() + micros(listing.notice_ms / 1000)
            at = max(noticed_at, self.backend.silent_until[LIST_SILENT]) + spread
            self.at(at, endpoints.put, entry)

    def release_changed(self) -> None:
        """Send the release's state to each front with a delay of its own."""
        changes = len(self.backend.release.history)
        for name, endpoints in self._endpoints.items():
            factor = 0.5 + self.backend.chance.at("told", name, changes)
            notified_at = now() + round(self.day.platform.told_ms * 1000 * factor)
            at = max(notified_at, self.backend.silent_until[PLATFORM_SILENT])
            self.at(at, endpoints.push_stage)

    def machine_down(self, machine: Machine) -> None:
        """Stop listening for a machine and reset its connections."""
        if port := self._listening.pop(machine.id, None):
            port.stopListening()
        for connection in self._connections.pop(machine.id, []):
            connection.abort()

    def inject_front_fault(self, fault: FaultInjection, until: int) -> None:
        """Do nothing: the runner stalls and kills the fronts, which are its processes."""

    def jobs_ended(self, machine: Machine, done: list[EndedJob]) -> None:
        """Reply to the queries whose jobs ended at a machine."""
        for ended in done:
            query = ended.job.key[0]
            if ended.ran:
                self.events.note("ran", query, machine.id)
            responder = self._responders.pop(ended.job.key, None)
            if responder is not None:
                self._reply(responder, machine, ended)

    def go_away(self, machines: list[Machine]) -> None:
        """Close the HTTP/2 connections of machines gracefully.

        Queued requests come after the last stream that GOAWAY names, and never run.
        """
        for machine in machines:
            self.backend.advance(machine)
            waiting = machine.waiting()
            for connection in list(self._connections.get(machine.id, ())):
                if isinstance(connection, DualProtocolConnection):
                    self._go_away(machine, connection, waiting)

    def _go_away(
        self, machine: Machine, connection: DualProtocolConnection, waiting: set[tuple[str, int]]
    ) -> None:
        keys = {
            id(responder): key
            for key, responder in self._responders.items()
            if isinstance(responder, Stream) and responder.connection is connection
        }
        for stream in connection.go_away(lambda stream: keys.get(id(stream)) not in waiting):
            key = keys.get(id(stream))
            if key is not None:
                self._cancel(machine, key)
                self.events.note("outcome", key[0], int(Ending.MOOT))

    # Replies.

    def _reply(self, responder: Responder, machine: Machine, done: EndedJob) -> None:
        query = done.job.key[0]
        match done.reply:
            case Reply.DONE:
                responder.reply(200, b"done " + query.encode())
            case Reply.WRONG:
                responder.reply(200, b"wrong " + query.encode())
                self._complain(machine, done)
            case Reply.ERROR:
                responder.reply(500, b"error")
            case Reply.REJECTED:
                self.events.note("outcome", query, int(Ending.FULL))
                responder.reply(503, b"", {"X-Turned-Away": "1"})
            case Reply.MALFORMED:
                responder.reply_malformed()
            case Reply.RESET:
                responder.abort()

    def _complain(self, machine: Machine, done: EndedJob) -> None:
        """Report a share of the wrong answers to the front that forwarded them."""
        key = done.job.key
        front = key[0].split("-")[0]  # a query's id begins with the front's name
        if front not in self._endpoints:
            return
        if self.backend.chance.at("complaint", *key) >= self.day.platform.complaint_share:
            return
        profile = self.day.profile[done.job.profile].name
        fields = {"InstanceId": machine.id, "Lane": profile, "AgeMs": round(COMPLAINT_S * 1000)}
        reactor.callLater(COMPLAINT_S, self._endpoints[front].push, "flag", fields)

    # Machines' connections.

    def _listen(self, name: str) -> None:
        port = listen(
            reactor,
            lambda responder, request: self._requested(name, responder, request),
            lambda connection: self._connected(name, connection),
            lambda on_request: DualProtocolConnection(
                on_request, lambda stream: self._stream_reset(name, stream)
            ),
        )
        self._listening[name], self.ports[name] = port, port.getHost().port
        self._connections[name] = []

    def _connected(self, name: str, connection: ServerConnection) -> None:
        machine = self.backend.machines[name]
        if name not in self._connections or not machine.connect(now()):
            connection.abort()
            return
        self._connections_accepted += 1
        self._connections[name].append(connection)
        self.backend.wake(machine)
        connection.on_close = lambda: self._closed(machine, connection)

    def _closed(self, machine: Machine, connection: ServerConnection) -> None:
        if connection in self._connections.get(machine.id, ()):
            self._connections[machine.id].remove(connection)
            machine.connections = max(0, machine.connections - 1)
        for key, responder in list(self._responders.items()):
            is_its_stream = isinstance(responder, Stream) and responder.connection is connection
            if responder is connection or is_its_stream:
                self._cancel(machine, key)

    def _stream_reset(self, name: str, stream: Stream) -> None:
        for key, responder in list(self._responders.items()):
            if responder is stream:
                self._cancel(self.backend.machines[name], key)

    def _cancel(self, machine: Machine, key: tuple[str, int]) -> None:
        self._responders.pop(key, None)
        self.backend.advance(machine)
        stopped = machine.cancel(now(), key)
        if stopped is not None and stopped.ran:
            self.events.note("ran", key[0], machine.id)
        self.backend.wake(machine)

    def _requested(self, name: str, responder: Responder, request: Request) -> None:
        query = request.headers.get("x-txn")
        path, _, parameters = request.target.partition("?")
        if query is None or path != "/api":
            responder.reply(404)
            return
        machine = self.backend.machines[name]
        fields = read_form(parameters)
        self._jobs += 1
        due = now() + micros(float(request.headers.get("x-remaining", DEFAULT_REMAINING_S)))
        job = Job((query, self._jobs), int(fields["p"]), float(fields["w"]), due)
        self.events.note("sent", query, name, machine.build)
        self.backend.advance(machine)
        had_collapsed = machine.collapsed
        self._responders[job.key] = responder
        done = machine.offer(now(), job)
        if machine.collapsed and not had_collapsed:
            self.events.note("fell", name)
            self.machine_down(machine)
        if done is not None:
            self.jobs_ended(machine, [done])
        self.backend.wake(machine)

    # The process.

    def push_heartbeats(self) -> None:
        """Send keep-alives on the event streams, periodically."""
        for endpoints in self._endpoints.values():
            endpoints.push_heartbeat()
        reactor.callLater(HEARTBEAT_S, self.push_heartbeats)

    def repeat_stage(self) -> None:
        """Send the state of the release to all fronts, periodically."""
        for endpoints in self._endpoints.values():
            endpoints.push_stage()
        reactor.callLater(self.day.platform.push_s, self.repeat_stage)

    def description(self) -> dict[str, Any]:
        """Return the endpoints and initial state that each front is configured with."""
        return {
            "fronts": {name: endpoints.description() for name, endpoints in self._endpoints.items()}
        }

    def end(self) -> None:
        """Write the events and stop the reactor."""
        self.events.write(
            self._events_path,
            connections=self._connections_accepted,
            stages=[
                [at, state.build, state.stage, state.phase.name.lower(), state.cap]
                for at, state in self.backend.release.history
            ],
            machines={
                name: {
                    "build": machine.build,
                    "group": machine.group.name,
                    "begun": machine.jobs_started,
                    "work_s": round(machine.work_done / SECOND, 3),
                    "fallen": machine.collapsed,
                }
                for name, machine in self.backend.machines.items()
            },
        )
        if reactor.running:
            reactor.stop()


class _StandardInput(Protocol):
    """Ends the stand-ins when the runner closes their input."""

    def __init__(self, stand_ins: StandIns) -> None:
        self._stand_ins = stand_ins

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802 (Twisted's name)
        self._stand_ins.end()


def main(arguments: list[str]) -> int:
    """Run the process; see the module's usage."""
    day_path, events_path, day_start = arguments
    with open(day_path, "rb") as file:
        day = msgspec.json.decode(file.read(), type=Day)
    stand_ins = StandIns(day, int(day_start), events_path)
    reactor.callWhenRunning(stand_ins.push_heartbeats)
    reactor.callWhenRunning(stand_ins.repeat_stage)
    stdio.StandardIO(_StandardInput(stand_ins))
    sys.stdout.buffer.write(orjson.dumps(stand_ins.description()) + b"\n")
    sys.stdout.buffer.flush()
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
