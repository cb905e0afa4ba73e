"""A connection to a worker: sends one request at a time and parses the response."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, cast

import httptools

from wrenladder.policy.events import (
    CONNECTION_LOST,
    FAILURE,
    MALFORMED_RESPONSE,
    NOT_SENT,
    OVERLOADED,
    SUCCESS,
    UNREACHABLE,
)
from wrenladder.proxy.attempt import Attempt, WorkerResponse
from wrenladder.proxy.growing_bytes import extended
from wrenladder.proxy.http_limits import (
    HOP_BY_HOP_HEADERS,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
)
from wrenladder.proxy.response_framing import ResponseFraming

if TYPE_CHECKING:
    from wrenladder.proxy.worker_pool import WorkerPool, WorkerProcess


MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of the final one
PERCENTAGE_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")


class ResponseTooLarge(Exception):
    """A response exceeds the limit on its head, its body or its interim responses."""


class WorkerConnection(asyncio.Protocol):
    """A connection to a worker; it carries one attempt at a time."""

    __slots__ = (
        "_pool",
        "process",
        "attempt",
        "transport",
        "connect_task",
        "idle_since",
        "_idle_time",
        "_parser",
        "_response",
        "_body",
        "_accounted_bytes",
        "_parsed_size",
        "_raw_size",
        "_interim_count",
        "_header_count",
        "_framing",
        "_flushed",
        "_complete",
        "_reusable",
        "_closed",
    )

    def __init__(self, pool: WorkerPool, process: WorkerProcess, attempt: Attempt) -> None:
        self._pool, self.process = pool, process
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.idle_since = 0.0
        self._idle_time: float | None = None  # before this attempt; None: the connection is new
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._closed = False
        self._accounted_bytes = 0  # of an incomplete response
        self._framing = ResponseFraming()
        self._reset()

    def _reset(self) -> None:
        self._response = WorkerResponse()
        self._body: bytes | bytearray = b""
        self._parsed_size = self._raw_size = self._interim_count = self._header_count = 0
        self._framing.reset()
        self._flushed = False  # whether the kernel has taken the whole request
        self._complete = False  # the response
        self._reusable = True

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that the connection was opened for, if it may still be sent."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, resume_writing is called once the kernel has taken the last byte.
        self.transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        if attempt is None or self._closed:
            self.transport.abort()
        elif self.process.drain_start is not None or self._pool.loop.time() >= attempt.write_deadline:
            # The worker began to drain, or the time ran out, while the connection was being established. To
            # send now would break the rules on drains, retry windows and late responses. Nothing was written.
            self._abort_attempt(NOT_SENT)
        else:
            self.send(attempt)

    def send(self, attempt: Attempt, idle_time: float | None = None) -> None:
        """Write an attempt's request in one piece; `idle_time` is how long the connection was idle before."""
        self.attempt, self._idle_time = attempt, idle_time
        attempt.connection, attempt.written = self, True
        transport = cast(asyncio.Transport, self.transport)
        transport.write(attempt.request_bytes(self._pool.loop.time()))
        attempt.release_request()
        self._flushed = not transport.is_closing() and transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """Note that the kernel has taken the last byte of the request."""
        self._flushed = True

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; close on data that belongs to no request."""
        if self.attempt is None or self._parser is None:
            self.close()  # or the data would be taken for the response to the next request
            return
        self._raw_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if not self._complete:
                self._abort_attempt(MALFORMED_RESPONSE)
                return
        if self._complete:
            self._finish_attempt()
        elif self._raw_size > self._framing.max_received_size(
            self._pool.max_body_bytes
        ) or not self._account_memory(len(self._body)):
            self._abort_attempt(MALFORMED_RESPONSE)

    def _account_memory(self, size: int) -> bool:
        """Account for the memory of an incomplete response; return whether the budget allows it."""
        if size == self._accounted_bytes:
            return True
        self._accounted_bytes = size
        return self._pool.memory.update(self, size)

    def shed(self) -> None:
        """Never give up a response: its request may have run."""

    def eof_received(self) -> bool:
        """Handle the end of the worker's stream, which completes a response without a length.

        The close must have been announced, since nothing else tells whether such a response is whole. Any
        other response is cut off by it.
        """
        completes = self._framing.ends_with_connection and self._framing.close_announced
        if self.attempt is not None and completes and not self._complete:
            self._reusable = False
            self.on_message_complete()
            self._finish_attempt()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt; the worker may have run it only if the kernel had taken the whole request."""
        if self.attempt is not None and self.transport is not None:
            self._pool.idle_timeout.record_use(
                self._idle_time, not (self._framing.head_complete or self._raw_size)
            )
        self.transport = self._parser = None  # parser and protocol refer to each other
        self._abort_attempt(CONNECTION_LOST if self._flushed else UNREACHABLE)
        self._pool.remove(self)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start of a response; a second one to the same request makes the connection unusable."""
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers count towards the size limit and are dropped."""
        self._parsed_size += len(name) + len(value)
        if self._parsed_size > MAX_HEAD_BYTES + (
            self._pool.max_body_bytes if self._framing.head_complete else 0
        ):
            raise ResponseTooLarge
        if self._framing.head_complete:
            return
        self._header_count += 1
        if self._header_count > MAX_HEADER_FIELDS:
            raise ResponseTooLarge
        lower = name.lower()
        if lower == b"x-not-processed":
            self._response.not_processed = value.strip() == b"1"
        elif lower == b"x-allowance-used":
            if PERCENTAGE_PATTERN.fullmatch(value):  # malformed values are ignored; the last valid one counts
                self._response.metered_usage = float(value) / 100
        elif lower in HOP_BY_HOP_HEADERS:
            self._framing.record_header(lower, value)
            if lower == b"content-length" and int(value) > self._pool.max_body_bytes:
                raise ResponseTooLarge  # before any of the body is read
        elif lower != b"x-server-load":
            self._response.headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Store the status of the response."""
        if self._complete:
            return  # the status is that of an unrequested second response
        self._framing.head_complete = True
        self._raw_size = 0
        self._response.status = cast(httptools.HttpResponseParser, self._parser).get_status_code()

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._parsed_size += len(data)
        if self._parsed_size > MAX_HEAD_BYTES + self._pool.max_body_bytes:
            raise ResponseTooLarge
        self._body = extended(self._body, data)

    def on_message_complete(self) -> None:
        """Complete the response, or prepare for the next one if this one is interim (1xx)."""
        if self._complete:
            return
        if 100 <= self._response.status < 200:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise ResponseTooLarge
            self._response = WorkerResponse()
            self._framing.reset()
            self._raw_size = 0
            return
        self._complete = True
        self._response.body = bytes(self._body)
        self._reusable = (
            self._reusable and cast(httptools.HttpResponseParser, self._parser).should_keep_alive()
        )

    # End of an attempt or of the connection

    def _finish_attempt(self) -> None:
        """Return the connection to the pool or close it, then report the complete response."""
        self._account_memory(0)
        attempt, response = self.attempt, self._response
        reusable = self._reusable and self._flushed and not self._closed
        self.attempt = None
        if reusable:
            self._pool.idle_timeout.record_use(self._idle_time, False)
            self._reset()
            self._pool.release(self)
        else:
            self.close()
        if attempt is None:
            return
        if response.status == 200:
            attempt.finish(SUCCESS, response)
        elif response.status in (503, 504) and response.not_processed:
            attempt.finish(OVERLOADED, response)
        else:
            attempt.finish(FAILURE, response)

    def _abort_attempt(self, status: str) -> None:
        attempt, self.attempt = self.attempt, None
        self.close()
        if attempt is not None:
            attempt.finish(status)

    def close(self) -> None:
        """Close at once; data that the kernel has not taken yet is discarded."""
        if self._closed:
            return
        self._closed = True
        self._account_memory(0)
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            # A task that is cancelled before its first step runs no cleanup code, so the connection is
            # removed from the pool here; otherwise it would leak.
            self.connect_task.cancel()
            self._pool.remove(self)

    def connect_failed_locally(self) -> None:
        """End the attempt as not sent: local resources ran out, which is not due to the worker.

        Nothing was written.
        """
        self._abort_attempt(NOT_SENT)

    def connect_timed_out(self) -> None:
        """End the attempt if the connection was not established in time; nothing was written."""
        if self.transport is None:
            self._abort_attempt(UNREACHABLE)
