"""Support for scenarios beyond the decision module: parsers fed in every split, and a complete
front with in-memory peers.

Lines of a network scenario read ``time party what``; parties are clients (c1, c2 ...), machines by
their ids, ``discovery``, ``stream`` and ``vote``. What the front does is noted as ``party what``.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterator

from twisted.internet.error import (
    CannotListenError,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from umbermoor.front.configuration import ConfigurationError, check_configuration
from umbermoor.front.facade import Complaint, Probe, Probed, Tally
from umbermoor.front.server.connections import Connection
from umbermoor.front.server.formats import Element, EventStream, read_form, read_xml, write_form
from umbermoor.front.server.outcomes import shown
from umbermoor.front.server.service import Service
from umbermoor.http1.buffers import BUFFER_BYTES, BUFFERS_MEMORY_DIVISOR, Buffers
from umbermoor.http1.reader import BodyPart, Reader
from umbermoor.http1.writer import write_request, write_response
from umbermoor.logs import EventRateFilter, KeyValueFormatter

GIVEN = {
    "name": "n1",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "2a",
    "limits": {"sockets": 200},
    "release_api": {
        "address": "127.0.0.1:6400",
        "news": {"Revision": 1, "Wave": 1, "State": "released", "MaxShare": 1.0, "AgeMs": 0},
    },
    "settings": {
        "request_classes": [
            {"name": "look", "aim_ms": 1000, "give_up_ms": 4000, "repeat": "repeatable"},
            {"name": "book", "aim_ms": 1200, "give_up_ms": 4000, "repeat": "once"},
        ],
        "load_info": {"fields": ["inflight"], "how": "probe"},
        "limits": {
            "try_limit": 5,
            "connect_timeout_ms": 250,
            "idle_close_ms": 30000,
            "cancelling": True,
            "parallel_tries": True,
            "retry_after": True,
            "max_retry_after_ms": 500,
        },
        "rules": {
            "stop_sending_within_ms": 1000,
            "cold_from": 0.33,
            "warm_within_ms": 4400,
            "overload_factor": 2.5,
            "fall_ms": 3000,
        },
        "domain": {
            "gate_mode": "any",
            "to_advance": 1,
            "back_votes": 1,
            "vote_life_ms": 10000,
            "vote_wait_ms": 1200,
            "least_stage_ms": 3000,
            "stage_cap": [0.5, 1.0],
            "guarded_stages": 1,
            "spare_tries": 1.0,
        },
    },
}


MEMORY = 64 * 2**20
FAULTS: list[str] = []  # errors that the front has logged


class _Faults(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        FAULTS.append(KeyValueFormatter().format(record))


logging.getLogger("umbermoor").addHandler(_Faults(logging.ERROR))
logging.getLogger("umbermoor").propagate = False


def plain(text: str) -> bytes:
    return text.encode().decode("unicode_escape").encode("latin-1")


def splits(data: bytes) -> Iterator[list[bytes]]:
    yield [data]
    yield [data[at : at + 1] for at in range(len(data))]
    for at in range(1, len(data)):
        yield [data[:at], data[at:]]


def every_split(data: bytes, read: Callable[[list[bytes]], list[str]]) -> list[str]:
    whole, *others = (read(parts) for parts in splits(data))
    assert all(other == whole for other in others), f"splits differ: {whole} {others}"
    return whole


def messages(text: str, responses: bool = False, stream_body: bool = False) -> list[str]:
    def read(parts: list[bytes]) -> list[str]:
        buffers = Buffers(MEMORY)
        reader = Reader(buffers, responses, stream_body)
        found = [one for part in parts for one in reader.feed(part)]
        assert buffers.in_use * BUFFER_BYTES < reader._received.size + 2 * BUFFER_BYTES and (
            buffers.in_use == 0 or reader.mid_message
        )
        found += [one for one in [reader.end()] if one]
        reader.drop()
        assert buffers.in_use == 0
        if stream_body:
            return [b"".join(one.data for one in found if isinstance(one, BodyPart)).decode()]
        return [" ".join(str(part) for part in one) for one in found]

    return every_split(plain(text), read)


def events(text: str) -> list[str]:
    def read(parts: list[bytes]) -> list[str]:
        stream = EventStream()
        return [f"{one.kind} {one.data}" for part in parts for one in stream.feed(part)]

    return every_split(plain(text), read)


def _shown(element: Element) -> str:
    return f"{element.name}({element.text}{' '.join(map(_shown, element.inner))})"


def xml(text: str) -> list[str]:
    element = read_xml(plain(text))
    return [_shown(element) if element else "none"]


def configuration(text: str) -> list[str]:
    """Check the configuration with the value at a path replaced, or removed if none is given."""
    path, _, value = text.partition(" ")
    *parents, last = path.split(".")

    def changed(given: dict, parents: list[str]) -> dict:
        if parents:
            return {**given, parents[0]: changed(given[parents[0]], parents[1:])}
        return {
            key: one
            for key, one in {**given, last: eval(value or "None")}.items()
            if one is not None
        }

    try:
        return [f"ok {check_configuration(changed(GIVEN, parents)).name}"]
    except ConfigurationError as fault:
        return [str(fault)]


def spent(text: str) -> list[str]:
    """Feed the same part of a message to three connections, with buffers for two; then drop the
    first and feed a fourth."""
    buffers = Buffers(2 * BUFFER_BYTES * BUFFERS_MEMORY_DIVISOR)
    readers = [Reader(buffers) for _ in range(4)]
    said = [readers[at].feed(plain(text)) for at in range(3)]
    readers[0].drop()
    return [
        str(found[0].status) if found else "held" for found in [*said, readers[3].feed(plain(text))]
    ]


def answers(text: str) -> list[str]:
    """Send two requests on one connection, the second as soon as the first has settled, if the
    connection is reusable by then."""
    connection, got = Connection(Buffers(MEMORY)), []

    def ask(settled: Callable[[object], None]) -> None:
        if connection.reusable:
            connection.ask(b"GET").addCallback(
                lambda outcome: (got.append(shown(outcome)), settled(outcome))
            )
            connection.resumeProducing()
            connection.resumeProducing()

    transport = StringTransport()
    transport.setTcpNoDelay = lambda on: None
    connection.makeConnection(transport)
    ask(lambda _: ask(lambda _: None))
    for word, reason in ((" END", ConnectionDone), (" BREAK", ConnectionLost)):
        if text.endswith(word):
            connection.dataReceived(plain(text.removesuffix(word)) + b" ")
            connection.connectionLost(Failure(reason()))
            return got
    connection.dataReceived(plain(text))
    return [*got, "kept" if connection.open else "closed"]


def logged(text: str) -> list[str]:
    """Log each text so many times in one second, the last one in the next second; return what
    passes the filter."""
    rate_filter, passed = EventRateFilter(), Counter()
    words = text.split()
    for place, (count, what) in enumerate(zip(words[::2], words[1::2])):
        for _ in range(int(count)):
            record = logging.LogRecord("", logging.INFO, "", 0, what, (), None)
            record.created = 1000.0 + (place == len(words) // 2 - 1)
            if rate_filter.filter(record):
                passed[
                    " ".join(
                        [
                            what,
                            *(
                                f"{key}={value}"
                                for key, value in getattr(record, "fields", {}).items()
                            ),
                        ]
                    )
                ] += 1
    return [f"{count} {what}" for what, count in passed.items()]


READS: dict[str, Callable[[str], list[str]]] = {
    "request": messages,
    "response": lambda text: messages(text, True),
    "events": events,
    "xml": xml,
    "pieces": lambda text: messages(text, True, True),
    "form": lambda text: [str(read_form(text))],
    "answers": answers,
    "spent": spent,
    "logged": logged,
    "written": lambda text: [write_form(read_form(text)).decode()],
    "given": configuration,
}


class Pipe:
    """The front's end of a connection. It reports everything as written at once, or, for slow
    parties, holds back the rest of a request until `flush`."""

    def __init__(self, network: "MemoryNetwork", party: str, protocol) -> None:
        self.network, self.party, self.protocol, self.producer, self.gone = (
            network,
            party,
            protocol,
            None,
            False,
        )
        self.unflushed = False
        protocol.makeConnection(self)

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def registerProducer(self, producer, streaming: bool) -> None:
        if streaming:  # a push producer, paused by the verb 'full'
            self.push_producer = producer
            return
        self.producer, self.unflushed = producer, self.party in self.network.slow
        producer.resumeProducing()
        if not self.unflushed:
            self.flush()

    def flush(self) -> None:
        self.unflushed = False
        if self.producer:
            self.producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def write(self, data: bytes) -> None:
        assert not self.gone
        self.network.wrote(self.party, data)

    def receive(self, data: bytes) -> None:
        if not self.gone:
            self.protocol.dataReceived(data)

    def end(self) -> None:
        if not self.gone:
            self.gone = True
            self.network.pipes.get(self.party, []).remove(self)
            self.protocol.connectionLost(Failure(ConnectionDone()))

    def abortConnection(self) -> None:
        self.network.note(f"{self.party} closed")
        self.network.reactor.callLater(0, self.end)

    loseConnection = loseWriteConnection = abortConnection


class MemoryNetwork:
    def __init__(self, wants: str) -> None:
        self.reactor, self.made = MemoryReactorClock(), []
        self.pipes: dict[str, list[Pipe]] = {}
        self.waiting: dict[str, list] = {}  # connections not established yet
        self.slow: set[str] = set()  # parties to which the last byte is not written at once
        self.ports: dict[int, str] = {8500: "discovery", 8501: "discovery2", 6401: "stream2"}
        self.clients_seen = 0
        self.broken = False  # the scenario injects faults, so errors are expected
        given = dict(GIVEN)
        if "sockets" in wants:
            given["limits"] = {"sockets": 40}
        if "busy" in wants:
            self.reactor.listenTCP = self.refuse_to_listen
        self.given = given
        self.service = Service(
            self.reactor,
            check_configuration(given),
            lambda: round(self.reactor.seconds() * 1e6) + 10**9,
        )
        self.reactor.stop = lambda: self.note("exit")
        report = self.service._exchange._decision_module.report

        def heard(what) -> list:
            if isinstance(what, Probed | Tally | Complaint):
                values = (str(getattr(value, "name", value)) for value in what)
                self.note(" ".join([type(what).__name__, *values]).lower())
            return report(what)

        self.service._exchange._decision_module.report = heard
        self.service.start()
        if self.service.status:
            return
        self.service._port.doRead = self.service._port.stopReading = (
            self.service._port.startReading
        ) = lambda: None
        self.look()

    def note(self, text: str) -> None:
        self.made.append(text)

    def wrote(self, party: str, data: bytes) -> None:
        if party.startswith("c"):
            responses = Reader(Buffers(MEMORY), responses=True).feed(data)
            for one in responses:
                advice = one.headers.get("retry-after", "")
                self.note(
                    " ".join(
                        filter(
                            None,
                            [
                                party,
                                str(one.status),
                                one.body.decode(),
                                advice,
                                "" if one.keep_alive else "last",
                            ],
                        )
                    )
                )
        else:
            first, _, rest = data.decode().partition(" HTTP/1.1\r\n")
            head, _, body = rest.partition("\r\n\r\n")
            txn = [line[7:] for line in head.split("\r\n") if line.startswith("X-Txn: ")]
            self.note(" ".join([party, first, *txn, body]).strip())

    def look(self) -> None:
        """Register the connections that the front has begun to open."""
        for _, port, factory, within, _ in self.reactor.tcpClients[self.clients_seen :]:
            party = self.ports.get(port) or ("vote" if self.pipes.get("stream") else "stream")
            self.clients_seen += 1
            self.waiting.setdefault(party, []).append(factory)
            self.reactor.callLater(within, self.refuse, party, factory)
            if party in ("discovery", "stream", "vote"):  # for others, the scenario decides
                self.act(party, "accept", "")
            else:
                self.note(f"{party} connects")

    def line(self, at: int, words: str) -> None:
        self.made.clear()
        FAULTS.clear()
        while (gap := at / 1000 - self.reactor.seconds()) > 0:
            self.reactor.advance(min(gap, 0.01))
            self.look()
        party, _, rest = words.partition(" ")
        verb, _, rest = rest.partition(" ")
        self.act(party, verb, rest)
        self.reactor.advance(0)
        self.look()
        self.made.extend(f"lost {one}" for one in self.service._exchange._loss_logged_at)
        assert party == "fault" or self.broken or not FAULTS, FAULTS

    def act(self, party: str, verb: str, rest: str) -> None:
        pipes = self.pipes.setdefault(party, [])
        if party == "term":
            self.service.drain()
        elif party == "hup":  # hup DISCOVERY_PORT PLATFORM_PORT, or a key to remove
            self.service.reload(
                lambda: check_configuration(
                    self.given
                    | (
                        {verb: None}
                        if not verb.isdigit()
                        else {
                            "discovery": f"127.0.0.1:{verb}",
                            "release_api": {"address": f"127.0.0.1:{rest}"},
                        }
                    )
                )
            )
        elif party == "probe":  # probe MACHINE: as the decision module may request
            self.service._exchange._execute([Probe(verb)])
        elif party == "fault":  # fault METHOD: this method of rules.Front raises from now on
            self.broken = True
            setattr(self.service._exchange._decision_module._front, verb, lambda *_: 1 / 0)
        elif verb == "accept":
            factory = self.waiting[party].pop(0)
            pipes.append(Pipe(self, party, factory.buildProtocol(None)))
        elif verb == "refuse":
            self.refuse(party, self.waiting[party][0])
        elif verb == "slow":
            self.slow.add(party)
        elif verb == "written":
            pipes[-1].flush()
        elif verb == "full":  # full on|off: whether the peer has stopped reading
            (
                pipes[-1].push_producer.pauseProducing
                if rest == "on"
                else pipes[-1].push_producer.resumeProducing
            )()
        elif verb == "break":
            pipes[-1].end()
        elif verb == "answer":  # answer status body [header=value ...]
            status, body, *headers = (rest + " -").split(" ")[:2] + rest.split(" ")[2:]
            pipes[-1].receive(
                write_response(
                    int(status),
                    b"" if body == "-" else body.encode(),
                    headers=dict(header.split("=") for header in headers),
                )
            )
        elif verb == "list":  # list version whole|changes machine:build[:state] ...
            version, whole, *machines = rest.split()
            hosts = []
            for name, build, state in ((one.split(":") + ["SERVING"])[:3] for one in machines):
                port = 1000 + sum(name.encode()) + 300 * int(build)
                self.ports[port] = name
                hosts.append(
                    f'{{"host":"{name}","dial":"127.0.0.2:{port}","health":"{state}","born_ms":0,'
                    f'"build":{build},"site":"a","class":"m","block":1,"share":1.0}}'
                )
            body = f'{{"seq":{version},"whole":{str(whole == "whole").lower()},"hosts":[{",".join(hosts)}]}}'
            pipes[-1].receive(write_response(200, body.encode()))
        elif verb == "event":  # event kind data
            kind, _, data = rest.partition(" ")
            piece = f"event: {kind}\ndata: {data}\n\n".encode()
            if not hasattr(pipes[-1], "begun"):
                pipes[-1].begun = True
                pipes[-1].receive(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            pipes[-1].receive(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        elif verb == "crowd":  # crowd N: N clients that send one request and stay connected
            for at in range(int(rest)):
                self.act(f"{party}x{at}", "raw", r"GET /up HTTP/1.1\r\n\r\n")
        elif verb == "connect":
            self.up(party)
        elif verb == "raw":
            self.up(party)
            self.pipes[party][-1].receive(plain(rest))
        elif verb in ("look", "book"):  # a query: its id, and how many seconds its client waits
            self.up(party)
            query, waits = (rest.split() + ["4"])[:2]
            headers = {"X-Txn": query, "X-Lane": verb, "X-Remaining": waits}
            self.pipes[party][-1].receive(
                write_request(
                    *(
                        ("GET", "/api", "api", headers)
                        if verb == "look"
                        else ("POST", "/api", "api", headers, b"order")
                    )
                )
            )
        elif party != "wait":
            raise AssertionError(f"no verb {verb!r}")

    def refuse(self, party: str, factory) -> None:
        if factory in self.waiting[party]:
            self.waiting[party].remove(factory)
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def refuse_to_listen(self, port: int, factory, backlog: int, interface: str) -> None:
        raise CannotListenError(interface, port, OSError("in use"))

    def up(self, party: str) -> None:
        if not self.pipes[party]:
            factory = self.reactor.tcpServers[0][1]
            self.pipes[party].append(Pipe(self, party, factory.buildProtocol(None)))
