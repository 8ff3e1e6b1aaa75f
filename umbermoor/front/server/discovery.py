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
from umbermoor.front.server.connections import SECOND, Attempt, Connection
from umbermoor.front.server.outcomes import Outcome, shown
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Response
from umbermoor.http1.writer import write_request
from umbermoor.logs import note, note_failure

log = logging.getLogger(__name__)

PATH = "/discovery/hosts"
CONNECT_TIMEOUT = SECOND

_STATES = {"SERVING": Readiness.READY, "DRAINING": Readiness.DRAINING, "DELETED": Readiness.GONE}


class News(NamedTuple):
    """A list of machines, or changes to it."""

    version: int
    whole: bool
    entries: list[Entry]
    addresses: dict[str, Address]
    # by machine, the protocol that its entry states, if any: h2c or http/1.1
    speaks: dict[str, str] = {}


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
        or not _is_integer(given.get("seq"))
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
        if isinstance(protocol := host.get("speaks"), str):
            speaks[entry.machine] = protocol
    return News(given["seq"], whole, entries, addresses, speaks)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _entry(host: dict[str, Any], zones: Mapping[str, int]) -> Entry | None:
    name, build, state = host.get("host"), host.get("build"), _STATES.get(host.get("health"))
    if (
        not isinstance(name, str)
        or state is None
        or not (_is_integer(build) or state is Readiness.GONE)
    ):
        return None
    born, cell, share = host.get("born_ms") or 0, host.get("block") or 0, host.get("share")
    return Entry(
        name,
        build if _is_integer(build) else 0,
        zones.get(host.get("site"), 0),
        cell if _is_integer(cell) else 0,
        state,
        float(share) if isinstance(share, (int, float)) else 1.0,
        round(born * 1000) if isinstance(born, (int, float)) else 0,
    )


class Discovery:
    """Polls the discovery service for the list of machines."""

    def __init__(
        self,
        reactor,
        buffers: Buffers,
        address: Address,
        zones: Mapping[str, int],
        on_list: Callable[[Listing, News], None],
        polling: ListPolling,
    ) -> None:
        self._reactor, self._buffers, self._address, self._zones, self._on_list = (
            reactor,
            buffers,
            address,
            zones,
            on_list,
        )
        self._polling = polling
        self._connection: Connection | None = None
        self._next_call: IDelayedCall | None = None
        self._call_in_progress: Deferred[Outcome] | None = None
        self._started = self._stopped = False
        self.counts: Counter[str] = Counter()

    def start(self, version: int | None = None) -> None:
        """Start polling; further calls have no effect.

        Args:
            version: The version of the full list that the front already has, if any.
        """
        if not self._started:
            self._started = True
            self._ask_in(self._polling.first_delay(version))

    def move(self, address: Address) -> None:
        """Poll another address from now on.

        The full list is requested first, as the other service may number its versions differently.
        """
        self._address = address
        pause = self._polling.address_changed()
        if self._call_in_progress is not None:
            self._call_in_progress.cancel()
        self._ask_in(pause)

    def stop(self) -> None:
        self._stopped = True
        self._cancel_next_call()
        if self._call_in_progress is not None:
            self._call_in_progress.cancel()
        if self._connection is not None:
            self._connection.close()

    def _cancel_next_call(self) -> None:
        if self._next_call is not None and self._next_call.active():
            self._next_call.cancel()

    def _ask_in(self, pause: int) -> None:
        self._cancel_next_call()
        if pause:
            self._next_call = self._reactor.callLater(pause / SECOND, self._ask)
        else:
            self._ask()

    def _ask(self) -> None:
        if self._stopped:
            return
        self.counts["list_calls"] += 1
        call = self._polling.call()
        target = (
            PATH if call.after is None else f"{PATH}?after={call.after}&wait_ms={call.wait // 1000}"
        )
        attempt = Attempt(self._reactor, write_request("GET", target, "discovery"), call.limit)
        self._call_in_progress = attempt.outcome
        if self._connection is not None and self._connection.reusable:
            attempt.send_on(self._connection)
        else:
            attempt.connect(self._address, CONNECT_TIMEOUT, lambda: Connection(self._buffers))
        attempt.outcome.addCallback(self._answered, attempt, self._address).addErrback(
            self._faulted
        )

    def _answered(self, outcome: Outcome, attempt: Attempt, address: Address) -> None:
        self._call_in_progress, self._connection = None, attempt.connection
        # a list of the old address must not be taken for one of the new
        if self._stopped or address != self._address:
            if self._connection is not None:
                self._connection.close()
            return
        news = self._read(outcome)
        if news is None:
            note(log, "list not read", logging.WARNING, outcome=shown(outcome))
            if self._connection is not None:
                self._connection.close()
            self._ask_in(self._polling.failed())
            return
        self._ask()  # immediately: the front counts as informed of changes made in between
        self._on_list(Listing.FULL if news.whole else Listing.CHANGES, news)

    def _read(self, outcome: Outcome) -> News | None:
        if not isinstance(outcome, Response) or outcome.status != 200:
            return None
        try:
            news = read_list(orjson.loads(outcome.body), self._zones)
        except orjson.JSONDecodeError:
            return None
        if news is None:
            self._polling.unreadable()
        return news if news is not None and self._polling.answered(news.version) else None

    def _faulted(self, failure) -> None:
        note_failure(log, "fault in the list", failure)
