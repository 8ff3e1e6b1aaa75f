"""A rollout in a soak: a version that is good, or fails a share of its requests, is brought in.

The service has traffic of its own. The platform stops the old instances once the rollout is
settled, and the new ones drain after it was reverted.
"""

import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from benchmarks.soak import operators
from benchmarks.soak.operators import ROLLOUT_SETPOINT_S
from benchmarks.soak.records import RolloutAnswer, RolloutOrder
from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.gateway.local.instance import InstanceResponse, InstanceSettings, LocalInstance
from umbermoor.gateway.local.node import HEARTBEAT_INTERVAL_S, ZONES
from umbermoor.gateway.local.traffic import send_requests
from umbermoor.http1.reader import Request

if TYPE_CHECKING:
    from benchmarks.soak.world import Day

OLD_VERSION, NEW_VERSION = "v1", "v2"
RAMP_S = 10.0
WORK_S = 0.01
LATE_WORK_S = 2 * ROLLOUT_SETPOINT_S
CLIENTS = 15  # in total; at least one for each proxy
ORDER_TIMEOUT_S = 5.0
READ_INTERVAL_S = 0.5
DRAIN_AFTER_S = 2.0  # from a revert until the new instances drain


@dataclass(frozen=True)
class _Behaviour:
    """What the instances of a version do.

    Attributes:
        failure_share: The share of their answers that are errors.
        late: Whether all their answers come after the setpoint.
    """

    failure_share: float = 0.0
    late: bool = False

    def is_worse_than(self, other: "_Behaviour") -> bool:
        """Whether more of the answers are bad than those of another version."""
        return self.bad_share > other.bad_share

    @property
    def bad_share(self) -> float:
        """The share of the answers that are errors or late."""
        return 1.0 if self.late else self.failure_share

    def __str__(self) -> str:
        return f"fails {self.failure_share:g}{', late' if self.late else ''}"


SOUND, ALL_FAIL, ALL_LATE = _Behaviour(), _Behaviour(failure_share=1.0), _Behaviour(late=True)
# The old and the new version, drawn from the seed.
BEHAVIOURS = (
    (SOUND, SOUND),
    (SOUND, _Behaviour(0.1)),
    (SOUND, _Behaviour(0.3)),
    (SOUND, _Behaviour(0.5)),
    (SOUND, ALL_FAIL),
    (SOUND, ALL_LATE),
    (ALL_FAIL, SOUND),
    (ALL_LATE, SOUND),
    (ALL_FAIL, ALL_FAIL),
    (ALL_LATE, ALL_LATE),
)


@dataclass(frozen=True)
class _Versions:
    old: list["RolledOutInstance"]
    new: list["RolledOutInstance"]


class RolledOutInstance(LocalInstance):
    """Local instance that records its answers; a request's path names the proxy it came by."""

    answers: list[RolloutAnswer]

    async def _work(self, request: Request, until: float) -> InstanceResponse:
        proxy = request.target.removeprefix(operators.ROLLOUT_PREFIX)
        began_at = time.monotonic()
        response = await super()._work(request, until)
        is_late = time.monotonic() - began_at > ROLLOUT_SETPOINT_S
        is_bad = response.status != 200 or is_late
        self.answers.append(RolloutAnswer(began_at, self.settings.version, proxy, is_bad))
        return response


async def play_rollout(day: "Day", until: float) -> None:
    """Order a rollout and act as the platform until it has ended, or `until` and its term."""
    rng = random.Random(f"{day.seed} rollout")
    old_behaviour, new_behaviour = rng.choice(BEHAVIOURS)
    old = [_make_instance(day, zone, OLD_VERSION, old_behaviour) for zone in ZONES]
    new = [_make_instance(day, zone, NEW_VERSION, new_behaviour) for zone in ZONES]
    order = RolloutOrder(
        NEW_VERSION,
        f"old: {old_behaviour}; new: {new_behaviour}",
        new_behaviour.is_worse_than(old_behaviour),
        0.0,
        RAMP_S,
    )
    await asyncio.gather(*(instance.start() for instance in old))
    traffic = _start_traffic(day)
    try:
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await _follow(day, _Versions(old, new), order, until)
    finally:
        for task in traffic:
            task.cancel()
        await asyncio.gather(*traffic, return_exceptions=True)
        for instance in (*old, *new):
            instance.crash()


def _make_instance(day: "Day", zone: str, version: str, behaviour: _Behaviour) -> RolledOutInstance:
    settings = InstanceSettings(
        operators.ROLLOUT_SERVICE,
        zone,
        version,
        capacity=12,
        work_s=LATE_WORK_S if behaviour.late else WORK_S,
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        drain_s=1.0,
        failure_share=behaviour.failure_share,
    )
    host = f"{day.gateway.network}.{31 + ZONES.index(zone)}"
    instance = RolledOutInstance(f"{version}-{zone}", settings, host, day.control_addresses)
    instance.answers = day.records.rollout_answers
    return instance


def _start_traffic(day: "Day") -> list[asyncio.Task[None]]:
    proxies, counts = day.gateway.proxies, Counter[str]()
    return [
        asyncio.create_task(
            send_requests(
                node.ip,
                day.gateway.ports.proxy,
                operators.HOST,
                f"{operators.ROLLOUT_PREFIX}{node.name}",
                counts,
            )
        )
        for node in proxies
        for _ in range(max(1, CLIENTS // len(proxies)))
    ]


async def _follow(day: "Day", versions: _Versions, order: RolloutOrder, until: float) -> None:
    """Order the rollout, read its state until it ends, and do what the platform does then."""
    body = json.dumps(
        {"service": operators.ROLLOUT_SERVICE, "target": NEW_VERSION, "rampS": RAMP_S}
    ).encode()
    order.ordered_at = time.monotonic()
    client = ControlClient(day.control_addresses, ORDER_TIMEOUT_S)
    response = await asyncio.to_thread(client.call, "POST", "/Rollouts.Begin", body)
    if not isinstance(response, ControlResponse) or not response.succeeded:
        return  # the controllers had no quorum
    day.records.rollouts.append(order)
    day.gateway.report(f"rollout ordered; {order.description}")
    await asyncio.gather(*(instance.start() for instance in versions.new))
    follow_until = max(until, order.ordered_at + RAMP_S)
    while order.state == "running" and time.monotonic() < follow_until:
        await asyncio.sleep(READ_INTERVAL_S)
        order.state = await _read_state(day) or order.state
    day.gateway.report(f"rollout {order.state}")
    if order.state == "settled":
        for instance in versions.old:
            instance.crash()
    elif order.state == "reverted":
        await asyncio.sleep(DRAIN_AFTER_S)
        await asyncio.gather(*(instance.drain() for instance in versions.new))


async def _read_state(day: "Day") -> str | None:
    client = ControlClient(day.control_addresses, READ_INTERVAL_S)
    path = f"/Rollouts.Read/{operators.ROLLOUT_SERVICE}"
    response = await asyncio.to_thread(client.call, "GET", path)
    if not isinstance(response, ControlResponse) or not response.succeeded:
        return None
    return str(json.loads(response.body)["state"])
