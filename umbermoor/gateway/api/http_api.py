"""An ASGI application that dispatches calls by method and path to decorated handler methods.

It does no I/O of its own. A call is declared as `api_call("POST", "/Config.Replace")`; a declared
path that ends with a slash is followed by a name, as in `/Plants.Heartbeat/ID`.
"""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

MAX_BODY_BYTES = 6 << 20
MAX_NAME_LENGTH = 200  # characters

Headers = tuple[tuple[bytes, bytes], ...]


class ApiResponse(NamedTuple):
    """The response to a call."""

    status: int
    body: bytes = b""
    headers: Headers = ()


class ApiRequest(NamedTuple):
    """A call as passed to its handler."""

    name: str  # the part of the path after the declared path
    body: bytes

    def json(self) -> Any:
        """Return the decoded body.

        Raises:
            ValueError, RecursionError: the body is not valid JSON, or nested too deeply.
        """
        return json.loads(self.body)


Handler = Callable[[ApiRequest], Awaitable[ApiResponse]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
HandlerMethod = Callable[[Any, ApiRequest], Awaitable[ApiResponse]]


def api_call(method: str, path: str) -> Callable[[HandlerMethod], HandlerMethod]:
    """Return a decorator that declares the call which a handler method answers."""

    def declare(handler: HandlerMethod) -> HandlerMethod:
        handler.call = method, path  # type: ignore[attr-defined]
        return handler

    return declare


def declared_calls(handlers: object) -> dict[tuple[str, str], Handler]:
    """Return the bound handlers of an object, by method and path."""
    calls: dict[tuple[str, str], Handler] = {}
    for name in dir(type(handlers)):
        handler = getattr(handlers, name)
        if hasattr(handler, "call"):
            calls[handler.call] = handler
    return calls


def json_response(status: int, value: Any = None) -> ApiResponse:
    """Return a response with a JSON body, or without a body if the value is None."""
    if value is None:
        return ApiResponse(status)
    body = json.dumps(value, separators=(",", ":")).encode()
    return ApiResponse(status, body, ((b"content-type", b"application/json"),))


def error_response(status: int, text: str) -> ApiResponse:
    """Return a response whose body names the error in one line."""
    return json_response(status, {"error": text})


class HttpApi:
    """The ASGI application that serves the declared calls of some objects."""

    def __init__(
        self, *handlers: object, on_unanswered: Callable[[str, str], None] | None = None
    ) -> None:
        """Collect the calls.

        Args:
            handlers: Objects with declared calls.
            on_unanswered: Called with method and path if a call ends without a response.
        """
        self._on_unanswered = on_unanswered
        self._calls: dict[tuple[str, str], Handler] = {}
        for handler_object in handlers:
            self._calls.update(declared_calls(handler_object))
        self._paths = {path for _, path in self._calls}

    def _find(self, method: str, path: str) -> tuple[Handler, str] | ApiResponse:
        """Return the handler and the name in the path, or an error response if there is none."""
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
        """Serve one call, or the startup and shutdown of the server, as specified by ASGI."""
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
    """Return the body, read until complete or too long; None if the caller disconnects earlier."""
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
