"""Planned restart: a request that came after the first 0.7 s of the shutdown is unanswered at SIGKILL."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from parties import (
    TROUBLE,
    Client,
    CouldNotRunError,
    Discovery,
    Gateway,
    JobServer,
    Record,
    main,
    request_bytes,
)

SLOW_CLIENTS = 6  # clients that write their request in pieces when the restart begins
FIRST_BYTE = 0.25  # seconds after SIGTERM
LAST_BYTE = 0.9  # seconds after SIGTERM
PIECES = 6
TIMEOUT = 10.0  # seconds: the class's deadline
HANG_FROM = 0.5  # seconds after SIGTERM until its end; half of the job servers
EXCUSED_UP_TO = 0.7 + 0.05  # seconds after SIGTERM: requests that came by then may be unanswered at SIGKILL
# SIGKILL comes no earlier than the longest deadline (10 s, taken as 3 s) plus 0.7 s, and 50 ms of slack.
SIGKILL_AT = 3.0 + 0.7 + 0.05
SLACK = 0.5  # seconds after its time in which an answer is not lost


class Outcome:
    """What became of a request."""

    def __init__(self, request_id: str) -> None:
        self.request_id, self.last_byte_at, self.answered = request_id, 0.0, False


async def case(record: Record, folder: Path, gateways: list[Gateway]) -> list[str]:
    """Return a line for each request that was lost."""
    servers = [
        await JobServer(record, f"s{n}", "hall-a" if n < 2 else "hall-b", 0.3).start() for n in range(4)
    ]
    discovery = await Discovery(record, "discovery", [s.entry() for s in servers]).start()
    gateways += [Gateway(record, n, discovery.port) for n in range(2)]
    for gateway in gateways:
        await gateway.start(folder)
    for gateway in gateways:
        await gateway.wait_until_ready()
    restarted = gateways[0]

    # All clients have a connection on which a request was served before, so none is a first request.
    clients = [await Client(record, restarted).connect() for _ in range(SLOW_CLIENTS)]
    answers = await asyncio.gather(
        *(client.exchange("place-order", f"early{n}", 0xA0 + n, TIMEOUT) for n, client in enumerate(clients))
    )
    if not all(answer is not None and answer.status == 200 for answer in answers):
        raise CouldNotRunError("an ordinary request was not served before the restart")
    await asyncio.sleep(0.5)

    start = record.now()
    if TROUBLE:
        restarted.send_signal(signal.SIGTERM)

    async def until(seconds: float) -> None:
        await asyncio.sleep(max(0.0, start + seconds - record.now()))

    async def write_slowly(n: int, client: Client) -> Outcome:
        outcome = Outcome(f"slow{n}")
        data = request_bytes("place-order", outcome.request_id, 0xA0 + n, TIMEOUT)
        size = -(-len(data) // PIECES)
        for piece in range(PIECES):
            await until(FIRST_BYTE + (LAST_BYTE - FIRST_BYTE) * piece / (PIECES - 1))
            client.send(data[piece * size : (piece + 1) * size])
        outcome.last_byte_at = record.now() - start
        record.write(f"last byte of {outcome.request_id} written to {restarted.name}")
        try:
            async with asyncio.timeout(TIMEOUT + SLACK):
                outcome.answered = await client.receive(outcome.request_id) is not None
        except TimeoutError:
            record.write(f"no answer to {outcome.request_id} within its time")
        return outcome

    async def hang() -> None:
        await until(HANG_FROM)
        for server in servers[::2]:
            server.hung = True
            record.write(f"{server.name} hangs")

    async def kill() -> None:
        await until(SIGKILL_AT)
        restarted.send_signal(signal.SIGKILL)

    tasks = [asyncio.create_task(write_slowly(n, client)) for n, client in enumerate(clients)]
    if TROUBLE:
        await asyncio.gather(hang(), kill())
    outcomes = await asyncio.gather(*tasks)
    reached = {request_id for server in servers for _, request_id in server.received}
    # A request that the gateway closed on before it sent it on is resent by its client, and not lost.
    return [
        f"{o.request_id} came {o.last_byte_at:.2f} s after SIGTERM, was sent on and never answered"
        for o in outcomes
        if not o.answered and o.last_byte_at > EXCUSED_UP_TO and o.request_id in reached
    ]


if __name__ == "__main__":
    main(case)
