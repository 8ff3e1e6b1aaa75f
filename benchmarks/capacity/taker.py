"""Trial server for heartbeats with the front's own HTTP parser.

It replaces the HTTP server that members use; `hollow` starts it for its kind `plain`.

Usage: python -m benchmarks.capacity.taker IP PORT
"""

import asyncio
import json
import sys
import time

from benchmarks.capacity.measures import HEARTBEAT_PERIOD_US
from umbermoor.gateway.discovery.registry import InstanceRegistry, record_from_heartbeat
from umbermoor.gateway.server.http_messages import response_bytes
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader, Request

REGISTRY, BUFFERS = InstanceRegistry(1, HEARTBEAT_PERIOD_US), Buffers(64 << 20)


class HeartbeatServer(asyncio.Protocol):
    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.reader = transport, Reader(BUFFERS)

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            if not isinstance(message, Request):
                self.transport.close()
            elif message.target.startswith("/Plants.Heartbeat/"):
                entry = record_from_heartbeat(
                    message.target.rpartition("/")[2], json.loads(message.body)
                )
                REGISTRY.take(round(time.monotonic() * 1e6), entry)
                self.transport.write(response_bytes(200, b"", {}, 15))
            else:
                self.transport.write(response_bytes(200, b"", {}, 15))


async def main(ip: str, port: int) -> None:
    server = await asyncio.get_running_loop().create_server(HeartbeatServer, ip, port, backlog=1024)
    async with asyncio.timeout(60), server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
