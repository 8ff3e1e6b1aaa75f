"""Queries for SRV records and the interpretation of responses; without I/O. dnspython is the codec.

Sources: RFC 2782 (SRV), 1035 and 2181 (messages, TTLs), 2308 (negative responses), 6891 (EDNS).
"""

from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

EDNS_SIZE = 1232  # bytes of a UDP response that no path fragments
MIN_TTL, MAX_TTL = (
    1,
    3600,
)  # seconds; limits a TTL of 0 to one query a second, and a TTL of a week to an hour
MAX_NEGATIVE_TTL = 60  # seconds
MAX_RECORDS = 1000


class Target(NamedTuple):
    """Target of one SRV record, with the addresses of its host."""

    host: str
    port: int
    priority: int
    weight: int
    addresses: tuple[str, ...]


class ServiceFound(NamedTuple):
    """The service's targets; `unknown` lists hosts whose addresses the response lacks."""

    targets: tuple[Target, ...]
    ttl: int
    unknown: tuple[str, ...]


class ServiceAbsent(NamedTuple):
    """Negative response: no such name, no such record, or a record that denies the service."""

    why: str
    ttl: int


class Truncated(NamedTuple):
    """The response is truncated and must be requested again over TCP."""


class Failed(NamedTuple):
    """The server can't answer, refuses, or its response is malformed."""

    why: str


class Unrelated(NamedTuple):
    """Not a response to this query: ignored as if it had not arrived."""

    why: str


ReadResult = ServiceFound | ServiceAbsent | Truncated | Failed | Unrelated


def question(name: str, id: int, kind: str = "SRV") -> bytes:
    """Return a query for the records of type `kind` of `name`."""
    message = dns.message.make_query(name, kind, use_edns=0, payload=EDNS_SIZE, id=id)
    return message.to_wire()


def read(data: bytes, name: str, id: int, kind: str = "SRV") -> ReadResult:
    """Interpret `data` as a response to the query with this name, id and type.

    Threat: spoofed responses, compression loops in names and malformed bytes must neither raise
    nor be taken for an answer.
    """
    if len(data) < 12 or int.from_bytes(data[:2]) != id:
        return Unrelated("another id")
    try:
        message = dns.message.from_wire(data, ignore_trailing=False, raise_on_truncation=False)
    except (dns.exception.DNSException, ValueError, IndexError) as error:
        return Failed(f"cannot be read: {type(error).__name__}")
    expected, expected_type = dns.name.from_text(name), dns.rdatatype.from_text(kind)
    if not message.flags & dns.flags.QR or len(message.question) != 1:
        return Unrelated("no answer")
    first = message.question[0]
    if (
        first.name != expected
        or first.rdtype != expected_type
        or first.rdclass != dns.rdataclass.IN
    ):
        return Unrelated("an answer to another question")
    if message.flags & dns.flags.TC:
        return Truncated()
    code = message.rcode()
    if code == dns.rcode.NXDOMAIN:
        return ServiceAbsent("no such name", _negative_ttl(message))
    if code != dns.rcode.NOERROR:
        return Failed(dns.rcode.to_text(code))
    if any(
        rrset.rdtype == dns.rdatatype.CNAME and rrset.name == expected for rrset in message.answer
    ):
        return Failed("a CNAME where the service should be")
    found = next(
        (
            rrset
            for rrset in message.answer
            if rrset.name == expected
            and rrset.rdtype == expected_type
            and rrset.rdclass == dns.rdataclass.IN
        ),
        None,
    )
    if found is None:
        return ServiceAbsent("no such record", _negative_ttl(message))
    ttl = max(MIN_TTL, min(MAX_TTL, found.ttl))
    if kind != "SRV":
        return ServiceFound(
            (Target(name, 0, 0, 0, tuple(sorted(str(record) for record in found))),), ttl, ()
        )
    if len(found) > MAX_RECORDS:
        return Failed(f"{len(found)} records, over {MAX_RECORDS}")
    if len(found) == 1 and found[0].target == dns.name.root:
        return ServiceAbsent("the service is not available at this domain", ttl)
    return _targets(message, found, ttl)


def _targets(message: dns.message.Message, found: dns.rrset.RRset, ttl: int) -> ReadResult:
    """Return the targets of the SRV records `found`, with addresses from the additional section."""
    aliases = {rrset.name for rrset in message.additional if rrset.rdtype == dns.rdatatype.CNAME}
    targets, unknown = [], []
    for record in found:
        if record.target in aliases:  # RFC 2782: a target must not be an alias
            continue
        address_sets = [
            rrset
            for rrset in message.additional
            if rrset.name == record.target
            and rrset.rdtype == dns.rdatatype.A
            and rrset.rdclass == dns.rdataclass.IN
        ]
        addresses = tuple(sorted(str(address) for rrset in address_sets for address in rrset))
        host = record.target.to_text(omit_final_dot=True).lower()
        for rrset in address_sets:
            ttl = max(MIN_TTL, min(ttl, rrset.ttl))
        if not addresses:
            unknown.append(host)
        targets.append(Target(host, record.port, record.priority, record.weight, addresses))
    return ServiceFound(tuple(sorted(targets)), ttl, tuple(sorted(set(unknown))))


def _negative_ttl(message: dns.message.Message) -> int:
    """Return how long a negative response is valid, from its SOA record, in seconds."""
    soa = next(
        (
            rrset
            for rrset in message.authority
            if rrset.rdtype == dns.rdatatype.SOA and rrset.rdclass == dns.rdataclass.IN
        ),
        None,
    )
    return MIN_TTL if soa is None else max(MIN_TTL, min(MAX_NEGATIVE_TTL, soa.ttl, soa[0].minimum))
