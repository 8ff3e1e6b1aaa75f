"""Clients that leave a proxy on 127.0.0.1 before their response."""

import asyncio

from behave import then, when

from tests.gateway.loopback_proxy import reset
from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.server.departures import Departure

# Of the requests here; a hedge comes after 45 % of it, on whatever computer.
TIME_REMAINING_MS = 800
WAIT_HEADER = f"X-Time-Remaining: {TIME_REMAINING_MS}"
# A run that is broken off ends at once; one that is not, 0.1 s behind the 5 s of its route.
WELL_BEFORE_DEADLINE_S = 3.0


def leave(client, how):
    if how == "reset its connection":
        reset(client.writer)
    elif how == "ended its sending":
        client.writer.write_eof()
    else:
        client.writer.close()


def request_has_left(context, kind, how, behavior):
    """A client's request is at an instance that acts so; then the client leaves."""
    loopback = context.loopback
    loopback.instances.released.clear()
    loopback.instances.behaviors = [behavior]
    kind, _, short = kind.partition(" and ")

    async def scenario():
        context.client = client = await loopback.client()
        context.came_before = len(loopback.instances.came)
        context.id = f"{kind} {short} {behavior} {how}".replace(" ", "-")
        client.send(context.id, kind, b"", "x", None, *([WAIT_HEADER] if short else []))
        await loopback.until(lambda: len(loopback.instances.came) > context.came_before)
        leave(client, how)
        context.left_at = asyncio.get_running_loop().time()
        await loopback.next_departure()

    loopback.run(scenario())


@when(
    "a proxy's instances hang, and a client with a request that is {kind} has {how} its connection"
)
def _(context, kind, how):
    request_has_left(context, kind, f"{how} its connection", "hangs")


@when(
    "a proxy's instances answer when released, and a client with a request that is {kind} has {how}"
)
def _(context, kind, how):
    request_has_left(context, kind, how, "when released")


@when(
    "a proxy's instances turn requests away when released, and a client with a request that is {kind} has {how}"
)
def _(context, kind, how):
    request_has_left(context, kind, how, "full when released")
    context.loopback.instances.released.set()


@when("a client with an unsafe request at an instance and a safe one behind it has {how}")
def _(context, how):
    loopback = context.loopback
    loopback.instances.released.clear()
    loopback.instances.behaviors = ["when released"]

    async def scenario():
        client = await loopback.client()
        context.came_before = len(loopback.instances.came)
        client.send("first", "unsafe", b"", "x", None, WAIT_HEADER)
        await loopback.until(lambda: len(loopback.instances.came) > context.came_before)
        client.send("second", "safe", b"", "x", None, WAIT_HEADER)
        leave(client, how)
        context.left_at = asyncio.get_running_loop().time()
        await loopback.next_departure()
        loopback.instances.released.set()

    loopback.run(scenario())


@then("a proxy sends nothing more for that client, until the time of its request is over")
def _(context):
    loopback = context.loopback

    async def scenario():
        over = context.left_at + TIME_REMAINING_MS / 1000
        await loopback.until(lambda: asyncio.get_running_loop().time() > over)
        await loopback.until(lambda: not loopback.proxy.requests.active)

    loopback.run(scenario())
    came = loopback.instances.came[context.came_before :]
    assert len(came) == 1, came
    counts = loopback.proxy.requests.departures.counts()
    assert not counts["left_begun_later"], counts


@then("a proxy has broken that run off well before its deadline")
def _(context):
    loopback = context.loopback

    async def scenario():
        await loopback.until(lambda: context.id in loopback.instances.over)
        taken_s = asyncio.get_running_loop().time() - context.left_at
        assert taken_s < WELL_BEFORE_DEADLINE_S, taken_s
        assert not loopback.proxy.requests.active
        instances = loopback.proxy.instances.by_id.values()
        assert not any(instance.load.in_flight for instance in instances)
        assert not any(instance.ejection.consecutive_failures for instance in instances)

    loopback.run(scenario())


@then("a proxy lets that run go on, and its client can read the response")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.released.set()
        context.client.own(await context.client.answer(), context.id, "unsafe")
        assert await context.client.answer() is None

    loopback.run(scenario())


@then("a proxy lets that run go on, and keeps the connection to its instance")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.released.set()
        await loopback.until(
            lambda: loopback.proxy.requests.outcome_counts[AttemptOutcome.COMPLETE] == 2
        )
        assert context.id not in loopback.instances.over
        assert any(loopback.proxy.pool.idle.values())

    loopback.run(scenario())


@then("a proxy counts {ended:d} request left by an end, and {reset:d} by a reset")
def _(context, ended, reset):
    counts = context.loopback.proxy.requests.departures.counts()
    assert (counts["left_ended"], counts["left_reset"]) == (ended, reset), counts
    names = {metric.name for metric in context.loopback.proxy.metrics()}
    assert {"requests_left_ended", "requests_left_begun_later"} <= names, names


@when("a client with {count:d} safe requests at instances that hang has {how}")
def _(context, count, how):
    loopback = context.loopback
    loopback.instances.behaviors = ["hangs"] * 2 * count

    async def scenario():
        client = await loopback.client()
        for number in range(count):
            client.send(f"many{number}", "safe")
        connections = loopback.proxy.clients.connections
        await loopback.until(lambda: any(one.reading_paused for one in connections))
        leave(client, how)

    loopback.run(scenario())


@then("a proxy that looks after its connections has nothing under way for it")
def _(context):
    proxy = context.loopback.proxy

    def ended():
        proxy.clients.sweep()
        return not proxy.requests.active and not proxy.clients.connections

    began = context.loopback.clock()
    context.loopback.run(context.loopback.until(ended))
    assert context.loopback.clock() - began < WELL_BEFORE_DEADLINE_S
    assert proxy.requests.departures.requests[Departure.ENDED] > 0
