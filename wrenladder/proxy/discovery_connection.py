"""A connection to the discovery service: sends one poll at a time and parses the response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from wrenladder.proxy.response_framing import ResponseFraming

MAX_RESPONSE_BODY = 4 * 1024 * 1024  # bytes


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """A complete response of the discovery service; `will_close` tells that its connection ends with it."""

    status: int
    body: bytes
    will_close: bool


class ConnectionObserver(Protocol):
    """What a connection reports to, until its owner closes it."""

    def on_connected(self, connection: DiscoveryConnection) -> None:
        """The connection is established."""

    def on_response(self, connection: DiscoveryConnection, response: DiscoveryResponse) -> None:
        """A poll has its response."""

    def on_failure(self, connection: DiscoveryConnection, reason: str, resync: bool = False) -> None:
        """The connection is of no further use; `resync`: what it received was not a valid response."""


class DiscoveryConnection(asyncio.Protocol):
    """A connection to the discovery service; it reports to its observer until that closes it.

    `quiet_since` is the time of the last byte received, or by which a response was due if none has come, in
    seconds on `clock`. `received_size` counts the bytes received of the response to the latest poll, with its
    head.
    """

    def __init__(
        self, observer: ConnectionObserver, address: tuple[str, int], clock: Callable[[], float]
    ) -> None:
        self._observer: ConnectionObserver | None = observer
        self._address, self._clock = address, clock
        self.quiet_since = clock()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._framing = ResponseFraming()
        self._body_parts: list[bytes] = []
        self._body_size = self.received_size = 0  # bytes of the response; the latter with its framing
        self._complete = self._will_close = False  # the response; whether the service closes after it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the observer send its first poll at once."""
        self._transport = cast(asyncio.Transport, transport)
        if self._observer is None:
            self._transport.abort()
        else:
            self._observer.on_connected(self)

    def send_poll(self, path: str, timeout: float) -> None:
        """Send a GET request, whose response is due within `timeout` seconds."""
        self.quiet_since = self._clock() + timeout
        self._framing.reset()
        self._body_parts, self._complete = [], False
        self._body_size = self.received_size = 0
        if self._transport is not None:
            self._transport.write(
                f"GET {path} HTTP/1.1\r\nHost: {self._address[0]}:{self._address[1]}\r\n\r\n".encode()
            )

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response."""
        observer, parser = self._observer, self._parser
        if observer is None or parser is None:
            return
        self.received_size += len(data)
        self.quiet_since = self._clock()
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            observer.on_failure(self, f"malformed response: {error}", resync=True)
            return
        if self._complete:
            self._report_response()
        elif self.received_size > self._framing.max_received_size(MAX_RESPONSE_BODY):
            observer.on_failure(self, "malformed response: too large", resync=True)

    def eof_received(self) -> bool:
        """Handle the end of the service's stream, which completes a response without a length.

        If it has cut off the body, that is no valid JSON.
        """
        if self._framing.ends_with_connection and not self._complete:
            self._complete = self._will_close = True
            self._report_response()
        return False

    def _report_response(self) -> None:
        observer, parser = self._observer, self._parser
        if observer is not None and parser is not None:
            body = b"".join(self._body_parts)
            observer.on_response(self, DiscoveryResponse(parser.get_status_code(), body, self._will_close))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note how the response is delimited."""
        if not self._framing.head_complete:
            self._framing.record_header(name.lower(), value)

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self._framing.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._body_size += len(data)
        if self._body_size > MAX_RESPONSE_BODY:
            raise ValueError("response body too large")
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Note the end of a response, or prepare for the next one if this one is interim (1xx).

        Only now does the parser know whether the connection is kept alive.
        """
        parser = cast(httptools.HttpResponseParser, self._parser)
        if 100 <= parser.get_status_code() < 200:
            self._framing.reset()
            return
        self._complete = True
        self._will_close = not parser.should_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection as a failure, unless the observer has closed it."""
        observer, self._observer = self._observer, None
        self._transport = self._parser = None  # parser and protocol refer to each other
        if observer is not None:
            observer.on_failure(self, f"connection lost: {exc or 'closed by the service'}")

    def close(self) -> None:
        """Close the connection and report nothing more of it."""
        self._observer = None
        if self._transport is not None:
            self._transport.abort()
