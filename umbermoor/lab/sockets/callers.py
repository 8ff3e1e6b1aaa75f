"""The load: an open loop of clients in a process of its own, in real time.

Usage: python -m umbermoor.lab.sockets.callers DAY.json EVENTS.json BEGIN WISHES.json PORT [PORT ...]

Queries are sent when they are due, however slow the answers. The result says how late the process itself was in
sending them.
"""

import sys
from collections import deque
from collections.abc import Iterator

import msgspec
import orjson
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from umbermoor.http1.reader import Reader, Response
from umbermoor.http1.writer import write_request
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND, Day
from umbermoor.lab.demand import Arrival, AttemptResult, Journey, generate_arrivals
from umbermoor.lab.measure import Measure
from umbermoor.lab.sockets.common import BUFFERS, LOOPBACK, Events, now

RESULTS_BY_STATUS = {200: AttemptResult.DONE, 429: AttemptResult.DENIED, 503: AttemptResult.DENIED}
# Maximum 99th percentile of the delay with which the load generator itself sends queries; above it,
# the result of the play is not valid.
MAX_P99_LAG_US = 20_000
MAX_IDLE_US = 3 * SECOND  # a connection that was idle for longer is not reused


class ClientConnection(Protocol):
    """A client's HTTP/1.1 connection, which carries one query at a time."""

    def __init__(self) -> None:
        self._reader = Reader(BUFFERS, responses=True)
        self.attempt: Attempt | None = None
        self.open = False
        self.idle_since = 0

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        for message in self._reader.feed(data):
            attempt, self.attempt = self.attempt, None
            if attempt is not None:
                attempt.answered(message if isinstance(message, Response) else None)

    def connectionLost(self, reason) -> None:
        self.open = False
        self._reader.drop()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.answered(None)


class Attempt:
    """An attempt at a query: a request to one front, with the client's timeout.

    Args:
        generator: the load generator it belongs to.
        journey: the query with its earlier attempts.
        front: index of the front.
        query: id of the attempt.
        due: time at which the client gives up, in microseconds of `now`.
    """

    def __init__(
        self, generator: "LoadGenerator", journey: Journey, front: int, query: str, due: int
    ) -> None:
        self.generator, self.journey, self.front, self.query, self.due = (
            generator,
            journey,
            front,
            query,
            due,
        )
        self.connection: ClientConnection | None = None
        self.is_over = False
        self.timer = reactor.callLater(max(0, due - now()) / 1e6, self.gave_up)

    def send(self, connection: ClientConnection) -> None:
        """Send the request on a connection."""
        arrival, row = self.journey.arrival, self.journey.row
        self.connection, connection.attempt = connection, self
        headers = {
            "X-Txn": self.query,
            "X-Lane": row.name,
            "X-Remaining": f"{max(0.001, (self.due - now()) / 1e6):.6f}",
            "X-Estimate": str(arrival.hint),
        }
        if self.journey.tries > 1 and self.generator.day.clients.marks:
            headers["X-Resent"] = "1"
        target = f"/api?p={arrival.profile}&w={arrival.work:.1f}"
        runs_once = row.repeat == "once"
        self.generator.events.note("taken", f"n{self.front}", self.query, arrival.profile, self.due)
        connection.transport.write(
            write_request(
                "POST" if runs_once else "GET",
                target,
                "api.internal",
                headers,
                b"order" if runs_once else b"",
            )
        )

    def answered(self, response: Response | None) -> None:
        """Take the response; None: the connection was lost or could not be opened."""
        if self.is_over:
            return
        result = (
            AttemptResult.LOST
            if response is None
            else RESULTS_BY_STATUS.get(response.status, AttemptResult.ABANDONED)
        )
        wrong, wait = False, 0
        if response is not None:
            wrong = result is AttemptResult.DONE and response.body != b"done " + self.query.encode()
            wait = round(float(response.headers.get("retry-after", "0") or 0) * SECOND)
            self.generator.events.note("answered", self.query, result.value)
        else:
            self.generator.events.note("lost", self.query)
        keep = response is not None and response.keep_alive
        self._end(result, wait, wrong, keep)

    def gave_up(self) -> None:
        """End the attempt at the client's timeout, if it is still open."""
        if not self.is_over:
            self.generator.events.note("gave_up", self.query)
            self._end(AttemptResult.GAVE_UP, 0, False, False)

    def _end(self, result: AttemptResult, wait: int, wrong: bool, keep: bool) -> None:
        self.is_over = True
        if self.timer.active():
            self.timer.cancel()
        if self.connection is not None:
            self.connection.attempt = None
            if keep and self.connection.open:
                self.connection.idle_since = now()
                self.generator.idle[self.front].append(self.connection)
            elif self.connection.open:
                self.connection.transport.abortConnection()
        self.generator.ended(self, result, wait, wrong)


class LoadGenerator:
    """Sends the queries of a day to the fronts and records what comes of them.

    Args:
        day: the clients and profiles.
        day_start: time of the day's start, in microseconds of `now`.
        ports: the fronts' ports.
        path: where events and figures are written at the end.
        source: the first queries, in order of their time.
    """

    def __init__(
        self, day: Day, day_start: int, ports: list[int], path: str, source: Iterator[Arrival]
    ) -> None:
        self.day, self._day_start, self._ports, self._path = day, day_start, ports, path
        self.chance = Chance(day.seed)
        self.events, self.measure = Events(), Measure(day)
        self.idle: list[deque[ClientConnection]] = [deque() for _ in ports]
        self._source = source
        self._open = 0
        self._ended = False
        self._lags: list[int] = []

    def start(self) -> None:
        """Schedule the first query."""
        self._schedule_next()

    def _schedule_next(self) -> None:
        arrival = next(self._source, None)
        while arrival is not None and self._day_start + arrival.at <= now():
            self._begin_query(arrival)
            arrival = next(self._source, None)
        if arrival is None:
            self._ended = True
            self._end_if_done()
        else:
            reactor.callLater(
                max(0, self._day_start + arrival.at - now()) / 1e6, self._arrive, arrival
            )

    def _arrive(self, arrival: Arrival) -> None:
        self._begin_query(arrival)
        self._schedule_next()

    def _begin_query(self, arrival: Arrival) -> None:
        self._lags.append(now() - self._day_start - arrival.at)
        self._open += 1
        self._send_attempt(Journey(arrival, self.day.profile[arrival.profile]))

    def _send_attempt(self, journey: Journey) -> None:
        journey.tries += 1
        number = journey.arrival.number
        front = int(self.chance.at("entry", number, journey.tries) * len(self._ports))
        patience = journey.patience(self.day.clients, self.chance)
        if (leaves_after := journey.leaves_after(self.day.clients, self.chance)) is not None:
            patience = min(patience, leaves_after)
        attempt = Attempt(
            self, journey, front, f"n{front}-{number:x}.{journey.tries}", now() + patience
        )
        idle = self.idle[front]
        while idle:
            connection = idle.pop()
            if connection.open and now() - connection.idle_since < MAX_IDLE_US:
                attempt.send(connection)
                return
            if connection.open:
                connection.transport.loseConnection()
        factory = Factory.forProtocol(ClientConnection)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(reactor, LOOPBACK, self._ports[front], timeout=3)
        endpoint.connect(factory).addCallbacks(
            lambda connection: self._connected(attempt, connection),
            lambda _: attempt.answered(None),
        )

    def _connected(self, attempt: Attempt, connection: ClientConnection) -> None:
        if attempt.is_over:
            connection.transport.abortConnection()
        else:
            attempt.send(connection)

    def ended(self, attempt: Attempt, result: AttemptResult, wait: int, wrong: bool) -> None:
        """Count the query if it is over, or schedule its next attempt."""
        journey = attempt.journey
        retry_at = journey.attempt_ended(
            now() - self._day_start, result, wait, self.day.clients, self.chance
        )
        journey.is_wrong = wrong
        if retry_at is not None:
            reactor.callLater(
                max(0, self._day_start + retry_at - now()) / 1e6, self._send_attempt, journey
            )
        else:
            self.measure.count(journey)
            self._open -= 1
            self._end_if_done()

    def _end_if_done(self) -> None:
        if self._ended and not self._open:
            lags = sorted(self._lags) or [0]
            p99 = lags[int(0.99 * (len(lags) - 1))]
            self.events.write(
                self._path,
                figures=self.measure.figures(),
                series=self.measure.series(),
                pace={"p99_lag_us": p99, "most_lag_us": lags[-1], "honest": p99 <= MAX_P99_LAG_US},
            )
            reactor.stop()


def read_arrivals(path: str) -> Iterator[Arrival]:
    """Yield the first queries that a JSON file lists."""
    with open(path, "rb") as file:
        for row in orjson.loads(file.read()):
            yield Arrival(*row)


def main(arguments: list[str]) -> int:
    """Run the process; see the module's usage."""
    path, events, day_start, arrivals_path, *ports = arguments
    with open(path, "rb") as file:
        day = msgspec.json.decode(file.read(), type=Day)
    source = (
        generate_arrivals(day, Chance(day.seed))
        if arrivals_path == "-"
        else read_arrivals(arrivals_path)
    )
    generator = LoadGenerator(day, int(day_start), [int(port) for port in ports], events, source)
    wait = max(0, int(day_start) - now()) / 1e6
    reactor.callLater(wait, generator.start)
    reactor.callLater(wait + day.length_s + 90, reactor.stop)  # also if queries never end
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
