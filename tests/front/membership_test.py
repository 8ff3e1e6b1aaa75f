"""Membership: state of sources, merge rules, DNS responses, saved list, subsets; and a front's
machine list while its DNS server fails or lies."""

import itertools
import random

import dns.flags
import dns.message
import dns.rrset
import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from umbermoor.front.interface import Readiness
from umbermoor.front.membership.conclusion import Concluder, describe_membership, difference
from umbermoor.front.membership.dns_messages import (
    MAX_TTL,
    MIN_TTL,
    Failed,
    ServiceAbsent,
    ServiceFound,
    Truncated,
    Unrelated,
    question,
    read,
)
from umbermoor.front.membership.dns_queries import DnsQuery, Server, SrvResolver, srv_endpoints
from umbermoor.front.membership.saved_list import SavedList, load, pack, save, unpack
from umbermoor.front.membership.sources import (
    CONFIRMED_AFTER,
    MAX_ENTRIES,
    MAX_HOLD,
    SECOND,
    STEADY_FIRST,
    SeenMachine,
    SourceTracker,
)
from umbermoor.front.membership.subsets import Ring, rendezvous, rounds, spread_rendezvous
from umbermoor.front.sealed_files import UnusableFile
from umbermoor.lab.sockets.nameserver import NameServer

NAME = "_zone._tcp.soner.example.org."


def seen(*names: str, **more) -> list[SeenMachine]:
    return [SeenMachine(name, ("127.0.0.1", 1000 + sum(name.encode())), **more) for name in names]


def tracker(*sources: tuple[str, bool, int]) -> SourceTracker:
    return SourceTracker(sources or (("list", True, 0), ("srv", True, 0)))


# State of one source.


def test_a_failing_source_keeps_its_last_list_and_an_authoritative_one_removes_at_once():
    one = tracker(("srv", True, 10 * SECOND))
    one.report_all(SECOND, "srv", seen("a", "b"))
    one.report_failure(2 * SECOND, "srv", "no answer")
    assert set(one.present_machines(3 * SECOND, "srv")) == {"a", "b"}
    assert one.present_machines(12 * SECOND, "srv") == {}  # too old
    one.report_all(13 * SECOND, "srv", seen("b"))
    assert set(one.present_machines(13 * SECOND, "srv")) == {"b"}
    assert [event.what for event in one.events if event.machine == "a"] == ["is there", "is gone"]


def test_a_sudden_loss_of_a_source_without_authority_is_withheld_until_confirmed_or_timed_out():
    one = tracker(("srv", False, 0))
    one.report_all(0, "srv", seen(*"abcdef"))
    one.report_all(1, "srv", seen("a"))
    assert len(one.present_machines(1, "srv")) == 6
    one.report_all(2, "srv", seen(*"abcdef"))
    assert not one.sources["srv"].withheld
    for at in range(CONFIRMED_AFTER + 1):
        one.report_all(3 + at, "srv", seen("a"))
    assert set(one.present_machines(9, "srv")) == {"a"}
    other = tracker(("srv", False, 0))
    other.report_all(0, "srv", seen(*"abcdef"))
    other.report_all(1, "srv", [])
    other.tick(MAX_HOLD)
    assert len(other.present_machines(MAX_HOLD, "srv")) == 6
    other.tick(MAX_HOLD + 1)
    assert other.present_machines(MAX_HOLD + 1, "srv") == {}
    goodbye = tracker(("srv", False, 0))
    goodbye.report_all(0, "srv", seen(*"abcdef"))
    goodbye.report_changes(1, "srv", seen(*"abcde", readiness=Readiness.GONE))
    assert set(goodbye.present_machines(1, "srv")) == {"f"}


def test_a_flapping_machine_waits_longer_each_time_and_is_always_removed_at_once():
    one, waits = tracker(("srv", True, 0)), []
    one.report_all(1, "srv", seen("a", "b"))
    for turn in range(1, 5):
        at = turn * 70 * SECOND
        one.report_all(at, "srv", seen("b"))
        assert set(one.present_machines(at, "srv")) == {"b"}
        one.report_all(at + 1, "srv", seen("a", "b"))
        waits.append(one.steady_at(one.sources["srv"], "a") - at - 1)
        assert (
            set(one.present_machines(at + waits[-1], "srv")) == {"b"}
            and len(one.present_machines(at + waits[-1] + 1, "srv")) == 2
        )
    assert waits == [STEADY_FIRST << turn for turn in range(4)]


def test_older_versions_and_entries_over_the_limit_are_ignored():
    one = tracker(("srv", True, 0))
    one.report_all(1, "srv", seen("a"), 7)
    assert one.report_all(2, "srv", seen("b"), 6) is False and set(
        one.present_machines(2, "srv")
    ) == {"a"}
    one.report_all(
        3, "srv", (SeenMachine(f"m{at}", ("h", at)) for at in range(MAX_ENTRIES * 50)), 8
    )
    assert len(one.sources["srv"].machines) == MAX_ENTRIES


# Merge rules.


@pytest.mark.parametrize(
    "rule, more, expected",
    [
        ("first", {}, "ab"),
        ("any", {}, "abc"),
        ("all", {}, "b"),
        ("quorum", {"quorum": 1}, "abc"),
        ("quorum", {"quorum": 9}, "b"),
        ("split", {"existence": "srv", "facts": "list"}, "bc"),
    ],
)
def test_each_rule(rule, more, expected):
    one = tracker()
    one.report_all(1, "list", seen("a", "b", build=4))
    one.report_all(1, "srv", seen("b", "c"))
    found = Concluder(one, rule, **more).conclude(2)
    assert "".join(found.members) == expected and not found.is_stale
    assert all(member.by and member.why for member in found.members.values())
    assert found.members["b"].seen.build == 4


def test_any_source_can_drain_a_machine_and_two_names_of_one_address_are_merged():
    one = tracker()
    one.report_all(1, "list", [SeenMachine("real", ("127.0.0.1", 9), build=3)])
    one.report_all(1, "srv", [SeenMachine("host:9", ("127.0.0.1", 9), Readiness.DRAINING)])
    found = Concluder(one, "any").conclude(2)
    assert (
        list(found.members) == ["real"]
        and found.members["real"].seen.readiness is Readiness.DRAINING
    )
    assert found.members["real"].by == ("list", "srv")


def test_without_a_usable_source_the_last_result_stays():
    one = tracker(("list", True, SECOND), ("srv", True, SECOND))
    concluder = Concluder(one, "any")
    assert concluder.conclude(0).is_stale
    one.report_all(1, "list", seen("a"))
    assert not concluder.conclude(2).is_stale
    one.report_failure(3, "list", "down")
    found = concluder.conclude(5 * SECOND)
    assert found.is_stale and set(found.members) == {"a"}
    assert any("fails (down)" in line for line in describe_membership(5 * SECOND, concluder))
    assert describe_membership(5, concluder, "zz")[-1] or "not in the list" in "".join(
        describe_membership(5, concluder, "zz")
    )


statements = some.lists(
    some.tuples(
        some.sampled_from(["list", "srv", "file"]),
        some.sampled_from(["whole", "fail"]),
        some.sets(some.sampled_from("abcdef")),
    ),
    max_size=12,
)


@settings(max_examples=120, deadline=None)
@given(statements, some.sampled_from(["first", "any", "all", "quorum"]))
def test_failures_never_empty_the_list_and_removals_are_never_delayed(steps, rule):
    one = SourceTracker([("list", True, 0), ("srv", True, 0), ("file", True, 0)])
    concluder, now = Concluder(one, rule), 1
    one.report_all(now, "list", seen("a", "b"))
    before = set(concluder.conclude(now).members)
    for name, what, names in steps:
        now += SECOND
        if what == "fail":
            one.report_failure(now, name, "down")
            assert before <= set(concluder.conclude(now).members) | before - set(
                concluder.conclude(now).members
            )
            assert bool(concluder.conclude(now).members) or not before
        else:
            one.report_all(now, name, seen(*names))
        found = set(concluder.conclude(now).members)
        named = set().union(*(one.sources[source].machines for source in one.sources))
        assert found <= named
        before = found


@given(some.permutations(["list", "srv", "file"]))
def test_the_order_in_which_sources_speak_does_not_matter(order):
    sets = {"list": "ab", "srv": "bc", "file": "cd"}
    for rule in ("any", "all", "quorum", "first"):
        results = []
        for turns in (order, sorted(order)):
            one = SourceTracker([("list", True, 0), ("srv", True, 0), ("file", True, 0)])
            for name in turns:
                one.report_all(1, name, seen(*sets[name]))
            results.append(Concluder(one, rule).conclude(2).members)
        assert results[0] == results[1]


def test_difference_lists_changed_new_and_removed_machines():
    one = tracker()
    one.report_all(1, "list", seen("a", "b"))
    concluder = Concluder(one, "first")
    old = concluder.conclude(1).members
    one.report_all(2, "list", [SeenMachine("a", ("127.0.0.1", 5)), *seen("c")])
    _, entries = difference(old, concluder.conclude(2).members)
    assert [(one.machine, one.readiness) for one in entries] == [
        ("a", Readiness.READY),
        ("c", Readiness.READY),
        ("b", Readiness.GONE),
    ]


# DNS.


def answer(
    id: int = 7,
    records: tuple[str, ...] = ("0 5 80 a.x.",),
    ttl: int = 30,
    more=lambda message: None,
) -> bytes:
    message = dns.message.make_response(dns.message.from_wire(question(NAME, id)))
    if records:
        message.answer.append(dns.rrset.from_text(NAME, ttl, "IN", "SRV", *records))
    message.additional.append(dns.rrset.from_text("a.x.", ttl, "IN", "A", "127.0.0.9"))
    more(message)
    return message.to_wire(max_size=65535)


def test_each_kind_of_dns_response_is_recognized():
    found = read(answer(), NAME, 7)
    assert (
        isinstance(found, ServiceFound)
        and found.ttl == 30
        and srv_endpoints(found) == [("a.x:80", ("127.0.0.9", 80), 5)]
    )
    assert isinstance(read(answer(), NAME, 8), Unrelated) and isinstance(
        read(answer(), "other.org.", 7), Unrelated
    )
    assert isinstance(read(question(NAME, 7), NAME, 7), Unrelated)  # our own query, sent back
    assert isinstance(
        read(answer(more=lambda m: setattr(m, "flags", m.flags | dns.flags.TC)), NAME, 7), Truncated
    )
    assert isinstance(read(answer(records=("0 0 0 .",)), NAME, 7), ServiceAbsent)
    assert isinstance(read(answer(records=()), NAME, 7), ServiceAbsent)
    assert (
        read(answer(ttl=0), NAME, 7).ttl == MIN_TTL
        and read(answer(ttl=604800), NAME, 7).ttl == MAX_TTL
    )
    assert read(answer(records=("0 5 80 b.x.",)), NAME, 7).unknown == ("b.x",)
    aliased = answer(
        more=lambda m: m.additional.append(dns.rrset.from_text("a.x.", 30, "IN", "CNAME", "c.x."))
    )
    assert read(aliased, NAME, 7).targets == ()
    many = read(answer(records=tuple(f"0 1 {port} a.x." for port in range(1, 301))), NAME, 7)
    assert len(many.targets) == 300


@settings(max_examples=200, deadline=None)
@given(some.binary(max_size=80), some.integers(0, 200), some.integers(0, 7))
def test_rubbish_raises_nothing(data, place, bit):
    flipped = bytearray(answer())
    flipped[place % len(flipped)] ^= 1 << bit
    for rubbish in (
        data,
        b"\0\x07" + data,
        bytes(flipped),
        b"\0\x07\x80\0\0\1\0\0\0\0\0\0\xc0\x0c\0\x21\0\1",
    ):
        assert isinstance(
            read(rubbish, NAME, 7), ServiceFound | ServiceAbsent | Truncated | Failed | Unrelated
        )


def resolver(*servers: str) -> SrvResolver:
    return SrvResolver(NAME, [Server(one) for one in servers], random.Random(3).random)


def test_after_a_timeout_or_failure_the_next_server_is_queried_and_a_failed_round_is_delayed():
    one = resolver("127.0.0.1:1", "127.0.0.1:2")
    first = one.next_query(0)
    assert one.next_query(1) is None
    second = one.next_query(2 * SECOND)
    assert (
        second.server != first.server
        and one.handle_answer(2 * SECOND, first, answer(first.id)) is None
    )  # after its timeout
    message = dns.message.make_response(dns.message.from_wire(second.data))
    message.set_rcode(2)
    assert isinstance(one.handle_answer(2 * SECOND + 9, second, message.to_wire()), Failed)
    assert one.next_at() > 2 * SECOND + 9 and one.next_query(one.next_at()) is not None


def test_truncated_responses_are_retried_over_tcp_and_missing_host_addresses_queried():
    one = resolver("127.0.0.1:1")
    ask = one.next_query(0)
    tcp = one.handle_answer(
        10, ask, answer(ask.id, more=lambda m: setattr(m, "flags", m.flags | dns.flags.TC))
    )
    assert isinstance(tcp, DnsQuery) and tcp.tcp
    host = one.handle_answer(20, tcp, answer(tcp.id, records=("0 5 80 b.x.",)))
    assert isinstance(host, DnsQuery) and not host.tcp
    reply = dns.message.make_response(dns.message.from_wire(host.data))
    reply.answer.append(dns.rrset.from_text("b.x.", 2, "IN", "A", "127.0.0.8"))
    found = one.handle_answer(30, host, reply.to_wire())
    assert srv_endpoints(found) == [("b.x:80", ("127.0.0.8", 80), 5)] and found.ttl == 2
    assert 30 + SECOND <= one.next_at() <= 30 + 2 * SECOND  # before the TTL ends


# Saved list.


def test_a_saved_list_is_read_whole_or_not_at_all(tmp_path):
    lasting = SavedList(10**15, tuple(seen("a", "b", build=3, zone=1)))
    path = str(tmp_path / "l")
    save(path, lasting)
    assert load(path, 10**15 + 5, SECOND) == lasting and load(str(tmp_path / "none"), 0, 1) is None
    assert (
        "old" in load(path, 10**15 + 2 * SECOND, SECOND).why
        and "future" in load(path, 0, SECOND).why
    )
    data = pack(lasting)
    assert all(isinstance(unpack(data[:cut]), UnusableFile) for cut in range(len(data)))
    newer = pack(lasting._replace(at=10**15 + 1))
    for cut in range(0, len(newer), 7):
        (tmp_path / "l.part").write_bytes(newer[:cut])
        assert load(path, 10**15 + 5, SECOND) == lasting


# Subsets.


def test_subsets_are_deterministic_and_a_removed_machine_changes_only_the_subsets_that_had_it():
    machines = [f"m{at}" for at in range(60)]
    for way in (
        lambda front, some: rendezvous(f"f{front}", some, 10),
        lambda front, some: Ring(some).of(f"f{front}", 10),
    ):
        before = [way(front, machines) for front in range(40)]
        assert before == [way(front, machines[::-1]) for front in range(40)]
        after = [way(front, machines[1:]) for front in range(40)]
        moved = sum(len(set(new) - set(old)) for old, new in zip(before, after))
        assert moved == sum(machines[0] in one for one in before)
    dealt = [rounds(front, machines, 10) for front in range(36)]
    counts = [sum(one in some for some in dealt) for one in machines]
    assert max(counts) - min(counts) <= 1
    spread = spread_rendezvous(
        "f", {"a": machines[:40], "b": machines[40:55], "c": machines[55:]}, 12
    )
    assert len(spread) == 12 and all(
        set(spread) & set(group) for group in (machines[:40], machines[40:55], machines[55:])
    )
    assert len(list(itertools.chain(rendezvous("f", machines, 99)))) == 60


# On sockets, with a DNS server of the test.


def test_a_faulty_dns_server_never_empties_the_list_and_a_removal_is_reported_within_a_second(
    tmp_path,
):
    import subprocess
    import sys

    completed = subprocess.run(
        [sys.executable, "-m", "tests.front.srv_membership", str(tmp_path)],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert NameServer.__doc__
