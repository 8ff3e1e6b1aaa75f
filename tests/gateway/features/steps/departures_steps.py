"""Clients that leave a proxy on 127.0.0.1 before they get a response."""

import asyncio

from behave import then, when

from tests.gateway.loopback_proxy import reset
from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.server.departures import Departure

# For the requests here; a hedge is sent after 45 % of it, on a machine of any speed.
TIME_REMAINING_MS = 800
WAIT_HEADER = f"X-Time-Remaining: {TIME_REMAINING_MS}"
# An aborted attempt ends at once; any other ends 0.1 s after the 5 s timeout of its route.
WELL_BEFORE_DEADLINE_S = 3.0


def leave(client, how):
    if how == "reset its connection":
        reset(client.writer)
    elif how == "half-closed its connection":
        client.writer.write_eof()
    else:
        client.writer.close()


def leave_during_request(context, kind, how, behavior):
    """Have a client leave while its request is at an instance with this behavior."""
    loopback = context.loopback
    loopback.instances.released.clear()
    loopback.instances.behaviors = [behavior]
    kind, _, short = kind.partition(" and ")

    async def scenario():
        context.client = client = await loopback.client()
        context.received_before = len(loopback.instances.received)
        context.id = f"{kind} {short} {behavior} {how}".replace(" ", "-")
        client.send(context.id, kind, b"", "x", None, *([WAIT_HEADER] if short else []))
        await loopback.wait_until(
            lambda: len(loopback.instances.received) > context.received_before
        )
        leave(client, how)
        context.left_at = asyncio.get_running_loop().time()
        await loopback.next_departure()

    loopback.run(scenario())


@when(
    "a proxy's instances hang, and a client with a request that is {kind} has {how} its connection"
)
def _(context, kind, how):
    leave_during_request(context, kind, f"{how} its connection", "hangs")


@when(
    "a proxy's instances answer when released, and a client with a request that is {kind} has {how}"
)
def _(context, kind, how):
    leave_during_request(context, kind, how, "when released")


@when(
    "a proxy's instances reject requests when released, and a client with a request that is {kind} has {how}"
)
def _(context, kind, how):
    leave_during_request(context, kind, how, "full when released")
    context.loopback.instances.released.set()


@when("a client with an unsafe request at an instance and a safe one pipelined after it has {how}")
def _(context, how):
    loopback = context.loopback
    loopback.instances.released.clear()
    loopback.instances.behaviors = ["when released"]

    async def scenario():
        client = await loopback.client()
        context.received_before = len(loopback.instances.received)
        client.send("first", "unsafe", b"", "x", None, WAIT_HEADER)
        await loopback.wait_until(
            lambda: len(loopback.instances.received) > context.received_before
        )
        client.send("second", "safe", b"", "x", None, WAIT_HEADER)
        leave(client, how)
        context.left_at = asyncio.get_running_loop().time()
        await loopback.next_departure()
        loopback.instances.released.set()

    loopback.run(scenario())


@then("a proxy sends no further attempt for that client until the deadline of its request")
def _(context):
    loopback = context.loopback

    async def scenario():
        deadline = context.left_at + TIME_REMAINING_MS / 1000
        await loopback.wait_until(lambda: asyncio.get_running_loop().time() > deadline)
        await loopback.wait_until(lambda: not loopback.proxy.requests.active)

    loopback.run(scenario())
    received = loopback.instances.received[context.received_before :]
    assert len(received) == 1, received
    counts = loopback.proxy.requests.departures.counts()
    assert not counts["left_begun_later"], counts


@then("a proxy has aborted that request well before its deadline")
def _(context):
    loopback = context.loopback

    async def scenario():
        await loopback.wait_until(lambda: context.id in loopback.instances.disconnected_ids)
        elapsed_s = asyncio.get_running_loop().time() - context.left_at
        assert elapsed_s < WELL_BEFORE_DEADLINE_S, elapsed_s
        assert not loopback.proxy.requests.active
        instances = loopback.proxy.instances.by_id.values()
        assert not any(instance.load.in_flight for instance in instances)
        assert not any(instance.ejection.consecutive_failures for instance in instances)

    loopback.run(scenario())


@then("a proxy lets that request continue, and its client can read the response")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.released.set()
        context.client.assert_own_response(
            await context.client.next_response(), context.id, "unsafe"
        )
        assert await context.client.next_response() is None

    loopback.run(scenario())


@then("a proxy lets that request continue, and keeps the connection to its instance")
def _(context):
    loopback = context.loopback

    async def scenario():
        loopback.instances.released.set()
        await loopback.wait_until(
            lambda: loopback.proxy.requests.outcome_counts[AttemptOutcome.COMPLETE] == 2
        )
        assert context.id not in loopback.instances.disconnected_ids
        assert any(loopback.proxy.pool.idle.values())

    loopback.run(scenario())


@then("a proxy counts {ended:d} request whose client left by a FIN, and {reset:d} by a reset")
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
        await loopback.wait_until(
            lambda: any(connection.reading_paused for connection in connections)
        )
        leave(client, how)

    loopback.run(scenario())


@then("a proxy that sweeps its connections has nothing in progress for it")
def _(context):
    proxy = context.loopback.proxy

    def ended():
        proxy.clients.sweep()
        return not proxy.requests.active and not proxy.clients.connections

    began = context.loopback.clock()
    context.loopback.run(context.loopback.wait_until(ended))
    assert context.loopback.clock() - began < WELL_BEFORE_DEADLINE_S
    assert proxy.requests.departures.requests[Departure.ENDED] > 0
