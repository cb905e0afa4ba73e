"""A new worker process at the address of another one is not taken for the old one."""

import pytest
from stand_ins import (
    StubWorker,
    reset_connection,
    respond_with,
    run_scenario,
    running_gateway,
    wait_until,
    wait_until_reusable,
)

ZONE_SCOPED_TOKEN = {"Effect": "token", "Group": "zone", "WindowUs": 4_000_000}
LONG_AGO_MS = 1_000_000_000_000


@pytest.mark.parametrize("old_start_ms", [0, LONG_AGO_MS])
def test_retry_does_not_reach_another_zone_through_a_reused_address(old_start_ms):
    """The old worker is still listed as up in zone a, but its address now belongs to a worker of zone b."""

    async def scenario():
        failing, replaced = StubWorker("failing"), StubWorker("old")
        async with running_gateway(failing, replaced, class_changes=ZONE_SCOPED_TOKEN) as (
            _,
            discovery,
            client,
        ):
            failing.script = reset_connection
            entries = [
                failing.list_entry(),
                replaced.list_entry(since_ms=old_start_ms),
                replaced.list_entry(name="new", zone="b", since_ms=LONG_AGO_MS + 1),
            ]
            discovery.publish(*entries[::-1] if old_start_ms else entries)
            await discovery.wait_until_polled()
            for n in range(30):
                await client.exchange("write", request_id=f"t{n}")
            ids_at_both = {r.request_id for r in failing.requests} & {r.request_id for r in replaced.requests}
            assert failing.requests and replaced.requests and not ids_at_both

    run_scenario(scenario())


def test_idle_connection_is_not_used_for_a_new_worker_at_its_address():
    async def scenario():
        worker = StubWorker("old")
        async with running_gateway(worker) as (_, discovery, client):
            assert (await client.exchange("write")).status == 200
            await wait_until_reusable()
            discovery.publish(worker.list_entry(name="new", since_ms=LONG_AGO_MS))
            await discovery.wait_until_polled()
            await wait_until(lambda: worker.closed_count)
            assert (await client.exchange("write")).status == 200
            assert worker.request_connections == [1, 2]

    run_scenario(scenario())


def test_late_removal_of_the_old_worker_keeps_the_new_one_at_its_address():
    async def scenario():
        worker = StubWorker("old")
        async with running_gateway(worker) as (_, discovery, client):
            for entry in (
                worker.list_entry(name="new", since_ms=LONG_AGO_MS),
                worker.list_entry(status="draining"),
                {"name": "old", "status": "removed"},
            ):
                discovery.publish(entry)
                await discovery.wait_until_polled()
                assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_worker_moves_back_to_an_address_that_was_reused():
    async def scenario():
        worker, other = StubWorker("w"), StubWorker("other")
        async with running_gateway(worker, other) as (_, discovery, client):
            other.script = respond_with(500)
            discovery.publish(
                other.list_entry(address=worker.list_entry()["address"], since_ms=LONG_AGO_MS),
                worker.list_entry(since_ms=LONG_AGO_MS + 1),
            )
            await discovery.wait_until_polled()
            for _ in range(10):
                assert (await client.exchange("write")).status == 200
            assert not other.requests

    run_scenario(scenario())
