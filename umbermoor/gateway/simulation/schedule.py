"""A day of the control world as a text: what happens in it, and when.

One step a line, `at_ms kind key=value ...`, below a first line `day key=value ...`; lines that
begin with # are comments. Whatever else happens in a day follows from the seed and from the numbers
that a step carries, so that dropping one step leaves the others as they were.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

SERVICES = "maps", "bills"
MARGINS = {  # of the deployment, by the names that settings have for them; in seconds, or shares
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

COMMENT = "#"
HEADER = "day"
# The numbers of the first line, and the fields of a schedule that they are read into
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
    """A text is no schedule; names the line that could not be read, and why."""


@dataclass(frozen=True)
class Step:
    """Something that an operator, the platform or a fault does at one moment."""

    at_ms: int  # from the start of traffic
    kind: str
    arguments: tuple[tuple[str, str], ...] = ()

    def text(self, name: str, default: str = "") -> str:
        """An argument."""
        return dict(self.arguments).get(name, default)

    def number(self, name: str, default: int = 0) -> int:
        """An argument that is a whole number."""
        return int(self.text(name, str(default)))

    def __str__(self) -> str:
        arguments = (f"{name}={value}" for name, value in self.arguments)
        return " ".join([str(self.at_ms), self.kind, *arguments])


@dataclass(frozen=True)
class Schedule:
    """A day: its seed, the size of the system, and its steps."""

    seed: int
    members: int = 3  # controllers, all of them in the replica set
    proxies: int = 2
    tolerated_losses: int = 1  # of disks, at once
    fault_phase_ms: int = 40_000  # all faults are taken away behind it
    steps: tuple[Step, ...] = ()

    def __str__(self) -> str:
        numbers = (f"{name}={getattr(self, field)}" for name, field in HEADER_FIELDS.items())
        return "\n".join([" ".join([HEADER, *numbers]), *map(str, self.steps)]) + "\n"

    def with_steps(self, steps: Iterable[Step]) -> "Schedule":
        """The same day with other steps."""
        return replace(self, steps=tuple(steps))


def parse(text: str) -> Schedule:
    """The day that a text describes. Raises ScheduleSyntaxError."""
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
    """The least revision of a configuration that is sent at that time."""
    return FIRST_DRAWN_REVISION + REVISIONS_PER_MILLISECOND * at_ms
