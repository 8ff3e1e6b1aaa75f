"""The status of a controller, requested through its HTTP API without sockets."""

import asyncio
import json

from behave import then

from umbermoor.gateway.discovery.registry import READY, InstanceRecord


def call_api(controller, call):
    method, path = call.split()
    sent = []

    async def receive():
        return {"type": "http.request", "body": b""}

    async def send(event):
        sent.append(event)

    asyncio.run(
        controller.make_api()({"type": "http", "method": method, "path": path}, receive, send)
    )
    assert sent[0]["status"] == 200, sent
    return json.loads(sent[1]["body"])


@then('the controller answers "{new}" with the epoch, role and version of "{old}"')
def _(context, new, old):
    status, story = call_api(context.core, new), call_api(context.core, old)
    for key in ("name", "epoch", "chain", "role", "version", "connected"):
        assert status[key] == story[key], key
    replica_set = status["replicaSet"]
    assert replica_set["number"] == story["set"] and replica_set["degraded"] == story["thin"]
    assert replica_set["members"] == story["members"]
    assert status["store"]["usedBytes"] == story["disk"]["bytes"] > 0


@then('the controller answers "{new}" with the instances of "{old}"')
def _(context, new, old):
    record = InstanceRecord("i-1", "s", "10.0.0.1:80", "z", "v1", 4, READY, 0, 1)
    context.core.registry.observe(context.core.clock(), record)
    assert call_api(context.core, new)["instances"]["i-1"]["state"] == "ready"
    assert call_api(context.core, old)["machines"].keys() == {"i-1"}
