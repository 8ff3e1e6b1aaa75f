"""The budget of open sockets that clients and machines share."""

from collections.abc import Callable

# descriptors for control connections, the listener, the log, the reactor itself, and clients beyond
# the budget
RESERVE = 32
MAX_OVER_BUDGET = 6  # clients beyond the budget, which only get a 503 with Retry-After
# taken in place of connections that are closing: these hold their descriptors until the end of the
# reactor turn
MAX_CLOSING = 6


class Budget:
    """Counts the open sockets of clients and machines against the limit."""

    def __init__(self, sockets: int) -> None:
        self.used = self.peak = 0
        self.over_budget = 0  # clients beyond the budget
        self.on_release: Callable[[], None] = lambda: None
        self.resize(sockets)
        # each closes one idle connection, if it has any; tried in this order
        self.reclaimers: list[Callable[[], bool]] = []

    def resize(self, sockets: int) -> None:
        self.limit = sockets - RESERVE

    @property
    def available(self) -> int:
        """The number of descriptors that may still be opened now, by clients or machines."""
        return self.limit + MAX_CLOSING + MAX_OVER_BUDGET - self.used - self.over_budget

    def acquire(self) -> bool:
        """Count one more socket, closing an idle one if the budget is used up.

        Sockets that are closed stay open until the end of the reactor turn, so at most MAX_CLOSING
        are replaced within one turn; without that bound, the process could run out of descriptors.

        Returns:
            Whether the socket may be opened.
        """
        if self.used >= self.limit + MAX_CLOSING or (
            self.used >= self.limit and not any(close() for close in self.reclaimers)
        ):
            return False
        self.used += 1
        self.peak = max(self.peak, self.used)
        return True

    def release(self) -> None:
        self.used -= 1
        self.on_release()
