"""Settings of a gateway: request classes, plans and limits, with range checks.

All times are in seconds. An amount of quota is counted in units, a rate in units a second.
"""

from __future__ import annotations

from dataclasses import dataclass

from wrenladder.policy.validation import check_at_least

# What a repeated run of a request does.
PURE = "pure"  # nothing: it may be repeated anywhere at any time
TOKEN = "token"  # nothing within the repeat window and scope, where an idempotency token is known
SIDE_EFFECT = "side_effect"  # it takes effect again: a request that may have run is never sent again
EFFECTS = (PURE, TOKEN, SIDE_EFFECT)

# Which workers know the idempotency token of an attempt: all, or those of the same zone or cell.
REPEAT_SCOPES = ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request. Numbers are finite and at least 0.

    Attributes:
        name: Its name, unique among the classes.
        latency_target: In seconds; a response within it earns the full worth.
        deadline: Seconds from the initial request to its end at the latest, client retries included.
        effect: One of `EFFECTS`.
        repeat_scope: One of `REPEAT_SCOPES`: with effect `TOKEN`, the workers at which a repeat is safe.
        repeat_window: With effect `TOKEN`, seconds in which a repeat is safe.
        streaming: Whether responses are streamed. The policy goes by `StreamStarted` events instead.
        late_worth: Share of the worth that a response after the latency target still earns.
        worth: What one unit of such requests earns, in relation to other classes.

    Raises:
        ValueError: A number is out of range, or the effect or repeat scope is unknown.
    """

    name: str
    latency_target: float
    deadline: float
    effect: str = PURE
    repeat_scope: str = "all"
    repeat_window: float = 0.0
    streaming: bool = False
    late_worth: float = 0.0
    worth: float = 1.0

    def __post_init__(self) -> None:
        check_at_least(self, 0.0, ("latency_target", "deadline", "repeat_window", "late_worth", "worth"))
        if self.effect not in EFFECTS:
            raise ValueError(f"RequestClass.effect must be one of {EFFECTS}, not {self.effect!r}")
        if self.repeat_scope not in REPEAT_SCOPES:
            raise ValueError(
                f"RequestClass.repeat_scope must be one of {REPEAT_SCOPES}, not {self.repeat_scope!r}"
            )


@dataclass(frozen=True, slots=True)
class Plan:
    """The quotas of a plan, each for one customer over all gateways. Numbers are finite and at least 0.

    Attributes:
        name: Its name, unique among the plans.
        quota_rate: Refill rate of the quota in units a second; 0 sets no quota.
        quota_burst: Most units that the quota saves up.
        max_in_flight: Most requests in flight; 0 sets no limit.
        ceiling_rate: Refill rate of the ceiling in units a second; 0 sets no ceiling.
        ceiling_burst: Most units that the ceiling saves up.
        ceiling_slack: Units by which all gateways together may exceed the ceiling at most.
        excess_revenue: Share of its worth that a request beyond the quota earns.
        excess_cost: Share of its worth that a request beyond the quota costs.
        price: Factor on the worth of this plan's requests.

    Raises:
        ValueError: A number is out of range.
    """

    name: str
    quota_rate: float = 0.0
    quota_burst: float = 0.0
    max_in_flight: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    excess_revenue: float = 0.0
    excess_cost: float = 0.0
    price: float = 1.0

    def __post_init__(self) -> None:
        check_at_least(
            self,
            0.0,
            (
                "quota_rate",
                "quota_burst",
                "max_in_flight",
                "ceiling_rate",
                "ceiling_burst",
                "ceiling_slack",
                "excess_revenue",
                "excess_cost",
                "price",
            ),
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway. Numbers are finite and at least 0, unless stated otherwise.

    Attributes:
        classes: The request classes, at least one.
        plans: The plans, at least one.
        gateway_count: How many gateways there are, at least 1.
        gateway_index: This gateway's number among them, from 0, if known.
        zone: The zone it runs in.
        time_step: In seconds; deadlines and repeat windows are kept with a margin of one time step.
        max_attempts: Most attempts of one request, at least 1.
        can_cancel: Whether attempts can be cancelled.
        concurrent_attempts: Whether a request may have more than one attempt in flight.
        max_retry_after: Longest wait in seconds that a refusal may advise; 0: clients get no advice.
        must_subscribe: Whether the worker list comes only after a `Subscribe`.
        meter_period: Seconds that a meter reading covers; 0: there is no meter.
        initial_warmup_fraction: Share of its capacity that a worker has when it starts.
        warmup_time: Seconds in which that share grows to 1.
        overload_factor: A worker may fail when it is sent more than this many times its capacity, at least 1.
        overload_window: Seconds over which that load is measured.

    Raises:
        ValueError: A number is out of range, or the classes or plans are empty or share a name.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_count: int = 1
    gateway_index: int | None = None
    zone: str = ""
    time_step: float = 0.001
    max_attempts: int = 1
    can_cancel: bool = False
    concurrent_attempts: bool = False
    max_retry_after: float = 0.0
    must_subscribe: bool = False
    meter_period: float = 0.0
    initial_warmup_fraction: float = 1.0
    warmup_time: float = 0.0
    overload_factor: float = 2.0
    overload_window: float = 1.0

    def __post_init__(self) -> None:
        check_at_least(self, 1, ("gateway_count", "max_attempts", "overload_factor"))
        check_at_least(
            self,
            0.0,
            (
                "time_step",
                "max_retry_after",
                "meter_period",
                "initial_warmup_fraction",
                "warmup_time",
                "overload_window",
            ),
        )
        if self.gateway_index is not None:
            check_at_least(self, 0, ("gateway_index",))
        for name in ("classes", "plans"):
            names = [entry.name for entry in getattr(self, name)]
            if not names:
                raise ValueError(f"Settings.{name} must not be empty")
            if len(set(names)) < len(names):
                raise ValueError(f"Settings.{name} must have unique names: {names}")
