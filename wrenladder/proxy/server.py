"""The set of client connections and the limits on it."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from itertools import islice

from wrenladder.policy.settings import Settings
from wrenladder.proxy.activity_log import ActivityLog
from wrenladder.proxy.bridge import Bridge
from wrenladder.proxy.client_connection import ClientConnection
from wrenladder.proxy.memory_budget import MemoryBudget
from wrenladder.proxy.request_validation import RequestValidator
from wrenladder.proxy.socket_state import disconnected
from wrenladder.proxy.turn_scheduler import TurnScheduler

log = logging.getLogger("wrenladder")
# Seconds between checks whether clients from which reading is paused have disconnected. No attempt may start
# more than 0.1 s after its client's close, and the event loop's own delays count towards that.
DISCONNECT_POLL_INTERVAL = 0.02
MAX_EVICTION_CANDIDATES = 8  # oldest connections without a valid request that are checked for unread input
MAX_OVERFLOW_CONNECTIONS = 24  # beyond the connection limit; their first request is refused with a reply
READ_SIZE = 64 * 1024  # bytes that are read at once from a client
TIGHT_READ_SIZE = 1024  # bytes, while memory is tight
REFUSAL_RETRY_AFTER = 0.1  # seconds that a refusal for lack of connections or memory advises at most


class Server:
    """All client connections, and the limits on their number."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        max_request_units: float,
        connection_limit: int,
        idle_client_limit: int,
        bridge: Bridge,
        memory: MemoryBudget | None = None,
        activity: ActivityLog | None = None,
    ) -> None:
        self.loop, self.bridge, self.memory = loop, bridge, memory or MemoryBudget()
        self.activity = activity or ActivityLog()
        # The buffer that input is read into, from all clients, since it is taken out at once; and the part of
        # it that is used while memory is tight.
        self.read_buffer = memoryview(bytearray(READ_SIZE))
        self.tight_read_buffer = self.read_buffer[:TIGHT_READ_SIZE]
        self.validator = RequestValidator(settings, max_request_units, bridge)
        self.scheduler = TurnScheduler(loop)
        retry_after = min(REFUSAL_RETRY_AFTER, settings.max_retry_after)
        self.refusal_headers = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0 else b""
        self.close_after_reply = False  # if set, replies close the connections on which no request is queued
        self.past_reply_deadline = False  # in a shutdown: incomplete requests are rejected
        self._no_connections = asyncio.Event()  # set exactly while no connection is open
        self._no_connections.set()
        # Above `idle_client_limit` connections with a valid request, the longest idle one is closed.
        self._connection_limit, self._idle_client_limit = connection_limit, idle_client_limit
        self._connections: dict[ClientConnection, None] = {}
        self._without_valid_request: dict[ClientConnection, None] = {}  # in order of connecting
        self._with_valid_request: dict[ClientConnection, None] = {}  # in order of their last replies
        self._has_workers = self._lame_duck = False
        self._reading_paused: set[ClientConnection] = set()

    def set_has_workers(self) -> None:
        """Note that there are workers, so that the gateway may report ready."""
        self._has_workers = True

    def enter_lame_duck(self) -> None:
        """Report not ready from now on (lame duck): clients should go elsewhere, but are still served."""
        self._lame_duck = True

    def __len__(self) -> int:
        return len(self._connections)

    def ready(self) -> bool:
        """Whether clients should be sent to this gateway."""
        return self._has_workers and not self._lame_duck

    def add_connection(self, client: ClientConnection) -> None:
        """Register a connection; at the limit, close another one for it, or else refuse it.

        A connection without a valid request is closed first, since ordinary clients send one as soon as they
        have connected; after these the one that has been idle the longest.
        """
        if len(self._connections) >= self._connection_limit:
            candidates = islice(self._without_valid_request, MAX_EVICTION_CANDIDATES)
            evicted = next(filter(ClientConnection.has_no_unread_input, candidates), None) or next(
                iter(self._without_valid_request), None
            )
            if evicted is None:
                evicted = self._longest_idle()
            if evicted is not None:
                self._without_valid_request.pop(evicted, None)
                evicted.abort("closed: for a new connection")
            elif len(self._connections) < self._connection_limit + MAX_OVERFLOW_CONNECTIONS:
                client.over_limit = True
            else:
                # The remaining descriptors are for workers and discovery.
                client.abort("closed: too many connections")
        self._connections[client] = self._without_valid_request[client] = None
        self._no_connections.clear()

    def record_valid_request(self, client: ClientConnection) -> None:
        """Note that a client has sent a valid request."""
        if client.has_valid_request:
            return
        client.has_valid_request = True
        self._without_valid_request.pop(client, None)
        self._with_valid_request[client] = None
        if (
            len(self._with_valid_request) > self._idle_client_limit
            and (evicted := self._longest_idle()) is not None
        ):
            # Some clients send one request on each connection and keep it open, up to a limit of their own.
            # Once all of these connections are idle here, such a client can send no further request.
            evicted.close("closed: too many idle connections")

    def record_reply(self, client: ClientConnection) -> None:
        """Move a client that has been sent a reply to the end of the order of last replies."""
        self._with_valid_request.pop(client, None)
        self._with_valid_request[client] = None

    def _longest_idle(self) -> ClientConnection | None:
        """The client with a valid request whose connection has been idle the longest."""
        return next((client for client in self._with_valid_request if client.can_close()), None)

    def pause_reading(self, client: ClientConnection, transport: asyncio.Transport) -> None:
        """Pause reading from a client, and poll its socket for a disconnect meanwhile."""
        transport.pause_reading()
        if not self._reading_paused:
            self.loop.call_later(DISCONNECT_POLL_INTERVAL, self._poll_disconnects)
        self._reading_paused.add(client)

    def _poll_disconnects(self) -> None:
        """Check all clients from which reading is paused in one call, and again while there are any."""
        paused: dict[asyncio.BaseTransport, ClientConnection] = {
            t: c for c in self._reading_paused if (t := c.paused_transport()) is not None
        }
        for transport in disconnected(paused):
            paused.pop(transport).handle_disconnect()
        self._reading_paused = set(paused.values())
        if self._reading_paused:
            self.loop.call_later(DISCONNECT_POLL_INTERVAL, self._poll_disconnects)

    def remove_connection(self, client: ClientConnection) -> None:
        """Deregister a connection that is closed."""
        self.scheduler.remove(client)
        self._connections.pop(client, None)
        self._without_valid_request.pop(client, None)
        self._with_valid_request.pop(client, None)
        if not self._connections:
            self._no_connections.set()

    def enforce_timeouts(self) -> None:
        """Close connections that have been idle or stalled for too long."""
        now = self.loop.time()
        for client in list(self._connections):
            client.enforce_timeouts(now)

    async def close_all(self, reply_deadline: float, exit_deadline: float) -> None:
        """Close idle connections, and all others with their last replies; wait until none is open.

        Requests that are still incomplete at `reply_deadline` are rejected. At `exit_deadline` the wait ends,
        whatever is open. Both are in seconds on the event loop's clock.
        """
        self.close_after_reply = True
        self._close_idle()
        await self._wait_until_closed(reply_deadline)
        self.past_reply_deadline = True
        for client in list(self._connections):
            client.reject_incomplete_request(503, "shutting down")
        self._close_idle()
        await self._wait_until_closed(exit_deadline)
        if self._connections:
            log.warning("%d client connections still open at exit", len(self._connections))

    def _close_idle(self) -> None:
        for client in list(self._connections):
            if client.can_close():
                client.close("closed: shutting down")

    async def _wait_until_closed(self, end: float) -> None:
        """Wait until no connection is open, or until `end` on the event loop's clock."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self._no_connections.wait(), end - self.loop.time())
