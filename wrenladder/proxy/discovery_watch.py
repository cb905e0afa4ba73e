"""The discovery watch: gets the worker list and then its changes, by long polls over one connection."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable
from random import Random

from wrenladder.proxy.discovery_connection import DiscoveryConnection, DiscoveryResponse
from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.discovery_timing import (
    EARLY_POLL_JITTER,
    EARLY_POLL_MIN_TIME_LEFT,
    INITIAL_BACKOFF,
    INITIAL_OVERLOAD_BACKOFF,
    LATE_POLL_PATIENCE,
    MAX_OVERLOAD_BACKOFF,
    MIN_JITTER_FACTOR,
    MIN_JITTER_FACTOR_AT_MAX,
    POLL_DEADLINE,
    READ_GRACE,
    SHARED_SERVICE_TIMING,
    WatchTiming,
)

log = logging.getLogger("wrenladder")
OVERLOADED_STATUS = 503  # the discovery service refuses a poll because of too many others


class DiscoveryWatch:
    """Keeps the worker list up to date: one long poll after another, over a new connection after any failure.

    An index identifies a version of the worker list; `initial_index` is that of the list that the gateway
    started with, if any. As long as an index is known, only the changes after it are requested. If forty
    gateways that start at once all requested the snapshot, they would keep the shared discovery service
    overloaded for many seconds, in which it refuses every poll. Trade-off: if the service no longer knows the
    index, the list stays as it is.

    A poll that has timed out is sent again over another connection, but the connection of one such poll is
    kept, so that a service which is slower than the time-out is heard as well. The first response counts, and
    the connection on which it came is the only one from then on.

    A failure belongs to the connection on which it occurred. It doesn't affect the current connection if it
    comes on another one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        clock_offset: float,
        on_update: Callable[[WorkerListUpdate], None],
        initial_index: int | None = None,
        random: Random | None = None,
        timing: WatchTiming = SHARED_SERVICE_TIMING,
    ) -> None:
        self._loop, self._address, self._clock_offset, self._on_update = (
            loop,
            address,
            clock_offset,
            on_update,
        )
        self._random, self._timing = random or Random(), timing
        self._connection: DiscoveryConnection | None = None
        self._late_connection: DiscoveryConnection | None = None  # of a poll that has timed out
        self._index = initial_index  # of the current list; None: the snapshot has to be requested
        self._backoff, self._overload_backoff = INITIAL_BACKOFF, INITIAL_OVERLOAD_BACKOFF
        # Time of the last response or quick failure, such as a refused connection; at first, of the start.
        self._last_contact = loop.time()
        self._operation_start = self._last_contact  # when the latest connect or poll began
        self._poll_deadline = math.inf  # after a time-out: the poll for what was missed has to begin by then
        self._timer: asyncio.TimerHandle | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._failing = False  # since the last response
        self._failure_logged = False  # since the last response that came in time
        self._logged_skipped_error = ""  # the error of the last skipped entry, so that it is logged only once
        self.response_received = asyncio.Event()  # set once a valid response has been received

    def start(self) -> None:
        """Connect, in place of the current connection, or of one that is being established."""
        self._stop_current()
        self._connection, self._operation_start = (
            DiscoveryConnection(self, self._address, self._loop.time),
            self._loop.time(),
        )
        self._connect_task = self._loop.create_task(self._connect(self._connection))

    def stop(self) -> None:
        """End the watch, for good or until the next start."""
        self._stop_current()
        self._close_late_connection()

    def _stop_current(self) -> None:
        for handle in (self._timer, self._connect_task):
            if handle is not None:
                handle.cancel()
        self._close_connection()

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch another address: the snapshot is requested there, and the current list stays until it comes.

        The old connection with its open poll and a retry that was due are dropped, so that the watch can't
        return to the old address. So is the index, which means nothing to another service.
        """
        if address == self._address:
            return
        self.stop()
        self._address = address
        self._backoff, self._overload_backoff = INITIAL_BACKOFF, INITIAL_OVERLOAD_BACKOFF
        self._failing = self._failure_logged = False
        self._index, self._last_contact, self._poll_deadline = None, self._loop.time(), math.inf
        self.start()

    def _close_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _close_late_connection(self) -> None:
        connection, self._late_connection = self._late_connection, None
        if connection is not None:
            connection.close()

    async def _connect(self, connection: DiscoveryConnection) -> None:
        host, port = self._address
        try:
            async with asyncio.timeout(self._timing.response_timeout):
                await self._loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError) as error:
            self.on_failure(connection, f"cannot connect: {error or 'timed out'}")

    def on_failure(self, connection: DiscoveryConnection, reason: str, resync: bool = False) -> None:
        """Keep the current list and retry after a pause; `resync` requests the snapshot then."""
        if connection is self._late_connection:
            self._close_late_connection()
            return
        if connection is not self._connection:
            return
        self._close_connection()
        if resync:
            self._index = None
            self._close_late_connection()  # its poll asks for the changes since an index that is in doubt
        self._retry(connection, reason)

    def _on_timeout(self, connection: DiscoveryConnection) -> None:
        """Poll again, and keep this connection, or an earlier one, in case its response still comes.

        The earlier one is kept as long as it has not been quiet for too long, since a slow service would
        respond to it first.
        """
        if connection is not self._connection:
            return
        late = self._late_connection
        if late is not None and self._loop.time() - late.quiet_since < LATE_POLL_PATIENCE:
            self._close_connection()
        else:
            self._close_late_connection()
            self._late_connection, self._connection = connection, None
        self._retry(connection, "response timed out")

    def _retry(self, connection: DiscoveryConnection, reason: str) -> None:
        """Connect again after a pause.

        If the failed operation began some time ago, the service may have been unresponsive since then.
        """
        now = self._loop.time()
        if now - self._operation_start > self._timing.recovery_wait:
            self._poll_deadline = self._last_contact + POLL_DEADLINE
        else:
            self._last_contact = now
        self._log_failure(
            f"{reason} after {now - self._operation_start:.2f} s with {connection.received_size} bytes of a"
            " response"
        )
        self._failing = True
        self._schedule(self._retry_delay(self._backoff, self._timing.max_backoff), self.start)
        self._backoff = min(self._timing.max_backoff, 2 * self._backoff)

    def _log_failure(self, reason: str) -> None:
        if not self._failure_logged:
            log.warning("discovery: %s; keeping the list and trying again", reason)
        self._failure_logged = True

    def _on_overload(self) -> None:
        """Retry after a pause with backoff and jitter: the discovery service is overloaded (503).

        All gateways share the service. Immediate retries of some would keep out the others, and forty
        gateways that retry once a second would keep it overloaded for good. Trade-off: the list may be some
        seconds older than necessary.
        """
        self._log_failure(f"overloaded (status {OVERLOADED_STATUS})")
        self._close_connection()
        self._failing, self._last_contact = True, self._loop.time()
        self._schedule(self._retry_delay(self._overload_backoff, MAX_OVERLOAD_BACKOFF), self.start)
        self._overload_backoff = min(MAX_OVERLOAD_BACKOFF, 2 * self._overload_backoff)

    def _retry_delay(self, backoff: float, max_backoff: float) -> float:
        """The pause before the next try, in seconds: `backoff` with jitter, or less after a time-out.

        Jitter keeps gateways that failed together from retrying together. After a time-out the pause ends
        before the changes that may have been missed have to be known. Only one poll per time-out is brought
        forward in this way, to limit the load on discovery. Trade-off: an overloaded service gets one more
        poll.
        """
        time_left = self._poll_deadline - self._loop.time()
        if time_left < backoff + 2 * EARLY_POLL_MIN_TIME_LEFT:
            self._poll_deadline = math.inf
            if time_left >= EARLY_POLL_MIN_TIME_LEFT:
                return self._random.uniform(
                    max(time_left - EARLY_POLL_JITTER, EARLY_POLL_MIN_TIME_LEFT / 2), time_left
                )
        return backoff * self._random.uniform(
            MIN_JITTER_FACTOR if backoff < max_backoff else MIN_JITTER_FACTOR_AT_MAX, 1.0
        )

    def _schedule(self, delay: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay, callback)

    def on_connected(self, connection: DiscoveryConnection) -> None:
        """Send the first poll of a new connection.

        Its wait is shortened by the time since the last contact, so that a service which has stopped
        responding is noticed no later than if the connection had been established at once.
        """
        wait = self._timing.poll_wait - (self._loop.time() - self._last_contact)
        recovery_wait = self._timing.recovery_wait
        self._poll(connection, recovery_wait if self._failing else max(recovery_wait, wait))

    def _poll(self, connection: DiscoveryConnection, wait: float) -> None:
        """Request the snapshot or, if an index is known, the changes after it within `wait` seconds."""
        path, timeout = "/v1/servers", self._timing.response_timeout
        if self._index is not None:
            path, timeout = (
                f"{path}?index={self._index}&wait={int(wait * 1000)}",
                wait + self._timing.response_grace,
            )
        connection.send_poll(path, timeout)
        self._operation_start = self._loop.time()
        # A service may stop responding without closing its connections, so every poll has a timeout. The
        # second, short timer lets an event loop that was stalled itself first read what has arrived.
        self._schedule(
            timeout,
            lambda: self._schedule(READ_GRACE, lambda: self._on_timeout(connection)),
        )

    def on_response(self, connection: DiscoveryConnection, response: DiscoveryResponse) -> None:
        """Pass on a response and send the next poll, over a new connection if this one is to be closed."""
        is_late = connection is self._late_connection
        if response.status == OVERLOADED_STATUS:
            if is_late:
                self._close_late_connection()
            else:
                self._on_overload()
            return
        if is_late:
            self._stop_current()
            self._connection, self._late_connection = connection, None
        try:
            update = self._parse(response)
        except (ValueError, RecursionError) as error:
            self.on_failure(connection, f"invalid response: {error}", resync=True)
            return
        self._close_late_connection()
        if self._failure_logged and not is_late:
            log.info("discovery: recovered")
            self._failure_logged = False
        self._failing = False
        self._backoff, self._overload_backoff = INITIAL_BACKOFF, INITIAL_OVERLOAD_BACKOFF
        self._last_contact, self._poll_deadline = self._loop.time(), math.inf
        self._index = update.index
        if update.skipped_error and update.skipped_error != self._logged_skipped_error:
            log.warning("discovery: skipped a malformed entry: %s", update.skipped_error)
        self._logged_skipped_error = update.skipped_error
        if response.will_close:
            self.start()  # the close belongs to the response, so it is no failure
        else:
            # Before the callback, to follow the response at once.
            self._poll(connection, self._timing.poll_wait)
        self.response_received.set()
        self._on_update(update)

    def _parse(self, response: DiscoveryResponse) -> WorkerListUpdate:
        """Return the update in a response; a ValueError says why there is none that can be applied."""
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        update = WorkerListUpdate(json.loads(response.body), self._clock_offset)
        if self._index is None and not update.is_snapshot:
            raise ValueError("expected a snapshot but got a delta")
        return update
