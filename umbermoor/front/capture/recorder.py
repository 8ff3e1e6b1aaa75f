"""Notes what a front is asked and how it ends, and makes frames of it; without I/O, in bounded
memory.

One record stands for each query that the front holds, and at most ``ROWS_MOST`` rows wait for their
frame. What a frame costs and holds: docs/capture.md.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from umbermoor.front.capture.frames import Header, Row, SeenMachine, header_frame, rows_frame
from umbermoor.front.interface import Ending, Entry

MAX_ROWS = 512  # of a frame
FRAME_EVERY = 2_000_000  # microseconds; a front that is killed loses no more than that
MAX_TRACKED = 20_000  # queries noted at once; those beyond are counted, not noted


@dataclass(slots=True)
class _TrackedQuery:
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
    def __init__(
        self, clock: Callable[[], int], header: Header, write: Callable[[bytes], None]
    ) -> None:
        self._clock, self._write, self.header = clock, write, header
        self._tracked: dict[str, _TrackedQuery] = {}
        self._rows: list[Row] = []
        self._oldest_row_at = 0  # of the rows that wait
        self._machines: dict[str, SeenMachine] = {}
        self._open: Counter[str] = Counter()  # hand-offs that are out, by machine
        self.left_out = 0

    def begin(self) -> bytes:
        """What a new file opens with, behind its head."""
        return header_frame(self.header)

    def listed(self, whole: bool, entries: list[Entry]) -> None:
        if whole:
            self._machines.clear()
        for entry in entries:
            if entry.readiness:
                self._machines[entry.machine] = SeenMachine(entry.machine, entry.build, entry.born)
            else:
                self._machines.pop(entry.machine, None)

    def asked(self, query: str, profile: int, due: int, hint: int | None, repeated: bool) -> None:
        if len(self._tracked) >= MAX_TRACKED:
            self.left_out += 1
        else:
            self._tracked[query] = _TrackedQuery(self._clock(), profile, repeated, hint, due)

    def handed(self, query: str, machine: str) -> None:
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
        """A hand-off is over. It may come after its query's answer."""
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
        """The final answer, or the client has left."""
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
        if self._rows:
            rows, self._rows = self._rows, []
            self._write(rows_frame(rows))
