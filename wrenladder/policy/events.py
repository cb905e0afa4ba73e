"""Events that a gateway handles, and the values of their fields.

Times are seconds as floats on the caller's clock, which never goes back and has an arbitrary zero; durations
are in seconds as well.
"""

from __future__ import annotations

from dataclasses import dataclass

from wrenladder.policy.validation import check_at_least

# States of a worker.
HEALTHY = "healthy"
DRAINING = "draining"  # it finishes what it has and gets nothing new
REMOVED = "removed"  # it left the list

# Outcomes of an attempt.
SUCCESS = "success"
FAILURE = "failure"  # the worker responded with an error; the attempt may have run
OVERLOADED = "overloaded"  # the worker refused the attempt as overloaded, without running it
TIMED_OUT = "timed_out"  # no response came in time; the attempt may have run
UNREACHABLE = "unreachable"  # no connection to the worker was established, so the attempt never ran
# The connection was lost before a complete response; the attempt may have run.
CONNECTION_LOST = "connection_lost"
CANCELLED = "cancelled"  # the gateway cancelled it; the attempt may have run
NOT_SENT = "not_sent"  # it was never sent, through no fault of the worker
MALFORMED_RESPONSE = "malformed_response"  # the worker is alive, and the attempt may have run

NEVER_RAN = frozenset({OVERLOADED, UNREACHABLE, NOT_SENT})  # outcomes that prove the attempt did not run


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker of the worker list.

    Attributes:
        name: The worker's name.
        zone: The zone it runs in.
        cell: Number of the group of workers it belongs to; see `RequestClass.repeat_scope`.
        state: `HEALTHY`, `DRAINING` or `REMOVED`.
        relative_capacity: Its capacity in relation to the others; 0 where it is unknown.
        started_at: When its process started; None where that is long ago.
        predecessor: The worker that had its address until now, if another one had.
    """

    name: str
    zone: str = ""
    cell: int = 0
    state: str = HEALTHY
    relative_capacity: float = 1.0
    started_at: float | None = None
    predecessor: str = ""


@dataclass(frozen=True, slots=True)
class WorkerList:
    """An update of the worker list: a snapshot that replaces it if `is_snapshot`, else a delta.

    `failed` tells that a call to discovery or the subscription failed; there are no entries then, and the
    previous list stays valid.
    """

    entries: tuple[WorkerEntry, ...] = ()
    is_snapshot: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a client, or the client's retry of one.

    Attributes:
        request_id: Its id.
        request_class: The name of its request class.
        plan: The name of its customer's plan.
        customer: The customer's id.
        time_left: Seconds until the request must have its final reply.
        units: Units of quota that it takes, at least 0.
        customer_gateway_count: How many gateways this customer's requests are spread over, at least 1.
        is_retry: Whether it is a client retry.

    Raises:
        ValueError: `units` or `customer_gateway_count` is out of range.
    """

    request_id: str
    request_class: str
    plan: str
    customer: str
    time_left: float
    units: float = 1.0
    customer_gateway_count: int = 1
    is_retry: bool = False

    def __post_init__(self) -> None:
        check_at_least(self, 1, ("customer_gateway_count",))
        check_at_least(self, 0.0, ("units",))


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt; each attempt has exactly one.

    Attributes:
        request_id: The request's id.
        attempt_number: The attempt's number within the request, from 0.
        worker: The name of the worker that it went to.
        status: One of the outcomes above.
        request_ended: Whether the request has had its final reply, so that nothing more is due.
        duration: Seconds from the start of the attempt to its outcome.
        metered_usage: Meter reading, if known: the customer's usage as a share of its quota (1.0 is all).
        final_units: Units of quota that the request took in the end; 0 where they are unknown.
    """

    request_id: str
    attempt_number: int
    worker: str
    status: str
    request_ended: bool
    duration: float
    metered_usage: float | None = None
    final_units: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to an attempt has begun, `duration` seconds after its start.

    The rest of the stream goes from the worker to the client; the attempt's outcome follows at its end.
    """

    request_id: str
    attempt_number: int
    worker: str
    duration: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that this gateway asked for has expired; `timer_id` is that of its `SetTimer`."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client no longer waits, so the request needs no final reply."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The gateway shuts down: all requests, present or later, must end in `time_left` seconds.

    Raises:
        ValueError: `time_left` is out of range.
    """

    time_left: float

    def __post_init__(self) -> None:
        check_at_least(self, 0.0, ("time_left",))


Event = WorkerList | Request | Outcome | StreamStarted | TimerFired | Abandoned | ShutdownStarted
