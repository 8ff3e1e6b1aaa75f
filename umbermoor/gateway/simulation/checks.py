"""What must hold in the control world, whatever happens; each rule has a name, by which `Broken`
tells it.

Bounds in time hold for those in touch, as the users' pages say: calm for `contactS`, with a settled
core. What is safety holds always: one content of a number, nothing acknowledged lost or refused, no
way back at a front."""

import json
from collections import Counter
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from umbermoor.gateway.api.decisions import CONFIG_KEY
from umbermoor.gateway.discovery.registry import DRAINING, GONE
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, supersedes
from umbermoor.gateway.simulation.script import MARGINS, SERVICES
from umbermoor.gateway.simulation.virtual import SECOND

NEVER = -(1 << 60)
LATE_HEAD = SECOND // 2  # a member that has not been the head for so long has no say in roll-outs
GIVEN_UP = 29 * SECOND  # operators try no longer


class Broken(AssertionError):
    """A rule was broken."""

    def __init__(self, rule: str, detail: str, at: int) -> None:
        super().__init__(f"{rule}: {detail} (at {at / SECOND:.3f} s)")
        self.rule, self.detail, self.at = rule, detail, at


@dataclass
class Order:
    kind: str
    name: Any
    body: bytes
    began: int
    extra: int  # us more that its acknowledgement may take
    acked_at: int | None = None
    over: bool = False
    raced: bool = False  # sent beside another that contradicts it: one of the two may be refused


def pick(record: dict[str, Any]) -> str:
    return json.dumps(record, sort_keys=True)


class Checks:
    def __init__(self, play: Any) -> None:
        self.play, self.time = play, play.time
        margins = {name: round(value * SECOND) for name, value in MARGINS.items()}
        self.contact, self.ack_s, self.drain_s = (
            margins["contactS"],
            margins["ackS"],
            margins["drainS"],
        )
        self.converge, self.stretch = margins["convergenceS"], margins["stretchS"]
        self.settling, self.rollback = margins["settlingS"], margins["rollbackS"]
        self.orders: list[Order] = []
        self.acked: list[tuple[int, int]] = []  # when, configuration
        self.floor = 0  # the newest configuration that an answer told of
        self.bad: set[int] = set()
        self.contents: dict[int, bytes] = {}  # what was in force under a number
        self.targets: set[tuple[str, str]] = (
            set()
        )  # services with versions that the register ever held an order for
        # trouble
        self.core_bad = NEVER  # when the core was last not settled, contactS aside
        self.link_bad = NEVER
        self.member_bad = dict.fromkeys(play.members, NEVER)
        self.pair_bad: dict[frozenset[str], int] = {}
        self.front_bad = dict.fromkeys(play.vanes, NEVER)
        self.wiped_at: dict[
            str, int
        ] = {}  # members whose disk was lost, and since when they may have been filled
        # what was seen
        self.versions: dict[tuple[int, int], dict[str, str]] = {}
        self.seen: dict[str, tuple[int, tuple[int, int]]] = {}  # member: life, version
        self.in_force: dict[str, int] = {}  # front: configuration, in this life
        self.was_ready: set[str] = set()
        self.away: dict[
            str, set[str]
        ] = {}  # front: machines heard to drain or be gone, in this life
        self.began_floor: dict[str, int] = {}
        self.records: dict[tuple[str, int, int], str] = {}
        self.ended: dict[tuple[str, int], str] = {}
        self.decided: dict[
            str, tuple[str, bool]
        ] = {}  # record: who decided on it, whether it was no longer the head
        self.head, self.head_since = "", 0
        self.rollouts_acked: dict[str, str] = {}  # service: target of the newest acknowledged order
        self.rollouts_sent: dict[str, list[str]] = {}
        self.rollouts_over: dict[tuple[str, str], str] = {}
        self.exposed: dict[str, Counter[str]] = {}
        self.counts: Counter[str] = Counter()

    def broken(self, rule: str, detail: str) -> None:
        raise Broken(rule, detail, self.time.now)

    # trouble, and who is in touch

    def touched_core(self, ip: str) -> None:
        self.core_bad = self.member_bad[ip] = self.time.now

    def touched_front(self, ip: str) -> None:
        self.front_bad[ip] = self.time.now

    def _watch(self) -> None:
        """Notes who is in trouble now."""
        now, net, members = self.time.now, self.play.net, self.play.members
        well = []
        for name, member in members.items():
            process = member.box.process
            if process is None or process.frozen or process.pace or member.box.disk.mode != "well":
                self.member_bad[name] = now
                if process is not None and (
                    process.frozen or process.pace or member.box.disk.mode != "well"
                ):
                    self.core_bad = now
            if process is not None and not process.frozen:
                well.append(name)
        if net.lossy:
            self.core_bad = self.link_bad = now
            self.front_bad = dict.fromkeys(self.front_bad, now)
        if any(net.cuts.values()):
            self.link_bad = now
        for one, other in combinations(members, 2):
            if net.cut(one, other) or net.cut(other, one):
                self.pair_bad[frozenset((one, other))] = now
        reaching = {
            one: [
                other
                for other in well
                if other == one or not (net.cut(one, other) or net.cut(other, one))
            ]
            for one in well
        }
        strong = [one for one, others in reaching.items() if 2 * len(others) > len(members)]
        if not strong:
            self.core_bad = now
        for ip, vane in self.play.vanes.items():
            process = vane.box.process
            if (
                process is None
                or process.frozen
                or any(net.cut(ip, one) or net.cut(one, ip) for one in strong)
            ):
                self.front_bad[ip] = now
        out = {one for one in members if one not in strong}
        if self.wiped_at and len(out | set(self.wiped_at)) > self.play.day.bear:
            self.core_bad = now  # more is lost than is to be borne: nothing is asked of time
        for name in list(
            self.wiped_at
        ):  # filled, as far as the pages see it, after settlingS among calm others
            if now - max(self.core_bad, self.wiped_at[name]) >= self.settling and name in strong:
                del self.wiped_at[name]

    def settled(self) -> bool:
        return self.time.now - self.core_bad >= self.contact

    def in_touch(self, front: str) -> bool:
        return self.settled() and self.time.now - self.front_bad[front] >= self.contact

    def outer(self, front: str, span: int) -> bool:
        """Whether the front was in order, and more than half of the core ran, connected and
        unslowed, all the time."""
        since = self.time.now - span
        if self.front_bad[front] > min(since, self.time.now - self.contact):
            return False
        calm = [one for one in self.member_bad if self.member_bad[one] < since]
        enough = len(self.member_bad) // 2 + 1
        return any(
            all(self.pair_bad.get(frozenset(pair), NEVER) < since for pair in combinations(some, 2))
            for some in combinations(calm, enough)
        )

    def may_wipe(self, name: str) -> bool:
        """Whether its disk may be lost now: with those lost before, no more than may be lost at
        once."""
        others = set(self.wiped_at) - {name}
        return len(others) < self.play.day.bear

    def wiped(self, name: str) -> None:
        self.wiped_at[name] = self.time.now

    # orders

    def ordered(self, kind: str, name: Any, body: bytes, routes: int) -> Order:
        order = Order(kind, name, body, self.time.now, routes * 3000)
        self.orders.append(order)
        if kind == "rollout":
            service, target = name.split()
            sent = self.rollouts_sent.setdefault(service, [])
            if target not in sent:
                sent.append(target)
        return order

    def answered(self, order: Order, status: int) -> None:
        order.over = True
        self.counts[f"{order.kind} {status}"] += 1
        if status >= 300:
            again = any(one.body == order.body and one.acked_at is not None for one in self.orders)
            if not order.raced or status != 409 or again:
                self.broken(
                    "refused",
                    f"{order.kind} {order.name}: {status}{', acknowledged before' * again}",
                )
            return
        order.acked_at = self.time.now
        if order.kind == "config":
            if self.contents.get(order.name, order.body) != order.body:
                self.broken(
                    "one number",
                    f"{order.name} is acknowledged, and was in force with another content",
                )
            self.acked.append((self.time.now, order.name))
            self.floor = max(self.floor, order.name)
        else:
            service, target = order.name.split()
            sent = self.rollouts_sent[service]
            held = self.rollouts_acked.get(service)
            if held is None or sent.index(target) > sent.index(held):
                self.rollouts_acked[service] = target

    def answered_bad(self, number: int, status: int) -> None:
        self.bad.add(number)
        if status < 400:
            self.broken("invalid", f"the wrong configuration {number} is acknowledged")

    def reads(self) -> int:
        return self.floor

    def was_read(self, floor: int, status: int, body: bytes) -> None:
        self.counts[f"read {status}"] += 1
        if status != 200:
            if floor:
                self.broken("lost", f"{status} to a read, though {floor} was told")
            return
        number = int(json.loads(body)["revision"], 16)
        if number < floor:
            self.broken("old read", f"{number} was read, though {floor} was told before")
        self._content(number, body, "is read back")
        self.floor = max(self.floor, number)

    def _content(self, number: int, body: bytes, what: str) -> None:
        """A content is in force under a number: one that was sent, and never another one."""
        if body not in (self.play.configs.get(number), self.play.twins.get(number)):
            self.broken(
                "content", f"{number} {what} with a content that was never sent, or was refused"
            )
        if self.contents.setdefault(number, body) != body:
            self.broken("one number", f"{number} {what} with another content than before")
        for order in self.orders if number in self.play.twins else ():
            if order.name == number and order.acked_at is not None and order.body != body:
                self.broken(
                    "one number", f"{number} {what}, and another content of it was acknowledged"
                )

    def reads_rollout(self, service: str) -> tuple[str, str | None]:
        return service, self.rollouts_acked.get(service)

    def rollout_was_read(self, read: tuple[str, str | None], status: int, body: bytes) -> None:
        service, acked = read
        if status != 200:
            if acked is not None:
                self.broken(
                    "lost",
                    f"{status} to a read of the roll-out of {service}, though {acked} was acknowledged",
                )
            return
        said = json.loads(body)
        sent = self.rollouts_sent[service]
        if said["target"] not in sent or (
            acked is not None and sent.index(said["target"]) < sent.index(acked)
        ):
            self.broken("old read", f"{service} rolls out {said}, though {acked} was acknowledged")
        held = self.rollouts_over.get((service, said["target"]))
        if held not in (None, said["state"]):
            self.broken("old read", f"{service} is {said}, and was {held} before")
        if said["state"] != "running":
            self.rollouts_over[service, said["target"]] = said["state"]

    # machines and requests

    def drained(self, server: Any, by: str) -> None:
        """A machine is told that it is known to drain."""
        server.sure = self.settled() and self.time.now - self.member_bad[by] >= self.contact
        self.counts["drained"] += 1

    def left(self, server: Any, by: str) -> None:
        self.counts["left"] += 1
        server.known_left = True

    def asked(self, service: str) -> None:
        pass

    def arrived(self, front: str, entry: Any, server: Any) -> None:
        if server is None or server.service != entry.service:
            self.broken("route", f"{front} sends to {entry}")
        self._may_take(front, server, "is sent a request")
        held = self.play.rolled.get(server.service)
        if held is None or held["good"] or self.time.now > held["ordered"] + held["ramp"] * SECOND:
            return
        count = self.exposed.setdefault(f"{server.service} {held['target']}", Counter())
        count["all"] += 1
        if server.version == held["target"] and self.in_touch(front):
            count["bad"] += 1
            if count["bad"] > 0.1 * count["all"] + 50:
                self.broken(
                    "exposure",
                    f"{count['bad']} of {count['all']} requests of {server.service} went to it",
                )

    def _may_take(self, front: str, server: Any, what: str) -> None:
        since = server.drained_at
        if since is None or not self.in_touch(front):
            return
        most = self.drain_s if server.sure else self.drain_s + self.stretch
        if self.time.now > since + most and not server.ended:
            self.broken(
                "drain",
                f"{server.id} {what} by {front} {(self.time.now - since) / SECOND:.2f} s after its "
                f"draining was acknowledged",
            )

    def answered_badly(self, service: str, front: str) -> None:
        held = self.play.rolled[service]
        count = self.exposed.setdefault(f"{service} {held['target']}", Counter())
        if count["since"] < self.core_bad + self.contact:
            count["since"], count["wrong"] = self.core_bad + self.contact, 0
        if not self.settled():
            return
        count["wrong"] += 1
        if count["wrong"] == 50:
            count["fifty"] = self.time.now
        if (
            count["wrong"] > 50
            and self.time.now > count["fifty"] + self.rollback
            and self.in_touch(front)
        ):
            self.broken(
                "exposure", f"{service} {held['target']} gets requests long after 50 bad answers"
            )

    # what is looked at all the time

    def look(self) -> None:
        self._watch()
        self._head()
        if self.time.caught:
            self.broken("caught", self.time.caught[0])
        for name, member in self.play.members.items():
            if member.core is not None:
                self._member(name, member)
        for name, vane in self.play.vanes.items():
            if vane.front is not None and not vane.box.process.frozen:
                self._front(name, vane.front)
        settled_since = max(self.core_bad, self.link_bad) + self.contact
        now = self.time.now
        for order in self.orders:
            if not order.over and now - max(order.began, settled_since) > self.ack_s + order.extra:
                if now - order.began < GIVEN_UP and order.kind == "config":
                    self.broken(
                        "ack",
                        f"{order.kind} {order.name} has no answer since {order.began / SECOND:.3f} s",
                    )
        for server in self.play.servers:
            if (
                server.asked_at is not None
                and server.drained_at is None
                and server.left_at is None
                and not server.ended
            ):
                if now - max(server.asked_at, settled_since) > self.ack_s:
                    self.broken(
                        "ack", f"{server.id} drains unheard since {server.asked_at / SECOND:.3f} s"
                    )

    def _member(self, name: str, member: Any) -> None:
        core = member.core
        if not hasattr(core, "member"):
            return
        register = core.member
        if "decisions" not in core.__dict__:
            core.decisions = tick = core.rollouts.tick

            def decide(now: int) -> Any:
                puts = tick(now)
                for service, record in puts:
                    self.decided[service + pick(record)] = name, self._old(register)
                return puts

            core.rollouts.tick = decide
        life, version = self.seen.get(name, (0, (0, 0)))
        if life == member.lives and register.version < version:
            self.broken("back", f"{name} went back from {version} to {register.version}")
        if (life, version) == (member.lives, register.version):
            return
        self.seen[name] = member.lives, register.version
        if register.version != (0, 0):
            self._register(
                register.version, {key: pick(value) for key, value in register.committed.items()}
            )

    def _old(self, register: Any) -> bool:
        """Whether another member has been the head for a while."""
        self._head()
        return self.head not in ("", register.name) and self.time.now - self.head_since > LATE_HEAD

    def _head(self) -> None:
        """Notes who is the head of the newest chain that serves."""
        stories = [
            member.core.member.status()
            for member in self.play.members.values()
            if member.core is not None and hasattr(member.core, "member")
        ]
        newest = max(
            (story for story in stories if story.role in ("head", "middle", "tail")),
            key=lambda story: story.epoch,
            default=None,
        )
        if newest is not None and newest.chain[0] != self.head:
            self.head, self.head_since = newest.chain[0], self.time.now

    def _register(self, version: tuple[int, int], held: dict[str, str]) -> None:
        """The register as one member knows it to be committed: one content of a version, and no key
        goes back."""
        if version in self.versions:
            if self.versions[version] != held:
                self.broken("fork", f"two registers of version {version}")
            return
        below = max((one for one in self.versions if one < version), default=None)
        above = min((one for one in self.versions if one > version), default=None)
        self.versions[version] = held
        for key, text in held.items():
            value = json.loads(text)
            if key == CONFIG_KEY:
                self._content(value["revision"], value["text"].encode(), "is in the register")
            elif key.startswith(ROLLOUT_KEY_PREFIX):
                self.targets.add((key[len(ROLLOUT_KEY_PREFIX) :], value["target"]))
        if len(self.versions) > 400:
            del self.versions[min(self.versions)]
        for old, new in ((below, version), (version, above)):
            if old is not None and new is not None:
                self._follows(old, self.versions.get(old, {}), new, self.versions[new])

    def _follows(self, old_at: Any, old: dict[str, str], new_at: Any, new: dict[str, str]) -> None:
        for key, text in old.items():
            if text == new.get(key):
                continue
            if key not in new:
                self.broken("lost", f"{key} is gone at {new_at}, and was there at {old_at}")
            before, after = json.loads(text), json.loads(new[key])
            if key == CONFIG_KEY and after["revision"] <= before["revision"]:
                self.broken(
                    "back",
                    f"configuration {after['revision']} at {new_at}, {before['revision']} at {old_at}",
                )
            if key.startswith(ROLLOUT_KEY_PREFIX):
                service = key[len(ROLLOUT_KEY_PREFIX) :]
                if not supersedes(after, before):
                    self.broken(
                        "back", f"{key} went from {before} at {old_at} to {after} at {new_at}"
                    )
                self._record(service, after)
                by, late = self.decided.get(service + new[key], ("", False))
                forward = after["order"] == before["order"] and after["stage"] > before["stage"]
                if late and (forward or after["state"] == "settled"):
                    self.broken(
                        "old head",
                        f"{service} went on to {after} by the word of {by}, long replaced",
                    )

    def _record(self, service: str, record: dict[str, Any]) -> None:
        if record["state"] == "running":  # the end of an order may bear the number of its last step
            self._one(service, record)
        elif self.ended.setdefault((service, record["order"]), record["state"]) != record["state"]:
            self.broken("fork", f"{service}, order {record['order']}, ended in two ways")

    def _one(self, service: str, record: dict[str, Any]) -> None:
        key, text = (service, record["order"], record["serial"]), pick(record)
        if self.records.setdefault(key, text) != text:
            self.broken("fork", f"two records of {key}: {self.records[key]} and {text}")

    # fronts

    def front_began(self, name: str) -> None:
        self.in_force[name], self.away[name] = 0, set()
        self.was_ready.discard(name)
        self.began_floor[name] = self.floor

    def _front(self, name: str, front: Any) -> None:
        held = front.requests.routes.revision if front.requests.routes is not None else 0
        if held < self.in_force[name]:
            self.broken(
                "revert", f"{name} went back from configuration {self.in_force[name]} to {held}"
            )
        if held != self.in_force[name]:
            self.in_force[name] = held
            names = {route.name for route in front.requests.routes}
            may = (
                [self.contents.get(held)]
                if held in self.contents
                else [  # its member may have ended since it told
                    self.play.configs.get(held),
                    self.play.twins.get(held),
                ]
            )
            body = next(
                (one for one in may if one and set(json.loads(one)["routes"]) == names), None
            )
            if body is None:
                self.broken(
                    "content", f"{name} has {held} in force, which is not what the register holds"
                )
            self.contents[held] = body
        if front.is_ready and name not in self.was_ready:
            self.was_ready.add(name)
            self.counts["ready"] += 1
            if held < self.began_floor[name]:
                self.broken(
                    "old ready",
                    f"{name} is ready with {held}, though {self.began_floor[name]} was "
                    f"acknowledged before it started",
                )
        self._late(name, held)
        for id, entry in front.controllers.subscriber.instances.items():
            if entry.state in (DRAINING, GONE):
                self.away[name].add(id)
        for server in self.play.servers:
            if server.id in front.instances.by_id:
                if server.id in self.away[name]:
                    self.broken("revert", f"{name} lists {server.id} again, which it knew to leave")
                self._may_take(name, server, "is listed")
        for service, rollout in front.rollouts.services.items():
            if rollout.record is not None and service in SERVICES:
                self._record(service, rollout.record.document)

    def _late(self, name: str, held: int) -> None:
        now = self.time.now
        due = max(
            (number for at, number in self.acked[-60:] if now - at > self.converge), default=0
        )
        if held >= due:
            return
        if self.in_touch(name):
            self.broken(
                "late", f"{name} has {held} in force, {due} was acknowledged over convergenceS ago"
            )
        span = self.converge + self.stretch
        long = max((number for at, number in self.acked[-60:] if now - at > span), default=0)
        if held < long and self.outer(name, span + self.contact):
            self.broken(
                "late", f"{name} has {held} in force, {long} was acknowledged over stretchS ago"
            )

    # marks of the day

    def founded(self) -> None:
        if not self.floor:
            self.broken("start", "no configuration is acknowledged before traffic begins")
        for name, vane in self.play.vanes.items():
            if vane.front is None or not vane.front.is_ready:
                self.broken("start", f"{name} is not ready when traffic begins")

    def at_end(self) -> None:
        """All is well again: each member takes an order and answers, and all hold the same."""
        play, reads = self.play, []
        for name in play.members:
            play.config(play.next(), 3, first=name)
            self.time.run(self.time.now + SECOND)
        self.time.run(self.time.now + 2 * SECOND)
        for name, member in play.members.items():

            def told(status: int, body: bytes, name: str = name) -> None:
                reads.append((name, status, body))

            play.net.call(
                play.operator,
                name,
                lambda process, back, member=member: member.handle(
                    "GET", "/Config.Read", b"", process, back
                ),
                told,
            )
        self.time.run(self.time.now + SECOND)
        newest = max(play.configs)
        for order in self.orders:
            if (
                order.kind == "rollout"
                and order.acked_at is not None
                and tuple(order.name.split()) not in self.targets
            ):
                self.broken("lost", f"the roll-out of {order.name} was acknowledged, and never was")
        if self.floor != newest:
            self.broken("end", f"{newest} is not acknowledged though all is well, {self.floor} is")
        for name, status, body in reads:
            if status != 200 or body != play.configs[newest]:
                self.broken("end", f"{name} answers {status} to a read though all is well")
        if len(reads) < len(play.members):
            self.broken("end", f"only {[name for name, *_ in reads]} answer a read")
        stories = {name: member.core.member.status() for name, member in play.members.items()}
        if len({(story.epoch, tuple(story.chain)) for story in stories.values()}) > 1 or any(
            story.role not in ("head", "middle", "tail") for story in stories.values()
        ):
            self.broken("end", f"not whole though all is well: {stories}")
        for vane in play.vanes.values():  # no rule is broken: nobody is there to take a request
            self.counts["left and still listed"] += sum(
                server.known_left and server.id in vane.front.instances.by_id
                for server in play.servers
            )
        for name, vane in play.vanes.items():
            if vane.front is None or not vane.front.is_ready or self.in_force[name] != newest:
                self.broken("end", f"{name} has {self.in_force[name]} in force, or is not ready")
