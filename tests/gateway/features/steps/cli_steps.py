"""Steps of cli.feature: the command line against stand-ins of the core, and the whole gateway
on loopback."""

import contextlib
import io
import json
import os
import re
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from behave import given, then, when

from umbermoor.gateway.cli.main import main
from umbermoor.gateway.replication.store import Store

SOUND = {
    "revision": "0000000c",
    "envelope": {"idleS": 15},
    "services": {"a": {"probe": "/health", "saturation": 110}},
    "routes": {
        "r": {
            "host": "h",
            "prefix": "/p/",
            "kind": "safe",
            "horizonS": 1,
            "service": "a",
            "tries": 2,
        }
    },
}
SETTINGS = """nodeName = "core-1"
role = "controller"
machineClass = "core"
ip = "127.0.0.1"
zone = "north"
"""
PORTS = "portRange = [7620,7621]\n"
TICK = 0.05  # s


class ControllerStandIn(BaseHTTPRequestHandler):
    """A controller that answers one call in one way."""

    protocol_version = "HTTP/1.1"

    def answer(self) -> None:
        server = self.server
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server.calls.append((f"{self.command} {self.path}", body))
        path, _, moved = self.path.partition("?")
        if f"{self.command} {path}" != server.call:
            return self.respond(404, b"")
        if len(moved) < server.moves:
            return self.respond(307, b"", f"http://127.0.0.1:{server.server_port}{path}?{moved}m")
        status, _, text = server.response.partition(" ")
        if status == "silence":
            server.ended.wait(5)
        elif status == "garble":
            self.wfile.write(b"no such thing\r\n\r\n")
        elif status != "close":
            return self.respond(int(status), text.encode())
        self.close_connection = True
        return None

    do_GET = do_POST = answer

    def respond(self, status: int, body: bytes, location: str = "") -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if location:
            self.send_header("Location", location)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_) -> None:
        pass


def folder(context) -> Path:
    if not hasattr(context, "folder"):
        context.folder = Path(tempfile.mkdtemp())
        context.add_cleanup(shutil.rmtree, context.folder, True)
    return context.folder


@given('the command line has a sound configuration in "{name}"')
def _(context, name):
    (folder(context) / name).write_text(json.dumps(SOUND))


@when('the command line has "{key}" of its route set to {value} in "{name}"')
def _(context, key, value, name):
    path = folder(context) / name
    context.before = path.read_bytes()
    path.write_text(
        json.dumps(SOUND | {"routes": {"r": SOUND["routes"]["r"] | {key: json.loads(value)}}})
    )


@given('the command line has sound settings in "{name}"')
def _(context, name):
    (folder(context) / name).write_text(SETTINGS + PORTS)


@when('the command line has "{line}" added on top of "{name}"')
def _(context, line, name):
    (folder(context) / name).write_text(f"{line}\n{SETTINGS}")


@given(
    'the command line meets a core that answers "{call}" with "{response}" behind {moves:d} moves'
)
@given('the command line meets a core that answers "{call}" with "{response}"')
def _(context, call, response, moves=0):
    server = ThreadingHTTPServer(("127.0.0.1", 0), ControllerStandIn)
    server.call, server.response, server.moves, server.calls = call, response, moves, []
    server.ended, server.daemon_threads = threading.Event(), True
    threading.Thread(target=server.serve_forever, args=(TICK,), daemon=True).start()
    context.cores = [*getattr(context, "cores", ()), server]
    for end in (server.server_close, server.shutdown, server.ended.set):  # the last one first
        context.add_cleanup(end)


@given('the command line meets a core that answers "{call}" with what is in "{name}"')
def _(context, call, name):
    content = (folder(context) / name).read_text()
    context.execute_steps(
        f'Given the command line meets a core that answers "{call}" with "200 {content}"'
    )


@given('the command line has a store in "{name}"')
def _(context, name):
    store = Store(str(folder(context) / name), 1 << 20)
    assert store.write({"members": b'["a"]', "state/config": b'"the configuration"'})
    store.close()


@when('the command line has a bit of the store in "{name}" flipped')
def _(context, name):
    path = folder(context) / name / "data.mdb"
    path.write_bytes(path.read_bytes().replace(b"the configuration", b"the bonfiguration"))


@when('the command line is "{words}"')
def _(context, words):
    cores = iter(getattr(context, "cores", ()))
    tokens = [
        f"127.0.0.1:{next(cores).server_port}" if word == "CORE" else word
        for word in shlex.split(words)
    ]
    out, complaints = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(complaints),
        contextlib.chdir(folder(context)),
    ):
        context.status = main(tokens)
    context.out, context.complaints = out.getvalue(), complaints.getvalue()


@then('the command line ends with {status:d} and says "{text}"')
def _(context, status, text):
    assert (context.status, text in context.out) == (status, True), (
        context.status,
        context.out,
        context.complaints,
    )


@then('the command line ends with {status:d} and says ""')
def _(context, status):
    assert (context.status, context.out) == (status, ""), (context.status, context.out)


@then('the command line says "{text}"')
def _(context, text):
    assert text in context.out, context.out


@then('the command line ends with {status:d} and complains in one line "{text}"')
def _(context, status, text):
    complaints = context.complaints
    assert (context.status, complaints.count("\n"), text in complaints) == (status, 1, True), (
        context.status,
        complaints,
        context.out,
    )


@then("the command line complains of nothing")
def _(context):
    assert context.complaints == "", context.complaints


@then("the command line ends with {status:d}")
def _(context, status):
    assert context.status == status, (context.status, context.out, context.complaints)


@then("the command line made {count:d} calls")
def _(context, count):
    made = [call for server in context.cores for call in server.calls]
    assert len(made) == count, made


@then('the command line sent "{name}" as it was, once')
def _(context, name):
    sent = [body for call, body in context.cores[0].calls if call == "POST /Config.Replace"]
    assert sent == [context.before], sent


def start(context, words: str, seconds: float) -> subprocess.Popen:
    process = subprocess.Popen(
        [sys.executable, "-u", "-m", "umbermoor.gateway", *words.split()],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    timer = threading.Timer(seconds, process.kill)
    timer.start()
    for end in (process.wait, process.kill, timer.cancel):
        context.add_cleanup(end)
    return process


@when('the command line plays "{words}" for at most {seconds:d} s')
def _(context, words, seconds):
    process = start(context, words, seconds)
    context.out, context.complaints = process.communicate()[0], ""
    context.status = process.returncode


@when('the command line plays "{words}" until it says "{text}", and gets {name}')
def _(context, words, text, name):
    process = start(context, words, 30)
    lines = []
    for line in process.stdout:
        lines.append(line)
        if text in line:
            break
    process.send_signal(getattr(signal, name))
    context.out, context.complaints = "".join(lines) + process.communicate()[0], ""
    context.status = process.returncode
    if name == "SIGKILL":
        folders = re.search(r"settings and logs: (/\S+/umbermoor-plot-\S+)", context.out)
        context.add_cleanup(shutil.rmtree, folders[1], True)


@then("the command line says in this order")
def _(context):
    position = 0
    for row in context.table:
        start = context.out.find(row["line"], position)
        assert start >= 0, (row["line"], context.out)
        position = start + len(row["line"])


@then("the command line left no process of those it started")
def _(context):
    pids = [int(pid) for pid in re.findall(r"started \w+ \S+ on \S+, pid (\d+)", context.out)]
    until = time.monotonic() + 8
    while (left := [pid for pid in pids if _is_ours(pid)]) and time.monotonic() < until:
        time.sleep(TICK)
    assert len(pids) >= 5 and not left, (pids, left)


def _is_ours(pid: int) -> bool:
    """Whether this process still runs as a daemon of ours, not ended and not another of the same
    number."""
    try:
        words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
        os.kill(pid, 0)
    except (OSError, ProcessLookupError):
        return False
    return b"umbermoor.gateway" in words
