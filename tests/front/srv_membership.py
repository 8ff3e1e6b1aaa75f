"""Runs a `Membership` on sockets against the lab's DNS server, in a separate process.

python -m tests.front.srv_membership FOLDER
"""

import sys

from twisted.internet import reactor

from umbermoor.front.interface import Readiness
from umbermoor.front.membership.dns_queries import MAX_RETRY_DELAY, MAX_WAIT, SECOND
from umbermoor.front.own_settings import MembersFrom, SrvFrom
from umbermoor.front.server.members import Membership
from umbermoor.lab.sockets.common import now
from umbermoor.lab.sockets.nameserver import NameServer

NAME = "_zone._tcp.soner.example.org."
LONGEST = (
    1.5 * MAX_RETRY_DELAY / SECOND
)  # longest delay after a failed round, with the largest random part
MODES = (
    "good",
    "truncated",
    "cut",
    "servfail",
    "silent",
    "rubbish",
    "spoofed",
    "late",
    "alias",
    "good",
)


class Play:
    def __init__(self, folder: str) -> None:
        self.server = NameServer(reactor, NAME)
        self.server.records = [
            ("a.example.org", 81, "127.0.0.2"),
            ("b.example.org", 82, "127.0.0.3"),
        ]
        given = MembersFrom(
            rule="any",
            state=f"{folder}/last",
            srv=(SrvFrom(name=NAME, servers=(self.server.address,)),),
        )
        self.there: dict[str, int] = {}
        self.faults: list[str] = []
        self.gone_at = self.told_at = 0
        self.members = Membership(reactor, now, given, self.told)
        self.modes = iter(MODES)
        self.said_at = 0  # when the server first answered without the removed machine
        answers = self.server.answers

        def noted(data: bytes, tcp: bool) -> list[bytes]:
            if self.gone_at and not self.said_at:
                self.said_at = now()
            return answers(data, tcp)

        self.server.answers = noted

    def told(self, kind, news) -> None:
        for one in news.entries:
            if one.readiness is Readiness.GONE:
                self.there.pop(one.machine, None)
                if one.machine.startswith("a.") and self.gone_at:
                    self.told_at = now()
            else:
                self.there[one.machine] = news.addresses[one.machine][1]

    def start(self) -> None:
        self.members.start()
        reactor.callLater(1.0, self.step)
        reactor.callLater(60, self.end, "it took too long")

    def step(self) -> None:
        if len(self.there) != 2:
            self.faults.append(f"{self.server.mode}: {self.there}")
        mode = next(self.modes, None)
        if mode is None:
            self.server.records.pop(0)
            self.server.separate = True
            self.gone_at = now()
            self.wait(round(10 * (LONGEST + 4 * MAX_WAIT / SECOND)))
        else:
            self.server.mode = mode
            reactor.callLater(1.2, self.step)

    def wait(self, left: int) -> None:
        """Wait until the removal is reported, for at most `left` tenths of a second.

        The delay after an earlier failed round may still run, and the next queries take their own
        time.
        """
        if self.told_at or not left:
            self.end("")
        else:
            reactor.callLater(0.1, self.wait, left - 1)

    def end(self, why: str) -> None:
        if why:
            self.faults.append(why)
        if set(self.there) != {"b.example.org:82"}:
            self.faults.append(f"at the end: {self.there}")
        if not self.told_at or not 0 <= self.told_at - self.said_at <= 1_000_000:
            self.faults.append(
                f"the loss was told {(self.told_at - self.said_at) / 1e6:.2f} s after the answer"
            )
        if not self.server.asked["tcp"]:
            self.faults.append("never asked over TCP")
        print("\n".join(self.faults))
        self.members.stop()
        self.server.stop()
        self.status = 1 if self.faults else 0
        reactor.stop()


if __name__ == "__main__":
    play = Play(sys.argv[1])
    reactor.callWhenRunning(play.start)
    reactor.run()
    sys.exit(play.status)
