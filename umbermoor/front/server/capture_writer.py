"""Writes the front's capture: passes events to the recorder and flushes its file periodically, also
when no events arrive."""

from umbermoor.front.capture.files import Segments
from umbermoor.front.capture.frames import Header
from umbermoor.front.capture.recorder import FRAME_EVERY, Recorder
from umbermoor.front.configuration import Configuration
from umbermoor.front.facade import Asked
from umbermoor.front.interface import Ending, Entry
from umbermoor.front.own_settings import CaptureTo

SECOND = 1_000_000
_OUTCOMES = {0: "left", 200: "done", 429: "denied", 503: "denied", 502: "abandoned"}


class Capturing:
    """Observer of the exchange that writes a capture."""

    def __init__(self, reactor, clock, configuration: Configuration, to: CaptureTo) -> None:
        names = sorted(configuration.profiles, key=configuration.profiles.__getitem__)
        profiles = tuple(
            {
                "name": name,
                "aim_ms": row.target / 1000,
                "patience_ms": row.patience / 1000,
                "late_value": row.late_value,
                "repeat": "once" if row.repeat.value == "binding" else "repeatable",
            }
            for name, row in zip(names, configuration.charter.profiles)
        )
        self._reactor = reactor
        header = Header(configuration.name, clock(), profiles)
        self._files = Segments(to.path, round(to.most_mb * 2**20), lambda: self._recorder.begin())
        self._recorder = Recorder(clock, header, self._files.write)
        self._timer = reactor.callLater(FRAME_EVERY / SECOND, self._flush)

    def listed(self, whole: bool, entries: list[Entry]) -> None:
        self._recorder.listed(whole, entries)

    def asked(self, asked: Asked) -> None:
        self._recorder.asked(asked.query, asked.profile, asked.due, asked.cost, asked.repeated)

    def handed(self, query: str, machine: str) -> None:
        self._recorder.handed(query, machine)

    def ended(self, query: str, machine: str, ending: Ending, took: int) -> None:
        self._recorder.ended(query, machine, ending, took)

    def closed(self, query: str, status: int) -> None:
        self._recorder.closed(query, _OUTCOMES.get(status, "failed"))

    def _flush(self) -> None:
        self._recorder.flush()
        self._timer = self._reactor.callLater(FRAME_EVERY / SECOND, self._flush)

    def stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()
        self._recorder.flush()
        self._files.close()
