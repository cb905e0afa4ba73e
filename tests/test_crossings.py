"""Events that cross, forced on real sockets: a departure, a close or a signal meets a request on its way."""

import asyncio
import socket
import struct

import pytest
from stand import Client, Worker, answer, run, scene, until

from oliveloft.server import PIPELINE


def gated():
    """An event, and a script that answers once it is set."""
    go = asyncio.Event()

    async def script(request, writer):
        await go.wait()
        await answer(body=request.id.encode())(request, writer)
    return go, script


def leave(client: Client, how: str) -> None:
    """End a client's connection: with a reset, a close or an end of its sending."""
    if how == "reset":
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half":
        client.writer.write_eof()
    else:
        client.writer.transport.abort()


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("ahead", [3, PIPELINE + 4])
def test_what_waits_behind_a_request_is_not_sent_on_once_its_client_has_left(how, ahead):
    async def scenario():
        go, script = gated()
        worker = Worker("w", script)
        async with scene(worker) as (gatekeeper, _, client):
            client.send(b"".join(Client.request("write", id=f"p{n}") for n in range(ahead)))
            await until(lambda: len(worker.seen) == 1)
            leave(client, how)
            go.set()
            worker.script = answer()
            other = await gatekeeper.client()
            for _ in range(5):
                assert (await other.ask("write", id="")).status == 200
            assert [request.id for request in worker.seen if request.id.startswith("p")] == ["p0"]
    run(scenario())


def test_a_burst_of_clients_that_leave_while_they_wait_has_nothing_more_sent_on():
    async def scenario():
        go, script = gated()
        worker = Worker("w", script)
        async with scene(worker) as (gatekeeper, _, client):
            many = [await gatekeeper.client() for _ in range(20)]
            for n, one in enumerate(many):
                one.send(b"".join(Client.request("write", id=f"b{n}-{k}") for k in range(PIPELINE + 2)))
            await until(lambda: len(worker.seen) == 20)
            for n, one in enumerate(many):
                leave(one, ("close", "reset")[n % 2])
            go.set()
            worker.script = answer()
            for _ in range(5):
                assert (await client.ask("write")).status == 200
            assert sorted(r.id for r in worker.seen if r.id.startswith("b")) == sorted(
                f"b{n}-0" for n in range(20))
    run(scenario())


def test_a_client_that_is_read_no_further_is_seen_to_leave_before_its_request_ends():
    async def scenario():
        go, script = gated()
        worker = Worker("w", script)
        async with scene(worker) as (_, _, client):
            client.send(b"".join(Client.request("write", timeout="3.9") for _ in range(PIPELINE + 2)))
            await until(lambda: worker.seen)
            leave(client, "half")
            assert await client.ended()  # with no answer at the deadline
            assert len(worker.seen) == 1
    run(scenario())
