"""Client connections: valid and invalid requests, pipelining, limits and timeouts."""

import asyncio
import signal

import pytest
from stand_ins import (
    HttpClient,
    StubWorker,
    memory_status,
    never_respond,
    respond_with,
    run_scenario,
    running_gateway,
    wait_until,
)

CHUNKED = HttpClient.request_bytes("write").replace(
    b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
)
INVALID_REQUESTS = {
    "Transfer-Encoding then Content-Length": CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n"),
    "two transfer codings": CHUNKED.replace(b"chunked", b"gzip, chunked") + b"0\r\n\r\n",
    "chunked in HTTP/1.0": CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n",
    "HTTP/2.0": HttpClient.request_bytes().replace(b"HTTP/1.1", b"HTTP/2.0"),
    "Content-Length in a trailer": CHUNKED + b"0\r\nContent-Length: 5\r\n\r\n",
    "GET with a body": HttpClient.request_bytes(body=b"no", extra_headers="Content-Length: 2\r\n"),
    "bare LF": HttpClient.request_bytes().replace(b"\r\n", b"\n"),
    **{
        f"a header {value!r}": HttpClient.request_bytes(extra_headers=f"X-Odd: {value}\r\n")
        for value in ("a\0b", "a\r\n b", "a\rb", "a\nb")
    },
    **{
        f"length {value!r}": HttpClient.request_bytes("write").replace(b"Length: 0", b"Length: " + value)
        for value in (b"-1", b"+0", b"0x0", b"", b"0, 0", b"9" * 30)
    },
    "not HTTP": b"hello\r\n\r\n",
    "two Content-Length headers": HttpClient.request_bytes("write", extra_headers="Content-Length: 2\r\n"),
    "Content-Length then Transfer-Encoding": HttpClient.request_bytes(
        "write", extra_headers="Transfer-Encoding: chunked\r\n"
    ),
    "upgrade": HttpClient.request_bytes(extra_headers="Connection: upgrade\r\nUpgrade: websocket\r\n"),
    "too many header fields": HttpClient.request_bytes(extra_headers="a:\r\n" * 200),
    "head too large": HttpClient.request_bytes(extra_headers=f"X-Long: {'x' * 40_000}\r\n"),
    **{
        f"X-Timeout {value!r}": HttpClient.request_bytes(timeout=value)
        for value in ("nan", "inf", "-1", "1e3", "", "0x1", "1_0", "999999999")
    },
    **{
        f"X-Weight {value!r}": HttpClient.request_bytes(weight=value)
        for value in (
            "units=-1,spread=1,first=0",
            "units=0,spread=1,first=0",
            "units=5,spread=1,first=0",
            "units=1",
            "units=1,spread=0,first=0",
            "units=1,spread=9,first=0",
            "units=1,spread=1,first=3",
            "nan",
            "units=1,spread=1.5,first=0",
        )
    },
    **{
        f"customer {value!r}": HttpClient.request_bytes(customer=value)
        for value in ("", "aa", "g" * 16, "0000000200000000", "0" * 15 + "a&customer=" + "0" * 16)
    },
    **{
        f"no {name}": HttpClient.request_bytes(omitted_header=name)
        for name in ("X-Request-ID", "X-Priority-Class", "X-Tariff", "X-Timeout", "X-Weight")
    },
    "two request ids": HttpClient.request_bytes(extra_headers="X-Request-ID: other\r\n"),
    "space in the request id": HttpClient.request_bytes(request_id="a b"),
    "class and path differ": HttpClient.request_bytes("write", path="/read?customer=00000000000000aa"),
}


@pytest.mark.parametrize("kind", INVALID_REQUESTS)
def test_invalid_request_is_rejected_not_forwarded_and_connection_closed(kind):
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            # The valid request that follows is not served either.
            client.send(INVALID_REQUESTS[kind] + HttpClient.request_bytes())
            reply = await client.receive()
            status = {
                "upgrade": 501,
                "head too large": 431,
                "too many header fields": 431,
                "two transfer codings": 501,
                "chunked in HTTP/1.0": 501,
                "HTTP/2.0": 505,
            }.get(kind, 400)
            assert reply is not None and reply.status == status
            assert reply.headers["connection"] == "close" and await client.is_closed_by_gateway()
            assert not worker.requests
            assert (await (await gateway.connect()).exchange()).status == 200

    run_scenario(scenario())


def test_too_large_body_is_413_with_content_length_or_chunked():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            client.send(HttpClient.request_bytes("write", body=b"x" * 65537))
            reply = await client.receive()
            assert reply is not None and reply.status == 413 and await client.is_closed_by_gateway()
            other_client = await gateway.connect()
            chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
            other_client.send(CHUNKED + 3 * chunk)
            reply = await other_client.receive()
            assert reply is not None and reply.status == 413 and await other_client.is_closed_by_gateway()
            assert not worker.requests

    run_scenario(scenario())


def test_chunked_body_is_forwarded_whole():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, _, client):
            client.send(CHUNKED + b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            reply = await client.receive()
            assert reply is not None and reply.status == 200 and worker.requests[0].body == b"abcde"
            assert "transfer-encoding" not in worker.requests[0].headers

    run_scenario(scenario())


def test_unknown_path_method_class_or_plan_is_rejected():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            assert (await client.exchange(path="/nothing?customer=00000000000000aa")).status == 404
            client.send(b"GET /load HTTP/1.1\r\n\r\n")
            assert (await client.receive()).status == 404
            client.send(HttpClient.request_bytes("strange"))
            # The third rejected request on a connection closes it.
            assert (await client.receive()).status == 404 and await client.is_closed_by_gateway()
            client = await gateway.connect()
            assert (await client.exchange("write", method="GET")).status == 405
            assert (await client.exchange("read", method="POST")).status == 405
            assert (await client.exchange()).status == 200
            assert (
                await client.exchange(plan="strange")
            ).status == 400 and await client.is_closed_by_gateway()
            assert len(worker.requests) == 1

    run_scenario(scenario())


def test_absolute_form_of_the_request_target_is_accepted():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, _, client):
            assert (
                await client.exchange(path="http://origin.svc/read?customer=00000000000000aa")
            ).status == 200
            assert worker.requests[0].start_line == "GET /read?customer=00000000000000aa HTTP/1.1"

    run_scenario(scenario())


def test_pipelined_requests_are_served_one_at_a_time_in_order():
    async def scenario():
        async def echo(request, writer):
            await respond_with(200, request.request_id.encode())(request, writer)

        worker = StubWorker("w", echo)
        async with running_gateway(worker) as (_, _, client):
            request_ids = [f"p{n}" for n in range(40)]
            client.send(
                b"".join(
                    HttpClient.request_bytes("write", request_id=request_id) for request_id in request_ids
                )
            )
            replies = [await client.receive() for _ in request_ids]
            assert [(reply.status, reply.body.decode()) for reply in replies] == [
                (200, request_id) for request_id in request_ids
            ]
            assert [message.request_id for message in worker.requests] == request_ids
            last_request = HttpClient.request_bytes(
                "write", request_id="last", extra_headers="Connection: close\r\n"
            )
            client.send(last_request + HttpClient.request_bytes("write", request_id="beyond"))
            assert (await client.receive()).body == b"last" and await client.is_closed_by_gateway()
            assert worker.requests[-1].request_id == "last"

    run_scenario(scenario())


def test_pipelined_requests_are_read_no_faster_than_they_are_served():
    async def scenario():
        worker = StubWorker("w", never_respond)
        async with running_gateway(worker) as (gateway, _, client):
            request = HttpClient.request_bytes("write", timeout="3.0", body=b"x" * 65536)
            # The gateway is stopped until more has been sent than it reads ahead. Otherwise it may read the
            # first request, and forward it, before the rest arrives.
            await gateway.suspend()
            # Far more than the socket buffers hold: the rest stays with the client.
            client.send(request * 1500)
            unsent = client.writer.transport.get_write_buffer_size
            await wait_until(lambda: 1500 * len(request) - unsent() > 3 * len(request))
            gateway.process.send_signal(signal.SIGCONT)
            # A close could not be seen behind so much input, so no request is forwarded.
            assert (await client.receive()).status == 503 and not worker.requests
            await asyncio.sleep(0.5)  # long enough to read it all if reading did not pause
            assert memory_status(gateway, "VmRSS") < 60_000_000
            client.writer.transport.abort()
            assert await gateway.health_status() == 200

    run_scenario(scenario())


def test_request_received_byte_by_byte_is_served():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, _, client):
            for byte in HttpClient.request_bytes("write", body=b"slow"):
                client.send(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.receive()).status == 200 and worker.requests[0].body == b"slow"

    run_scenario(scenario())


def test_http_1_0_or_connection_close_closes_connection_after_reply():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, client):
            client.send(HttpClient.request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert (await client.receive()).status == 200 and await client.is_closed_by_gateway()
            client = await gateway.connect()
            reply = await client.exchange(extra_headers="Connection: close\r\n")
            assert reply.headers["connection"] == "close" and await client.is_closed_by_gateway()

    run_scenario(scenario())


def test_expect_100_continue_is_answered_before_the_body():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, _, client):
            request = HttpClient.request_bytes(
                "write", body=b"later", extra_headers="Expect: 100-continue\r\n"
            )
            head, _, body = request.partition(b"\r\n\r\n")
            client.send(head + b"\r\n\r\n")
            assert (await client.receive()).status == 100
            client.send(body)
            assert (await client.receive()).status == 200 and "expect" not in worker.requests[0].headers

    run_scenario(scenario())


def test_disconnected_client_does_not_affect_other_clients():
    async def scenario():
        worker = StubWorker("w", never_respond)
        async with running_gateway(worker) as (gateway, _, client):
            client.send(HttpClient.request_bytes("write", timeout="0.5"))
            await wait_until(lambda: worker.requests)
            client.writer.transport.abort()
            await wait_until(lambda: worker.closed_count)  # the attempt ends at the deadline
            worker.script = respond_with()
            assert (await (await gateway.connect()).exchange("write")).status == 200

    run_scenario(scenario())


def test_request_id_in_use_is_rejected():
    async def scenario():
        worker = StubWorker("w", never_respond)
        async with running_gateway(worker) as (gateway, _, client):
            client.send(HttpClient.request_bytes("write", timeout="0.5", request_id="same"))
            await wait_until(lambda: worker.requests)
            other_client = await gateway.connect()
            assert (await other_client.exchange("write", request_id="same")).status == 400
            assert (await client.receive()).status in (502, 504)
            assert len(worker.requests) == 1

    run_scenario(scenario())


def test_deadline_counts_from_the_first_byte():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, _, client):
            data = HttpClient.request_bytes("write", timeout="0.2", body=b"late")
            client.send(data[:-1])
            await asyncio.sleep(0.3)  # longer than the X-Timeout of the request
            client.send(data[-1:])
            assert (await client.receive()).status == 503 and not worker.requests

    run_scenario(scenario())


def test_connection_over_limit_evicts_an_idle_one_or_is_refused():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker, sockets=64) as (gateway, _, client):  # at most 9 clients
            idle_clients = [client] + [await gateway.connect() for _ in range(8)]
            for idle_client in idle_clients:
                assert (await idle_client.exchange("write")).status == 200
            new_client = await gateway.connect()
            assert (await new_client.exchange("write")).status == 200
            assert await idle_clients[0].is_closed_by_gateway()  # idle the longest
            busy_clients = [*idle_clients[1:], new_client]
            for busy_client in busy_clients:  # each has sent a part of a request
                busy_client.send(HttpClient.request_bytes("write", body=b"whole")[:-1])
                await busy_client.writer.drain()
            # Connects after these parts were sent, so that the gateway reads them first.
            refused_client = await gateway.connect()
            reply = await refused_client.exchange()
            assert (
                reply.status == 503
                and float(reply.headers["retry-after"]) > 0
                and await refused_client.is_closed_by_gateway()
            )
            for busy_client in busy_clients:
                busy_client.send(b"e")
                assert (await busy_client.receive()).status == 200

    run_scenario(scenario())


def test_client_that_uses_each_connection_once_can_always_open_another():
    async def scenario():
        async with running_gateway(StubWorker("w"), sockets=200) as (gateway, _, client):
            connections = [client]
            for _ in range(60):  # fewer than the connection limit
                assert (await connections[-1].exchange("write")).status == 200
                connections.append(await gateway.connect())
            # 40 stay open: well under a third of the descriptors, which is the most that clients open.
            assert all([await connection.is_closed_by_gateway() for connection in connections[:20]])
            assert (await connections[40].exchange("write")).status == 200

    run_scenario(scenario())


INCOMPLETE_REQUESTS = {
    "nothing": [b""],
    "empty lines": [b"\r\n"] * 50,
    "half a request": [HttpClient.request_bytes("write", body=b"whole")[:-1]],
    "a head a byte at a time": [bytes([byte]) for byte in HttpClient.request_bytes()[:60]],
}


@pytest.mark.parametrize("kind", INCOMPLETE_REQUESTS)
def test_incomplete_request_is_answered_or_closed_within_three_seconds(kind):
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, _, _):
            client, started_at = await gateway.connect(), asyncio.get_running_loop().time()
            receiving = asyncio.create_task(client.receive())
            for piece in INCOMPLETE_REQUESTS[kind]:
                client.send(piece)
                await asyncio.wait([receiving], timeout=0.05)
            reply = await receiving
            assert reply is None or reply.status == 408
            assert (
                await client.is_closed_by_gateway() and asyncio.get_running_loop().time() - started_at < 3.0
            )
            assert not worker.requests and await gateway.health_status() == 200

    run_scenario(scenario())


@pytest.mark.parametrize(
    "start",
    [
        b"GET /read HTTP/1.1\r\nX-Endless: ",
        b"GET /",
        b"\r\n",
        CHUNKED + b"0\r\nX: ",
        HttpClient.request_bytes("write").replace(b"Length: 0", b"Length: 60000000"),
    ],
)
def test_endless_input_is_cut_off_and_not_buffered(start):
    async def scenario():
        async with running_gateway(StubWorker("w")) as (gateway, _, client):
            memory_before = memory_status(gateway, "VmRSS")
            clients = [client] + [await gateway.connect() for _ in range(5)]
            for endless_client in clients:
                endless_client.send(start + (b"\r\n" if start == b"\r\n" else b"xx") * 10_000_000)
            replies = [await endless_client.receive() for endless_client in clients]
            assert all(reply is None or reply.status in (413, 431) for reply in replies)
            assert memory_status(gateway, "VmRSS") - memory_before < 10_000_000
            assert await gateway.health_status() == 200

    run_scenario(scenario())


def test_connections_without_a_valid_request_are_evicted_first():
    async def scenario():
        async with running_gateway(StubWorker("w"), sockets=64) as (gateway, _, client):  # at most 9 clients
            ordinary_clients = [client] + [await gateway.connect() for _ in range(4)]
            for ordinary_client in ordinary_clients:
                assert (await ordinary_client.exchange("write")).status == 200
            silent_clients = [await gateway.connect() for _ in range(40)]
            assert all([await silent_client.is_closed_by_gateway() for silent_client in silent_clients[:30]])
            for ordinary_client in ordinary_clients:
                assert (await ordinary_client.exchange("write")).status == 200

    run_scenario(scenario())
