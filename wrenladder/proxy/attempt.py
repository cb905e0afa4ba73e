"""Attempts at workers, and the responses to them.

Every attempt ends exactly once, in `Attempt.finish`, whatever happens to its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from wrenladder.policy.events import NOT_SENT

if TYPE_CHECKING:
    from wrenladder.proxy.worker_connection import WorkerConnection

MIN_TIMEOUT = 0.001  # seconds; least remaining time that X-Timeout states


class WorkerResponse:
    """A complete response from a worker."""

    __slots__ = ("status", "headers", "body", "metered_usage", "not_processed")

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[bytes] = []  # end-to-end header lines, encoded for the reply to the client
        self.body = b""
        self.metered_usage: float | None = None  # meter reading: usage as a share of the quota
        self.not_processed = False  # X-Not-Processed: the worker did not run the request


class Attempt:
    """One attempt to have a worker serve a request: written at most once, finished exactly once."""

    __slots__ = (
        "request_id",
        "number",
        "worker",
        "head",
        "body",
        "deadline",
        "write_deadline",
        "started_at",
        "on_finish",
        "finished",
        "written",
        "connection",
        "timer",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        worker: str,
        head: bytes,
        body: bytes,
        deadline: float,
        started_at: float,
        on_finish: Callable[[Attempt, str, WorkerResponse | None], None],
    ) -> None:
        self.request_id, self.number, self.worker = request_id, number, worker
        self.head, self.body, self.deadline, self.started_at = head, body, deadline, started_at
        self.write_deadline = deadline  # from this time on the request must not be written any more
        self.on_finish = on_finish
        self.finished = self.written = False
        self.connection: WorkerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, status: str, response: WorkerResponse | None = None) -> None:
        """End the attempt and report its outcome; further calls do nothing."""
        if self.finished:
            return
        self.finished = True
        self.connection = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.on_finish(self, status, response)

    def abort(self, status: str) -> None:
        """End the attempt without a response; closing its connection tells the worker."""
        if self.finished:
            return
        connection = self.connection
        if connection is not None:
            connection.attempt = None
            connection.close()
        self.finish(status)

    def abort_unwritten(self) -> None:
        """End the attempt as not sent if its request has not been written yet."""
        if not self.written:
            self.abort(NOT_SENT)

    def limit_deadline(self, latest: float) -> None:
        """Bring the attempt's deadlines forward to `latest`, in seconds on the event loop's clock."""
        self.deadline = min(self.deadline, latest)
        self.write_deadline = min(self.write_deadline, latest)

    def request_bytes(self, now: float) -> bytes:
        """The request as sent to the worker; X-Timeout states the remaining time, at least `MIN_TIMEOUT`."""
        return b"%bX-Timeout: %.3f\r\n\r\n%b" % (self.head, max(MIN_TIMEOUT, self.deadline - now), self.body)

    def release_request(self) -> None:
        """Free the memory of the request, which has been written and is not written again."""
        self.head = self.body = b""
