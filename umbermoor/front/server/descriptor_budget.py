"""The open sockets that clients and machines share."""

from collections.abc import Callable

# descriptors for the control addresses, the listener, the log, the reactor itself, and for clients
RESERVE = 32
OVER_MOST = 6  # beyond the budget, who are only told to come back
# taken for others that were told to close, which hold their descriptors until the turn has ended
CLOSING_MOST = 6


class Budget:
    def __init__(self, sockets: int) -> None:
        self.used = self.peak = 0
        self.over = 0  # clients beyond it
        self.freed: Callable[[], None] = lambda: None
        self.resize(sockets)
        # each closes one idle connection, if it has any; the first is asked first
        self.spare: list[Callable[[], bool]] = []

    def resize(self, sockets: int) -> None:
        self.most = sockets - RESERVE

    @property
    def room(self) -> int:
        """Descriptors that may still be opened now, whoever is to have them."""
        return self.most + CLOSING_MOST + OVER_MOST - self.used - self.over

    def take(self) -> bool:
        """Threat: in one turn many give way to others, and all of them are open until it ends."""
        if self.used >= self.most + CLOSING_MOST or (
            self.used >= self.most and not any(close() for close in self.spare)
        ):
            return False
        self.used += 1
        self.peak = max(self.peak, self.used)
        return True

    def give(self) -> None:
        self.used -= 1
        self.freed()
