"""The start settings that a day implies, in the format that fronts read.

Virtual fronts and fronts on sockets get the same settings.
"""

from typing import Any

from umbermoor.lab.chance import Chance
from umbermoor.lab.day import Day, Platform

CONNECT_MS = 250.0  # timeout of connecting to a machine
IDLE_MS = 30_000.0  # idle time after which a connection is closed
VOTE_WAIT_MS = 1000.0  # timeout of a vote
ADVICE_MS = 1000.0  # maximum Retry-After of a front
SEED_BITS = 53


def start_settings(day: Day) -> dict[str, Any]:
    """Return the settings shared by all fronts of a day; each front adds its number (`me`)."""
    return {
        "peers_total": day.front.count,
        "zones": ["a"],
        "locality": 0,
        "request_classes": [
            {
                "name": row.name,
                "aim_ms": row.aim_ms,
                "give_up_ms": row.patience_ms,
                "late_worth": row.late_value,
                "worth": row.value,
                "repeat": row.repeat,
            }
            for row in day.profile
        ],
        "limits": {
            "probes": False,
            "peers": False,
            "parallel_tries": day.copies,
            "cancelling": True,
            "try_limit": day.tries,
            "retry_after": True,
            "max_retry_after_ms": ADVICE_MS,
            "connect_timeout_ms": CONNECT_MS,
            "idle_close_ms": IDLE_MS,
        },
        "rules": {
            "stop_sending_within_ms": day.listing.grace_s * 1000,
            "cold_from": min(group.cold_from for group in day.group),
            "warm_within_ms": max(group.warm_s for group in day.group) * 1000,
            "overload_factor": day.cold.multiple,
            "fall_ms": day.cold.span_s * 1000,
        },
        "domain": _release_settings(day.platform),
    }


def _release_settings(platform: Platform) -> dict[str, Any]:
    return {
        "gate_mode": "any",
        "to_advance": platform.on_votes,
        "back_votes": platform.back_votes,
        "vote_allowance": platform.votes_a_s,
        "vote_life_ms": platform.vote_life_s * 1000,
        "vote_wait_ms": VOTE_WAIT_MS,
        "least_stage_ms": platform.least_stage_s * 1000,
        "stage_cap": [min(1.0, share * platform.slack) for share in platform.stages],
        "guarded_stages": platform.guarded,
        "cap_scope": "class",
        "spare_tries": platform.free,
        "metrics_period_ms": platform.tally_s * 1000,
        "complaint_share": platform.complaint_share,
    }


def front_seed(day: Day, front: str, start: int) -> int:
    """Return the seed of a front's random numbers, which differs for each of its starts."""
    return int(Chance(day.seed).at("front", front, start) * (1 << SEED_BITS))
