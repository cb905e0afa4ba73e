"""Race conditions, forced on real sockets: a disconnect, a close or a signal crosses a request in transit.

Where the gateway must not read what has arrived before the other event is due, it is stopped (SIGSTOP).
"""

import asyncio
import contextlib
import os
import signal
import socket
import struct

import pytest
from stand_ins import (
    HttpClient,
    StubWorker,
    process_state,
    respond_when_released,
    respond_with,
    run_scenario,
    running_gateway,
    wait_until,
    wait_until_reusable,
)

from wrenladder.proxy.client_connection import IDLE_TIMEOUT, MAX_LINGER_BYTES
from wrenladder.proxy.server import DISCONNECT_POLL_INTERVAL

MAX_ATTEMPT_DELAY_AFTER_CLOSE = 0.1  # seconds
PIPELINED_REQUESTS = 16  # that some clients send at once
MAX_HIDING_REQUESTS = 100_000  # far more than the buffers of a connection hold


def disconnect(client: HttpClient, disconnect_kind: str) -> None:
    """Disconnect a client by a reset, a close or a half-close, which ends only its sending."""
    if disconnect_kind == "reset":
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if disconnect_kind == "half":
        client.writer.write_eof()
    else:
        client.writer.transport.abort()


@pytest.mark.parametrize("disconnect_kind", ["close", "reset"])
@pytest.mark.parametrize("request_count", [3, PIPELINED_REQUESTS + 4])
def test_queued_requests_are_not_forwarded_after_client_disconnects(disconnect_kind, request_count):
    async def scenario():
        released, script = respond_when_released()
        worker = StubWorker("w", script)
        async with running_gateway(worker) as (gateway, _, client):
            client.send(
                b"".join(HttpClient.request_bytes("write", request_id=f"p{n}") for n in range(request_count))
            )
            await wait_until(lambda: len(worker.requests) == 1)
            disconnect(client, disconnect_kind)
            released.set()
            worker.script = respond_with()
            other_client = await gateway.connect()
            for _ in range(5):
                assert (await other_client.exchange("write", request_id="")).status == 200
            assert [
                request.request_id for request in worker.requests if request.request_id.startswith("p")
            ] == ["p0"]

    run_scenario(scenario())


def test_queued_requests_of_many_disconnecting_clients_are_not_forwarded():
    async def scenario():
        released, script = respond_when_released()
        worker = StubWorker("w", script)
        async with running_gateway(worker) as (gateway, _, client):
            clients = [await gateway.connect() for _ in range(20)]
            for n, disconnecting_client in enumerate(clients):
                disconnecting_client.send(
                    b"".join(
                        HttpClient.request_bytes("write", request_id=f"b{n}-{k}")
                        for k in range(PIPELINED_REQUESTS + 2)
                    )
                )
            await wait_until(lambda: len(worker.requests) == 20)
            for n, disconnecting_client in enumerate(clients):
                disconnect(disconnecting_client, ("close", "reset")[n % 2])
            released.set()
            worker.script = respond_with()
            for _ in range(5):
                assert (await client.exchange("write")).status == 200
            assert sorted(
                request.request_id for request in worker.requests if request.request_id.startswith("b")
            ) == sorted(f"b{n}-0" for n in range(20))

    run_scenario(scenario())


@pytest.mark.parametrize("disconnect_kind", ["close", "reset", "half"])
def test_disconnected_bad_clients_leave_no_descriptors_open(disconnect_kind):
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            assert (await client.exchange("write")).status == 200
            descriptor_directory = f"/proc/{gateway.process.pid}/fd"
            count_before = len(os.listdir(descriptor_directory))
            for n in range(12):
                bad_client = await gateway.connect()
                requests = [HttpClient.request_bytes("write", request_id=f"m{n}-{k}") for k in range(200)]
                bad_client.send(b"".join(requests) + b"\0noise" * n)
                disconnect(bad_client, disconnect_kind)
                if disconnect_kind == "half":
                    while await bad_client.receive() is not None:
                        pass  # replies may come before the end of the connection
            assert (await client.exchange("write")).status == 200
            # One connection to the worker was open before. All other descriptors opened since must be
            # connections to the worker too.
            await wait_until(
                lambda: len(os.listdir(descriptor_directory))
                <= count_before - 1 + worker.connection_count - worker.closed_count
            )
            assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_disconnect_is_detected_while_reading_is_paused():
    async def scenario():
        released, script = respond_when_released()
        worker = StubWorker("w", script)
        async with running_gateway(worker) as (_, _, client):
            client.send(
                b"".join(
                    HttpClient.request_bytes("write", timeout="3.9") for _ in range(PIPELINED_REQUESTS + 2)
                )
            )
            await wait_until(lambda: worker.requests)
            disconnect(client, "half")
            assert await client.is_closed_by_gateway()  # without a reply at the deadline
            assert len(worker.requests) == 1

    run_scenario(scenario())


@pytest.mark.parametrize("disconnect_kind", ["close", "reset", "half"])
@pytest.mark.parametrize("request_count", [1, PIPELINED_REQUESTS + 4])
def test_no_further_attempt_starts_after_an_unread_disconnect(disconnect_kind, request_count):
    async def scenario():
        released, responded, respond_overloaded = (
            asyncio.Event(),
            asyncio.Event(),
            respond_with(503, headers="X-Not-Processed: 1\r\n"),
        )

        async def script(request, writer):
            await released.wait()
            await respond_overloaded(request, writer)
            responded.set()

        workers = [StubWorker("w"), StubWorker("v")]
        async with running_gateway(*workers) as (gateway, _, client):
            while not all(worker.requests for worker in workers):
                assert (await client.exchange()).status == 200
            # The connection to each worker can be reused, so that no attempt waits for a connect.
            await wait_until_reusable()
            for worker in workers:
                worker.script = script
                worker.requests.clear()
            client.send(
                b"".join(
                    HttpClient.request_bytes(timeout="3.9", request_id=f"p{n}") for n in range(request_count)
                )
            )
            await wait_until(lambda: [worker for worker in workers if worker.requests])
            await gateway.suspend()
            released.set()
            await responded.wait()  # the first attempt was refused as overloaded and may be retried
            disconnect(client, disconnect_kind)
            sock = client.writer.get_extra_info("socket")
            # The socket is closed in a later iteration of the event loop.
            await wait_until(lambda: disconnect_kind == "half" or sock.fileno() < 0)
            gateway.process.send_signal(signal.SIGCONT)
            for worker in workers:
                worker.script = respond_with()
            other_client = await gateway.connect()
            for _ in range(5):
                assert (await other_client.exchange("write")).status == 200
            assert [
                request.request_id
                for worker in workers
                for request in worker.requests
                if request.request_id.startswith("p")
            ] == ["p0"]

    run_scenario(scenario())


@pytest.mark.parametrize("disconnect_kind", ["close", "half"])
def test_disconnect_is_detected_after_too_much_discarded_input(disconnect_kind):
    async def scenario():
        released, script = respond_when_released()
        worker = StubWorker("w", script)
        async with running_gateway(worker) as (gateway, _, client):
            valid_requests = b"".join(
                HttpClient.request_bytes("write", timeout="3.9", request_id=f"p{n}") for n in range(3)
            )
            client.send(valid_requests + b"\0")
            await wait_until(lambda: worker.requests)  # all of that is read, and its malformed end rejected
            # The gateway pauses reading only after the last of these bytes, so that no unread input precedes
            # the disconnect.
            client.send(b"\0" * (MAX_LINGER_BYTES + 1))
            await wait_until(lambda: not client.writer.transport.get_write_buffer_size())
            disconnect(client, disconnect_kind)
            worker.script = respond_with()
            other_client = await gateway.connect()
            for _ in range(5):
                assert (await other_client.exchange("write")).status == 200
            released.set()
            for _ in range(5):
                assert (await other_client.exchange("write")).status == 200
            assert [
                request.request_id for request in worker.requests if request.request_id.startswith("p")
            ] == ["p0"]

    run_scenario(scenario())


def send_more_than_the_receive_window_and_close(client: HttpClient, prefix: str) -> None:
    """Send so many requests that the close, which follows, can't reach the gateway before it reads."""
    sock = client.writer.get_extra_info("socket").dup()
    client.writer.transport.abort()
    with contextlib.suppress(BlockingIOError):
        for n in range(MAX_HIDING_REQUESTS):
            sock.send(HttpClient.request_bytes("write", timeout="3.9", request_id=f"{prefix}{n}"))
    sock.close()


@pytest.mark.parametrize("client_count", [1, 8])
def test_requests_are_not_forwarded_if_the_close_is_hidden_behind_unread_data(client_count):
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, _):
            clients = [await gateway.connect() for _ in range(client_count)]
            for client in clients:
                assert (await client.exchange("write")).status == 200
            await gateway.suspend()
            for n, client in enumerate(clients):
                send_more_than_the_receive_window_and_close(client, f"h{n}-")
            await asyncio.sleep(MAX_ATTEMPT_DELAY_AFTER_CLOSE)
            gateway.process.send_signal(signal.SIGCONT)
            other_client = await gateway.connect()
            for _ in range(5):
                assert (await other_client.exchange("write")).status == 200
            assert not [r.request_id for r in worker.requests if r.request_id.startswith("h")]

    run_scenario(scenario())


def test_no_further_attempt_starts_if_the_close_is_hidden_behind_unread_data():
    async def scenario():
        released, respond_overloaded = asyncio.Event(), respond_with(503, headers="X-Not-Processed: 1\r\n")

        async def script(request, writer):
            await released.wait()
            await respond_overloaded(request, writer)

        workers = [StubWorker("w", script), StubWorker("v", script)]
        async with running_gateway(*workers) as (gateway, _, client):
            client.send(HttpClient.request_bytes("write", timeout="3.9", request_id="h"))
            await wait_until(lambda: [worker for worker in workers if worker.requests])
            send_more_than_the_receive_window_and_close(client, "h")
            await asyncio.sleep(MAX_ATTEMPT_DELAY_AFTER_CLOSE)
            released.set()
            other_client = await gateway.connect()
            for worker in workers:
                worker.script = respond_with()
            for _ in range(5):
                assert (await other_client.exchange("write")).status == 200
            requests = [request for worker in workers for request in worker.requests]
            assert [r.request_id for r in requests if r.request_id.startswith("h")] == ["h"]

    run_scenario(scenario())


@pytest.mark.parametrize("disconnect_kind", ["close", "reset", "half"])
def test_request_id_that_comes_again_after_its_client_left_does_not_run_twice(disconnect_kind):
    async def scenario():
        released, script = respond_when_released()
        worker = StubWorker("w", script)
        async with running_gateway(worker) as (gateway, _, client):
            client.send(HttpClient.request_bytes("write", timeout="3.9", request_id="again"))
            await wait_until(lambda: worker.requests)
            disconnect(client, disconnect_kind)
            released.set()
            worker.script = respond_with()
            other_client = await gateway.connect()
            for _ in range(5):  # the first attempt has ended by then
                assert (await other_client.exchange("write")).status == 200
            reply = await other_client.exchange("write", request_id="again")
            assert reply.status not in (200, 429, 503)  # neither served again nor said not to have run
            assert [r.request_id for r in worker.requests].count("again") == 1

    run_scenario(scenario())


def test_disconnect_poll_interval_leaves_time_for_event_loop_delays():
    # No attempt may start more than 0.1 s after its client's close; the rest is for event loop delays.
    assert DISCONNECT_POLL_INTERVAL <= 0.1 / 2


def test_idle_connection_with_unread_request_is_not_closed():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            assert (await client.exchange("write")).status == 200
            # Until the gateway has finished the first request. Otherwise its idle time would start late.
            await wait_until(lambda: process_state(gateway) == "S")
            await gateway.suspend()
            client.send(HttpClient.request_bytes("write"))
            await asyncio.sleep(IDLE_TIMEOUT + 0.3)  # its idle timeout has passed when it continues
            gateway.process.send_signal(signal.SIGCONT)
            reply = await client.receive()
            assert reply is not None and reply.status == 200

    run_scenario(scenario())
