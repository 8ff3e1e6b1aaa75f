"""Plays a day: core hosts and fronts with their own code in virtual time, machines, operators,
troubles and checks."""

import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from umbermoor.gateway.api.http_api import HttpApi
from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.config.node_settings import NodeSettings
from umbermoor.gateway.server import controller as core_host
from umbermoor.gateway.server import controller_link
from umbermoor.gateway.server import proxy as proxy_host
from umbermoor.gateway.server.client_connection import PendingRequest
from umbermoor.gateway.simulation.checks import Checks
from umbermoor.gateway.simulation.script import MARGINS, SERVICES, Day, Step, number_at
from umbermoor.gateway.simulation.virtual import MS, SECOND, Box, Net, Process, Time
from umbermoor.http1.reader import Request, Response

PORT, CONTROL = 7620, 8649
PERIOD = 1500 * MS
BEGIN = 9 * SECOND  # of traffic, after the start of all
POLL = 50 * MS
CALM = 16 * SECOND  # after all troubles
ASK = 40 * MS  # between two requests of a service under a roll-out at each front
SILENCE = SECOND  # until a caller goes on to another member
LOSE = 0.08  # of answers to operators on days when answers are lost


class PlayedCore(core_host.Core):
    """The host of a core member, on its machine's clock."""

    clock: Any

    def now(self) -> int:
        return self.clock.us()


class Member:
    """A core machine."""

    def __init__(self, play: "Play", box: Box, seeds: tuple[str, ...], zone: str) -> None:
        self.play, self.box, self.seeds, self.zone = play, box, seeds, zone
        self.core: PlayedCore | None = None
        self.lives = 0
        self.wanted = True  # the platform starts it again when it ends

    def start(self, cold: bool = False) -> None:
        if self.box.process is not None:
            return
        self.lives += 1
        self.box.power = True
        process = self.box.process = Process(self.box)
        settings = NodeSettings(
            f"core-{self.box.ip}",
            "controller",
            "core",
            self.box.ip,
            self.zone,
            (PORT, PORT + 15),
            seeds=tuple(f"{seed}:{CONTROL}" for seed in self.seeds),
            cold_start=cold,
            quorum_member=True,
            data_dir=self.box.ip,
            heartbeat_interval_us=PERIOD,
            margins=MARGINS,
            disk_mb=256,
            listen={"control": (self.box.ip, CONTROL)},
            tolerated_machine_losses=self.play.day.bear,
        )
        chance = random.Random(f"{self.play.day.seed} {self.box.ip} {self.lives}")
        core = PlayedCore.__new__(PlayedCore)
        core.clock = self.box.clock

        def begin() -> None:
            with patch.object(core_host, "Store", lambda *_: self.box.disk):
                core.__init__(settings, chance)
            self.core, self.desk = core, HttpApi(core)
            process.create_task(core.post.listen())
            process.create_task(core.ticks()).add_done_callback(
                lambda task: self.ended(process, task)
            )

        process.turn(begin)
        self.play.touched_core(self.box.ip)

    def ended(self, process: Process, task: Any) -> None:
        if not process.dead:
            self.play.checks.broken("ended", f"{self.box.ip} ended by itself: {task.exception()!r}")

    def end(self, power: bool = False) -> None:
        process, self.box.process = self.box.process, None
        if process is not None:
            process.end(power)
        if power:
            self.box.power = False
        self.core = None
        self.play.touched_core(self.box.ip)

    def handle(
        self,
        method: str,
        path: str,
        body: bytes,
        process: Process,
        told: Callable[[int, bytes], None],
    ) -> None:
        """What the HTTP server does with a call."""
        desk = self.desk

        async def run() -> None:
            sent: list[dict[str, Any]] = []

            async def receive() -> dict[str, Any]:
                return {"type": "http.request", "body": body}

            async def send(event: dict[str, Any]) -> None:
                sent.append(event)

            await desk({"type": "http", "method": method, "path": path}, receive, send)
            told(sent[0]["status"], sent[1]["body"])

        process.create_task(run())


class Machines:
    """Where a front's attempts go: the machines of the day, which answer at once or not at all."""

    def __init__(self, play: "Play", name: str) -> None:
        self.play, self.name = play, name

    def send(self, instance: Any, attempt: Any, idempotent: bool) -> None:
        self.play.arrives(self.name, instance, attempt)

    def close_idle(self, instance: Any) -> None:
        pass

    def sweep(self) -> None:
        pass


class Slot:
    """A client's connection: nothing is made of what it is told."""

    @staticmethod
    def respond(pending: PendingRequest, status: int, body: bytes, headers: dict[str, str]) -> None:
        pending.response = status, body, headers


class Vane:
    """A front machine."""

    def __init__(self, play: "Play", box: Box, seeds: tuple[str, ...], zone: str) -> None:
        self.play, self.box, self.seeds, self.zone = play, box, seeds, zone
        self.front: proxy_host.Proxy | None = None
        self.lives = 0

    def start(self) -> None:
        if self.box.process is not None:
            return
        self.lives += 1
        process = self.box.process = Process(self.box)
        settings = NodeSettings(
            f"front-{self.box.ip}",
            "proxy",
            "front",
            self.box.ip,
            self.zone,
            (PORT, PORT + 15),
            seeds=tuple(f"{seed}:{CONTROL}" for seed in self.seeds),
            heartbeat_interval_us=PERIOD,
            margins=MARGINS,
        )

        def begin() -> None:
            with patch.object(proxy_host, "time", self.box.timers):
                front = proxy_host.Proxy(
                    settings,
                    random.Random(f"{self.play.day.seed} {self.box.ip} {self.lives}"),
                    pool=Machines(self.play, self.box.ip),
                )
            self.front = front
            process.create_task(front.controllers.peers.listen())
            process.create_task(front.run_ticks()).add_done_callback(
                lambda task: self.ended(process, task)
            )

        process.turn(begin)
        self.play.checks.front_began(self.box.ip)
        self.play.touched_front(self.box.ip)

    def ended(self, process: Process, task: Any) -> None:
        if not process.dead:
            self.play.checks.broken("ended", f"{self.box.ip} ended by itself: {task.exception()!r}")

    def end(self) -> None:
        process, self.box.process = self.box.process, None
        if process is not None:
            process.end(False)
        self.front = None
        self.play.touched_front(self.box.ip)


class Caller:
    """Sends one order until it has a clear answer: to any member, on to another after a failure or
    silence."""

    def __init__(
        self,
        play: "Play",
        method: str,
        path: str,
        body: bytes,
        told: Callable[[int, bytes], None],
        first: str = "",
        within: int = 30 * SECOND,
        loses: bool = True,
    ) -> None:
        self.play, self.method, self.path, self.body, self.told = play, method, path, body, told
        self.until, self.loses, self.tries, self.odd, self.lost = (
            play.time.now + within,
            loses,
            0,
            0,
            0,
        )
        self.over = False
        self.began = play.time.now
        self._try(first)

    def _try(self, to: str = "") -> None:
        play = self.play
        if self.over or play.time.now > self.until:
            self.over = True
            return
        self.tries += 1
        number, to = self.tries, to or play.chance.choice(list(play.members))
        member = play.members[to]
        self.sent = play.time.now
        play.net.call(
            play.operator,
            to,
            lambda process, back: member.handle(self.method, self.path, self.body, process, back),
            lambda status, body: self._answered(number, to, status, body),
        )
        silence = SILENCE + len(self.body) // 1000
        play.time.after(
            silence, lambda: self._again() if number == self.tries and not self.over else None
        )

    def _again(self) -> None:
        self.tries += 1  # what still comes is late
        pause = min(SECOND, 50 * MS << min(6, self.tries // 2))
        self.play.time.after(pause, self._try)

    def _answered(self, number: int, to: str, status: int, body: bytes) -> None:
        if self.over or number != self.tries:
            return
        if (
            self.loses
            and self.lost < 2
            and self.play.lose
            and self.play.chance.random() < self.play.lose
        ):
            self.lost += 1
            return
        clear = 200 <= status < 300 or status in (400, 409, 412, 413, 422)
        if not clear and 400 <= status < 500 and status not in (408, 429):
            self.odd += 1
            clear = self.odd >= 3
        if clear:
            self.over, self.by = True, to
            self.told(status, body)
        else:
            self._again()


class Server:
    """A machine behind the gateway: it beats, drains, leaves or crashes, as the users' pages
    say."""

    def __init__(self, play: "Play", number: int, service: str, version: str) -> None:
        self.play, self.service, self.version = play, service, version
        self.id, self.address = f"i-{number:04d}", f"10.128.{number >> 8}.{number & 255}:8080"
        self.state, self.sample, self.ended = "ready", 0, False
        self.began = play.time.now
        self.drained_at: int | None = None  # when that was acknowledged
        self.left_at: int | None = None
        self.known_left = False  # that was acknowledged
        self.asked_at: int | None = None  # when it first said that it drains
        self._beat()

    def _beat(self) -> None:
        if self.ended or self.left_at is not None:
            return
        self.sample += 1
        play, state = self.play, self.state
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "revision": self.version,
            "capacity": 6,
            "state": state,
            "warmupLeftS": 0,
            "sample": self.sample,
        }
        self._say(f"/Plants.Heartbeat/{self.id}", body, lambda by: self._acknowledged(state, by))
        play.time.after(PERIOD * play.chance.uniform(0.9, 1.1), self._beat)

    def _say(
        self, path: str, body: Any, done: Callable[[str], None], tries: int = 0, most: int = 3
    ) -> None:
        play, to, told = self.play, self.play.chance.choice(list(self.play.members)), []
        member, data = play.members[to], json.dumps(body).encode()

        def answered(status: int, _: bytes) -> None:
            if not told:
                told.append(status)
                if 200 <= status < 300:
                    done(to)
                else:
                    again()

        def silent() -> None:
            if not told:
                told.append(0)
                again()

        def again() -> None:
            if tries < most and not self.ended:
                play.time.after(100 * MS, lambda: self._say(path, body, done, tries + 1, most))

        play.net.call(
            play.operator,
            to,
            lambda process, back: member.handle("POST", path, data, process, back),
            answered,
        )
        play.time.after(SILENCE, silent)

    def _acknowledged(self, state: str, by: str) -> None:
        if state == "draining" and self.drained_at is None:
            self.drained_at = self.play.time.now
            self.play.checks.drained(self, by)
            self.play.time.after(MARGINS["drainS"] * SECOND + self.stay * MS, self._leave)

    def drain(self, stay: int) -> None:
        if self.state == "ready" and not self.ended:
            self.state, self.stay, self.asked_at = "draining", stay, self.play.time.now
            self._beat_now()
            self.play.time.after(8 * SECOND + stay * MS, self._leave)

    def _beat_now(self) -> None:
        self.sample += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "revision": self.version,
            "capacity": 6,
            "state": self.state,
            "warmupLeftS": 0,
            "sample": self.sample,
        }
        self._say(
            f"/Plants.Heartbeat/{self.id}",
            body,
            lambda by: self._acknowledged("draining", by),
            most=6,
        )

    def _leave(self) -> None:
        if self.left_at is None and not self.ended:
            self.left_at = self.play.time.now
            self._say(f"/Plants.Leave/{self.id}", {}, self._gone)
            self.play.time.after(2 * SECOND, self.crash)

    def _gone(self, by: str) -> None:
        self.play.checks.left(self, by)

    def crash(self) -> None:
        self.ended = True


class Play:
    def __init__(self, day: Day, event: Callable[..., None] = lambda name, **pairs: None) -> None:
        """`event` gets what the hosts log."""
        self.day, self.time, self.event = day, Time(), event
        self.chance = random.Random(f"play {day.seed}")
        self.net = Net(self.time, random.Random(f"net {day.seed}"))
        self.met: Counter[str] = Counter()  # troubles, by kind
        self.count: Counter[str] = Counter()
        own = random.Random(f"machines {day.seed}")
        self.operator = "10.9.0.1"
        self.lose = own.choice((0.0, LOSE))
        names = [f"10.0.0.{n + 1}" for n in range(day.members)]
        seeds = tuple(names[:3])
        self.members = {
            name: Member(self, self._box(own, name), seeds, f"z{n % 3}")
            for n, name in enumerate(names)
        }
        fronts = [f"10.0.1.{n + 1}" for n in range(day.fronts)]
        self.vanes = {
            name: Vane(self, self._box(own, name), seeds, f"z{n % 3}")
            for n, name in enumerate(fronts)
        }
        self.servers: list[Server] = []
        self.configs: dict[int, bytes] = {}
        self.twins: dict[int, bytes] = {}  # the other content of a number that was sent with two
        self.sent: list[tuple[str, str, bytes]] = []  # orders, as they may be sent again
        self.rolled: dict[str, dict[str, Any]] = {}  # by service: the roll-out that machines follow
        self.due: list[
            Callable[[], None]
        ] = []  # what comes with the next acknowledgement of a configuration
        self.checks = Checks(self)

    def _box(self, chance: random.Random, ip: str) -> Box:
        return Box(self.net, ip, 1 + chance.uniform(-200, 200) * 1e-6, chance.randrange(1, 10**9))

    # the day

    def run(self) -> "Play":
        """Plays it all; raises checks.Broken."""
        with (
            patch.object(core_host, "event", self.event),
            patch.object(proxy_host, "event", self.event),
            patch.object(controller_link, "event", self.event),
        ):
            return self._run()

    def _run(self) -> "Play":
        time, chance = self.time, self.chance
        for member in self.members.values():
            time.after(chance.randrange(300) * MS, lambda member=member: member.start(cold=True))
        for vane in self.vanes.values():
            time.after(chance.randrange(300) * MS, vane.start)
        time.after(3 * SECOND, self._first)
        for step in self.day.steps:
            time.at(BEGIN + max(0, step.at) * MS, lambda step=step: self.do(step))
        time.after(POLL, self._poll)
        time.run(BEGIN)
        self.checks.founded()
        end = BEGIN + self.day.long * MS
        time.run(end)
        self.heal()
        time.run(end + CALM)
        self.checks.at_end()
        return self

    def _poll(self) -> None:
        self.checks.look()
        for name, member in self.members.items():
            if (
                member.core is not None
                and not member.box.process.frozen
                and member.core.over.is_set()
            ):
                self._kill(name, 300, False)  # it ended in order, and is started again
        self.time.after(POLL, self._poll)

    def _first(self) -> None:
        for service in SERVICES:
            for _ in range(3):
                self.servers.append(Server(self, len(self.servers) + 1, service, "v1"))
        self.config(1, 3)
        self.time.after(20 * MS, self._traffic)
        self.time.after(SECOND, self._follow)

    def heal(self) -> None:
        """Takes all troubles away at once, and starts what is stopped."""
        self.net.cuts.clear()
        self.net.lossy.clear()
        self.lose = 0.0
        for member in self.members.values():
            member.box.disk.mode = "well"
            if member.box.process is not None:
                self._thaw(member.box, 1)
                member.box.process.pace = 0
            member.box.timers.go_on()
            member.start()
        for vane in self.vanes.values():
            if vane.box.process is not None:
                self._thaw(vane.box, 1)
            vane.start()
        for box in self.net.boxes.values():
            self.touched(box.ip)

    def do(self, step: Step) -> None:
        act = getattr(self, f"do_{step.kind}", None)
        if act is None:
            raise ValueError(f"no such step: {step}")
        act(step)

    # operators

    def body(self, number: int, routes: int) -> bytes:
        if number not in self.configs:
            chance = random.Random(f"config {self.day.seed} {number}")
            table = {
                f"r-{service}": {
                    "host": "h.example",
                    "prefix": f"/{service}/",
                    "kind": "safe",
                    "horizonS": 2,
                    "setpointS": 0.5,
                    "priority": 1,
                    "service": service,
                    "tries": 2,
                }
                for service in SERVICES
            }
            for one in range(routes - 2):
                table[f"r-{chance.getrandbits(24):06x}-{one}"] = {
                    "host": "h.example",
                    "prefix": f"/p{one}x{number}/",
                    "kind": "safe",
                    "horizonS": 2,
                    "priority": 2,
                    "service": chance.choice(SERVICES),
                    "tries": 2,
                }
            services = {
                service: {"probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}
                for service in SERVICES
            }
            self.configs[number] = json.dumps(
                {
                    "revision": f"{number:08x}",
                    "routes": table,
                    "services": services,
                    "envelope": {
                        "headerBytes": 16384,
                        "bodyBytes": 1 << 20,
                        "headerS": 3,
                        "idleS": 15,
                    },
                }
            ).encode()
        return self.configs[number]

    def config(self, number: int, routes: int, first: str = "", twin: int = 0) -> None:
        body = self.body(number, routes)
        if twin == 2:
            other = json.loads(body)
            other["routes"]["r-twin"] = {
                "host": "h.example",
                "prefix": "/twin/",
                "kind": "safe",
                "horizonS": 1,
                "service": SERVICES[0],
                "tries": 1,
            }
            body = self.twins[number] = json.dumps(other).encode()
        order = self.checks.ordered("config", number, body, routes)
        order.raced = bool(twin)
        self.sent.append(("config", str(number), body))
        self.count["config"] += 1

        def told(status: int, _: bytes) -> None:
            self.checks.answered(order, status)
            if status < 300:
                due, self.due = self.due, []
                for act in due:
                    act()

        Caller(self, "POST", "/Config.Replace", body, told, first)

    def next(self) -> int:
        """A number that no step bears."""
        found = number_at((self.time.now - BEGIN) // MS) + 12
        while found in self.configs:
            found += 16
        return found

    def do_config(self, step: Step) -> None:
        self.config(step.number("n"), step.number("routes", 3))

    def do_twin(self, step: Step) -> None:
        """Two contents under one number, sent at once to two members."""
        number, names = step.number("n"), list(self.members)
        self.config(number, 3, first=names[step.number("on") % len(names)], twin=1)
        self.config(number, 3, first=names[(step.number("on") + 1) % len(names)], twin=2)

    def do_meet(self, step: Step) -> None:
        """A change goes to the member that is cut off, or that just came back."""
        self.config(self.next(), 3, first=self.name(step.number("on")))

    def do_again(self, step: Step) -> None:
        """The newest order once more, unchanged."""
        if self.sent:
            self._again(self.sent[-1])

    def do_old(self, step: Step) -> None:
        if self.sent:
            self._again(self.sent[step.number("pick") % len(self.sent)])

    def _again(self, sent: tuple[str, str, bytes]) -> None:
        kind, name, body = sent
        if kind == "rollout" and self.rolled[name.split()[0]]["target"] != name.split()[1]:
            return  # to order an earlier target is no repetition once another was ordered
        self.count["again"] += 1
        if kind == "config":
            order = self.checks.ordered(kind, int(name), body, len(body) // 120)
            order.raced = int(name) in self.twins
            Caller(
                self,
                "POST",
                "/Config.Replace",
                body,
                lambda status, _: self.checks.answered(order, status),
            )
        else:
            order = self.checks.ordered(kind, name, body, 0)
            order.raced = any(one.raced and one.body == body for one in self.checks.orders)
            Caller(
                self,
                "POST",
                "/Rollouts.Begin",
                body,
                lambda status, _: self.checks.answered(order, status),
                within=4 * SECOND,
            )

    def do_bad(self, step: Step) -> None:
        number, how = step.number("n"), step.number("how")
        body = json.loads(self.body(number, 3))
        del self.configs[number]  # it may never be in force
        route = next(iter(body["routes"].values()))
        if how == 0:
            route["service"] = "nowhere"
        elif how == 1:
            route["tries"] = 0
        elif how == 2:
            route["kind"] = "odd"
        else:
            route["setpointS"] = route["horizonS"] + 61
        data = json.dumps(body).encode()[: -3 if step.at % 2 else None]
        self.count["bad"] += 1
        Caller(
            self,
            "POST",
            "/Config.Replace",
            data,
            lambda status, _: self.checks.answered_bad(number, status),
        )

    def do_read(self, step: Step) -> None:
        self.count["read"] += 1
        read = self.checks.reads()
        Caller(
            self,
            "GET",
            "/Config.Read",
            b"",
            lambda status, body: self.checks.was_read(read, status, body),
            within=6 * SECOND,
            loses=False,
        )

    def do_rollout(self, step: Step) -> None:
        service, target = step.get("service"), step.get("target")
        held = self.rolled.get(service)
        if held is not None and not held["over"]:
            return  # one at a time, as operators do
        other = step.get("against")
        self._begin(step, service, target, bool(other))
        if other:  # another operator orders another version of it at the same moment
            self._begin(step, service, other, True)

    def _begin(self, step: Step, service: str, target: str, raced: bool) -> None:
        roll = {
            "target": target,
            "good": step.number("good"),
            "over": False,
            "ordered": self.time.now,
            "old": [one for one in self.servers if one.service == service and not one.ended],
            "ramp": step.number("ramp"),
            "begun": False,
        }
        self.rolled.setdefault(service, roll)
        if not raced or self.rolled[service]["over"]:
            self.rolled[service] = roll
        self.count["rollout"] += 1
        for _ in range(3):
            self.servers.append(Server(self, len(self.servers) + 1, service, target))
        body = json.dumps(
            {"service": service, "target": target, "rampS": step.number("ramp")}
        ).encode()
        order = self.checks.ordered("rollout", f"{service} {target}", body, 0)
        order.raced = raced
        self.sent.append(("rollout", f"{service} {target}", body))

        def told(status: int, _: bytes) -> None:
            self.checks.answered(order, status)
            if status == 200 and not (self.rolled[service]["begun"] and raced):
                self.rolled[service] = roll
                roll["begun"] = True

        Caller(self, "POST", "/Rollouts.Begin", body, told, within=(2 if raced else 30) * SECOND)

    def do_rollout_read(self, step: Step) -> None:
        for service in self.rolled:
            self._read_rollout(service)

    def _read_rollout(self, service: str) -> None:
        read = self.checks.reads_rollout(service)
        self.count["rollout_read"] += 1

        def told(status: int, body: bytes) -> None:
            self.checks.rollout_was_read(read, status, body)
            held = self.rolled[service]
            if status != 200 or held["over"]:
                return
            said = json.loads(body)
            if said["target"] == held["target"] and said["state"] != "running":
                held["over"] = True
                self.count[said["state"]] += 1
                if said["state"] == "settled":
                    for one in held["old"]:
                        one.crash()
                else:
                    for one in self.servers:
                        if one.version == held["target"]:
                            self.time.after(2 * SECOND, lambda one=one: one.drain(0))
                self._next_rollout(service, held["target"])

        Caller(self, "GET", f"/Rollouts.Read/{service}", b"", told, within=4 * SECOND, loses=False)

    def _next_rollout(self, service: str, target: str) -> None:
        """An operator who waited for its end orders the next one at once."""
        chance = random.Random(f"next {self.day.seed} {target}")
        if chance.random() < 0.5 and self.time.now < BEGIN + self.day.long * MS:
            step = Step(
                0,
                "rollout",
                (
                    ("service", service),
                    ("target", f"{target}n"),
                    ("ramp", "6"),
                    ("good", str(chance.randrange(2))),
                ),
            )
            self.time.after(chance.randrange(300) * MS, lambda: self.do_rollout(step))

    def _follow(self) -> None:
        """The platform looks how roll-outs go."""
        for service, held in self.rolled.items():
            if held["begun"] and not held["over"]:
                self._read_rollout(service)
        self.time.after(SECOND, self._follow)

    # machines and requests

    def do_leave(self, step: Step) -> None:
        ready = [one for one in self.servers if one.state == "ready" and not one.ended]
        if ready:
            one = ready[step.number("pick") % len(ready)]
            if sum(other.service == one.service for other in ready) > 1:
                one.drain(step.number("stay"))

    def do_crash(self, step: Step) -> None:
        ready = [one for one in self.servers if one.state == "ready" and not one.ended]
        if ready:
            one = ready[step.number("pick") % len(ready)]
            if sum(other.service == one.service for other in ready) > 1:
                one.crash()

    def do_come(self, step: Step) -> None:
        service = SERVICES[step.at % 2]
        held = self.rolled.get(service)
        version = (
            "v1"
            if held is None
            else next(
                (one.version for one in self.servers if one.service == service and not one.ended),
                "v1",
            )
        )
        self.servers.append(Server(self, len(self.servers) + 1, service, version))

    def _traffic(self) -> None:
        """Requests for services under a roll-out, at every front that takes them; a few for the
        others."""
        for vane in self.vanes.values():
            process = vane.box.process
            if process is None or vane.front is None or not vane.front.is_ready:
                continue
            for service in SERVICES:
                held = self.rolled.get(service)
                if (
                    held is not None and (not held["over"] or self.chance.random() < 0.1)
                ) or self.chance.random() < 0.05:
                    self._request(vane, process, service)
        self.time.after(ASK, self._traffic)

    def _request(self, vane: Vane, process: Process, service: str) -> None:
        self.count["request"] += 1
        headers = {
            "host": "h.example",
            "x-attempt-id": f"{self.count['request']:016x}",
            "x-time-remaining": "1500",
        }
        request = Request("GET", f"/{service}/x", headers, b"", True)
        front = vane.front
        self.checks.asked(service)
        process.turn(lambda: front.requests.handle(Slot, PendingRequest(request), request))

    def arrives(self, front: str, plant: Any, attempt: Any) -> None:
        """A front sends a request to a machine."""
        entry, now = plant.entry, self.time.now
        one = next((one for one in self.servers if one.id == entry.id), None)
        self.checks.arrived(front, entry, one)
        process = self.vanes[front].box.process
        if one is None or one.ended:
            self.time.after(
                2 * MS, lambda: process.turn(lambda: attempt.end(AttemptOutcome.CONNECT_FAILED))
            )
            return
        held = self.rolled.get(one.service)
        bad = (
            held is not None
            and not held["good"]
            and one.version == held["target"]
            and self.chance.random() < 0.5
        )
        if bad:
            self.checks.answered_badly(one.service, front)
        status = 500 if bad else 200
        response = Response(status, {"x-server-seal": "seal"}, b"ok", True)
        took = self.chance.randrange(20, 60) * MS
        self.time.at(
            now + took, lambda: process.turn(lambda: attempt.end(AttemptOutcome.COMPLETE, response))
        )

    # troubles

    def name(self, number: int) -> str:
        names = list(self.members)
        return names[number % len(names)]

    def place(self, role: str) -> str:
        """The member that is head or tail of the newest view."""
        running = [
            member.core.member for member in self.members.values() if member.core is not None
        ]
        chain = max(
            (one.status().chain for one in running if one.status().chain),
            default=(),
            key=lambda chain: max(
                one.status().epoch for one in running if one.status().chain == chain
            ),
        )
        return (chain[0] if role == "head" else chain[-1]) if chain else self.name(0)

    def touched(self, ip: str) -> None:
        if ip in self.members:
            self.touched_core(ip)
        else:
            self.touched_front(ip)

    def touched_core(self, ip: str) -> None:
        self.checks.touched_core(ip)

    def touched_front(self, ip: str) -> None:
        self.checks.touched_front(ip)

    def _kill(self, name: str, back: int, power: bool) -> None:
        member = self.members[name]
        if member.box.process is None:
            return
        self._thaw(member.box, 1)
        member.box.timers.go_on()
        member.end(power)
        self.time.after(back * MS, member.start)

    def do_core_kill(self, step: Step) -> None:
        self.met["core_kill"] += 1
        self._kill(self.name(step.number("on")), step.number("back", 300), False)

    def do_core_power(self, step: Step) -> None:
        self.met["core_power"] += 1
        self._kill(self.name(step.number("on")), step.number("back", 1500), True)

    def do_core_term(self, step: Step) -> None:
        """SIGTERM: the process hands over, and ends; SIGKILL after graceS."""
        self.met["core_term"] += 1
        name = self.name(step.number("on"))
        member = self.members[name]
        process, core, until = (
            member.box.process,
            member.core,
            self.time.now + MARGINS["graceS"] * SECOND,
        )
        self.touched_core(name)
        if process is None:
            return
        process.turn(core.leave)

        def look() -> None:
            if member.box.process is process:
                if core.over.is_set() or self.time.now >= until:
                    self._kill(name, step.number("back", 300), False)
                else:
                    self.time.after(POLL, look)

        look()

    def do_herd_kill(self, step: Step) -> None:
        self._herd("herd_kill", step, False)

    def do_herd_power(self, step: Step) -> None:
        self._herd("herd_power", step, True)

    def _herd(self, kind: str, step: Step, power: bool) -> None:
        self.met[kind] += 1
        wiped = self.name(step.number("on"))
        may = step.number("wipe") and self.checks.may_wipe(wiped)
        for name in self.members:
            self._kill(
                name,
                step.number("back", 500) + self.chance.randrange(step.number("apart") + 1),
                power,
            )
        if may:
            self._wipe(wiped)

    def do_wipe(self, step: Step) -> None:
        name = self.name(step.number("on"))
        if self.checks.may_wipe(name):
            self.met["wipe"] += 1
            self._kill(name, step.number("back", 300), True)
            self._wipe(name)

    def _wipe(self, name: str) -> None:
        self.count["wiped"] += 1
        self.members[name].box.disk.held.clear()
        self.checks.wiped(name)

    def do_after_ack(self, step: Step) -> None:
        self.met["after_ack"] += 1
        self.due.append(
            lambda: self.time.after(step.number("late") * MS, lambda: self._strike(step))
        )
        self.config(self.next(), 3)

    def do_after_sent(self, step: Step) -> None:
        self.met["after_sent"] += 1
        self.config(self.next(), 3)
        self.time.after(step.number("late") * MS, lambda: self._strike(step))

    def _strike(self, step: Step) -> None:
        how, back = step.get("how"), step.number("back", 500)
        if how in ("herd_kill", "herd_power"):
            for name in self.members:
                self._kill(name, back + self.chance.randrange(200), how == "herd_power")
        elif how in ("head", "tail"):
            self._kill(self.place(how), back, bool(back % 2))
        else:
            name = self.name(step.number("on"))
            if self.checks.may_wipe(name):
                if how == "wipe_power":
                    for other in self.members:
                        self._kill(other, back + self.chance.randrange(200), True)
                self._kill(name, back, True)
                self._wipe(name)

    def _cut(self, pairs: list[tuple[str, str]], span: int) -> None:
        pairs = [pair for pair in dict.fromkeys(pairs) if pair[0] != pair[1]]
        ends = {name for pair in pairs for name in pair}
        self.net.part(pairs, True)
        cuts = self.net.cuts

        def heal() -> None:
            if self.net.cuts is cuts and all(self.net.cuts.get(pair) for pair in pairs):
                self.net.part(pairs, False)
            for name in ends:
                if name in self.net.boxes:
                    self.touched(name)

        for name in ends:
            if name in self.net.boxes:
                self.touched(name)
        self.time.after(span * MS, heal)

    def do_core_cut(self, step: Step) -> None:
        how, me = step.get("how", "both"), self.name(step.number("on"))
        self.met[f"core_cut_{how}"] += 1
        others = [name for name in self.members if name != me]
        out, back = [(me, other) for other in others], [(other, me) for other in others]
        if how == "pair":
            other = self.name(step.number("other"))
            pairs = [(me, other), (other, me)]
        elif how == "group":  # it and the fronts of its zone, with the rest on the other side
            near = {
                me,
                *(ip for ip, vane in self.vanes.items() if vane.zone == self.members[me].zone),
            }
            rest = [ip for ip in (*self.members, *self.vanes) if ip not in near]
            pairs = [
                pair for one in near for other in rest for pair in ((one, other), (other, one))
            ]
        else:
            pairs = {"out": out, "in": back}.get(how, out + back)
        self._cut(pairs, step.number("span", 2000))

    def do_node_cut(self, step: Step) -> None:
        self.met["node_cut"] += 1
        names, members, how = list(self.vanes), list(self.members), step.get("how", "both")
        me = names[step.number("on") % len(names)]
        if how == "some":
            members = members[: max(1, len(members) // 2)]
        out, back = [(me, other) for other in members], [(other, me) for other in members]
        self._cut({"out": out, "in": back}.get(how, out + back), step.number("span", 2000))

    def do_lossy(self, step: Step) -> None:
        self.met["lossy"] += 1
        part = self.net.lossy[("", "")] = step.number("part") / 100

        def end() -> None:
            if self.net.lossy.get(("", "")) == part:
                del self.net.lossy[("", "")]

        self.time.after(step.number("span") * MS, end)

    def do_reset(self, step: Step) -> None:
        """All connections of a member are reset."""
        self.met["reset"] += 1
        name = self.name(step.number("on"))
        process = self.members[name].box.process
        self.touched_core(name)
        if process is not None:
            for end in list(process.ends):
                end.vanish(True)
                end._end(ConnectionResetError("reset"))

    def _disk(self, step: Step, mode: str) -> None:
        name = self.name(step.number("on"))
        self.met[step.kind] += 1
        disk = self.members[name].box.disk
        disk.mode = mode
        self.touched_core(name)

        def well() -> None:
            disk.mode = "well"
            self.touched_core(name)

        self.time.after(step.number("span") * MS, well)

    def do_disk_slow(self, step: Step) -> None:
        self._disk(step, "slow")

    def do_disk_hangs(self, step: Step) -> None:
        self._disk(step, "hangs")

    def do_disk_refuses(self, step: Step) -> None:
        self._disk(step, "refuses")

    def do_disk_rots(self, step: Step) -> None:
        """A record on its disk is no longer what was written; if it starts so, the disk counts as
        lost."""
        name = self.name(step.number("on"))
        disk = self.members[name].box.disk
        if disk.held and self.checks.may_wipe(name):
            self.met["disk_rots"] += 1
            disk.rotten.add(sorted(disk.held)[step.number("pick") % len(disk.held)])
            self.checks.wiped(name)

    def _freeze(self, box: Box, span: int, timers: int, clock: bool = False) -> None:
        process = box.process
        if process is None or process.frozen:
            return
        process.frozen = True
        if clock:
            box.timers.stop()
        self.touched(box.ip)

        def thaw() -> None:
            box.timers.go_on()
            if box.process is process:
                self._thaw(box, timers)

        self.time.after(span * MS, thaw)

    def _thaw(self, box: Box, timers: int) -> None:
        if box.process is not None and box.process.frozen:
            box.process.thaw(bool(timers))
            self.touched(box.ip)

    def do_freeze(self, step: Step) -> None:
        self.met["freeze"] += 1
        box = self.members[self.name(step.number("on"))].box
        self._freeze(box, step.number("span"), step.number("timers"), bool(step.number("clock")))

    def do_slow(self, step: Step) -> None:
        self.met["slow"] += 1
        name = self.name(step.number("on"))
        process = self.members[name].box.process
        if process is None:
            return
        process.pace = step.number("pace")
        self.touched_core(name)

        def well() -> None:
            process.pace = 0
            self.touched_core(name)

        self.time.after(step.number("span") * MS, well)

    def do_clock_step(self, step: Step) -> None:
        self.met["clock_step"] += 1
        name = self.name(step.number("on"))
        self.members[name].box.clock.wall_offset += step.number("by") * MS
        self.touched_core(name)

    def _vane(self, step: Step) -> Vane:
        names = list(self.vanes)
        return self.vanes[names[step.number("on") % len(names)]]

    def do_front_kill(self, step: Step) -> None:
        self.met["front_kill"] += 1
        vane = self._vane(step)
        if vane.box.process is not None:
            vane.end()
            self.time.after(step.number("span", 500) * MS, vane.start)

    def do_front_term(self, step: Step) -> None:
        self.met["front_term"] += 1
        vane = self._vane(step)
        process = vane.box.process
        self.touched_front(vane.box.ip)
        if process is not None and vane.front is not None and not process.frozen:
            process.turn(vane.front.drain)

            def end() -> None:
                if vane.box.process is process:
                    vane.end()
                    self.time.after(300 * MS, vane.start)

            self.time.after(5 * SECOND, end)

    def do_front_freeze(self, step: Step) -> None:
        self.met["front_freeze"] += 1
        self._freeze(self._vane(step).box, step.number("span", 1000), 1)
