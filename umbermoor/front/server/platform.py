"""The release platform: sends votes, and reads the stream of messages that the platform sends."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from math import isfinite
from typing import Any

from twisted.internet.defer import Deferred

from umbermoor.backoff import Backoff
from umbermoor.front.configuration import Address
from umbermoor.front.facade import Complaint, Tally, Vote
from umbermoor.front.interface import Ending, News, Phase, Verdict
from umbermoor.front.server.connections import SECOND, Attempt, Connection
from umbermoor.front.server.formats import Event, EventStream, read_form, read_xml, write_form
from umbermoor.front.server.outcomes import Failed, Outcome, Progress, shown
from umbermoor.front.start_settings import micros
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.writer import write_request
from umbermoor.logs import note

log = logging.getLogger(__name__)

SILENCE_TIMEOUT = 3.5  # seconds without data until a second stream is opened beside the first
RETRY_INITIAL, RETRY_MAX = 0.1, 1.0  # seconds until a lost stream is reopened, doubling
CONNECT_TIMEOUT = 2 * SECOND
UNLIMITED = 366 * 86400 * SECOND

_PHASES = {
    "trial": Phase.TRIAL,
    "rolling_back": Phase.GOING_BACK,
    "released": Phase.RELEASED,
    "withdrawn": Phase.WITHDRAWN,
}
_VERDICTS = {
    Verdict.NONE: "WITHDRAW",
    Verdict.ON: "PROCEED",
    Verdict.HOLD: "HOLD",
    Verdict.BACK: "ROLLBACK",
}
_ERRORS = {
    "Throttling": Ending.FULL,
    "ConditionFailed": Ending.MOOT,
    "ValidationError": Ending.MOOT,
    "InternalFailure": Ending.ERROR,
}


def _number(values: Mapping[str, Any], name: str) -> float:
    value = float(values[name])
    if not isfinite(value) or not 0 <= value < 1e15:
        raise ValueError(f"{name}: {value}")
    return value


def read_stage(values: Mapping[str, Any], answers_vote: bool = False) -> News | None:
    """Parse the newest build's state from any of the platform's formats; None if malformed."""
    try:
        return News(
            int(_number(values, "Revision")),
            int(_number(values, "Wave")),
            _PHASES[str(values["State"])],
            min(1.0, _number(values, "MaxShare")),
            micros(_number(values, "AgeMs")),
            answers_vote,
            Ending.OK,
        )
    except (KeyError, ValueError, TypeError):
        return None


def read_event(event: Event, profiles: Mapping[str, int]) -> News | Tally | Complaint | None:
    values = read_form(event.data)
    try:
        if event.kind == "stage":
            return read_stage(values)
        if event.kind == "tally":
            counted, lost = int(_number(values, "Samples")), int(_number(values, "Errors"))
            took = micros(_number(values, "MeanMs")) if lost < counted else 0
            return Tally(
                int(_number(values, "Revision")),
                profiles[values["Lane"]],
                counted,
                lost,
                took,
                micros(_number(values, "AgeMs")),
            )
        if event.kind == "flag":
            return Complaint(
                values["InstanceId"], profiles[values["Lane"]], micros(_number(values, "AgeMs"))
            )
    except (KeyError, ValueError):
        pass
    return None


def read_vote(outcome: Outcome) -> News:
    """Return the result of a vote.

    A vote that may have been counted must not be reported as one that was not: when in doubt, the
    ending is TIMEOUT.
    """
    ending = Ending.TIMEOUT
    if isinstance(outcome, Failed):
        ending = Ending.ERROR if outcome.progress < Progress.WHOLE else Ending.TIMEOUT
    elif (found := read_xml(outcome.body)) is not None:
        item, code = found.find("item"), found.find("Code")
        stage = read_stage(item.values(), True) if item else None
        if outcome.status == 200 and stage:
            return stage
        if outcome.status != 200 and code:
            ending = _ERRORS.get(code.text, Ending.TIMEOUT)
    return News(0, 0, Phase.TRIAL, 0.0, 0, True, ending)


class Platform:
    """The connections to the release platform."""

    def __init__(
        self,
        reactor,
        buffers: Buffers,
        address: Address,
        vote_wait: int,
        profiles: Mapping[str, int],
        on_message: Callable[[News | Tally | Complaint], None],
        uniform: Callable[[], float],
    ) -> None:
        self._reactor, self._buffers, self._address, self._vote_wait = (
            reactor,
            buffers,
            address,
            vote_wait,
        )
        self._profiles, self._on_message = profiles, on_message
        self._streams: list[_Stream] = []  # usually one; two while the older one is silent
        self._backoff = Backoff(RETRY_INITIAL, RETRY_MAX, uniform)
        self._stopped = False
        self.counts: Counter[str] = Counter()

    def vote(self, vote: Vote) -> "Deferred[News]":
        body = write_form(
            {
                "Action": "RecordOpinion",
                "Revision": vote.build,
                "Wave": vote.stage,
                "Decision": _VERDICTS[vote.verdict],
            }
        )
        headers = {"Content-Type": "application/x-www-form-urlencoded", "Connection": "close"}
        attempt = Attempt(
            self._reactor, write_request("POST", "/v1/", "platform", headers, body), self._vote_wait
        )
        attempt.connect(self._address, self._vote_wait, lambda: Connection(self._buffers))
        return attempt.outcome.addCallback(lambda outcome: self._voted(outcome, attempt))

    def start(self) -> None:
        if not self._stopped:
            self.counts["streams"] += 1
            self._streams.append(_Stream(self))

    def move(self, address: Address) -> None:
        """Use another address from now on.

        Votes go there immediately. The existing stream is read until the new one delivers data or
        the existing one closes.
        """
        self._address = address
        self._backoff.reset()
        self._stop_others(*self._streams[:1])
        self.start()

    def stop(self) -> None:
        self._stopped = True
        for stream in list(self._streams):
            stream.stop()

    def _voted(self, outcome: Outcome, attempt: Attempt) -> News:
        if attempt.connection is not None:
            attempt.connection.close()
        return read_vote(outcome)

    def _stop_others(self, *kept: "_Stream") -> None:
        for other in [one for one in self._streams if one not in kept]:
            self._streams.remove(other)
            other.stop()

    def received(self, stream: "_Stream", events: list[Event]) -> None:
        self._backoff.reset()
        # otherwise the new stream, to the current address, keeps connecting
        if stream.address == self._address:
            self._stop_others(stream)
        for event in events:
            news = read_event(event, self._profiles)
            if news is None:
                note(log, "event not read", logging.WARNING, kind=event.kind, data=event.data[:120])
            else:
                self._on_message(news)

    def silent(self) -> None:
        """Open a second stream beside the silent one.

        Either the platform is silent, and then the old stream may continue, or the connection is
        dead.
        """
        if not self._stopped:
            self._stop_others(*self._streams[:1])
            self.start()

    def lost(self, stream: "_Stream", outcome: Outcome) -> None:
        if stream in self._streams:
            self._streams.remove(stream)
            if not self._stopped:
                note(log, "stream lost", outcome=shown(outcome))
            if not self._streams:
                self._reactor.callLater(
                    self._backoff.next_delay(), lambda: self._streams or self.start()
                )


class _Stream:
    """One connection to the platform's stream of messages."""

    def __init__(self, platform: Platform) -> None:
        self._platform, self._events, self.address = platform, EventStream(), platform._address
        self._attempt = Attempt(
            platform._reactor, write_request("GET", "/v1/bulletin", "platform"), UNLIMITED
        )
        self._attempt.connect(
            platform._address,
            CONNECT_TIMEOUT,
            lambda: Connection(platform._buffers, self._received),
        )
        self._silence_timer = platform._reactor.callLater(SILENCE_TIMEOUT, self._silent)
        self._attempt.outcome.addCallback(self._ended)

    def stop(self) -> None:
        self._attempt.outcome.cancel()

    def _received(self, data: bytes) -> None:
        if self._silence_timer.active():
            self._silence_timer.reset(SILENCE_TIMEOUT)
        self._platform.received(self, self._events.feed(data))

    def _silent(self) -> None:
        self._silence_timer = self._platform._reactor.callLater(SILENCE_TIMEOUT, self._silent)
        if self._platform._streams[:1] == [self]:
            self._platform.silent()

    def _ended(self, outcome: Outcome) -> None:
        if self._silence_timer.active():
            self._silence_timer.cancel()
        if self._attempt.connection is not None:
            self._attempt.connection.close()
        self._platform.lost(self, outcome)
