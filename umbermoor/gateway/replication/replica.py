"""One member of the register: takes messages, time and what the disk tells, returns effects. See
the package.

Errors: a message of another shape or from outside is dropped; a call that cannot be told in 700 ms
is answered UNAVAILABLE, and may be done nevertheless. Source of the rules: `view`, and van Renesse and
Schneider, Chain Replication (2004). Times are whole microseconds of a clock that never goes back in
a life.
"""

import json
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, NamedTuple

from umbermoor.gateway.effects import CallResult, Decision, Effect, Outcome, Send, Status
from umbermoor.gateway.replication import messages, replica_set
from umbermoor.gateway.replication.leases import GAP, Contact, Rounds
from umbermoor.gateway.replication.peers import STEADY, Peer, Peers
from umbermoor.gateway.replication.replica_set import NO_MEMBERS, Outlook, ReplicaSet, crowded
from umbermoor.gateway.replication.requests import Asks, Taken
from umbermoor.gateway.replication.status import ReplicaStatus, Role
from umbermoor.gateway.replication.view import (
    MOST,
    NO_VIEW,
    Attempt,
    Promise,
    Version,
    View,
    choose_chain,
    epoch_after,
)
from umbermoor.gateway.replication.write_queue import WriteQueue

MS = 1000
HEARTBEAT_INTERVAL = 200 * MS
HASTY = 400 * MS  # as peers.STEADY, where the chain is thin: a second loss must not meet it so
HEARD = 1000 * MS  # heard within this counts for `connected`
SILENCE = 800 * MS  # one of the chain that is not heard in it, and well, for so long is given up
TARDY = 1200 * MS  # so is the next one if it acknowledges nothing for so long
LOST = 2000 * MS  # one outside that hears of no chain for so long proposes
SETTLE = 400 * MS  # a member that has just started waits so long for the others
COLLECT = (
    600 * MS
    # promises are collected for no longer: less than QUARANTINE, or a lost disk's promise would count
)
GATHER = 250 * MS  # and beyond a majority of them for so long
ACCEPT = 1200 * MS  # all of the chain must accept within this
QUARANTINE = 1000 * MS  # a blank member asks what was promised only so long after its start
ASK_AGAIN = 150 * MS
FILL_AGAIN = 400 * MS
APPEND_AGAIN = 250 * MS
SHUN = (
    3000 * MS
)  # one that did not follow into a view is left out for so long, if a majority remains
FOUND = 500 * MS  # no new member appeared for so long: found
FETCH = 1000 * MS
UNCOMMITTED = 64  # writes on their way that a head takes at most
READERS = 256
BATCH = 16  # entries in a message
LEARNERS = 8  # strangers that want to be members, known at once
ZONE_TOLD = 8  # every so many pings
GONE = (
    2000 * MS
)  # a member that nobody has heard for so long may be succeeded, by one that started after that
CHANGE = 4000 * MS  # a change of the members that is not active by then is answered UNAVAILABLE

Decider = Callable[
    [Mapping[str, Any], str, Any, int], Decision
]  # of the map at the head, a key, what is put, the epoch
CODES = {
    Outcome.CONFLICT: Status.CONFLICT,
    Outcome.NOT_FOUND: Status.NOT_FOUND,
}  # of the others: OK


class Entry(NamedTuple):
    key: str
    value: Any
    origin: str  # who asked, its life and its number there
    life: int
    id: int


def _nothing() -> None:
    pass


def write_json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


class Replica:
    """A state machine; every input returns the effects it has.

    `me` and `seeds` are IP addresses, the seeds the same in the same order everywhere; the first of
    them founds. `bear`: disks that may be lost at once. `cold`: an empty disk is a new system's,
    not a lost one. `stored`: what Store.load gave. `judge(map, key, value, epoch)` tells at the
    head what a put comes to. `zone`, `quorum`: where it runs, and whether it is a machine that
    counts by the platform's word: such a newcomer may succeed a member.
    """

    def __init__(
        self,
        me: str,
        seeds: Sequence[str],
        bear: int,
        cold: bool,
        stored: Mapping[str, bytes],
        judge: Decider,
        chance: random.Random,
        zone: str = "",
        quorum: bool = False,
    ) -> None:
        self.name, self.bear = me, bear
        self._zone, self._quorum = zone, quorum
        self.member_names: tuple[str, ...] = tuple(json.loads(stored.get("members", b"[]")))
        self.committed: dict[str, Any] = {}
        self.version: Version = (0, 0)
        self._seeds, self._judge, self._chance = tuple(seeds), judge, chance
        self._life, self._beat, self._now, self._began = chance.getrandbits(48), 0, 0, -1
        self._out: list[Effect] = []
        self._local: deque[dict[str, Any]] = deque()
        self._disk, self._peers, self._asks = WriteQueue(), Peers(me), Asks()
        self._contact = Contact()
        sets = json.loads(stored.get("sets", b"null")) or [None, 0, None]
        first = (
            replica_set.founded(self.member_names, json.loads(stored.get("system", b"0")))
            if self.member_names
            else NO_MEMBERS
        )
        self._held_sets = (
            ReplicaSet.from_json(sets[0]) if sets[0] else first
        )  # of the view that was accepted last
        self._proven: tuple[int, ReplicaSet] = (
            (sets[1], ReplicaSet.from_json(sets[2])) if sets[2] else (0, first)
        )
        self._zones_kept: dict[str, str] = json.loads(
            stored.get("zones", b"{}")
        )  # of the other members, as last told
        self._outside = Peers(me, LEARNERS)  # learners
        self._change: tuple[int | None, int, str, str] | None = (
            None  # ask (None: by itself), until when, add, remove
        )
        self._leaving = False
        self._filled = False  # a learner's disk has taken what it learnt
        self._fresh = cold and not self.member_names
        self._blank = not cold and not self.member_names
        self._pinged = -HEARTBEAT_INTERVAL

        # what is, or will next be, on disk
        self._promise: int = json.loads(stored.get("promise", b"0"))
        epoch, chain = json.loads(stored.get("view", b"[0,[]]"))
        self._held = View(epoch, tuple(chain))  # accepted last
        self.replica_set = self._find_sets()  # who counts, as far as is known here
        self.member_names = self.replica_set.names
        self._state = {
            key[6:]: json.loads(value) for key, value in stored.items() if key.startswith("state/")
        }
        version = json.loads(stored.get("version", b"[0,0]"))
        if version[0] != epoch:
            raise ValueError(f"a version of epoch {version[0]} was stored in view {epoch}")
        self._last: int = version[1]  # the version of the state is (held.epoch, last)
        self._promised = self._promise  # synced, this and the next three
        self._settled = bool(self.member_names)
        self._joined = 0  # the epoch that was accepted in this life
        self._entered = 0  # that, synced
        self._synced = self._last

        if self._fresh and self._state:  # what a learner of another system held
            self._disk.enqueue({f"state/{key}": None for key in self._state}, "emptied", _nothing)
            self._state = {}

        # founding, and being filled
        self._settlers: set[str] = set()
        self._found_at, self._grown_at = 0, 0
        self._learn, self._learnt, self._learn_at = 0, dict[str, int](), 0

        # views
        self._view = NO_VIEW  # the latest known to be active
        self._joined_at = 0
        self._attempt: Attempt | None = None
        self._patience = 0  # nothing is proposed before
        self._cause, self._due = "", 0  # why something is to be proposed, and when
        self._shunned: dict[str, int] = {}
        self._fetched = -FETCH

        # the chain, in the view that was joined
        self._pending: deque[Entry] = deque()  # up to last
        self._sent, self._acked, self._sent_at, self._progress = 0, 0, 0, 0
        self._taken = Taken()
        # puts that change nothing, until what was before is committed
        self._waiting: list[tuple[int, tuple[str, int, int], Decision]] = []
        self._rounds = (
            Rounds()
        )  # those then, and reads, until a majority told that it promised no later epoch

    # what a host calls

    def receive(self, now: int, sender: str, message: dict[str, Any]) -> list[Effect]:
        """Another member says this."""
        self._at(now)
        if sender != self.name and messages.shaped(message):
            self._hear(sender, message)
        return self._effects()

    def tick(self, now: int) -> list[Effect]:
        """Time passes; every 50 ms or so."""
        self._at(now)
        if now - self._pinged >= HEARTBEAT_INTERVAL:
            self._ping_all()
        if self.member_names:
            if self._blank:
                self._ask_promises()
            self._pursue()
            self._consider()
            self._again()
            self._catch_up()
            self._probe_disk()
            self._go_on_changing()
        elif self._fresh and self._seeds[:1] == (self.name,):
            self._found()
        if self._settled and not self._promise and self._is_founder():
            self._settle_others()
        self._send_asks()
        return self._effects()

    def written(self, now: int, token: int) -> list[Effect]:
        """The Write of that token is synced."""
        self._at(now)
        for then in self._disk.written(self._now, token):
            then()
        return self._effects()

    def write_failed(self, now: int, token: int) -> list[Effect]:
        """The disk refused the Write of that token, as a whole."""
        self._at(now)
        self._disk.write_failed(now, token)
        return self._effects()

    def put(self, now: int, ask: int, key: str, value: Any) -> list[Effect]:
        """Have the head judge `value` for `key`. Answered with a Decision once what that stands upon
        is committed, and proven to be in force: OK where it was taken, or changes nothing; CONFLICT,
        NOT_FOUND; UNAVAILABLE if it cannot be told; INVALID if the key is too long, or the value is not
        JSON's."""
        self._at(now)
        try:
            fit = messages.key(key) and bool(write_json(value))
        except (TypeError, ValueError, RecursionError):
            fit = False
        if not fit:
            self._out.append(CallResult(ask, Status.INVALID))
        elif not self._able() or not self._asks.add(now, ask, (key, value)):
            self._out.append(CallResult(ask, Status.UNAVAILABLE))
        self._send_asks()
        return self._effects()

    def read(self, now: int, ask: int) -> list[Effect]:
        """The whole map, no older than anything answered before this call; UNAVAILABLE if that cannot be
        told."""
        self._at(now)
        if not self._able() or not self._asks.add(now, ask, None):
            self._out.append(CallResult(ask, Status.UNAVAILABLE))
        self._send_asks()
        return self._effects()

    def change(
        self, now: int, ask: int, add: str = "", remove: str = "", dry: bool = False
    ) -> list[Effect]:
        """Have the set of members become another: one more, one fewer, or one in the place of
        another.

        Answered OK with what it leaves once the new set is in force (`dry`: at once); CONFLICT with
        `why` where it is refused; UNAVAILABLE where that cannot be told, and it may come to be
        nevertheless.
        """
        self._at(now)
        if not self._serving():
            self._out.append(
                CallResult(ask, Status.UNAVAILABLE, {"why": "this member is not in the chain"})
            )
        elif self._is_so(add, remove):
            self._out.append(
                CallResult(ask, Status.OK, self.outlook("", "")._replace(why="").to_json())
            )
        elif (look := self.outlook(add, remove)).why or dry:
            if (
                add
                and messages.name(add)
                and add not in (*self.member_names, *self._outside.heard(self._now))
            ):
                self._send(
                    add, "ping", **self._ping(), **self._sets_for(add)
                )  # its seeds may all be gone
            self._out.append(
                CallResult(ask, Status.CONFLICT if look.why else Status.OK, look.to_json())
            )
        elif self._change:
            self._out.append(
                CallResult(ask, Status.CONFLICT, {"why": "another change is under way"})
            )
        else:
            self._change = ask, now + CHANGE, add, remove
            self._go_on_changing()
        return self._effects()

    def outlook(self, add: str, remove: str) -> Outlook:
        """What a change would leave, and why it would be refused."""
        present = self.replica_set
        look = replica_set.outlook(
            present, self._view.chain, self.learners(), add, remove, self.bear
        )
        if not look.why and (zone := crowded(present.members, look.members, self._zones())):
            look = look._replace(why=f"would leave a majority in zone {zone}, where none is now")
        if not look.why and (old := self._of_an_earlier_revision(remove)):
            look = look._replace(why=f"{old} runs a revision that knows no changes of the members")
        return look

    def _zones(self) -> dict[str, str]:
        names = *self.member_names, *self._outside.names()
        known = {who: self._peers.get(who) or self._outside.get(who) for who in names}
        told = {who: peer.zone for who, peer in known.items() if peer and peer.zone}
        return self._zones_kept | told | {self.name: self._zone}

    def _keep_zones(self) -> None:
        """One that is gone may be succeeded in its zone, also after a restart of those who heard
        it."""
        zones = self._zones()
        kept = {who: zones[who] for who in self._others() if zones.get(who)}
        if kept != self._zones_kept:
            self._zones_kept = kept
            if not self._blank and self._settled:
                self._disk.enqueue({"zones": write_json(kept)}, "zones", _nothing)

    def learners(self) -> list[str]:
        """Strangers that could be taken in now: heard by the chain and hearing it, steadily, well,
        and to be filled."""
        found = []
        for who, peer in sorted(self._outside.heard(self._now).items()):
            others = [other for other in self._view.chain if other != self.name]
            heard = all(
                (known := self._peers.get(other)) and who in known.ping["hears"] for other in others
            )
            hears = {self.name, *others} <= {
                self.name,
                *peer.ping["hears"],
            } and self.name in peer.ping["hears"]
            fit = peer.ping["well"] and (not peer.ping["blank"] or peer.ping["ready"])
            if fit and heard and hears and self._now - peer.since >= STEADY:
                found.append(who)
        return found

    def hand_over(self, now: int) -> list[Effect]:
        """This process is about to end, in order: the chain is to go on without it. The set stays
        as it is."""
        self._at(now)
        self._leaving = True
        self._ping_all()
        return self._effects()

    @property
    def handed_over(self) -> bool:
        """Whether it may end without holding up anything: another chain serves, so a majority holds
        what it holds."""
        return self._leaving and (
            not self._able() or (self.name not in self._view.chain and self._hears_serving(HEARD))
        )

    @property
    def degraded(self) -> bool:
        """Whether fewer losses can be borne now than `bear` says, as far as is known here."""
        members = self.replica_set.members
        up = [who for who in self._view.chain if who in members]
        joint = self.replica_set.old != self.replica_set.new
        spare = len(up) - (len(members) // 2 + 1)
        return not self._view.epoch or joint or spare < min(self.bear, (len(members) - 1) // 2)

    @property
    def connected(self) -> bool:
        """Whether a quorum proved, within a lease, that it is reached both ways and promised no
        epoch above the chain that is known here to serve, and this member holds what that chain
        began with, or later."""
        if self._blank or not self.is_member or self.version[0] != self._view.epoch:
            return False
        proven = self._contact.proven(self._now, self._view.epoch, self._others())
        if 0 < self._promise <= self._view.epoch:
            proven |= {self.name}
        return self.replica_set.quorum(proven) and (self._serving() or self._hears_serving(HEARD))

    def connected_at(self, now: int) -> bool:
        """The same as of now: what the clock shows may be the first word of a freeze."""
        self._at(now)
        return self.connected

    @property
    def head_decides(self) -> bool:
        """Whether the head judges puts, as far as is known here; one of the revision before takes
        what is newer."""
        peer = self._peers.get(self._view.chain[0]) if self._view.chain else None
        return peer is None or "number" in peer.ping

    def accepts_from(self, sender: str) -> bool:
        """Whether what that one says of the chain is taken at all."""
        return self._listens(sender, "append")

    def stored(self, key: str) -> Any:
        """What stands under it here, committed or not; None if nothing does."""
        return self._state.get(key)

    def _find_sets(self) -> ReplicaSet:
        """Of the view accepted last, or of a later one known to be active."""
        epoch, proven = self._proven
        return self._held_sets if self._held.epoch > epoch else proven.completed()

    @property
    def is_member(self) -> bool:
        """Whether this is a member, and no learner, stranger, or one that was taken out."""
        return self.name in self.member_names

    def status(self) -> ReplicaStatus:
        """Where this replica stands, for operators."""
        return ReplicaStatus(
            epoch=self._view.epoch,
            chain=self._view.chain,
            role=self._role(),
            version=self.version,
            uncommitted=len(self._pending),
            members=self.replica_set.members,
            set_number=self.replica_set.number,
            degraded=self.degraded,
            learners=tuple(sorted(self._outside.heard(self._now))),
        )

    def _role(self) -> Role:
        if self.member_names and not self.is_member:
            return Role.LEARNER
        if self._blank or self._fresh:
            return Role.BLANK
        if not self._serving():
            return Role.OUTSIDE
        place = self._place()
        if place == 0:
            return Role.HEAD
        return Role.TAIL if place == len(self._held.chain) - 1 else Role.MIDDLE

    # in and out

    def _at(self, now: int) -> None:
        if self._began < 0:
            self._began = self._now = now
        if now - self._now > GAP:  # frozen, or starved: what was proven before is not proven now
            self._contact.void()
            self._rounds.void()
        self._now = max(self._now, now)

    def _effects(self) -> list[Effect]:
        while self._local:
            self._hear(self.name, self._local.popleft())
        if write := self._disk.start(self._now):
            self._out.append(write)
        out, self._out = self._out, []
        return out

    def _send(self, to: str, kind: str, **fields: Any) -> None:
        message = {"kind": kind, **fields}
        if to == self.name:
            self._local.append(message)
        else:
            self._out.append(Send(to, message))

    def _hear(self, sender: str, message: dict[str, Any]) -> None:
        kind = message["kind"]
        if kind in ("ping", "found", "settled") or self._listens(sender, kind):
            getattr(self, f"_on_{kind}")(sender, message)

    def _listens(self, sender: str, kind: str) -> bool:
        if sender in self.member_names or sender == self.name or sender in self._held.chain:
            return True
        if self._attempt and sender in self._attempt.sets.names:
            return True
        return kind in ("learn", "fetch") and self._outside.get(sender) is not None

    def _others(self) -> list[str]:
        return [who for who in self.member_names if who != self.name]

    def _able(self) -> bool:
        return self.is_member and not self._blank

    # pings

    def _ping(self) -> dict[str, Any]:
        self._beat += 1
        self._contact.sent(self._now, self._beat)
        return {
            "life": self._life,
            "beat": self._beat,
            "fresh": self._fresh,
            "blank": self._blank,
            "ready": self._ready() and (self.is_member or self._filled),
            "well": self._disk.healthy(self._now),
            "members": list(self._proven[1].members),
            "promise": self._floor() if self._blank else self._promise,
            "joined": self._joined,
            "serving": self._serving(),
            "view": [self._view.epoch, list(self._view.chain)] if self._view.epoch else None,
            "committed": list(self.version),
            "hears": self._hearing(),
            "number": self._proven[1].number,
            **({"leaving": True} if self._leaving else {}),
            **(
                {"zone": self._zone}
                if self._zone and (self._beat % ZONE_TOLD == 1 or not self.is_member)
                else {}
            ),
            **({} if self.is_member else {"quorum": self._quorum, "age": self._now - self._began}),
        }

    def _hearing(self) -> list[str]:
        return sorted((*self._peers.heard(self._now), *self._outside.heard(self._now)))

    def _ping_all(self, also: Sequence[str] = ()) -> None:
        self._pinged = self._now
        ping = self._ping()
        if self.is_member:
            asked = dict.fromkeys((*self.member_names, *also, *self._outside.heard(self._now)))
        else:
            asked = dict.fromkeys((*self.member_names, *self._seeds, *self._peers.heard(self._now)))
        for who in asked:
            if who != self.name:
                self._send(who, "ping", **ping, **self._echo(who), **self._sets_for(who))

    def _echo(self, who: str) -> dict[str, Any]:
        """Which ping of that member's came last: it proves to it that it was heard."""
        peer = self._peers.get(who)
        return {"echo": [peer.ping["life"], peer.ping["beat"]]} if peer else {}

    def _sets_for(self, who: str) -> dict[str, Any]:
        """The system's number and the set, for one that is not known to have them."""
        peer = self._peers.get(who) or self._outside.get(who)
        epoch, proven = self._proven
        if self.is_member and not self._blank and peer and not peer.ping["blank"]:
            told: dict[str, Any] = {}
        else:
            told = {"system": proven.system}
        if proven.number and not (peer and peer.ping.get("number", 0) >= proven.number):
            told["sets"] = [epoch, proven.to_json()]
        return told

    def _on_ping(self, sender: str, ping: dict[str, Any]) -> None:
        known = sender in self.member_names
        self._learn_sets(sender, ping)
        epoch, proven = self._proven
        if known and ping["view"] and ping.get("number", 0) == proven.number:
            self._know(View(ping["view"][0], tuple(ping["view"][1])), proven)
        if self.is_member and sender not in self.member_names:
            self._meet_stranger(sender, ping)
            return
        if not self.member_names:
            self._meet(sender, ping)
        if self._peers.hear(self._now, sender, ping):
            self._grown_at = self._now
            self._shunned.pop(sender, None)
            self._send(
                sender, "ping", **self._ping(), **self._echo(sender), **self._sets_for(sender)
            )
        if not self.member_names:
            return
        if "zone" in ping and self.is_member:
            self._keep_zones()
        if (peer := self._peers.get(sender)) and peer.ping is ping:
            self._contact.heard(self._now, sender, ping, self._life)
        if (
            ping["promise"]
            and not ping["blank"]
            and self._settled
            and self._is_founder()
            and not self._promise
        ):
            self._forget()
        if tuple(ping["committed"])[0] == self._joined:
            self._commit(ping["committed"][1])

    def _meet_stranger(self, sender: str, ping: dict[str, Any]) -> None:
        """One that is no member: a learner of this system, or one that is to learn that it is
        none."""
        known = ping.get("system", 0)
        if (
            "number" in ping
            and known in (0, self._proven[1].system)
            and not ping["fresh"]
            and not self._blank
        ):
            if self._outside.hear(self._now, sender, ping):
                self._send(sender, "ping", **self._ping(), **self._sets_for(sender))
        elif not ping["members"]:
            self._send(sender, "ping", **self._ping(), **self._sets_for(sender))

    def _meet(self, sender: str, ping: dict[str, Any]) -> None:
        """Learn who the members are, if this is one of them that has lost its disk, or a machine
        that may learn."""
        members = tuple(ping["members"])
        if (
            not ping["promise"]
            or ping["blank"]
            or sender not in members
            or (not ping.get("sets") and ping.get("number"))
        ):
            return
        if self.name in members or ("number" in ping and self._blank):
            self._fresh, self._blank = False, True
            system = ping.get("system", 0)
            self._proven = 0, replica_set.founded(members, system)
            if ping.get("sets"):
                self._proven = ping["sets"][0], ReplicaSet.from_json(ping["sets"][1])
            self._became()

    def _learn_sets(self, sender: str, ping: dict[str, Any]) -> None:
        """A later set that is known to be in force."""
        if not self.member_names:
            return
        system, trusted = (
            ping.get("system", 0),
            sender in self.member_names and ping["promise"] and not ping["blank"],
        )
        if (
            self._blank and trusted and system and system != self._proven[1].system
        ):  # what it founded came to nothing
            self._proven = self._proven[0], self._proven[1]._replace(system=system)
            self._became()
        if not ping.get("sets"):
            return
        epoch, sets = ping["sets"][0], ReplicaSet.from_json(ping["sets"][1])
        known = self._proven[1]
        if sets.number > known.number and sets.system == known.system and epoch > self._proven[0]:
            self._proven = epoch, sets
            self._keep_sets()
            self._became()

    def _became(self) -> None:
        """The sets may have changed."""
        self.replica_set = self._find_sets()
        names = self.replica_set.names
        if names == self.member_names:
            return
        self.member_names = names
        for who in names:
            if peer := self._outside.get(who):
                self._peers.adopt(who, peer)
        self._peers.keep(names)
        self._outside.drop(names)
        self._learnt, self._learn = {}, 0

    def _sets_puts(self) -> dict[str, bytes | None]:
        epoch, proven = self._proven
        return {
            "sets": write_json([self._held_sets.to_json(), epoch, proven.to_json()]),
            "members": write_json(self.member_names),
            "zones": write_json(self._zones_kept),
        }

    def _keep_sets(self) -> None:
        if not self._blank and self._settled:
            self._disk.enqueue(self._sets_puts(), "sets", lambda: None)

    # founding

    def _is_founder(self) -> bool:
        return bool(self._seeds) and self._seeds[0] == self.name

    def _found(self) -> None:
        known = {
            who: peer for who, peer in self._peers.heard(self._now).items() if peer.ping["fresh"]
        }
        enough = 2 * self.bear + 1 <= len(known) + 1 <= MOST
        if enough and self._now - max(self._grown_at, self._began) >= FOUND:
            drawn = self._chance.getrandbits(48) | 1
            all_know = all(
                "number" in peer.ping for peer in known.values()
            )  # else it is derived from the names
            self._settle([*known, self.name], drawn if all_know else 0)

    def _settle(self, members: Sequence[str], system: int) -> None:
        self._fresh = False
        self._held_sets = replica_set.founded(members, system)
        self._proven = 0, self._held_sets
        self._became()
        puts = {
            "members": write_json(self.member_names),
            "system": write_json(self._held_sets.system),
        }
        self._disk.enqueue(puts, "members", self._have_settled)

    def _have_settled(self) -> None:
        self._settled = True
        if self._is_founder():
            self._settle_others()
        else:
            self._send(
                self._seeds[0], "settled", members=list(self.member_names), promise=self._promise
            )

    def _settle_others(self) -> None:
        if self._now - self._found_at >= ASK_AGAIN:
            self._found_at = self._now
            for who in self._others():
                peer = self._peers.get(who)
                if who not in self._settlers and peer:
                    system = self._held_sets.system
                    self._send(
                        who,
                        "found",
                        members=list(self.member_names),
                        life=peer.ping["life"],
                        system=system,
                    )
        if self._settlers.issuperset(self._others()) and not self._attempt:
            self._propose(frozenset())

    def _on_found(self, sender: str, message: dict[str, Any]) -> None:
        members = tuple(message["members"])
        if sender != self._seeds[0] or self.name not in members or sender not in members:
            return
        if self._fresh and not self.member_names and message["life"] == self._life:
            self._settle(members, message.get("system", 0))
        elif self._settled and members == self.member_names:
            self._have_settled()

    def _on_settled(self, sender: str, message: dict[str, Any]) -> None:
        if (
            not self._is_founder()
            or not self._settled
            or self._promise
            or tuple(message["members"]) != self.member_names
        ):
            return
        if message["promise"]:
            self._forget()
        elif sender in self.member_names:
            self._settlers.add(sender)
            self._settle_others()

    def _forget(self) -> None:
        """It was founded before, when this member's disk was another: what it founds now must not
        come to be."""
        self._blank, self._settled = True, False
        self._disk.enqueue({"members": None, "system": None}, "members", lambda: None)

    def _counts(self) -> bool:
        """Whether it may be one of a majority: not blank, nor a founder that has not found all
        others new."""
        founder = self._is_founder() and not self._promise
        return self.is_member and not self._blank and self._settled and not founder

    # being filled after the disk was lost

    def _ready(self) -> bool:
        """Whether enough others told what they promised: every majority that promised before has
        one among them."""
        return self._blank and bool(self.member_names) and self.replica_set.blocks(self._learnt)

    def _floor(self) -> int:
        return max(self._learnt.values(), default=0)

    def _ask_promises(self) -> None:
        if (
            self._ready()
            or self._now - self._began < QUARANTINE
            or self._now - self._learn_at < ASK_AGAIN
        ):
            return
        self._learn_at = self._now
        self._learn = self._learn or self._chance.getrandbits(48)
        for who in self._others():
            if who not in self._learnt:
                self._send(who, "learn", nonce=self._learn)

    def _on_learn(self, sender: str, message: dict[str, Any]) -> None:
        if self._counts():
            self._send(sender, "learnt", nonce=message["nonce"], promise=self._promise)

    def _on_learnt(self, sender: str, message: dict[str, Any]) -> None:
        if self._blank and self._learn and message["nonce"] == self._learn:
            self._learnt[sender] = message["promise"]

    # why a view is proposed

    def _hears_serving(self, within: int) -> bool:
        return any(
            peer.ping["serving"] and peer.ping["joined"] == self._view.epoch
            for peer in self._peers.heard(self._now, within).values()
        )

    def _serving(self) -> bool:
        return 0 < self._joined == self._view.epoch == self._promise

    def _place(self) -> int:
        return self._held.chain.index(self.name)

    def _find_cause(self) -> tuple[str, int, frozenset[str]]:
        """Why a view is to be proposed ("": it is not), how long that must hold first, and who is
        to be left out."""
        nobody: frozenset[str] = frozenset()
        rank = self.member_names.index(self.name)
        names = self.replica_set.names
        apart = rank * 50 * MS + self._chance.randrange(50 * MS)
        if not self._serving():
            if self._view.epoch > self._joined and self._hears_serving(HEARD):
                return (
                    ("restarted", apart, nobody)
                    if self.name in self._view.chain
                    else ("", 0, nobody)
                )
            if self._promise > max(self._joined, self._view.epoch) and self._joined:
                return "fenced", apart, nobody
            if self._joined:
                return "unserved", SILENCE + apart, nobody
            if self.name in self._view.chain or all(
                self._peers.mutual(self._now, one, other)
                for one in self.member_names
                for other in self.member_names
            ):
                return "started", apart, nobody
            return "started", (LOST if self._view.epoch else SETTLE) + apart, nobody
        for who in self._held.chain:
            peer = self._peers.get(who)
            if who not in names:  # it was taken out, and is in the chain of the change still
                return "left", rank * 50 * MS, nobody
            if who != self.name and peer and peer.ping.get("leaving") and self._can_do_without(who):
                return "leaving", rank * 20 * MS, frozenset((who,))
            since = max(
                self._joined_at, peer.joined_at if peer and peer.joined == self._joined else 0
            )
            if who != self.name and self._now - since > SILENCE and self._dispensable(who):
                return (
                    "silent",
                    rank * 80 * MS + self._chance.randrange(100 * MS),
                    frozenset((who,)),
                )
        if (
            self._acked < self._sent
            and self._now - self._progress > TARDY
            and self._disk.healthy(self._now)
        ):
            return "tardy", 0, frozenset((self._held.chain[self._place() + 1],))
        if any(self._may_enter(who, peer) for who, peer in self._peers.heard(self._now).items()):
            return "enter", self._place() * 250 * MS + self._chance.randrange(100 * MS), nobody
        return "", 0, nobody

    def _dispensable(self, who: str) -> bool:
        """Whether a chain without it can be: it is not heard, or enough others are whose disks are
        well."""
        heard = self._peers.heard(self._now)
        well = [other for other, peer in heard.items() if other != who and peer.ping["well"]]
        return who not in heard or self.replica_set.quorum(
            [*well, self.name] if self._disk.healthy(self._now) else well
        )

    def _may_propose(self) -> bool:
        """Whether its disk is well; or it is slow only, and so are too many for the others to go on
        without it."""
        if self._disk.healthy(self._now):
            return True
        heard = self._peers.heard(self._now).items()
        well = [who for who, peer in heard if peer.ping["well"] and not peer.ping["blank"]]
        return self._disk.works(self._now) and not self.replica_set.quorum(well)

    def _can_do_without(self, leaver: str) -> bool:
        """Whether the rest of the chain, as far as it is heard, is a majority."""
        heard = self._peers.heard(self._now)
        return self.replica_set.quorum(
            [
                who
                for who in self._held.chain
                if who != leaver and (who == self.name or who in heard)
            ]
        )

    def _may_enter(self, who: str, peer: Peer) -> bool:
        return (
            who not in self._held.chain
            and peer.ping["well"]
            and not peer.ping.get("leaving")
            and (not peer.ping["blank"] or peer.ping["ready"])
            and self._now - peer.since >= (HASTY if self.degraded else STEADY)
            and self._shunned.get(who, 0) <= self._now
            and all(self._peers.mutual(self._now, who, other) for other in self._held.chain)
        )

    def _consider(self) -> None:
        if (
            self._blank
            or not self._settled
            or not self._promise
            or self._attempt
            or not self.is_member
        ):
            return
        if self._now < self._patience or not self._may_propose():
            return
        cause, delay, shunned = self._find_cause()
        due = self._now + delay
        self._due = due if cause != self._cause else min(self._due, due)
        self._cause = cause
        if cause and self._now >= self._due:
            if self.replica_set.quorum(
                [who for who in self.member_names if self._peers.mutual(self._now, self.name, who)]
            ):
                self._propose(shunned)

    # a change of the members

    def _is_so(self, add: str, remove: str) -> bool:
        members = self.replica_set.members
        return (
            bool(add or remove)
            and (not add or add in members)
            and (not remove or remove not in members)
        )

    def _of_an_earlier_revision(self, remove: str) -> str:
        """A member as it was last heard, also one that is away: back, it would fence with the
        majority that it knows. One that is removed knows too few who listen to it then."""
        for who in self.member_names:
            away = who not in self._view.chain
            if (
                not (away and who == remove)
                and (peer := self._peers.get(who))
                and "number" not in peer.ping
            ):
                return who
        return ""

    def _successor(self) -> tuple[str, str]:
        """A newcomer and the one member whose place it takes; ("", ""): there is none.

        Silence alone takes nobody out. The head does it where the platform has put another in that
        place: a machine that counts, in the same zone, without a disk, started when the chain had
        long heard nothing of the member.
        """
        if (
            not self._serving()
            or self._place()
            or len(self._view.chain) == len(self.replica_set.new)
        ):
            return "", ""
        chain, members = self._view.chain, self.replica_set.members
        missing = [who for who in members if who not in chain]
        if len(missing) != 1 or not set(chain) <= set(members):
            return "", ""
        gone = self._peers.get(missing[0])
        zone, last = (
            self._zones().get(missing[0]),
            gone.last if gone else self._began,
        )  # not heard in this life
        if not zone or self._now - last < GONE:
            return "", ""
        others = [self._peers.get(who) for who in chain if who != self.name]
        if any(peer is None or missing[0] in peer.ping["hears"] for peer in others):
            return "", ""
        for who in self.learners():
            peer = self._outside.get(who)
            fit = peer and peer.ping["blank"] and peer.ping.get("quorum") and peer.zone == zone
            if peer and fit and peer.last - peer.ping.get("age", 1 << 60) > last + SILENCE:
                return who, missing[0]
        return "", ""

    def _go_on_changing(self) -> None:
        if not self._change and not self._attempt:
            add, remove = self._successor()
            if add and not self.outlook(add, remove).why:
                self._change = None, self._now + CHANGE, add, remove
        if not self._change:
            return
        ask, until, add, remove = self._change
        if self._is_so(add, remove) and self._proven[0] >= self._held.epoch:
            self._out.append(
                CallResult(ask, Status.OK, self.outlook("", "")._replace(why="").to_json())
            )
        elif self._now >= until:
            self._out.append(
                CallResult(
                    ask, Status.UNAVAILABLE, {"why": "not agreed in time; it may come to be"}
                )
            )
        elif (
            self._attempt
            or not self._serving()
            or self._now < self._patience
            or not self._disk.healthy(self._now)
        ):
            return
        elif (look := self.outlook(add, remove)).why:
            self._out.append(CallResult(ask, Status.CONFLICT, look.to_json()))
        else:
            self._propose(frozenset(), self.replica_set.changed(add, remove), add)
            return
        self._change = None
        if ask is None:  # nobody asked
            self._out.pop()

    # agreeing on one

    def _propose(
        self, shunned: frozenset[str], sets: ReplicaSet | None = None, add: str = ""
    ) -> None:
        self._cause = ""
        highest = max(self._promise, self._peers.highest(), self._outside.highest())
        epoch = epoch_after(highest, self.replica_set.rank(self.name), self._chance)
        self._shunned = {who: until for who, until in self._shunned.items() if until > self._now}
        self._shunned.update(dict.fromkeys(shunned, self._now + SHUN))
        leaving = [
            who for who, peer in self._peers.heard(self._now).items() if peer.ping.get("leaving")
        ]
        self._shunned.update(dict.fromkeys(leaving, self._now + SHUN))
        known = max(self._held.epoch, self._proven[0])
        self._attempt = Attempt(
            epoch,
            self._now,
            frozenset(self._shunned),
            sets or self.replica_set,
            self.replica_set,
            known,
            bool(sets),
            add,
        )
        self._give_promise(epoch, self.name, (self._held.epoch, self._last))

    def _give_promise(self, epoch: int, to: str, theirs: Version) -> None:
        self._promise = epoch
        self._disk.enqueue(
            {"promise": write_json(epoch)},
            "promise",
            partial(self._have_promised, epoch, to, theirs),
        )

    def _have_promised(self, epoch: int, to: str, theirs: Version) -> None:
        self._promised = max(self._promised, epoch)
        if self._promise == epoch > self._held.epoch:
            mine = self._held.epoch, self._last
            state = dict(self._state) if mine > theirs else None
            known, proven = self._proven
            self._send(
                to,
                "promise",
                epoch=epoch,
                blank=False,
                version=list(mine),
                state=state,
                hears=self._hearing(),
                held=self._held_sets.to_json(),
                proven=[known, proven.to_json()],
            )

    def _on_prepare(self, sender: str, message: dict[str, Any]) -> None:
        epoch, theirs = message["epoch"], tuple(message["version"])
        if self._blank:
            if self._ready() and epoch > self._floor() and epoch >= self._promise:
                hears = self._hearing()
                self._send(
                    sender,
                    "promise",
                    epoch=epoch,
                    blank=True,
                    version=[0, 0],
                    state=None,
                    hears=hears,
                )
        elif epoch > self._promise and (self._counts() or (self._settled and not self.is_member)):
            self._attempt = None
            self._patience = self._now + 700 * MS + self._chance.randrange(400 * MS)
            self._give_promise(epoch, sender, theirs)
        elif epoch == self._promise == self._promised:
            self._have_promised(epoch, sender, theirs)
        elif epoch < self._promise:
            self._send(sender, "refuse", epoch=epoch, promise=self._promise)

    def _on_refuse(self, sender: str, message: dict[str, Any]) -> None:
        if self._attempt and self._attempt.epoch == message["epoch"] < message["promise"]:
            self._give_up()

    def _on_promise(self, sender: str, message: dict[str, Any]) -> None:
        attempt = self._attempt
        if attempt and attempt.epoch == message["epoch"] and not attempt.chain:
            hears = frozenset(message["hears"])
            promise = Promise(message["blank"], tuple(message["version"]), message["state"], hears)
            self._weigh_sets(attempt, promise, message)
            if (
                promise.blank
                or promise.state is not None
                or promise.version <= (self._held.epoch, self._last)
            ):
                attempt.promises.setdefault(sender, promise)
                self._pursue()

    def _weigh_sets(self, attempt: Attempt, promise: Promise, message: dict[str, Any]) -> None:
        """Whose majorities are needed: of the set of the newest view that any of them accepted, or
        knows active.

        Every view that may have become active was accepted by a majority of the sets that are
        asked, so one of those who promise tells of it; its sets take the place of those known here.
        A change that meets news is given up.
        """
        if not message.get("held") or not message.get("proven"):
            return  # of an earlier revision, in which the set never changes
        epoch, proven = message["proven"][0], ReplicaSet.from_json(message["proven"][1])
        held, held_sets = promise.version[0], ReplicaSet.from_json(message["held"])
        found, sets = (
            (held, held_sets) if held > epoch and not promise.blank else (epoch, proven.completed())
        )
        if found < attempt.known or (found == attempt.known and sets.old != sets.new):
            return
        attempt.known = found
        if (
            sets != attempt.before
        ):  # as known when this was begun: what is known here may have moved on since
            attempt.sets, attempt.before, attempt.change, attempt.add, attempt.sent = (
                sets,
                sets,
                False,
                "",
                -(2**40),
            )

    def _pursue(self) -> None:
        """Take an attempt as far as it goes now."""
        attempt = self._attempt
        if (
            attempt and self.name not in attempt.sets.names
        ):  # it learnt that it was taken out: what it holds may be old
            self._give_up()
        elif not attempt or self.name not in attempt.promises:  # one's own promise is not synced
            if attempt and self._now - attempt.began >= COLLECT:
                self._give_up()
        elif not attempt.chain:
            if self._now - attempt.began >= COLLECT:
                self._give_up()
            elif attempt.sets.quorum(attempt.counting()) and self._all_in(attempt):
                self._set_out(attempt)
            elif self._now - attempt.sent >= ASK_AGAIN:
                attempt.sent = self._now
                for who in attempt.sets.names:
                    if who != self.name and who not in attempt.promises:
                        self._send(
                            who,
                            "prepare",
                            epoch=attempt.epoch,
                            version=[self._held.epoch, self._last],
                        )
        elif attempt.accepted.issuperset(attempt.chain):
            self._attempt = None
            self._know(View(attempt.epoch, attempt.chain), attempt.sets)
            self._ping_all(attempt.sets.names)
        elif self._now - attempt.began >= COLLECT + ACCEPT:
            for who in attempt.chain:
                if who not in attempt.accepted and who != self.name:
                    self._shunned[who] = self._now + SHUN
            self._give_up()
        elif self._now - attempt.sent >= FILL_AGAIN:
            self._send_view(attempt, whole=True)

    def _give_up(self) -> None:
        self._attempt = None
        self._patience = self._now + 50 * MS + self._chance.randrange(300 * MS)

    def _all_in(self, attempt: Attempt) -> bool:
        """Whether all have promised that may be expected to, or have been waited for."""
        if self._now - attempt.began >= GATHER:
            return True
        if attempt.add and attempt.add not in attempt.promises:
            return False
        return all(
            who in attempt.promises
            or not peer.ping["well"]
            or (peer.ping["blank"] and not peer.ping["ready"])
            for who, peer in self._peers.heard(self._now).items()
            if who not in attempt.shunned
        )

    def _set_out(self, attempt: Attempt) -> None:
        """Enough have promised: decide on the chain and its state."""
        first = [self.name, *self._view.chain, *attempt.sets.names]
        order = [who for who in dict.fromkeys(first) if who in attempt.promises]
        ill = {who for who, peer in self._peers.heard(self._now).items() if not peer.ping["well"]}
        shunned = attempt.shunned | ill
        sets = attempt.sets
        staying = [who for who in order if who in sets.members]
        chosen = choose_chain(staying, shunned, sets.quorum, attempt.mutual)
        if not sets.quorum(chosen) and not attempt.change:
            chosen = choose_chain(order, shunned, sets.quorum, attempt.mutual)
        if not sets.quorum(chosen) or (attempt.add and attempt.add not in chosen):
            self._give_up()
            return
        for who, peer in self._peers.heard(self._now).items():
            if who not in attempt.promises and peer.ping["well"] and not peer.ping["blank"]:
                self._shunned[who] = self._now + SHUN
        newest = attempt.newest()
        attempt.base = newest.version
        attempt.state = dict(self._state) if newest.state is None else newest.state
        attempt.chain = tuple(who for who in sets.names if who in chosen)
        self._send_view(attempt, whole=False)

    def _send_view(self, attempt: Attempt, whole: bool) -> None:
        attempt.sent = self._now
        for who in attempt.chain:
            if who not in attempt.accepted:
                promise = attempt.promises[who]
                same = not promise.blank and promise.version == attempt.base and not whole
                self._send(
                    who,
                    "newview",
                    epoch=attempt.epoch,
                    chain=list(attempt.chain),
                    members=list(attempt.sets.names),
                    sets=attempt.sets.to_json(),
                    base=list(attempt.base),
                    state=None if same else attempt.state,
                )

    def _on_newview(self, sender: str, message: dict[str, Any]) -> None:
        epoch, chain, state = message["epoch"], tuple(message["chain"]), message["state"]
        if epoch == self._joined:
            if self._entered == epoch:
                self._send(sender, "accept", epoch=epoch)
            return
        least = max(self._promise, self._floor() + 1 if self._blank else 0)
        if epoch < least:
            self._send(sender, "refuse", epoch=epoch, promise=least)
            return
        if (self._blank and not self._ready()) or (not self._blank and not self._settled):
            return
        sets = ReplicaSet.from_json(message["sets"]) if message.get("sets") else self.replica_set
        if (
            epoch <= self._held.epoch
            or tuple(message["members"]) != sets.names
            or self.name not in chain
        ):
            return
        if (
            not set(chain) <= set(sets.names)
            or not sets.quorum(chain)
            or sets.system != self._proven[1].system
        ):
            return
        if state is None:
            if self._blank or tuple(message["base"]) != (self._held.epoch, self._last):
                return
            state = self._state
        self._join(sender, View(epoch, chain), sets, state)

    def _state_puts(self, state: Mapping[str, Any]) -> dict[str, bytes | None]:
        """What is to be written for the map to become that one."""
        puts: dict[str, bytes | None] = {
            f"state/{key}": None for key in self._state if key not in state
        }
        for key, value in state.items():
            if key not in self._state or self._state[key] != value:
                puts[f"state/{key}"] = write_json(value)
        return puts

    def _join(self, sender: str, view: View, sets: ReplicaSet, state: Mapping[str, Any]) -> None:
        puts = self._state_puts(state)
        puts["promise"] = write_json(view.epoch)
        puts["view"] = write_json(view)
        puts["version"] = write_json((view.epoch, 0))
        if self._blank:
            puts["learner"] = None
        if self._attempt and self._attempt.epoch < view.epoch:
            self._attempt = None
        self._promise = self._joined = view.epoch
        self._held, self._state, self._last = view, dict(state), 0
        if sets != self._held_sets:
            self._held_sets = sets
        self._became()
        puts |= self._sets_puts()
        self._joined_at, self._cause = self._now, ""
        self._pending.clear()
        self._sent = self._acked = self._synced = 0
        self._taken, self._waiting = Taken(), []
        self._rounds = Rounds(self._rounds.nonce)
        self._disk.enqueue(puts, "join", partial(self._have_joined, sender, view.epoch))

    def _have_joined(self, sender: str, epoch: int) -> None:
        self._promised, self._entered = max(self._promised, epoch), epoch
        self._blank, self._settled = False, True
        self._learnt = {}
        if self._joined == epoch:
            self._send(sender, "accept", epoch=epoch)

    def _on_accept(self, sender: str, message: dict[str, Any]) -> None:
        attempt = self._attempt
        if attempt and attempt.chain and attempt.epoch == message["epoch"]:
            attempt.accepted.add(sender)
            self._pursue()

    def _know(self, view: View, sets: ReplicaSet) -> None:
        """That view is active: all of its chain have accepted it."""
        if view.epoch == self._held.epoch:
            sets = self._held_sets
        if (
            view.epoch <= self._view.epoch
            or not view.chain
            or not set(view.chain) <= set(sets.names)
        ):
            return
        if view.epoch > self._proven[0]:
            changed = sets.number != self._proven[1].number
            self._proven = view.epoch, sets
            if changed:
                self._keep_sets()
            self._became()
        self._view = view
        self._fetched = self._now - FETCH
        if self._joined == view.epoch and self.version < (view.epoch, 0):
            self.committed, self.version = dict(self._state), (view.epoch, 0)
            self._joined_at = self._now
        self._send_asks()

    # along the chain

    def _neighbour(self, step: int) -> str | None:
        place = self._place() + step
        return self._held.chain[place] if 0 <= place < len(self._held.chain) else None

    def _on_put(self, sender: str, message: dict[str, Any]) -> None:
        epoch, life, number = message["epoch"], message["life"], message["id"]
        if not epoch or epoch != self._joined or self._place() != 0:
            return
        key = sender, life, number
        held = self._taken.find(life, number)
        if held is not None:
            seq, verdict = held
            if verdict.outcome is not Outcome.ACCEPTED:
                self._wait(seq, key, verdict)
            elif 0 <= seq <= self._committed_here():
                self._done(key, verdict)
            return
        if self._promise != epoch:
            self._send(sender, "refused", epoch=epoch, life=life, id=number)
            return
        if (
            not self._serving()
            or len(self._pending) >= UNCOMMITTED
            or len(self._waiting) >= UNCOMMITTED
        ):
            return
        verdict = self._judge(self._state, message["key"], message["value"], epoch)
        if verdict.outcome is Outcome.ACCEPTED:
            self._take([Entry(message["key"], verdict.value, *key)])
        self._taken.note(life, number, self._last, verdict)
        if verdict.outcome is not Outcome.ACCEPTED:
            self._wait(self._last, key, verdict)

    def _wait(self, seq: int, key: tuple[str, int, int], verdict: Decision) -> None:
        """Tell what changes nothing once that write is committed, and a majority is asked."""
        if seq >= 0 and len(self._rounds) < READERS and all(one[1] != key for one in self._waiting):
            self._waiting.append((seq, key, verdict))
            self._tell_waiting()

    def _done(self, key: tuple[str, int, int], verdict: Decision) -> None:
        origin, life, number = key
        self._send(
            origin, "done", life=life, id=number, outcome=verdict.outcome.value, why=verdict.reason
        )

    def _committed_here(self) -> int:
        """Up to where this view's writes are known committed; -1: it is not active yet."""
        return self.version[1] if 0 < self._joined == self.version[0] else -1

    def _take(self, entries: Sequence[Entry]) -> None:
        puts: dict[str, bytes | None] = {}
        for entry in entries:
            self._last += 1
            self._pending.append(entry)
            if entry.value is None:
                self._state.pop(entry.key, None)
            else:
                self._state[entry.key] = entry.value
            puts[f"state/{entry.key}"] = None if entry.value is None else write_json(entry.value)
        puts["version"] = write_json((self._joined, self._last))
        self._disk.enqueue(puts, "entries", partial(self._have_taken, self._joined, self._last))

    def _have_taken(self, epoch: int, seq: int) -> None:
        if epoch != self._joined:
            return
        self._synced = max(self._synced, seq)
        if self._neighbour(+1) is None:
            self._commit(self._synced)
        else:
            self._forward()
        self._acknowledge()

    def _forward(self) -> None:
        """Hand on what is synced here and was not handed on."""
        if self._sent < self._synced and self._acked == self._sent:
            self._progress = self._now
        while self._sent < self._synced:
            self._sent = self._hand_on(self._sent + 1)

    def _hand_on(self, first: int) -> int:
        start = self._last - len(self._pending) + 1  # the seq of pending[0]
        last = min(self._synced, first + BATCH - 1)
        self._send(
            self._neighbour(+1) or "",
            "append",
            epoch=self._joined,
            first=first,
            entries=[list(self._pending[seq - start]) for seq in range(first, last + 1)],
            committed=max(0, self._committed_here()),
        )
        self._sent_at = self._now
        return last

    def _on_append(self, sender: str, message: dict[str, Any]) -> None:
        if not self._joined or message["epoch"] != self._joined or sender != self._neighbour(-1):
            return
        self._know(self._held, self._held_sets)  # a head takes nothing before
        self._commit(message["committed"])
        new = message["entries"][max(0, self._last + 1 - message["first"]) :]
        if new and message["first"] <= self._last + 1 and self._promise == self._joined:
            self._take([Entry(*entry) for entry in new])
        else:
            self._acknowledge()

    def _acknowledge(self) -> None:
        if before := self._neighbour(-1):
            committed = max(0, self._committed_here())
            self._send(before, "ack", epoch=self._joined, synced=self._synced, committed=committed)

    def _on_ack(self, sender: str, message: dict[str, Any]) -> None:
        if not self._joined or message["epoch"] != self._joined or sender != self._neighbour(+1):
            return
        if self._acked < message["synced"] <= self._sent:
            self._acked, self._progress = message["synced"], self._now
        if self._commit(message["committed"]):
            self._acknowledge()

    def _commit(self, seq: int) -> bool:
        """The tail has synced this view's writes up to there; whether that was news."""
        done = self._committed_here()
        if done < 0 or min(seq, self._synced) <= done:
            return False
        while done < min(seq, self._synced):
            entry = self._pending.popleft()
            if entry.value is None:
                self.committed.pop(entry.key, None)
            else:
                self.committed[entry.key] = entry.value
            done += 1
            if self._neighbour(+1) is None:
                self._done((entry.origin, entry.life, entry.id), Decision(Outcome.ACCEPTED))
        self.version = self._joined, done
        self._acked = max(self._acked, min(done, self._sent))
        self._tell_waiting()
        return True

    def _tell_waiting(self) -> None:
        """Puts that change nothing: once what they stand upon is committed, a majority is asked."""
        done = self._committed_here()
        for seq, key, verdict in self._waiting:
            if seq <= done:
                self._rounds.add(key, self._now + HEARD, verdict)
        self._waiting = [one for one in self._waiting if one[0] > done]
        self._ask_round()

    def _again(self) -> None:
        """Say again what was not answered."""
        if self._joined and self._acked < self._sent and self._now - self._sent_at >= APPEND_AGAIN:
            self._hand_on(self._acked + 1)
        self._rounds.expire(self._now)
        if self._rounds.due(self._now - ASK_AGAIN):
            self._confirm()
        elif len(self._rounds):
            self._ask_round()

    # calls

    def _send_asks(self) -> None:
        epoch = self._view.epoch
        until = (
            self._now if self.is_member else 1 << 62
        )  # one that was taken out can tell nothing any more: at once
        for ask, code in self._asks.over(until, epoch):
            self._out.append(CallResult(ask, code))
        if not epoch or not self._able():
            return
        head, tail = self._view.chain[0], self._view.chain[-1]
        for number, ask in self._asks.due(self._now, epoch):
            if ask.put is None:
                self._send(
                    tail, "read", epoch=epoch, life=self._life, id=number, have=list(self.version)
                )
            else:
                key, value = ask.put
                self._send(
                    head, "put", epoch=epoch, life=self._life, id=number, key=key, value=value
                )

    def _on_done(self, sender: str, message: dict[str, Any]) -> None:
        if message["life"] == self._life and (ask := self._asks.end(message["id"])):
            verdict = Decision(
                Outcome(message.get("outcome", "taken")), None, message.get("why", "")
            )
            self._out.append(CallResult(ask.ask, CODES.get(verdict.outcome, Status.OK), verdict))

    def _on_refused(self, sender: str, message: dict[str, Any]) -> None:
        if message["life"] == self._life:
            self._asks.refused(message["id"], message["epoch"])

    def _on_read(self, sender: str, message: dict[str, Any]) -> None:
        if (
            message["epoch"] != self._joined
            or not self._serving()
            or self._neighbour(+1) is not None
        ):
            return
        if len(self._rounds) < READERS:
            key = sender, message["life"], message["id"]
            self._rounds.add(key, self._now + HEARD, tuple(message["have"]))
        self._ask_round()

    def _ask_round(self) -> None:
        """Begin to ask a majority, if something waits for that and none is being asked."""
        if self._rounds.begin(self._chance.getrandbits(48)):
            self._confirm()
            self._conclude()

    def _confirm(self) -> None:
        self._rounds.asked_at = self._now
        for who in self._others():
            self._send(who, "confirm", epoch=self._joined, nonce=self._rounds.nonce)

    def _on_confirm(self, sender: str, message: dict[str, Any]) -> None:
        if self._counts() and self._promise <= message["epoch"]:
            self._send(sender, "confirmed", epoch=message["epoch"], nonce=message["nonce"])

    def _on_confirmed(self, sender: str, message: dict[str, Any]) -> None:
        if message["epoch"] == self._joined and self._rounds.confirmed(sender, message["nonce"]):
            self._conclude()

    def _conclude(self) -> None:
        """CallResult what came before a quorum told that no later epoch was promised."""
        if not self._serving():
            return
        for key, item in self._rounds.end(
            lambda heard: self.replica_set.quorum({self.name, *heard})
        ):
            if isinstance(item, Decision):
                self._done(key, item)
                continue
            origin, life, number = key
            state = None if item == self.version else dict(self.committed)
            self._send(origin, "map", life=life, id=number, version=list(self.version), state=state)
        self._ask_round()

    def _on_map(self, sender: str, message: dict[str, Any]) -> None:
        if message["life"] != self._life:
            return
        version, state = tuple(message["version"]), message["state"]
        if state is not None:
            self._learn_committed(version, state)
        if self.version >= version and (ask := self._asks.end(message["id"])):
            self._out.append(CallResult(ask.ask, Status.OK, dict(self.committed)))

    # what those outside the chain learn

    def _learn_committed(self, version: Version, state: Mapping[str, Any]) -> None:
        if version <= self.version:
            return
        if version[0] == self._joined and self._held.epoch == self._joined:
            self._know(self._held, self._held_sets)
            self._commit(version[1])
        if version > self.version and version[0] != self._joined:
            self.committed, self.version = dict(state), version
            if self._blank and not self.is_member:
                self._fill(version, state)

    def _fill(self, version: Version, state: Mapping[str, Any]) -> None:
        """A learner keeps what it learns: that shows that its disk writes, and who is taken in
        writes little then."""
        puts = self._state_puts(state)
        self._state = dict(state)
        self._disk.enqueue({**puts, "learner": write_json(version)}, "fill", self._have_filled)

    def _have_filled(self) -> None:
        self._filled = True

    def _probe_disk(self) -> None:
        """See whether a disk that was slow still is, by what a change writes, as long as nobody
        waits for it."""
        if (
            not self._serving()
            and not self._blank
            and self._settled
            and self._disk.to_be_probed(self._now)
        ):
            puts = {f"state/{key}": write_json(value) for key, value in self._state.items()}
            self._disk.enqueue(puts, "probe", _nothing)

    def repair(self, now: int, records: Sequence[str]) -> list[Effect] | None:
        """Write these records again, as they are held here; None if there is one that is no value
        of the map."""
        self._at(now)
        keys = [record.removeprefix("state/") for record in records]
        if any(key == record or key not in self._state for key, record in zip(keys, records)):
            return None
        puts = {f"state/{key}": write_json(self._state[key]) for key in keys}
        self._disk.enqueue(puts, "mend", _nothing)
        return self._effects()

    def _catch_up(self) -> None:
        if self._serving() or (self._blank and self.is_member) or self._now - self._fetched < FETCH:
            return
        ahead = [
            who
            for who, peer in self._peers.heard(self._now).items()
            if peer.ping["serving"] and peer.committed > self.version
        ]
        if ahead:
            self._fetched = self._now
            self._send(self._chance.choice(ahead), "fetch", have=list(self.version))

    def _on_fetch(self, sender: str, message: dict[str, Any]) -> None:
        if tuple(message["have"]) < self.version:
            self._send(sender, "news", version=list(self.version), state=dict(self.committed))

    def _on_news(self, sender: str, message: dict[str, Any]) -> None:
        self._learn_committed(tuple(message["version"]), message["state"])
