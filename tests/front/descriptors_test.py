"""A front with few descriptors, on loopback: every accepted client gets an answer, even if a
reactor turn takes long."""

import os
import resource
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from tests.front.leaving_test import Pipe
from tests.front.memory_network import GIVEN
from umbermoor.front.server.clients import REQUEST_TIMEOUT, UNREAD_GRACE, Clients
from umbermoor.front.server.descriptor_budget import Budget
from umbermoor.http1.buffers import Buffers

ASK = b"GET /up HTTP/1.1\r\nHost: n1\r\n\r\n"
FEW = 48


def _free() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


@contextmanager
def front(tmp_path) -> Iterator[tuple[int, subprocess.Popen]]:
    """Run a front until it is up; its RLIMIT_NOFILE equals the sockets of its configuration."""
    ports = [_free() for _ in range(3)]
    given = {
        **GIVEN,
        "listen": f"127.0.0.1:{ports[0]}",
        "discovery": f"127.0.0.1:{ports[1]}",
        "limits": {"sockets": FEW},
        "release_api": {**GIVEN["release_api"], "address": f"127.0.0.1:{ports[2]}"},
    }
    path = tmp_path / "front.json"
    path.write_bytes(orjson.dumps(given))
    made = subprocess.Popen(
        [sys.executable, "-m", "umbermoor", "serve", "--config", str(path)],
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (FEW, FEW)),
    )
    try:
        until = time.monotonic() + 20
        while b"200" not in _asked(ports[0]):
            assert time.monotonic() < until
            time.sleep(0.05)
        yield ports[0], made
    finally:
        made.kill()
        made.wait()


def _asked(port: int) -> bytes:
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as one:
            one.sendall(ASK)
            return one.recv(200)
    except OSError:
        return b""


def _called(port: int) -> socket.socket:
    one = socket.create_connection(("127.0.0.1", port), 5)
    one.sendall(ASK)
    return one


def _ends(callers: list[socket.socket], seconds: float) -> list[bytes]:
    """Return the first bytes each caller receives; empty if it was closed before any."""
    said: dict[socket.socket, bytes] = {}
    until = time.monotonic() + seconds
    while len(said) < len(callers) and time.monotonic() < until:
        for one in select.select([one for one in callers if one not in said], [], [], 0.1)[0]:
            try:
                said[one] = one.recv(200)
            except OSError:
                said[one] = b""
            one.close()
    return list(said.values())


def test_burst_waiting_for_a_busy_front_does_not_exhaust_descriptors(tmp_path) -> None:
    """Twisted accepts up to a hundred connections in one turn. Without a limit, the last of a burst
    exceeded the descriptors and were closed unanswered, although their requests had arrived."""
    with front(tmp_path) as (port, made):
        os.kill(made.pid, signal.SIGSTOP)
        callers = [_called(port) for _ in range(120)]
        os.kill(made.pid, signal.SIGCONT)
        said = _ends(callers, 30)
    assert len(said) == 120 and all(one.startswith(b"HTTP/1.1 ") for one in said), said.count(b"")


def test_connection_with_an_unread_request_is_not_closed_as_idle(tmp_path) -> None:
    """In a long reactor turn, a connection with an unread request looks idle and was closed in
    favour of a new one."""
    with front(tmp_path) as (port, made):
        kept = _called(port)
        assert kept.recv(200).startswith(b"HTTP/1.1 200")
        callers = []
        for more in 12, 8:  # the second time, as many as the first time are accepted in one turn
            os.kill(made.pid, signal.SIGSTOP)
            new = [_called(port) for _ in range(more)]
            if callers:
                kept.sendall(ASK)
            os.kill(made.pid, signal.SIGCONT)
            if not callers:
                assert all(one.recv(200) for one in new)
            callers += new
        said = _ends([kept], 10)
        for one in callers:
            one.close()
    assert said and said[0].startswith(b"HTTP/1.1 "), said


class Unread(Pipe):
    """A connection with unread bytes in the kernel."""

    def getHandle(self) -> "Unread":
        return self

    def recv(self, size: int, flags: int) -> bytes:
        return ASK[:size]

    def loseConnection(self) -> None:
        self.aborted = True


def test_request_that_arrived_in_time_is_answered_after_a_long_turn() -> None:
    """After a long turn, the timeout of a request fires before its bytes are read, although they
    arrived in time. It is extended once, so a client that sends endlessly is still closed."""
    reactor = MemoryReactorClock()
    clients = Clients(
        reactor,
        lambda: round(reactor.seconds() * 1e6),
        Buffers(64 << 20),
        Budget(200),
        {},
        [],
        lambda _query: Deferred(),
    )
    pipes = [Unread() for _ in range(2)]
    made = [clients.buildProtocol(None) for _ in pipes]
    for client, pipe in zip(made, pipes):
        client.makeConnection(pipe)
    reactor.advance(REQUEST_TIMEOUT)
    assert not any(pipe.aborted for pipe in pipes)
    made[0].dataReceived(ASK)
    reactor.advance(UNREAD_GRACE)
    answered, endless = pipes
    assert answered.value().startswith(b"HTTP/1.1 ") and not answered.aborted and endless.aborted
