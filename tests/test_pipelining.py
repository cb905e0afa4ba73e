"""Pipelined requests are processed in small steps, in turn with other connections."""

import asyncio

import pytest
from stand_ins import run_scenario
from test_memory import StubTransport

from wrenladder.policy.settings import Plan, RequestClass, Settings
from wrenladder.proxy.client_connection import MAX_UNPARSED_BYTES, ClientConnection
from wrenladder.proxy.server import Server
from wrenladder.proxy.turn_scheduler import STEPS_PER_TURN

HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\n\r\n"
SETTINGS = Settings((RequestClass("read", 1.0, 4.0),), (Plan("free"),))


class RecordingTransport(StubTransport):
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.reading = True

    def write(self, data: bytes) -> None:
        """Record the data."""
        self.written.append(data)

    def write_eof(self) -> None:
        """Ignore the end of the stream."""

    def is_reading(self) -> bool:
        """Return whether reading is not paused."""
        return self.reading

    def pause_reading(self) -> None:
        """Note that reading is paused."""
        self.reading = False

    def resume_reading(self) -> None:
        """Note that reading goes on."""
        self.reading = True


@pytest.mark.parametrize("connection_count", [1, 2, 3 * STEPS_PER_TURN])
def test_each_turn_of_the_event_loop_serves_few_pipelined_requests(connection_count):
    async def scenario():
        loop = asyncio.get_running_loop()
        server = Server(loop, SETTINGS, 4.0, 100, 100, None)
        transports = [RecordingTransport() for _ in range(connection_count)]
        for transport in transports:
            connection = ClientConnection(server)
            connection.connection_made(transport)
            connection.data_received(HEALTH_CHECK * 200)
            assert len(transport.written) == 1
        for _ in range(50):
            counts_before = [len(transport.written) for transport in transports]
            await asyncio.sleep(0)  # one turn
            served = [
                len(transport.written) - before
                for transport, before in zip(transports, counts_before, strict=True)
            ]
            assert max(served) <= 1 and 0 < sum(served) <= STEPS_PER_TURN

    run_scenario(scenario())


def test_reading_pauses_while_much_input_waits_and_goes_on_later():
    async def scenario():
        server = Server(asyncio.get_running_loop(), SETTINGS, 4.0, 100, 100, None)
        connection, transport = ClientConnection(server), RecordingTransport()
        connection.connection_made(transport)
        connection.data_received(HEALTH_CHECK * (2 * MAX_UNPARSED_BYTES // len(HEALTH_CHECK)))
        assert not transport.reading
        while not transport.reading:
            await asyncio.sleep(0)
        assert MAX_UNPARSED_BYTES // len(HEALTH_CHECK) < len(transport.written)

    run_scenario(scenario())
