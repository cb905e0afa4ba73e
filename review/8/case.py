"""Case 8: a new configuration moves discovery, and its new address writes each answer in pieces."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    PIECES,
    TROUBLE,
    Clients,
    Discovery,
    Gateway,
    Record,
    Worker,
    run_case,
)
from parties_2 import configuration as make_configuration

ANSWER_TIME = 0.6  # seconds from the first piece of an answer to the last
TOLD = 6.0  # seconds after discovery has a change and can be reached, it counts as told at the latest
GRACE = 1.0 + 0.05  # seconds: DrainGraceUs, and the 50 ms by which time limits are longer on sockets
INTERVAL = 0.05  # seconds between requests
STOP = 15.0  # seconds from the drain to the end of the draining worker's process


async def case(record: Record, temporary: str) -> int:
    """Move discovery, let a worker drain after that, and look where requests go."""
    workers = [await Worker(record, name).start() for name in ("s-1", "s-2")]
    entries = [w.entry() for w in workers]
    old, new = [await Discovery(record, entries).start() for _ in range(2)]
    config = make_configuration(old, known=entries)
    gateway = Gateway(temporary, config)
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

        await load(3.0)
        new.piece_pause = ANSWER_TIME / PIECES if TROUBLE else 0.0
        config["discovery"] = f"127.0.0.1:{new.port}"
        moved = gateway.config_path.with_suffix(".new")
        moved.write_text(json.dumps(config), encoding="utf-8")
        moved.replace(gateway.config_path)
        gateway.send_signal(signal.SIGHUP)
        record.write("SIGHUP: discovery has moved")
        await load(1.5)
        old.end()
        await load(4.0)
        new.publish(workers[0].entry(status="draining"))
        had = record.now()
        await load(STOP)
        new.publish(workers[0].entry(status="removed"))
        workers[0].end()
        await load(4.0)
        await asyncio.wait(tasks)
        record.write("log of the gateway: " + gateway.log())
    finally:
        gateway.kill()
    before = [at for at, _ in workers[0].received if at < had]
    late = [at - had for at, _ in workers[0].received if at > had + TOLD + GRACE]
    record.say(f"answers: {clients.answers}; s-1 got {len(before)} requests before the drain")
    record.say(f"the new address answered {len(new.answered_at)} calls; {new.given_up} were given up")
    if late:
        record.say(
            f"{len(late)} requests began at s-1 more than {TOLD + GRACE} s after discovery had the drain, "
            f"up to {max(late):.2f} s"
        )
    return (BROKEN if late else HELD) if before and workers[1].received else NOT_RUN


run_case(case, Path(__file__).resolve().parent)
