"""Compares the gateway's HTTP/1.1 reader with `h11`: both accept the same messages with the same
content, except for the listed cases that only ours refuses."""

import re
from collections import Counter

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from umbermoor.gateway.balancing.attempt_outcomes import SINGLE_VALUE_HEADERS
from umbermoor.gateway.server.http_messages import request_bytes
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, MessageLimits, Reader, Request, Response

METHODS = st.sampled_from(
    ["GET", "POST"] * 9
    + ["PUT", "HEAD", "DELETE", "OPTIONS", "TRACE", "CONNECT", "get", "P@ST", "", "G ET"]
)
TARGETS = st.sampled_from(
    ["/a/b?c=d"] * 18
    + ["/", "*", "http://h/a", "h:80", "/a b", "/\x7f", "/\xe9", "", "/a#f", "//h/a"]
)
VERSIONS = st.sampled_from(
    ["HTTP/1.1"] * 20 + ["HTTP/1.0", "HTTP/2.0", "HTTP/1.2", "http/1.1", "HTTP/1.1 ", "HTTP/01.1"]
)
ENDS = st.sampled_from(["\r\n"] * 90 + ["\n", "\r", "\r\r\n", "\n\r\n"])
PLAIN = st.sampled_from(
    ["Host: h", "X-Attempt-Id: a1", "Accept: */*", "X-A: b, c", "X-Empty:", "X-Latin: \xe9"]
)
ODD = st.sampled_from(
    [
        "Host: h",
        "Host: other",
        "host:h",
        "Content-Length: 0",
        "Content-Length: 3",
        "content-length: 4",
        "Content-Length: 3, 3",
        "Content-Length: 3,4",
        "Content-Length: +3",
        "Content-Length: -1",
        "Content-Length: 0x3",
        "Content-Length: 3 ",
        "Content-Length:\t3",
        "Content-Length: 1 2",
        "Content-Length : 3",
        "Content-Length: \u00b3",
        "Content-Length: 00003",
        "Content-Length: 99999999999999999999",
        "Content-Length:",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: Chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding:\x0bchunked",
        "Transfer-Encoding : chunked",
        " Transfer-Encoding: chunked",
        'Transfer-Encoding: "chunked"',
        "Transfer-Encoding: chunked;x",
        "X-A: 1\r\n 2",
        "X-A: 1\r\n\t2",
        "X-A: 1\n2: 3",
        "X-A: 1\r2: 3",
        "X-A: \x00",
        "X-A: \x01",
        "X-A: \x0b",
        "X-A: \x7f",
        ": x",
        "X A: b",
        "X-A",
        "",
        "X(A: b",
        "Upgrade: h2c",
        "Connection: upgrade, close",
        "Connection: X-Attempt-Id",
        "Expect: 100-continue",
        "Expect: 200-ok",
        "X-Attempt-Id: a2",
        "TE: trailers",
        "Trailer: X-T",
    ]
)
BODIES = st.sampled_from(
    [
        "",
        "abc",
        "abcd",
        "3\r\nabc\r\n0\r\n\r\n",
        "3;x=y\r\nabc\r\n0\r\n\r\n",
        "3 \r\nabc\r\n0\r\n\r\n",
        "3\nabc\n0\n\n",
        "03\r\nabc\r\n00\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "+3\r\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc0\r\n\r\n",
        "3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
        "3\r\nabc\r\n0\r\nGET / HTTP/1.1\r\n\r\n",
        "3\r\nabc\r\n0\r\nX-T : 1\r\n\r\n",
        "3\r\nabc\r\n0\r\nX-T: \x01\r\n\r\n",
        "3;\x01\r\nabc\r\n0\r\n\r\n",
        "3;a\nb\r\nabc\r\n0\r\n\r\n",
        '3;"a\r\nb"\r\nabc\r\n0\r\n\r\n',
        "ffffffffff\r\nabc",
        "\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n",
        "abcGET /next HTTP/1.1\r\nHost: h\r\n\r\n",
    ]
)


@st.composite
def requests(draw):
    """Bytes that resemble a request."""
    lines = [f"{draw(METHODS)} {draw(TARGETS)} {draw(VERSIONS)}"]
    if draw(st.integers(0, 9)):
        lines.append("Host: h")
    lines += draw(st.lists(PLAIN, max_size=2)) + draw(st.lists(ODD, max_size=2))
    text = "".join(line + draw(ENDS) for line in lines) + draw(ENDS) + draw(BODIES)
    return text.encode("latin-1", "replace")


def ours(data, responses=False, cuts=()):
    """Parse with our reader: messages, the fault that ended them, and the reader."""
    reader, found, at = (
        Reader(
            Buffers(64 << 20),
            responses,
            limits=MessageLimits(body_bytes=1 << 16),
            single_value_headers=SINGLE_VALUE_HEADERS,
        ),
        [],
        0,
    )
    for cut in (*sorted(cuts), len(data)):
        found += reader.feed(data[at:cut])
        at = max(at, cut)
    fault = found.pop() if found and isinstance(found[-1], Fault) else None
    return found, fault, reader


def theirs(data):
    """Parse with h11: (method, target, headers, body) of each request, and its error or None."""
    found = []
    while data:
        conn, head, body = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 16), None, b""
        conn.receive_data(data)
        try:
            while not isinstance(event := conn.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return found, None
                if isinstance(event, h11.Request):
                    head = event
                else:
                    body += bytes(event.data)
        except h11.RemoteProtocolError as error:
            return found, str(error)
        found.append(
            (
                head.method.decode(),
                head.target.decode("latin-1"),
                [(name.decode(), value.decode("latin-1")) for name, value in head.headers],
                body,
            )
        )
        data = EMPTY_LINES.sub(b"", conn.trailing_data[0])
    return found, None


EMPTY_LINES = re.compile(
    rb"\A(?:\r\n)+"
)  # before a request: our reader skips them (RFC 9112, 2.2), h11 refuses them
STRICTER = {  # what h11 accepts and our reader refuses, by the reason of our fault
    "no such first line": "bare line ends; targets of other characters",
    "garbled header": "bare line ends, folded headers",
    "control characters": "in values",
    "a header stands twice": "an id or a host",
    "two lengths": "",
    "garbled length": "a list of equal ones",
    "garbled chunk": "bare line ends, control characters in what stands behind a size",
    "garbled trailer": "",
    "no host": "CONNECT",
    "chunks in HTTP/1.0": "",
    "both length and transfer coding": "",
    "unknown transfer coding": "",
    "body too large": "",
    "message too large": "",
    "head too large": "",
}


MET: Counter = Counter()


CUTS = st.lists(st.integers(0, 200), max_size=3)


def beside_h11(data, cuts):
    found, fault, _ = ours(data, cuts=cuts)
    other, refused = theirs(EMPTY_LINES.sub(b"", data))
    for mine, (method, target, headers, body) in zip(found, other):
        assert (mine.method, mine.target, mine.body) == (method, target, body), data
        assert mine.headers.get("host") == dict(headers).get("host"), data
    if len(found) > len(other):
        assert refused is None, (refused, data)
    MET["both take"] += min(len(found), len(other))
    MET["both refuse"] += fault is not None and refused is not None and len(found) == len(other)
    if fault is not None and len(other) > len(found):
        MET[fault.reason] += 1
        assert fault.reason in STRICTER, (fault, data)
    for mine in found:
        one_request_behind(mine)


def test_requests_beside_h11():
    MET.clear()
    settings(max_examples=3000, deadline=None)(given(requests(), CUTS)(beside_h11))()
    assert MET["both take"] > 300 and MET["both refuse"] > 300, MET


def one_request_behind(request: Request) -> None:
    """Check that what is forwarded to a machine is one request with the same content."""
    sent = request_bytes(request, "i-1", 500)
    other, refused = theirs(sent)
    assert refused is None and len(other) == 1, (refused, sent)
    method, target, headers, body = other[0]
    assert (method, target, body) == (request.method, request.target, request.body), sent
    names = [name for name, _ in headers]
    assert len(set(names)) == len(names) and not {
        "transfer-encoding",
        "upgrade",
        "connection",
    }.intersection(names)
    assert ("x-target-instance", "i-1") in headers and dict(headers).get(
        "host"
    ) == request.headers.get("host")
    again, fault, reader = ours(sent)
    assert fault is None and len(again) == 1 and not reader.mid_message, sent


VALUE = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0xFF, exclude_categories=["Cc"]), max_size=20
)
NAME = st.text("abcxyzABC019!#$%&'*+-.^_`|~", min_size=1, max_size=12).map("x-own-".__add__)


@settings(max_examples=600, deadline=None)
@given(
    st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD", "REPORT"]),
    st.text("abc/%?&=.,;:@!$'()*+~#[]{}|^\"", max_size=30),
    st.dictionaries(NAME, VALUE, max_size=5),
    st.binary(max_size=300),
    st.none() | st.integers(1, 40),
    st.lists(st.integers(0, 900), max_size=4),
)
def test_valid_requests_are_accepted_and_forwarded_unchanged(
    method, target, headers, body, chunk, cuts
):
    lines = [f"{method} /{target} HTTP/1.1", "Host: h.example:80", "X-Attempt-Id: 9c41d07be2a35f68"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if chunk is None:
        lines.append(f"Content-Length: {len(body)}")
        sent = body
    else:
        lines.append("Transfer-Encoding: chunked")
        parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
        sent = b"".join(b'%X;note="a b"\r\n%s\r\n' % (len(part), part) for part in parts)
        sent += b"0\r\nX-Trailer: t\r\n\r\n"
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + sent
    found, fault, reader = ours(data * 2, cuts=cuts)
    assert fault is None and len(found) == 2 and not reader.mid_message, (fault, data)
    for one in found:
        assert (one.method, one.target, one.body, one.keep_alive) == (
            method,
            f"/{target}",
            body,
            True,
        )
        for name, value in {name.lower(): value for name, value in headers.items()}.items():
            assert one.headers[name] == value.strip(" \t")
        one_request_behind(one)


STATUS = st.sampled_from(
    ["HTTP/1.1 200 OK"] * 18
    + [
        "HTTP/1.0 200 OK",
        "HTTP/1.1 204 No",
        "HTTP/1.1 304 Not",
        "HTTP/1.1 503 Full",
        "HTTP/1.1 404",
        "HTTP/1.1 200",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 600 X",
        "HTTP/2 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200\tOK",
        "ICY 200 OK",
        "",
        "HTTP/1.1 404 NHTTP/1.1 200 OK",
    ]
)


@st.composite
def responses(draw):
    lines = [draw(STATUS)] + draw(
        st.lists(PLAIN | ODD | st.just("X-A: HTTP/1.1 200 OK"), max_size=4)
    )
    before = draw(
        st.sampled_from(
            [""] * 4
            + [
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n",
            ]
        )
    )
    text = before + "".join(line + draw(ENDS) for line in lines) + draw(ENDS) + draw(BODIES)
    return text.encode("latin-1", "replace")


def answers_beside_h11(data, cuts):
    found, fault, reader = ours(data, True, cuts)
    if not found and fault is None:
        last = reader.end()
        found = [last] if isinstance(last, Response) else []
    conn, head, body, refused = h11.Connection(h11.CLIENT), None, b"", None
    conn.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    conn.send(h11.EndOfMessage())
    conn.receive_data(data)
    if (found and not found[0].keep_alive) or not found:
        conn.receive_data(b"")
    try:
        while not isinstance(event := conn.next_event(), (h11.EndOfMessage, h11.ConnectionClosed)):
            if event is h11.NEED_DATA or event is h11.PAUSED:
                head = None
                break
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
    except h11.RemoteProtocolError as error:
        refused, head = str(error), None
    if found:
        MET["we take"] += 1
        assert refused is None and head is not None, (refused, data)
        assert (found[0].status, found[0].body) == (head.status_code, body), data
    elif head is not None:
        MET[fault.reason if fault else "not whole"] += (
            1  # the head ends with bare line ends, so our reader waits for more
        )
        assert fault is None or fault.reason in {
            *STRICTER,
            "another protocol, and nobody asked for it",
            "an answer within a head",
        }, (fault, data)


def test_answers_beside_h11():
    MET.clear()
    settings(max_examples=3000, deadline=None)(given(responses(), CUTS)(answers_beside_h11))()
    assert MET["we take"] > 300, MET


def test_any_number_of_empty_lines_before_a_request_is_skipped():
    data = b"\r\n" * 9000 + b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    for cuts in ((), (4096,), (18_001,)):
        found, fault, reader = ours(data, cuts=cuts)
        assert (
            [one.target for one in found] == ["/"] and fault is None and not reader.mid_message
        ), (
            found,
            fault,
        )
