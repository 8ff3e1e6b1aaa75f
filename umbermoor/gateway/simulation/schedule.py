"""Schedules of the control world and their text format.

The first line is `day key=value ...` (a day is the schedule of one run), followed by one step per
line, `at_ms kind key=value ...`. Lines that begin with # are comments. Everything else in a run is
determined by the seed and the arguments of the steps, so that dropping one step does not change the
others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

SERVICES = "maps", "bills"
MARGINS = {  # margins of the deployment under their names in settings; seconds or shares
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

LEAVES_FIRST = "leave"  # the `how` of a leave without draining before it
COMMENT = "#"
HEADER = "day"
# Keys of the first line, and the names of the `Schedule` fields that they set
HEADER_FIELDS = {
    "seed": "seed",
    "members": "members",
    "fronts": "proxies",
    "bear": "tolerated_losses",
    "long": "fault_phase_ms",
}
FIRST_DRAWN_REVISION = 256
REVISIONS_PER_MILLISECOND = 16


class ScheduleSyntaxError(ValueError):
    """A text is not a valid schedule; the message gives the line and the reason."""


@dataclass(frozen=True)
class Step:
    """An action of an operator, the platform or a fault at one point in time."""

    at_ms: int  # from the start of traffic
    kind: str
    arguments: tuple[tuple[str, str], ...] = ()

    def text(self, name: str, default: str = "") -> str:
        """Return an argument as a text."""
        return dict(self.arguments).get(name, default)

    def number(self, name: str, default: int = 0) -> int:
        """Return an argument as an integer."""
        return int(self.text(name, str(default)))

    def __str__(self) -> str:
        arguments = (f"{name}={value}" for name, value in self.arguments)
        return " ".join([str(self.at_ms), self.kind, *arguments])


@dataclass(frozen=True)
class Schedule:
    """The schedule of one run: seed, size of the system, and steps."""

    seed: int
    members: int = 3  # number of controllers, all of which are in the replica set
    proxies: int = 2
    tolerated_losses: int = 1  # number of disks that may be lost at the same time
    fault_phase_ms: int = 40_000  # all faults end after this time
    steps: tuple[Step, ...] = ()

    def __str__(self) -> str:
        numbers = (f"{name}={getattr(self, field)}" for name, field in HEADER_FIELDS.items())
        return "\n".join([" ".join([HEADER, *numbers]), *map(str, self.steps)]) + "\n"

    def with_steps(self, steps: Iterable[Step]) -> "Schedule":
        """Return the same schedule with other steps."""
        return replace(self, steps=tuple(steps))


def parse(text: str) -> Schedule:
    """Parse a schedule.

    Raises ScheduleSyntaxError.
    """
    numbers: dict[str, int] | None = None
    steps: list[Step] = []
    for line_number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith(COMMENT):
            continue
        try:
            if numbers is None:
                numbers = _parse_header(words)
            else:
                steps.append(Step(int(words[0]), words[1], _parse_arguments(words[2:])))
        except (ValueError, IndexError) as error:
            raise ScheduleSyntaxError(f"line {line_number}: {line}: {error}") from None
    if numbers is None:
        raise ScheduleSyntaxError("no line begins with day")
    return Schedule(**numbers, steps=tuple(steps))


def _parse_header(words: list[str]) -> dict[str, int]:
    if words[0] != HEADER:
        raise ValueError("no day")
    numbers = {name: int(value) for name, value in _parse_arguments(words[1:])}
    unknown = sorted(numbers.keys() - HEADER_FIELDS.keys())
    if unknown or "seed" not in numbers:
        raise ValueError(f"unknown: {', '.join(unknown)}" if unknown else "no seed")
    return {HEADER_FIELDS[name]: number for name, number in numbers.items()}


def _parse_arguments(words: list[str]) -> tuple[tuple[str, str], ...]:
    pairs = (word.split("=") for word in words)
    return tuple((name, value) for name, value in pairs)


def lowest_revision_at(at_ms: int) -> int:
    """Return the lowest revision for configurations that are sent at that time."""
    return FIRST_DRAWN_REVISION + REVISIONS_PER_MILLISECOND * at_ms
