"""The start settings that a day comes to, in the form that fronts read: the virtual ones and those
on sockets alike."""

from typing import Any

from umbermoor.lab.chance import Chance
from umbermoor.lab.day import Day

CONNECT_MS, IDLE_MS, VOTE_WAIT_MS, ADVICE_MS = 250.0, 30_000.0, 1000.0, 1000.0


def settings_of(day: Day) -> dict[str, Any]:
    terms = day.platform
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
            "cold_from": min(one.cold_from for one in day.group),
            "warm_within_ms": max(one.warm_s for one in day.group) * 1000,
            "overload_factor": day.cold.multiple,
            "fall_ms": day.cold.span_s * 1000,
        },
        "domain": {
            "gate_mode": "any",
            "to_advance": terms.on_votes,
            "back_votes": terms.back_votes,
            "vote_allowance": terms.votes_a_s,
            "vote_life_ms": terms.vote_life_s * 1000,
            "vote_wait_ms": VOTE_WAIT_MS,
            "least_stage_ms": terms.least_stage_s * 1000,
            "stage_cap": [min(1.0, share * terms.slack) for share in terms.stages],
            "guarded_stages": terms.guarded,
            "cap_scope": "class",
            "spare_tries": terms.free,
            "metrics_period_ms": terms.tally_s * 1000,
            "complaint_share": terms.complaint_share,
        },
    }


def seed_of(day: Day, front: str, start: int) -> int:
    """Of a front's own chance; new with each start."""
    return int(Chance(day.seed).at("front", front, start) * (1 << 53))
