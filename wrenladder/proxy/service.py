"""One running gateway: builds its parts, and takes them from the start to a graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import time
from contextlib import suppress
from random import Random

from wrenladder.policy.request_lifecycle import Gateway
from wrenladder.proxy.activity_log import ActivityLog
from wrenladder.proxy.bridge import Bridge
from wrenladder.proxy.client_connection import ClientConnection
from wrenladder.proxy.config import Config, ConfigError, load_config
from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.discovery_timing import LOCAL_AGENT_TIMING, SHARED_SERVICE_TIMING
from wrenladder.proxy.discovery_watch import DiscoveryWatch
from wrenladder.proxy.memory_budget import MEBIBYTE, MemoryBudget, MemoryPlan, resident_memory
from wrenladder.proxy.server import Server
from wrenladder.proxy.shutdown import ShutdownTiming
from wrenladder.proxy.worker_pool import WorkerPool

log = logging.getLogger("wrenladder")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)  # each begins a graceful shutdown

# All times are in seconds.
FIRST_RESPONSE_TIMEOUT = 0.5  # wait for discovery's first response before listening
ACCEPT_GRACE = 0.02  # after the lame duck period, for a stalled event loop to accept what had come by then
ACTIVITY_INTERVAL = 10.0  # between log lines of what has been counted
MAX_SWEEP_INTERVAL = 0.25  # between searches for connections that have timed out
MIN_SWEEP_INTERVAL = 0.02
SWEEP_IDLE_SHARE = 0.1  # sweep interval as a share of the workers' idle timeout, within the bounds above

# Division of the file descriptors.
RESERVED_DESCRIPTORS = 48  # for all but clients and workers, and for connections that are closing
MIN_CONNECTIONS = 16  # for clients and workers together, however few descriptors there are
CLIENT_SHARE = 0.6  # of the connections are for clients, the others for workers
# Share of all descriptors that idle client connections may hold. Clients open a third of them at most: with
# that many idle, a client that sends only on new connections could send nothing more.
IDLE_CLIENT_SHARE = 0.2
LISTEN_BACKLOG = 1024  # connections


class GatewayService:
    """One gateway, from its configuration to its exit."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config) -> None:
        """Build the parts, with the worker list of the configuration; nothing runs yet."""
        self._loop, self._config = loop, config
        self._stop = asyncio.Event()
        self._activity = ActivityLog()
        connection_limit = max(MIN_CONNECTIONS, config.descriptor_limit - RESERVED_DESCRIPTORS)
        client_limit = int(connection_limit * CLIENT_SHARE)
        memory_plan = MemoryPlan.at_start(config.memory_limit)
        memory = self._memory = MemoryBudget(memory_plan.message_bytes, connection_limit)
        self._worker_pool = WorkerPool(
            loop,
            connection_limit - client_limit,
            config.connect_timeout,
            config.worker_idle_timeout,
            config.drain_grace,
            memory=memory,
        )
        policy = Gateway(config.settings, config.seed, loop.time(), memory_plan.max_accounts)
        self._bridge = Bridge(loop, config.settings, policy, self._worker_pool, self._activity)
        self._server = Server(
            loop,
            config.settings,
            config.max_request_units,
            client_limit,
            int(config.descriptor_limit * IDLE_CLIENT_SHARE),
            self._bridge,
            memory,
            self._activity,
        )
        sweep_interval = SWEEP_IDLE_SHARE * config.worker_idle_timeout
        self._sweep_interval = max(MIN_SWEEP_INTERVAL, min(MAX_SWEEP_INTERVAL, sweep_interval))
        # Read only once, so that a worker's start time is the same in every list.
        clock_offset = time.time() - loop.time()
        self._discovery_watch = DiscoveryWatch(
            loop,
            config.discovery,
            clock_offset,
            self._apply_update,
            self._apply_initial_worker_list(clock_offset),
            Random(config.seed),
            SHARED_SERVICE_TIMING if config.settings.must_subscribe else LOCAL_AGENT_TIMING,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP reads the configuration file again and moves to the discovery address in it.

        Raises:
            ConfigError: The listening address can't be used.
        """
        for signal_number in STOP_SIGNALS:
            self._loop.add_signal_handler(signal_number, self._stop.set)
        self._discovery_watch.start()
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        gc.collect()
        gc.freeze()
        # The initial worker list may be outdated, but the gateway has to know the list of discovery from the
        # moment it listens. So it waits for the first response, but no longer than FIRST_RESPONSE_TIMEOUT.
        # Nothing slow may follow once the gateway listens, as requests would wait in the backlog.
        with suppress(TimeoutError):
            await asyncio.wait_for(self._discovery_watch.response_received.wait(), FIRST_RESPONSE_TIMEOUT)
        listener = await self._listen()
        self._loop.call_later(self._sweep_interval, self._sweep)
        self._loop.call_later(ACTIVITY_INTERVAL, self._log_activity)
        await self._stop.wait()
        await self._shut_down(listener)

    def _apply_update(self, update: WorkerListUpdate) -> None:
        self._bridge.apply_worker_list_update(update)
        if len(self._worker_pool):
            self._server.set_has_workers()

    def _apply_initial_worker_list(self, clock_offset: float) -> int | None:
        """Apply the worker list of the configuration; return its index if deltas can be applied to it."""
        document = self._config.initial_worker_list
        if document is None:
            return None
        try:
            update = WorkerListUpdate({"index": 0, **document}, clock_offset)
        except ValueError as error:
            log.warning("known: %s; starting without a worker list", error)
            return None
        update.is_snapshot = True
        self._apply_update(update)
        was_read_completely = update.endpoints and not update.skipped_error
        return update.index if "index" in document and was_read_completely else None

    def _reload(self) -> None:
        """Read the configuration file again; only the discovery address can change after the start."""
        try:
            reloaded = load_config(os.environ)
        except ConfigError as error:
            log.warning("reload: %s; keeping the previous configuration", error)
            return
        log.info("reloaded: discovery at %s:%d", *reloaded.discovery)
        self._discovery_watch.change_address(reloaded.discovery)

    async def _listen(self) -> asyncio.Server:
        try:
            listener = await self._loop.create_server(
                lambda: ClientConnection(self._server), *self._config.listen, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            raise ConfigError(f"listen: {error.strerror or error}") from error
        log.info("%s listens at %s:%d", self._config.name, *listener.sockets[0].getsockname()[:2])
        return listener

    def _sweep(self) -> None:
        """Close connections that have timed out, again and again."""
        self._worker_pool.close_expired()
        self._server.enforce_timeouts()
        self._loop.call_later(self._sweep_interval, self._sweep)

    def _log_activity(self) -> None:
        """Log what has been counted, again and again."""
        self._flush_activity()
        self._loop.call_later(ACTIVITY_INTERVAL, self._log_activity)

    def _flush_activity(self) -> None:
        resident = resident_memory() // MEBIBYTE
        self._activity.flush(
            f"{len(self._server)} clients, {self._memory.total} bytes of messages, {resident} MiB resident"
        )

    async def _shut_down(self, listener: asyncio.Server) -> None:
        """Reply to all requests, those that still come in the lame duck period included, and stop."""
        longest_deadline = max(c.deadline for c in self._config.settings.classes)
        timing = ShutdownTiming.after_signal(self._loop.time(), longest_deadline)
        log.info("stopping")
        self._server.enter_lame_duck()
        self._bridge.limit_deadlines(timing.reply_deadline)
        await asyncio.sleep(timing.lame_duck_end - self._loop.time())
        self._server.close_after_reply = True
        # The loop runs timers before sockets: without this pause a stalled loop would reset the backlog.
        await asyncio.sleep(ACCEPT_GRACE)
        listener.close()
        await asyncio.sleep(0)  # lets the connections accepted last register with the server
        await self._server.close_all(timing.reply_deadline, timing.exit_deadline)
        self._discovery_watch.stop()
        self._flush_activity()
        # The end of the loop restores the default handlers, with which a late signal would kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *STOP_SIGNALS})
