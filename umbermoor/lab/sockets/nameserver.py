"""A stand-in DNS server for one service, over UDP and TCP on one port of loopback.

It answers correctly or fails in a selected way.
"""

import dns.flags
import dns.message
import dns.rcode
import dns.rrset
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

from umbermoor.lab.sockets.common import LOOPBACK


class NameServer:
    """A DNS server with the SRV records of one service.

    Attributes:
        records: (host, port, address) of each instance.
        mode: how queries are answered: "good"; "silent" (not at all); "servfail"; "truncated" over
            UDP; "cut" (truncated, and TCP connections are aborted); "rubbish" (malformed);
            "spoofed" (an answer with another id first); "nxdomain"; "root" (one SRV record whose
            target is the root: no service); "alias" (a CNAME); "late" (0.3 s later over UDP).
        asked: queries received, by transport.
        separate: whether addresses are left out of SRV answers and must be queried.
    """

    def __init__(self, reactor, name: str, ttl: int = 1) -> None:
        self.reactor, self.name, self.ttl = reactor, name, ttl
        self.records: list[tuple[str, int, str]] = []
        self.mode = "good"
        self.asked = {"udp": 0, "tcp": 0}
        self.separate = False
        server = self

        class Udp(DatagramProtocol):
            def datagramReceived(self, data, addr):
                server.asked["udp"] += 1
                for answer in server.answers(data, False):
                    server.reactor.callLater(
                        0.3 if server.mode == "late" else 0, self._send, answer, addr
                    )

            def _send(self, answer, addr):
                if self.transport is not None:
                    self.transport.write(answer, addr)

        class Tcp(Protocol):
            data = b""

            def dataReceived(self, data):
                self.data += data
                if len(self.data) >= 2 and len(self.data) >= 2 + int.from_bytes(self.data[:2]):
                    server.asked["tcp"] += 1
                    if server.mode == "cut":
                        self.transport.abortConnection()
                        return
                    for answer in server.answers(self.data[2:], True):
                        self.transport.write(len(answer).to_bytes(2) + answer)

        factory = Factory.forProtocol(Tcp)
        factory.noisy = False
        for _ in range(50):  # until a port is free for both UDP and TCP
            self.udp = reactor.listenUDP(0, Udp(), LOOPBACK)
            self.port = self.udp.getHost().port
            try:
                self.tcp = reactor.listenTCP(self.port, factory, interface=LOOPBACK)
                break
            except CannotListenError:
                self.udp.stopListening()

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return f"{LOOPBACK}:{self.port}"

    def answers(self, data: bytes, tcp: bool) -> list[bytes]:
        """Return the messages that answer a query in this mode, in the order of sending."""
        query = dns.message.from_wire(data)
        answer = dns.message.make_response(query)
        asked, kind = query.question[0].name.to_text(), query.question[0].rdtype
        if self.mode == "silent":
            return []
        if self.mode == "rubbish":
            return [data[:2] + b"\x80\x00\x00\x01\xc0\x0c\xc0\x0c" * 3]
        if self.mode == "servfail":
            answer.set_rcode(dns.rcode.SERVFAIL)
        elif self.mode == "nxdomain":
            answer.set_rcode(dns.rcode.NXDOMAIN)
            answer.authority.append(
                dns.rrset.from_text(
                    self.name, 1, "IN", "SOA", "ns.example.org. a.example.org. 1 1 1 1 1"
                )
            )
        elif self.mode in ("truncated", "cut") and not tcp:
            answer.flags |= dns.flags.TC
        elif self.mode == "alias":
            answer.answer.append(
                dns.rrset.from_text(self.name, 1, "IN", "CNAME", "elsewhere.example.org.")
            )
        elif self.mode == "root":
            answer.answer.append(dns.rrset.from_text(self.name, self.ttl, "IN", "SRV", "0 0 0 ."))
        elif kind == dns.rdatatype.SRV and self.records:
            answer.answer.append(
                dns.rrset.from_text(
                    asked,
                    self.ttl,
                    "IN",
                    "SRV",
                    *(f"0 5 {port} {host}." for host, port, _ in self.records),
                )
            )
            for host, _, address in [] if self.separate else self.records:
                answer.additional.append(
                    dns.rrset.from_text(f"{host}.", self.ttl, "IN", "A", address)
                )
        elif kind == dns.rdatatype.A:
            addresses = [address for host, _, address in self.records if f"{host}." == asked]
            if addresses:
                answer.answer.append(dns.rrset.from_text(asked, self.ttl, "IN", "A", *addresses))
        wire = answer.to_wire(max_size=65535)
        if self.mode == "spoofed":
            return [bytes([wire[0] ^ 1]) + wire[1:], wire]
        return [wire]

    def stop(self) -> None:
        """Stop listening."""
        self.udp.stopListening()
        self.tcp.stopListening()
