"""Second tries of one front at one service: each request earns a part of one, so the sum over all fronts holds whatever
their number is. What the bound allows beside the ratio is left for what no front counts: restarts and window edges."""

from umbermoor.ground.fading import Windowed

PART = 0.8  # of the ratio that a front uses: windows lie anywhere
SECOND = 1_000_000


class Budget:
    """Tokens: earned by requests, lost again once the requests that earned them leave the window."""

    def __init__(self, ratio: float, window: int, start: float = 0.0) -> None:
        self.ratio, self.start = ratio * PART, start
        self.earned, self.spent = Windowed(window), Windowed(window)

    def request(self, now: int) -> None:
        self.earned.add(now, 1)

    def left(self, now: int) -> float:
        """Second tries that may be made now."""
        return self.start + self.ratio * self.earned.sum(now) - self.spent.sum(now)

    def spend(self, now: int) -> bool:
        """Takes one; whether there was one."""
        if self.left(now) < 1:
            return False
        self.spent.add(now, 1)
        return True
