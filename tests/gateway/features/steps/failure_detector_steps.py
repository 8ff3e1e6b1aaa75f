"""Steps of failure_detector.feature: groups of proxies on a simulated network."""

import copy
import random
from collections.abc import Iterator
from typing import Any

from behave import given, then, when

from tests.gateway.datagram_network import MS, SECOND, DatagramNetwork, address, no_partition
from umbermoor.gateway.balancing.retry_budget import RetryBudget
from umbermoor.gateway.membership.codec import MAX_DATAGRAM_BYTES, decode, encode
from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.membership.messages import (
    Datagram,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageType,
)

WINDOW = 10 * SECOND
OTHER_INCARNATION = Incarnation(5, 0)
HIGH_GENERATION = 1 << 61


def attributes(value: Any) -> Iterator[tuple[str, Any]]:
    """Yield path and value of each attribute, recursing into objects of this package."""
    for name, part in vars(value).items():
        if hasattr(part, "__dict__") and type(part).__module__.startswith("umbermoor"):
            for path, nested in attributes(part):
                yield f"{name}.{path}", nested
        else:
            yield name, part


def state(detector: FailureDetector) -> str:
    """Return the repr of all state, including that of the random generator."""
    values = {
        path: value for path, value in attributes(detector) if not isinstance(value, random.Random)
    }
    return repr(values) + repr(detector.rng.getstate())


def entries(detector: FailureDetector) -> int:
    """Return the total number of entries in all tables and lists, each counted once."""
    tables = {
        id(value): value for _, value in attributes(detector) if isinstance(value, (dict, list))
    }
    return sum(len(table) for table in tables.values())


def detector_at(context: Any, number: int) -> FailureDetector:
    return context.network.nodes[address(number)].running


@given(
    "failure detectors on {proxies:d} proxies, with {loss:d} % loss, {duplication:d} % duplication "
    "and {lateness:d} % late datagrams, seed {seed:d}"
)
def group(context, proxies, loss, duplication, lateness, seed):
    context.network = DatagramNetwork(seed, proxies, loss / 100, duplication / 100, lateness / 100)
    context.proxies = proxies
    context.network.start_all()


@when("the detectors run for {seconds:d} s")
def run(context, seconds):
    context.network.run(seconds)


@then("the detectors converge within {seconds:d} s")
def converge(context, seconds):
    network = context.network
    assert network.run_until(network.converged, seconds) is not None, [
        detector.statistics() for detector in network.running()
    ][:9]
    context.converged_at = network.now
    context.sent = {at: (node.sent, node.bytes_sent) for at, node in network.nodes.items()}


@when("detector {number:d} is killed")
def is_killed(context, number):
    context.network.kill(address(number))


@when("detector {number:d} leaves")
def leaves(context, number):
    context.network.leave(address(number))


@then("all detectors have removed {number:d} within {seconds:d} s")
def have_removed(context, number, seconds):
    network = context.network
    removed = network.run_until(lambda: network.counting(address(number)) == 0, seconds)
    assert removed is not None


@then("all detectors but {excluded:d} have removed {number:d} within {seconds:d} s")
def have_removed_but(context, excluded, number, seconds):
    network = context.network
    others = [other for other in network.running() if other.address != address(excluded)]

    def removed() -> bool:
        return all(other.member_count() == context.proxies - 1 for other in others)

    assert network.run_until(removed, seconds) is not None
    assert not any(address(number) in other.alive() for other in others)


def neighbours(number: int, count: int) -> tuple[str, ...]:
    return tuple(address(number + 1 + other) for other in range(count))


@when("detector {number:d} starts, knowing {others:d} others")
def starts(context, number, others):
    context.network.start(address(number), neighbours(number, others))


@when("detector {number:d} starts, knowing {others:d} others, with generation {generation:d}")
def starts_with_generation(context, number, others, generation):
    context.network.start(address(number), neighbours(number, others), generation)


@then("all detectors believe {number:d} alive within {seconds:d} s")
def believe_alive(context, number, seconds):
    network = context.network

    def believed() -> bool:
        return network.believing_alive(address(number)) == len(network.running()) - 1

    assert network.run_until(believed, seconds) is not None


@when("detector {number:d} is killed and started again within 300 ms")
def restarts(context, number):
    network = context.network
    context.restarts = network.total("restarted")
    network.kill(address(number))
    network.run(0.3)
    network.start(address(number), (address(0),))


@then("all detectors know that {number:d} restarted within {seconds:d} s")
def know_restarted(context, number, seconds):
    network, others = context.network, context.proxies - 1

    def restart_known() -> bool:
        return network.total("restarted") - context.restarts >= others

    assert network.run_until(restart_known, seconds) is not None
    believed = network.run_until(lambda: network.believing_alive(address(number)) == others, 1)
    assert believed is not None


@then("the detectors have removed no proxy but {number:d}")
def removed_only(context, number):
    network = context.network
    assert (
        network.total("removed") <= context.proxies - 1
    )  # the killed proxy, once by each other one
    assert network.run_until(network.converged, 2) is not None


@then("the detectors have removed nobody")
def removed_nobody(context):
    assert context.network.total("removed") == 0


@then(
    "each detector sent at most {count:d} datagrams and {size:d} bytes a second, "
    "and none above {most:d} bytes"
)
def sent(context, count, size, most):
    elapsed = (context.network.now - context.converged_at) / SECOND
    for at, node in context.network.nodes.items():
        sent_before, bytes_before = context.sent[at]
        assert node.sent - sent_before <= count * elapsed, (node.sent - sent_before) / elapsed
        bytes_sent = node.bytes_sent - bytes_before
        assert bytes_sent <= size * elapsed, bytes_sent / elapsed
        assert node.largest_datagram <= most


@when("the detectors below {below:d} are partitioned from the rest")
def partition(context, below):
    side = {address(number) for number in range(below)}
    context.network.partitioned = lambda source, to: (source in side) != (to in side)


@when("detector {number:d} suspects {other:d}, and is then isolated")
def suspects_then_isolated(context, number, other):
    detector = detector_at(context, number)
    suspected = context.network.run_until(lambda: address(other) not in detector.alive(), 5)
    assert suspected is not None
    assert detector.member_count() == context.proxies
    partition(context, 1)


@when("the detectors' partition heals")
def heals(context):
    context.network.partitioned = no_partition


@then("detector {number:d} counts {count:d} members")
def counts(context, number, count):
    detector = detector_at(context, number)
    assert detector.member_count() == count, detector.statistics()


@then("detector {number:d} has {count:d} suspect")
def suspects(context, number, count):
    assert detector_at(context, number).statistics().suspects == count


@then("detector {number:d} has noticed that it stalled if {least:d} is above 500")
def noticed(context, number, least):
    assert least <= 500 or detector_at(context, number).statistics().times_degraded > 0


@when("a detector receives an update that {number:d} is suspect, and stalls for {seconds:d} s")
def stalls_while_suspecting(context, number, seconds):
    network = context.network
    node = network.nodes[address(0)]
    incarnation = detector_at(context, number).incarnation
    updates = [MemberUpdate(MemberState.SUSPECT, address(number), incarnation)]
    gossip = Message(MessageType.GOSSIP, address(1), Incarnation(0, 0), 0, address(1), updates)
    network.send_all(address(1), [Datagram(address(0), encode(gossip))])
    network.run(0.01)
    assert node.running.statistics().suspects == 1
    node.tick_pauses = seconds * SECOND, seconds * SECOND + 1
    network.run(0.2)  # the pause begins at its next tick
    network.run(seconds)
    node.tick_pauses = 0, 0
    network.run(seconds)


@then("detector {number:d} takes a later incarnation than before its restart within {seconds:d} s")
def later_incarnation(context, number, seconds):
    network = context.network
    detector, former_generation = detector_at(context, number), context.converged_at
    raised = network.run_until(lambda: detector.incarnation.generation > 7, seconds)
    assert raised is not None
    assert network.run_until(network.converged, 2) is not None
    # It must be of the former generation, with a higher number.
    assert detector.incarnation < (former_generation, 0)


@when("detector {number:d} stalls for {least:d} to {most:d} ms between ticks")
def stalls(context, number, least, most):
    context.network.nodes[address(number)].tick_pauses = least * MS, most * MS


@when("detector {number:d} stops stalling")
def stops_stalling(context, number):
    context.network.nodes[address(number)].tick_pauses = 0, 0


@then("detector {number:d} has removed nobody")
def has_removed_nobody(context, number):
    assert detector_at(context, number).statistics().transitions.removed == 0


@then("the detectors other than {number:d} have removed no proxy but {excluded:d}")
def removed_none_but(context, number, excluded):
    truth = {address(other) for other in range(context.proxies)} - {address(number)}
    for detector in context.network.running():
        members = {other for other in truth if detector.is_member(other)}
        assert truth <= {*detector.alive(), *members}
        assert set(detector.departed()) <= {address(number)}


@when("a detector receives a well-formed ping from {source}, where nobody answers")
def ping_of_nobody(context, source):
    ping = Message(MessageType.PING, source, OTHER_INCARNATION, 77, source)
    context.network.send_all(source, [Datagram(address(0), encode(ping))])


@then("no detector believes {other} alive, for {seconds:d} s")
def not_believed(context, other, seconds):
    for _ in range(seconds * 4):
        context.network.run(0.25)
        assert all(
            other not in detector.alive() and not detector.is_member(other)
            for detector in context.network.running()
        )


@when(
    "a detector receives updates from an unknown sender that {number:d} is dead and {other} is alive"
)
def updates_from_unknown_sender(context, number, other):
    incarnation = detector_at(context, number).incarnation
    updates = [
        MemberUpdate(MemberState.DEAD, address(number), incarnation),
        MemberUpdate(MemberState.ALIVE, other, Incarnation(9, 9)),
    ]
    sender = "10.9.9.7"
    gossip = Message(MessageType.GOSSIP, sender, OTHER_INCARNATION, 0, sender, updates)
    context.network.send_all(sender, [Datagram(address(0), encode(gossip))])


@then("that detector believes {number:d} alive, and sends nothing to {other}")
def believes(context, number, other):
    context.network.run(4)
    assert address(number) in detector_at(context, 0).alive()
    assert not any(to == other for _, to, _ in context.network.undelivered)


@when("a detector receives an unsolicited ACK from {source}")
def unsolicited_ack(context, source):
    ack = Message(MessageType.ACK, source, OTHER_INCARNATION, 1234, source)
    context.network.send_all(source, [Datagram(address(0), encode(ack))])


@when("a detector pings {target}, and {other} answers")
def other_proxy_answers(context, target, other):
    network = context.network
    detector = detector_at(context, 0)
    detector.discovered(network.now, [target])
    pings = [decode(data) for to, data in detector.tick(network.now) if to == target]
    ack = Message(MessageType.ACK, other, OTHER_INCARNATION, pings[0].sequence_number, other)
    network.send_all(other, [Datagram(address(0), encode(ack))])


@then("a detector is unchanged by {count:d} corrupt datagrams")
def corrupt(context, count):
    rng, now = random.Random(14), context.network.now
    detector, own, other = detector_at(context, 0), address(0), address(1)
    updates = [
        MemberUpdate(MemberState.DEAD, address(2), Incarnation(HIGH_GENERATION, 4)),
        MemberUpdate(MemberState.SUSPECT, own, Incarnation(HIGH_GENERATION, 0)),
    ]
    valid = encode(Message(MessageType.SYNC_PING, other, Incarnation(1 << 50, 1), 9, own, updates))
    before = state(detector)
    for number in range(count):
        data = bytearray(valid)
        if number % 3 == 0:
            data = bytearray(rng.randbytes(rng.randrange(MAX_DATAGRAM_BYTES + 300)))
        elif number % 3 == 1:
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        else:
            data = data[: rng.randrange(len(data))] + rng.randbytes(rng.choice((0, 1, 17)))
        assert bytes(data) == valid or detector.receive(now, other, bytes(data)) == []
    assert state(detector) == before
    assert decode(valid) is not None


@then("a detector is unchanged by misattributed datagrams")
def misattributed(context):
    now = context.network.now
    detector = detector_at(context, 0)
    before = state(detector)
    for sender in (address(0), address(1), "10.9.9.9"):
        for kind in MessageType:
            data = encode(Message(kind, sender, Incarnation(1 << 50, 1), 9, address(1)))
            assert detector.receive(now, address(2), data) == []
            assert detector.receive(now, address(0), data) == []
    assert state(detector) == before


@when("a detector is given {discovered:d} addresses, and pinged from {pings:d} others")
def flood(context, discovered, pings):
    now = context.network.now
    detector = detector_at(context, 0)
    detector.discovered(
        now, [f"10.3.{number // 200}.{number % 200 + 1}" for number in range(discovered)]
    )
    for number in range(pings):
        source = f"10.4.{number // 200}.{number % 200 + 1}"
        ping = Message(MessageType.PING, source, OTHER_INCARNATION, number, source)
        detector.receive(now, source, encode(ping))
    shadow = copy.deepcopy(detector)
    context.most_sent = max(len(shadow.tick(now + number * 100 * MS)) for number in range(100))
    context.shadow = shadow


@then(
    "the detector has at most {most:d} entries in all, and sends at most {sent:d} datagrams a tick"
)
def bounded(context, most, sent):
    for detector in (detector_at(context, 0), context.shadow):
        assert entries(detector) <= most, entries(detector)
    assert context.most_sent <= sent, context.most_sent


@given("a proxy's retry budget of ratio {ratio:g} within {seconds:d} s")
def budget(context, ratio, seconds):
    context.budget = RetryBudget(ratio, seconds * SECOND)


@then("the retry budget has these shares of a slack of {slack:g}")
def shares(context, slack):
    for row in context.table:
        now = round(float(row["s"]) * SECOND)
        context.budget.share_slack(now, slack, int(row["proxies"]))
        assert context.budget.slack_share == float(row["share"]), (row, context.budget.slack_share)


@then(
    "retry budgets spend at most the slack in any window, in {groups:d} groups whose proxies start, "
    "end and misjudge their number"
)
def spend(context, groups):
    slack = 60.0
    for seed in range(groups):
        rng = random.Random(seed)
        budgets: dict[int, RetryBudget] = {}
        beliefs: dict[int, int] = {}
        spent: list[int] = []
        for step in range(1200):  # steps of 100 ms
            now = SECOND + step * 100 * MS
            if step % 10 == 0 and rng.random() < 0.5:
                for number in rng.sample(range(30), rng.choice((1, 1, 5, 15))):
                    if rng.random() < 0.5:
                        budgets.pop(number, None)
                    else:  # starts, or starts again
                        budgets[number] = RetryBudget(0.2, WINDOW)
                        beliefs[number] = 0
            for number, budget in budgets.items():
                plausible = len(budgets) / 2 <= beliefs[number] <= 2 * len(budgets)
                if step % 50 == 0 or not plausible:
                    beliefs[number] = rng.randrange((len(budgets) + 1) // 2, 2 * len(budgets) + 1)
                budget.share_slack(now, slack, beliefs[number])
            for budget in budgets.values():
                while rng.random() < 0.9 and budget.try_spend(now):
                    spent.append(now)
        for first, at in enumerate(spent):
            assert sum(1 for other in spent[first:] if other < at + WINDOW) <= slack, seed
        assert spent
