"""A client connection: parses its requests, which may be pipelined, and replies to them in order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from wrenladder.proxy.bridge import ProxiedRequest
from wrenladder.proxy.http_limits import HOP_BY_HOP_HEADERS, MAX_BODY_BYTES, MAX_HEAD_BYTES, RAW_SIZE_FACTOR
from wrenladder.proxy.socket_state import disconnected, has_unread_input

if TYPE_CHECKING:
    from wrenladder.proxy.server import Server


IDLE_TIMEOUT = 2.0  # seconds until an idle client connection is closed
FIRST_REQUEST_TIMEOUT = 2.0  # seconds; the idle timeout of a connection without a valid request so far
TRANSFER_TIMEOUT = 2.5  # seconds that a client may take to send a request or to read a reply
LINGER_TIMEOUT = 0.5  # seconds that a client has to read the reply to a rejected request and to close
MAX_LINGER_BYTES = 2 * MAX_BODY_BYTES  # read and discarded after a rejected request
MAX_REJECTED_REQUESTS = 3  # on one connection; the reply to the last of them closes it
# Reading from a connection pauses when so many of its requests, or bytes of their bodies, are queued.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = MAX_BODY_BYTES

SUPPORTED_HTTP_VERSIONS = ("1.0", "1.1")
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}
# Request headers that the gateway writes itself or that apply to the client's connection only. All others
# are forwarded to the worker.
HEADERS_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"x-timeout", b"expect"}


class RequestRejected(Exception):
    """A request that is rejected before the policy sees it: the reply's status and the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request while it is received, and until it is served or rejected."""

    __slots__ = (
        "received_at",
        "method",
        "url",
        "headers",
        "forwarded_headers",
        "duplicate_header",
        "body_chunks",
        "size",
        "keep_alive",
        "rejection",
    )

    def __init__(self, received_at: float) -> None:
        self.received_at = received_at  # when its first byte was read
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}  # by lower-case name
        self.forwarded_headers: list[bytes] = []  # header lines for the worker
        self.duplicate_header = b""  # name of an X-* header that occurs twice
        self.body_chunks: list[bytes] = []
        self.size = 0  # bytes of the head, then bytes of the body and its trailers
        self.keep_alive = True
        self.rejection: tuple[int, str] | None = None  # status and reason


class ClientConnection(asyncio.Protocol):
    """One client connection: requests are served one after another, and replies are sent in their order."""

    __slots__ = (
        "_server",
        "_transport",
        "_parser",
        "_incoming",
        "_head_complete",
        "_queue",
        "_current",
        "_keep_alive",
        "_queued_bytes",
        "_serving",
        "_writing_paused",
        "_input_discarded",
        "_last_reply_sent",
        "_rejected_requests",
        "_unfinished_bytes",
        "lingering",
        "timeout_start",
        "over_limit",
        "has_valid_request",
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._incoming: IncomingRequest | None = None  # the request being received
        self._head_complete = False
        self._queue: deque[IncomingRequest] = deque()  # received requests that wait for their turn
        self._current: ProxiedRequest | None = None  # the request in flight, once submitted to the bridge
        self._queued_bytes = 0  # approximate size of the queue
        self._serving = False  # a request waits for its final reply
        self._keep_alive = True
        self._writing_paused = False  # the client does not read its replies
        self._input_discarded = False  # no further request is parsed
        self._last_reply_sent = False
        self.lingering = False  # in a lingering close, after a rejected request
        self.timeout_start = 0.0  # when it connected, was last replied to, began a request or stopped reading
        self.over_limit = False  # connected beyond the connection limit: its first request is refused
        self.has_valid_request = False
        self._rejected_requests = 0
        # Bytes received since a head or a message was last complete; later, bytes that were discarded.
        self._unfinished_bytes = 0

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the server."""
        self._transport = cast(asyncio.Transport, transport)
        self.timeout_start = self._server.loop.time()
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the connection and abandon its requests."""
        self._transport = self._parser = None  # parser and protocol refer to each other
        self._server.remove_connection(self)
        self._abandon_requests()

    def eof_received(self) -> None:
        """Treat the end of the client's stream as a disconnect, also where a reply is still unread."""
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Abandon the request in flight and drop those that wait or are being received."""
        self._incoming = None
        self._queue.clear()
        current, self._current = self._current, None
        if current is not None:
            self._server.bridge.abandon(current)

    def pause_writing(self) -> None:
        """Start no further request while the client does not read its replies."""
        self._writing_paused = True
        self.timeout_start = self._server.loop.time()

    def resume_writing(self) -> None:
        """Continue with the next request once the client reads again."""
        self._writing_paused = False
        self._start_next()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request, or several requests."""
        if self._input_discarded or self._parser is None:
            # Input after a rejected request is read and discarded, since a close with unread input resets
            # the connection, by which the client may lose the reply. The amount is bounded, as reading
            # costs CPU time.
            self._unfinished_bytes += len(data)
            if self._unfinished_bytes > MAX_LINGER_BYTES and self._transport is not None:
                self._server.pause_reading(self, self._transport)
            return
        self._unfinished_bytes += len(data)
        try:
            self._parser.feed_data(data)
            # The parser buffers a whole header or trailer before it reports it: this bounds its memory.
            if self._unfinished_bytes > MAX_HEAD_BYTES + RAW_SIZE_FACTOR * MAX_BODY_BYTES or (
                self._unfinished_bytes > 2 * MAX_HEAD_BYTES and not self._head_complete
            ):
                self._reject_incoming(431, "head too large")
        except httptools.HttpParserUpgrade:
            pass  # rejected when its head was complete
        except httptools.HttpParserError as error:
            cause = error.__context__
            is_rejection = isinstance(cause, RequestRejected)
            self._reject_incoming(
                cause.status if isinstance(cause, RequestRejected) else 400,
                str(cause) if is_rejection else "malformed request",
            )
        if self._queue:
            self._start_next()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request; its deadline counts from here."""
        now = self._server.loop.time()
        self._incoming = IncomingRequest(now)
        if self.has_valid_request and not self._serving:
            self.timeout_start = now  # the first request on a connection is timed from the connect

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        incoming = cast(IncomingRequest, self._incoming)
        incoming.url += url
        self._count_head_bytes(incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are counted and ignored."""
        incoming = cast(IncomingRequest, self._incoming)
        self._count_head_bytes(incoming, len(name) + len(value) + 4)  # with ": " and CRLF
        if self._head_complete:
            return
        lower = name.lower()
        if lower in incoming.headers:
            incoming.duplicate_header = lower if lower.startswith(b"x-") else incoming.duplicate_header
        incoming.headers[lower] = value
        if lower not in HEADERS_NOT_FORWARDED:
            incoming.forwarded_headers.append(b"%b: %b\r\n" % (name, value))

    def _count_head_bytes(self, incoming: IncomingRequest, size: int) -> None:
        incoming.size += size
        if incoming.size > MAX_HEAD_BYTES:
            raise RequestRejected(431, "head too large")

    def on_headers_complete(self) -> None:
        """Check the request's head."""
        incoming = cast(IncomingRequest, self._incoming)
        self._head_complete, self._unfinished_bytes = True, 0
        parser = cast(httptools.HttpRequestParser, self._parser)
        incoming.method, incoming.size = parser.get_method(), 0
        if parser.should_upgrade():
            raise RequestRejected(501, "no upgrade is served")
        if parser.get_http_version() not in SUPPORTED_HTTP_VERSIONS:
            raise RequestRejected(505, "HTTP version")
        coding = incoming.headers.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or parser.get_http_version() == "1.0"):
            raise RequestRejected(501, "Transfer-Encoding")  # the parser accepts codings not decoded here
        length = incoming.headers.get(b"content-length")
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise RequestRejected(413, "body too large")
        if (
            incoming.headers.get(b"expect", b"").lower() == b"100-continue"
            and not (self._serving or self._queue)
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        incoming = cast(IncomingRequest, self._incoming)
        incoming.size += len(data)
        if incoming.size > MAX_BODY_BYTES:
            raise RequestRejected(413, "body too large")
        incoming.body_chunks.append(data)

    def on_message_complete(self) -> None:
        """Queue the complete request.

        It is started only once all of the input has been parsed: a reply sent at once has to be known not to
        be the last one.
        """
        incoming, self._incoming = cast(IncomingRequest, self._incoming), None
        incoming.keep_alive = cast(httptools.HttpRequestParser, self._parser).should_keep_alive()
        self._head_complete, self._unfinished_bytes = False, 0
        if self._queue or self._serving or self._writing_paused:
            self._queued_bytes += 1 + incoming.size
        self._queue.append(incoming)
        if (
            len(self._queue) >= MAX_PIPELINED_REQUESTS or self._queued_bytes >= MAX_PIPELINED_BYTES
        ) and self._transport is not None:
            self._server.pause_reading(self, self._transport)  # bounds the memory of the queue

    # Serving requests.

    def _reject_incoming(self, status: int, reason: str) -> None:
        """Queue a rejection behind the earlier requests, and parse nothing after it."""
        self._input_discarded, self._parser, self._unfinished_bytes = True, None, 0
        incoming = self._incoming or IncomingRequest(self._server.loop.time())
        self._incoming = None
        incoming.rejection, incoming.keep_alive = (status, reason), False
        self._queue.append(incoming)
        self._start_next()

    def reject_incomplete_request(self, status: int, reason: str) -> None:
        """Reject a request that is still being received, unless another one is being served."""
        if self._incoming is not None and not self._serving:
            self._reject_incoming(status, reason)

    def _start_next(self) -> None:
        """Start the next queued request, unless one is being served."""
        while (
            self._queue
            and not (self._serving or self._writing_paused or self._last_reply_sent)
            and self._transport is not None
        ):
            incoming = self._queue.popleft()
            if not self._queue and self._queued_bytes:
                self._queued_bytes = 0
                self._transport.resume_reading()
            self._serving = True
            self._keep_alive = incoming.keep_alive and not self.over_limit
            if incoming.rejection is not None:
                self._reply_rejected(*incoming.rejection)
                continue
            try:
                self._start(incoming)
            except RequestRejected as error:
                self._reply_rejected(error.status, str(error))

    def _start(self, incoming: IncomingRequest) -> None:
        """Reply to a health check, or validate the request and submit it to the bridge."""
        path, _, query = incoming.url.partition(b"?")
        if path[:1] != b"/":
            if path == b"*" or incoming.method == b"CONNECT":
                raise RequestRejected(400, "target")
            try:
                parsed = httptools.parse_url(incoming.url)  # servers must accept the absolute form
            except httptools.HttpParserError as error:
                raise RequestRejected(400, "target") from error
            path, query = parsed.path or b"/", parsed.query or b""
        if path == b"/healthz":
            if incoming.method not in (b"GET", b"HEAD"):
                raise RequestRejected(405, "method")
            ready = self._server.ready()
            self.reply(200 if ready else 503, b"", b"ok\n" if ready and incoming.method == b"GET" else b"")
            return
        if self.check_disconnected():
            return
        server, now = self._server, self._server.loop.time()
        event, head, deadline = server.parse_request(incoming, path, query, now)
        server.record_valid_request(self)
        if self.over_limit:
            self.reply(503, b"Retry-After: 0.1\r\n", b"")
            return
        # `submit` may call `reply` before it returns; then there is nothing left to abandon.
        request = server.bridge.submit(event, head, b"".join(incoming.body_chunks), deadline, self.reply)
        if not request.ended:
            self._current = request
            request.client_disconnected = self.check_disconnected

    def _reply_rejected(self, status: int, reason: str) -> None:
        """Reply with the reason for a rejection, and close the connection unless it may be kept.

        On a close, what the client still sends is read and discarded, as it could lose the reply to a reset.
        After an unknown path or method the connection is kept, but only for a few of these, as replying
        to them takes CPU time from other clients.
        """
        self._rejected_requests += 1
        self._keep_alive = (
            self._keep_alive and status in (404, 405) and self._rejected_requests < MAX_REJECTED_REQUESTS
        )
        self._input_discarded = self._input_discarded or not self._keep_alive
        self.lingering = not self._keep_alive
        self.reply(status, b"Content-Type: text/plain\r\n", reason.encode() + b"\n")

    def reply(self, status: int, headers: bytes, body: bytes) -> None:
        """Send the final reply to the request being served."""
        self._current = None
        self._serving = False
        transport = self._transport
        if transport is None:
            return
        # In a shutdown the last reply closes the connection. Pipelined requests are replied to before that,
        # and a close with unread input would reset the connection, by which the client may lose replies.
        keep_alive = self._keep_alive and (
            not self._server.close_after_reply or bool(self._queue) or has_unread_input(transport)
        )
        self.timeout_start = self._server.loop.time()
        if self.has_valid_request:
            self._server.record_reply(self)
        transport.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                REASON_PHRASES[status],
                headers,
                len(body),
                b"" if keep_alive else b"Connection: close\r\n",
                body,
            )
        )
        if keep_alive:
            if self._queue:
                self._server.loop.call_soon(self._start_next)
            return
        self._input_discarded = self._last_reply_sent = True
        self._queue.clear()
        if self.lingering:
            transport.write_eof()
            self._server.loop.call_later(LINGER_TIMEOUT, self.abort)
        else:
            transport.close()

    def paused_transport(self) -> asyncio.Transport | None:
        """The open transport if reading from it is paused, so that no event reports a disconnect."""
        transport = self._transport
        return transport if transport and not (transport.is_closing() or transport.is_reading()) else None

    def check_disconnected(self) -> bool:
        """Whether the client has disconnected, even if unread input precedes that; if so, clean up after it.

        Prevents attempts for which no client waits, at the cost of one system call per attempt.
        """
        if not disconnected([self._transport]):
            return False
        self.handle_disconnect()
        return True

    def handle_disconnect(self) -> None:
        """Abandon the requests and abort the connection, once the client is known to have disconnected."""
        self._abandon_requests()
        self.abort()

    def can_close(self) -> bool:
        """Whether the connection is idle and no request waits to be read."""
        return self.is_idle() and not has_unread_input(self._transport)

    def has_no_unread_input(self) -> bool:
        """Whether no input waits to be read."""
        return not has_unread_input(self._transport)

    def is_idle(self) -> bool:
        """Whether no request is being received, queued or served, and the connection is not closing."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not self._serving and self._incoming is None and not self._queue and not self.lingering

    def close(self) -> None:
        """Close once all that was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if it has been idle or stalled for too long, or reject a slow request."""
        elapsed = now - self.timeout_start
        if self._transport is None or self.lingering:
            return
        if self._writing_paused or self._transport.is_closing():
            if elapsed > TRANSFER_TIMEOUT:
                self.abort()  # frees the memory and descriptor held for a client that does not read
        elif self.is_idle():
            if (
                elapsed > (IDLE_TIMEOUT if self.has_valid_request else FIRST_REQUEST_TIMEOUT)
                and self.can_close()
            ):
                self._transport.close()
        elif elapsed > TRANSFER_TIMEOUT:
            self.reject_incomplete_request(408, "too slow")
