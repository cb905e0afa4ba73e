"""Checks the state of sockets that the event loop has not read yet, without reading or blocking."""

from __future__ import annotations

import asyncio
import enum
import select
from collections.abc import Iterable

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketState(enum.Enum):
    """What waits at a socket."""

    QUIET = enum.auto()
    UNREAD_INPUT = enum.auto()
    DISCONNECTED = enum.auto()  # the peer has closed or reset the connection; unread input may precede that


def _descriptor(transport: asyncio.BaseTransport) -> int:
    """The file descriptor of a transport's socket, or -1 if it has none (any more)."""
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else sock.fileno()


def _pending_events(transport: asyncio.BaseTransport | None, mask: int) -> int:
    """The events of `mask`, and errors, that are pending at a transport's socket."""
    fd = -1 if transport is None else _descriptor(transport)
    if fd < 0:
        return 0
    poll = select.poll()
    poll.register(fd, mask)
    try:
        ready = poll.poll(0)
    except OSError:  # the limit of open files may have been lowered
        return 0
    return ready[0][1] if ready else 0


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Whether input, or the end of the peer's stream, waits to be read."""
    return bool(_pending_events(transport, select.POLLIN))


def socket_state(transport: asyncio.BaseTransport | None) -> SocketState:
    """The state of a transport's socket."""
    events = _pending_events(transport, select.POLLIN | select.POLLRDHUP)
    if not events:
        return SocketState.QUIET
    return SocketState.DISCONNECTED if events & DISCONNECT_EVENTS else SocketState.UNREAD_INPUT


def disconnected(transports: Iterable[asyncio.BaseTransport]) -> list[asyncio.BaseTransport]:
    """The transports whose peer has closed or reset the connection, even if unread input precedes that.

    All of them are checked by one system call.
    """
    poll, transport_by_fd = select.poll(), {}
    for transport in transports:
        if (fd := _descriptor(transport)) >= 0:
            poll.register(fd, select.POLLRDHUP)
            transport_by_fd[fd] = transport
    try:
        ready = poll.poll(0) if transport_by_fd else []
    except OSError:  # more descriptors than the limit of open files, which may have been lowered since
        return []
    return [transport_by_fd[fd] for fd, events in ready if events & DISCONNECT_EVENTS]
