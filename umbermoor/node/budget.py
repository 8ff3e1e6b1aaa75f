"""The open sockets that clients and machines share."""

from typing import Callable

RESERVE = 32  # descriptors for the control addresses, the listener, the log, the reactor itself, and for clients
OVER_MOST = 12  # beyond the budget, who are only told to come back


class Budget:
    def __init__(self, sockets: int) -> None:
        self.used = self.peak = 0
        self.resize(sockets)
        # each closes one idle connection, if it has any; the first is asked first
        self.spare: list[Callable[[], bool]] = []

    def resize(self, sockets: int) -> None:
        self.most = sockets - RESERVE

    def take(self) -> bool:
        if self.used >= self.most and not any(close() for close in self.spare):
            return False
        self.used += 1
        self.peak = max(self.peak, self.used)
        return True

    def give(self) -> None:
        self.used -= 1
