"""Records stalls of the soak's own event loop, which times clients, instances and signals."""

import asyncio
import time

from benchmarks.soak.records import Records, Span

INTERVAL_S = 0.02
STALL_S = 0.1  # a wake-up later than this counts as a stall


async def watch_stalls(records: Records) -> None:
    """Record stalls of the event loop until cancelled."""
    due = time.monotonic()
    while True:
        due += INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        now = time.monotonic()
        if now - due > STALL_S:
            records.stalls.append(Span("soak", "stall", due, now))
            due = now


def stalled_s(records: Records, began_at: float, ended_at: float) -> float:
    """Return how long the event loop was stalled between the two times, in seconds."""
    return sum(
        max(0.0, min(ended_at, stall.ended_at) - max(began_at, stall.began_at))
        for stall in records.stalls
    )
