"""The timing of the discovery watch: the bounds that `WatchTiming` states, in virtual time."""

import contextlib
from random import Random

import pytest
from scripted_discovery import (
    DELAYED_FAILURES,
    IMMEDIATE_FAILURES,
    ScriptedDiscoveryLoop,
    poll_times,
    run_with_random_outcomes,
    time_until_update,
)

from wrenladder.proxy import discovery_watch
from wrenladder.proxy.discovery_timing import (
    EARLY_POLL_MIN_TIME_LEFT,
    LATE_POLL_PATIENCE,
    LOCAL_AGENT_TIMING,
    POLL_DEADLINE,
    READ_GRACE,
    SHARED_SERVICE_TIMING,
    UPDATE_DEADLINE,
)


def test_failures_with_local_agent_timing_are_shorter_than_a_drain_grace():
    # The shortest grace period of a drain in any deployment so far. The drain may have to be known at any
    # moment within it.
    drain_grace = 1.0  # seconds
    assert (
        LOCAL_AGENT_TIMING.poll_wait
        + LOCAL_AGENT_TIMING.response_grace
        + READ_GRACE
        + discovery_watch.INITIAL_BACKOFF
        < drain_grace
    )
    assert (
        LOCAL_AGENT_TIMING.recovery_wait
        + LOCAL_AGENT_TIMING.response_grace
        + READ_GRACE
        + LOCAL_AGENT_TIMING.max_backoff
        < drain_grace
    )
    # A connect that times out.
    assert LOCAL_AGENT_TIMING.response_timeout + READ_GRACE + LOCAL_AGENT_TIMING.max_backoff < drain_grace
    # With a shared service, a change has to be known 6 s after it happened, or 2 s after the end of a wait.
    assert (
        2 * discovery_watch.MAX_OVERLOAD_BACKOFF <= 6.0
        and SHARED_SERVICE_TIMING.response_timeout + READ_GRACE < 2.0
        and SHARED_SERVICE_TIMING.response_grace + READ_GRACE < 2.0
    )


def test_timing_constants_keep_the_bounds_that_watch_timing_states():
    overload_backoff, timeout_detection = (
        discovery_watch.MAX_OVERLOAD_BACKOFF,
        max(
            SHARED_SERVICE_TIMING.recovery_wait + SHARED_SERVICE_TIMING.response_grace + READ_GRACE,
            SHARED_SERVICE_TIMING.response_timeout,
        ),
    )
    long_poll_timeout = SHARED_SERVICE_TIMING.poll_wait + SHARED_SERVICE_TIMING.response_grace + READ_GRACE
    assert UPDATE_DEADLINE == 6.0 and 2 * overload_backoff < POLL_DEADLINE
    assert (
        long_poll_timeout
        + discovery_watch.INITIAL_BACKOFF
        + discovery_watch.INITIAL_OVERLOAD_BACKOFF
        + 2 * EARLY_POLL_MIN_TIME_LEFT
        < POLL_DEADLINE
    )
    # A connection may take up to 1 s longer.
    assert long_poll_timeout + discovery_watch.INITIAL_BACKOFF + 1.0 < UPDATE_DEADLINE
    assert overload_backoff + timeout_detection + SHARED_SERVICE_TIMING.max_backoff < POLL_DEADLINE


# Seconds allowed for a response of the simulated discovery, and for those of the failures before it.
RESPONSE_TIME = 0.1


@pytest.mark.parametrize(
    ("bound", "failures"),
    [
        (
            POLL_DEADLINE,
            {"failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME},
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "earlier_failures": IMMEDIATE_FAILURES,
            },
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "earlier_failures": ("busy",),
            },
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "earlier_failures": ("refused",),
            },
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "delayed_failures": DELAYED_FAILURES,
            },
        ),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("busy", "busy")}),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("cut", "busy")}),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("busy", "reset")}),
        (UPDATE_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("late",)}),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "earlier_failures": IMMEDIATE_FAILURES}),
        (
            POLL_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("busy",),
                "following_outcomes": ("busy",),
            },
        ),
        (
            UPDATE_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("busy",),
                "following_outcomes": ("late",),
            },
        ),
        (
            POLL_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("refused",),
                "following_outcomes": ("busy", "busy"),
            },
        ),
        (
            UPDATE_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("refused",),
                "following_outcomes": ("late", "busy"),
            },
        ),
    ],
)
def test_change_is_known_by_its_deadline_after_failures(bound, failures):
    # POLL_DEADLINE bounds the start of the last poll, so the time for its response is added.
    slack = RESPONSE_TIME * (bound < UPDATE_DEADLINE)
    assert (
        max(time_until_update(seed, SHARED_SERVICE_TIMING, **failures) for seed in range(150)) < bound + slack
    )


# Guards against a watch that gives up each poll of a slow service before its response.
@pytest.mark.parametrize(
    ("timing", "response_time", "failures"),
    [
        (LOCAL_AGENT_TIMING, 0.6, {}),
        (LOCAL_AGENT_TIMING, LATE_POLL_PATIENCE, {}),
        (LOCAL_AGENT_TIMING, LATE_POLL_PATIENCE, {"delayed_failures": ("silent", "lost")}),
        (LOCAL_AGENT_TIMING, LATE_POLL_PATIENCE, {"delayed_failures": ("half",)}),
        (SHARED_SERVICE_TIMING, 1.8, {}),
        (SHARED_SERVICE_TIMING, 2.5, {}),
    ],
)
def test_slow_service_is_heard_within_the_deadline_of_a_change(timing, response_time, failures):
    assert (
        max(time_until_update(seed, timing, response_time=response_time, **failures) for seed in range(150))
        < UPDATE_DEADLINE
    )


@pytest.mark.parametrize("timing", [LOCAL_AGENT_TIMING, SHARED_SERVICE_TIMING])
def test_after_random_failures_a_change_is_known_in_time_over_at_most_two_connections(timing):
    for seed in range(40):
        run = run_with_random_outcomes(seed, timing, changed_at=40.0)
        assert run.update_delay < UPDATE_DEADLINE, seed
        assert run.indexes == sorted(run.indexes), seed  # no older list after a newer one
        assert run.most_open_connections <= 2 and run.left_open == 0, seed


@pytest.mark.parametrize("earlier_failures", [(), ("reset", "cut", "malformed"), ("refused",)])
def test_unresponsive_local_agent_delays_a_change_less_than_a_drain_grace(earlier_failures):
    assert (
        max(
            time_until_update(seed, LOCAL_AGENT_TIMING, DELAYED_FAILURES, earlier_failures=earlier_failures)
            for seed in range(150)
        )
        < 1.0
    )


@pytest.mark.parametrize("outcomes", [["ended", "silent"], ["ended", "late", "silent"]])
def test_slow_reconnect_after_an_announced_close_delays_no_poll_timeout(outcomes):
    assert (
        0
        < poll_times(outcomes, 3)[2]
        - SHARED_SERVICE_TIMING.poll_wait
        - SHARED_SERVICE_TIMING.response_grace
        - READ_GRACE
        < discovery_watch.INITIAL_BACKOFF + RESPONSE_TIME
    )


@pytest.mark.parametrize(
    ("outcomes", "count", "brought_forward"),
    [
        (["good", "silent", "busy"], 4, True),
        (["good", "dead", "busy"], 4, True),
        (["good", "good", "reset", "busy"], 5, False),  # the reset was noticed at once
        (["good", "reset", *["refused"] * 20, "silent", "busy"], 5, True),
        ([*["malformed"] * 20, "silent", "busy"], 23, True),
    ],
)
def test_poll_is_brought_forward_only_after_a_delayed_failure(outcomes, count, brought_forward, monkeypatch):
    monkeypatch.setattr(discovery_watch, "INITIAL_OVERLOAD_BACKOFF", 60.0)
    monkeypatch.setattr(discovery_watch, "MAX_OVERLOAD_BACKOFF", 60.0)
    *_, overloaded_poll, next_poll = poll_times(outcomes, count)
    assert (next_poll - overloaded_poll < POLL_DEADLINE) is brought_forward


def test_retry_delays_have_jitter_and_one_after_a_timeout_is_shortened():
    loop = ScriptedDiscoveryLoop(None, 0.0, 0.0, Random(1))
    watch = discovery_watch.DiscoveryWatch(loop, ("discovery", 1), 0.0, lambda update: None, random=Random(2))
    with contextlib.closing(loop):
        for backoff, min_delay in ((0.4, 0.2), (SHARED_SERVICE_TIMING.max_backoff, 0.8)):
            delays = [watch._retry_delay(backoff, SHARED_SERVICE_TIMING.max_backoff) for _ in range(50)]
            assert min_delay <= min(delays) < max(delays) <= backoff and len(set(delays)) == 50
        for time_left in (2.0, 0.5, 0.1):
            watch._poll_deadline = time_left
            assert time_left - discovery_watch.EARLY_POLL_JITTER <= watch._retry_delay(2.6, 2.6) <= time_left
            assert watch._retry_delay(2.6, 2.6) > 1.8  # only one poll is brought forward
