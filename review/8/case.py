"""Case 8: updates run twice after a new configuration, where discovery writes its answers in pieces."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties_2 import PIECES, TROUBLE, Discovery, Gateway, Record, Worker, replace_worker, run_case
from parties_2 import configuration as make_configuration

ANSWER_TIME = 0.6  # seconds from the first piece of an answer to the last
TOLD = 6.0  # seconds after discovery has a change and can be reached, it counts as told at the latest
OLD_ADDRESS = 1.5  # seconds after SIGHUP, the old address closes its open connections


async def case(record: Record, temporary: str) -> int:
    """Replace a worker after a new configuration that moves discovery to a slower address."""
    workers = [await Worker(record, name).start() for name in ("s-1", "s-2")]
    entries = [w.entry() for w in workers]
    old, new = [await Discovery(record, entries).start() for _ in range(2)]
    config = make_configuration(old, known=entries)

    def begin_trouble(gateway: Gateway) -> None:
        new.piece_pause = ANSWER_TIME / PIECES if TROUBLE else 0.0
        moved = gateway.config_path.with_suffix(".new")
        moved.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{new.port}"}), encoding="utf-8")
        moved.replace(gateway.config_path)
        gateway.send_signal(signal.SIGHUP)
        record.write("SIGHUP: discovery has moved")
        asyncio.get_running_loop().call_later(OLD_ADDRESS, old.end)

    status = await replace_worker(
        record, temporary, config, new, workers, begin_trouble, (3.0, 5.0), lambda had: had + TOLD
    )
    record.say(f"the new address answered {len(new.answered_at)} calls; {new.given_up} were given up")
    return status


run_case(case, Path(__file__).resolve().parent)
