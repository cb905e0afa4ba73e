"""Bounds on memory: for the messages of all connections together, and for quota accounts."""

from __future__ import annotations

import math
import resource
from dataclasses import dataclass
from typing import Protocol

MEBIBYTE = 1 << 20
ASSUMED_RESIDENT_MEMORY = 28 * MEBIBYTE  # bytes, where the system does not tell
# Of the memory that is free at the start. The rest is for connections, the worker list and fragmentation.
MESSAGE_SHARE = 0.2
MIN_BUDGET = MEBIBYTE // 2  # bytes, however little memory is free
RELIEF_SHARE = 0.875  # of the budget: what is held once others have been shed
TIGHT_SHARE = 0.5  # of the budget: what is held from which memory counts as tight
# The same for quota accounts, and an estimate of the bytes that an account takes.
ACCOUNT_SHARE = 0.15
ACCOUNT_BYTES = 640
MIN_ACCOUNTS = 512  # however little memory is free


def resident_memory() -> int:
    """The resident memory of this process in bytes.

    The peak that getrusage reports would not do: it begins with that of the process which started this one.
    """
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return ASSUMED_RESIDENT_MEMORY


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How the memory that is free at the start is divided.

    Attributes:
        message_bytes: For messages, in bytes.
        max_accounts: Most quota accounts.
    """

    message_bytes: float
    max_accounts: int

    @classmethod
    def at_start(cls, memory_limit: int) -> MemoryPlan:
        """Divide what the process has not used yet of `memory_limit` bytes."""
        free = max(0, memory_limit - resident_memory())
        return cls(
            message_bytes=max(MIN_BUDGET, MESSAGE_SHARE * free),
            max_accounts=max(MIN_ACCOUNTS, int(ACCOUNT_SHARE * free / ACCOUNT_BYTES)),
        )


class Holder(Protocol):
    """Something that holds memory for messages."""

    def shed(self) -> None:
        """Release the memory by giving up an unfinished message, unless that is not allowed now."""


class MemoryBudget:
    """The bytes that connections hold for messages (`total`), and their limit.

    Every single message is bounded, but hundreds of connections can hold one each. Over the limit, the
    holders of the largest messages are asked to give them up, in the order in which they came: a client that
    has stopped in the middle of a request holds it the longest.

    Up to its fair share, the limit divided by `max_holders`, a holder always finds room. So ordinary requests
    are served while large ones take all of the budget, of which at most twice the limit is held.
    """

    def __init__(self, limit: float = math.inf, max_holders: int = 1) -> None:
        self._limit, self._fair_share = limit, limit / max_holders
        self._held: dict[Holder, int] = {}
        self.total = 0
        self.is_tight = False  # so much is held that little more should be read
        self.is_exceeded = False  # more is held than the limit

    def update(self, holder: Holder, size: int) -> bool:
        """Set how many bytes `holder` holds; return whether there is room for it."""
        held = self._held.pop(holder, 0) if not size else self._held.get(holder, 0)
        if size:
            self._held[holder] = size
        self.total += size - held
        self.is_tight = self.total > TIGHT_SHARE * self._limit
        self.is_exceeded = self.total > self._limit
        if self.is_exceeded and size > held:
            self._shed_others(holder)
        return self.has_room(size)

    def has_room(self, size: int) -> bool:
        """Whether a holder of `size` bytes may keep them."""
        return not self.is_exceeded or size <= self._fair_share

    def _shed_others(self, requester: Holder) -> None:
        """Shed holders of more than the average, the oldest first, until there is some room."""
        average = self.total / len(self._held)
        for holder, size in list(self._held.items()):
            if self.total <= RELIEF_SHARE * self._limit:
                return
            if holder is not requester and size >= average:
                holder.shed()
