"""Steps of cli.feature: the command line against fake controllers, and the whole gateway on
loopback."""

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

VALID_CONFIGURATION = {
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
POLL_INTERVAL = 0.05  # seconds


class FakeController(BaseHTTPRequestHandler):
    """A controller that answers one call with a fixed response."""

    protocol_version = "HTTP/1.1"

    def answer(self) -> None:
        server = self.server
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server.calls.append((f"{self.command} {self.path}", body))
        path, _, redirected = self.path.partition("?")
        if f"{self.command} {path}" != server.call:
            return self.respond(404, b"")
        if len(redirected) < server.redirects:
            return self.respond(
                307, b"", f"http://127.0.0.1:{server.server_port}{path}?{redirected}m"
            )
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


@given('the command line has a valid configuration in "{name}"')
def _(context, name):
    (folder(context) / name).write_text(json.dumps(VALID_CONFIGURATION))


@when('the command line has "{key}" of its route set to {value} in "{name}"')
def _(context, key, value, name):
    path = folder(context) / name
    context.before = path.read_bytes()
    path.write_text(
        json.dumps(
            VALID_CONFIGURATION
            | {"routes": {"r": VALID_CONFIGURATION["routes"]["r"] | {key: json.loads(value)}}}
        )
    )


@given('the command line has valid settings in "{name}"')
def _(context, name):
    (folder(context) / name).write_text(SETTINGS + PORTS)


@when('the command line has "{line}" added on top of "{name}"')
def _(context, line, name):
    (folder(context) / name).write_text(f"{line}\n{SETTINGS}")


@given(
    'the command line has a controller that answers "{call}" with "{response}" after {redirects:d} redirects'
)
@given('the command line has a controller that answers "{call}" with "{response}"')
def _(context, call, response, redirects=0):
    server = ThreadingHTTPServer(("127.0.0.1", 0), FakeController)
    server.call, server.response, server.redirects, server.calls = call, response, redirects, []
    server.ended, server.daemon_threads = threading.Event(), True
    threading.Thread(target=server.serve_forever, args=(POLL_INTERVAL,), daemon=True).start()
    context.controllers = [*getattr(context, "controllers", ()), server]
    # Cleanups run in reverse order.
    for cleanup in (server.server_close, server.shutdown, server.ended.set):
        context.add_cleanup(cleanup)


@given('the command line has a controller that answers "{call}" with the content of "{name}"')
def _(context, call, name):
    content = (folder(context) / name).read_text()
    context.execute_steps(
        f'Given the command line has a controller that answers "{call}" with "200 {content}"'
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


@when('the command line runs "{words}"')
def _(context, words):
    controllers = iter(getattr(context, "controllers", ()))
    tokens = [
        f"127.0.0.1:{next(controllers).server_port}" if word == "CONTROLLER" else word
        for word in shlex.split(words)
    ]
    out, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(errors),
        contextlib.chdir(folder(context)),
    ):
        context.status = main(tokens)
    context.out, context.errors = out.getvalue(), errors.getvalue()


@then('the command line exits with {status:d} and prints "{text}"')
def _(context, status, text):
    assert (context.status, text in context.out) == (status, True), (
        context.status,
        context.out,
        context.errors,
    )


@then('the command line exits with {status:d} and prints ""')
def _(context, status):
    assert (context.status, context.out) == (status, ""), (context.status, context.out)


@then('the command line prints "{text}"')
def _(context, text):
    assert text in context.out, context.out


@then('the command line exits with {status:d} and prints one error line with "{text}"')
def _(context, status, text):
    errors = context.errors
    assert (context.status, errors.count("\n"), text in errors) == (status, 1, True), (
        context.status,
        errors,
        context.out,
    )


@then("the command line prints no error lines")
def _(context):
    assert context.errors == "", context.errors


@then("the command line exits with {status:d}")
def _(context, status):
    assert context.status == status, (context.status, context.out, context.errors)


@then("the command line made {count:d} calls")
def _(context, count):
    made = [call for server in context.controllers for call in server.calls]
    assert len(made) == count, made


@then('the command line sent "{name}" unchanged, once')
def _(context, name):
    sent = [body for call, body in context.controllers[0].calls if call == "POST /Config.Replace"]
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
    for cleanup in (process.wait, process.kill, timer.cancel):
        context.add_cleanup(cleanup)
    return process


@when('the command line process runs "{words}" for at most {seconds:d} s')
def _(context, words, seconds):
    process = start(context, words, seconds)
    context.out, context.errors = process.communicate()[0], ""
    context.status = process.returncode


@when('the command line process runs "{words}" until it prints "{text}", and gets {name}')
def _(context, words, text, name):
    process = start(context, words, 30)
    lines = []
    for line in process.stdout:
        lines.append(line)
        if text in line:
            break
    process.send_signal(getattr(signal, name))
    context.out, context.errors = "".join(lines) + process.communicate()[0], ""
    context.status = process.returncode
    if name == "SIGKILL":
        folders = re.search(r"settings and logs: (/\S+/umbermoor-plot-\S+)", context.out)
        context.add_cleanup(shutil.rmtree, folders[1], True)


@then("the command line prints in this order")
def _(context):
    position = 0
    for row in context.table:
        start = context.out.find(row["line"], position)
        assert start >= 0, (row["line"], context.out)
        position = start + len(row["line"])


@then("the command line left no process of those it started")
def _(context):
    pids = [int(pid) for pid in re.findall(r"started \w+ \S+ on \S+, pid (\d+)", context.out)]
    deadline = time.monotonic() + 8
    while (
        remaining := [pid for pid in pids if _is_gateway_process(pid)]
    ) and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL)
    assert len(pids) >= 5 and not remaining, (pids, remaining)


def _is_gateway_process(pid: int) -> bool:
    """Whether the process still runs and is one of the gateway's, not another with a reused pid."""
    try:
        words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
        os.kill(pid, 0)
    except (OSError, ProcessLookupError):
        return False
    return b"umbermoor.gateway" in words
