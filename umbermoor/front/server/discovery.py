"""Discovery of machines: fetches the full list, then watches for changes by long polling."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from umbermoor.front.configuration import Address, read_address
from umbermoor.front.interface import Entry, Listing, Readiness
from umbermoor.front.list_polling import ListPolling
from umbermoor.front.server.connections import SECOND, Attempt, Line
from umbermoor.front.server.outcomes import Outcome, shown
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Response
from umbermoor.http1.writer import write_request
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

PATH = "/discovery/hosts"
CONNECT_WITHIN = SECOND

_STATES = {"SERVING": Readiness.READY, "DRAINING": Readiness.DRAINING, "DELETED": Readiness.GONE}


class News(NamedTuple):
    version: int
    whole: bool
    entries: list[Entry]
    addresses: dict[str, Address]
    speaks: dict[
        str, str
    ] = {}  # by machine, the protocol that its entry states, if any: h2c or http/1.1


def read_list(given: Any, zones: Mapping[str, int]) -> News | None:
    """Parse a list in discovery's format.

    A malformed entry is skipped and the list then counts as partial, so that a machine missing from
    it is not taken for removed.

    Returns:
        The list, or None if it is malformed.
    """
    if (
        not isinstance(given, dict)
        or not isinstance(given.get("hosts"), list)
        or not _whole(given.get("seq"))
    ):
        return None
    entries, addresses, speaks, whole = [], {}, {}, given.get("whole") is True
    for host in given["hosts"]:
        entry = _entry(host, zones) if isinstance(host, dict) else None
        if entry is None:
            note(log, "entry not read", logging.WARNING, entry=repr(host)[:120])
            whole = False
            continue
        entries.append(entry)
        if address := read_address(str(host.get("dial", ""))):
            addresses[entry.machine] = address
        if isinstance(said := host.get("speaks"), str):
            speaks[entry.machine] = said
    return News(given["seq"], whole, entries, addresses, speaks)


def _whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _entry(host: dict[str, Any], zones: Mapping[str, int]) -> Entry | None:
    name, build, state = host.get("host"), host.get("build"), _STATES.get(host.get("health"))
    if not isinstance(name, str) or state is None or not (_whole(build) or state is Readiness.GONE):
        return None
    born, cell, share = host.get("born_ms") or 0, host.get("block") or 0, host.get("share")
    return Entry(
        name,
        build if _whole(build) else 0,
        zones.get(host.get("site"), 0),
        cell if _whole(cell) else 0,
        state,
        float(share) if isinstance(share, (int, float)) else 1.0,
        round(born * 1000) if isinstance(born, (int, float)) else 0,
    )


class Discovery:
    def __init__(
        self,
        reactor,
        buffers: Buffers,
        address: Address,
        zones: Mapping[str, int],
        told: Callable[[Listing, News], None],
        watching: ListPolling,
    ) -> None:
        self._reactor, self._buffers, self._address, self._zones, self._told = (
            reactor,
            buffers,
            address,
            zones,
            told,
        )
        self._watching = watching
        self._line: Line | None = None
        self._next: IDelayedCall | None = None
        self._asking: Deferred[Outcome] | None = None
        self._started = self._stopped = False
        self.counts: Counter[str] = Counter()

    def start(self, held: int | None = None) -> None:
        """Start polling; further calls have no effect.

        Args:
            held: The version of the full list that the front already has, if any.
        """
        if not self._started:
            self._started = True
            self._ask_in(self._watching.first(held))

    def move(self, address: Address) -> None:
        """Poll another address from now on.

        The full list is requested first, as the other service may number its versions differently.
        """
        self._address = address
        pause = self._watching.moved()
        if self._asking is not None:
            self._asking.cancel()
        self._ask_in(pause)

    def stop(self) -> None:
        self._stopped = True
        self._drop_next()
        if self._asking is not None:
            self._asking.cancel()
        if self._line is not None:
            self._line.close()

    def _drop_next(self) -> None:
        if self._next is not None and self._next.active():
            self._next.cancel()

    def _ask_in(self, pause: int) -> None:
        self._drop_next()
        if pause:
            self._next = self._reactor.callLater(pause / SECOND, self._ask)
        else:
            self._ask()

    def _ask(self) -> None:
        if self._stopped:
            return
        self.counts["list_calls"] += 1
        call = self._watching.call()
        target = (
            PATH if call.after is None else f"{PATH}?after={call.after}&wait_ms={call.wait // 1000}"
        )
        attempt = Attempt(self._reactor, write_request("GET", target, "discovery"), call.limit)
        self._asking = attempt.outcome
        if self._line is not None and self._line.clean:
            attempt.on(self._line)
        else:
            attempt.connect(self._address, CONNECT_WITHIN, lambda: Line(self._buffers))
        attempt.outcome.addCallback(self._answered, attempt, self._address).addErrback(
            self._faulted
        )

    def _answered(self, outcome: Outcome, attempt: Attempt, address: Address) -> None:
        self._asking, self._line = None, attempt.line
        if (
            self._stopped or address != self._address
        ):  # a list of the old address must not be taken for one of the new
            if self._line is not None:
                self._line.close()
            return
        news = self._read(outcome)
        if news is None:
            note(log, "list not read", logging.WARNING, outcome=shown(outcome))
            if self._line is not None:
                self._line.close()
            self._ask_in(self._watching.failed())
            return
        self._ask()  # immediately: the front counts as informed of changes made in between
        self._told(Listing.FULL if news.whole else Listing.CHANGES, news)

    def _read(self, outcome: Outcome) -> News | None:
        if not isinstance(outcome, Response) or outcome.status != 200:
            return None
        try:
            news = read_list(orjson.loads(outcome.body), self._zones)
        except orjson.JSONDecodeError:
            return None
        if news is None:
            self._watching.unread()
        return news if news is not None and self._watching.answered(news.version) else None

    def _faulted(self, failure) -> None:
        note_failure(log, "fault in the list", failure)
