"""Quota slices, quota and ceiling levels, limits on requests in flight, and the cost of excess usage."""

from random import Random

from policy_driver import PolicyDriver, workers_sent_to

from wrenladder.policy.actions import Refuse
from wrenladder.policy.events import Request
from wrenladder.policy.quotas import (
    BASE_ADMISSION_PROBABILITY,
    IDLE_TIMEOUT,
    MIN_ADMISSION_PROBABILITY,
    TARGET_EXCESS_COST_RATIO,
    Quotas,
)
from wrenladder.policy.settings import Plan, RequestClass

PLAN = Plan("metered", quota_rate=3.0, quota_burst=12.0)
# Excess usage costs more than it earns.
COSTLY_EXCESS_PLAN = Plan("costly_excess", quota_rate=3.0, quota_burst=12.0, excess_cost=1.0)


def make_quotas(now: float = 0.0, seed: int = 7) -> Quotas:
    """Return the quotas of one gateway."""
    return Quotas(now, Random(seed))


def request_units(
    quotas: Quotas, now: float, units: float, metered_usage: float | None = None, plan: Plan = PLAN
):
    """Count requested units and a meter reading, if given, and return the customer's account."""
    account = quotas.account(now, "c", plan, 3)
    account.requested_units += units
    if metered_usage is not None:
        account.record_meter_reading(now, metered_usage, 2.0)
    return account


CEILING_PLAN = Plan(
    "capped", quota_rate=3.0, quota_burst=6.0, ceiling_rate=6.0, ceiling_burst=24.0, ceiling_slack=3.0
)
LONG_AFTER_START = 100.0  # seconds: a new account's ceiling is full


def test_accounts_without_an_admitted_request_are_dropped_first_at_the_limit():
    quotas = Quotas(0.0, Random(7), max_accounts=3)
    for customer in ("admitted", "refused", "other"):
        account = quotas.account(LONG_AFTER_START, customer, PLAN, 3)
        if customer != "refused":
            quotas.consume(account, 1.0, True)
    level = quotas.account(LONG_AFTER_START, "admitted", PLAN, 3).quota_level
    assert quotas.account(LONG_AFTER_START, "new", PLAN, 3) is not None
    assert list(quotas._accounts) == [("other", "metered"), ("admitted", "metered"), ("new", "metered")]
    assert quotas.account(LONG_AFTER_START, "admitted", PLAN, 3).quota_level == level


def test_account_whose_ceiling_is_in_use_is_never_dropped_for_another():
    quotas, now = Quotas(0.0, Random(7), max_accounts=2), LONG_AFTER_START
    in_use, in_flight = (quotas.account(now, customer, CEILING_PLAN, 3) for customer in "ab")
    for account in (in_use, in_flight):
        quotas.consume(account, 2.0, True)
    in_flight.in_flight = 1
    assert quotas.account(now, "new", CEILING_PLAN, 3) is None
    assert quotas.account(now, "a", CEILING_PLAN, 3) is in_use
    assert quotas.account(now + 2.0, "new", CEILING_PLAN, 3) is not None  # the ceiling of "a" is full again
    assert quotas.account(now + 2.0, "b", CEILING_PLAN, 3) is in_flight


def test_request_of_a_new_customer_is_refused_while_there_is_no_room_for_its_account():
    driver = PolicyDriver()
    driver.gateway.quotas._max_accounts = 1
    driver.advance(LONG_AFTER_START)
    assert workers_sent_to(driver.submit(plan="capped", customer="a")[1])
    assert isinstance(driver.submit(plan="capped", customer="b")[1][0], Refuse)
    assert workers_sent_to(driver.submit(plan="capped", customer="a")[1])


def test_new_customer_starts_with_its_share_of_rate_and_burst():
    account = request_units(make_quotas(), 5.0, 0)
    assert (account.slice_rate, account.quota_level) == (1.0, 4.0)


def test_slice_follows_the_meter_between_rate_share_and_forecast():
    quotas = make_quotas()
    for second in range(8):
        account = request_units(quotas, float(second), 1.0, metered_usage=0.5)
    assert account.slice_rate > 1.5  # the other gateways use little, so this one gets more
    assert account.slice_rate <= 2 * account.short_forecast and account.slice_rate <= PLAN.quota_rate
    highest_rate = account.slice_rate
    account = request_units(quotas, 8.0, 3.0, metered_usage=2.0)
    account = request_units(quotas, 9.0, 3.0, metered_usage=2.0)
    assert account.slice_rate < highest_rate
    for second in range(10, 20):
        account = request_units(quotas, float(second), 3.0, metered_usage=4.0)
    assert account.slice_rate == account.rate_share


def test_slice_is_unchanged_without_new_readings():
    quotas = make_quotas()
    for second in range(8):
        account = request_units(quotas, float(second), 1.0, metered_usage=0.5)
    last_rate = request_units(quotas, 8.0, 1.0).slice_rate
    for second in range(9, 15):
        account = request_units(quotas, float(second), 1.0)
        assert account.slice_rate == last_rate


def test_slice_falls_to_the_rate_share_when_requests_stop():
    quotas = make_quotas()
    for second in range(8):
        account = request_units(quotas, float(second), 1.0, metered_usage=0.5)
    assert request_units(quotas, 20.0, 0).slice_rate == account.rate_share


def test_idle_account_is_dropped_only_once_its_ceiling_is_full():
    quotas = make_quotas()
    slow_refill_plan = Plan("capped", quota_rate=1.0, quota_burst=3.0, ceiling_rate=0.03, ceiling_burst=3.0)
    account = quotas.account(0.0, "slow", slow_refill_plan, 3)
    for n in range(1000):
        quotas.account(1.0, f"c{n}", PLAN, 3)
    quotas.account(2.0 + IDLE_TIMEOUT, "new", PLAN, 3)
    assert len(quotas._accounts) == 2
    assert quotas.account(3.0 + IDLE_TIMEOUT, "slow", slow_refill_plan, 3) is account


def test_excess_usage_is_admitted_only_where_it_earns_more_than_it_costs():
    driver = PolicyDriver()
    driver.now = 60.0
    metered_count = sum(bool(workers_sent_to(driver.submit(plan="metered")[1])) for _ in range(20))
    assert metered_count == 4  # a third of the burst
    capped_count = sum(
        bool(workers_sent_to(driver.submit(plan="capped", customer="k")[1])) for _ in range(20)
    )
    # Its quota share is 2; the excess ends where half of its share of the ceiling is left.
    assert capped_count == 4


def test_max_in_flight_is_divided_and_freed_by_outcomes():
    driver = PolicyDriver()
    request_id, actions = driver.submit(plan="few")
    (worker,) = workers_sent_to(actions)
    assert workers_sent_to(driver.submit(plan="few")[1]) == []
    driver.finish_attempt(request_id, worker)
    assert len(workers_sent_to(driver.submit(plan="few")[1])) == 1


def test_quota_level_is_corrected_to_the_final_units():
    driver = PolicyDriver()
    request_id, actions = driver.submit(plan="metered", units=1.0)
    account = driver.gateway._in_flight[request_id, 0].account
    driver.finish_attempt(request_id, workers_sent_to(actions)[0], final_units=3.5)
    assert abs(account.quota_level - (4.0 - 3.5)) < 1e-9


def test_request_larger_than_the_burst_share_is_admitted():
    driver = PolicyDriver()
    assert len(workers_sent_to(driver.submit(plan="metered", units=6.0)[1])) == 1


def test_client_retry_past_its_latency_target_is_refused():
    driver = PolicyDriver()
    # The clients wait 3 s for each try; the deadline is 4 s.
    assert workers_sent_to(driver.submit(time_left=3.0)[1])
    for time_left, is_retry, admitted in ((3.0, True, True), (2.5, True, False), (2.5, False, True)):
        driver.request_count += 1
        event = Request(f"r{driver.request_count}", "read", "free", "c", time_left, is_retry=is_retry)
        assert bool(workers_sent_to(driver.handle(event))) is admitted


def test_wrong_plan_or_gateway_count_refills_no_bucket():
    other_plan = Plan("other", quota_rate=9.0, quota_burst=90.0)
    capped_plan = Plan("capped", quota_rate=3.0, quota_burst=6.0, ceiling_rate=6.0, ceiling_burst=24.0)
    quotas = make_quotas(-60.0)
    account = quotas.account(0.0, "c", capped_plan, 2)
    quotas.consume(account, 3.0, True)
    assert (account.quota_level, account.ceiling_level) == (0.0, 9.0)
    quotas.account(0.0, "c", other_plan, 2)  # not the customer's plan
    for gateway_count in (1, 3, 2):  # 1 and 3 are not the customer's gateway count
        assert quotas.account(0.0, "c", capped_plan, gateway_count) is account
        assert (
            account.quota_level == 0.0
            and account.ceiling_level <= 9.0
            and account.burst_share == 6.0 / gateway_count
        )


def test_client_retry_that_matches_an_initial_timeout_is_admitted():
    # A client gives its last retry all the time that is left, and clients differ: a wait like a recent
    # initial one is not known to be cut short by the deadline.
    driver = PolicyDriver()
    for time_left in (2.0, 3.9, 0.5):
        driver.request_count += 1
        driver.handle(
            Request(f"r{driver.request_count}", "read", "free", "c", time_left, is_retry=time_left == 3.9)
        )
    for time_left, admitted in ((2.0, True), (0.5, True), (3.9, True), (2.8, False), (1.0, False)):
        driver.request_count += 1
        assert (
            bool(
                workers_sent_to(
                    driver.handle(
                        Request(f"r{driver.request_count}", "read", "free", "c", time_left, is_retry=True)
                    )
                )
            )
            is admitted
        )
    for _ in range(100):
        driver.submit(time_left=3.0)
    assert len(driver.gateway._initial_timeouts["read"]) == 32  # older ones are dropped
    assert not workers_sent_to(driver.handle(Request("last", "read", "free", "c", 0.5, is_retry=True)))


def test_readings_of_a_short_meter_period_are_averaged():
    quotas = make_quotas()
    account = quotas.account(0.0, "c", PLAN, 3)
    for n in range(40):  # one unit in every fourth period of half a second: half the quota rate
        account.record_meter_reading(n * 0.5, 0.0 if (n + 2) % 4 else 2.0, 0.5)
        assert 0.1 < account.usage < 1.2
    account.record_meter_reading(30.0, 2.0, 2.0)  # a reading of a long period is not averaged
    assert account.usage == 2.0


def test_slice_steers_usage_to_slightly_below_the_quota():
    quotas = make_quotas()
    account = request_units(quotas, 0.0, 3.0)
    for second in range(1, 40):
        # The other gateways admit one unit a second.
        metered_usage = (account.slice_rate + 1.0) / PLAN.quota_rate
        account = request_units(quotas, float(second), 3.0, metered_usage=metered_usage)
    assert abs(account.slice_rate + 1.0 - 0.9 * PLAN.quota_rate) < 0.05


def test_small_share_gets_credit_only_while_readings_show_headroom():
    account = (quotas := make_quotas()).account(0.0, "c", PLAN, 300)  # a burst share of 0.04 units
    assert quotas.is_within_quota(account, 1.0, False)
    quotas.consume(account, 1.0, True)
    # Without readings only one request is admitted, as 299 other gateways may each admit one too.
    assert not quotas.is_within_quota(account, 1.0, False)
    account.record_meter_reading(1.0, 1.5, 2.0)
    assert not quotas.is_within_quota(account, 1.0, False)
    for second in range(2, 12):
        account.record_meter_reading(float(second), 0.1, 2.0)
    assert quotas.is_within_quota(account, 1.0, False)
    assert not quotas.is_within_quota(account, 1.0, True)  # no credit while the workers are overloaded
    quotas.consume(account, 1.0, True)
    assert not quotas.is_within_quota(account, 1.0, False)  # the credit is two requests at most


def test_flood_through_many_gateways_gets_little_at_each_of_them():
    quotas, admitted_count = make_quotas(), 0
    for n in range(200):  # ten requests a second for twenty seconds; readings of eight times the quota
        account = quotas.account(n / 10, "c", PLAN, 300)
        account.requested_units += 1
        if quotas.is_within_quota(account, 1.0, False):
            quotas.consume(account, 1.0, True)
            admitted_count += 1
            account.record_meter_reading(n / 10, 8.0, 2.0)
    assert admitted_count <= 2


def test_long_forecast_persists_between_infrequent_requests():
    quotas = make_quotas()
    for n in range(12):  # one request in ten seconds, well within the quota
        account = request_units(quotas, 10.0 * n, 1.0, metered_usage=0.2)
    account = quotas.account(118.0, "c", PLAN, 300)
    assert account.short_forecast < 0.05 and account.long_forecast > 0.05


def units_admitted_without_readings(gateway_count: int) -> float:
    """Return the units of a flood that all gateways together admit before the first meter reading."""
    admitted_units = 0.0
    for _ in range(gateway_count):
        quotas = make_quotas()
        for _ in range(20):
            account = quotas.account(0.0, "c", PLAN, gateway_count)
            if quotas.is_within_quota(account, 1.0, False):
                quotas.consume(account, 1.0, True)
                admitted_units += 1.0
    return admitted_units


def test_each_gateway_admits_less_without_readings_the_more_there_are():
    assert units_admitted_without_readings(3) == 12.0  # three gateways together admit the burst
    # Thirty admit their shares of the burst and little more than one request each.
    assert units_admitted_without_readings(30) <= 1.5 * 30


def test_first_requests_are_partly_refused_where_excess_is_costly():
    def admitted_share(plan, gateway_count):
        admitted_count = 0
        for seed in range(400):
            quotas = make_quotas(seed=seed)
            admitted_count += quotas.is_within_quota(
                quotas.account(0.0, "c", plan, gateway_count), 1.0, False
            )
        return admitted_count / 400

    assert admitted_share(PLAN, 300) == admitted_share(COSTLY_EXCESS_PLAN, 3) == 1.0
    expected_share = BASE_ADMISSION_PROBABILITY + 12.0 / (2 * 300)
    assert (
        abs(admitted_share(COSTLY_EXCESS_PLAN, 300) - expected_share)
        < 4 * (expected_share * (1 - expected_share) / 400) ** 0.5
    )
    assert (
        abs(admitted_share(COSTLY_EXCESS_PLAN, 20) - (BASE_ADMISSION_PROBABILITY + 12.0 / (2 * 20)))
        < 4 * (0.1 * 0.9 / 400) ** 0.5
    )


def test_request_much_sooner_than_at_full_use_is_presumed_excess():
    def second_request_is_admitted(interval, metered_usage, plan=COSTLY_EXCESS_PLAN):
        # A seed with which the first request is admitted.
        quotas = next(
            q
            for q in map(lambda n: make_quotas(seed=n), range(99))
            if q.is_within_quota(q.account(0.0, "c", plan, 30), 1.0, False)
        )
        account = quotas.account(0.0, "c", plan, 30)
        for n in range(20):
            account.record_meter_reading(n / 100, metered_usage, 2.0)
        account.quota_level = account.burst_share  # as if its share had been refilled
        return quotas.is_within_quota(quotas.account(interval, "c", plan, 30), 1.0, False)

    # At full use of the quota, this gateway gets a request of one unit every ten seconds.
    assert not second_request_is_admitted(0.5, metered_usage=0.95) and second_request_is_admitted(
        2.0, metered_usage=0.95
    )
    assert second_request_is_admitted(0.5, metered_usage=0.8)  # more than an eighth of its quota is free
    quotas = make_quotas()
    assert [
        quotas.account(0.0, "c", COSTLY_EXCESS_PLAN, gateway_count).has_small_share
        for gateway_count in (3, 30, 3)
    ] == [False, True, False]
    assert second_request_is_admitted(0.5, metered_usage=0.2)
    assert second_request_is_admitted(0.5, metered_usage=0.95, plan=PLAN)  # excess usage costs nothing


def test_fleet_admits_less_of_a_flood_where_excess_is_costly():
    """120 gateways, four times the quota for twelve seconds, and meter readings that come a second late."""

    def flood(plan, seed):
        fleet, choice = [make_quotas(seed=1000 * seed + n) for n in range(120)], Random(seed)
        units_by_second, level, excess_count, within_count = [0.0] * 14, plan.quota_burst, 0, 0
        for n in range(12 * 12):
            now = n / 12
            quotas = fleet[choice.randrange(120)]
            account = quotas.account(now, "c", plan, 120)
            account.requested_units += 1.0
            level = min(plan.quota_burst, level + plan.quota_rate / 12)
            if quotas.is_within_quota(account, 1.0, False):
                quotas.consume(account, 1.0, True)
                units_by_second[int(now)] += 1.0
                if level >= 1:
                    within_count, level = within_count + 1, level - 1
                else:
                    excess_count += 1
                if now >= 2:
                    account.record_meter_reading(now, units_by_second[int(now) - 2] / plan.quota_rate, 1.0)
        return excess_count, within_count

    quota, seeds = 12.0 + 12 * 3.0, range(10)
    costly_excess, free_excess = (
        [flood(plan, seed) for seed in seeds] for plan in (COSTLY_EXCESS_PLAN, PLAN)
    )
    assert sum(excess for excess, _ in costly_excess) < 0.7 * sum(excess for excess, _ in free_excess)
    assert sum(within for _, within in costly_excess) > 0.85 * quota * len(seeds)  # the quota is still used


def test_small_share_near_its_quota_is_admitted_with_a_little_headroom():
    def second_request_is_admitted(metered_usage):
        account = (quotas := make_quotas()).account(0.0, "c", PLAN, 300)
        quotas.consume(account, 1.0, quotas.is_within_quota(account, 1.0, False))
        for n in range(40):
            account.record_meter_reading(n / 10, metered_usage, 2.0)
        return quotas.is_within_quota(account, 1.0, False)

    assert second_request_is_admitted(0.8) and not second_request_is_admitted(1.0)


def test_admission_probability_follows_the_recorded_cost_of_excess():
    def probability_after(*readings, plan=COSTLY_EXCESS_PLAN):
        quotas = make_quotas()
        for metered_usage, worth in readings:
            quotas.record_excess(plan, metered_usage, worth)
        return quotas.admission_probability()

    assert abs(probability_after() - BASE_ADMISSION_PROBABILITY) < 1e-9
    low_usage, high_usage = [(0.3, 1.0)] * 100, [(4.0, 1.0)] * 100
    # The probability follows the cost, within its bounds.
    assert (
        probability_after(*low_usage) > BASE_ADMISSION_PROBABILITY
        and probability_after(*high_usage) == MIN_ADMISSION_PROBABILITY
    )
    assert probability_after(*low_usage * 9) == 1.0
    # Two thirds of one request in twelve are excess, which costs just the target.
    assert (
        abs(
            probability_after(*[*low_usage[:5], (4.0, 1.0), *low_usage[:6]] * 50) / BASE_ADMISSION_PROBABILITY
            - 1
        )
        < 0.2
    )
    # A fifth above the quota in one second may be chance.
    assert probability_after(*[(1.2, 1.0)] * 100) > BASE_ADMISSION_PROBABILITY
    # Requests of low worth have less effect.
    assert probability_after(*low_usage, *[(4.0, 1.0)] * 10) < probability_after(
        *low_usage, *[(4.0, 0.2)] * 10
    )
    # Where excess usage costs nothing, it has no effect.
    assert probability_after(*high_usage, plan=PLAN) > BASE_ADMISSION_PROBABILITY


def test_gateway_learns_the_cost_of_excess_from_responses_and_admits_less():
    def serve_new_customers(metered_usage):
        driver = PolicyDriver(
            plans=(COSTLY_EXCESS_PLAN,),
            gateway_count=300,
            classes=(RequestClass("read", 1.0, 4.0, worth=2.0),),
        )
        admitted_count = 0
        for n in range(400):  # each customer makes one request
            request_id, actions = driver.submit(
                plan="costly_excess", customer=f"c{n}", customer_gateway_count=300, delay=0.1
            )
            if workers_sent_to(actions):
                admitted_count += 1
                driver.finish_attempt(request_id, workers_sent_to(actions)[0], metered_usage=metered_usage)
        return admitted_count, driver.gateway.quotas.admission_probability()

    (low_usage_count, highest), (high_usage_count, lowest) = (
        serve_new_customers(0.3),
        serve_new_customers(3.0),
    )
    assert (
        (highest, lowest) == (1.0, MIN_ADMISSION_PROBABILITY)
        and low_usage_count > 300
        and high_usage_count < 150
    )


def test_gateways_hold_the_cost_of_excess_near_its_target():
    """Each request of a new customer reaches one of 150 gateways; one customer in four far exceeds its quota.

    Without `learning`, the gateways record no excess usage.
    """

    def excess_ratio(seed, learning):
        fleet, random = [make_quotas(seed=1000 * seed + n) for n in range(150)], Random(seed)
        within_count = excess_count = 0.0
        # One customer for each second: its quota is three units, and a heavy one requests twelve.
        for n in range(300):
            level, request_count = 3.0, 12 if random.random() < 0.25 else 2
            for _ in range(request_count):
                quotas = fleet[random.randrange(150)]
                account = quotas.account(float(n), f"c{n}", COSTLY_EXCESS_PLAN, 150)
                if quotas.is_within_quota(account, 1.0, False):
                    quotas.consume(account, 1.0, True)
                    within_count, excess_count, level = (
                        (within_count + 1, excess_count, level - 1)
                        if level >= 1
                        else (within_count, excess_count + 1, level)
                    )
                    if learning:
                        quotas.record_excess(
                            COSTLY_EXCESS_PLAN,
                            request_count * quotas.admission_probability() / COSTLY_EXCESS_PLAN.quota_rate,
                            1.0,
                        )
        return excess_count / within_count

    with_learning, without_learning = (
        sum(excess_ratio(seed, learning) for seed in range(3)) / 3 for learning in (True, False)
    )
    assert TARGET_EXCESS_COST_RATIO / 2 < with_learning < 0.75 * without_learning
