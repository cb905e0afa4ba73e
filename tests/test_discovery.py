"""The discovery watch: its first list, malformed entries, and failures of the discovery service."""

import asyncio
from random import Random

from stand_ins import (
    StubDiscovery,
    StubWorker,
    gateway_config,
    run_scenario,
    running_gateway,
    start_gateway,
    wait_until,
)

from wrenladder.proxy import discovery_watch
from wrenladder.proxy.discovery_messages import WorkerListUpdate


def test_gateway_starts_from_its_known_list_while_discovery_is_down():
    async def scenario():
        worker = await StubWorker("w").start()
        discovery = StubDiscovery([worker.list_entry()])
        await discovery.start()
        discovery.stop()
        gateway = await start_gateway(gateway_config(discovery.port, known_entries=[worker.list_entry()]))
        try:
            assert await gateway.health_status() == 200
            assert (await (await gateway.connect()).exchange("write")).status == 200
            await gateway.wait_for_log("keeping the list")
            other_worker = await StubWorker("v").start()
            await discovery.start()
            # The first poll asks for the changes since the known index, not for the snapshot.
            await discovery.wait_until_polled()
            assert "/v1/servers" not in discovery.polled_paths
            discovery.publish({"name": "w", "status": "removed"}, other_worker.list_entry())
            await wait_until(lambda: worker.closed_count == 1)
            assert (await (await gateway.connect()).exchange("write")).status == 200 and len(
                other_worker.requests
            ) == 1
        finally:
            gateway.process.kill()
            await gateway.process.wait()

    run_scenario(scenario())


def test_each_long_poll_asks_for_the_changes_since_the_last_index():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, discovery, client):
            for version in range(3):
                discovery.publish(worker.list_entry(weight=1.0 + version))
                await discovery.wait_until_polled()
            assert discovery.polled_paths[0] == "/v1/servers"
            assert [path.partition("&")[0] for path in discovery.polled_paths[1:]] == [
                f"/v1/servers?index={index}" for index in range(1, 5)
            ]
            assert len(discovery._connections) == 1  # over one connection
            assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_malformed_entries_are_skipped_and_logged_and_the_rest_is_applied():
    async def scenario():
        worker, other_worker = StubWorker("w"), StubWorker("v")
        await other_worker.start()
        async with running_gateway(worker) as (gateway, discovery, client):
            malformed_entries = [
                3,
                {},
                {"name": "x"},
                other_worker.list_entry(address="nowhere"),
                other_worker.list_entry(status="odd"),
                other_worker.list_entry(weight="heavy"),
                other_worker.list_entry(since_ms=-1),
                other_worker.list_entry(name=5),
                other_worker.list_entry(zone=None),
                other_worker.list_entry(weight=float("nan")),
            ]
            discovery.publish(
                *malformed_entries,
                {"name": "w", "status": "removed", "novel": 1},
                other_worker.list_entry(novel=[1]),
            )
            await discovery.wait_until_polled()
            assert (await client.exchange("write")).status == 200
            assert len(other_worker.requests) == 1 and not worker.requests
            await gateway.wait_for_log("skipped a malformed entry")
            assert sum("malformed" in line for line in gateway.log) == 1

    run_scenario(scenario())


def test_invalid_response_keeps_the_list_and_requests_the_snapshot():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, discovery, client):
            for raw_response in (
                b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
                b"no HTTP\r\n\r\n",
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
                b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"endpoints": []}',
            ):
                poll_count, discovery.raw_response = len(discovery.polled_paths), raw_response
                discovery.publish()
                await wait_until(lambda: len(discovery.polled_paths) > poll_count + 1)  # noqa: B023
                assert discovery.polled_paths[-1] == "/v1/servers"
                discovery.raw_response = None
                await discovery.wait_until_polled()
                assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_response_with_connection_close_is_followed_by_the_next_poll():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, discovery, client):
            body = b'{"index": 9, "snapshot": false, "endpoints": []}'
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            discovery.raw_response = head % len(body) + body
            discovery.publish()
            await wait_until(lambda: "index=9&" in discovery.polled_paths[-1])
            assert (await client.exchange("write")).status == 200
            assert not any("discovery" in line for line in gateway.log)

    run_scenario(scenario())


def test_overload_responses_increase_the_pause_between_polls(monkeypatch):
    monkeypatch.setattr(discovery_watch, "INITIAL_OVERLOAD_BACKOFF", 0.01)
    monkeypatch.setattr(discovery_watch, "MAX_OVERLOAD_BACKOFF", 0.04)
    pauses: list[float] = []

    async def scenario():
        discovery = await StubDiscovery([]).start()
        discovery.raw_response = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        updates: list[WorkerListUpdate] = []
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            0.0,
            updates.append,
            initial_index=1,
            random=Random(3),
        )
        original_schedule = watch._schedule
        monkeypatch.setattr(
            watch,
            "_schedule",
            lambda delay, callback: (
                pauses.append(delay) if callback == watch.start else None,
                original_schedule(delay, callback),
            ),
        )
        discovery.publish()
        watch.start()
        await wait_until(
            lambda: len(discovery.polled_paths) < 6
            and discovery.publish()
            or len(discovery.polled_paths) >= 6
        )
        assert all("index=1&" in path for path in discovery.polled_paths)
        assert not updates
        discovery.raw_response = None
        await wait_until(lambda: discovery.publish() or updates)
        assert watch._overload_backoff == discovery_watch.INITIAL_OVERLOAD_BACKOFF
        watch.stop()
        discovery.stop()

    run_scenario(scenario())
    assert 0.005 <= pauses[0] <= 0.01 < pauses[1] <= 0.02 < pauses[2] <= 0.04 and max(pauses) <= 0.04
    # Jitter, so that gateways that failed together don't retry together.
    assert len(set(pauses)) == len(pauses)


SHORT_TIMING = discovery_watch.WatchTiming(
    poll_wait=0.05, response_grace=0.2, response_timeout=0.2, max_backoff=0.2, recovery_wait=0.03
)


def test_unanswered_poll_times_out_but_a_waiting_long_poll_does_not():
    updates: list[WorkerListUpdate] = []

    async def scenario():
        discovery = await StubDiscovery(
            [{"name": "w", "address": "h:1", "status": "up", "since_ms": 5000}]
        ).start()
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            2.0,
            updates.append,
            timing=SHORT_TIMING,
        )
        watch.start()
        await wait_until(lambda: len(discovery.polled_paths) > 4)  # long polls that ended without a change
        assert (
            discovery.polled_paths.count("/v1/servers") == 1
            and updates[0].is_snapshot
            and not updates[1].is_snapshot
        )
        assert updates[0].endpoints[0].entry.started_at == 3.0  # in event loop time
        discovery.unresponsive = True
        poll_count = len(discovery.polled_paths)
        await wait_until(lambda: len(discovery.polled_paths) > poll_count + 3)  # more than one time-out
        discovery.unresponsive, update_count = False, len(updates)
        await wait_until(lambda: len(updates) > update_count)
        # The index is kept, so the next update is a delta.
        assert not updates[update_count].is_snapshot and discovery.polled_paths.count("/v1/servers") == 1
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_polls_use_the_recovery_wait_until_the_first_response():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(), ("127.0.0.1", discovery.port), 0.0, [].append, timing=SHORT_TIMING
        )
        watch.start()
        await discovery.wait_until_polled()
        discovery.unresponsive = True
        poll_count = len(discovery.polled_paths)
        # Polls on new connections time out, too.
        await wait_until(lambda: len(discovery.polled_paths) > poll_count + 2)
        assert {path.rpartition("=")[2] for path in discovery.polled_paths[poll_count + 1 :]} == {"30"}
        discovery.unresponsive = False
        await wait_until(lambda: discovery.polled_paths[-1].endswith("wait=50"))
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_truncated_response_is_discarded_and_requested_again():
    body = b'{"index": 2, "snapshot": false, "endpoints": [{"name": "w", "status": "removed"}]}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, discovery, client):
            discovery.raw_response = head + body[:-9]  # the rest is never sent
            poll_count = len(discovery.polled_paths)
            discovery.publish()
            await wait_until(lambda: len(discovery.polled_paths) > poll_count)  # over a new connection
            # The log tells a response that was cut off from a service that is silent.
            await gateway.wait_for_log(f"with {len(head + body) - 9} bytes of a response")
            assert (await client.exchange("write")).status == 200
            discovery.raw_response = head + body
            await wait_until(lambda: discovery.publish() or worker.closed_count)
            assert (await client.exchange("write")).status == 503

    run_scenario(scenario())


def test_late_data_and_failures_after_an_address_change_are_ignored():
    body = b'{"index": 9, "snapshot": true, "endpoints": []}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        updates: list[WorkerListUpdate] = []
        old_discovery = await StubDiscovery([]).start()
        new_discovery = await StubDiscovery([]).start()
        new_discovery.index = 4
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(), ("127.0.0.1", old_discovery.port), 0.0, updates.append
        )
        old_discovery.raw_response = head + body[:9]
        watch.start()
        # Wait until a part of the response has been received.
        await wait_until(lambda: watch._connection is not None and watch._connection._body_parts)
        old_connection = watch._connection
        watch.change_address(("127.0.0.1", new_discovery.port))
        old_connection.data_received(body[9:])  # the rest was in the receive buffer
        old_connection.connection_lost(ConnectionResetError())
        watch.on_failure(old_connection, "cannot connect")
        await new_discovery.wait_until_polled()
        assert [update.index for update in updates] == [4] and new_discovery.open_connection_count == 1
        assert new_discovery.polled_paths[0] == "/v1/servers" and len(new_discovery.polled_paths) == 2
        watch.stop()
        old_discovery.stop()
        new_discovery.stop()

    run_scenario(scenario())


def test_late_failure_of_an_old_connection_leaves_the_current_one_open():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(), ("127.0.0.1", discovery.port), 0.0, [].append
        )
        watch.start()
        await discovery.wait_until_polled()
        old_connection = watch._connection
        discovery._connections[0][1].transport.abort()
        await wait_until(lambda: len(discovery.polled_paths) == 3)  # the new connection has polled
        new_connection = watch._connection
        assert new_connection is not None and new_connection is not old_connection
        watch.on_failure(old_connection, "cannot connect: timed out")
        assert watch._connection is new_connection and discovery.open_connection_count == 1
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_reconnect_after_an_announced_close_leaves_no_poll_timer():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        loop, connect_allowed = asyncio.get_running_loop(), asyncio.Event()

        class DelayedConnectLoop:
            """The running event loop, but each connect after the first waits for `connect_allowed`."""

            connect_count = 0

            def __getattr__(self, name):
                return getattr(loop, name)

            async def create_connection(self, *args):
                self.connect_count += 1
                if self.connect_count > 1:
                    await connect_allowed.wait()
                return await loop.create_connection(*args)

        timing = discovery_watch.WatchTiming(
            poll_wait=0.05, response_grace=0.5, response_timeout=0.5, max_backoff=0.05, recovery_wait=0.05
        )
        watch = discovery_watch.DiscoveryWatch(
            DelayedConnectLoop(), ("127.0.0.1", discovery.port), 0.0, lambda update: None, timing=timing
        )
        body = b'{"index": 9, "snapshot": true, "endpoints": []}'
        discovery.raw_response = (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        watch.start()
        await wait_until(lambda: watch._loop.connect_count == 2)  # the reconnect has begun
        assert watch._timer is None or watch._timer.cancelled()
        connect_allowed.set()
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_overload_response_after_a_timeout_is_followed_by_a_poll_in_time(monkeypatch):
    # With this backoff, the next poll would begin too late if none were brought forward after a time-out.
    monkeypatch.setattr(discovery_watch, "INITIAL_OVERLOAD_BACKOFF", 60.0)
    monkeypatch.setattr(discovery_watch, "MAX_OVERLOAD_BACKOFF", 60.0)
    monkeypatch.setattr(discovery_watch, "POLL_DEADLINE", 2.0)

    async def scenario():
        discovery = await StubDiscovery([]).start()
        updates: list[WorkerListUpdate] = []
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            0.0,
            updates.append,
            timing=SHORT_TIMING,
        )
        watch.start()
        await discovery.wait_until_polled()
        discovery.unresponsive, poll_count = True, len(discovery.polled_paths)
        await wait_until(lambda: len(discovery.polled_paths) > poll_count)  # a poll that times out
        discovery.unresponsive, discovery.raw_response = False, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        discovery.publish()
        # Wait for the overload response to be handled.
        await wait_until(lambda: len(discovery.polled_paths) > poll_count + 1 and watch._connection is None)
        discovery.raw_response = None
        discovery.publish({"name": "w", "status": "removed"})
        await wait_until(lambda: updates[-1].endpoints)
        assert discovery.polled_paths.count("/v1/servers") == 1  # the index was kept
        watch.stop()
        discovery.stop()

    run_scenario(scenario())
