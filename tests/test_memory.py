"""State and memory held for requests, connections and customers are released with them."""

import asyncio
import gc
import types

import pytest
from policy_driver import PolicyDriver, workers_sent_to
from stand_ins import HttpClient, StubWorker, memory_status, run_scenario, running_gateway, wait_until

from wrenladder.policy.events import (
    CONNECTION_LOST,
    FAILURE,
    MALFORMED_RESPONSE,
    NOT_SENT,
    OVERLOADED,
    SUCCESS,
    TIMED_OUT,
    UNREACHABLE,
    Abandoned,
)
from wrenladder.proxy.activity_log import ActivityLog
from wrenladder.proxy.client_connection import TRANSFER_TIMEOUT, ClientConnection
from wrenladder.proxy.discovery_connection import DiscoveryConnection
from wrenladder.proxy.idle_timeout import AdaptiveIdleTimeout
from wrenladder.proxy.memory_budget import MemoryBudget
from wrenladder.proxy.worker_connection import WorkerConnection
from wrenladder.proxy.worker_pool import WorkerProcess


class StubTransport(asyncio.Transport):
    """A transport without a socket that records whether it was closed or aborted."""

    closing = aborted = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return no socket."""
        return default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits."""

    def write(self, data: bytes) -> None:
        """Discard the data."""

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is buffered."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the transport is closing."""
        return self.closing

    def abort(self) -> None:
        """Close at once."""
        self.closing = self.aborted = True


def stub_attempt():
    """Return an object with the attributes of an attempt that a connection uses."""
    return types.SimpleNamespace(
        request_bytes=lambda now: b"GET / HTTP/1.1\r\n\r\n",
        finish=lambda status: None,
        release_request=lambda: None,
        write_deadline=1.0,
        written=False,
    )


def stub_server():
    """Return an object with what a connection uses of a server, worker pool or discovery watch."""
    return types.SimpleNamespace(
        loop=types.SimpleNamespace(time=lambda: 0.0),
        idle_timeout=AdaptiveIdleTimeout(1.0, 0.0),
        add_connection=lambda client: None,
        remove_connection=lambda client: None,
        scheduler=types.SimpleNamespace(is_scheduled=lambda client: False, schedule=lambda client: None),
        past_reply_deadline=False,
        remove=lambda connection: None,
        max_body_bytes=65536,
        memory=MemoryBudget(),
        activity=ActivityLog(),
        on_connected=lambda connection: None,
        on_failure=lambda connection, reason: None,
    )


@pytest.mark.parametrize(
    ("make_connection", "partial_message"),
    [
        (lambda: ClientConnection(stub_server()), b"POST /write HTTP/1.1\r\nHost:"),
        (lambda: DiscoveryConnection(stub_server(), ("h", 1), lambda: 0.0), b"HTTP/1.1 200 OK\r\nX"),
        (
            lambda: WorkerConnection(stub_server(), WorkerProcess("w", ("h", 1), None), stub_attempt()),
            b"HTTP/1.1 200 OK\r\nX",
        ),
    ],
)
def test_closed_connection_leaves_no_reference_cycles(make_connection, partial_message):
    gc.collect()
    gc.disable()
    try:
        connection = make_connection()
        connection.connection_made(StubTransport())
        connection.data_received(partial_message)
        connection.connection_lost(None)
        del connection
        assert gc.collect() == 0  # connection and parser refer to each other while open
    finally:
        gc.enable()


def test_close_is_aborted_if_client_does_not_read_the_last_reply():
    client, transport = ClientConnection(stub_server()), StubTransport()
    client.connection_made(transport)
    transport.closing = True  # the last reply is written, but the client has not read it
    client.enforce_timeouts(TRANSFER_TIMEOUT)
    assert not transport.aborted
    client.enforce_timeouts(TRANSFER_TIMEOUT + 0.1)
    assert transport.aborted


def test_policy_keeps_no_state_of_ended_requests_for_any_outcome():
    driver = PolicyDriver(concurrent_attempts=False)
    statuses = (
        SUCCESS,
        FAILURE,
        MALFORMED_RESPONSE,
        CONNECTION_LOST,
        TIMED_OUT,
        UNREACHABLE,
        OVERLOADED,
        NOT_SENT,
    )
    for n in range(400):
        request_id, actions = driver.submit("read" if n % 2 else "write", customer=f"c{n}", delay=0.05)
        if n % 7 == 0:
            driver.handle(Abandoned(request_id))
        while workers := workers_sent_to(actions):
            actions = driver.finish_attempt(
                request_id, workers[0], statuses[n % len(statuses)], request_ended=n % 7 == 0 or None
            )
    gateway = driver.gateway
    assert not (gateway._pending or gateway._in_flight or gateway._timers or gateway.fleet._within_target)
    assert not any(worker.in_flight for worker in gateway.fleet.workers.values())
    assert all(len(worker.slot_expiries) <= 400 for worker in gateway.fleet.workers.values())
    driver.submit(delay=100.0)
    assert len(gateway.quotas._accounts) <= 1


def test_memory_is_stable_with_new_connections_customers_and_workers():
    async def scenario():
        worker = StubWorker("w0")
        async with running_gateway(worker) as (gateway, discovery, _):
            resident_sizes = []
            for phase in range(3):
                for n in range(400):
                    client = await gateway.connect()
                    reply = await client.exchange(
                        "write", customer=f"{phase * 400 + n:016x}", body=b"x" * 5000
                    )
                    assert reply.status == 200
                    client.writer.close()
                    if n % 50 == 0:  # a new worker replaces the old one at its address
                        old_name, worker.name = worker.name, f"w{phase}-{n}"
                        discovery.publish({"name": old_name, "status": "removed"}, worker.list_entry())
                        await discovery.wait_until_polled()
                resident_sizes.append(memory_status(gateway, "VmRSS"))
            assert resident_sizes[2] - resident_sizes[1] < 1_500_000, resident_sizes
            await wait_until(lambda: worker.connection_count - worker.closed_count <= 1)
            assert HttpClient.request_count >= 1200

    run_scenario(scenario())
