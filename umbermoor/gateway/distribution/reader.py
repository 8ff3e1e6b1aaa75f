"""A reader's side: whom to ask, with what vector, and what its answers add up to. No I/O.

A configuration's news is told at once by one member, the reader's first; the others, whose pulls
are out as well, tell it when these have been held for HOLD, if the reader does not know it by then.
What presses is told by all at once.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple
from zlib import crc32

from umbermoor.gateway.discovery.registry import KEPT, READY, Entry, entry_of, merged

HOLD = 900_000  # us: how long a member may keep a pull that has no news
LOST = 2_000_000  # us: a pull that stayed without an answer for so long is made again
PAUSE = 150_000  # us: after a pull that failed
GAP = 60_000  # us: between a pull's answer and the next pull, so that changes come together
FORGET = KEPT + 20_000_000  # us: a machine that has not been ready for so long is dropped
# us: without word of a majority for so long, an older set of members is followed too: a system anew
ANEW = 10_000_000
AGAIN = 700_000  # us: until another member is asked for the body of a configuration


class Heard(NamedTuple):
    """What an answer changed."""

    machines: list[Entry]
    register: dict[str, Any]  # keys that changed, with their values
    want: bool  # the configuration's body is to be asked for
    firm: bool  # it is as new as a member in force could tell after it was asked


class Source:
    """One member of the core, as a reader sees it."""

    __slots__ = "asked", "firm", "life", "next", "number", "offered", "old", "silent"

    def __init__(self) -> None:
        self.asked: int | None = None
        self.firm = -(1 << 60)
        self.life = self.number = 0
        self.next = 0
        self.offered = 0  # the revision that it told last; none while it is silent
        self.silent = False  # its last pull had no answer
        self.old = False  # the next answer may be from before this process stood still


class Reader:
    """Pulls from every known member. `everyone`: the core's members as last told; at first the
    seeds."""

    def __init__(self, seeds: Sequence[str], me: str = "") -> None:
        self.me, self.told, self.set = (
            me,
            False,
            0,
        )  # `set`: number of the members' set that `everyone` is
        self.sources = {seed: Source() for seed in seeds if seed != me}
        self.everyone: tuple[str, ...] = tuple(seeds)
        self._seeds = dict.fromkeys(seeds)
        self._heard_at: int | None = None
        self.machines: dict[str, Entry] = {}
        self._away: dict[str, int] = {}  # since when those are not ready
        self.version: tuple[int, int] = (0, 0)  # of the register
        self.register: dict[str, Any] = {}
        self.revision = 0  # of the configuration held whole
        self.offered = 0  # and of the newest one heard of
        self.base = ""  # digest of the one held: what is new may be told by what it changes
        self.head = ""  # the member where puts enter, as last told
        self.salt = 0  # another one with each reader, so that each member is the first of as many
        self._want_at = 0

    def due(self, now: int) -> list[str]:
        """Members to be asked now."""
        found = []
        if self._heard_at is None:
            self._heard_at = now
        elif (
            now - self._heard_at > ANEW
        ):  # all members may have been replaced while this was cut off
            for name in self._seeds:
                if name != self.me:
                    self.sources.setdefault(name, Source())
        for name, source in self.sources.items():
            if source.asked is not None and now - source.asked > LOST:
                source.asked, source.next, source.offered, source.silent = None, now, 0, True
            if source.asked is None and now >= source.next:
                found.append(name)
        return found

    def pull(self, now: int, name: str) -> dict[str, Any]:
        """The pull for that member: the vector, and what else a member answers at once."""
        source = self.sources[name]
        source.asked = now
        message = {
            "kind": "pull",
            "life": source.life,
            "number": source.number,
            "register": list(self.version),
            "revision": self.revision,
            "first": name == self._first(),
        }
        if self._wants(now, source.offered):  # one that lacks it would only take up the turn
            message["want"], self._want_at = True, now + AGAIN
            if self.base:
                message["base"] = self.base
        return message

    def _first(self) -> str:
        """The member that tells this reader at once; none for a member itself, which learns by the
        chain."""
        answering = [name for name, source in self.sources.items() if not source.silent]
        return (
            ""
            if self.me
            else min(answering, key=lambda name: crc32(f"{self.salt} {name}".encode()), default="")
        )

    def unusable(self) -> None:
        """What a member told by what it changes did not come out: the next one is asked for
        whole."""
        self.base, self._want_at = "", 0

    def failed(self, now: int, name: str) -> None:
        """The pull did not reach the member, or its connection broke."""
        if source := self.sources.get(name):
            source.asked, source.next, source.offered, source.silent = None, now + PAUSE, 0, True

    def news(self, now: int, name: str, message: dict[str, Any]) -> Heard | None:
        """An answer to a pull; None where it is garbled or from a stranger."""
        source = self.sources.get(name)
        if source is None:
            return None
        try:
            life, number, entries = (
                int(message["life"]),
                int(message["number"]),
                message["machines"],
            )
            version = (int(message["register"][0]), int(message["register"][1]))
            keys, members, firm = (
                dict(message["keys"]),
                [str(one) for one in message["everyone"]],
                message["firm"],
            )
            offered, head = int(message["revision"]), str(message["head"])
            number_of_set = int(message.get("set", 0))
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            return None
        source.asked, source.life, source.number, source.silent = None, life, number, False
        source.next, source.offered = now + GAP, offered
        firm = firm is True and not source.old
        source.old = False
        if firm:
            source.firm = now
        self._heard_at = now
        # a set above the one known is in force whoever tells of it, also one that was taken out of
        # it
        if members and (
            (firm and not self.firm_since(now - ANEW)) or number_of_set >= self.set + (not firm)
        ):
            self.set = number_of_set
            self.members(members)
        changed = merged(
            filter(None, map(entry_of, entries if isinstance(entries, list) else [])), self.machines
        )
        for entry in changed:
            if entry.state == READY:
                self._away.pop(entry.id, None)
            else:
                self._away.setdefault(entry.id, now)
        register = {}
        if firm and version >= self.version:
            self.head = head
        if version > self.version:
            self.version = version
            register = {
                key: value for key, value in keys.items() if self.register.get(key) != value
            }
            self.register.update(register)
        self.offered = max(self.offered, offered)
        return Heard(changed, register, self._wants(now, offered), firm)

    def _wants(self, now: int, offered: int) -> bool:
        """Whether one who told of that revision is to be asked for its body; a member asks none, it
        has the chain."""
        return not self.me and offered > self.revision and now >= self._want_at

    def stood_still(self) -> None:
        """This process was frozen, or starved: an answer that it finds now may have lain there, and
        proves nothing."""
        for source in self.sources.values():
            source.old = source.old or source.asked is not None

    def meet(self, name: str) -> None:
        """A seed that was named later; it is asked until members say who they are, and when all of
        them are silent."""
        self._seeds[name] = None
        if not self.told and name != self.me:
            self.sources.setdefault(name, Source())

    def members(self, members: Sequence[str]) -> None:
        """Who the core's members are; nobody else is asked."""
        self.everyone, self.told = tuple(members), True
        for name in members:
            if name != self.me and name not in self.sources:
                self.sources[name] = Source()
        for name in [name for name in self.sources if name not in members]:
            del self.sources[name]

    def firm_since(self, when: int) -> bool:
        """Whether a majority of the members said since then that they are in force."""
        if not self.told:
            return False
        firm = sum(source.firm >= when for source in self.sources.values()) + (
            self.me in self.everyone
        )
        return 2 * firm > len(self.everyone)

    def forget(self, now: int) -> list[str]:
        """Drops machines that have not been ready for longer than any member remembers them, and
        names them."""
        gone = [id for id, since in self._away.items() if now - since > FORGET]
        for id in gone:
            del self._away[id], self.machines[id]
        return gone


class Teller:
    """A member's side: pulls that wait for news. The host calls `due` when something changed."""

    def __init__(self) -> None:
        self.waiting: dict[
            Any, tuple[int, dict[str, Any]]
        ] = {}  # by connection: until when, the pull

    def pull(self, now: int, line: Any, message: dict[str, Any]) -> None:
        """Notes a pull; a connection has one at a time. Threat: a garbled one that breaks the
        answers to all others."""
        try:
            whole = {
                "life": int(message["life"]),
                "number": int(message["number"]),
                "register": [int(message["register"][0]), int(message["register"][1])],
                "revision": int(message["revision"]),
                "want": message.get("want") is True,
                "base": message.get("base"),
                "first": message.get("first") is not False,
            }
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            return
        self.waiting[line] = now + HOLD, whole

    def closed(self, line: Any) -> None:
        self.waiting.pop(line, None)

    def due(
        self,
        now: int,
        life: int,
        urgent: int,
        version: tuple[int, int],
        revision: int,
        pressing: tuple[int, int] | None = None,
    ) -> list[tuple[Any, dict]]:
        """The pulls that are answered now: those with news that should not wait, and those that
        waited long. `urgent`: the number of the last change of a machine that presses; `pressing`:
        the register's version with the last change of anything but the configuration; None: each
        presses."""
        pressing = version if pressing is None else pressing
        found = []
        for line, (until, pull) in list(self.waiting.items()):
            known = pull["number"] if pull["life"] == life else -1
            register = tuple(pull["register"])
            lacks = register < pressing or (
                pull["first"] and (register < version or pull["revision"] < revision)
            )
            if now >= until or known < max(urgent, 0) or lacks or pull["want"]:
                found.append((line, pull))
                del self.waiting[line]
        return found
