"""DNS messages for SRV records: what is asked, and what an answer proves; the codec is dnspython's.
Without I/O.

Sources: RFC 2782 (SRV), 1035 and 2181 (messages, lifetimes), 2308 (negative answers), 6891 (EDNS).
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

EDNS_SIZE = 1232  # bytes of an answer over UDP that no path cuts up
MIN_TTL, MAX_TTL = (
    1,
    3600,
)  # seconds; a lifetime of 0 asks again in one, one of a week does not bind us for it
MAX_NEGATIVE_TTL = 60
MAX_RECORDS = 1000


class Target(NamedTuple):
    host: str
    port: int
    priority: int
    weight: int
    addresses: tuple[str, ...]


class ServiceFound(NamedTuple):
    """The service's targets. ``unknown`` are hosts whose addresses the answer does not hold."""

    targets: tuple[Target, ...]
    ttl: int
    unknown: tuple[str, ...]


class ServiceAbsent(NamedTuple):
    """Said with authority: there is no such name, no such record, or the service is decidedly not
    there."""

    why: str
    ttl: int


class Truncated(NamedTuple):
    """Truncated: to be asked over TCP."""


class Failed(NamedTuple):
    """The server cannot or will not say."""

    why: str


class Unrelated(NamedTuple):
    """No answer to this question: passed over, as if it had not come."""

    why: str


ReadResult = ServiceFound | ServiceAbsent | Truncated | Failed | Unrelated


def question(name: str, id: int, kind: str = "SRV") -> bytes:
    message = dns.message.make_query(name, kind, use_edns=0, payload=EDNS_SIZE, id=id)
    return message.to_wire()


def read(data: bytes, name: str, id: int, kind: str = "SRV") -> ReadResult:
    """What came in answer to that question. Threat: answers of others, loops in names, rubbish."""
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
    if any(one.rdtype == dns.rdatatype.CNAME and one.name == expected for one in message.answer):
        return Failed("a CNAME where the service should be")
    found = next(
        (
            one
            for one in message.answer
            if one.name == expected
            and one.rdtype == expected_type
            and one.rdclass == dns.rdataclass.IN
        ),
        None,
    )
    if found is None:
        return ServiceAbsent("no such record", _negative_ttl(message))
    ttl = max(MIN_TTL, min(MAX_TTL, found.ttl))
    if kind != "SRV":
        return ServiceFound(
            (Target(name, 0, 0, 0, tuple(sorted(str(one) for one in found))),), ttl, ()
        )
    if len(found) > MAX_RECORDS:
        return Failed(f"{len(found)} records, over {MAX_RECORDS}")
    if len(found) == 1 and found[0].target == dns.name.root:
        return ServiceAbsent("decidedly not there", ttl)
    return _targets(message, found, ttl)


def _targets(message: dns.message.Message, found: dns.rrset.RRset, ttl: int) -> ReadResult:
    aliases = {one.name for one in message.additional if one.rdtype == dns.rdatatype.CNAME}
    targets, unknown = [], []
    for record in found:
        if record.target in aliases:  # RFC 2782: a target must not be an alias
            continue
        address_sets = [
            one
            for one in message.additional
            if one.name == record.target
            and one.rdtype == dns.rdatatype.A
            and one.rdclass == dns.rdataclass.IN
        ]
        addresses = tuple(sorted(str(address) for one in address_sets for address in one))
        host = record.target.to_text(omit_final_dot=True).lower()
        for one in address_sets:
            ttl = max(MIN_TTL, min(ttl, one.ttl))
        if not addresses:
            unknown.append(host)
        targets.append(Target(host, record.port, record.priority, record.weight, addresses))
    return ServiceFound(tuple(sorted(targets)), ttl, tuple(sorted(set(unknown))))


def _negative_ttl(message: dns.message.Message) -> int:
    """How long a 'no' holds, by the SOA."""
    soa = next(
        (
            one
            for one in message.authority
            if one.rdtype == dns.rdatatype.SOA and one.rdclass == dns.rdataclass.IN
        ),
        None,
    )
    return MIN_TTL if soa is None else max(MIN_TTL, min(MAX_NEGATIVE_TTL, soa.ttl, soa[0].minimum))
