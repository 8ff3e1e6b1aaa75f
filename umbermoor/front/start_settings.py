"""Reads start settings, which the simulator's first message and a front's configuration hold."""

from typing import Any

from umbermoor.front.interface import Charter, Control, Group, Profile, Repeat

REPEATS = {"repeatable": Repeat.RETRIABLE, "by_key": Repeat.FINGERPRINTED, "once": Repeat.BINDING}


def micros(ms: float | None) -> int:
    """Return milliseconds as whole microseconds; 0 for None."""
    return round((ms or 0) * 1000)


def read_start_settings(seed: int, info: dict[str, Any]) -> Charter:
    """Return the charter of a front; missing settings get neutral values."""
    rules, limits, domain = (info.get(part) or {} for part in ("rules", "limits", "domain"))
    profiles = tuple(
        Profile(
            micros(row["aim_ms"]),
            micros(row["give_up_ms"]),
            row.get("late_worth") or 0.0,
            REPEATS[row["repeat"]],
            Group(row.get("group") or "all"),
            micros(row.get("window_ms")),
            value if (value := row.get("worth") or 0.0) > 0 else 1.0,
        )
        for row in info["request_classes"]
    )
    has_retry_after = limits.get("retry_after")
    return Charter(
        me=info.get("me") or 0,
        fronts=info.get("peers_total") or 1,
        seed=seed,
        zone=info.get("locality") or 0,
        profiles=profiles,
        list_asked=info.get("membership_mode") == "on_request",
        may_probe=bool(limits.get("probes")),
        may_tell=bool(limits.get("peers")),
        may_copy=bool(limits.get("parallel_tries")),
        may_cancel=bool(limits.get("cancelling")),
        most_hand_offs=limits.get("try_limit") or 1,
        most_advice=micros(limits.get("max_retry_after_ms")) if has_retry_after else 0,
        drain_grace=micros(rules.get("stop_sending_within_ms")),
        cold_from=rules.get("cold_from") or 1.0,
        warm_within=micros(rules.get("warm_within_ms")),
        fall_multiple=rules.get("overload_factor") or 1.0,
        fall_span=micros(rules.get("fall_ms")),
        control=Control(domain.get("gate_mode") or "any"),
        votes_on=domain.get("to_advance") or 0,
        votes_back=domain.get("back_votes") or 0,
        votes_hold=domain.get("to_pause") or 0,
        votes_a_second=domain.get("vote_allowance") or 0.0,
        vote_life=micros(domain.get("vote_life_ms")),
        vote_wait=micros(domain.get("vote_wait_ms")),
        least_stage=micros(domain.get("least_stage_ms")),
        stage_caps=tuple(domain.get("stage_cap") or (0.0,)),
        guarded_stages=domain.get("guarded_stages") or 0,
        cap_by_profile=domain.get("cap_scope") == "class",
        free_hand_offs=domain.get("spare_tries") or 0.0,
        one_way=bool(domain.get("one_way")),
        tallied_every=micros(domain.get("metrics_period_ms")),
        complaint_share=domain.get("complaint_share") or 0.0,
    )
