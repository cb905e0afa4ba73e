"""Runs one gateway until a signal ends it: `python -m wrenladder.proxy`."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import sys

import uvloop

from wrenladder.proxy.config import Config, ConfigError, load_config
from wrenladder.proxy.service import GatewayService

UNUSABLE_CONFIGURATION = 2  # exit status


async def serve(config: Config) -> None:
    """Run one gateway until SIGTERM or SIGINT, and shut it down gracefully.

    Raises:
        ConfigError: The listening address can't be used.
    """
    await GatewayService(asyncio.get_running_loop(), config).run()


def main() -> int:
    """Read the configuration, serve, and return the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    # A SIGHUP that comes before its handler is installed stays pending: it neither ends the process nor is
    # lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load_config(os.environ)
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Never raises the limit: `descriptor_limit` is at most the soft limit.
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.descriptor_limit, hard_limit))
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"wrenladder: {error}", file=sys.stderr)
        return UNUSABLE_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
