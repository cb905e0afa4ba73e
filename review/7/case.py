"""Case 7: a drain that discovery tells in an answer whose end is the end of its connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties_2 import BROKEN, HELD, NOT_RUN, TROUBLE, Clients, Discovery, Gateway, Record, Worker, run_case
from parties_2 import configuration as make_configuration

GRACE = 1.0 + 0.05  # seconds: DrainGraceUs, and the 50 ms by which time limits are longer on sockets
INTERVAL = 0.05  # seconds between requests
STOP = 6.0  # seconds from the drain to the end of the draining worker's process


async def case(record: Record, temporary: str) -> int:
    """Let a worker drain while discovery's answers have no length, and look where requests go."""
    workers = [await Worker(record, name).start() for name in ("s-1", "s-2")]
    discovery = await Discovery(record, [w.entry() for w in workers]).start()
    gateway = Gateway(temporary, make_configuration(discovery, known=[w.entry() for w in workers]))
    gateway.start()
    clients = Clients(record)
    tasks: list[asyncio.Task[object]] = []
    try:
        await gateway.wait_until_ready()

        async def load(seconds: float) -> None:
            end = record.now() + seconds
            while record.now() < end:
                request_class = "quote" if len(tasks) % 4 else "place-order"
                tasks.append(
                    asyncio.create_task(
                        clients.ask(gateway.port, request_class, customer=len(tasks) % 40 + 1)
                    )
                )
                await asyncio.sleep(INTERVAL)

        await load(2.0)
        discovery.no_length = TROUBLE
        await load(2.0)
        discovery.publish(workers[0].entry(status="draining"))
        version = discovery.index
        await load(STOP)
        # The drain is long over: the worker's process ends, as after every drain.
        discovery.publish(workers[0].entry(status="removed"))
        workers[0].end()
        await load(4.0)
        await asyncio.wait(tasks)
        record.write("log of the gateway: " + gateway.log())
    finally:
        gateway.kill()
    if version not in discovery.told_at or not workers[1].received:
        return NOT_RUN
    told = discovery.told_at[version]
    before = [at for at, _ in workers[0].received if at < told]
    late = [at - told for at, _ in workers[0].received if at > told + GRACE]
    record.say(f"answers: {clients.answers}; s-1 got {len(before)} requests before the drain was told")
    if late:
        record.say(
            f"{len(late)} requests began at s-1 more than {GRACE} s after that, up to {max(late):.2f} s"
        )
    return (BROKEN if late else HELD) if before else NOT_RUN


run_case(case, Path(__file__).resolve().parent)
