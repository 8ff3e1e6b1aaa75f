"""Records a front's queries and their outcomes and packs them into frames; no I/O, bounded memory.

It keeps one record for each query in flight, and at most `MAX_ROWS` rows that wait for their frame.
Cost and content of a frame: docs/capture.md.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from umbermoor.front.capture.frames import Header, Row, SeenMachine, header_frame, rows_frame
from umbermoor.front.interface import Ending, Entry

MAX_ROWS = 512  # per frame
FRAME_EVERY = 2_000_000  # microseconds; a front that is killed loses at most the rows of this time
MAX_TRACKED = 20_000  # concurrent queries that are recorded; further ones are only counted


@dataclass(slots=True)
class _TrackedQuery:
    """A query in flight. Times are microseconds."""

    came: int
    profile: int
    repeated: bool
    hint: int | None
    due: int
    hand_offs: int = 0
    machine: SeenMachine | None = None
    ahead: int = 0
    sent: int = 0
    served: int = 0


class Recorder:
    """Records the events of one front.

    Args:
        clock: returns the front's time in microseconds.
        header: header of the capture.
        write: called with each frame of rows.
    """

    def __init__(
        self, clock: Callable[[], int], header: Header, write: Callable[[bytes], None]
    ) -> None:
        self._clock, self._write, self.header = clock, write, header
        self._tracked: dict[str, _TrackedQuery] = {}
        self._rows: list[Row] = []
        self._oldest_row_at = 0  # when the first row that waits was added
        self._machines: dict[str, SeenMachine] = {}
        self._open: Counter[str] = Counter()  # open hand-offs by machine
        self.left_out = 0

    def begin(self) -> bytes:
        """Return the bytes that follow the head of a new file."""
        return header_frame(self.header)

    def listed(self, whole: bool, entries: list[Entry]) -> None:
        """Update the machine list: all of it if `whole`, else the changed entries."""
        if whole:
            self._machines.clear()
        for entry in entries:
            if entry.readiness:
                self._machines[entry.machine] = SeenMachine(entry.machine, entry.build, entry.born)
            else:
                self._machines.pop(entry.machine, None)

    def asked(self, query: str, profile: int, due: int, hint: int | None, repeated: bool) -> None:
        """Record a new query."""
        if len(self._tracked) >= MAX_TRACKED:
            self.left_out += 1
        else:
            self._tracked[query] = _TrackedQuery(self._clock(), profile, repeated, hint, due)

    def handed(self, query: str, machine: str) -> None:
        """Record a hand-off of the query to a machine."""
        tracked = self._tracked.get(query)
        if tracked is not None:
            tracked.hand_offs += 1
            tracked.machine = self._machines.get(machine)
            tracked.ahead, tracked.sent, tracked.served = (
                self._open[machine],
                self._clock() - tracked.came,
                0,
            )
        self._open[machine] += 1

    def ended(self, query: str, machine: str, ending: Ending, took: int) -> None:
        """Record the end of a hand-off; it may come after the final response of its query."""
        self._open[machine] -= 1
        if self._open[machine] <= 0:
            del self._open[machine]
        tracked = self._tracked.get(query)
        if (
            tracked is not None
            and ending is Ending.OK
            and tracked.machine is not None
            and tracked.machine.name == machine
        ):
            tracked.served = took

    def closed(self, query: str, ending: str) -> None:
        """Record the end of a query: its final response, or that its client has left."""
        tracked = self._tracked.pop(query, None)
        if tracked is None:
            return
        now = self._clock()
        if not self._rows:
            self._oldest_row_at = now
        self._rows.append(
            Row(
                tracked.came,
                tracked.profile,
                tracked.repeated,
                tracked.hint,
                ending,
                tracked.hand_offs,
                now - tracked.came,
                max(0, tracked.due - tracked.came),
                tracked.machine,
                tracked.ahead,
                tracked.sent,
                tracked.served,
            )
        )
        if len(self._rows) >= MAX_ROWS or now - self._oldest_row_at >= FRAME_EVERY:
            self.flush()

    def flush(self) -> None:
        """Write the rows that wait as a frame."""
        if self._rows:
            rows, self._rows = self._rows, []
            self._write(rows_frame(rows))
