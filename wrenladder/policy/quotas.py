"""Customer quotas at one gateway: metered slices, ceilings, and admission without a meter reading.

A customer's quota is divided among the gateways that its requests may reach. Each gateway keeps a token
bucket with its share of the burst, and refills it at its slice of the rate, which follows the meter readings.
Usage beyond the quota is called excess.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from random import Random

from wrenladder.policy.settings import Plan

# Two forecasts of the units that a customer requests each second are moving averages, updated every second.
# These are the weights of the previous values.
SHORT_FORECAST_DECAY = 0.7
LONG_FORECAST_DECAY = 0.95  # for customers that reach this gateway seldom
# Requests that a share of the burst should hold; a smaller ("small") share gets credit.
MIN_SHARE_REQUESTS = 2.0
METER_SMOOTHING_PERIOD = 2.0  # seconds that a reading should span; shorter readings are averaged
TARGET_USAGE = 0.9  # of the quota: what the slices steer the metered usage to
MIN_STEERING_USAGE = 0.01  # lower usage counts as this, which bounds the growth of a slice in one step
# Times the forecast: upper bound of a slice that exceeds the gateway's share of the rate.
MAX_SLICE_FACTOR = 2
INITIAL_USAGE = 0.5  # of the quota, assumed before the first reading: most customers stay well within theirs
INITIAL_USAGE_SMALL_SHARE = 1.0  # the same where all gateways' credits together exceed the customer's burst
# Of the ceiling's slack: what all gateways together may admit ahead of the refill after a start.
CEILING_START_RATIO = 0.75
# Excess requests leave the burst of the ceiling, divided by this, to requests within the quota.
EXCESS_RESERVE_DIVISOR = 2
# Probability of admitting a request of a customer with small shares and no reading, while excess usage costs
# as much as its target.
BASE_ADMISSION_PROBABILITY = 0.5
MIN_ADMISSION_PROBABILITY = 0.15  # lower bound of that probability, however much usage is excess
TARGET_EXCESS_COST_RATIO = 0.06  # of the worth admitted within the quotas: what excess usage may cost
ADMISSION_EXPONENT = 2.0  # of target over cost in that probability: readings miss a part of the cost
USAGE_TOLERANCE = 1.3  # times the quota: readings of a period up to this can be chance and burst
PRIOR_READINGS = 5.0  # readings that the initial cost estimate counts as
COST_DECAY = 0.99  # factor on the sums behind the cost estimate at each further reading
FREE_MARGIN = 0.5  # of the quota: with so much free, a customer has full headroom
# The same for a customer with small shares.
SMALL_SHARE_FREE_MARGIN = 0.125
# Of the interval between requests here at full use of the quota: a request that follows the last one sooner
# is taken for excess.
MIN_INTERVAL_RATIO = 0.1
IDLE_TIMEOUT = 30.0  # seconds after which an idle customer's account may be dropped
MAX_EVICTION_CANDIDATES = 8  # accounts that are considered for eviction when there are too many


class Account:
    """State of one customer at this gateway."""

    __slots__ = (
        "key",
        "plan",
        "gateway_count",
        "burst_share",
        "rate_share",
        "slice_rate",
        "quota_level",
        "ceiling_level",
        "refilled_at",
        "second_start",
        "requested_units",
        "short_forecast",
        "long_forecast",
        "largest_request",
        "usage",
        "read_at",
        "reading_count",
        "has_new_reading",
        "in_flight",
        "has_small_share",
        "last_request_at",
    )

    def __init__(
        self, customer: str, plan: Plan, gateway_count: int, now: float, gateway_started_at: float
    ) -> None:
        self.key, self.plan = (customer, plan.name), plan
        self.set_gateway_count(gateway_count)
        self.slice_rate, self.quota_level = self.rate_share, self.burst_share
        # An earlier run of this gateway may have used its share of the ceiling, so the ceiling fills from the
        # start of this run. It starts with a part of the slack, or customers within their quota would wait
        # for seconds for their first request.
        initial_level = CEILING_START_RATIO * plan.ceiling_slack
        self.ceiling_level = (
            min(plan.ceiling_burst, initial_level + (now - gateway_started_at) * plan.ceiling_rate)
            / gateway_count
        )
        self.refilled_at = self.second_start = now
        self.requested_units = self.short_forecast = self.long_forecast = self.largest_request = 0.0
        # Each gateway grants credit to a customer it has no reading of. This matters little with a few
        # gateways, but with forty a surge of requests uses the credit of all of them before the first reading
        # shows it. So customers with small shares are assumed to use all of their quota.
        self.usage = INITIAL_USAGE_SMALL_SHARE if self.has_small_share else INITIAL_USAGE
        self.read_at = now
        self.reading_count = 0
        self.has_new_reading = False
        self.in_flight, self.last_request_at = 0, -math.inf

    def set_gateway_count(self, gateway_count: int) -> None:
        """Divide the quota among the gateways and note whether this one's share is small."""
        self.gateway_count = gateway_count
        self.burst_share = self.plan.quota_burst / gateway_count
        self.rate_share = self.plan.quota_rate / gateway_count
        self.has_small_share = MIN_SHARE_REQUESTS * gateway_count > self.plan.quota_burst

    def record_meter_reading(self, now: float, usage: float, meter_period: float) -> None:
        """Record a meter reading, averaged with earlier ones where the meter's period is short.

        In a short period a single unit looks like many times the rate.
        """
        time_constant = max(1e-9, METER_SMOOTHING_PERIOD - meter_period)
        self.reading_count += 1
        weight = max(1 - math.exp((self.read_at - now) / time_constant), 1 / (1 + self.reading_count))
        self.usage += (usage - self.usage) * weight
        self.read_at, self.has_new_reading = now, True

    def headroom(self) -> float:
        """Return the quota's headroom: 1 while at most half of it is in use, 0 from full use on.

        A customer with small shares seldom reaches this gateway. If the meter shows it a little under its
        quota, it could use no more of the rest here than its first request, so less has to be free. With the
        same margin as the others, customers that use nearly all of their quota were refused a third of it.
        The smaller margin can admit some excess, as a reading is old by the time it counts.
        """
        return min(
            1.0,
            max(0.0, (1 - self.usage) / (SMALL_SHARE_FREE_MARGIN if self.has_small_share else FREE_MARGIN)),
        )


class Quotas:
    """Accounts of all customers, and an estimate of what usage beyond the quotas costs.

    `typical_worth` is the worth of a typical request. It sets the weight of the initial estimate. There are
    at most `max_accounts` accounts, so that requests in the names of ever new customers take no more memory.
    """

    def __init__(
        self, now: float, random: Random, typical_worth: float = 1.0, max_accounts: float = math.inf
    ) -> None:
        self._started_at, self._random, self._max_accounts = now, random, max_accounts
        # Decaying sums over the readings: the worth of usage within the quotas, and the cost of the excess.
        self._worth_within_quota = PRIOR_READINGS * typical_worth
        self._excess_cost = TARGET_EXCESS_COST_RATIO * self._worth_within_quota
        # By customer and plan, the least recently used first.
        self._accounts: OrderedDict[tuple[str, str], Account] = OrderedDict()
        # Those of them that no request has been admitted for, the oldest first.
        self._never_admitted: OrderedDict[tuple[str, str], None] = OrderedDict()

    def account(self, now: float, customer: str, plan: Plan, gateway_count: int) -> Account | None:
        """Return the customer's account, refilled up to now; drop accounts that are idle and full again.

        Each plan of a customer has its own account, and a changed number of gateways only moves the bounds.
        So a request that names a wrong plan or a wrong set of gateways refills no bucket. None means that
        there are too many accounts to open one.
        """
        while self._accounts:
            oldest = next(iter(self._accounts.values()))
            if now - oldest.refilled_at < IDLE_TIMEOUT or oldest.in_flight:
                break
            self._drop_if_full(now, oldest)
        key = customer, plan.name
        account = self._accounts.get(key)
        if account is None:
            if len(self._accounts) >= self._max_accounts and not self._evict(now):
                return None
            account = self._accounts[key] = Account(customer, plan, gateway_count, now, self._started_at)
            self._never_admitted[key] = None
        elif account.gateway_count != gateway_count:
            account.set_gateway_count(gateway_count)
        self._accounts.move_to_end(key)
        self._refill(now, account)
        return account

    def _drop_if_full(self, now: float, account: Account) -> bool:
        """Drop an account whose ceiling is full again, or else move it behind all others."""
        self._refill(now, account)
        if account.ceiling_level < account.plan.ceiling_burst / account.gateway_count:
            self._accounts.move_to_end(account.key)
            return False
        self._drop(account.key)
        return True

    def _drop(self, key: tuple[str, str]) -> None:
        del self._accounts[key]
        self._never_admitted.pop(key, None)

    def _evict(self, now: float) -> bool:
        """Make room for an account, at the cost of one that no request was admitted for, if there is one.

        An account whose ceiling is not full is never dropped: with a new one its customer could exceed it.
        """
        if self._never_admitted:
            self._drop(next(iter(self._never_admitted)))
            return True
        for _ in range(min(MAX_EVICTION_CANDIDATES, len(self._accounts))):
            account = next(iter(self._accounts.values()))
            if account.in_flight:
                self._accounts.move_to_end(account.key)
            elif self._drop_if_full(now, account):
                return True
        return False

    def _refill(self, now: float, account: Account) -> None:
        elapsed, account.refilled_at = now - account.refilled_at, now
        account.quota_level = min(account.burst_share, account.quota_level + elapsed * account.slice_rate)
        account.ceiling_level = min(
            account.plan.ceiling_burst / account.gateway_count,
            account.ceiling_level + elapsed * account.plan.ceiling_rate / account.gateway_count,
        )
        seconds = int(now - account.second_start)
        if seconds:
            account.second_start += seconds
            account.short_forecast = (
                account.short_forecast * SHORT_FORECAST_DECAY
                + account.requested_units * (1 - SHORT_FORECAST_DECAY)
            ) * SHORT_FORECAST_DECAY ** (seconds - 1)
            account.long_forecast = (
                account.long_forecast * LONG_FORECAST_DECAY
                + account.requested_units * (1 - LONG_FORECAST_DECAY)
            ) * LONG_FORECAST_DECAY ** (seconds - 1)
            account.requested_units = 0.0
            if account.has_new_reading:  # without one, the slice stays as it is
                account.slice_rate *= TARGET_USAGE / max(account.usage, MIN_STEERING_USAGE)
                account.has_new_reading = False
            forecast = max(account.short_forecast, account.long_forecast)
            account.slice_rate = max(
                account.rate_share,
                min(
                    max(account.slice_rate, account.headroom() * account.long_forecast),
                    MAX_SLICE_FACTOR * forecast,
                    account.plan.quota_rate,
                ),
            )

    def is_within_quota(self, account: Account, units: float, overloaded: bool) -> bool:
        """Return whether a request is within this gateway's shares of the quota and the concurrency limit.

        A request larger than the whole share is admitted when the share is full, or it never would be.
        """
        if account.plan.max_in_flight and account.in_flight >= max(
            1, int(account.plan.max_in_flight / account.gateway_count)
        ):
            return False
        # A share of less than a few requests would refuse customers within their quota by chance, so it gets
        # credit. A customer whose last readings were low can therefore exceed its quota until the next ones.
        account.largest_request = max(account.largest_request, units)
        credit = (
            0.0
            if overloaded
            else account.headroom()
            * max(0.0, MIN_SHARE_REQUESTS * account.largest_request - account.burst_share)
        )
        presumed_excess, account.last_request_at = (
            self._is_presumed_excess(account, units),
            account.refilled_at,
        )
        return not account.plan.quota_rate or (
            not presumed_excess and account.quota_level + credit >= min(units, account.burst_share + credit)
        )

    def _is_presumed_excess(self, account: Account, units: float) -> bool:
        """Return whether a request is presumed excess, though this gateway's share may have room for it.

        Where a customer reaches so many gateways that each share holds less than a request, every first
        request finds a full share. A customer far beyond its quota makes as many of these as there are
        gateways, before any reading shows it. So a part of them is refused, and so is a request that comes
        much sooner after the last one than full use of the quota would bring it here, unless readings show
        headroom. This saves the workers' capacity and the customer's money where excess usage costs more than
        it earns. First requests of customers within their quota are refused too, but most of those are
        retried.
        """
        if not account.has_small_share or account.plan.excess_cost <= account.plan.excess_revenue:
            return False
        if not account.reading_count:
            return self._random.random() >= self.admission_probability() + account.plan.quota_burst / (
                MIN_SHARE_REQUESTS * account.gateway_count
            )
        return (
            account.headroom() < 1
            and (account.refilled_at - account.last_request_at) * account.plan.quota_rate
            < MIN_INTERVAL_RATIO * account.gateway_count * units
        )

    def record_excess(self, plan: Plan, usage: float, worth: float) -> None:
        """Record how much of an admitted request's worth was excess, according to its meter reading.

        Of the customer's usage through all gateways, the excess is what the reading shows above the quota,
        beyond what chance and its burst may add to one period. The requests of this gateway are a sample of
        those of all gateways, and so is the cost that it finds.
        """
        excess = 1 - USAGE_TOLERANCE / max(USAGE_TOLERANCE, usage)
        cost = max(0.0, plan.excess_cost - plan.excess_revenue)
        self._worth_within_quota = COST_DECAY * self._worth_within_quota + worth * (1 - excess)
        self._excess_cost = COST_DECAY * self._excess_cost + worth * excess * cost

    def admission_probability(self) -> float:
        """Return the probability of admitting a request of a customer with small shares and no reading.

        A customer that asks for far more than its quota reaches as many gateways as it has requests, and each
        sees a first request. Only how often such requests turned out to be excess tells what admitting them
        costs, so the probability follows that cost. This bounds the cost for any plan and at times with many
        such customers. Customers within their quota are refused along with them, and where few customers
        exceed their quota, those few can exceed it further.
        """
        probability: float = (
            BASE_ADMISSION_PROBABILITY
            * (TARGET_EXCESS_COST_RATIO * self._worth_within_quota / max(self._excess_cost, 1e-9))
            ** ADMISSION_EXPONENT
        )
        return max(MIN_ADMISSION_PROBABILITY, min(1.0, probability))

    def is_within_ceiling(self, account: Account, units: float, beyond_quota: bool) -> bool:
        """Return whether the ceiling has room; excess requests leave half of it to those within the quota."""
        if not account.plan.ceiling_rate:
            return True
        return account.ceiling_level >= units + (
            account.plan.ceiling_burst / account.gateway_count / EXCESS_RESERVE_DIVISOR
            if beyond_quota
            else 0.0
        )

    def consume(self, account: Account, units: float, within_quota: bool) -> None:
        """Consume the units of a first attempt; they stay consumed if it is not sent, which is rare."""
        self._never_admitted.pop(account.key, None)
        if account.plan.ceiling_rate:
            account.ceiling_level -= units
        if within_quota and account.plan.quota_rate:
            account.quota_level -= units
