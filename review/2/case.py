"""A version of which three answers in a hundred fail is brought in; there is no other trouble.

With TROUBLE=0 the new version is as good as the old one.
"""

import asyncio
import itertools
import json
import os
import random
import sys
from pathlib import Path

from review.common import deployment as bounds
from review.common.deployment import Deployment, Record
from review.common.standins import (
    SERVICE,
    Answer,
    Server,
    call,
    call_any,
    configuration,
    is_ready,
    send_request,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BAD_SHARE = 0.03 if TROUBLE else 0.0
RAMP_S = 12.0
REQUESTS_PER_S = 150
SERVERS = 4  # of each version
WATCH_S = 34.0  # from the order on


async def traffic(
    record: Record, deployment: Deployment, ended: asyncio.Event, answers: list[Answer]
) -> None:
    """Send requests to the fronts in turn until the run has ended."""
    tasks: set[asyncio.Task[None]] = set()

    async def one(front: tuple[str, int]) -> None:
        answers.append(await send_request(record, front))

    due = record.now()
    for node in itertools.cycle(deployment.fronts):
        if ended.is_set():
            break
        task = asyncio.create_task(one(deployment.front_address(node)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        due += random.expovariate(REQUESTS_PER_S)
        await asyncio.sleep(max(0.0, due - record.now()))
    await asyncio.gather(*tasks)


def make_servers(record: Record, deployment: Deployment, revision: str) -> list[Server]:
    """Return the servers of a version, not started."""
    first = 0 if revision == "v1" else SERVERS
    return [
        Server(
            record,
            deployment.controls,
            f"{deployment.network}.{bounds.SERVER_HOSTS[first + number]}",
            bounds.ZONES[number % 3],
            work_s=0.04,
            revision=revision,
            failure_share=BAD_SHARE if revision == "v2" else 0.0,
        )
        for number in range(SERVERS)
    ]


async def play(record: Record, deployment: Deployment) -> int:
    """Play the case; return the exit status."""
    deployment.start((*deployment.core, *deployment.fronts), cold=True)
    controls = deployment.controls
    if not await call_any(record, "operator", controls, "/Config.Replace", configuration(1), 20):
        return 2
    old, new = (make_servers(record, deployment, revision) for revision in ("v1", "v2"))
    for server in old:
        await server.start()
    for node in deployment.fronts:
        while not await is_ready(deployment.ready_address(node)):
            if record.now() > 30:
                return 2
            await asyncio.sleep(0.1)
    answers: list[Answer] = []
    ended = asyncio.Event()
    clients = asyncio.create_task(traffic(record, deployment, ended, answers))
    await asyncio.sleep(2 * bounds.CONTACT_S)  # all are in touch

    order = {"service": SERVICE, "target": "v2", "rampS": RAMP_S}
    ordered_at = record.now()
    if not await call_any(record, "operator", controls, "/Rollouts.Begin", order, record.now() + 5):
        return 2
    for server in new:
        await server.start()
    state, states = "running", []
    while record.now() < ordered_at + WATCH_S:
        await asyncio.sleep(0.25)
        answer = await read_state(controls)
        if answer and answer != state:
            state = answer
            states.append(f"{state} after {record.now() - ordered_at:.1f} s")
            record.write(f"rollout {states[-1]}", show=True)
            if state == "settled":
                for server in old:  # they are stopped at once, as the page says
                    server.stop()
    ended.set()
    await clients
    for server in (*old, *new):
        server.stop()
    if deployment.own_ends():
        return 2
    return judge(record, old, new, ordered_at, answers)


async def read_state(controls: list[str]) -> str | None:
    """Return the state of the rollout; None if it could not be read."""
    answer = await call(random.choice(controls), "GET", f"/Rollouts.Read/{SERVICE}")
    if answer.status != 200:
        return None
    return str(json.loads(answer.body)["state"])


def judge(
    record: Record,
    old: list[Server],
    new: list[Server],
    ordered_at: float,
    answers: list[Answer],
) -> int:
    """Write what the rule counts; return the exit status."""
    term = ordered_at + RAMP_S
    to_new = [arrival for server in new for arrival in server.arrivals if arrival.ran]
    to_old = [arrival for server in old for arrival in server.arrivals if arrival.ran]
    in_time = sum(ordered_at <= arrival.at <= term for arrival in to_new)
    total = in_time + sum(ordered_at <= arrival.at <= term for arrival in to_old)
    allowed = bounds.EXPOSURE * total + bounds.EXPOSURE_SLACK
    record.write(
        f"the new version ran {in_time} of {total} requests before its term; allowed to a bad one "
        f"{allowed:.0f}",
        show=True,
    )
    failed = sorted(at for server in new for at in server.failed_at)
    later = 0
    if len(failed) >= bounds.BAD_ANSWERS:
        bound = failed[bounds.BAD_ANSWERS - 1] + bounds.ROLLBACK_S
        later = sum(arrival.at > bound for arrival in to_new)
    record.write(
        f"{len(failed)} of its answers failed; it ran {later} requests later than "
        f"{bounds.ROLLBACK_S:g} s after the 50th",
        show=True,
    )
    served = sum(answer.status == 200 for answer in answers)
    record.write(f"{served} of {len(answers)} requests served", show=True)
    is_bad = bool(failed)
    is_broken = is_bad and (in_time > allowed or later > 0)
    record.write("EXPOSURE is broken" if is_broken else "EXPOSURE holds", show=True)
    return 1 if is_broken else 0


async def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    try:
        return await play(record, deployment)
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
