"""Case 7: updates run twice after list answers whose end is the end of their connection."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties_2 import TROUBLE, Discovery, Gateway, Record, Worker, replace_worker, run_case
from parties_2 import configuration as make_configuration


async def case(record: Record, temporary: str) -> int:
    """Replace a worker while discovery's answers have no length."""
    workers = [await Worker(record, name).start() for name in ("s-1", "s-2")]
    entries = [w.entry() for w in workers]
    discovery = await Discovery(record, entries).start()

    def begin_trouble(gateway: Gateway) -> None:
        discovery.no_length = TROUBLE

    def told_by(had: float) -> float | None:
        """A change is told once discovery has written it to the gateway."""
        return discovery.told_at.get(discovery.index)

    config = make_configuration(discovery, known=entries)
    return await replace_worker(
        record, temporary, config, discovery, workers, begin_trouble, (2.0, 2.0), told_by
    )


run_case(case, Path(__file__).resolve().parent)
