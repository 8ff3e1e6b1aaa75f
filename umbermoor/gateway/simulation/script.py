"""A day of the control world as text: what is played, drawn from a seed, and shrunk to the least
that still breaks.

One step a line, `at_ms kind key=value ...`, below a first line `day key=value ...`. Whatever else
happens in a day follows from the numbers that a step bears, so that dropping one step leaves the
others as they were."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

SERVICES = "maps", "bills"
MARGINS = {
    "contactS": 5,
    "ackS": 5,
    "settlingS": 4,
    "drainS": 2.5,
    "convergenceS": 2.5,
    "revertSlackS": 0.25,
    "stretchS": 8,
    "exposure": 0.1,
    "exposureSlack": 50,
    "rollbackS": 5,
    "graceS": 6,
    "retryRatio": 0.2,
}


@dataclass(frozen=True)
class Step:
    at: int  # ms from the start of traffic
    kind: str
    pairs: tuple[tuple[str, str], ...] = ()

    def get(self, name: str, default: str = "") -> str:
        return dict(self.pairs).get(name, default)

    def number(self, name: str, default: int = 0) -> int:
        return int(self.get(name, str(default)))

    def __str__(self) -> str:
        return " ".join(
            [str(self.at), self.kind, *(f"{name}={value}" for name, value in self.pairs)]
        )


@dataclass(frozen=True)
class Day:
    seed: int
    members: int = 3
    fronts: int = 2
    bear: int = 1
    long: int = 40_000  # ms of troubles; calm comes behind them
    steps: tuple[Step, ...] = field(default_factory=tuple)

    def __str__(self) -> str:
        head = f"day seed={self.seed} members={self.members} fronts={self.fronts} bear={self.bear} long={self.long}"
        return "\n".join([head, *map(str, self.steps)]) + "\n"

    def only(self, steps: list[Step]) -> "Day":
        return Day(self.seed, self.members, self.fronts, self.bear, self.long, tuple(steps))


def read(text: str) -> Day:
    """A day from its text; ValueError names the line that cannot be read. Lines that begin with #
    say what it shows."""
    numbers, steps = None, []
    for place, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        try:
            told = [word.split("=") for word in words[(numbers is not None) + 1 :]]
            pairs = tuple((name, value) for name, value in told)
            if numbers is None:
                if words[0] != "day":
                    raise ValueError("no day")
                numbers = {name: int(value) for name, value in pairs}
            else:
                steps.append(Step(int(words[0]), words[1], pairs))
        except (ValueError, IndexError) as error:
            raise ValueError(f"line {place}: {line}: {error}") from None
    if numbers is None:
        raise ValueError("no line begins with day")
    return Day(**numbers, steps=tuple(steps))


def number_at(at: int) -> int:
    """The least configuration's number of that time (ms)."""
    return 256 + 16 * at


def draw(seed: int, members: int = 0, long: int = 0) -> Day:
    """A day with troubles at any moments, some of them on top of one another."""
    chance = random.Random(f"day {seed}")
    members = members or chance.choice((3, 3, 3, 5))
    long = long or chance.choice((20_000, 30_000, 45_000))
    steps: list[Step] = []
    mix = chance.choice((_QUIET, _KILLS, _CUTS, _DISKS, _CLOCKS, _FRONTS, _ALL, _ALL, _ALL))
    numbers: set[int] = set()

    def number(at: int) -> int:
        """A configuration's number: they rise with the time at which they are sent."""
        found = number_at(at)
        while found in numbers:
            found += 1
        numbers.add(found)
        return found

    def add(at: int, kind: str, **pairs: object) -> None:
        steps.append(Step(at, kind, tuple((name, str(value)) for name, value in pairs.items())))

    at = 0
    while (at := at + round(chance.expovariate(1 / chance.choice((300, 900, 2500))))) < long:
        kind = chance.choices(list(_ORDERS), list(_ORDERS.values()))[0]
        if kind == "config":
            add(at, kind, n=number(at), routes=chance.choice((3, 3, 6, 120)))
        elif kind == "race":
            two = [number(at), number(at)]
            chance.shuffle(two)
            add(at, "config", n=two[0], routes=3)
            add(at + chance.randrange(0, 30), "config", n=two[1], routes=4)
        elif kind == "storm":
            gap = chance.choice((5, 40, 150))
            for one in range(chance.randrange(5, 25)):
                add(at + one * gap, "config", n=number(at + one * gap), routes=3)
        elif kind in ("again", "old"):
            add(at, kind, pick=chance.randrange(1000))
        elif kind == "bad":
            add(at, kind, n=number(at), how=chance.randrange(4))
        elif kind == "rollout":
            pairs = {"against": f"v{at}x"} if chance.random() < 0.25 else {}
            add(
                at,
                kind,
                service=chance.choice(SERVICES),
                target=f"v{at}",
                ramp=chance.choice((6, 12)),
                good=chance.choice((1, 1, 0)),
                **pairs,
            )
        elif kind == "twin":
            add(at, kind, n=number(at), on=chance.randrange(members))
        elif kind in ("leave", "crash"):
            add(at, kind, pick=chance.randrange(1000), stay=chance.choice((0, 3000, 12000)))
        else:
            add(at, kind)
    for _ in range(chance.choice((1, 2, 4, 8, 14))):
        _trouble(
            chance,
            chance.choices(list(mix), list(mix.values()))[0],
            chance.randrange(long),
            members,
            add,
        )
    steps.sort(key=lambda step: step.at)
    return Day(seed, members, chance.choice((1, 2, 3)), (members - 1) // 2, long, tuple(steps))


_ORDERS = {
    "config": 8,
    "race": 2,
    "twin": 1,
    "storm": 1,
    "again": 3,
    "old": 2,
    "bad": 1,
    "rollout": 2,
    "read": 3,
    "leave": 3,
    "crash": 1,
    "come": 2,
    "rollout_read": 2,
}
_KILLS = {
    "core_kill": 5,
    "core_power": 3,
    "herd_kill": 3,
    "herd_power": 2,
    "after_ack": 6,
    "after_sent": 4,
    "core_term": 2,
    "roll_term": 1,
}
_CUTS = {"core_cut": 8, "node_cut": 3, "lossy": 2, "reset": 3, "seeds_cut": 2}
_DISKS = {
    "disk_slow": 4,
    "disk_hangs": 3,
    "disk_refuses": 3,
    "disk_rots": 2,
    "wipe": 4,
    "after_ack": 3,
}
_CLOCKS = {"freeze": 8, "clock_step": 2, "slow": 3, "herd_freeze": 1}
_FRONTS = {"front_kill": 4, "front_freeze": 3, "node_cut": 4, "front_term": 2, "core_kill": 2}
_QUIET = {"core_kill": 1, "front_kill": 1, "reset": 1}
_ALL = {
    kind: weight
    for mix in (_KILLS, _CUTS, _DISKS, _CLOCKS, _FRONTS)
    for kind, weight in mix.items()
}
KINDS = tuple(_ALL)


def _trouble(
    chance: random.Random, kind: str, at: int, members: int, add: Callable[..., None]
) -> None:
    on = chance.randrange(members)
    if kind in ("core_kill", "core_term"):
        add(at, kind, on=on, back=chance.choice((200, 600, 1000, 4000)))
    elif kind in ("core_power", "wipe"):
        add(at, kind, on=on, back=chance.choice((300, 1500, 8000)))
    elif kind == "roll_term":
        gap = chance.choice((3000, 6000))
        for one in range(members):
            add(at + one * gap, "core_term", on=one, back=300)
    elif kind in ("herd_kill", "herd_power"):
        add(
            at,
            kind,
            back=chance.choice((100, 500, 1000)),
            apart=chance.choice((0, 300)),
            wipe=chance.choice((0, 0, 1)) if kind == "herd_power" else 0,
            on=on,
        )
    elif kind in ("after_ack", "after_sent"):
        late = chance.choice((0, 1, 4)) if kind == "after_ack" else chance.randrange(5, 400)
        add(
            at,
            kind,
            late=late,
            how=chance.choice(("herd_kill", "herd_power", "head", "tail", "wipe", "wipe_power")),
            on=on,
            back=chance.choice((100, 500, 1000, 3000)),
        )
    elif kind == "core_cut":
        how = chance.choice(("both", "out", "in", "pair", "group"))
        span = chance.choice((700, 2000, 6000, 20000))
        add(
            at, kind, on=on, other=(on + chance.randrange(1, members)) % members, how=how, span=span
        )
        if chance.random() < 0.4:
            add(at + chance.randrange(span), "core_kill", on=on, back=300)
        if (
            how == "group" and chance.random() < 0.6
        ):  # a front starts that reaches nobody but that member
            add(at + chance.randrange(span), "front_kill", on=on, span=300)
        for _ in range(chance.choice((0, 0, 2, 5))):  # changes meet the member that comes back
            add(at + span + chance.randrange(-600, 900), "meet", on=on)
    elif kind == "seeds_cut":
        for one in range(min(3, members)):
            add(
                at,
                "core_cut",
                on=one,
                other=(one + 1) % members,
                how="both",
                span=chance.choice((3000, 8000)),
            )
    elif kind in ("node_cut", "front_kill", "front_freeze", "front_term"):
        add(
            at,
            kind,
            on=chance.randrange(3),
            how=chance.choice(("both", "out", "in", "some")),
            span=chance.choice((300, 1500, 5000, 20000)),
        )
    elif kind == "lossy":
        add(at, kind, part=chance.choice((5, 20, 40)), span=chance.choice((2000, 10000)))
    elif kind == "reset":
        add(at, kind, on=on)
    elif kind in ("disk_slow", "disk_hangs", "disk_refuses"):
        add(at, kind, on=on, span=chance.choice((300, 2000, 8000)))
    elif kind == "disk_rots":
        add(at, kind, on=on, pick=chance.randrange(100))
    elif kind == "freeze":
        add(
            at,
            kind,
            on=on,
            span=chance.choice((300, 1000, 3000, 8000, 20000)),
            timers=chance.randrange(2),
            clock=chance.choice((0, 0, 1)),
        )
    elif kind == "herd_freeze":
        for one in range(members):
            add(
                at + chance.randrange(500),
                "freeze",
                on=one,
                span=chance.choice((1000, 3000)),
                timers=1,
            )
    elif kind == "clock_step":
        add(at, kind, on=on, by=chance.choice((-3600_000, -2000, 2000, 3600_000)))
    elif kind == "slow":
        add(
            at, kind, on=on, pace=chance.choice((300, 1500, 5000)), span=chance.choice((2000, 8000))
        )


def shrink(day: Day, breaks: Callable[[Day], bool], most: int = 400) -> Day:
    """The day with as few steps as `breaks` needs, by dropping ever smaller runs of them; `most`
    days are tried."""
    steps, size, tried = list(day.steps), max(1, len(day.steps) // 2), 0
    while size and tried < most:
        at, dropped = 0, False
        while at < len(steps) and tried < most:
            fewer = steps[:at] + steps[at + size :]
            tried += 1
            if breaks(day.only(fewer)):
                steps, dropped = fewer, True
            else:
                at += size
        if size == 1 and not dropped:
            break
        size = size // 2 if size > 1 else 1
    return day.only(steps)
