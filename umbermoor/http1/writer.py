"""Serializes HTTP/1.1 requests and responses (RFC 9112, sections 3 and 4)."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
METHODS_WITHOUT_CONTENT = ("GET", "HEAD", "DELETE")  # no Content-Length where the body is empty
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


def write_request(
    method: str, target: str, host: str, headers: Mapping[str, str] = _NO_HEADERS, body: bytes = b""
) -> bytes:
    """Return the bytes of a request.

    Args:
        method: request method.
        target: request target, as it goes on the request line.
        host: value of the Host field.
        headers: further fields; their names and values are written unchecked.
        body: content; its length is written where it has any, or where the method expects some.
    """
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if body or method not in METHODS_WITHOUT_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_response(
    status: int,
    body: bytes = b"",
    keep_alive: bool = True,
    headers: Mapping[str, str] = _NO_HEADERS,
) -> bytes:
    """Return the bytes of a response.

    Args:
        status: status code; its reason phrase is empty where the standard has none.
        body: content.
        keep_alive: whether the connection persists; if not, the response says `close`.
        headers: fields; their names and values are written unchecked.
    """
    lines = [
        f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
    ]
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
