"""The forms that a response of the discovery service may have in HTTP/1.1."""

import pytest
from stand_ins import StubDiscovery, StubWorker, gateway_config, run_scenario, start_gateway

from wrenladder.proxy.discovery_connection import DiscoveryConnection, DiscoveryResponse
from wrenladder.proxy.http_limits import MAX_HEAD_BYTES

BODY = b'{"index": 2, "snapshot": false, "endpoints": [{"name": "w", "status": "removed"}]}'


def chunked(body: bytes) -> bytes:
    """Return a response in two chunks."""
    first, second = body[:9], body[9:]
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (
        len(first),
        first,
        len(second),
        second,
    )


def closed_after(head: bytes):
    """Return a function that returns a response with this head and no length."""
    return lambda body: head + b"\r\n\r\n" + body


# Guards against a watch that discards responses whose end is that of their connection: the worker list then
# stayed as it was, and workers that drained or were replaced went on to get requests (review/7).
@pytest.mark.parametrize(
    ("format_response", "closes"),
    [
        pytest.param(closed_after(b"HTTP/1.1 200 OK\r\nConnection: close"), True, id="announced"),
        pytest.param(closed_after(b"HTTP/1.1 200 OK"), True, id="unannounced"),
        pytest.param(closed_after(b"HTTP/1.0 200 OK"), True, id="http-1.0"),
        pytest.param(chunked, False, id="chunked"),
    ],
)
def test_snapshot_and_changes_are_applied_however_their_end_is_marked(format_response, closes):
    async def scenario():
        worker, other_worker = await StubWorker("w").start(), await StubWorker("v").start()
        discovery = StubDiscovery([worker.list_entry()])
        discovery.format_response, discovery.closes_after_response = format_response, closes
        await discovery.start()
        gateway = await start_gateway(gateway_config(discovery.port))  # knows no workers
        try:
            await discovery.wait_until_polled()
            assert await gateway.health_status() == 200
            discovery.publish({"name": "w", "status": "removed"}, other_worker.list_entry())
            await discovery.wait_until_polled()
            client = await gateway.connect()
            assert (await client.exchange("write")).status == 200
            assert len(other_worker.requests) == 1 and not worker.requests
        finally:
            gateway.process.kill()
            await gateway.process.wait()
        assert not any("keeping the list" in line for line in gateway.log), gateway.log

    run_scenario(scenario())


class RecordingObserver:
    """Records what a connection reports."""

    def __init__(self):
        self.responses: list[DiscoveryResponse] = []
        self.failures: list[str] = []

    def on_connected(self, connection):
        """Send a poll."""
        connection.send_poll("/v1/servers", timeout=1.0)

    def on_response(self, connection, response):
        """Record a response."""
        self.responses.append(response)

    def on_failure(self, connection, reason, resync=False):
        """Record a failure."""
        self.failures.append(reason)


class StubTransport:
    """A transport that discards what is written."""

    def write(self, data):
        """Discard data."""

    def abort(self):
        """Do nothing."""


def connected():
    """Return an observer and its connection, over which a poll was sent."""
    observer = RecordingObserver()
    connection = DiscoveryConnection(observer, ("discovery", 1), lambda: 0.0)
    connection.connection_made(StubTransport())
    return observer, connection


CLOSE_DELIMITED_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def test_end_of_the_stream_completes_a_response_without_a_length():
    observer, connection = connected()
    connection.data_received(CLOSE_DELIMITED_HEAD + BODY[:9])
    connection.data_received(BODY[9:])
    assert not observer.responses  # more could follow
    connection.eof_received()
    assert observer.responses == [DiscoveryResponse(200, BODY, will_close=True)]


def test_reset_does_not_complete_a_response_without_a_length():
    observer, connection = connected()
    connection.data_received(CLOSE_DELIMITED_HEAD + BODY)
    connection.connection_lost(ConnectionResetError())
    assert len(observer.failures) == 1 and not observer.responses


@pytest.mark.parametrize(
    "partial_response",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY) + 1, BODY),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(BODY), BODY),
    ],
    ids=["nothing", "half-a-head", "length", "chunked"],
)
def test_end_of_the_stream_does_not_complete_any_other_response(partial_response):
    observer, connection = connected()
    if partial_response:
        connection.data_received(partial_response)
    connection.eof_received()
    connection.connection_lost(None)
    assert len(observer.failures) == 1 and not observer.responses


# Guards against taking an interim response for the response to the poll, which then failed.
def test_interim_responses_are_skipped():
    observer, connection = connected()
    connection.data_received(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
    )
    connection.data_received(CLOSE_DELIMITED_HEAD + BODY)
    connection.eof_received()
    assert observer.responses == [DiscoveryResponse(200, BODY, will_close=True)] and not observer.failures


# Guards against memory that grows as long as bytes come: a poll that has timed out may still receive them.
@pytest.mark.parametrize(
    "endless_part",
    [b"X-Long: " + b"x" * 1000, b"x" * 1000, b"HTTP/1.1 100 Continue\r\n\r\n" * 40],
    ids=["first-header", "header-in-pieces", "interim-responses"],
)
def test_endless_head_is_a_failure(endless_part):
    observer, connection = connected()
    if not endless_part.startswith(b"HTTP"):
        connection.data_received(b"HTTP/1.1 200 OK\r\nX-First: ")
    pieces = 0
    while not observer.failures:
        connection.data_received(endless_part)
        pieces += 1
        assert pieces * len(endless_part) <= MAX_HEAD_BYTES + len(endless_part)
    assert "malformed response" in observer.failures[0] and not observer.responses
