"""Who the other fronts are: probes in turn, second opinions, suspicion before removal, and news on
the probes.

After SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018,
arXiv 1707.00788): who is itself slow or cut off doubts itself first. Differences: nobody is
believed alive, or regained, who has not answered this front itself; each front probes a suspect
itself before it removes it; "gone" hastens a suspicion, no more. Times are whole microseconds.
docs/failure-detector.md tells the ways weighed.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from umbermoor.gateway.membership.messages import (
    INCARNATION_MOST,
    ITEMS,
    LIFE_MOST,
    Kind,
    Letter,
    News,
    State,
    Version,
    packed,
    read,
    written,
)

MS = 1000
PERIOD = 500 * MS  # between probes
SECOND_OPINION = 200 * MS  # without an answer until others are asked
OTHERS = 3  # who are asked
UNREFUTED = 2000 * MS  # from suspicion to removal
HASTENED = 1000 * MS  # the same once another has removed it
SILENT = 1000 * MS  # nothing from anybody: this front is cut off
GAP, LATE = 200 * MS, 500 * MS  # between ticks: waits are put off; this front is slow
HOLD = 1000 * MS  # after either: it condemns nobody
HEALTH_WORST = 4
MEMBERS, NEWCOMERS, GONE, PROBES = 512, 256, 256, 256  # most that are held
BURST = 16  # of each kind of further probe a tick; of probes at strangers between two ticks
TRIES, RETRY = 6, 400 * MS  # of newcomers
CHECK = 700 * MS  # between a front's own probes of a suspect
REGAIN = 2000 * MS  # between probes of those gone
FORGET, FORGET_NEVER = 600_000 * MS, 60_000 * MS  # those gone; newcomers who never answered
LISTS, FIRST_LISTS = 10, 5  # a list is asked for with every so many probes, and with the first few

NEVER: Version = (0, 0)  # of who never answered

Out = list[tuple[str, bytes]]


@dataclass(slots=True)
class _Member:
    version: Version
    since: int = -1  # suspect since; below 0 not
    until: int = 0  # removed then, unrefuted
    check: int = 0  # this front's next own probe of it while suspect
    older: bool = False  # it last called itself by an earlier version than it has here


@dataclass(slots=True)
class _Newcomer:
    due: int
    tries: int = 0


@dataclass(slots=True)
class _Gone:
    version: Version
    at: int
    left: bool  # of itself
    tried: int


@dataclass(slots=True)
class _Probe:
    target: str
    sent: int
    ends: int
    opinion: int = 0  # when others are asked; 0: they are not
    asked: int = 0
    heard: int = 0  # of those asked
    turn: bool = False  # the one whose end may bring suspicion
    for_whom: str = ""
    for_number: int = 0


class Sonde:
    """One front's view of the others. No I/O, clock or randomness of its own: methods return
    (address, datagram) pairs to send, best effort. All state is bounded."""

    def __init__(self, me: str, life: int, chance: random.Random) -> None:
        """`me`: own IPv4 address, as others see it. `life`: higher than any earlier one at this
        address, such as the start in microseconds of wall time; where the clock went back, the
        others' news corrects it. ValueError: no such address or life."""
        if packed(me) is None or not 0 <= life < LIFE_MOST:
            raise ValueError(f"no front: {me} {life}")
        self.me, self.version, self.chance = me, (life, 0), chance
        self.leaving, self.health = 0, 0
        self._members: dict[str, _Member] = {}
        self._newcomers: dict[str, _Newcomer] = {}
        self._gone: dict[str, _Gone] = {}
        self._probes: dict[int, _Probe] = {}
        self._news: dict[str, list] = {}  # by whom it is about: the news, how often it was told
        self._round: list[str] = []
        self._ticked = self._heard = self._next = self._regain = -1
        self._hold, self._burst, self._lists = 0, BURST, 0
        self._counts = dict.fromkeys(
            (
                "joined",
                "suspected",
                "refuted",
                "removed",
                "left",
                "restarted",
                "regained",
                "doubted_self",
            ),
            0,
        )

    # What it knows

    def alive(self) -> tuple[str, ...]:
        """Addresses of fronts believed alive and not suspect, this one included, sorted."""
        return tuple(sorted([self.me, *(ip for ip, one in self._members.items() if one.since < 0)]))

    def count(self) -> int:
        """How many fronts there are at most: suspects count, and so does this one. Who hears nobody
        keeps it."""
        return len(self._members) + 1

    def story(self) -> dict[str, int]:
        """Figures for operators: sizes now, own health (0 is well), and counts since the start."""
        return {
            "alive": len(self.alive()),
            "suspects": sum(one.since >= 0 for one in self._members.values()),
            "newcomers": len(self._newcomers),
            "gone": len(self._gone),
            "health": self.health,
            "life": self.version[0],
            "incarnation": self.version[1],
            **self._counts,
        }

    # What comes in

    def heard_of(self, now: int, ips: Iterable[str]) -> None:
        """Addresses where fronts may be: each is probed, and believed once it answered. Call it as
        often as wanted."""
        for ip in ips:
            gone = self._gone.get(ip)
            if gone is None or now - max(gone.at, gone.tried) >= 5000 * MS:
                self._consider(now, ip)

    def datagram(self, now: int, source_ip: str, data: bytes) -> Out:
        """Takes one in; what no front wrote, or not at `source_ip`, changes nothing."""
        letter = read(data)
        if letter is None or letter.sender != source_ip or source_ip == self.me:
            return []
        out: Out = []
        kind, member = letter.kind, self._members.get(source_ip)
        if (
            kind is Kind.ANSWER
            and (probe := self._probes.get(letter.number))
            and probe.target == source_ip
        ):
            del self._probes[letter.number]
            self._answered(now, probe, letter, out)
            member = self._members.get(source_ip)
        if member is not None:
            self._hear(now)
            self._versioned(source_ip, member, letter.version)
        for news in letter.news:
            if news.ip == self.me:
                self._of_me(news, member is not None)
            elif member is not None:
                self._take(now, news)
        if self.leaving:
            if kind in (Kind.PROBE, Kind.ASK):
                self._send(out, source_ip, Kind.TELL)
            return out
        if kind in (Kind.PROBE, Kind.ASK):
            self._send(out, source_ip, Kind.ANSWER, letter.number, full=kind is Kind.ASK)
        if source_ip not in self._members:
            self._stranger(now, letter, out)
        elif member is None:
            pass
        elif kind is Kind.PLEASE:
            self._send(out, source_ip, Kind.DOING, letter.number)
            if letter.third in self._members:
                self._probe(now, letter.third, out, for_whom=source_ip, for_number=letter.number)
        elif (
            kind in (Kind.DOING, Kind.VOUCH)
            and (probe := self._probes.get(letter.number))
            and probe.asked
        ):
            if kind is Kind.DOING:
                probe.heard += 1
            elif probe.target == letter.third:
                del self._probes[letter.number]
                self.health = max(0, self.health - 1)
        return out

    def tick(self, now: int) -> Out:
        """What time brings; call it each 100 ms or so. A call that is late makes this front doubt
        itself."""
        gap = now - self._ticked if self._ticked >= 0 else 0
        self._ticked, self._burst = now, BURST
        if self._heard < 0:
            self._heard = self._next = self._regain = now
        out: Out = []
        if self.leaving:
            if self.leaving < 4:
                self.leaving += 1
                self._farewell(out)
            return out
        if gap > GAP:
            self._put_off(gap)
        if gap > LATE:
            self._doubt_self(now)
        self._end_probes(now, out)
        if not self._unfit(now):
            for ip, member in list(self._members.items()):
                if member.since >= 0 and now >= member.until:
                    self._remove(now, ip, State.GONE)
        if now >= self._next:
            self._turn(now, out)
        self._further(now, out)
        return out

    def leave(self, now: int) -> Out:
        """This front ends of its own accord: some are told, and it answers nobody from now on.
        Ticks repeat it."""
        out: Out = []
        if not self.leaving:
            self.leaving = 1
            self._farewell(out)
        return out

    # Own health

    def _unfit(self, now: int) -> bool:
        return now < self._hold or now - self._heard > SILENT

    def _doubt_self(self, now: int) -> None:
        self._hold = now + HOLD
        self.health = min(HEALTH_WORST, self.health + 1)
        self._counts["doubted_self"] += 1

    def _put_off(self, gap: int) -> None:
        """Nothing that waited may end by this front's own absence."""
        for probe in self._probes.values():
            probe.ends += gap
            probe.opinion += gap if probe.opinion else 0
        for member in self._members.values():
            member.until += gap

    def _hear(self, now: int) -> None:
        if now - self._heard > SILENT and self._heard >= 0:
            self._put_off(now - self._heard)
            self._doubt_self(now)
        self._heard = max(now, self._heard)

    # News

    def _spread(self, state: State, ip: str, version: Version) -> None:
        self._news[ip] = [News(state, ip, version), 0]
        if len(self._news) > MEMBERS:
            del self._news[max(self._news, key=lambda one: self._news[one][1])]

    def _versioned(self, ip: str, member: _Member, version: Version) -> None:
        """A member calls itself by a version."""
        member.older = version < member.version
        if version > member.version:
            self._renew(ip, member, version)

    def _renew(self, ip: str, member: _Member, version: Version) -> None:
        if version[0] != member.version[0]:
            self._counts["restarted"] += 1
        elif member.since >= 0:
            self._counts["refuted"] += 1
        member.version, member.since, member.older = version, -1, False
        self._spread(State.ALIVE, ip, version)

    def _of_me(self, news: News, known: bool) -> None:
        """What is said of this front itself: outbid, unless it is true. Strangers cannot make it
        change its life."""
        life, incarnation = news.version
        if (
            self.leaving
            or news.version < self.version
            or (news.version == self.version and news.state is State.ALIVE)
        ):
            return
        if (life != self.version[0] and not known) or life + 1 >= LIFE_MOST:
            return
        self.version = (life, incarnation + 1) if incarnation < INCARNATION_MOST else (life + 1, 0)
        if news.state in (State.SUSPECT, State.GONE):
            self.health = min(HEALTH_WORST, self.health + 1)
        self._spread(State.ALIVE, self.me, self.version)

    def _take(self, now: int, news: News) -> None:
        state, ip, version = news
        member = self._members.get(ip)
        if member is None:
            gone = self._gone.get(ip)
            if state in (State.ALIVE, State.SUSPECT) and (gone is None or version > gone.version):
                self._consider(now, ip)
        elif state is State.ALIVE:
            if version > member.version:
                self._renew(ip, member, version)
        elif version < member.version:
            return
        elif state is State.LEFT:
            member.version = version
            self._remove(now, ip, State.LEFT)
        elif state is State.GONE and 0 <= member.since <= now - HASTENED and not self._unfit(now):
            member.version = version
            self._remove(now, ip, State.GONE)
        elif member.since < 0 or version > member.version:
            if version[0] != member.version[0]:
                self._counts["restarted"] += 1
                member.since = -1
            member.version = version
            self._suspect(now, ip, member)

    def _suspect(self, now: int, ip: str, member: _Member) -> None:
        if member.since < 0:
            self._counts["suspected"] += 1
            member.since, member.until = now, now + UNREFUTED * (1 + self.health)
            member.check = now + self.chance.randrange(CHECK // 2)
        self._spread(State.SUSPECT, ip, member.version)

    def _remove(self, now: int, ip: str, state: State) -> None:
        member = self._members.pop(ip)
        if ip not in self._gone and len(self._gone) >= GONE:
            del self._gone[
                min(
                    self._gone,
                    key=lambda one: (self._gone[one].version != NEVER, self._gone[one].at),
                )
            ]
        self._gone[ip] = _Gone(member.version, now, state is State.LEFT, now)
        self._counts["left" if state is State.LEFT else "removed"] += 1
        self._spread(state, ip, member.version)

    # Newcomers

    def _consider(self, now: int, ip: str) -> None:
        if (
            ip != self.me
            and ip not in self._members
            and ip not in self._newcomers
            and packed(ip) is not None
            and len(self._newcomers) < NEWCOMERS
        ):
            self._newcomers[ip] = _Newcomer(now)

    def _stranger(self, now: int, letter: Letter, out: Out) -> None:
        """Someone not believed alive: probed, at once where few are."""
        ip = letter.sender
        gone = self._gone.get(ip)
        if (
            gone is not None and gone.left and letter.version <= gone.version
        ) or letter.kind not in (Kind.PROBE, Kind.ASK):
            return
        self._consider(now, ip)
        newcomer = self._newcomers.get(ip)
        if newcomer is not None and newcomer.due <= now and self._burst > 0:
            self._burst -= 1
            self._try(now, ip, newcomer, out)

    def _try(self, now: int, ip: str, newcomer: _Newcomer, out: Out) -> None:
        newcomer.tries += 1
        newcomer.due = now + RETRY
        self._probe(now, ip, out)

    def _answered(self, now: int, probe: _Probe, letter: Letter, out: Out) -> None:
        ip = probe.target
        if probe.turn:
            self.health = max(0, self.health - 1)
        if probe.for_whom:
            self._send(out, probe.for_whom, Kind.VOUCH, probe.for_number, ip)
        if ip in self._members or self.leaving or len(self._members) >= MEMBERS:
            return
        gone = self._gone.get(ip)
        if gone is not None and gone.left and letter.version <= gone.version:
            return
        self._gone.pop(ip, None)
        self._newcomers.pop(ip, None)
        self._members[ip] = _Member(letter.version)
        self._counts[
            "joined" if gone is None or gone.version[0] != letter.version[0] else "regained"
        ] += 1
        self._round.insert(self.chance.randrange(len(self._round) + 1), ip)
        self._spread(State.ALIVE, ip, letter.version)
        if self.chance.random() * len(self._members) < 4:
            self._probe(now, ip, out, kind=Kind.ASK)

    # Probes

    def _turn(self, now: int, out: Out) -> None:
        """The next member in turn; each round goes through all of them in a new order."""
        wait = PERIOD * (1 + self.health)
        self._next = max(self._next + wait, now + wait // 2)
        while self._round and self._round[-1] not in self._members:
            self._round.pop()
        if not self._round:
            self._round = list(self._members)
            self.chance.shuffle(self._round)
        if self._round:
            target = self._round.pop()
            self._lists += 1
            ask = self._lists <= FIRST_LISTS or self._lists % LISTS == 0
            self._probe(now, target, out, kind=Kind.ASK if ask else Kind.PROBE, turn=True)

    def _probe(
        self,
        now: int,
        ip: str,
        out: Out,
        kind: Kind = Kind.PROBE,
        turn: bool = False,
        for_whom: str = "",
        for_number: int = 0,
    ) -> None:
        if len(self._probes) >= PROBES and not turn:
            return
        number = self.chance.getrandbits(32)
        slow = 1 + self.health
        self._probes[number] = _Probe(
            ip,
            now,
            now + (PERIOD * slow if turn else 1000 * MS),
            now + SECOND_OPINION * slow if turn else 0,
            turn=turn,
            for_whom=for_whom,
            for_number=for_number,
        )
        self._send(out, ip, kind, number)

    def _end_probes(self, now: int, out: Out) -> None:
        for number, probe in list(self._probes.items()):
            member = self._members.get(probe.target)
            if now >= probe.ends:
                del self._probes[number]
                if probe.turn and member is not None:
                    self._unanswered(now, probe, member, out)
            elif probe.opinion and now >= probe.opinion:
                probe.opinion = 0
                others = [
                    ip for ip, one in self._members.items() if ip != probe.target and one.since < 0
                ]
                for ip in self.chance.sample(others, min(OTHERS, len(others))):
                    probe.asked += 1
                    self._send(out, ip, Kind.PLEASE, number, probe.target)
                self._send(out, probe.target, Kind.PROBE, number)

    def _unanswered(self, now: int, probe: _Probe, member: _Member, out: Out) -> None:
        """Suspicion, unless none of those asked heard this front: then the fault may be its own."""
        if probe.heard * 2 < probe.asked:
            self.health = min(HEALTH_WORST, self.health + 1)
        if probe.heard and member.since < 0 and not self._unfit(now):
            self._suspect(now, probe.target, member)
            self._send(out, probe.target, Kind.TELL)

    def _further(self, now: int, out: Out) -> None:
        """Newcomers, suspects, those gone."""
        room = BURST
        for ip, newcomer in list(self._newcomers.items()):
            if ip in self._members:
                del self._newcomers[ip]
            elif newcomer.due > now or not room:
                continue
            elif newcomer.tries >= TRIES:
                del self._newcomers[ip]
                if ip not in self._gone and len(self._gone) < GONE:
                    self._gone[ip] = _Gone(NEVER, now, False, now)
            else:
                room -= 1
                self._try(now, ip, newcomer, out)
        room = BURST
        for ip, member in self._members.items():
            if member.since >= 0 and member.check <= now and room:
                room -= 1
                member.check = now + CHECK
                self._probe(now, ip, out)
        if now >= self._regain:
            self._regain = now + REGAIN
            for ip, gone in list(self._gone.items()):
                if now - gone.at > (FORGET_NEVER if gone.version == NEVER else FORGET):
                    del self._gone[ip]
            waiting = [
                ip for ip, gone in self._gone.items() if not gone.left and gone.version != NEVER
            ] or [ip for ip, gone in self._gone.items() if not gone.left]
            if waiting:
                ip = min(
                    self.chance.sample(waiting, min(4, len(waiting))),
                    key=lambda one: self._gone[one].tried,
                )
                self._gone[ip].tried = now
                self._probe(now, ip, out)

    # What goes out

    def _farewell(self, out: Out) -> None:
        self._news.clear()
        for ip in self.chance.sample(list(self._members), min(4, len(self._members))):
            self._send(out, ip, Kind.TELL)

    def _send(
        self, out: Out, to: str, kind: Kind, number: int = 0, third: str = "", full: bool = False
    ) -> None:
        """News go to members alone; whoever is suspect, gone or behind its own number is told that
        first."""
        news: list[News] = []
        member, gone = self._members.get(to), self._gone.get(to)
        if self.leaving:
            news.append(News(State.LEFT, self.me, self.version))
        if member is not None:
            if member.since >= 0 or member.older:
                news.append(
                    News(State.SUSPECT if member.since >= 0 else State.ALIVE, to, member.version)
                )
            if self._news:
                often = 3 * math.ceil(math.log2(len(self._members) + 2))
                for held in sorted(self._news.values(), key=lambda one: one[1])[
                    : ITEMS - len(news)
                ]:
                    news.append(held[0])
                    held[1] += 1
                    if held[1] >= often:
                        del self._news[held[0].ip]
            if full:
                told = {to, *(one.ip for one in news)}
                rest = [ip for ip in self._members if ip not in told]
                for ip in self.chance.sample(rest, min(len(rest), ITEMS - len(news))):
                    one = self._members[ip]
                    news.append(
                        News(State.ALIVE if one.since < 0 else State.SUSPECT, ip, one.version)
                    )
        elif gone is not None and gone.version != NEVER:
            news.append(News(State.LEFT if gone.left else State.GONE, to, gone.version))
        out.append(
            (to, written(Letter(kind, self.me, self.version, number, third or self.me, news)))
        )
