"""What the system knows of a connection before the loop has read it: a look, with nothing read, no wait."""

from __future__ import annotations

import asyncio
import select


def _look(transport: asyncio.BaseTransport | None, mask: int) -> int:
    """The events of `mask` that hold at a transport's socket now, with any error; 0 where it has none."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return 0
    poll = select.poll()
    try:
        poll.register(sock.fileno(), mask)
        found = poll.poll(0)
    except (OSError, ValueError):  # it has been closed meanwhile
        return 0
    return found[0][1] if found else 0


def unread(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes wait to be read, or the other side's end does."""
    return bool(_look(transport, select.POLLIN))


def gone(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has ended or reset the connection, whatever was sent before and is unread."""
    return bool(_look(transport, select.POLLRDHUP) & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))
