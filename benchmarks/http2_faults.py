"""HTTP/2 under faults on loopback: no booking runs twice, no lookup is lost, one answer per query.

Usage: python -m benchmarks.http2_faults [--seeds N] [--rate N] [--json FILE]

The front's own connections (umbermoor/front/server/streams.py) run against a stand-in machine that
closes, resets, limits, freezes or drains them in the middle of a burst. A small driver retries as
the rules allow: lookups after any failure, bookings only if they are known not to have run.
Executions are counted by the machine. The baseline treats the outcome of every closed connection as
unknown, as HTTP/1.1 must.
"""

import random
import subprocess
import sys
from collections import Counter

import orjson

from benchmarks.common import show

FAULTS = ("goaway", "reset", "limits", "freeze", "drain")
SECONDS, TRIES, PATIENCE = 1.0, 8, 4_000_000


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    if "--child" in arguments:
        return child(
            option("--child", ""),
            int(option("--from", "0")),
            int(option("--to", "1")),
            float(option("--rate", "500")),
        )
    seeds, rate, rows = int(option("--seeds", "100")), option("--rate", "500"), []
    for fault in FAULTS:
        step = -(-seeds // 4)
        children = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.http2_faults",
                    "--child",
                    fault,
                    "--from",
                    str(at),
                    "--to",
                    str(min(seeds, at + step)),
                    "--rate",
                    rate,
                ],
                stdout=subprocess.PIPE,
            )
            for at in range(0, seeds, step)
        ]
        totals: Counter[str] = Counter()
        for child_process in children:
            totals.update(orjson.loads(child_process.communicate()[0]))
        rows.append(
            {
                "fault": fault,
                "seeds": seeds,
                "queries": totals["queries"],
                "answers": totals["answers"],
                "bookings run twice": totals["twice"],
                "lookups lost": totals["lost"],
                "bookings abandoned": totals["abandoned"],
                "saved by what the machine said": totals["saved"],
                "abandoned without that": totals["abandoned"] + totals["saved"],
            }
        )
    show(
        f"HTTP/2 under faults, {rate} queries/s for {SECONDS:g} s a seed, on loopback",
        rows,
        option("--json", "") or None,
    )
    return (
        0
        if not any(
            row["bookings run twice"] or row["lookups lost"] or row["queries"] != row["answers"]
            for row in rows
        )
        else 1
    )


def child(fault: str, first: int, last: int, rate: float) -> int:
    from twisted.internet import reactor

    totals: Counter[str] = Counter()
    seeds_left = iter(range(first, last))

    def start_next() -> None:
        seed = next(seeds_left, None)
        if seed is None:
            reactor.stop()
        else:
            Play(reactor, fault, seed, rate, totals, start_next).start()

    reactor.callWhenRunning(start_next)
    reactor.run()
    sys.stdout.write(orjson.dumps(totals).decode())
    return 0


class Play:
    def __init__(
        self, reactor, fault: str, seed: int, rate: float, totals: Counter, on_finished
    ) -> None:
        from umbermoor.front.server.descriptor_budget import Budget
        from umbermoor.front.server.streams import Streams
        from umbermoor.http1.buffers import Buffers
        from umbermoor.lab.sockets.common import now

        self.reactor, self.fault, self.rate, self.totals, self.on_finished = (
            reactor,
            fault,
            rate,
            totals,
            on_finished,
        )
        self.random = random.Random(f"{fault}/{seed}")
        self.streams = Streams(reactor, now, Buffers(64 << 20), Budget(512), 1_000_000, "api")
        self.machine = Machine(reactor, self.random)
        self.unanswered = 0
        self.asked = False
        self.runs = self.machine.runs

    def start(self) -> None:
        self.port = self.machine.listen()
        at = 0.0
        while (at := at + self.random.expovariate(self.rate)) < SECONDS:
            self.reactor.callLater(
                at, self.send_query, f"q{self.unanswered}", self.random.random() < 0.4, 1
            )
            self.unanswered += 1
        self.totals["queries"] += self.unanswered
        self.reactor.callLater(0.15 + 0.3 * self.random.random(), self.inject_fault)
        self.reactor.callLater(0.5 + 0.3 * self.random.random(), self.inject_fault)

    def inject_fault(self) -> None:
        getattr(self.machine, self.fault)()

    def send_query(self, query: str, booking: bool, tries: int) -> None:
        deferred = self.streams.hand_off(
            "m",
            self.port,
            "POST" if booking else "GET",
            f"/api?{query}",
            {"X-Txn": query},
            b"order" if booking else b"",
            PATIENCE,
            lambda: True,
            lambda: None,
        )
        deferred.addCallback(self.settle, query, booking, tries)

    def settle(self, outcome, query: str, booking: bool, tries: int) -> None:
        from umbermoor.front.interface import NEVER_RAN, Ending
        from umbermoor.front.server.outcomes import Cause, Failed, Progress, ending

        outcome_kind = ending(outcome)
        if (
            outcome_kind is not Ending.OK
            and tries < TRIES
            and (not booking or outcome_kind in NEVER_RAN)
        ):
            known_unrun = isinstance(outcome, Failed) and outcome.cause in (
                Cause.UNRUN,
                Cause.TURNED_AWAY,
            )
            if booking and known_unrun and outcome.progress >= Progress.WHOLE:
                # The baseline, for which every close is an unknown outcome, would abandon it here.
                self.totals["saved"] += 1
            self.reactor.callLater(0.005 * tries, self.send_query, query, booking, tries + 1)
            return
        self.totals["answers"] += 1
        self.totals["abandoned"] += booking and outcome_kind is not Ending.OK
        self.totals["lost"] += not booking and outcome_kind is not Ending.OK
        self.unanswered -= 1
        if not self.unanswered:
            self.reactor.callLater(0.05, self.finish)

    def finish(self) -> None:
        self.totals["twice"] += sum(
            count > 1 for query, count in self.runs.items() if query in self.machine.bookings
        )
        self.streams.stop()
        self.machine.stop()
        self.reactor.callLater(0.01, self.on_finished)


class Machine:
    """Machine that runs each complete request after a delay and injects connection faults."""

    def __init__(self, reactor, rng: random.Random) -> None:
        self.reactor, self.random = reactor, rng
        self.runs: Counter[str] = Counter()
        self.bookings: set[str] = set()
        self.connections: list = []
        self.frozen = False
        self.waiting: dict[int, tuple] = {}  # complete requests that have not begun to run

    def listen(self) -> tuple[str, int]:
        from umbermoor.lab.sockets.common import LOOPBACK, listen
        from umbermoor.lab.sockets.h2stand import DualProtocolConnection

        self.port = listen(
            self.reactor,
            self.received,
            self.connections.append,
            lambda received: DualProtocolConnection(received, self.stream_stopped),
        )
        return LOOPBACK, self.port.getHost().port

    def received(self, stream, request) -> None:
        query = request.headers["x-txn"]
        if request.method == "POST":
            self.bookings.add(query)
        self.waiting[id(stream)] = stream, query
        self.reactor.callLater(self.random.uniform(0, 0.02), self.begin, id(stream))

    def begin(self, key: int) -> None:
        if self.frozen:
            self.reactor.callLater(0.02, self.begin, key)
        elif key in self.waiting:
            stream, query = self.waiting.pop(key)
            self.runs[query] += 1
            self.reactor.callLater(self.random.uniform(0, 0.03), stream.reply, 200, b"done")

    def stream_stopped(self, stream) -> None:
        self.waiting.pop(id(stream), None)

    def goaway(self) -> None:
        for connection in list(self.connections):
            if connection.open:
                for stream in connection.go_away(
                    lambda candidate: id(candidate) not in self.waiting
                ):
                    self.waiting.pop(id(stream), None)

    def drain(self) -> None:
        """Send two GOAWAY frames; requests received between them still run."""
        for connection in list(self.connections):
            if connection.open and connection.streams:
                connection.transport.write(
                    b"\0\0\x08\x07\0\0\0\0\0" + (0x7FFFFFFF).to_bytes(4) + bytes(4)
                )
        self.reactor.callLater(0.01, self.goaway)

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()
            for key in [
                key for key, (stream, _) in self.waiting.items() if stream.connection is connection
            ]:
                if self.random.random() < 0.5:  # some of the received requests still run
                    del self.waiting[key]

    def limits(self) -> None:
        import h2.settings

        for connection in self.connections:
            if connection.open and connection._codec is not None:
                max_streams = self.random.choice((0, 1, 2, 5))
                connection._codec.update_settings(
                    {h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: max_streams}
                )
                connection._flush()
                self.reactor.callLater(0.2, self.raise_limit, connection)

    def raise_limit(self, connection) -> None:
        import h2.settings

        if connection.open:
            connection._codec.update_settings({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: 64})
            connection._flush()

    def freeze(self) -> None:
        self.frozen = True
        for connection in self.connections:
            if connection.open:
                connection.transport.pauseProducing()
        self.reactor.callLater(self.random.uniform(0.1, 0.8), self.resume)

    def resume(self) -> None:
        self.frozen = False
        for connection in self.connections:
            if connection.open:
                connection.transport.resumeProducing()

    def stop(self) -> None:
        self.port.stopListening()
        for connection in self.connections:
            connection.abort()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
