"""Malformed frames and unexpected messages to the peer transport of a proxy on 127.0.0.1."""

import asyncio
import json
import zlib

from behave import then

from tests.gateway.loopback_proxy import LOOPBACK_ADDRESS, TIMEOUT_S
from tests.gateway.proxy_inputs import configuration
from umbermoor.gateway.discovery.registry import READY, InstanceRecord
from umbermoor.gateway.server import peer_transport
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, encode_frame


def make_frame(body, compressed=False):
    return (len(body) | (COMPRESSED_FLAG if compressed else 0)).to_bytes(4, "big") + body


@then("a proxy's peer transport closes connections of untrusted peers that send malformed frames")
def _(context):
    loopback = context.loopback
    malformed_frames = [
        b"\xff" * 64,
        (peer_transport.MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        make_frame(b""),
        make_frame(b"{"),
        make_frame(b"[]"),
        make_frame(b"7"),
        make_frame(b"\xff\xfe"),
        make_frame(b"[" * 100_000),
        make_frame(b'{"a":' * 100_000),
        make_frame(b"no", True),
        make_frame(zlib.compress(b"{}" + b" " * peer_transport.MAX_FRAME_BYTES), True),
        make_frame(zlib.compress(b"{}")[:-1] + b"\0", True),
        b"GET / HTTP/1.1\r\n\r\n",
    ]

    async def scenario():
        await loopback.proxy.controllers.peers.listen()
        for data in malformed_frames:
            stream, writer = await asyncio.open_connection(
                LOOPBACK_ADDRESS, loopback.proxy.controllers.peers.port
            )
            writer.write(data)
            async with asyncio.timeout(TIMEOUT_S):
                try:
                    assert await stream.read(1) == b"", data[:20]
                except ConnectionError:
                    pass
            writer.close()
        await loopback.wait_until(lambda: not loopback.proxy.controllers.peers.incoming)

    loopback.run(scenario())


@then(
    "a proxy's peer transport reads messages of unexpected kinds from untrusted peers, and they have no effect"
)
def _(context):
    loopback, proxy = context.loopback, context.loopback.proxy
    entry = InstanceRecord(
        "evil", "s", f"{LOOPBACK_ADDRESS}:1", "z", "v1", 8, READY, 0, 1
    ).to_wire()
    update = {
        "kind": "news",
        "life": 1,
        "number": 9,
        "machines": [entry],
        "register": [9, 9],
        "keys": {},
        "firm": True,
        "everyone": [LOOPBACK_ADDRESS],
        "head": LOOPBACK_ADDRESS,
        "revision": 99,
    }
    messages = [
        {},
        {"kind": None},
        {"kind": []},
        {"kind": {}},
        {"kind": "pull"},
        update,
        {"kind": "body", "text": 1e999},
        {"kind": "body", "text": json.dumps(configuration(0xFFFF, kinds=()))},
        {"kind": "news"},
        {"kind": "told", "entry": entry},
        {"kind": "reports", "reports": [None]},
    ]

    async def scenario():
        stream, writer = await asyncio.open_connection(
            LOOPBACK_ADDRESS, proxy.controllers.peers.port
        )
        received_messages, receive = [], proxy.controllers.peers._on_message
        proxy.controllers.peers._on_message = lambda connection, message: (
            received_messages.append(message),
            receive(connection, message),
        )
        data = b"".join(map(encode_frame, messages))
        for place in range(0, len(data), 100):
            writer.write(data[place : place + 100])
            await writer.drain()
        await loopback.wait_until(lambda: len(received_messages) == len(messages))
        writer.close()
        assert (
            "evil" not in proxy.instances.by_id
            and proxy.requests.routes.revision == 1
            and proxy.controllers.subscriber.version == (0, 0)
        )
        assert (
            proxy.controllers.subscriber.members == ("127.0.0.9",)
            and proxy.controllers.subscriber.newest_revision == 0
        )
        client = await loopback.client()
        client.send("well", "unsafe")
        client.assert_own_response(await client.next_response(), "well", "unsafe")

    loopback.run(scenario())


@then("a proxy's peer transport holds a bounded number of connections and of partly read bytes")
def _(context):
    loopback, proxy, saved_limits = (
        context.loopback,
        context.loopback.proxy,
        (peer_transport.MAX_CONNECTIONS, peer_transport.MAX_BUFFERED_BYTES),
    )

    async def scenario():
        peer_transport.MAX_CONNECTIONS, peer_transport.MAX_BUFFERED_BYTES = 10, 5 << 20
        pairs = [
            await asyncio.open_connection(LOOPBACK_ADDRESS, proxy.controllers.peers.port)
            for _ in range(14)
        ]
        reads = [asyncio.ensure_future(stream.read(1)) for stream, _ in pairs]
        await loopback.wait_until(
            lambda: (
                sum(read.done() for read in reads) >= 4
                and len(proxy.controllers.peers.incoming) == 10
            )
        )
        open_writers = [writer for read, (_, writer) in zip(reads, pairs) if not read.done()]
        assert len(open_writers) == 10 and all(
            read.exception() or not read.result() for read in reads if read.done()
        )
        part = (2 << 20).to_bytes(4, "big") + b"x" * (1 << 20)
        for writer in open_writers:
            writer.write(part)
        await loopback.wait_until(lambda: len(proxy.controllers.peers.incoming) <= 5)
        assert (
            sum(len(connection._buffer) for connection in proxy.controllers.peers.incoming)
            == proxy.controllers.peers.buffered_bytes
            <= peer_transport.MAX_BUFFERED_BYTES
        )
        for _, writer in pairs:
            writer.close()
        await loopback.wait_until(lambda: not proxy.controllers.peers.incoming)
        assert proxy.controllers.peers.buffered_bytes == 0
        await asyncio.gather(*reads, return_exceptions=True)

    try:
        loopback.run(scenario())
    finally:
        peer_transport.MAX_CONNECTIONS, peer_transport.MAX_BUFFERED_BYTES = saved_limits
