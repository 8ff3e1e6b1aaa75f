"""Clients that keep a connection each and send one request after the other."""

# ruff: noqa: D102

import http.client
import random
import threading
import time
from collections import Counter

from common2.gateway import Gateway


class Clients:
    """`count` clients, spread over the proxies; counts the statuses by second."""

    def __init__(self, gateway: Gateway, count: int, path: str) -> None:
        self.gateway, self.path = gateway, path
        self.statuses: Counter[int] = Counter()
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, number: int) -> None:
        proxy = self.gateway.proxies[number % len(self.gateway.proxies)]
        connection = http.client.HTTPConnection(proxy.ip, self.gateway.front, timeout=3)
        while not self._ended.is_set():
            headers = {
                "Host": "plot.example",
                "X-Attempt-Id": f"{random.getrandbits(64):016x}",
                "X-Time-Remaining": "2000",
            }
            try:
                connection.request("GET", self.path, headers=headers)
                response = connection.getresponse()
                response.read()
                status = response.status
                wait = float(response.getheader("retry-after") or 0)
            except (OSError, http.client.HTTPException):
                connection.close()
                status, wait = 0, 0.1
            with self._lock:
                self.statuses[status] += 1
            if wait:
                time.sleep(wait)

    def end(self) -> None:
        self._ended.set()
        for thread in self._threads:
            thread.join(5)
