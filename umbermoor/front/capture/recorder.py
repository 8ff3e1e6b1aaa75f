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

ROWS_MOST = 512  # of a frame
FRAME_EVERY = 2_000_000  # microseconds; a front that is killed loses no more than that
HELD_MOST = 20_000  # queries noted at once; those beyond are counted, not noted


@dataclass(slots=True)
class _Held:
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
        self._held: dict[str, _Held] = {}
        self._rows: list[Row] = []
        self._since = 0  # of the rows that wait
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
        if len(self._held) >= HELD_MOST:
            self.left_out += 1
        else:
            self._held[query] = _Held(self._clock(), profile, repeated, hint, due)

    def handed(self, query: str, machine: str) -> None:
        held = self._held.get(query)
        if held is not None:
            held.hand_offs += 1
            held.machine = self._machines.get(machine)
            held.ahead, held.sent, held.served = self._open[machine], self._clock() - held.came, 0
        self._open[machine] += 1

    def ended(self, query: str, machine: str, ending: Ending, took: int) -> None:
        """A hand-off is over. It may come after its query's answer."""
        self._open[machine] -= 1
        if self._open[machine] <= 0:
            del self._open[machine]
        held = self._held.get(query)
        if (
            held is not None
            and ending is Ending.OK
            and held.machine is not None
            and held.machine.name == machine
        ):
            held.served = took

    def closed(self, query: str, ending: str) -> None:
        """The final answer, or the client has left."""
        held = self._held.pop(query, None)
        if held is None:
            return
        now = self._clock()
        if not self._rows:
            self._since = now
        self._rows.append(
            Row(
                held.came,
                held.profile,
                held.repeated,
                held.hint,
                ending,
                held.hand_offs,
                now - held.came,
                max(0, held.due - held.came),
                held.machine,
                held.ahead,
                held.sent,
                held.served,
            )
        )
        if len(self._rows) >= ROWS_MOST or now - self._since >= FRAME_EVERY:
            self.flush()

    def flush(self) -> None:
        if self._rows:
            rows, self._rows = self._rows, []
            self._write(rows_frame(rows))
