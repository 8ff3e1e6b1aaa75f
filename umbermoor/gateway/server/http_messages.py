"""Serializes HTTP/1.1 messages of a proxy: requests to instances and responses to clients.

Hop-by-hop headers are removed (RFC 9110, section 7.6.1).
"""

from umbermoor.http1.reader import Request
from umbermoor.http1.writer import REASON_PHRASES

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)
# The proxy sends its own values of these two headers to instances.
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {"x-time-remaining", "x-target-instance"}
# Forwarded even if the client's `Connection` header names them.
ALWAYS_FORWARDED_HEADERS = frozenset(("x-attempt-id", "host", "close", "keep-alive"))
METHODS_WITHOUT_BODY = ("GET", "HEAD", "DELETE", "OPTIONS")
STATUSES_WITHOUT_BODY = (204, 304)


def response_bytes(
    status: int, body: bytes, headers: dict[str, str], keep_alive_s: int, bodiless: bool = False
) -> bytes:
    """Return a serialized response to a client.

    Args:
        status: Status code.
        body: Response body.
        headers: Headers with lower-case names; hop-by-hop headers are left out.
        keep_alive_s: Announced idle time of the connection in seconds; 0 closes it.
        bodiless: Whether this is the response to a HEAD request.
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}"]
    lines += [
        f"{name}: {value}" for name, value in headers.items() if name not in HOP_BY_HOP_HEADERS
    ]
    if status >= 200 and status not in STATUSES_WITHOUT_BODY:
        length = headers.get("content-length", "0") if bodiless else len(body)
        lines.append(f"content-length: {length}")
    lines.append(f"keep-alive: timeout={keep_alive_s}" if keep_alive_s else "connection: close")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


def request_bytes(request: Request, instance_id: str, time_left_ms: int) -> bytes:
    """Return a client's request serialized for an instance."""
    dropped_headers = NOT_FORWARDED_HEADERS
    if connection_header := request.headers.get("connection"):
        names = {name.strip().lower() for name in connection_header.split(",")}
        dropped_headers = dropped_headers.union(names - ALWAYS_FORWARDED_HEADERS)
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [
        f"{name}: {value}" for name, value in request.headers.items() if name not in dropped_headers
    ]
    lines.append(f"x-time-remaining: {time_left_ms}")
    lines.append(f"x-target-instance: {instance_id}")
    if request.body or request.method not in METHODS_WITHOUT_BODY:
        lines.append(f"content-length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body
