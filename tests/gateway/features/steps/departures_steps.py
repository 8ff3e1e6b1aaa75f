"""Clients that leave a proxy on 127.0.0.1 before their response."""

from behave import then, when

from tests.gateway.loopback_proxy import reset


@when(
    "a proxy's instances hang, and a client with a request that is {kind} has {how} its connection"
)
def _(context, kind, how):
    loopback = context.loopback
    loopback.instances.behaviors = ["hangs"] * 4

    async def scenario():
        client = await loopback.client()
        before = len(loopback.instances.came)
        client.send(f"{how}-{kind}", kind)
        await loopback.until(lambda: len(loopback.instances.came) > before)
        if how == "reset":
            reset(client.writer)
        else:
            client.writer.close()
        requests = loopback.proxy.requests.departures.requests
        counted = sum(requests.values())
        await loopback.until(lambda: sum(requests.values()) > counted)

    loopback.run(scenario())


@then("a proxy counts {ended:d} request left by an end, and {reset:d} by a reset")
def _(context, ended, reset):
    counts = context.loopback.proxy.requests.departures.counts()
    assert (counts["left_ended"], counts["left_reset"]) == (ended, reset), counts
    names = {metric.name for metric in context.loopback.proxy.metrics()}
    assert {"requests_left_ended", "requests_left_begun_later"} <= names, names
