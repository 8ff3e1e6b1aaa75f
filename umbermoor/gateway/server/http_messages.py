"""HTTP/1.1 messages as a proxy writes them: requests to instances, responses to clients.

Headers that belong to one connection are left behind (RFC 9110, section 7.6.1).
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
# The proxy tells an instance its own.
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {"x-time-remaining", "x-target-instance"}
# A client's `Connection` cannot name these away.
ALWAYS_FORWARDED_HEADERS = frozenset(("x-attempt-id", "host", "close", "keep-alive"))
METHODS_WITHOUT_BODY = ("GET", "HEAD", "DELETE", "OPTIONS")
STATUSES_WITHOUT_BODY = (204, 304)


def response_bytes(
    status: int, body: bytes, headers: dict[str, str], keep_alive_s: int, bodiless: bool = False
) -> bytes:
    """A response to a client.

    Args:
        status: Its status.
        body: Its body.
        headers: Its headers, names in lower case; those of a connection are left out.
        keep_alive_s: For how many seconds the connection may stay idle; 0 closes it.
        bodiless: Whether it is the response to a HEAD.
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
    """A client's request as an instance gets it."""
    left_out = NOT_FORWARDED_HEADERS
    if named := request.headers.get("connection"):
        names = {name.strip().lower() for name in named.split(",")}
        left_out = left_out.union(names - ALWAYS_FORWARDED_HEADERS)
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers.items() if name not in left_out]
    lines.append(f"x-time-remaining: {time_left_ms}")
    lines.append(f"x-target-instance: {instance_id}")
    if request.body or request.method not in METHODS_WITHOUT_BODY:
        lines.append(f"content-length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body
