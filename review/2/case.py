"""Planned restart: the process ends while it holds a request that it has sent on, and never answers it."""

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

ROUNDS = 5  # restarts of the same gateway
TIMEOUT = 10.0  # seconds: the class's deadline
SERVICE_TIME = 0.4  # seconds that a job server works on an order
# Seconds after SIGTERM. The gateway is held up for 0.145 s (the pages allow 0.15 s). Meanwhile a client that
# rests closes its connection, and a new connection comes (the pages let them come for 0.2 to 0.4 s).
HELD_UP_FROM, CLIENT_CLOSES, NEW_CONNECTION, HELD_UP_UNTIL = 0.372, 0.38, 0.39, 0.517
MAX_HOLD_UP, MAX_CONNECT_TIME = 0.15, 0.4  # seconds; a round with longer ones does not count
# SIGKILL comes no earlier than the longest deadline (10 s, taken as 3 s) plus 0.7 s, and 50 ms of slack.
SIGKILL_AT = 3.0 + 0.7 + 0.05
SLACK = 0.5  # seconds after its time in which an answer is not lost


async def case(record: Record, folder: Path, gateways: list[Gateway]) -> list[str]:
    """Return a line for each request that was lost."""
    servers = [
        await JobServer(record, f"s{n}", "hall-a" if n < 2 else "hall-b", SERVICE_TIME).start()
        for n in range(4)
    ]
    discovery = await Discovery(record, "discovery", [s.entry() for s in servers]).start()
    gateways += [Gateway(record, n, discovery.port) for n in range(2)]
    for gateway in gateways:
        await gateway.start(folder)
    for gateway in gateways:
        await gateway.wait_until_ready()
    restarted, other = gateways
    faults, held_up_at, valid_rounds = [], 0.0, 0
    for number in range(ROUNDS):
        if number and TROUBLE:
            await restarted.kill()
            await restarted.start(folder)
            await restarted.wait_until_ready()
        resting = await Client(record, restarted).connect()
        answer = await resting.exchange("quote", f"early{number}", 0xA0 + number, 4.0)
        if answer is None or answer.status != 200:
            raise CouldNotRunError("an ordinary request was not served before the restart")
        await asyncio.sleep(0.3)

        start = record.now()

        async def until(seconds: float, start: float = start) -> None:
            await asyncio.sleep(max(0.0, start + seconds - record.now()))

        if TROUBLE:
            restarted.send_signal(signal.SIGTERM)
            await until(HELD_UP_FROM)
            held_up_at = record.now()
            restarted.send_signal(signal.SIGSTOP)
        await until(CLIENT_CLOSES)
        resting.close()
        record.write("the resting client closes its connection")
        await until(NEW_CONNECTION)
        client, request_id = await Client(record, restarted).connect(), f"order{number}"
        connected_at = record.now()
        record.write(f"to {restarted.name}, on a new connection: place-order {request_id}")
        client.send(request_bytes("place-order", request_id, 0xB0 + number, TIMEOUT))
        await until(HELD_UP_UNTIL)
        if TROUBLE:
            restarted.send_signal(signal.SIGCONT)
            if record.now() - held_up_at > MAX_HOLD_UP or connected_at - start > MAX_CONNECT_TIME:
                record.write("this round does not count: the test itself was late")
                await restarted.kill()
                continue
        valid_rounds += 1
        answer = None
        try:
            async with asyncio.timeout(TIMEOUT + SLACK):
                receiving = asyncio.create_task(client.receive(request_id))
                await asyncio.wait([receiving], timeout=start + SIGKILL_AT - record.now())
                if TROUBLE:
                    restarted.send_signal(signal.SIGKILL)
                answer = await receiving
        except TimeoutError:
            record.write(f"no answer to {request_id} within its time")
        await asyncio.sleep(SERVICE_TIME)
        ran = any(request_id == run for server in servers for _, run in server.runs)
        if answer is None and ran:
            faults.append(f"{request_id} was accepted, sent on and run, and its client got no answer")
        elif answer is None:
            # Nothing was sent on, so the client sends the request again, once, on a new connection.
            again = await Client(record, other).connect()
            if await again.exchange("place-order", request_id, 0xB0 + number, TIMEOUT) is None:
                faults.append(f"{request_id} was sent again and got no answer")
    if not valid_rounds:
        raise CouldNotRunError("the test was late in every round")
    return faults


if __name__ == "__main__":
    main(case)
