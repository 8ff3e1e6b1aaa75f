"""A stand-in server ("machine" on the users' pages): sound, as PROTOCOL.md says.

It beats, answers requests with its seal, and notes every request that it runs.
"""

import http.client
import json
import select
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class _HttpServer(ThreadingHTTPServer):
    request_queue_size = 128


class Server:
    """One server with its address, its beats and its list of runs."""

    def __init__(
        self,
        id: str,
        service: str,
        host: str,
        zone: str,
        control: list[tuple[str, int]],
        period_s: float,
        say: Callable[[str], None],
        revision: str = "v1",
        work_s: float = 0.0,
        capacity: int = 6,
    ) -> None:
        self.id, self.service, self.zone, self.revision = id, service, zone, revision
        self.control, self.period_s, self.say = control, period_s, say
        self.state, self.sample, self.work_s = "ready", 0, work_s
        self.worked: dict[str, tuple[float, float]] = {}  # by id: begin and end
        self.capacity = capacity
        self.answer_bytes = 0  # size of the answer's body for a path that ends with /large
        self.runs: list[tuple[str, int]] = []
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._http = _HttpServer((host, 0), self._handler())
        self._http.daemon_threads = True
        self.address = f"{host}:{self._http.server_address[1]}"
        threading.Thread(target=self._http.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat_until_ended, daemon=True).start()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _answer(self) -> None:
                length = int(self.headers.get("content-length", 0))
                body = self.rfile.read(length)
                id = self.headers.get("x-attempt-id", "")
                wanted = self.headers.get("x-target-instance", server.id)
                if wanted != server.id:
                    self._send(421, b"", (("X-Not-Executed", "1"), ("X-Attempt-Id", id)))
                    return
                with server._lock:
                    server.runs.append((id, len(body)))
                began = time.monotonic()
                kept = self._work(began + server.work_s)
                with server._lock:
                    server.worked[id] = began, time.monotonic()
                if not kept:
                    self.close_connection = True
                    return
                seal = f"{server.id}.{id}"
                answer = b"done by " + server.id.encode()
                if self.path.endswith("/large"):
                    answer += b"." * (server.answer_bytes - len(answer))
                self._send(200, answer, (("X-Attempt-Id", id), ("X-Server-Seal", seal)))

            def _work(self, until: float) -> bool:
                """Work, and stop when the connection closes; return whether it stayed open."""
                while (left := until - time.monotonic()) > 0:
                    readable, _, _ = select.select([self.connection], [], [], min(left, 0.02))
                    try:
                        if readable and not self.connection.recv(1, socket.MSG_PEEK):
                            return False
                    except OSError:
                        return False
                    if readable:
                        time.sleep(min(left, 0.02))
                return True

            do_GET = _answer  # noqa: N815
            do_POST = _answer  # noqa: N815

            def _send(self, status: int, body: bytes, headers: tuple[tuple[str, str], ...]) -> None:
                self.send_response_only(status)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: object) -> None:
                pass

        return Handler

    def beat(self) -> bool:
        """Send one beat, to one controller after another; return whether it was acknowledged."""
        self.sample += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "revision": self.revision,
                "capacity": self.capacity,
                "state": self.state,
                "warmupLeftS": 0,
                "sample": self.sample,
            }
        ).encode()
        for ip, port in self.control:
            connection = http.client.HTTPConnection(ip, port, timeout=1.0)
            try:
                headers = {"Content-Type": "application/json"}
                connection.request("POST", f"/Plants.Heartbeat/{self.id}", body, headers)
                if connection.getresponse().status == 200:
                    return True
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
        return False

    def _beat_until_ended(self) -> None:
        while not self._ended.is_set():
            known = self.beat()
            self._ended.wait(self.period_s if known else 0.3)

    def end(self) -> None:
        """Stop."""
        self._ended.set()
        self._http.shutdown()
        self._http.server_close()
