"""Misbehaving clients: the memory that they can take, and the service that other clients get beside them."""

import asyncio
import contextlib
import string

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
# While another client's request is served, each flooding connection may get so many replies. A request takes
# a few turns of the event loop: accept, read, connect to a worker, write, read the response.
MAX_REPLIES_TO_FLOOD = 60
READ_SIZE = 1 << 20  # bytes

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


async def exchange_on_new_connection(gateway: GatewayProcess) -> int:
    """Return the status that another client gets, which connects for its request."""
    client = await gateway.connect()
    reply = await client.exchange()
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


def test_hundreds_of_unread_replies_stay_within_the_memory_limit():
    async def scenario():
        worker = StubWorker("w", respond_with(body=b"x" * 65_536))
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (gateway, _, _):
            clients = []
            for n in range(200):
                clients.append(await gateway.connect())
                clients[-1].writer.transport.pause_reading()
                # More replies than the buffers of the two systems hold.
                clients[-1].send(b"".join(HttpClient.request_bytes() for _ in range(100)))
                await wait_until(lambda n=n: len(worker.requests) > n)
            assert await gateway.health_status() == 200
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


class FloodingClient:
    """Writes the same bytes at full speed over one connection and counts the replies."""

    def __init__(self, client: HttpClient, requests: bytes) -> None:
        self.reply_count = 0
        self._client = client
        self._tasks = [asyncio.create_task(self._write(requests)), asyncio.create_task(self._read())]

    async def _write(self, requests: bytes) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                self._client.send(requests)
                await self._client.writer.drain()

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await self._client.reader.read(READ_SIZE):
                self.reply_count += data.count(b"HTTP/1.1 ")

    def stop(self) -> None:
        """End the flood."""
        for task in self._tasks:
            task.cancel()
        self._client.writer.transport.abort()


FLOODS = {
    "health checks": b"GET /healthz HTTP/1.1\r\n\r\n" * 2000,
    "health checks in small writes": b"GET /healthz HTTP/1.1\r\n\r\n",
    "unknown paths": b"GET /x HTTP/1.1\r\n\r\n" * 2000,
    "empty lines": b"\r\n" * 20_000,
    "expired requests": b"".join(HttpClient.request_bytes(timeout="0.001") for _ in range(2000)),
}


@pytest.mark.parametrize("kind", FLOODS)
@pytest.mark.parametrize("flooding_client_count", [1, 6])
def test_flood_on_a_connection_does_not_delay_other_clients(kind, flooding_client_count):
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker, sockets=MAX_SOCKETS, memory_mb=MIN_MEMORY_MB) as (
            gateway,
            _,
            client,
        ):
            assert (await client.exchange()).status == 200
            floods = [
                FloodingClient(await gateway.connect(), FLOODS[kind]) for _ in range(flooding_client_count)
            ]
            if kind not in ("unknown paths", "empty lines"):  # these connections are closed soon
                await wait_until(lambda: all(flood.reply_count > 100 for flood in floods))
            for _ in range(10):
                counts_before = [flood.reply_count for flood in floods]
                assert await exchange_on_new_connection(gateway) == 200
                for flood, count_before in zip(floods, counts_before, strict=True):
                    assert flood.reply_count - count_before <= MAX_REPLIES_TO_FLOOD
            for flood in floods:
                flood.stop()
            assert memory_status(gateway, "VmHWM") < MIN_MEMORY_MB << 20

    run_scenario(scenario())
