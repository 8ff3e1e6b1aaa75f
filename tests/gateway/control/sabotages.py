"""Mutants: programs broken on purpose, each with the rules by which the control world is to find
it.

Each is a context in which the hosts are broken; `found` plays days until a rule is broken."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from umbermoor.gateway.api.http_api import ApiResponse, api_call, error_response
from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.discovery.registry import DRAINING, READY
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.server import controller as core_host
from umbermoor.gateway.server.controller import Core
from umbermoor.gateway.server.controller_link import ControllerLink
from umbermoor.gateway.simulation.checks import Broken
from umbermoor.gateway.simulation.play import Play
from umbermoor.gateway.simulation.script import Day, draw
from umbermoor.gateway.simulation.virtual import Disk

_replace, _configured, _news, _take = (
    Core.replace,
    ControllerLink.take_configuration,
    Subscriber.receive_update,
    Instances.update,
)


def _handler(run: Any) -> Any:
    return patch.object(Core, "replace", api_call("POST", "/Config.Replace")(run))


async def _refuses_again(self: Core, ask: Any) -> ApiResponse:
    held = self.member.committed.get("config")
    if held is not None and held["text"].encode() == ask.body:
        return error_response(409, "held already")
    return await _replace(self, ask)


async def _acknowledges_early(self: Core, ask: Any) -> ApiResponse:
    answer = await _replace(self, ask)
    return ApiResponse(200) if answer.status == 503 else answer


async def _puts_off(self: Core, ask: Any) -> ApiResponse:
    return await _replace(self, ask) if b"00000001" in ask.body else error_response(503, "not now")


async def _rewrites(self: Core, ask: Any) -> ApiResponse:
    try:
        body = json.dumps(json.loads(ask.body), sort_keys=True).encode()
    except ValueError:
        body = ask.body
    return await _replace(self, ask._replace(body=body))


def _checks_nothing(body: Any) -> Any:
    return None
    yield


def _takes_any(self: ControllerLink, message: dict[str, Any]) -> None:
    self._requests.routes = None
    _configured(self, message)


def _believes_any(self: Subscriber, now: int, name: str, message: dict[str, Any]) -> Any:
    """News of a member that is behind counts as the newest."""
    heard = _news(self, now, name, message)
    if heard is None or message["revision"] >= self.revision:
        return heard
    self.revision, self.newest_revision = message["revision"] - 1, message["revision"]
    return heard._replace(wants_body=True)


def _takes_later(self: ControllerLink, message: dict[str, Any]) -> None:
    core_host.asyncio.get_running_loop().call_later(4, _configured, self, message)


def _sends_on(self: Instances, now: int, entries: Any) -> Any:
    """A machine that drains stays in use."""
    return _take(self, now, [entry for entry in entries if entry.state != DRAINING])


def _comes_back(old: Any, new: Any) -> Any:
    return new if old is None or new.sample > old.sample or new.state == READY else None


def _never_reverts(self: RolloutCoordinator, now: int) -> Any:
    return [
        (service, record) for service, record in _tick(self, now) if record["state"] != "reverted"
    ]


_tick = RolloutCoordinator.tick


@contextmanager
def _lying_disk() -> Iterator[None]:
    """It says synced, and what was written last is gone with the power."""
    write, dropped, before = Disk.write, Disk.dropped, {}

    def lies(self: Disk, puts: dict[str, bytes | None]) -> bool:
        before[id(self)] = dict(self.held)
        return write(self, puts)

    def loses(self: Disk, power: bool) -> None:
        dropped(self, power)
        if power and id(self) in before:
            self.held = before.pop(id(self))

    with patch.object(Disk, "write", lies), patch.object(Disk, "dropped", loses):
        yield


def _minority() -> Any:
    return patch.object(
        ReplicaSet, "quorum", lambda self, who: 2 * len(set(who)) >= len(self.new) - 1
    )


SABOTAGES: dict[str, tuple[Any, set[str]]] = {
    "an order that is held is refused": (lambda: _handler(_refuses_again), {"refused"}),
    "orders are acknowledged before they are held": (
        lambda: _handler(_acknowledges_early),
        {"old read", "late", "lost", "end", "start"},
    ),
    "some orders are put off for ever": (lambda: _handler(_puts_off), {"ack"}),
    "a configuration is written anew": (lambda: _handler(_rewrites), {"content", "end"}),
    "nothing is checked": (
        lambda: patch.object(core_host, "check_in_steps", _checks_nothing),
        {"invalid"},
    ),
    "a front takes any configuration": (
        lambda: _both(
            patch.object(ControllerLink, "take_configuration", _takes_any),
            patch.object(Subscriber, "receive_update", _believes_any),
        ),
        {"revert"},
    ),
    "a front takes its time": (
        lambda: patch.object(ControllerLink, "take_configuration", _takes_later),
        {"late", "start"},
    ),
    "draining machines stay in use": (
        lambda: patch.object(Instances, "update", _sends_on),
        {"drain", "revert"},
    ),
    "a bad version is not sent back": (
        lambda: patch.object(RolloutCoordinator, "tick", _never_reverts),
        {"exposure"},
    ),
    "one member of three is a majority": (
        _minority,
        {"fork", "old read", "back", "lost", "end", "late"},
    ),
    "disks lie about a sync": (
        _lying_disk,
        {"old read", "lost", "back", "fork", "end", "late", "ended"},
    ),
    "a front is ready by one member's word": (
        lambda: patch.object(Subscriber, "confirmed_since", lambda self, when: True),
        {"old ready"},
    ),
    "every member leads roll-outs": (
        lambda: patch.object(Core, "head", lambda self: self.papers.ip),
        {"old head"},
    ),
}


@contextmanager
def _both(one: Any, other: Any) -> Iterator[None]:
    with one, other:
        yield


def found(name: str, days: Any) -> tuple[Day, Broken] | None:
    """The first of the days in which the program broken so is found, and what it broke."""
    context, rules = SABOTAGES[name]
    for day in days:
        with context():
            try:
                Play(day).run()
            except Broken as broken:
                if broken.rule in rules:
                    return day, broken
    return None


def seeds(first: int, count: int) -> Iterator[Day]:
    return (draw(seed) for seed in range(first, first + count))


__all__ = ["SABOTAGES", "found", "seeds"]
