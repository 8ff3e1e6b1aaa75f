"""An ASGI application over calls that are declared beside their handlers, found by method and path.

No I/O of its own. A call of the protocol is `api_call("POST", "/Config.Replace")`; one whose path
ends with a slash has a name behind it, as in `/Plants.Heartbeat/ID`.
"""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

MAX_BODY_BYTES = 6 << 20
MAX_NAME_LENGTH = 200  # characters of a name in a path

Headers = tuple[tuple[bytes, bytes], ...]


class ApiResponse(NamedTuple):
    """An answer to a call."""

    status: int
    body: bytes = b""
    headers: Headers = ()


class ApiRequest(NamedTuple):
    """A call as its handler gets it."""

    name: str  # what the path holds behind the declared part
    body: bytes

    def json(self) -> Any:
        """The decoded body; raises ValueError or RecursionError where it cannot be read."""
        return json.loads(self.body)


Handler = Callable[[ApiRequest], Awaitable[ApiResponse]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Declared = Callable[[Any, ApiRequest], Awaitable[ApiResponse]]


def api_call(method: str, path: str) -> Callable[[Declared], Declared]:
    """Declares the call that a method of a class of handlers answers."""

    def declare(handler: Declared) -> Declared:
        handler.call = method, path  # type: ignore[attr-defined]
        return handler

    return declare


def declared_calls(handlers: object) -> dict[tuple[str, str], Handler]:
    """The bound handlers of an object, by method and path."""
    calls: dict[tuple[str, str], Handler] = {}
    for name in dir(type(handlers)):
        handler = getattr(handlers, name)
        if hasattr(handler, "call"):
            calls[handler.call] = handler
    return calls


def json_response(status: int, value: Any = None) -> ApiResponse:
    """An answer with a JSON body; None: without a body."""
    if value is None:
        return ApiResponse(status)
    body = json.dumps(value, separators=(",", ":")).encode()
    return ApiResponse(status, body, ((b"content-type", b"application/json"),))


def error_response(status: int, text: str) -> ApiResponse:
    """An answer whose body is one line that names what is wrong."""
    return json_response(status, {"error": text})


class HttpApi:
    """The ASGI application over the declared calls of some objects."""

    def __init__(
        self, *handlers: object, on_unanswered: Callable[[str, str], None] | None = None
    ) -> None:
        """Finds the calls.

        Args:
            handlers: Objects with declared calls.
            on_unanswered: Told method and path of a call that ends without an answer.
        """
        self._on_unanswered = on_unanswered
        self._calls: dict[tuple[str, str], Handler] = {}
        for holder in handlers:
            self._calls.update(declared_calls(holder))
        self._paths = {path for _, path in self._calls}

    def _find(self, method: str, path: str) -> tuple[Handler, str] | ApiResponse:
        """The handler and the name in the path, or the answer where there is none."""
        head, slash, name = path.rpartition("/")
        if name and (method, path) in self._calls:
            return self._calls[method, path], ""
        if len(name) > MAX_NAME_LENGTH:
            return error_response(400, f"name in the path: over {MAX_NAME_LENGTH} characters")
        if name and (method, head + slash) in self._calls:
            return self._calls[method, head + slash], name
        if name and (path in self._paths or head + slash in self._paths):
            return error_response(405, "no such method here")
        return error_response(404, "no such call")

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serves one call, or the start and end of the server, as ASGI says."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        if body is None:
            return
        if len(body) > MAX_BODY_BYTES:
            response = error_response(413, f"body: over {MAX_BODY_BYTES} bytes")
        else:
            response = await self._respond_or_report(scope["method"], scope["path"], body)
        headers = [*response.headers, (b"content-length", str(len(response.body)).encode())]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    async def _respond_or_report(self, method: str, path: str, body: bytes) -> ApiResponse:
        response = None
        try:
            response = await self._respond(method, path, body)
            return response
        finally:
            if response is None and self._on_unanswered is not None:
                self._on_unanswered(method, path)

    async def _respond(self, method: str, path: str, body: bytes) -> ApiResponse:
        found = self._find(method, path)
        if isinstance(found, ApiResponse):
            return found
        handler, name = found
        return await handler(ApiRequest(name, body))


async def _read_body(receive: Receive) -> bytes | None:
    """The body, up to the part that makes it too long; None if the caller left before its end."""
    body = bytearray()
    while len(body) <= MAX_BODY_BYTES:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        body += event.get("body", b"")
        if not event.get("more_body"):
            break
    return bytes(body)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while (await receive())["type"] != "lifespan.shutdown":
        await send({"type": "lifespan.startup.complete"})
    await send({"type": "lifespan.shutdown.complete"})
