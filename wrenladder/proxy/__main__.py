"""Runs one gateway until a signal ends it: `python -m wrenladder.proxy`."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import resource
import signal
import sys
import time
from contextlib import suppress
from random import Random

import uvloop

from wrenladder.policy.request_lifecycle import Gateway
from wrenladder.proxy.bridge import Bridge
from wrenladder.proxy.client_connection import ClientConnection
from wrenladder.proxy.config import Config, ConfigError, load_config
from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.discovery_timing import LOCAL_AGENT_TIMING, SHARED_SERVICE_TIMING
from wrenladder.proxy.discovery_watch import DiscoveryWatch
from wrenladder.proxy.server import Server
from wrenladder.proxy.shutdown import ShutdownTiming
from wrenladder.proxy.worker_pool import WorkerPool

log = logging.getLogger("wrenladder")

# All times are in seconds.
FIRST_RESPONSE_TIMEOUT = 0.5  # wait for discovery's first response before listening
ACCEPT_GRACE = 0.02  # after the lame duck period, for a stalled event loop to accept what had come by then
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


async def serve(config: Config) -> int:
    """Run one gateway until SIGTERM or SIGINT, drain it, and return the exit status.

    SIGHUP reads the configuration file again and moves to the discovery address in it.

    Raises:
        ConfigError: The listening address can't be used.
    """
    loop = asyncio.get_running_loop()
    connection_limit = max(MIN_CONNECTIONS, config.descriptor_limit - RESERVED_DESCRIPTORS)
    client_limit = int(connection_limit * CLIENT_SHARE)
    worker_pool = WorkerPool(
        loop,
        connection_limit - client_limit,
        config.connect_timeout,
        config.worker_idle_timeout,
        config.drain_grace,
    )
    bridge = Bridge(loop, config.settings, Gateway(config.settings, config.seed, loop.time()), worker_pool)
    idle_client_limit = int(config.descriptor_limit * IDLE_CLIENT_SHARE)
    server = Server(loop, config.settings, config.max_request_units, client_limit, idle_client_limit, bridge)
    # Read only once, so that a worker's start time is the same in every list.
    clock_offset = time.time() - loop.time()

    def apply_update(update: WorkerListUpdate) -> None:
        bridge.apply_worker_list_update(update)
        if len(worker_pool):
            server.set_has_workers()

    initial_index: int | None = None  # version of the worker list in the configuration
    if config.initial_worker_list is not None:
        try:
            initial_update = WorkerListUpdate({"index": 0, **config.initial_worker_list}, clock_offset)
            initial_update.is_snapshot = True
            apply_update(initial_update)
            if (
                "index" in config.initial_worker_list
                and initial_update.endpoints
                and not initial_update.skipped_error
            ):
                # Deltas can be applied only to a list that was read completely.
                initial_index = initial_update.index
        except ValueError as error:
            log.warning("known: %s; starting without a worker list", error)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    discovery_watch = DiscoveryWatch(
        loop,
        config.discovery,
        clock_offset,
        apply_update,
        initial_index,
        Random(config.seed),
        SHARED_SERVICE_TIMING if config.settings.must_subscribe else LOCAL_AGENT_TIMING,
    )
    discovery_watch.start()

    def reload() -> None:
        """Read the configuration file again; only the discovery address can change after the start."""
        try:
            reloaded = load_config(os.environ)
        except ConfigError as error:
            log.warning("reload: %s; keeping the previous configuration", error)
            return
        log.info("reloaded: discovery at %s:%d", *reloaded.discovery)
        discovery_watch.change_address(reloaded.discovery)

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    gc.collect()
    gc.freeze()
    # The initial worker list may be outdated, but the gateway has to know discovery's list from the moment it
    # listens. So it waits for discovery's first response, but no longer than FIRST_RESPONSE_TIMEOUT. Nothing
    # slow may follow once the gateway listens, as requests would wait in the backlog.
    with suppress(TimeoutError):
        await asyncio.wait_for(discovery_watch.response_received.wait(), FIRST_RESPONSE_TIMEOUT)
    try:
        listener = await loop.create_server(
            lambda: ClientConnection(server), *config.listen, backlog=LISTEN_BACKLOG
        )
    except OSError as error:
        raise ConfigError(f"listen: {error.strerror or error}") from error
    log.info("%s listens at %s:%d", config.name, *listener.sockets[0].getsockname()[:2])

    def sweep() -> None:
        worker_pool.close_expired()
        server.enforce_timeouts()
        loop.call_later(sweep_interval, sweep)

    sweep_interval = max(
        MIN_SWEEP_INTERVAL, min(MAX_SWEEP_INTERVAL, SWEEP_IDLE_SHARE * config.worker_idle_timeout)
    )
    loop.call_later(sweep_interval, sweep)
    await stop.wait()
    timing = ShutdownTiming.after_signal(loop.time(), (c.deadline for c in config.settings.classes))
    log.info("stopping")
    server.enter_lame_duck()
    bridge.limit_deadlines(timing.reply_deadline)
    await asyncio.sleep(timing.lame_duck_end - loop.time())
    server.close_after_reply = True
    # The loop runs timers before sockets: without this pause a stalled loop would reset the backlog.
    await asyncio.sleep(ACCEPT_GRACE)
    listener.close()
    await asyncio.sleep(0)  # lets the connections accepted last register with the server
    await server.close_all(timing.reply_deadline, timing.exit_deadline)
    discovery_watch.stop()
    # The end of the loop restores the default handlers, with which a late signal would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    return 0


def main() -> int:
    """Read the configuration, serve, and return the exit status: 2 for an unusable configuration."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    # A SIGHUP that comes before its handler is installed stays pending: it neither ends the process nor is
    # lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load_config(os.environ)
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Never raises the limit: `descriptor_limit` is at most the soft limit.
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.descriptor_limit, hard_limit))
        return uvloop.run(serve(config))
    except ConfigError as error:
        print(f"wrenladder: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
