"""A discovery service whose responses take longer than the watch waits before it polls again."""

import asyncio
import json

import pytest
from stand_ins import (
    PIECE_COUNT,
    StubDiscovery,
    StubWorker,
    gateway_config,
    run_scenario,
    running_gateway,
    start_gateway,
    wait_until,
)

from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.discovery_timing import LOCAL_AGENT_TIMING, WatchTiming
from wrenladder.proxy.discovery_watch import DiscoveryWatch

SHORT_TIMING = WatchTiming(
    poll_wait=0.05, response_grace=0.05, response_timeout=0.05, max_backoff=0.02, recovery_wait=0.03
)


# Guards against a watch that gives up every poll before the last piece of its response: after a new
# configuration no list of the new discovery service was ever received (review/8).
def test_list_that_comes_slowly_in_pieces_after_a_reload_is_applied():
    async def scenario():
        worker, other_worker = StubWorker("w"), await StubWorker("v").start()
        async with running_gateway(worker) as (gateway, old_discovery, client):
            discovery = StubDiscovery([other_worker.list_entry()])
            discovery.pause_between_pieces = 1.5 * LOCAL_AGENT_TIMING.response_timeout / PIECE_COUNT
            await discovery.start()
            config = json.loads(gateway.config_path.read_text())
            config["discovery"] = f"127.0.0.1:{discovery.port}"
            await gateway.reload_config(json.dumps(config), "reloaded")
            old_discovery.stop()
            await discovery.wait_until_polled()  # for what is newer than the list
            assert (await client.exchange("write")).status == 200 and len(other_worker.requests) == 1
            discovery.publish(worker.list_entry(), {"name": "v", "status": "removed"})
            await discovery.wait_until_polled()
            assert (await client.exchange("write")).status == 200 and len(worker.requests) == 1

    run_scenario(scenario())


# Guards against a watch that is never told anything by a service which is always later than its time-outs.
@pytest.mark.parametrize("polls_awaited", [1, 2, 3])
def test_response_to_a_poll_that_timed_out_is_used_and_its_connection_kept(polls_awaited):
    updates: list[WorkerListUpdate] = []

    async def scenario():
        discovery = await StubDiscovery([]).start()
        discovery.polls_awaited = polls_awaited
        watch = DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            0.0,
            updates.append,
            timing=SHORT_TIMING,
        )
        watch.start()
        await wait_until(lambda: updates)
        assert updates[0].is_snapshot and updates[0].index == 1
        for index in (2, 3):
            discovery.publish({"name": f"w{index}", "status": "removed"})
            await wait_until(lambda: updates[-1].index == index)  # noqa: B023
        discovery.polls_awaited = 0
        # All other connections are closed once the service responds in time.
        await wait_until(lambda: discovery.open_connection_count == 1)
        watch.stop()
        await wait_until(lambda: discovery.open_connection_count == 0)
        discovery.stop()

    run_scenario(scenario())


def test_gateway_without_a_list_becomes_ready_with_a_late_first_response():
    async def scenario():
        worker = await StubWorker("w").start()
        discovery = StubDiscovery([worker.list_entry()])
        discovery.polls_awaited = 1
        await discovery.start()
        gateway = await start_gateway(gateway_config(discovery.port))
        try:
            await discovery.wait_until_polled()
            assert await gateway.health_status() == 200
            assert sum("keeping the list" in line for line in gateway.log) == 1  # one line for a series
        finally:
            gateway.process.kill()
            await gateway.process.wait()

    run_scenario(scenario())


def test_invalid_late_response_is_followed_by_a_request_for_the_snapshot():
    updates: list[WorkerListUpdate] = []

    async def scenario():
        discovery = StubDiscovery([])
        discovery.polls_awaited, discovery.raw_response = 1, b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
        await discovery.start()
        watch = DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            0.0,
            updates.append,
            initial_index=7,
            timing=SHORT_TIMING,
        )
        watch.start()
        await wait_until(lambda: discovery.publish() or "/v1/servers" in discovery.polled_paths)
        discovery.raw_response = None
        await wait_until(lambda: updates)
        assert updates[0].is_snapshot
        watch.stop()
        discovery.stop()

    run_scenario(scenario())
