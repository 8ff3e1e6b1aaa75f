"""What operators ask of a front that runs.

Usage:
  umbermoor ctl WHERE status [--json] [--token FILE]
  umbermoor ctl WHERE drain [--deadline S] [--wait] [--token FILE]
  umbermoor ctl WHERE resume [--token FILE]
  umbermoor ctl WHERE (hands | config | metrics) [--token FILE]
  umbermoor ctl WHERE members [--token FILE]
  umbermoor ctl WHERE watch [--seconds N] [--record FILE] [--token FILE]
  umbermoor ctl replay FILE
  umbermoor ctl (-h | --help)

Commands:
  status   the front's state, and what it has in hand
  drain    answers what is in hand and takes nothing more; --wait until it is done
  resume   back into service
  hands    each query in hand
  members  who said what of the machines when, what was concluded, and why
  watch    the same as a view that goes on; --record keeps it, replay shows it again

Options:
  --deadline S   seconds after which what is still in hand is given up on
  --token FILE   the file with the token, where the door asks for one
  --seconds N    how long to watch [default: 3600]
  --wait         ends once it is drained: status 0, or 1 if it was taken back meanwhile
  --json         for programs

WHERE is the door's address: 127.0.0.1:7071, or unix:/path. Exit status 3: nobody answers there.
"""

import http.client
import socket
import sys
import time
from pathlib import Path
from typing import Any

import orjson
from docopt import docopt

TIMEOUT = 5.0  # seconds


class Unanswered(Exception):
    """The admin endpoint could not be reached or did not answer."""


class _UnixConnection(http.client.HTTPConnection):
    """HTTP connection over a Unix socket."""

    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=TIMEOUT)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(TIMEOUT)
        self.sock.connect(self._path)


def ask(
    where: str, method: str, path: str, body: dict[str, Any] | None = None, token: str | None = None
) -> tuple[int, bytes]:
    """Send one request to the admin endpoint; return the status and body of the response.

    Args:
        where: address of the endpoint: host:port, or unix:/path.
        method: HTTP method.
        path: path of the call.
        body: JSON object to send, if any.
        token: path of the file with the bearer token, if one is required.

    Raises:
        Unanswered: the endpoint could not be reached, or the token file not read.
    """
    try:
        if where.startswith("unix:"):
            connection: http.client.HTTPConnection = _UnixConnection(where.removeprefix("unix:"))
        else:
            connection = http.client.HTTPConnection(where, timeout=TIMEOUT)
        headers = {"Authorization": f"Bearer {Path(token).read_text().strip()}"} if token else {}
        connection.request(method, path, orjson.dumps(body) if body else None, headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise Unanswered(f"{where}: {error}") from None


def main(words: list[str]) -> int:
    given = docopt(__doc__, words)
    try:
        return _replay(given["FILE"]) if given["replay"] else _do(given)
    except Unanswered as error:
        print(f"umbermoor: {error}", file=sys.stderr)
        return 3
    except KeyboardInterrupt:
        return 130


def _do(given: dict[str, Any]) -> int:
    where, token = given["WHERE"], given["--token"]
    if given["watch"]:
        return _watch(where, token, float(given["--seconds"]), given["--record"])
    if given["drain"]:
        try:
            body = {"deadline_s": float(given["--deadline"])} if given["--deadline"] else None
        except ValueError:
            print(
                f"umbermoor: --deadline: expected seconds, not {given['--deadline']!r}",
                file=sys.stderr,
            )
            return 2
        status, answer = ask(where, "POST", "/drain", body, token)
    elif given["resume"]:
        status, answer = ask(where, "POST", "/resume", None, token)
    else:
        name = next(
            one for one in ("status", "hands", "config", "metrics", "members") if given[one]
        )
        status, answer = ask(where, "GET", f"/{name}", None, token)
    if status != 200:
        print(f"umbermoor: {status}: {answer.decode(errors='replace').strip()}", file=sys.stderr)
        return 1
    if given["status"] and not given["--json"]:
        print(status_line(orjson.loads(answer)))
    elif given["members"]:
        print("\n".join(orjson.loads(answer)))
    else:
        print(answer.decode().strip())
    return _until_drained(where, token) if given["--wait"] else 0


def _until_drained(where: str, token: str | None) -> int:
    """Poll the front until it is drained; return 0, or 1 if the drain was cancelled meanwhile."""
    while True:
        status = orjson.loads(ask(where, "GET", "/status", None, token)[1])
        if status["state"] == "drained":
            return 0
        if status["state"] != "draining":
            print(f"umbermoor: {status['state']}, no longer draining", file=sys.stderr)
            return 1
        time.sleep(0.1)


def status_line(status: dict[str, Any]) -> str:
    """Return the status in one line."""
    left = "" if status["deadline_s"] is None else f", {status['deadline_s']:.1f} s to its deadline"
    return (
        f"{status['name']}: {status['state']}{left}; {status['in_hand']} in hand, {status['clients']} clients, "
        f"{status['machines']} machines, stage {status['stage']}"
    )


def _view(status: dict[str, Any]):
    """Return the status as a table for the terminal."""
    from rich.table import Table

    table = Table(title=status_line(status))
    for name in ("profile", "in hand", "oldest ms"):
        table.add_column(name)
    for name, row in status["profiles"].items():
        table.add_row(name, str(row["in_hand"]), f"{row['oldest_ms']:.0f}")
    for at, state, why in status["history"][-6:]:
        table.add_row(f"{at:.1f} s ago", state, why)
    return table


def _watch(where: str, token: str | None, seconds: float, record: str | None) -> int:
    """Show the status live for `seconds`; append each to the file `record`, if given."""
    from rich.live import Live

    until = time.monotonic() + seconds
    with Live(refresh_per_second=4) as live:
        while time.monotonic() < until:
            answer = ask(where, "GET", "/status", None, token)[1]
            if record:
                with open(record, "ab") as file:
                    file.write(answer.strip() + b"\n")
            live.update(_view(orjson.loads(answer)))
            time.sleep(0.25)
    return 0


def _replay(path: str) -> int:
    """Show the statuses that `_watch` recorded."""
    from rich.console import Console

    console = Console()
    try:
        for connection in Path(path).read_bytes().splitlines():
            console.print(_view(orjson.loads(connection)))
    except (OSError, orjson.JSONDecodeError, KeyError) as error:
        print(f"umbermoor: {path}: {error!r}", file=sys.stderr)
        return 2
    return 0
