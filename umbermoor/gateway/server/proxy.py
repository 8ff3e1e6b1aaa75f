"""The vane's host: clients' connections, machines' connections, news from the core, clocks and
signals."""

import asyncio
import gc
import json
import os
import random
import signal
import time
from typing import Any

from umbermoor.gateway.balancing.attempt_outcomes import (
    NOT_EXECUTED,
    AttemptOutcome,
    ConnectionEvent,
)
from umbermoor.gateway.balancing.instance import Instance
from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.balancing.request import (
    RESPONSE_MARGIN_US,
    Relay,
    RequestLifecycle,
    RequestState,
    Respond,
    Wait,
)
from umbermoor.gateway.balancing.retry_budget import RetryBudget
from umbermoor.gateway.config.errors import ValidationError
from umbermoor.gateway.config.node_settings import NodeSettings, read_node_settings
from umbermoor.gateway.distribution.deltas import apply_delta, text_digest
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.membership.failure_detector import FailureDetector
from umbermoor.gateway.rollout.observer import RolloutObserver
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX
from umbermoor.gateway.routing.route_table import Route, RouteTable
from umbermoor.gateway.server import datagrams
from umbermoor.gateway.server.client_connection import ClientLine, relieve, request_bytes
from umbermoor.gateway.server.connections import Attempt, Pool
from umbermoor.gateway.server.events import event, watch
from umbermoor.gateway.server.peer_transport import PeerConnection, PeerTransport
from umbermoor.gateway.server.readiness import ReadyLine
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Request, Response

SECOND = 1_000_000
TICK = 0.05  # s
STILL = SECOND // 2  # us: a longer time between two ticks: frozen, or starved
OVERTIME = 0.1  # s: an answer at the last moment may still be on its way
WAY = 10_000  # us: taken off what a client says it waits, for the way there and back
FIRST = 3 * SECOND  # us: ready without any machine known, where none came within this
LINGER = 2.6  # s: after SIGTERM until idle connections are closed; the platform looks once a second
BODY_MOST = 8 << 20  # bytes of a request's body: it is held whole until it is handed to a machine


class Going:
    """A request under way: what the state machine does not hold."""

    __slots__ = "lifecycle", "line", "number", "out", "request", "route", "slot", "timer"

    def __init__(
        self,
        line: ClientLine,
        slot: list,
        request: Request,
        route: Route,
        lifecycle: RequestLifecycle,
    ) -> None:
        self.line, self.slot, self.request, self.route, self.lifecycle = (
            line,
            slot,
            request,
            route,
            lifecycle,
        )
        self.timer: asyncio.TimerHandle | None = None
        self.number = 0
        self.out: dict[int, Attempt] = {}


class Front:
    def __init__(self, settings: NodeSettings, chance: random.Random, path: str = "") -> None:
        """`path` of the settings file, to be read again when it changes; "" never."""
        self.settings, self.chance, self.path, self.changed = settings, chance, path, _changed(path)
        self.failure_detector = FailureDetector(settings.ip, time.time_ns() // 1000, chance)
        self.text = ""  # of the configuration in force, as the operator sent it
        self.stages: dict[str, tuple] = {}  # of roll-outs, as last logged
        self.clock = time.monotonic
        self.instances, self.rollouts, self.routes = (
            Instances(settings.zone),
            RolloutObserver(),
            None,
        )
        self.buffers = Buffers(settings.memory_mb << 20)
        self.pool = Pool(self.buffers, self.clock, self.may)
        self.pulls = Subscriber([seed.rpartition(":")[0] for seed in settings.seeds])
        self.pulls.salt = chance.getrandbits(32)
        self.post = PeerTransport(settings.ip, settings.port_range[0], self.receive, self.lost)
        self.lines: set[ClientLine] = set()
        self.going: dict[int, Going] = {}  # by id of its slot
        self.budgets: dict[str, RetryBudget] = {}
        self.leaving, self.ready, self.started = False, False, self.now()
        self.ticked = self.started
        self.keep_s, self.idle_s, self.head_s, self.body_most = 10, 15.0, 3.0, BODY_MOST
        self.ended = asyncio.Event()
        self.counts: dict[str, int] = {}

    def now(self) -> int:
        return round(self.clock() * SECOND)

    # Requests

    def came(self, line: ClientLine, slot: list, request: Request) -> None:
        """A request was read whole, and it is its turn."""
        now, routes = self.now(), self.routes
        if routes is None:
            line.told(slot, 503, b"", {"retry-after": "0.3"})
            return
        route = routes.find(request.headers.get("host", ""), request.target.partition("?")[0])
        if route is None:
            line.told(slot, 404, b"", {})
            return
        if not request.headers.get("x-attempt-id"):  # no answer could be known as its own
            line.told(slot, 400, b"", {})
            return
        told = request.headers.get("x-time-remaining", "")
        left = int(told) * 1000 - WAY if told.isdecimal() and len(told) < 9 else route.timeout_us
        service = route.service_for(self.chance.random())
        lifecycle = RequestLifecycle(
            service, route.idempotent, route.max_attempts, now + min(left, route.timeout_us)
        )
        going = self.going[id(slot)] = Going(line, slot, request, route, lifecycle)
        self.retry_budget(service).request_arrived(now)
        self.rollouts.request_received(now, service)
        self.go(going)

    def may_repeat(self, request: Request) -> bool:
        """Whether it may be worked at while requests before it on its connection are."""
        route = self.routes and self.routes.find(
            request.headers.get("host", ""), request.target.partition("?")[0]
        )
        return route is None or route.idempotent

    def may(self, instance: Instance) -> bool:
        """The gate right before every send."""
        now = self.now()
        return self.instances.is_listed(instance) and self.rollouts.may_send(
            now, instance.entry.service, instance.entry.revision
        )

    def retry_budget(self, service: str) -> RetryBudget:
        held = self.budgets.get(service)
        if held is None:
            margin = self.settings.margin
            held = self.budgets[service] = RetryBudget(
                margin("retryRatio", 0.2), self.settings.margin_us("retryWindowS", 10)
            )
        return held

    def go(self, going: Going) -> None:
        """Carries out what the request's state machine wants next."""
        now, lifecycle = self.now(), going.lifecycle
        while lifecycle.may_attempt(now):
            second = lifecycle.is_retry()
            retry_budget = self.retry_budget(lifecycle.service)
            if second and retry_budget.available(now) < 1:
                lifecycle.give_up_hedging()
                break
            instance = self.choose(now, lifecycle, second)
            if instance is None or (instance.id in lifecycle.tried and lifecycle.in_flight):
                lifecycle.give_up_hedging()
                break
            if second:
                retry_budget.try_spend(now)
            self.hand(now, going, instance)
        if going.out and now >= lifecycle.deadline - RESPONSE_MARGIN_US:
            self.take_back(going)
            if lifecycle.state is RequestState.FINISHED:
                return
        step = lifecycle.next_step(now)
        if going.timer is not None:
            going.timer.cancel()
            going.timer = None
        if isinstance(step, Wait):
            going.timer = asyncio.get_running_loop().call_later(
                max(0, step.until - now) / SECOND, self.go, going
            )
        elif isinstance(step, Relay):
            response: Response = step.response
            self.finish(going, response.status, response.body, response.headers)
        elif isinstance(step, Respond):
            self.finish(
                going,
                step.status,
                b"",
                {} if step.retry_after_s is None else {"retry-after": f"{step.retry_after_s:g}"},
            )

    def choose(self, now: int, lifecycle: RequestLifecycle, second: bool) -> Instance | None:
        """The version's turn by the roll-out's share, then the machine within it."""
        rollouts, service, chance = self.rollouts, lifecycle.service, self.chance.random
        side = rollouts.choose_version(now, service, chance(), second)
        if side is None:
            return None
        wait = lifecycle.deadline - now
        only = rollouts.trial_instances(now, service) if side == rollouts.target(service) else ()
        instance = self.instances.choose(now, service, side, only, lifecycle.tried, chance, wait)
        return (
            instance
            or (
                only
                and self.instances.choose(now, service, side, (), lifecycle.tried, chance, wait)
            )
            or None
        )

    def hand(self, now: int, going: Going, instance: Instance) -> None:
        lifecycle = going.lifecycle
        going.number += 1
        number, anew = going.number, instance.id in lifecycle.tried
        usual = self.instances.service_time_us(lifecycle.service, 100_000.0)
        lifecycle.attempt_started(
            now, number, instance, round(4 * usual * instance.relative_service_time)
        )
        instance.attempt_started(now)
        self.rollouts.attempt_sent(now, lifecycle.service, instance.entry.revision)
        data = request_bytes(going.request, instance.id, max(1, (lifecycle.deadline - now) // 1000))
        attempt = Attempt(
            data,
            going.request.headers.get("x-attempt-id", ""),
            lambda outcome, response: self.attempt_ended(
                going, number, instance, now, outcome, response
            ),
            going.request.method == "HEAD",
            anew,
        )
        going.out[number] = attempt
        self.pool.start(instance, attempt, not lifecycle.idempotent)

    def attempt_ended(
        self,
        going: Going,
        number: int,
        instance: Instance,
        sent: int,
        outcome: AttemptOutcome,
        response: Response | None,
    ) -> None:
        now, instances = self.now(), self.instances
        going.out.pop(number, None)
        instance.attempt_ended()
        if response is not None and (load := response.headers.get("x-load-level")):
            instance.load_reported(now, load)
        status = response.status if response is not None else 0
        if outcome is AttemptOutcome.COMPLETE and status < 500:
            instances.responded(now, instance, now - sent)
        elif outcome is AttemptOutcome.REJECTED:
            instance.rejected(now)
        elif outcome is AttemptOutcome.MISDIRECTED:
            instances.misdirected(instance)
            self.pool.drop(instance)
        elif outcome is AttemptOutcome.COMPLETE:
            instance.last_response_at = now
        elif outcome is not AttemptOutcome.CANCELLED:
            instance.ejection.failure(now, outcome is AttemptOutcome.CONNECT_FAILED)
        entry, unrun = instance.entry, outcome in NOT_EXECUTED
        self.rollouts.attempt_ended(
            now,
            entry.service,
            entry.revision,
            instance.id,
            instance.listed_at,
            now - sent <= going.route.latency_target_us,
            outcome is not AttemptOutcome.COMPLETE or status >= 500,
            number > 1 or unrun,
        )
        self.counts[outcome.value] = self.counts.get(outcome.value, 0) + 1
        going.lifecycle.attempt_ended(number, outcome, response)
        if going.lifecycle.state is not RequestState.FINISHED:
            self.go(going)

    def finish(self, going: Going, status: int, body: bytes, headers: dict[str, str]) -> None:
        going.lifecycle.finish()
        if going.timer is not None:
            going.timer.cancel()
        self.going.pop(id(going.slot), None)
        self.leave_out(going)
        key = f"s{status}"
        self.counts[key] = self.counts.get(key, 0) + 1
        going.line.told(going.slot, status, body, headers)

    def leave_out(self, going: Going) -> None:
        """Attempts that are out when a request ends may go on until its time is over, and no
        longer: of a machine that went dark nothing comes, not even an end."""
        if going.out:
            self.take_back(going)
        if going.out:
            left = max(0, going.lifecycle.deadline - self.now()) / SECOND + OVERTIME
            asyncio.get_running_loop().call_later(left, self.give_up, going)

    def take_back(self, going: Going) -> None:
        """Attempts of which nothing was written end here: they are proved not to run."""
        for attempt in list(going.out.values()):
            attempt.meet(ConnectionEvent.CANCELLED)

    def give_up(self, going: Going) -> None:
        for attempt in list(going.out.values()):
            attempt.meet(ConnectionEvent.DEADLINE_EXCEEDED)

    def client_left(self, slot: list) -> None:
        """Its connection is gone: what it asked is not sent anywhere else."""
        going = self.going.pop(id(slot), None)
        if going is not None:
            going.lifecycle.finish()
            if going.timer is not None:
                going.timer.cancel()
            self.leave_out(going)

    # News

    def receive(self, line: PeerConnection, message: dict[str, Any]) -> None:
        kind, now = message.get("kind"), self.now()
        if kind == "news":
            self.look(now)
            heard = self.pulls.receive_update(now, line.peer, message)
            if heard is None:
                return
            for instance in self.instances.update(now, heard.instances):
                self.pool.drop(instance)
            if heard.confirmed:
                self.rollouts.confirm(now)
            for key, record in heard.records.items():
                if key.startswith(ROLLOUT_KEY_PREFIX):
                    service = key[len(ROLLOUT_KEY_PREFIX) :]
                    self.rollouts.apply_record(now, service, record, heard.confirmed)
                    stage = record["state"], record["target"], record["stage"]
                    if self.stages.get(key) != stage:
                        self.stages[key] = stage
                        event(
                            "rollout",
                            service=service,
                            state=stage[0],
                            target=stage[1],
                            stage=stage[2],
                        )
            for service in self.instances.changed_services:
                if heard.confirmed and ROLLOUT_KEY_PREFIX + service not in self.pulls.records:
                    self.rollouts.apply_record(now, service, None)
                self.rollouts.update_instances(
                    now,
                    service,
                    [
                        (one.id, one.entry.revision, one.listed_at)
                        for one in self.instances.judged_by_rollout(service)
                    ],
                )
            self.instances.changed_services.clear()
            self.failure_detector.discovered(
                now, [one for one in message.get("fronts", ()) if isinstance(one, str)]
            )
            if heard.wants_body:
                self.post.send(line.peer, self.pulls.make_pull(now, line.peer))
        elif kind == "body" and line.peer in self.pulls.sources:
            self.configured(message)

    def configured(self, message: dict[str, Any]) -> None:
        """The body of a configuration: in force from now on, if it is newer than what is."""
        text = message.get("text")
        if (change := message.get("delta")) is not None:
            try:
                digest, base, made = change
                if digest == self.pulls.base_digest != "":  # it came from another member before
                    return
                text = (
                    apply_delta(self.text, made, digest)
                    if base == self.pulls.base_digest != ""
                    else None
                )
            except (TypeError, ValueError):
                text = None
            if text is None:
                event("garbled", what="change of a configuration", why="it does not come out")
                self.pulls.discard_base()
                return
        try:
            body = json.loads(text)
            if self.routes is not None and int(body["revision"], 16) <= self.routes.revision:
                return
            routes = RouteTable(body)
        except (
            KeyError,
            TypeError,
            ValueError,
        ) as error:  # a member checked it: whoever sent this is no member
            event("garbled", what="configuration", why=error)
            return
        self.routes, self.text = routes, text
        self.pulls.base_digest = text_digest(text)
        self.pulls.revision = max(self.pulls.revision, routes.revision)
        limits = routes.client_limits
        self.idle_s, self.head_s = (
            limits.idle_timeout_us / SECOND + 1.0,
            limits.header_timeout_us / SECOND,
        )
        self.body_most = min(BODY_MOST, limits.body_bytes)
        self.keep_s = max(1, round(limits.idle_timeout_us / SECOND) - 1)
        event("configured", revision=routes.revision_text, source="news")

    def lost(self, line: PeerConnection) -> None:
        if line.peer in self.pulls.sources:
            self.pulls.pull_failed(self.now(), line.peer)

    # Clocks

    def look(self, now: int) -> None:
        """Finds out that time has passed in which this process did not run: messages may come
        before the next tick."""
        if now - self.ticked > STILL:
            self.pulls.mark_stalled()
        self.ticked = now

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        watch(loop)
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.read_again)
        await self.post.listen()
        membership = await datagrams.listen(
            self.failure_detector, self.settings.ip, self.settings.port_range[0], self.now
        )
        host, port = self.settings.listen["ready"]
        await loop.create_server(
            lambda: ReadyLine(lambda: self.ready and not self.leaving), host, port
        )
        host, port = self.settings.listen["front"]
        server = await loop.create_server(lambda: ClientLine(self), host, port, backlog=512)
        gc.collect()
        gc.freeze()
        ticking = loop.create_task(self.ticks())
        over = loop.create_task(self.ended.wait())
        await asyncio.wait((over, ticking), return_when=asyncio.FIRST_COMPLETED)
        if (
            ticking.done()
        ):  # a broken invariant: it ends with status 1, and is started again in a clean state
            over.cancel()
            ticking.result()
        membership.leave()
        await self.part(server)
        ticking.cancel()
        membership.close()
        event("end", **self.counts)

    async def ticks(self) -> None:
        told = 0.0
        while True:
            now = self.now()
            self.look(now)
            for name in self.pulls.due_pulls(now):
                self.post.send(name, self.pulls.make_pull(now, name))
            if self.pulls.head and (reports := self.rollouts.reports(now)):
                self.post.send(self.pulls.head, {"kind": "reports", "reports": reports})
            if not self.ready:
                self.ready = (
                    self.routes is not None
                    and self.pulls.newest_revision <= self.pulls.revision
                    and self.pulls.confirmed_since(self.started)
                    and (bool(self.instances.by_id) or now - self.started > FIRST)
                )
                if self.ready:
                    event(
                        "ready",
                        machines=len(self.instances.by_id),
                        revision=self.routes.revision_text,
                    )
            clock = self.clock()
            if clock - told >= 1:
                told = clock
                self.pool.sweep()
                for id in self.pulls.forget_departed(now):
                    self.instances.forget(id)
                if _changed(self.path) != self.changed:
                    self.read_again()
                slack, fronts = (
                    self.settings.margin("retrySlack", 0.0),
                    self.failure_detector.member_count(),
                )
                for retry_budget in self.budgets.values():
                    retry_budget.share_slack(now, slack, fronts)
                for line in list(self.lines):
                    line.sweep(clock, self.head_s, self.idle_s)
                if broken := relieve(self.lines, self.settings.memory_mb << 17):
                    event("unread", broken=broken)
            await asyncio.sleep(TICK)

    def read_again(self) -> None:
        """The settings file changed. What is wrong with it is logged, and the one held stays in
        force."""
        self.changed = _changed(self.path)
        settings = read_node_settings(self.path)
        if isinstance(settings, ValidationError):
            event("garbled", what="settings", why=settings)
            return
        self.settings = settings
        for retry_budget in self.budgets.values():
            retry_budget.set_ratio(settings.margin("retryRatio", 0.2))
        for seed in settings.seeds:
            self.pulls.add_seed(seed.rpartition(":")[0])
        event("settings", seeds=",".join(settings.seeds))

    def leave(self) -> None:
        if not self.leaving:
            self.leaving = True
            event("leaving", under_way=len(self.going))
            self.ended.set()

    async def part(self, server: asyncio.Server) -> None:
        """Not ready at once; new connections until the platform has seen that; then what is under
        way ends."""
        until = self.clock() + LINGER
        while self.clock() < until:
            await asyncio.sleep(0.1)
        server.close()
        most = self.clock() + self.settings.margin("graceS", 6.0) - LINGER - 0.7
        while self.clock() < most:
            for line in list(self.lines):
                if not line.row and not line.reader.midway and not line.ended:
                    line.transport.close()
            if not self.lines:
                return
            await asyncio.sleep(0.05)


def _changed(path: str) -> tuple[int, int]:
    """What tells one state of a file from another."""
    try:
        stat = os.stat(path)
    except OSError:
        return 0, 0
    return stat.st_mtime_ns, stat.st_size


async def serve(settings: NodeSettings, path: str = "") -> None:
    """Runs a vane until it is told to end."""
    await Front(settings, random.Random(), path).serve()
