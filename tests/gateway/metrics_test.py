"""The metrics endpoint of a process."""

import asyncio

from umbermoor.gateway.server.http_endpoint import MAX_CONNECTIONS, Endpoint, Page, readiness
from umbermoor.gateway.server.metrics import Metric, exposition, labelled

LOOPBACK_ADDRESS = "127.0.0.1"
TIMEOUT_S = 20


async def get(port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection(LOOPBACK_ADDRESS, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
    async with asyncio.timeout(TIMEOUT_S):
        response = await reader.read()
    writer.close()
    return response


def port_of(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]


def test_metrics_are_exposed_as_lines_of_text():
    metrics = [Metric("ready", True), *labelled("attempts_total", "outcome", {"complete": 3})]
    assert exposition(metrics) == (
        b'umbermoor_ready 1\numbermoor_attempts_total{outcome="complete"} 3\n'
    )


def test_connections_to_metrics_do_not_count_against_readiness():
    async def scenario():
        metrics_server = await Endpoint({"/metrics": lambda: Page(200, b"x 1\n")}).listen(
            LOOPBACK_ADDRESS, 0
        )
        readiness_server = await Endpoint({"/ready": readiness(lambda: True)}).listen(
            LOOPBACK_ADDRESS, 0
        )
        assert (await get(port_of(metrics_server), "/metrics")).endswith(b"\r\n\r\nx 1\n")
        assert (await get(port_of(metrics_server), "/other")).startswith(b"HTTP/1.1 404 ")
        opened = [
            await asyncio.open_connection(LOOPBACK_ADDRESS, port_of(metrics_server))
            for _ in range(MAX_CONNECTIONS)
        ]
        assert (await get(port_of(readiness_server), "/ready")).startswith(b"HTTP/1.1 200 ")
        for _, writer in opened:
            writer.close()
        for server in (metrics_server, readiness_server):
            server.close()

    asyncio.run(scenario())
