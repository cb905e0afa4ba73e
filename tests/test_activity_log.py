"""The log tells why requests were refused, retried or rejected, and connections closed."""

import logging
import signal

import pytest
from stand_ins import HttpClient, StubWorker, respond_with, run_scenario, running_gateway

from wrenladder.proxy.activity_log import MAX_EVENTS, MAX_SAMPLES, ActivityLog


def test_counts_are_logged_once_with_a_few_request_ids(caplog: pytest.LogCaptureFixture):
    activity = ActivityLog()
    with caplog.at_level(logging.INFO, logger="wrenladder"):
        for n in range(MAX_SAMPLES + 2):
            activity.record("failed", f"r{n}")
        activity.record("closed: idle")
        activity.flush("state")
        activity.flush("state")
    assert caplog.messages == ["activity: 1 closed: idle; 5 failed (r0, r1, r2); state"]


def test_number_of_descriptions_is_bounded():
    activity = ActivityLog()
    for n in range(10 * MAX_EVENTS):
        activity.record(f"rejected with 400 x-{n}", "r")
    assert len(activity._counts) == MAX_EVENTS + 1 and len(activity._samples) == MAX_EVENTS + 1


def test_log_at_the_exit_names_what_was_rejected_retried_and_failed():
    async def scenario():
        worker = StubWorker("w", respond_with(500))
        async with running_gateway(worker, expect_exit=True) as (gateway, _, client):
            assert (await client.exchange("write", request_id="unlucky")).status == 502
            client.send(HttpClient.request_bytes(plan="strange"))
            assert (await client.receive()).status == 400
            gateway.process.send_signal(signal.SIGTERM)
            assert await gateway.process.wait() == 0
            await gateway._log_reader
            (line,) = [line for line in gateway.log if "activity:" in line]
            for part in (
                "1 attempts failure (unlucky)",
                "1 failed (unlucky)",
                "1 rejected with 400 X-Tariff",
            ):
                assert part in line

    run_scenario(scenario())
