"""Actions that a gateway asks its caller to carry out. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request at a worker.

    Attributes:
        request_id: The request's id.
        worker: The worker's name.
        timeout: Seconds until the attempt times out; 0 leaves it until the client's deadline.
        connect_within: Seconds until its connection must be established, or else the attempt is not sent; 0
            sets no limit.
    """

    request_id: str
    worker: str
    timeout: float = 0.0
    connect_within: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final reply: the request was not processed, so the client may safely retry it.

    `retry_after` is the advised wait in seconds; 0 gives no advice.
    """

    request_id: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final reply: the request failed, and may have been processed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt, named by the request's id and its number from 0; its outcome still follows."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` with the same `timer_id` after `delay` seconds.

    A timer set while handling an event of a request may be dropped once that request has ended and has no
    attempt in flight. A timer that belongs to no request must fire.
    """

    delay: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the worker list."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Subscribe
