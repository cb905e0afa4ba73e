"""The memory of messages is bounded for all connections together, and unfinished messages give way."""

import asyncio
import sys
from pathlib import Path

import pytest
from stand_ins import (
    StubWorker,
    memory_status,
    respond_with,
    run_scenario,
    running_gateway,
)
from test_pipelining import SETTINGS, RecordingTransport

from wrenladder.proxy.client_connection import ClientConnection
from wrenladder.proxy.memory_budget import (
    ACCOUNT_BYTES,
    MEBIBYTE,
    MIN_ACCOUNTS,
    MIN_BUDGET,
    MemoryBudget,
    MemoryPlan,
)
from wrenladder.proxy.server import Server


class StubHolder:
    """Holds memory, which it gives up if `may_shed` is set."""

    def __init__(self, budget: MemoryBudget, may_shed: bool = True) -> None:
        self.budget, self.may_shed, self.was_shed = budget, may_shed, False

    def shed(self) -> None:
        """Give up the memory, if allowed."""
        if self.may_shed:
            self.was_shed = True
            self.budget.update(self, 0)


def test_oldest_large_holders_are_shed_until_there_is_room():
    budget = MemoryBudget(1000)
    small, oldest, busy, newest = (StubHolder(budget, may_shed) for may_shed in (True, True, False, True))
    for holder, size in ((small, 10), (oldest, 400), (busy, 300), (newest, 280)):
        assert budget.update(holder, size)
    assert budget.is_tight and not budget.is_exceeded
    assert budget.update(StubHolder(budget), 200)
    assert [h.was_shed for h in (small, oldest, busy, newest)] == [False, True, False, False]


def test_holder_finds_no_room_if_no_other_gives_way():
    budget = MemoryBudget(1000, max_holders=10)
    assert budget.update(StubHolder(budget, may_shed=False), 900)
    holder = StubHolder(budget)
    assert not budget.update(holder, 200) and budget.is_exceeded
    assert budget.update(holder, 0) and not budget.is_exceeded
    assert budget.update(holder, 100)


def test_holder_always_finds_room_for_its_fair_share():
    budget = MemoryBudget(1000, max_holders=10)
    assert budget.update(StubHolder(budget, may_shed=False), 1000)
    holder = StubHolder(budget)
    assert budget.update(holder, 100) and budget.is_exceeded and budget.has_room(100)
    assert not budget.update(holder, 101)


# Guards against ordinary requests that are refused because large ones take all of the memory for messages.
@pytest.mark.parametrize(("field_size", "is_rejected"), [(10, False), (2000, True)])
def test_small_request_in_pieces_is_served_while_the_budget_is_used_up(field_size, is_rejected):
    async def scenario():
        budget, transport = MemoryBudget(100_000, max_holders=50), RecordingTransport()
        budget.update(StubHolder(budget, may_shed=False), 100_000)
        connection = ClientConnection(Server(asyncio.get_running_loop(), SETTINGS, 4.0, 9, 9, None, budget))
        connection.connection_made(transport)
        field = b"x" * field_size
        for piece in (b"GET /healthz HTTP/1.1\r\nA: ", field, b"\r\nB: c", b"\r\n\r\n"):
            connection.data_received(piece)
            await asyncio.sleep(0)
        assert (b"out of memory" in b"".join(transport.written)) is is_rejected
        assert len(transport.written) == 1

    run_scenario(scenario())


@pytest.mark.parametrize("memory_limit", [1, 64 << 20, 1 << 40])
def test_plan_divides_the_free_memory_and_keeps_the_minima(memory_limit):
    plan = MemoryPlan.at_start(memory_limit)
    assert plan.message_bytes >= MIN_BUDGET and plan.max_accounts >= MIN_ACCOUNTS
    planned = plan.message_bytes + plan.max_accounts * ACCOUNT_BYTES
    assert planned <= max(memory_limit / 2, MIN_BUDGET + MIN_ACCOUNTS * ACCOUNT_BYTES)


# Guards against a plan that takes the memory of the process which started the gateway for the gateway's own.
def test_memory_of_the_starting_process_does_not_count():
    ballast = b"x" * (256 * MEBIBYTE)

    async def scenario():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "from wrenladder.proxy.memory_budget import *; print(resident_memory())",
            cwd=Path(__file__).parent.parent,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert MEBIBYTE < int(output) < len(ballast) / 2

    run_scenario(scenario())


# Guards against responses whose tiny chunks take many times their size in memory.
def test_response_in_tiny_chunks_is_passed_on_in_little_memory():
    body = b"ab" * 30_000
    response = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 30_000 + b"0\r\n\r\n"
    )

    async def scenario():
        worker = StubWorker("w", respond_with(raw_response=response))
        async with running_gateway(worker) as (gateway, _, client):
            memory_before = memory_status(gateway, "VmHWM")
            reply = await client.exchange()
            assert reply.status == 200 and reply.body == body
            assert memory_status(gateway, "VmHWM") - memory_before < 10 * len(body)

    run_scenario(scenario())


def test_response_with_very_many_header_fields_is_malformed():
    fields = "".join(f"X-{n}: 1\r\n" for n in range(200))

    async def scenario():
        worker = StubWorker("w", respond_with(headers=fields))
        async with running_gateway(worker) as (_, _, client):
            assert (await client.exchange("write")).status == 502

    run_scenario(scenario())
