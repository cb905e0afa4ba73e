"""Reads settings from a JSON object, whose form the simulator and the configuration file share."""

from __future__ import annotations

from typing import Any

from wrenladder.policy.settings import Plan, RequestClass, Settings

MICROSECONDS_PER_SECOND = 1_000_000


def read_settings(document: dict[str, Any]) -> Settings:
    """Return the settings in a JSON object, with microseconds turned into seconds; unknown keys are ignored.

    It is the `settings` of the configuration file, and the `Facts` of the simulator's `LAUNCH` message.

    Raises:
        KeyError: A key is missing.
        TypeError: A value has the wrong type.
        ValueError: A value is out of range.
    """
    capabilities, rules, family = document["Caps"], document["Rules"], document["FamilyInfo"]
    classes = tuple(
        RequestClass(
            name=c["Name"],
            latency_target=c["SloUs"] / MICROSECONDS_PER_SECOND,
            deadline=c["DeadlineUs"] / MICROSECONDS_PER_SECOND,
            effect=c["Effect"],
            repeat_scope=c["Group"],
            repeat_window=c["WindowUs"] / MICROSECONDS_PER_SECOND,
            streaming=c["Streaming"],
            late_worth=c["LateWorth"],
            worth=c.get("Importance", 1.0),
        )
        for c in document["Classes"]
    )
    plans = tuple(
        Plan(
            name=p["Name"],
            quota_rate=p["Refill"],
            quota_burst=p["MostAtOnce"],
            max_in_flight=p["AtOnce"],
            ceiling_rate=p["HardRate"],
            ceiling_burst=p["CapDepth"],
            ceiling_slack=p["CapSlack"],
            excess_revenue=p["BeyondEarns"],
            excess_cost=p["ExcessCost"],
            price=p.get("Price", 1.0),
        )
        for p in document["Plans"]
    )
    return Settings(
        classes=classes,
        plans=plans,
        gateway_count=document["NInstances"],
        gateway_index=document.get("Index"),
        zone=document["MyZone"],
        time_step=document["TickUs"] / MICROSECONDS_PER_SECOND,
        max_attempts=capabilities["MaxAttempts"],
        can_cancel=capabilities["Cancel"],
        concurrent_attempts=capabilities["SecondCopies"],
        max_retry_after=capabilities["MaxRetryAfterUs"] / MICROSECONDS_PER_SECOND
        if capabilities["RetryAfter"]
        else 0.0,
        must_subscribe=document["Discovery"] == "on_request",
        meter_period=family["MeterUs"] / MICROSECONDS_PER_SECOND,
        initial_warmup_fraction=rules["ColdFrom"],
        warmup_time=rules["RampTimeUs"] / MICROSECONDS_PER_SECOND,
        overload_factor=rules["OverloadFactor"],
        overload_window=rules["FallUs"] / MICROSECONDS_PER_SECOND,
    )
