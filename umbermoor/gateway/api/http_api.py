"""Calls of machines and operators: declared beside their handlers, found by method and path. No I/O
of its own."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

MAX_BODY_BYTES = 6 << 20  # bytes of a call's body
MAX_NAME_LENGTH = 200  # characters of a name in a path


class ApiResponse(NamedTuple):
    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


class ApiRequest(NamedTuple):
    """One call as a handler gets it."""

    name: str  # what the path holds behind the declared part
    body: bytes

    def json(self) -> Any:
        """The body; ValueError where it cannot be read."""
        return json.loads(self.body)


Handler = Callable[[Any, ApiRequest], Awaitable[ApiResponse]]


def api_call(method: str, path: str):
    """Declares the call that a handler answers. A path that ends with a slash has a name behind
    it."""

    def declared(handler: Handler) -> Handler:
        handler.call = method, path
        return handler

    return declared


def declared_calls(holder: Any) -> dict[tuple[str, str], Handler]:
    """All declared handlers of an object, by method and path."""
    found = {}
    for name in dir(type(holder)):
        handler = getattr(holder, name)
        if hasattr(handler, "call"):
            found[handler.call] = handler
    return found


def json_response(status: int, value: Any = None) -> ApiResponse:
    """An answer with a JSON body."""
    body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    return ApiResponse(status, body, ((b"content-type", b"application/json"),) if body else ())


def error_response(status: int, text: str) -> ApiResponse:
    """One line that names what is wrong."""
    return json_response(status, {"error": text})


class HttpApi:
    """An ASGI application over declared calls."""

    def __init__(self, holder: Any) -> None:
        self.calls = declared_calls(holder)
        self.paths = {path for _, path in self.calls}

    def find(self, method: str, path: str) -> tuple[Handler, str] | ApiResponse:
        """The handler and the name in the path, or what is answered instead."""
        head, slash, name = path.rpartition("/")
        if name and (method, path) in self.calls:
            return self.calls[method, path], ""
        if len(name) > MAX_NAME_LENGTH:
            return error_response(400, f"name in the path: over {MAX_NAME_LENGTH} characters")
        if name and (method, head + slash) in self.calls:
            return self.calls[method, head + slash], name
        known = name and (path in self.paths or head + slash in self.paths)
        return (
            error_response(405, "no such method here")
            if known
            else error_response(404, "no such call")
        )

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
            if len(body) > MAX_BODY_BYTES:
                break
        if len(body) > MAX_BODY_BYTES:
            answer = error_response(413, f"body: over {MAX_BODY_BYTES} bytes")
        else:
            found = self.find(scope["method"], scope["path"])
            answer = (
                found
                if isinstance(found, ApiResponse)
                else await found[0](ApiRequest(found[1], bytes(body)))
            )
        headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        await send({"type": "http.response.body", "body": answer.body})
