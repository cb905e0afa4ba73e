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


def _poll(transports: Iterable[asyncio.BaseTransport | None], mask: int) -> dict[asyncio.BaseTransport, int]:
    """The transports on whose sockets events of `mask` or errors are pending, from one poll of them all."""
    poll, transport_by_fd = select.poll(), {}
    for transport in transports:
        sock = transport.get_extra_info("socket") if transport is not None else None
        if transport is not None and sock is not None and (fd := sock.fileno()) >= 0:
            poll.register(fd, mask)
            transport_by_fd[fd] = transport
    try:
        ready = poll.poll(0) if transport_by_fd else []
    except OSError:  # more descriptors than the limit of open files, which may have been lowered since
        return {}
    return {transport_by_fd[fd]: events for fd, events in ready}


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Whether input, or the end of the peer's stream, waits to be read."""
    return bool(_poll([transport], select.POLLIN))


def disconnected(transports: Iterable[asyncio.BaseTransport | None]) -> list[asyncio.BaseTransport]:
    """The transports whose peer has closed or reset the connection, even if unread input precedes that."""
    return [
        transport
        for transport, events in _poll(transports, select.POLLRDHUP).items()
        if events & DISCONNECT_EVENTS
    ]


def socket_state(transport: asyncio.BaseTransport | None) -> SocketState:
    """The state of a transport's socket, from one poll."""
    for events in _poll([transport], select.POLLIN | select.POLLRDHUP).values():
        return SocketState.DISCONNECTED if events & DISCONNECT_EVENTS else SocketState.UNREAD_INPUT
    return SocketState.QUIET
