"""Connection pools to the worker processes, and the attempts sent over them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Iterable

from wrenladder.policy.events import HEALTHY, NOT_SENT, REMOVED
from wrenladder.proxy.attempt import Attempt
from wrenladder.proxy.discovery_messages import Endpoint
from wrenladder.proxy.http_limits import MAX_BODY_BYTES
from wrenladder.proxy.idle_timeout import AdaptiveIdleTimeout
from wrenladder.proxy.memory_budget import MemoryBudget
from wrenladder.proxy.socket_state import has_unread_input
from wrenladder.proxy.worker_connection import WorkerConnection

# Seconds that a connection is idle after a response before it is reused. A worker that responds twice does so
# within some milliseconds, and the second response must not be taken for the response to the next request.
MIN_IDLE_TIME = 0.02
# Share of the worker's idle timeout; any later, a request could cross the worker's close on the wire.
IDLE_TIMEOUT_SHARE = 0.6
# Errors that prevent a connection because of a shortage on this side; they say nothing about the worker.
LOCAL_SHORTAGE_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class WorkerProcess:
    """A worker process as last reported by discovery, with its idle connections, most recently used last."""

    __slots__ = ("name", "address", "started_at", "idle_connections", "drain_start")

    def __init__(self, name: str, address: tuple[str, int], started_at: float | None) -> None:
        self.name, self.address, self.started_at = name, address, started_at
        self.idle_connections: list[WorkerConnection] = []
        self.drain_start: float | None = None  # when it began to drain or was removed; None while it is up

    def start_drain(self, now: float) -> None:
        """Stop new use of a process that drains or is removed, and close its idle connections."""
        if self.drain_start is None:
            self.drain_start = now
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()


class WorkerPool:
    """All listed worker processes and the connections to them, whose total number is limited."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        connect_timeout: float,
        worker_idle_timeout: float,
        drain_grace: float,
        max_body_bytes: int = MAX_BODY_BYTES,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.loop, self.max_body_bytes, self.memory = loop, max_body_bytes, memory or MemoryBudget()
        self._max_connections, self._connect_timeout, self._drain_grace = (
            max_connections,
            connect_timeout,
            drain_grace,
        )
        self.idle_timeout = AdaptiveIdleTimeout(IDLE_TIMEOUT_SHARE * worker_idle_timeout, loop.time())
        self._processes: dict[str, WorkerProcess] = {}
        self._connections: set[WorkerConnection] = set()

    def update(self, endpoints: Iterable[Endpoint], is_snapshot: bool) -> None:
        """Apply a snapshot or a delta of the worker list.

        Processes that drain or are removed start to drain here. A worker with a new address or start time is
        a new process.
        """
        now = self.loop.time()
        listed = set()
        for endpoint in endpoints:
            entry = endpoint.entry
            listed.add(entry.name)
            process = self._processes.get(entry.name)
            if entry.state == REMOVED:
                if process is not None:
                    process.start_drain(now)
                    del self._processes[entry.name]
                continue
            if (
                process is None
                or process.address != endpoint.address
                or process.started_at != entry.started_at
            ):
                if process is not None:
                    process.start_drain(now)
                process = self._processes[entry.name] = WorkerProcess(
                    entry.name, endpoint.address, entry.started_at
                )
            if entry.state == HEALTHY:
                process.drain_start = None
            else:
                process.start_drain(now)
        if is_snapshot:
            for name in [name for name in self._processes if name not in listed]:
                self._processes.pop(name).start_drain(now)

    def __len__(self) -> int:
        return len(self._processes)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt over the most recently used idle connection that may be reused, or a new one.

        A connection is reused only once it has been idle for `MIN_IDLE_TIME`, so that a second response to
        one request, which would be taken for the response to the next, arrives on an idle connection and ends
        it. Trade-off: where responses take no longer than that, a few more connections are open.
        """
        process = self._processes.get(attempt.worker)
        now = self.loop.time()
        if process is None or (
            process.drain_start is not None and now - process.drain_start >= self._drain_grace
        ):
            attempt.finish(NOT_SENT)
            return
        candidate_count = len(process.idle_connections)
        while (
            candidate_count and now - process.idle_connections[candidate_count - 1].idle_since < MIN_IDLE_TIME
        ):
            candidate_count -= 1
        while candidate_count:
            candidate_count -= 1
            connection = process.idle_connections.pop(candidate_count)
            transport = connection.transport
            if transport is None or transport.is_closing():
                continue
            idle_time = now - connection.idle_since
            # A request that is unsafe to repeat must not cross a close, or meet stray data, that has arrived
            # but has not been read yet.
            if idle_time >= self.idle_timeout.current or has_unread_input(transport):
                connection.close()  # if it was idle for too long, so were those before it in the list
                continue
            connection.send(attempt, idle_time)
            return
        if len(self._connections) >= self._max_connections and not self._evict_idle_connection():
            # One more connection could exhaust the file descriptors. The attempt was never sent, and the
            # worker is not at fault.
            attempt.finish(NOT_SENT)
            return
        connection = WorkerConnection(self, process, attempt)
        attempt.connection = connection
        self._connections.add(connection)
        connection.connect_task = self.loop.create_task(self._connect(connection))

    async def _connect(self, connection: WorkerConnection) -> None:
        host, port = connection.process.address
        timer = self.loop.call_later(self._connect_timeout, connection.connect_timed_out)
        try:
            await self.loop.create_connection(lambda: connection, host, port)
        except OSError as error:
            if error.errno in LOCAL_SHORTAGE_ERRORS:
                connection.connect_failed_locally()
            connection.connection_lost(error)
        finally:
            timer.cancel()
            connection.connect_task = None

    def _evict_idle_connection(self) -> bool:
        """Close the connection that has been idle the longest; False if none is idle."""
        oldest: WorkerConnection | None = None
        for process in self._processes.values():
            if process.idle_connections and (
                oldest is None or process.idle_connections[0].idle_since < oldest.idle_since
            ):
                oldest = process.idle_connections[0]
        if oldest is None:
            return False
        oldest.process.idle_connections.remove(oldest)
        oldest.close()
        return True

    def release(self, connection: WorkerConnection) -> None:
        """Take back a connection that has become idle; it is closed if its worker drains."""
        if connection.process.drain_start is not None:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        connection.process.idle_connections.append(connection)

    def remove(self, connection: WorkerConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)
        if connection in connection.process.idle_connections:
            connection.process.idle_connections.remove(connection)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long, well before the worker would."""
        now = self.loop.time()
        self.idle_timeout.decay(now)
        cutoff = now - self.idle_timeout.current
        for process in self._processes.values():
            while process.idle_connections and process.idle_connections[0].idle_since <= cutoff:
                process.idle_connections.pop(0).close()
