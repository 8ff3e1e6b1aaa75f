"""The machine list and the release platform as one front sees them, on two ports of loopback.

Each front has its own endpoints, because updates reach fronts with different delays. The names on
the wire are fixed by the users' pages and occur only here.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import reactor as installed_reactor

from umbermoor.front.interface import Ending, Phase, Readiness, Verdict
from umbermoor.front.server.formats import read_form, write_form
from umbermoor.http1.reader import Request
from umbermoor.http1.writer import write_response
from umbermoor.lab.backend import LIST_SILENT, PLATFORM_SILENT
from umbermoor.lab.release import ListEntry, MachineList
from umbermoor.lab.sockets.common import LOOPBACK, ServerConnection, listen, now

if TYPE_CHECKING:
    from umbermoor.lab.sockets.stand_ins import StandIns

reactor: Any = installed_reactor
# Microseconds to add to `now` for Unix time, which the list uses.
UNIX_OFFSET = time.time_ns() // 1000 - now()
MAX_LIST_WAIT_MS = 60_000
UNKNOWN_PORT = 1  # port of a machine that never listened
READINESS_NAMES = {
    Readiness.READY: "SERVING",
    Readiness.DRAINING: "DRAINING",
    Readiness.GONE: "DELETED",
}
PHASE_NAMES = {
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
ERROR_CODES = {Ending.FULL: "Throttling", Ending.MOOT: "ConditionFailed"}
EVENT_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class FrontEndpoints:
    """The list and platform endpoints of one front.

    Args:
        stand_ins: the stand-ins whose backend they expose.
        name: the front's name.
    """

    def __init__(self, stand_ins: StandIns, name: str) -> None:
        self.name = name
        self._stand_ins = stand_ins
        self._machine_list = MachineList()  # what this front may see by now
        self._long_polls: list[tuple[ServerConnection, int, Any]] = []  # with version and timer
        self._event_streams: list[ServerConnection] = []
        self._list_port = listen(reactor, self._list_requested)
        self._platform_port = listen(reactor, self._platform_requested)

    def description(self) -> dict[str, Any]:
        """Return the ports, list and release state that the front is configured with."""
        return {
            "discovery": self._list_port.getHost().port,
            "platform": self._platform_port.getHost().port,
            "known": self._list_body(True, list(self._machine_list.entries.values())),
            "news": self._stage_fields(),
        }

    # The machine list.

    def put(self, entry: ListEntry) -> None:
        """Change the list and answer the long polls that wait for a change."""
        self._machine_list.put(entry)
        long_polls, self._long_polls = self._long_polls, []
        for connection, version, timer in long_polls:
            timer.cancel()
            self._write_list(connection, version)

    def _list_requested(self, connection: ServerConnection, request: Request) -> None:
        path, _, query = request.target.partition("?")
        if path != "/discovery/hosts" or self._stand_ins.backend.is_silent(LIST_SILENT):
            return
        fields = read_form(query)
        version, wait_ms = int(fields.get("after", -1)), int(fields.get("wait_ms", 0))
        is_current = version >= 0 and self._machine_list.since(version) == []
        if not is_current or not wait_ms:
            self._write_list(connection, version)
            return
        wait_s = min(MAX_LIST_WAIT_MS, wait_ms) / 1000
        timer = reactor.callLater(wait_s, self._end_long_poll, connection, version)
        self._long_polls.append((connection, version, timer))

    def _end_long_poll(self, connection: ServerConnection, version: int) -> None:
        self._long_polls = [poll for poll in self._long_polls if poll[0] is not connection]
        self._write_list(connection, version)

    def _write_list(self, connection: ServerConnection, version: int) -> None:
        changes = self._machine_list.since(version) if version >= 0 else None
        is_whole = changes is None
        entries = list(self._machine_list.entries.values()) if changes is None else changes
        for entry in entries:
            readiness = int(entry.readiness)
            self._stand_ins.events.note("told_list", self.name, entry.machine, readiness)
        connection.write(write_response(200, orjson.dumps(self._list_body(is_whole, entries))))

    def _list_body(self, is_whole: bool, entries: list[ListEntry]) -> dict[str, Any]:
        hosts = [self._host_fields(entry) for entry in entries]
        return {"seq": self._machine_list.version, "whole": is_whole, "hosts": hosts}

    def _host_fields(self, entry: ListEntry) -> dict[str, Any]:
        port = self._stand_ins.ports.get(entry.machine, UNKNOWN_PORT)
        return {
            "host": entry.machine,
            "dial": f"{LOOPBACK}:{port}",
            "site": "a",
            "class": "m",
            "block": 1,
            "health": READINESS_NAMES[entry.readiness],
            "share": 1.0,
            "born_ms": round((entry.born + UNIX_OFFSET) / 1000) if entry.born else 0,
            "build": entry.build,
        }

    # The platform.

    def push_stage(self) -> None:
        """Send the state of the release on the event streams."""
        if not self._stand_ins.backend.is_silent(PLATFORM_SILENT) and self._event_streams:
            self._note_stage()
            self.push("stage", self._stage_fields())

    def push(self, event: str, fields: dict[str, Any]) -> None:
        """Send an event on the event streams."""
        self._write_chunk(f"event: {event}\ndata: {write_form(fields).decode()}\n\n".encode())

    def push_heartbeat(self) -> None:
        """Send a comment on the event streams as a keep-alive."""
        if not self._stand_ins.backend.is_silent(PLATFORM_SILENT):
            self._write_chunk(b":\n")

    def _write_chunk(self, chunk: bytes) -> None:
        for connection in self._event_streams:
            connection.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))

    def _stage_fields(self) -> dict[str, Any]:
        state = self._stand_ins.backend.release.state
        return {
            "Revision": state.build,
            "Wave": state.stage,
            "State": PHASE_NAMES[state.phase],
            "MaxShare": state.cap,
            "AgeMs": max(0, (now() - state.since) // 1000),
        }

    def _note_stage(self) -> None:
        build, stage, phase, cap, _ = self._stand_ins.backend.release.state
        self._stand_ins.events.note("told_stage", self.name, build, stage, int(phase), cap)

    def _platform_requested(self, connection: ServerConnection, request: Request) -> None:
        if request.target == "/v1/bulletin":
            connection.write(EVENT_STREAM_HEAD)
            self._event_streams.append(connection)
            connection.on_close = lambda: self._event_streams.remove(connection)
            self.push_stage()
        elif not self._stand_ins.backend.is_silent(PLATFORM_SILENT):
            self._vote(connection, request)

    def _vote(self, connection: ServerConnection, request: Request) -> None:
        form = read_form(request.body.decode("latin-1"))
        try:
            build, stage = int(form["Revision"]), int(form["Wave"])
            verdict = VERDICTS[form["Decision"]]
        except (KeyError, ValueError):
            connection.write(_error("ValidationError"))
            return
        ending = self._stand_ins.backend.vote(self.name, build, stage, verdict)
        if ending is not Ending.OK:
            connection.write(_error(ERROR_CODES[ending]))
            return
        self._note_stage()
        fields = self._stage_fields().items()
        item = "".join(f"<{name}>{value}</{name}>" for name, value in fields)
        body = f'<?xml version="1.0"?><Response><results><item>{item}</item></results></Response>'
        connection.write(write_response(200, body.encode()))


def _error(code: str) -> bytes:
    return write_response(400, f"<Error><Code>{code}</Code></Error>".encode())
