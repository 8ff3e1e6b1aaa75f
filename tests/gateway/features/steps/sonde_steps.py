"""Steps of sonde.feature: fleets of fronts in virtual time."""

import copy
import random

from behave import given, then, when

from tests.gateway.air import MS, SECOND, Air, address
from umbermoor.gateway.balancing.retry_budget import RetryBudget
from umbermoor.gateway.membership.failure_detector import Sonde
from umbermoor.gateway.membership.messages import MOST, Kind, Letter, News, State, read, written

WINDOW = 10 * SECOND


def state(sonde: Sonde) -> str:
    """All that it holds, in words."""
    held = {name: value for name, value in vars(sonde).items() if name != "chance"}
    return repr(held) + repr(sonde.chance.getstate())


@given(
    "fronts in the air: {fronts:d}, with {loss:d} % lost, {doubled:d} % doubled and {late:d} % late, "
    "by seed {seed:d}"
)
def fleet(context, fronts, loss, doubled, late, seed):
    context.air = Air(seed, fronts, loss / 100, doubled / 100, late / 100)
    context.fronts = fronts
    context.air.start_all()


@when("fronts go on for {seconds:d} s")
def go_on(context, seconds):
    context.air.run(seconds)


@then("fronts all know each other within {seconds:d} s")
def know_all(context, seconds):
    air = context.air
    assert air.until(air.all_know_all, seconds) is not None, [
        sonde.story() for sonde in air.running()
    ][:9]
    context.began = air.now
    context.sent = {ip: (place.sent, place.bytes_sent) for ip, place in air.places.items()}


@when("fronts' number {at:d} is killed")
def killed(context, at):
    context.air.kill(address(at))


@when("fronts' number {at:d} leaves")
def leaves(context, at):
    context.air.leave(address(at))


@then("fronts leave out number {at:d} within {seconds:d} s")
def left_out(context, at, seconds):
    assert context.air.until(lambda: context.air.counting(address(at)) == 0, seconds) is not None


@then("fronts but number {but:d} leave out number {at:d} within {seconds:d} s")
def left_out_but(context, but, at, seconds):
    others = [sonde for sonde in context.air.running() if sonde.me != address(but)]
    assert (
        context.air.until(lambda: all(one.count() == context.fronts - 1 for one in others), seconds)
        is not None
    )
    assert not any(address(at) in one.alive() for one in others)


@when("fronts' number {at:d} starts, knowing {others:d} others")
def starts(context, at, others):
    context.air.start(address(at), tuple(address(at + 1 + other) for other in range(others)))


@when("fronts' number {at:d} starts, knowing {others:d} others, in life {life:d}")
def starts_in_life(context, at, others, life):
    context.air.start(address(at), tuple(address(at + 1 + other) for other in range(others)), life)


@then("fronts know number {at:d} within {seconds:d} s")
def known(context, at, seconds):
    air = context.air
    assert (
        air.until(lambda: air.knowing(address(at)) == len(air.running()) - 1, seconds) is not None
    )


@when("fronts' number {at:d} is killed and started again within 300 ms")
def again(context, at):
    air = context.air
    context.restarts = air.sum("restarted")
    air.kill(address(at))
    air.run(0.3)
    air.start(address(at), (address(0),))


@then("fronts know number {at:d} as a new life within {seconds:d} s")
def new_life(context, at, seconds):
    air = context.air
    assert (
        air.until(lambda: air.sum("restarted") - context.restarts >= context.fronts - 1, seconds)
        is not None
    )
    assert air.until(lambda: air.knowing(address(at)) == context.fronts - 1, 1) is not None


@then("fronts have removed nobody who ran but number {at:d}")
def removed_only(context, at):
    air = context.air
    assert air.sum("removed") <= context.fronts - 1  # once by each, of the one killed
    assert air.until(air.all_know_all, 2) is not None


@then("fronts have removed nobody")
def removed_nobody(context):
    assert context.air.sum("removed") == 0


@then(
    "fronts each sent at most {count:d} datagrams and {size:d} bytes a second, and none above {most:d} bytes"
)
def sent(context, count, size, most):
    passed = (context.air.now - context.began) / SECOND
    for ip, place in context.air.places.items():
        before, before_bytes = context.sent[ip]
        assert place.sent - before <= count * passed, (place.sent - before) / passed
        assert place.bytes_sent - before_bytes <= size * passed, (
            place.bytes_sent - before_bytes
        ) / passed
        assert place.largest <= most


@when("fronts with numbers below {below:d} are cut off from the rest")
def cut(context, below):
    some = {address(at) for at in range(below)}
    context.air.cut = lambda one, other: (one in some) != (other in some)


@when("fronts' number {at:d} suspects number {other:d}, and is then cut off")
def suspects_then_cut(context, at, other):
    sonde = context.air.places[address(at)].sonde
    assert context.air.until(lambda: address(other) not in sonde.alive(), 5) is not None
    assert sonde.count() == context.fronts
    cut(context, 1)


@when("fronts' cut heals")
def heals(context):
    context.air.cut = lambda one, other: False


@then("fronts' number {at:d} counts {count:d}")
def counts(context, at, count):
    assert context.air.places[address(at)].sonde.count() == count, context.air.places[
        address(at)
    ].sonde.story()


@then("fronts' number {at:d} holds {count:d} suspect")
def suspects(context, at, count):
    assert context.air.places[address(at)].sonde.story()["suspects"] == count


@then("fronts' number {at:d} has doubted itself if {least:d} is above 500")
def doubted(context, at, least):
    assert least <= 500 or context.air.places[address(at)].sonde.story()["doubted_self"] > 0


@when("a sonde hears that number {at:d} is suspect, and sleeps for {seconds:d} s")
def sleeps(context, at, seconds):
    air = context.air
    place, version = air.places[address(0)], air.places[address(at)].sonde.version
    news = [News(State.SUSPECT, address(at), version)]
    air.carry(
        address(1),
        [(address(0), written(Letter(Kind.TELL, address(1), (0, 0), 0, address(1), news)))],
    )
    air.run(0.01)
    assert place.sonde.story()["suspects"] == 1
    place.sleeps = seconds * SECOND, seconds * SECOND + 1
    air.run(0.2)  # its next tick begins the sleep
    air.run(seconds)
    place.sleeps = 0, 0
    air.run(seconds)


@then("fronts' number {at:d} takes a later version than its former life's within {seconds:d} s")
def later_version(context, at, seconds):
    sonde, former = context.air.places[address(at)].sonde, context.began
    assert context.air.until(lambda: sonde.version[0] > 7, seconds) is not None
    assert context.air.until(context.air.all_know_all, 2) is not None
    assert sonde.version < (former, 0)  # of that life, with a higher incarnation


@when("fronts' number {at:d} ticks late, by {least:d} to {most:d} ms")
def late(context, at, least, most):
    context.air.places[address(at)].sleeps = least * MS, most * MS


@when("fronts' number {at:d} is in time again")
def in_time(context, at):
    context.air.places[address(at)].sleeps = 0, 0


@then("fronts' number {at:d} has removed nobody")
def has_removed_nobody(context, at):
    assert context.air.places[address(at)].sonde.story()["removed"] == 0


@then("fronts other than number {at:d} have removed none but number {same:d}")
def removed_but(context, at, same):
    truth = {address(one) for one in range(context.fronts)} - {address(at)}
    for sonde in context.air.running():
        assert truth <= {*sonde.alive(), *sonde._members}
        assert set(sonde._gone) <= {address(at)}


@when("a sonde gets a well-formed probe from {ip}, where nobody answers")
def stranger(context, ip):
    context.air.carry(ip, [(address(0), written(Letter(Kind.PROBE, ip, (5, 0), 77, ip)))])


@then("a sonde does not believe {ip} alive, for {seconds:d} s")
def not_believed(context, ip, seconds):
    for _ in range(seconds * 4):
        context.air.run(0.25)
        assert all(
            ip not in sonde.alive() and ip not in sonde._members for sonde in context.air.running()
        )


@when("a sonde gets news by a stranger that number {at:d} is gone, and that {ip} lives")
def rumour(context, at, ip):
    air = context.air
    version = air.places[address(at)].sonde.version
    news = [News(State.GONE, address(at), version), News(State.ALIVE, ip, (9, 9))]
    air.carry(
        "10.9.9.7",
        [(address(0), written(Letter(Kind.TELL, "10.9.9.7", (5, 0), 0, "10.9.9.7", news)))],
    )


@then("a sonde holds number {at:d} alive, and asks {ip} nothing")
def holds(context, at, ip):
    context.air.run(4)
    assert address(at) in context.air.places[address(0)].sonde.alive()
    assert not any(to == ip for _, to, _ in context.air.stranger)


@when("a sonde gets an answer that it did not ask for, from {ip}")
def unasked(context, ip):
    context.air.carry(ip, [(address(0), written(Letter(Kind.ANSWER, ip, (5, 0), 1234, ip)))])


@when("a sonde asks {ip}, and {other} answers")
def wrong_answers(context, ip, other):
    air = context.air
    sonde = air.places[address(0)].sonde
    sonde.heard_of(air.now, [ip])
    number = next(read(data).number for to, data in sonde.tick(air.now) if to == ip)
    air.carry(other, [(address(0), written(Letter(Kind.ANSWER, other, (5, 0), number, other)))])


@then("a sonde is unchanged by {count:d} spoiled datagrams")
def spoiled(context, count):
    chance, air = random.Random(14), context.air
    sonde, me, other = air.places[address(0)].sonde, address(0), address(1)
    news = [News(State.GONE, address(2), (1 << 61, 4)), News(State.SUSPECT, me, (1 << 61, 0))]
    whole = written(Letter(Kind.ASK, other, (1 << 50, 1), 9, me, news))
    before = state(sonde)
    for at in range(count):
        data = bytearray(whole)
        if at % 3 == 0:
            data = bytearray(chance.randbytes(chance.randrange(MOST + 300)))
        elif at % 3 == 1:
            data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        else:
            data = data[: chance.randrange(len(data))] + chance.randbytes(chance.choice((0, 1, 17)))
        assert bytes(data) == whole or sonde.datagram(air.now, other, bytes(data)) == []
    assert state(sonde) == before
    assert read(whole) is not None


@then("a sonde is unchanged by datagrams of others' names")
def others_names(context):
    air = context.air
    sonde = air.places[address(0)].sonde
    before = state(sonde)
    for sender in (address(0), address(1), "10.9.9.9"):
        for kind in Kind:
            data = written(Letter(kind, sender, (1 << 50, 1), 9, address(1)))
            assert sonde.datagram(air.now, address(2), data) == []
            assert sonde.datagram(air.now, address(0), data) == []
    assert state(sonde) == before


@when("a sonde hears of {heard:d} addresses, and gets probes from {probes:d} others")
def flood(context, heard, probes):
    air = context.air
    sonde = air.places[address(0)].sonde
    sonde.heard_of(air.now, [f"10.3.{at // 200}.{at % 200 + 1}" for at in range(heard)])
    context.most = 0
    for at in range(probes):
        ip = f"10.4.{at // 200}.{at % 200 + 1}"
        sonde.datagram(air.now, ip, written(Letter(Kind.PROBE, ip, (5, 0), at, ip)))
    shadow = copy.deepcopy(sonde)
    for at in range(100):
        context.most = max(context.most, len(shadow.tick(air.now + at * 100 * MS)))
    context.shadow = shadow


@then(
    "a sonde holds at most {entries:d} entries in all, and sends at most {sent:d} datagrams a tick"
)
def bounded(context, entries, sent):
    for sonde in (context.air.places[address(0)].sonde, context.shadow):
        held = sum(len(value) for value in vars(sonde).values() if isinstance(value, (dict, list)))
        assert held <= entries, held
    assert context.most <= sent, context.most


@given("a sonde's budget of ratio {ratio:g} within {seconds:d} s")
def budget(context, ratio, seconds):
    context.budget = RetryBudget(ratio, seconds * SECOND)


@then("a sonde's budget of slack {slack:g} has these shares")
def shares(context, slack):
    for row in context.table:
        context.budget.share_slack(round(float(row["s"]) * SECOND), slack, int(row["fronts"]))
        assert context.budget.slack_share == float(row["share"]), (row, context.budget.slack_share)


@then(
    "a sonde's budgets spend at most the slack in any window, in {fleets:d} fleets that start, end and misjudge"
)
def spend(context, fleets):
    slack = 60.0
    for seed in range(fleets):
        chance = random.Random(seed)
        budgets: dict[int, RetryBudget] = {}
        beliefs: dict[int, int] = {}
        spent: list[int] = []
        for step in range(1200):  # of 100 ms
            now = SECOND + step * 100 * MS
            if step % 10 == 0 and chance.random() < 0.5:
                for at in chance.sample(range(30), chance.choice((1, 1, 5, 15))):
                    if chance.random() < 0.5:
                        budgets.pop(at, None)
                    else:  # starts, or starts again
                        budgets[at] = RetryBudget(0.2, WINDOW)
                        beliefs[at] = 0
            for at, one in budgets.items():
                if step % 50 == 0 or not len(budgets) / 2 <= beliefs[at] <= 2 * len(budgets):
                    beliefs[at] = chance.randrange((len(budgets) + 1) // 2, 2 * len(budgets) + 1)
                one.share_slack(now, slack, beliefs[at])
            for one in budgets.values():
                while chance.random() < 0.9 and one.try_spend(now):
                    spent.append(now)
        for first, at in enumerate(spent):
            assert sum(1 for other in spent[first:] if other < at + WINDOW) <= slack, seed
        assert spent
