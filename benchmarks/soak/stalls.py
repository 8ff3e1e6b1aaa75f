"""Notes when the soak's own event loop stands still: it times clients, instances and signals."""

import asyncio
import time

from benchmarks.soak.records import Records, Span

INTERVAL_S = 0.02
STALL_S = 0.1  # later than this is a stall


async def watch_stalls(records: Records) -> None:
    """Notes them, until cancelled."""
    due = time.monotonic()
    while True:
        due += INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        now = time.monotonic()
        if now - due > STALL_S:
            records.stalls.append(Span("soak", "stall", due, now))
            due = now


def stalled_s(records: Records, began_at: float, ended_at: float) -> float:
    """How much of that time the loop stood still, in seconds."""
    return sum(
        max(0.0, min(ended_at, stall.ended_at) - max(began_at, stall.began_at))
        for stall in records.stalls
    )
