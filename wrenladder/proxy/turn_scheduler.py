"""Shares the event loop among connections that have more requests to process than one."""

from __future__ import annotations

import asyncio
from typing import Protocol

STEPS_PER_TURN = 8  # of all connections together; the rest of a turn is for the other clients


class Backlogged(Protocol):
    """Something with a backlog of work, of which `advance` does one bounded step."""

    def advance(self) -> None:
        """Do one step, and schedule the next one if there is more to do."""


class TurnScheduler:
    """Lets connections with a backlog advance round-robin, a few steps in each turn of the event loop.

    A client that pipelines requests at full speed thus takes a bounded part of each turn, however many
    requests it has sent, and sockets are polled between the turns.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[Backlogged, None] = {}
        self._turn_requested = False

    def schedule(self, backlogged: Backlogged) -> None:
        """Let `backlogged` advance in a later turn, after those that wait already."""
        self._waiting[backlogged] = None
        self._request_turn()

    def is_scheduled(self, backlogged: Backlogged) -> bool:
        """Whether it waits for its turn."""
        return backlogged in self._waiting

    def remove(self, backlogged: Backlogged) -> None:
        """Forget a connection that is closed."""
        self._waiting.pop(backlogged, None)

    def _request_turn(self) -> None:
        if not self._turn_requested:
            self._turn_requested = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_requested = False
        for _ in range(min(STEPS_PER_TURN, len(self._waiting))):
            backlogged = next(iter(self._waiting), None)
            if backlogged is None:
                return
            del self._waiting[backlogged]
            backlogged.advance()
        if self._waiting:
            self._request_turn()
