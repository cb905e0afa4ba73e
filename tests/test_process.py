"""The gateway process: its configuration, start, signals and limits."""

import asyncio
import gc
import json
import os
import resource
import tempfile
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest
from stand_ins import (
    CONFIG_DIRECTORY,
    HttpClient,
    StubDiscovery,
    StubWorker,
    gateway_config,
    memory_status,
    never_respond,
    respond_when_released,
    respond_with,
    run_scenario,
    running_gateway,
    start_gateway,
    wait_until,
    wait_until_reusable,
)

from wrenladder.proxy import discovery_watch
from wrenladder.proxy.__main__ import serve
from wrenladder.proxy.bridge import Bridge
from wrenladder.proxy.config import load_config
from wrenladder.proxy.discovery_connection import DiscoveryConnection, DiscoveryResponse
from wrenladder.proxy.discovery_timing import LOCAL_AGENT_TIMING, READ_GRACE, SHARED_SERVICE_TIMING
from wrenladder.proxy.service import CLIENT_SHARE, FIRST_RESPONSE_TIMEOUT, RESERVED_DESCRIPTORS
from wrenladder.proxy.worker_pool import MIN_IDLE_TIME


def altered_config(key, **changes):
    """Return a configuration without the key, or with it changed to `value`."""
    config = gateway_config(9)
    target = config
    *path, last = key.split(".")
    for part in path:
        target = target[part]
    if changes:
        target[last] = changes["value"]
    else:
        del target[last]
    return config


@pytest.mark.parametrize(
    ("configuration", "key"),
    [
        ("{", "PROXY_CONFIG"),
        ("[]", "PROXY_CONFIG"),
        (altered_config("settings"), "settings"),
        (altered_config("settings.Caps"), "Caps"),
        (altered_config("settings.Caps.IdleCloseUs"), "IdleCloseUs"),
        (altered_config("settings.Rules.DrainGraceUs", value="x"), "settings"),
        (altered_config("settings.NInstances", value=0), "gateway_count"),
        (altered_config("settings.Classes", value=[]), "classes"),
        (altered_config("settings.Caps.ConnectTimeoutUs", value=-1), "ConnectTimeoutUs"),
        (altered_config("listen", value="nowhere"), "listen"),
        (altered_config("listen", value="127.0.0.1:99999"), "listen"),
        (altered_config("discovery"), "discovery"),
        (altered_config("counter", value="here"), "counter"),
        (altered_config("seed", value="xyz"), "seed"),
        (altered_config("limits.sockets", value="many"), "limits.sockets"),
        (altered_config("limits.memory_mb", value="much"), "limits.memory_mb"),
        (altered_config("limits.memory_mb", value=0), "limits.memory_mb"),
        (altered_config("known", value=3), "known"),
    ],
)
def test_invalid_configuration_ends_with_one_line_naming_the_key(configuration, key):
    async def scenario():
        gateway = await start_gateway(
            configuration if isinstance(configuration, str) else json.dumps(configuration)
        )
        assert await gateway.process.wait() not in (0, None)
        await gateway._log_reader
        assert len(gateway.log) == 1 and key in gateway.log[0], gateway.log

    run_scenario(scenario())


def test_listen_address_in_use_is_reported():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        config = gateway_config(discovery.port)
        config["listen"] = f"127.0.0.1:{discovery.port}"
        gateway = await start_gateway(config)
        assert await gateway.process.wait() == 2
        await gateway._log_reader
        assert len(gateway.log) == 1 and "listen" in gateway.log[0]

    run_scenario(scenario())


def test_gateway_listens_only_after_first_discovery_response(monkeypatch):
    calls = []

    async def scenario():
        loop = asyncio.get_running_loop()
        worker = await StubWorker("w").start()
        discovery = await StubDiscovery([worker.list_entry(status="draining")]).start()
        discovery.index = 2
        apply_update, create_server = Bridge.apply_worker_list_update, loop.create_server
        monkeypatch.setattr(
            Bridge,
            "apply_worker_list_update",
            lambda self, update: (calls.append(update.index), apply_update(self, update)),
        )
        monkeypatch.setattr(
            loop,
            "create_server",
            lambda *args, **kwargs: (calls.append("listen"), create_server(*args, **kwargs))[1],
        )
        # A change since version 1, which is the version of the list in the configuration.
        discovery.publish(worker.list_entry(status="draining"))
        config_path = Path(tempfile.mkstemp(suffix=".json", dir=CONFIG_DIRECTORY.name)[1])
        config_path.write_text(
            json.dumps(gateway_config(discovery.port, known_entries=[worker.list_entry()]))
        )
        serve_task = asyncio.create_task(serve(load_config({"PROXY_CONFIG": str(config_path)})))
        await wait_until(lambda: "listen" in calls)
        serve_task.cancel()
        gc.unfreeze()  # `serve` has frozen the objects of the test process
        discovery.stop()
        worker.stop()

    run_scenario(scenario())
    assert calls[: calls.index("listen")] == [1, 3]


def test_healthz_is_200_only_once_there_are_workers():
    async def scenario():
        worker = StubWorker("w")
        await worker.start()
        async with running_gateway() as (gateway, discovery, _):
            assert await gateway.health_status() == 503
            discovery.publish(worker.list_entry())
            await discovery.wait_until_polled()
            assert await gateway.health_status() == 200

    run_scenario(scenario())


@pytest.mark.parametrize("has_initial_list", [True, False])
@pytest.mark.parametrize("failure", ["silent", "refusing", "overloaded"])
def test_gateway_is_ready_with_initial_list_or_first_from_discovery(failure, has_initial_list):
    async def scenario():
        worker = await StubWorker("w").start()
        discovery = await StubDiscovery([worker.list_entry()]).start()
        discovery.unresponsive, discovery.raw_response = (
            failure == "silent",
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        )
        if failure == "refusing":
            discovery.stop()
        gateway = await start_gateway(
            gateway_config(discovery.port, known_entries=[worker.list_entry()] if has_initial_list else None)
        )
        try:
            assert await gateway.health_status() == (200 if has_initial_list else 503)
            # Until it has failed more than once.
            await wait_until(lambda: len(discovery.polled_paths) > 1 or failure == "refusing")
            assert await gateway.health_status() == (200 if has_initial_list else 503)
            discovery.unresponsive, discovery.raw_response = False, None
            if failure == "refusing":
                await discovery.start()
            while await gateway.health_status() != 200:
                await asyncio.sleep(0.005)
            assert (await (await gateway.connect()).exchange("write")).status == 200
        finally:
            gateway.process.kill()
            await gateway.process.wait()

    run_scenario(scenario())


@pytest.mark.parametrize(("overload_responses", "max_total_wait"), [(4, 6.0), (5, 9.0)])
def test_overload_backoff_leaves_nine_in_ten_gateways_time_to_be_ready(overload_responses, max_total_wait):
    """Bounds the total backoff, as scheduled, of a gateway without a worker list.

    Discovery is overloaded by many gateways at once and answers the first polls with 503. Nine in ten
    gateways have to be ready within 6 s, or within 10 s of their start, of which 1 s is for the start itself.
    """
    total_waits = []
    for seed in range(200):
        waits: list[float] = []
        loop = SimpleNamespace(
            call_later=lambda delay, callback, waits=waits: waits.append(delay),
            time=lambda waits=waits: sum(waits),
        )
        watch = discovery_watch.DiscoveryWatch(loop, ("127.0.0.1", 9), 0.0, [].append, random=Random(seed))
        for _ in range(overload_responses):
            connection = DiscoveryConnection(watch, ("127.0.0.1", 9), loop.time)
            watch.on_response(connection, DiscoveryResponse(503, b"", will_close=False))
        total_waits.append(sum(waits))
    assert sorted(total_waits)[len(total_waits) * 9 // 10] < max_total_wait
    assert FIRST_RESPONSE_TIMEOUT < 1.0  # all that a gateway with a worker list waits for
    for timing in (SHARED_SERVICE_TIMING, LOCAL_AGENT_TIMING):
        # The longest time from the recovery of an unresponsive service to the next poll.
        assert timing.response_timeout + READ_GRACE + timing.max_backoff < 6.0 - 1.0


def test_sighup_moves_discovery_watch_without_affecting_requests():
    async def scenario():
        worker, other_worker = StubWorker("w", never_respond), await StubWorker("v").start()
        async with running_gateway(worker) as (gateway, old_discovery, client):
            released, worker.script = respond_when_released()
            client.send(HttpClient.request_bytes("write", timeout="3.0"))
            await wait_until(lambda: worker.requests)
            new_discovery = await StubDiscovery([worker.list_entry(), other_worker.list_entry()]).start()
            new_discovery.index = 7  # unrelated to the index of the old service
            # To the new service, back, and to the new one again: each time the snapshot is requested first.
            for n, current in enumerate((new_discovery, old_discovery, new_discovery)):
                poll_counts = [len(each.polled_paths) for each in (old_discovery, new_discovery)]
                await gateway.reload_config(
                    json.dumps({**gateway_config(current.port), "counter": "127.0.0.1:9"}),
                    f"reloaded: discovery at 127.0.0.1:{current.port}",
                )
                await wait_until(lambda: current.polled_paths[poll_counts[current is new_discovery] :][1:])  # noqa: B023
                assert current.polled_paths[poll_counts[current is new_discovery]] == "/v1/servers"
                previous = old_discovery if current is new_discovery else new_discovery
                await wait_until(lambda: previous.open_connection_count == 0)  # noqa: B023
                assert len(previous.polled_paths) == poll_counts[previous is new_discovery], n
            released.set()
            assert (await client.receive()).status == 200
            worker.script = respond_with()
            while not other_worker.requests:
                assert (await client.exchange("write")).status == 200
            assert worker.connection_count == 1

    run_scenario(scenario())


def test_sighup_cancels_a_retry_scheduled_for_the_old_address():
    async def scenario():
        async with running_gateway(StubWorker("w")) as (gateway, old_discovery, _):
            old_discovery.stop()
            await gateway.wait_for_log("trying again")
            new_discovery = await StubDiscovery([]).start()
            await gateway.reload_config(json.dumps(gateway_config(new_discovery.port)), "reloaded")
            await new_discovery.wait_until_polled()
            poll_count = len(old_discovery.polled_paths)
            await old_discovery.start()
            await asyncio.sleep(1.2)  # longer than the longest pause before a retry
            assert len(old_discovery.polled_paths) == poll_count
            assert new_discovery.polled_paths[0] == "/v1/servers" and all(
                "index=" in path for path in new_discovery.polled_paths[1:]
            )

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("text", "log_text"),
    [
        ("{", "PROXY_CONFIG"),
        (json.dumps(altered_config("settings")), "settings"),
        (json.dumps(altered_config("discovery", value="nowhere")), "discovery"),
    ],
)
def test_sighup_with_invalid_file_keeps_the_configuration(text, log_text):
    async def scenario():
        async with running_gateway(StubWorker("w")) as (gateway, discovery, client):
            await gateway.reload_config(text, f"reload: {log_text}")
            assert len(gateway.log) == 1
            assert (await client.exchange("write")).status == 200
            discovery.publish()
            await discovery.wait_until_polled()
            assert discovery.polled_paths.count("/v1/servers") == 1

    run_scenario(scenario())


def test_open_descriptors_stay_within_the_configured_limit():
    async def scenario():
        async with running_gateway(StubWorker("w"), sockets=100) as (gateway, _, client):
            assert resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE)[0] == 100
            clients = [await gateway.connect() for _ in range(120)]
            for each in clients:
                each.send(HttpClient.request_bytes("write", body=b"whole")[:-1])
            # Connections beyond the limit and the overflow allowance are closed at once.
            await wait_until(lambda: sum(each.reader.at_eof() for each in clients) >= 50)
            assert len(os.listdir(f"/proc/{gateway.process.pid}/fd")) <= 100
            for each in clients:
                each.writer.close()
            while (await (await gateway.connect()).exchange("write")).status != 200:
                pass

    run_scenario(scenario())


@pytest.mark.parametrize("failure", ["silent", "refusing"])
@pytest.mark.parametrize("sockets", [256, 1024])
def test_idle_clients_at_limit_do_not_prevent_discovery_recovery(sockets, failure):
    async def scenario():
        worker = await StubWorker("w").start()
        discovery = await StubDiscovery([worker.list_entry()]).start()
        discovery.unresponsive = failure == "silent"
        if failure == "refusing":
            discovery.stop()
        gateway = await start_gateway(gateway_config(discovery.port, sockets=sockets))
        try:
            assert await gateway.health_status() == 503
            descriptor_directory, client_limit = (
                f"/proc/{gateway.process.pid}/fd",
                int((sockets - RESERVED_DESCRIPTORS) * CLIENT_SHARE),
            )
            idle_clients = [await gateway.connect() for _ in range(sockets)]
            # Until the gateway has as many client connections as it accepts.
            await wait_until(lambda: len(os.listdir(descriptor_directory)) > client_limit)
            discovery.unresponsive = False
            if failure == "refusing":
                await discovery.start()
            while await gateway.health_status() != 200:
                await asyncio.sleep(0.005)
            assert (await (await gateway.connect()).exchange("write")).status == 200
            assert len(idle_clients) == sockets and len(worker.requests) == 1
        finally:
            gateway.process.kill()
            await gateway.process.wait()

    run_scenario(scenario())


def test_gateway_survives_running_out_of_descriptors():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            assert (await client.exchange("write")).status == 200
            await wait_until_reusable()
            resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, (24, 24))
            clients = []
            for _ in range(60):
                clients.append(await gateway.connect())
            for each in clients:
                each.send(HttpClient.request_bytes("write"))
            replies = [await each.receive() for each in clients]
            assert sum(reply is not None and reply.status == 200 for reply in replies) >= 1
            for each in clients:
                each.writer.close()
            await asyncio.sleep(0.05)
            assert (await (await gateway.connect()).exchange("write")).status == 200

    run_scenario(scenario())


def test_long_run_leaks_neither_memory_nor_connections():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            memory_sizes, reply_times, loop = [], [], asyncio.get_running_loop()
            for _ in range(3):
                for _ in range(300):
                    assert (await client.exchange("write", body=b"x" * 20_000)).status == 200
                    reply_times.append(loop.time())
                    await asyncio.sleep(0.002)  # without it, more connections than allowed would be needed
                memory_sizes.append(memory_status(gateway, "VmRSS"))
            assert memory_sizes[2] - memory_sizes[1] < 3_000_000 and memory_sizes[2] < 100_000_000
            # No more connections than were too recently used for reuse at the busiest moment, and none that
            # replaced another.
            max_too_recent = max(
                sum(time - 2 * MIN_IDLE_TIME < other_time <= time for other_time in reply_times)
                for time in reply_times
            )
            assert worker.connection_count <= max_too_recent + 1 and worker.closed_count == 0

    run_scenario(scenario())
