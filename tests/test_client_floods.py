"""Misbehaving clients: the memory that they can take, and the service that other clients get beside them."""

import asyncio
import contextlib
import string
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import flooding_client
import pytest
from stand_ins import (
    GatewayProcess,
    HttpClient,
    StubWorker,
    memory_status,
    never_respond,
    respond_with,
    run_scenario,
    running_gateway,
    wait_until,
)

MIN_MEMORY_MB = 32  # the least memory limit of a deployment
MAX_SOCKETS = 1024
CLIENT_COUNT = 560  # fewer than the connection limit of the gateway with so many descriptors
HEALTH_CHECK_COUNT = 5
CUSTOMER_COUNT = 25_000
LEAVING_CLIENT_COUNT = 200
BATCH_SIZE = 100  # requests that are sent at once
CLIENT_TIMEOUT = 0.75  # seconds that other clients wait for their replies

CHUNKED_HEAD = HttpClient.request_bytes("write").replace(
    b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
)
SHORT_FIELDS = "".join(
    f"{a}{b}{c}:\r\n" for a in string.ascii_letters for b in string.ascii_letters for c in "ab"
)
STALLED_REQUESTS = {
    "a body without its last byte": lambda: HttpClient.request_bytes("write", body=b"x" * 65_000)[:-1],
    "a head of many short fields": lambda: HttpClient.request_bytes(extra_headers=SHORT_FIELDS[:15_000])[:-2],
    "a head of long fields": lambda: HttpClient.request_bytes(
        extra_headers="".join(f"X-{n}: {'x' * 1000}\r\n" for n in range(15))
    )[:-2],
    "a body of tiny chunks": lambda: CHUNKED_HEAD + b"2\r\nab\r\n" * 30_000,
    "many requests and a half one": lambda: (
        b"".join(HttpClient.request_bytes("write", timeout="3.9") for _ in range(150))
        + HttpClient.request_bytes()[:-2]
    ),
}


async def connect_and_send(gateway: GatewayProcess, data: bytes) -> HttpClient:
    """Connect a client and send `data`; the gateway may end the connection meanwhile."""
    client = await gateway.connect()
    client.send(data)
    with contextlib.suppress(ConnectionError):
        await client.writer.drain()
    return client


def close_all(clients: list[HttpClient]) -> None:
    """Close the connections of the clients."""
    for client in clients:
        client.writer.transport.abort()


async def exchange_on_new_connection(gateway: GatewayProcess, timeout: float = 2.0) -> int:
    """Return the status that another client gets, which connects for its request."""
    client = await gateway.connect()
    reply = await client.exchange(timeout=str(timeout))
    client.writer.close()
    return reply.status


@pytest.mark.parametrize("kind", STALLED_REQUESTS)
def test_hundreds_of_stalled_requests_stay_within_the_memory_limit(kind):
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (gateway, _, _):
            worker.script = never_respond if kind.startswith("many") else respond_with()
            clients = [await connect_and_send(gateway, STALLED_REQUESTS[kind]()) for _ in range(CLIENT_COUNT)]
            assert await gateway.health_status() == 200  # all that came before has been read
            if worker.script is not never_respond:
                assert await exchange_on_new_connection(gateway) == 200
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20
            close_all(clients)

    run_scenario(scenario())


async def wait_until_no_more_is_forwarded(
    gateway: GatewayProcess, client: HttpClient, worker: StubWorker
) -> None:
    """Wait until the worker gets no further request while the gateway answers some health checks.

    They come over the client's connection, and the last one over a new connection.
    """
    request_count = -1
    while request_count != len(worker.requests):
        request_count = len(worker.requests)
        for _ in range(HEALTH_CHECK_COUNT):
            assert await client.health_status() == 200
    assert await gateway.health_status() == 200


def test_hundreds_of_unread_replies_stay_within_the_memory_limit():
    async def scenario():
        worker = StubWorker("w", respond_with(body=b"x" * 65_536))
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (
            gateway,
            _,
            observer,
        ):
            clients = []
            for _ in range(200):
                clients.append(await gateway.connect())
                clients[-1].writer.transport.pause_reading()
                # More replies than the buffers of the two systems hold.
                clients[-1].send(b"".join(HttpClient.request_bytes() for _ in range(100)))
                await wait_until_no_more_is_forwarded(gateway, observer, worker)
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20
            close_all(clients)

    run_scenario(scenario())


def test_large_requests_in_flight_stay_within_the_memory_limit():
    async def scenario():
        worker = StubWorker("w", never_respond)
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (gateway, _, _):
            clients = []
            for n in range(CLIENT_COUNT):
                request = HttpClient.request_bytes("write", customer=f"{n:016x}", body=b"x" * 65_000)
                clients.append(await connect_and_send(gateway, request))
            assert await gateway.health_status() == 200
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20
            close_all(clients)

    run_scenario(scenario())


# Guards against bodies that are kept after their clients have left, while workers still have the requests.
def test_bodies_of_requests_whose_clients_have_left_are_released():
    body = b"x" * 65_000

    async def scenario():
        worker = StubWorker("w", never_respond)
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (gateway, _, _):
            memory_before = memory_status(gateway, "VmHWM")
            for n in range(LEAVING_CLIENT_COUNT):
                count, client = len(worker.requests), await gateway.connect()
                reply = asyncio.create_task(
                    client.exchange("write", timeout="3.9", customer=f"{n:016x}", body=body)
                )
                # It leaves once its request has been forwarded or refused.
                await wait_until(lambda n=count, reply=reply: reply.done() or len(worker.requests) > n)
                reply.cancel()
                client.writer.transport.abort()
            forwarded_bytes = len(worker.requests) * len(body)
            assert forwarded_bytes > 2_000_000
            assert memory_status(gateway, "VmHWM") - memory_before < forwarded_bytes / 2

    run_scenario(scenario())


@contextlib.asynccontextmanager
async def flood(gateway: GatewayProcess, kind: str, connection_count: int) -> AsyncIterator[None]:
    """Flood the gateway from another process, which has begun when the block is entered."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name("flooding_client.py")),
        str(gateway.port),
        str(connection_count),
        kind,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None and await process.stdout.readline()
        yield
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("kind", flooding_client.KINDS | flooding_client.WAITING_KINDS)
@pytest.mark.parametrize("connection_count", [1, 6])
def test_flood_on_a_connection_does_not_delay_other_clients(kind, connection_count):
    async def scenario():
        worker, loop = StubWorker("w"), asyncio.get_running_loop()
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (
            gateway,
            _,
            client,
        ):
            assert (await client.exchange()).status == 200
            async with flood(gateway, kind, connection_count):
                for _ in range(10):
                    started_at = loop.time()
                    assert await exchange_on_new_connection(gateway, CLIENT_TIMEOUT) == 200
                    assert loop.time() - started_at < CLIENT_TIMEOUT
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20

    run_scenario(scenario())


# Guards against memory that grows with the number of names in which a client sends requests.
def test_requests_in_the_names_of_ever_new_customers_stay_within_the_memory_limit():
    async def scenario():
        async with running_gateway(sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (gateway, _, client):
            for batch in range(CUSTOMER_COUNT // BATCH_SIZE):
                customers = range(batch * BATCH_SIZE, (batch + 1) * BATCH_SIZE)
                client.send(b"".join(HttpClient.request_bytes(customer=f"{n:016x}") for n in customers))
                # Without a worker each request is refused at once, but would leave an account.
                for _ in customers:
                    reply = await client.receive()
                    assert reply.status == 503
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20

    run_scenario(scenario())


@pytest.mark.parametrize("seed", [1, 2])
def test_orders_run_once_and_in_time_beside_stalled_and_flooding_clients(seed):
    random = Random(seed)
    stalled_kinds = random.sample(sorted(STALLED_REQUESTS), 3)
    flood_kind = random.choice(sorted(flooding_client.KINDS | flooding_client.WAITING_KINDS))

    async def scenario():
        workers, loop = [StubWorker(f"w{n}") for n in range(4)], asyncio.get_running_loop()
        async with (
            running_gateway(*workers, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (gateway, _, client),
            flood(gateway, flood_kind, random.randint(1, 4)),
        ):
            misbehaving_clients = []
            for n in range(60):
                data = STALLED_REQUESTS[random.choice(stalled_kinds)]()
                misbehaving_clients += [await connect_and_send(gateway, data) for _ in range(5)]
                if random.random() < 0.3:
                    leaving = misbehaving_clients.pop(random.randrange(len(misbehaving_clients)))
                    leaving.writer.transport.abort()
                if random.random() < 0.3:
                    client = await gateway.connect()
                started_at = loop.time()
                reply = await client.exchange("write", request_id=f"order{n}", timeout=str(CLIENT_TIMEOUT))
                assert reply.status == 200 and loop.time() - started_at < CLIENT_TIMEOUT
            close_all(misbehaving_clients)
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20
        orders = [r.request_id for worker in workers for r in worker.requests if "order" in r.request_id]
        assert sorted(orders) == sorted(f"order{n}" for n in range(60))

    run_scenario(scenario())
