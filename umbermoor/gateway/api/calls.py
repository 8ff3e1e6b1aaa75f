"""Calls of machines and operators: declared beside their handlers, found by method and path. No I/O
of its own."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

BODY_MOST = 6 << 20  # bytes of a call's body
NAME_MOST = 200  # characters of a name in a path


class Reply(NamedTuple):
    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Call(NamedTuple):
    """One call as a handler gets it."""

    name: str  # what the path holds behind the declared part
    body: bytes

    def json(self) -> Any:
        """The body; ValueError where it cannot be read."""
        return json.loads(self.body)


Handler = Callable[[Any, Call], Awaitable[Reply]]


def call(method: str, path: str):
    """Declares the call that a handler answers. A path that ends with a slash has a name behind
    it."""

    def declared(handler: Handler) -> Handler:
        handler.call = method, path
        return handler

    return declared


def calls_of(holder: Any) -> dict[tuple[str, str], Handler]:
    """All declared handlers of an object, by method and path."""
    found = {}
    for name in dir(type(holder)):
        handler = getattr(holder, name)
        if hasattr(handler, "call"):
            found[handler.call] = handler
    return found


def reply(status: int, value: Any = None) -> Reply:
    """An answer with a JSON body."""
    body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    return Reply(status, body, ((b"content-type", b"application/json"),) if body else ())


def wrong(status: int, text: str) -> Reply:
    """One line that names what is wrong."""
    return reply(status, {"error": text})


class Desk:
    """An ASGI application over declared calls."""

    def __init__(self, holder: Any) -> None:
        self.calls = calls_of(holder)
        self.paths = {path for _, path in self.calls}

    def find(self, method: str, path: str) -> tuple[Handler, str] | Reply:
        """The handler and the name in the path, or what is answered instead."""
        head, slash, name = path.rpartition("/")
        if name and (method, path) in self.calls:
            return self.calls[method, path], ""
        if len(name) > NAME_MOST:
            return wrong(400, f"name in the path: over {NAME_MOST} characters")
        if name and (method, head + slash) in self.calls:
            return self.calls[method, head + slash], name
        known = name and (path in self.paths or head + slash in self.paths)
        return wrong(405, "no such method here") if known else wrong(404, "no such call")

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] == "lifespan":
            while (event := await receive())["type"] != "lifespan.shutdown":
                await send({"type": "lifespan.startup.complete"})
            await send({"type": "lifespan.shutdown.complete"})
            return
        if scope["type"] != "http":
            return
        body, whole = bytearray(), False
        while not whole:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            body += event.get("body", b"")
            whole = not event.get("more_body")
            if len(body) > BODY_MOST:
                break
        if len(body) > BODY_MOST:
            answer = wrong(413, f"body: over {BODY_MOST} bytes")
        else:
            found = self.find(scope["method"], scope["path"])
            answer = (
                found if isinstance(found, Reply) else await found[0](Call(found[1], bytes(body)))
            )
        headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        await send({"type": "http.response.body", "body": answer.body})
