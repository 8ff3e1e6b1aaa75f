"""The address at which a process tells its own figures."""

import asyncio

from umbermoor.gateway.server.http_endpoint import MAX_CONNECTIONS, Endpoint, Page, readiness
from umbermoor.gateway.server.metrics import Metric, exposition, labelled

LOOPBACK_ADDRESS = "127.0.0.1"
TIMEOUT_S = 20


async def get(port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection(LOOPBACK_ADDRESS, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
    async with asyncio.timeout(TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer


def port_of(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]


def test_figures_are_lines_of_text():
    metrics = [Metric("ready", True), *labelled("attempts_total", "outcome", {"complete": 3})]
    assert exposition(metrics) == (
        b'umbermoor_ready 1\numbermoor_attempts_total{outcome="complete"} 3\n'
    )


def test_connections_to_the_figures_take_none_of_the_platforms():
    async def scenario():
        figures = await Endpoint({"/metrics": lambda: Page(200, b"x 1\n")}).listen(
            LOOPBACK_ADDRESS, 0
        )
        ready = await Endpoint({"/ready": readiness(lambda: True)}).listen(LOOPBACK_ADDRESS, 0)
        assert (await get(port_of(figures), "/metrics")).endswith(b"\r\n\r\nx 1\n")
        assert (await get(port_of(figures), "/other")).startswith(b"HTTP/1.1 404 ")
        opened = [
            await asyncio.open_connection(LOOPBACK_ADDRESS, port_of(figures))
            for _ in range(MAX_CONNECTIONS)
        ]
        assert (await get(port_of(ready), "/ready")).startswith(b"HTTP/1.1 200 ")
        for _, writer in opened:
            writer.close()
        for server in (figures, ready):
            server.close()

    asyncio.run(scenario())
