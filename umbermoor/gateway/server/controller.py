"""The barograph's host: calls of machines and operators by HTTP, messages of members and fronts,
the disk, clocks."""

import asyncio
import gc
import json
import random
import signal
import time
from collections.abc import Generator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from umbermoor.gateway.api.decisions import (
    CONFIG_KEY,
    configuration_digest_in_steps,
    configuration_record,
    decide_write,
)
from umbermoor.gateway.api.http_api import (
    ApiRequest,
    ApiResponse,
    HttpApi,
    api_call,
    error_response,
    json_response,
)
from umbermoor.gateway.config.configuration import check_in_steps, decode
from umbermoor.gateway.config.errors import ValidationError
from umbermoor.gateway.config.node_settings import NodeSettings
from umbermoor.gateway.discovery.registry import (
    DRAINING,
    READY,
    SILENT,
    STATE_NAMES,
    InstanceRecord,
    InstanceRegistry,
    record_from_heartbeat,
    record_from_wire,
)
from umbermoor.gateway.distribution.deltas import DeltaChannel
from umbermoor.gateway.distribution.publisher import Publisher
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.effects import CallResult, Decision, Effect, Outcome, Send, Status, Write
from umbermoor.gateway.replication.anti_entropy import DigestComparison
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.replication.store import Store
from umbermoor.gateway.rollout.admission import judge_begin, order_request, stage_write
from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX
from umbermoor.gateway.server.events import event, watch
from umbermoor.gateway.server.peer_transport import PeerConnection, PeerTransport, encode_frame

SECOND = 1_000_000
CLOCK = getattr(
    time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC
)  # runs on while the machine is suspended, where it can
TICK = 0.05  # s
FRONTS = 6  # other fronts named in an answer: enough to meet the rest by
BATCH = 0.01  # s: changes that come together are told together
HEARD = 0.7  # s: for a majority to note what may not be lost
HANDS_OVER = (
    2.0  # s: how long a member that is told to end waits at most until the chain goes on without it
)
CHANGE = 4.5  # s: a change of the members is answered by then
LATER = ApiResponse(503, b"", ((b"retry-after", b"0.2"),))
FULL = b'{"error": "the disk is full: what is held stays and is read; a smaller one may be taken"}'
SWEEP = 10 * SECOND  # us: from the end of a look at the disk to the next
STATUS = {
    Status.OK: 200,
    Status.UNAVAILABLE: 503,
    Status.CONFLICT: 409,
    Status.INVALID: 422,
    Status.NOT_FOUND: 404,
}
MACHINES = "machines"
KEY_MOST = 64  # characters of an order's key
SAVE = SECOND  # us: the list of machines is written no more often


class Core:
    def __init__(self, papers: NodeSettings, chance: random.Random) -> None:
        self.papers, self.chance = papers, chance
        self.store = Store(papers.data_dir or "", round(papers.disk_mb * 0.6) << 20)
        self.disk = ThreadPoolExecutor(1)
        seeds = [seed.rpartition(":")[0] for seed in papers.seeds]
        stored = self.store.load()
        machines = json.loads(stored.pop(MACHINES, b"[]"))
        if (
            self.store.lost
        ):  # a disk that can't be believed is one that was lost, and no new system's
            event("disk_lost", why=self.store.lost)
        cold = papers.cold_start and not self.store.lost
        self.member = Replica(
            papers.ip,
            seeds,
            papers.tolerated_machine_losses,
            cold,
            stored,
            decide_write,
            chance,
            papers.zone,
            papers.quorum_member,
        )
        self.registry = InstanceRegistry(chance.getrandbits(40) | 1, papers.heartbeat_interval_us)
        for entry in filter(None, map(record_from_wire, machines)):
            self.registry.observe(self.now(), entry)
        self.compare = DigestComparison()
        self.sweeps, self.mended, self.swept_at, self.sweeping = 0, 0, self.now(), False
        self.saved, self.saved_at, self.saving = self.registry.durable_sequence, 0, False
        self.pulls = Subscriber(seeds, papers.ip)
        self.publisher, self.rollouts, self.learnt = Publisher(), RolloutCoordinator(), (0, 0)
        self.post = PeerTransport(papers.ip, papers.port_range[0], self.receive, self.lost)
        self.asks: dict[int, asyncio.Future] = {}
        self.heards: dict[int, tuple[set[str], asyncio.Event]] = {}
        self.number = chance.getrandbits(
            40
        )  # an answer to an earlier life's question is none to this one's
        self.telling = False
        self.records: dict[str, Any] = {}  # what is committed beside the configuration,
        self.changed: dict[
            str, tuple[int, int]
        ] = {}  # since when each of it is as it is, at the latest,
        self.pressing = (0, 0)  # and since when all of it
        self.leaving = 0  # until when it hands over, once it is told to end
        self.bodies: dict[
            str, bytes
        ] = {}  # frames of the newest configuration, by the base they stand on
        self.bodies_of = 0  # its revision
        self.carrier = DeltaChannel()
        self.texts = self.carrier.packer.texts
        if held := self.member.stored(CONFIG_KEY):
            self.texts.add(held["text"])
        self.over = asyncio.Event()

    def now(self) -> int:
        return round(time.clock_gettime(CLOCK) * SECOND)

    def connected(self) -> bool:
        """Whether a majority proved contact within the lease."""
        return self.member.connected_at(self.now())

    # Calls

    @api_call("POST", "/Config.Replace")
    async def replace(self, ask: ApiRequest) -> ApiResponse:
        body = decode(ask.body)
        if isinstance(body, ValidationError):
            return error_response(400, str(body))
        fault = await self.slowly(check_in_steps(body))
        if fault is not None:
            event("refused", what="configuration", why=str(fault))
            return error_response(400, str(fault))
        value = configuration_record(
            int(body["revision"], 16),
            ask.body.decode(),
            await self.slowly(configuration_digest_in_steps(body)),
        )
        answer = await self.ask(lambda now, number: self.member.put(now, number, CONFIG_KEY, value))
        event(
            "taken" if answer.status is Status.OK else "untaken",
            what="configuration",
            revision=body["revision"],
            code=answer.status.value,
            **self.outcome(answer),
        )
        if answer.status is Status.UNAVAILABLE and self.store.full:
            return ApiResponse(503, FULL, LATER.headers)
        return self.told(answer)

    @staticmethod
    async def slowly(steps: Generator[None, None, Any]) -> Any:
        """The end of a work in steps, with room for others between them."""
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value
            await asyncio.sleep(0)

    @staticmethod
    def outcome(answer: CallResult) -> dict[str, Any]:
        """For the log."""
        return {"outcome": answer.value.outcome.value} if isinstance(answer.value, Decision) else {}

    @staticmethod
    def told(answer: CallResult) -> ApiResponse:
        """What an order's caller is told."""
        if answer.status is Status.OK:
            return ApiResponse(200)
        if answer.status is Status.UNAVAILABLE:
            return LATER
        return error_response(
            STATUS[answer.status],
            answer.value.reason if isinstance(answer.value, Decision) else answer.status.value,
        )

    @api_call("GET", "/Config.Read")
    async def config(self, ask: ApiRequest) -> ApiResponse:
        answer = await self.ask(self.member.read)
        if answer.status is not Status.OK:
            return LATER
        held = answer.value.get(CONFIG_KEY)
        if held is None:
            return error_response(404, "no configuration yet")
        return ApiResponse(200, held["text"].encode(), ((b"content-type", b"application/json"),))

    @api_call("POST", "/Plants.Heartbeat/")
    async def beat(self, ask: ApiRequest) -> ApiResponse:
        try:
            body = ask.json()
        except (ValueError, RecursionError):
            return error_response(400, "a beat is JSON")
        entry = record_from_heartbeat(ask.name, body)
        if isinstance(entry, str):
            return error_response(400, entry)
        if not self.connected():
            return LATER
        known = self.registry.records.get(entry.id)
        if self.registry.observe(self.now(), entry):
            self.tell_soon()
        if entry.state == DRAINING or known is None:
            if not await self.note(self.registry.records.get(entry.id, entry)):
                return LATER
        return ApiResponse(200)

    @api_call("POST", "/Plants.Leave/")
    async def gone(self, ask: ApiRequest) -> ApiResponse:
        entry = self.registry.mark_gone(self.now(), ask.name)
        self.tell_soon()
        return ApiResponse(200) if self.connected() and await self.note(entry) else LATER

    @api_call("POST", "/Rollouts.Begin")
    async def begin(self, ask: ApiRequest) -> ApiResponse:
        try:
            body = ask.json()
            service, target, ramp, key = (
                body["service"],
                body["target"],
                body["rampS"],
                body.get("key", ""),
            )
        except (ValueError, RecursionError, TypeError, KeyError, AttributeError) as error:
            return error_response(400, f"a roll-out names service, target and rampS: {error}")
        if (
            not isinstance(service, str)
            or not 0 < len(service) <= 200
            or not isinstance(target, str)
        ):
            return error_response(400, "service, target: not texts")
        if not isinstance(key, str) or len(key) > KEY_MOST:
            return error_response(400, f"key: not a text of {KEY_MOST} characters at most")
        if (
            not target
            or isinstance(ramp, bool)
            or not isinstance(ramp, (int, float))
            or not 0 < ramp < float("inf")
        ):
            return error_response(422, "target: empty, or rampS: not a number above 0")
        present = sorted(
            {
                entry.revision
                for entry in self.registry.records.values()
                if entry.service == service and entry.state in (READY, SILENT)
            }
        )
        order = order_request(target, ramp, present, key)
        # A head of the earlier revision takes what is beside `begin` where it is newer than what
        # stands: so it is what this member's own copy makes of the order: the record itself, where
        # the order changes nothing.
        last = self.member.committed.get(ROLLOUT_KEY_PREFIX + service)
        own = judge_begin(last, order, lambda: True)
        if own.outcome is Outcome.CONFLICT and not self.member.head_decides:
            return (
                error_response(STATUS[Status.CONFLICT], own.reason) if self.connected() else LATER
            )
        value = (own.value or last) | {"begin": order}
        answer = await self.ask(
            lambda now, number: self.member.put(now, number, ROLLOUT_KEY_PREFIX + service, value)
        )
        event(
            "begin",
            service=service,
            target=target,
            ramp_s=ramp,
            code=answer.status.value,
            **self.outcome(answer),
        )
        return self.told(answer)

    @api_call("GET", "/Rollouts.Read/")
    async def rollout(self, ask: ApiRequest) -> ApiResponse:
        answer = await self.ask(self.member.read)
        if answer.status is not Status.OK:
            return LATER
        record = answer.value.get(ROLLOUT_KEY_PREFIX + ask.name)
        if record is None:
            return error_response(404, f"no roll-out of {ask.name}")
        return json_response(200, {"state": record["state"], "target": record["target"]})

    @api_call("GET", "/Story")
    async def story(self, ask: ApiRequest) -> ApiResponse:
        return json_response(
            200,
            {
                **self.member.status().to_json(),
                "machines": len(self.registry.records),
                "connected": self.member.connected,
                "pulls": len(self.publisher.waiting),
                "name": self.papers.name,
                "everyone": list(self.member.member_names),
                "lacks": self.carrier.lacks,
                "disk": {
                    "bytes": self.store.used(),
                    "most": self.store.size,
                    "full": self.store.full,
                    "sweeps": self.sweeps,
                    "mended": self.mended,
                },
                "compared": self.compare.compared,
                "differing": sorted(self.compare.differing),
            },
        )

    @api_call("GET", "/Machines")
    async def machines(self, ask: ApiRequest) -> ApiResponse:
        """What this member knows of the machines, by id; `heardS`: how long since it last changed
        here."""
        now, registry = self.now(), self.registry
        return json_response(
            200,
            {
                "machines": {
                    one.id: {
                        "service": one.service,
                        "address": one.address,
                        "zone": one.zone,
                        "revision": one.revision,
                        "capacity": one.capacity,
                        "state": STATE_NAMES[one.state],
                        "heardS": round((now - registry.last_changed_at(one.id)) / SECOND, 3),
                    }
                    for one in registry.records.values()
                }
            },
        )

    @api_call("GET", "/Members")
    async def members(self, ask: ApiRequest) -> ApiResponse:
        """Who counts, who is in the chain, who could be taken in."""
        member, story = self.member, self.member.status()
        return json_response(
            200,
            {
                "set": story.set_number,
                "members": list(story.members),
                "chain": list(story.chain),
                "learners": {name: name in member.learners() for name in story.learners},
                "thin": story.degraded,
                "bear": self.papers.tolerated_machine_losses,
                "connected": member.connected,
            },
        )

    @api_call("POST", "/Members.Change")
    async def change(self, ask: ApiRequest) -> ApiResponse:
        """One more member (`add`), one fewer (`remove`), or one in the place of another; `dry`:
        only says what that would leave."""
        try:
            body = ask.json()
            add, remove, dry = body.get("add", ""), body.get("remove", ""), body.get("dry", False)
        except (ValueError, RecursionError, AttributeError) as error:
            return error_response(
                400, f"a change of the members is JSON with add, remove, dry: {error}"
            )
        if not (
            isinstance(add, str)
            and isinstance(remove, str)
            and isinstance(dry, bool)
            and len(add) <= 64
            and len(remove) <= 64
            and (add or remove)
        ):
            return error_response(
                400, "add, remove: IP addresses, one at least; dry: true or false"
            )
        answer = await self.ask(
            lambda now, number: self.member.change(now, number, add, remove, dry), CHANGE
        )
        told = answer.value or {}
        event(
            "members",
            add=add or "none",
            remove=remove or "none",
            dry=dry,
            code=answer.status.value,
            set=told.get("number", ""),
            why=told.get("why", ""),
        )
        if answer.status is Status.UNAVAILABLE:
            return LATER
        return json_response(
            STATUS[answer.status], {**told, "error": told["why"]} if told.get("why") else told
        )

    async def ask(self, put: Any, within: float = 0.9) -> CallResult:
        """Passes a call to the chain and waits for its end."""
        self.number += 1
        number, future = self.number, asyncio.get_running_loop().create_future()
        self.asks[number] = future
        try:
            self.carry(put(self.now(), number))
            async with asyncio.timeout(within):
                return await future
        except TimeoutError:
            return CallResult(number, Status.UNAVAILABLE)
        finally:
            self.asks.pop(number, None)

    async def note(self, entry: InstanceRecord) -> bool:
        """Whether a majority of the members holds it: then every front in touch gets it."""
        self.number += 1
        number, done = self.number, asyncio.Event()
        self.heards[number] = {self.papers.ip}, done
        for name in self.member.member_names:
            if name != self.papers.ip:
                self.post.send(name, {"kind": "told", "number": number, "entry": entry.to_wire()})
        try:
            if not self.enough(number):
                async with asyncio.timeout(HEARD):
                    await done.wait()
            return True
        except TimeoutError:
            return False
        finally:
            del self.heards[number]

    def enough(self, number: int) -> bool:
        return self.member.replica_set.quorum(self.heards[number][0])

    # Messages

    def receive(self, line: PeerConnection, message: dict[str, Any]) -> None:
        kind, now = message.get("kind"), self.now()
        if kind == "pull":
            self.publisher.add_pull(now, line, message)
            self.tell_soon()
        elif kind == "news":
            heard = self.pulls.receive_update(now, line.peer, message)
            if heard is not None:
                self.learn(now, heard.instances)
        elif kind == "told" and line.peer in self.member.member_names:
            entry = record_from_wire(message.get("entry"))
            if entry is not None:
                self.learn(now, [entry])
                line.send(encode_frame({"kind": "heard", "number": message.get("number")}))
        elif kind == "heard":
            held = (
                self.heards.get(message.get("number"))
                if isinstance(message.get("number"), int)
                else None
            )
            if held is not None and line.peer in self.member.member_names:
                held[0].add(line.peer)
                if self.enough(message["number"]):
                    held[1].set()
        elif kind == "reports" and isinstance(message.get("reports"), list) and self.connected():
            for report in message["reports"]:
                try:
                    self.rollouts.receive_report(now, line.peer, report)
                except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
                    event("garbled", what="report", source=line.peer, why=error)
        elif kind == "digest" and line.peer in self.member.member_names:
            if self.compare.differs(line.peer, message, self.member.version, self.member.committed):
                event("differs", source=line.peer, version=message["version"])
        elif kind in ("chain", "holds"):
            body, frames = self.carrier.receive(
                line.peer, self.member.accepts_from(line.peer), message
            )
            for one in frames:
                self.post.send(line.peer, one)
            if body is not None:
                self.carry(self.member.receive(now, line.peer, body))

    def learn(self, now: int, entries: list[InstanceRecord]) -> None:
        changed = [
            self.registry.observe(now, entry) for entry in entries
        ]  # each one is to be taken
        if any(changed):
            self.tell_soon()

    def lost(self, line: PeerConnection) -> None:
        self.carrier.lost(line.peer)
        self.publisher.drop(line)
        self.pulls.pull_failed(self.now(), line.peer)

    def carry(self, effects: list[Effect]) -> None:
        """Does what the chain's member returned."""
        for effect in effects:
            if isinstance(effect, Send):
                for one in self.carrier.send(effect.to, effect.message):
                    self.post.send(effect.to, one)
            elif isinstance(effect, Write):
                asyncio.get_running_loop().run_in_executor(
                    self.disk, self.store.write, effect.puts
                ).add_done_callback(
                    lambda done, token=effect.token: self.written(token, done.result())
                )
            elif isinstance(effect, CallResult):
                future = self.asks.get(effect.request_id)
                if future is not None and not future.done():
                    future.set_result(effect)
        if self.member.version != self.learnt:
            self.learnt = self.member.version
            records = {
                key: record for key, record in self.member.committed.items() if key != CONFIG_KEY
            }
            changed = [key for key, record in records.items() if self.records.get(key) != record]
            if changed:
                self.pressing = self.learnt
                self.changed.update(dict.fromkeys(changed, self.learnt))
            self.records = records
            for key, record in records.items():
                if key.startswith(ROLLOUT_KEY_PREFIX):
                    self.rollouts.apply_record(self.now(), key[len(ROLLOUT_KEY_PREFIX) :], record)
        if effects:
            self.tell_soon()

    def written(self, token: int, done: bool) -> None:
        if done:
            self.carry(self.member.written(self.now(), token))
        else:
            event("unwritten", token=token, why="full" if self.store.full else "refused")
            if self.store.lost and not self.store.open:
                event("disk_lost", why=self.store.lost)
                self.over.set()  # it is started again, and finds that its disk counts as lost
                return
            self.carry(self.member.write_failed(self.now(), token))

    def head(self) -> str:
        """The member where puts enter, as far as it is known here."""
        return self.member.head_name

    def save(self, now: int) -> None:
        """Keeps the list of machines, so that a restart of all members begins with them. Lost, it
        is refilled."""
        if (
            self.saving
            or self.registry.durable_sequence == self.saved
            or now - self.saved_at < SAVE
        ):
            return
        self.saving, self.saved, self.saved_at = True, self.registry.durable_sequence, now
        puts = {MACHINES: json.dumps(self.registry.snapshot(), separators=(",", ":")).encode()}

        def done(_: Any) -> None:
            self.saving = False

        asyncio.get_running_loop().run_in_executor(
            self.disk, self.store.write, puts
        ).add_done_callback(done)

    def sweep(self, now: int) -> None:
        """Looks whether the disk still holds what was written; a value that does not is written
        again."""
        if self.sweeping or now - self.swept_at < SWEEP or not self.store.open:
            return
        self.sweeping = True
        asyncio.get_running_loop().run_in_executor(self.disk, self.store.sweep).add_done_callback(
            lambda done: self.swept(done.result())
        )

    def swept(self, rotten: list[str] | None) -> None:
        self.sweeping, self.swept_at, self.sweeps = False, self.now(), self.sweeps + 1
        if self.member.version > (0, 0):
            told = self.compare.message(self.member.version, self.member.committed)
            for name in self.member.member_names:
                if name != self.papers.ip:
                    self.post.send(name, told)
        if not rotten and rotten is not None:
            return
        values = [record for record in rotten or () if record != MACHINES]
        effects = None if rotten is None else self.member.repair(self.now(), values)
        if effects is None:
            event(
                "disk_lost",
                why=f"a sweep found it rotten: {'pages' if rotten is None else ','.join(rotten)}",
            )
            self.over.set()  # its start finds the same, and it is filled by the others
            return
        if MACHINES in (rotten or ()):
            self.saved = -1  # written again
        self.mended += len(rotten or ())
        event("mended", records=",".join(rotten or ()))
        self.carry(effects)

    def tell_soon(self) -> None:
        if not self.telling:
            self.telling = True
            asyncio.get_running_loop().call_later(BATCH, self.tell)

    def tell(self) -> None:
        """Answers the pulls that have news."""
        self.telling = False
        member, registry = self.member, self.registry
        config = member.committed.get(CONFIG_KEY)
        revision = config["revision"] if config else 0
        callers = [
            line.peer for line in self.publisher.waiting if line.peer not in member.member_names
        ]
        fronts = callers if len(callers) <= FRONTS else self.chance.sample(callers, FRONTS)
        for line, pull in self.publisher.take_due(
            self.now(),
            registry.incarnation,
            registry.urgent_sequence,
            member.version,
            revision,
            self.pressing,
        ):
            known = pull.sequence if pull.incarnation == registry.incarnation else -1
            line.send(
                encode_frame(
                    {
                        "kind": "news",
                        "life": registry.incarnation,
                        "number": registry.sequence,
                        "machines": registry.changes_after(known),
                        "register": list(member.version),
                        "keys": self.since(pull.version),
                        "everyone": list(member.replica_set.members),
                        "set": member.replica_set.number,
                        "head": self.head(),
                        "firm": self.connected(),
                        "revision": revision,
                        "fronts": fronts,
                    }
                )
            )
            if pull.wants_body and revision > pull.revision:
                line.send(self.body(revision, config["text"], pull.base_digest))

    def since(self, version: tuple[int, int]) -> dict[str, Any]:
        """What one who holds that version of the register lacks of it, beside the configuration."""
        return {
            key: self.records[key]
            for key, when in self.changed.items()
            if when > version and key in self.records
        }

    def body(self, revision: int, text: str, base: Any) -> bytes:
        """The frame of the configuration, by what it changes for one who holds `base`, if that is
        held here too."""
        if self.bodies_of != revision:
            self.bodies_of, self.bodies = revision, {}
        base = base if self.texts.get(base) is not None else ""
        made = self.bodies.get(base)
        if made is None:
            change = self.carrier.packer.change(base, text)
            short = change is not None and 2 * len(change[2]) < len(text)
            made = self.bodies[base] = encode_frame(
                {"kind": "body", "delta": change} if short else {"kind": "body", "text": text}
            )
        return made

    # Clocks

    async def serve(self) -> None:
        from hypercorn.asyncio import serve
        from hypercorn.config import Config

        loop = asyncio.get_running_loop()
        watch(loop)
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGHUP, lambda: event("sighup"))
        await self.post.listen()
        config = Config()
        host, port = self.papers.listen["control"]
        config.bind, config.accesslog, config.errorlog = [f"{host}:{port}"], None, None
        config.include_date_header = config.include_server_header = False
        config.graceful_timeout, config.keep_alive_timeout = 1.0, 30.0
        config.h11_max_incomplete_size = 64 << 10
        gc.collect()
        gc.freeze()
        ticking = loop.create_task(self.ticks())
        ticking.add_done_callback(lambda _: self.over.set())
        await serve(HttpApi(self), config, shutdown_trigger=self.over.wait)
        if (
            ticking.done()
        ):  # a broken invariant: it ends with status 1, and is started again in a clean state
            ticking.result()
        ticking.cancel()
        event("end")

    def leave(self) -> None:
        """Told to end: the chain goes on without this member first, if the others can. The set
        stays as it is."""
        if not self.leaving:
            self.leaving = self.now() + round(
                min(HANDS_OVER, self.papers.margin_us("graceS", 6.0) / 3e6) * SECOND
            )
            self.carry(self.member.hand_over(self.now()))

    def hand_over(self, now: int) -> None:
        if (
            self.leaving
            and not self.over.is_set()
            and (self.member.handed_over or now >= self.leaving)
        ):
            event("left", handed_over=self.member.handed_over, epoch=self.member.status().epoch)
            self.over.set()

    async def ticks(self) -> None:
        shown = None
        thin = None
        while True:
            now = self.now()
            self.carry(self.member.tick(now))
            self.pulls.members = self.member.replica_set.members
            if self.member.connected and self.head() == self.papers.ip:
                for service, record in self.rollouts.tick(now):
                    self.number += 1
                    value = stage_write(
                        record,
                        self.rollouts.orders[service].record.document,
                        self.member.status().epoch,
                    )
                    self.carry(
                        self.member.put(now, self.number, ROLLOUT_KEY_PREFIX + service, value)
                    )
            self.registry.tick(now, self.member.connected)
            self.save(now)
            self.sweep(now)
            self.pulls.forget_departed(now)
            if self.member.is_member and {*self.pulls.sources, self.papers.ip} != {
                *self.member.member_names
            }:
                self.pulls.set_members(self.member.member_names)
            for name in self.pulls.due_pulls(now):
                self.post.send(name, self.pulls.make_pull(now, name))
            if self.publisher.has_expired(now):
                self.tell_soon()
            self.hand_over(now)
            story = self.member.status()
            if (story.set_number, story.degraded) != thin:
                thin = story.set_number, story.degraded
                event(
                    "set",
                    number=story.set_number,
                    members=",".join(story.members) or "none",
                    thin=story.degraded,
                )
            view = story.epoch, story.chain, story.role.value, self.member.connected
            if view != shown:
                shown = view
                event(
                    "view",
                    epoch=view[0],
                    chain=",".join(view[1] or ()) or "none",
                    role=view[2],
                    connected=view[3],
                )
            await asyncio.sleep(TICK)


async def serve(settings: NodeSettings, path: str = "") -> None:
    """Runs a barograph until it is told to end. Of its settings nothing is read again: members stay
    as founded."""
    await Core(settings, random.Random()).serve()
