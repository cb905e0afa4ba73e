"""A client connection: parses its requests, which may be pipelined, and replies to them in order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from wrenladder.proxy.bridge import ClientState, ProxiedRequest
from wrenladder.proxy.http_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, RAW_SIZE_FACTOR
from wrenladder.proxy.incoming_request import IncomingRequest, RequestRejected
from wrenladder.proxy.input_buffer import InputBuffer
from wrenladder.proxy.socket_state import SocketState, has_unread_input, socket_state

if TYPE_CHECKING:
    from wrenladder.proxy.server import Server


IDLE_TIMEOUT = 2.0  # seconds until an idle client connection is closed
FIRST_REQUEST_TIMEOUT = 2.0  # seconds; the idle timeout of a connection without a valid request so far
TRANSFER_TIMEOUT = 2.5  # seconds that a client may take to send a request or to read a reply
LINGER_TIMEOUT = 0.5  # seconds that a client has to read the reply to a rejected request and to close
MAX_LINGER_BYTES = 2 * MAX_BODY_BYTES  # read and discarded after a rejected request
MAX_REJECTED_REQUESTS = 3  # on one connection; the reply to the last of them closes it
# Bytes that are parsed in one call of the parser, unless a body of known length needs more. This bounds how
# many requests one call completes.
PARSE_SIZE = 1024
TIGHT_PARSE_SIZE = 256  # while memory is tight
MAX_PARSE_CALLS = 4  # in one step of a connection
# Reading pauses at so many bytes that wait to be parsed. A close could then stay unseen behind unread input.
MAX_UNPARSED_BYTES = 2 * MAX_BODY_BYTES
# Bytes of a request in flight from which its memory is accounted for.
MIN_ACCOUNTED_BYTES = 2048

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


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection: requests are served one after another, and replies are sent in their order."""

    __slots__ = (
        "_server",
        "_transport",
        "_parser",
        "_incoming",
        "_input",
        "_read_at",
        "_queue",
        "_current",
        "_keep_alive",
        "_input_overrun",
        "_in_flight_bytes",
        "_accounted_bytes",
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
        self._input = InputBuffer()  # read, but not parsed yet
        self._read_at = 0.0  # when the input being parsed was read
        self._queue: list[IncomingRequest] = []  # received requests that wait for their turn, a few
        self._current: ProxiedRequest | None = None  # the request in flight, once submitted to the bridge
        # So much was sent ahead that a close could not be seen behind it: no request is forwarded any more.
        self._input_overrun = False
        self._in_flight_bytes = 0  # of the request in flight, if it is large
        self._accounted_bytes = 0  # of all that is held for this client
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
        # Writing counts as paused until the system has taken all of a reply.
        self._transport.set_write_buffer_limits(high=0)
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
        self._input.clear()
        self._in_flight_bytes = 0
        self._account_memory()
        current, self._current = self._current, None
        if current is not None:
            self._server.bridge.abandon(current)

    def pause_writing(self) -> None:
        """Start no further request while the client does not read its replies."""
        self._writing_paused = True
        self.timeout_start = self._server.loop.time()
        self._account_memory()

    def resume_writing(self) -> None:
        """Continue with the next request once the client reads again."""
        self._writing_paused = False
        self._account_memory()
        self._schedule_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read the next input into."""
        server = self._server
        return server.tight_read_buffer if server.memory.is_tight else server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process input that has been read into the buffer."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Store input, and process the first request in it unless earlier ones wait."""
        if self._input_discarded or self._parser is None:
            # Input after a rejected request is read and discarded, since a close with unread input resets
            # the connection, by which the client may lose the reply. The amount is bounded, as reading
            # costs CPU time.
            self._unfinished_bytes += len(data)
            if self._unfinished_bytes > MAX_LINGER_BYTES:
                self._pause_input()
            return
        now = self._server.loop.time()
        if len(data) <= PARSE_SIZE and not (self._input.size or self._queue) and self._may_start():
            self._parse(now, data)  # the ordinary case: one request, and nothing in its way
            self._start_first()
            return
        self._input.append(now, data)
        if self._server.scheduler.is_scheduled(self):
            self._limit_input()
        else:
            self.advance()

    # Parsing and serving, one step at a time.

    def advance(self) -> None:
        """Parse until a request is complete, and start at most one request; schedule what is left."""
        if self._transport is None:
            return
        if self._may_start():
            for _ in range(MAX_PARSE_CALLS):
                if self._queue or self._input_discarded or not self._input.size:
                    break
                self._parse(*self._input.take(self._parse_size()))
            if self._server.past_reply_deadline:
                self.reject_incomplete_request(503, "shutting down")
        self._limit_input()
        self._start_first()

    def _start_first(self) -> None:
        """Start the first request of the queue, if there is one and it may start; schedule what is left."""
        if self._incoming is not None and not self._queue and not self._account_memory():
            self._reject_incoming(503, "out of memory")
        if self._queue and self._may_start():
            self._start_next()
        if self._accounted_bytes or self._queue or self._input.size:
            self._account_memory()
        self._schedule_next()

    def _may_start(self) -> bool:
        """Whether no earlier request or reply is in the way of the next request."""
        return not (self._serving or self._writing_paused or self._last_reply_sent)

    def _schedule_next(self) -> None:
        if (self._queue or self._input.size) and self._may_start():
            self._server.scheduler.schedule(self)

    def _limit_input(self) -> None:
        """Pause reading while too much input waits to be parsed, and resume once most of it is parsed."""
        transport = self._transport
        if transport is None or self._input_discarded:
            return
        if self._input.size > MAX_UNPARSED_BYTES or (self._input.size and not self._account_memory()):
            self._pause_input()
        elif self._input_overrun and self._has_room_for_input() and not transport.is_closing():
            transport.resume_reading()

    def _has_room_for_input(self) -> bool:
        """Whether reading may go on after a pause."""
        return not self._input.size or (
            self._input.size <= MAX_UNPARSED_BYTES // 2 and not self._server.memory.is_tight
        )

    def _pause_input(self) -> None:
        """Pause reading, after which a close may be hidden behind what is not read."""
        self._input_overrun = True
        for incoming in self._queue:
            incoming.refuse()
        if self._transport is not None:
            self._server.pause_reading(self, self._transport)

    def _account_memory(self) -> bool:
        """Account for the memory held for this client; return whether the budget allows it."""
        size = self._input.size + self._in_flight_bytes
        if self._incoming is not None:
            size += self._incoming.memory()
            if not self._incoming.head_complete:
                size += self._unfinished_bytes  # the parser holds them until a header is complete
        for incoming in self._queue:
            size += incoming.memory()
        if self._writing_paused and self._transport is not None:
            size += self._transport.get_write_buffer_size()
        if size == self._accounted_bytes:
            return self._server.memory.has_room(size)
        self._accounted_bytes = size
        return self._server.memory.update(self, size)

    def shed(self) -> None:
        """Reject an incomplete request, or abort the connection if the client does not read its replies."""
        if self._transport is None or self._serving:
            return
        if self._writing_paused:
            self.abort("closed: no memory for unread replies")
            self._accounted_bytes = 0  # freed with the connection, later in this turn of the event loop
            self._server.memory.update(self, 0)
        elif self._incoming is not None and not self._queue:
            self._reject_incoming(503, "out of memory")
            self._start_first()

    def _parse_size(self) -> int:
        """How many bytes to parse in one call."""
        if self._incoming is not None and self._incoming.head_complete:
            return max(PARSE_SIZE, self._incoming.missing_body_bytes())
        return TIGHT_PARSE_SIZE if self._server.memory.is_tight else PARSE_SIZE

    def _parse(self, read_at: float, data: bytes) -> None:
        """Parse input that was read at `read_at`, on the event loop's clock in seconds."""
        self._read_at = read_at
        self._unfinished_bytes += len(data)
        try:
            cast(httptools.HttpRequestParser, self._parser).feed_data(data)
            if self._unfinished_bytes > MAX_HEAD_BYTES or self._incoming is not None:
                self._check_unfinished_request()
        except httptools.HttpParserUpgrade:
            pass  # rejected when its head was complete
        except httptools.HttpParserError as error:
            cause = error.__context__
            is_rejection = isinstance(cause, RequestRejected)
            self._reject_incoming(
                cause.status if isinstance(cause, RequestRejected) else 400,
                str(cause) if is_rejection else "malformed request",
            )

    def _check_unfinished_request(self) -> None:
        """Reject what could take unbounded memory while it is incomplete."""
        incoming = self._incoming
        if incoming is not None and incoming.has_too_many_fields():
            self._reject_incoming(431, "too many header fields")
            return
        # The parser buffers a whole header or trailer before it reports it: this bounds its memory.
        limit = 2 * MAX_HEAD_BYTES
        if incoming is not None and incoming.head_complete:
            limit = MAX_HEAD_BYTES + RAW_SIZE_FACTOR * MAX_BODY_BYTES
        if self._unfinished_bytes > limit:
            self._reject_incoming(431, "head too large")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request; its deadline counts from here."""
        self._incoming = IncomingRequest(self._read_at)
        if self.has_valid_request:  # the first request on a connection is timed from the connect
            self.timeout_start = self._server.loop.time()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._incoming is not None:
            self._incoming.add_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are counted and ignored."""
        if self._incoming is not None:
            self._incoming.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the request's head."""
        incoming = cast(IncomingRequest, self._incoming)
        self._unfinished_bytes = 0
        parser = cast(httptools.HttpRequestParser, self._parser)
        if parser.should_upgrade():
            raise RequestRejected(501, "no upgrade is served")
        version = parser.get_http_version()
        if version not in SUPPORTED_HTTP_VERSIONS:
            raise RequestRejected(505, "HTTP version")
        incoming.complete_head(parser.get_method(), version)
        if (
            incoming.headers.get(b"expect", b"").lower() == b"100-continue"
            and not self._queue
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        cast(IncomingRequest, self._incoming).add_body(data)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        incoming, self._incoming = cast(IncomingRequest, self._incoming), None
        incoming.keep_alive = cast(httptools.HttpRequestParser, self._parser).should_keep_alive()
        self._unfinished_bytes = 0
        if self._input_overrun:
            incoming.refuse()
        self._queue.append(incoming)

    # Serving requests.

    def _reject_incoming(self, status: int, reason: str) -> None:
        """Queue a rejection behind the earlier requests, and parse nothing after it."""
        self._input_discarded, self._parser, self._unfinished_bytes = True, None, 0
        self._input.clear()
        incoming = self._incoming or IncomingRequest(self._server.loop.time())
        self._incoming = None
        incoming.rejection, incoming.keep_alive = (status, reason), False
        self._queue.append(incoming)

    def reject_incomplete_request(self, status: int, reason: str) -> None:
        """Reject a request that is still being received, unless another one is being served."""
        if self._incoming is not None and not (self._serving or self._input.size):
            self._reject_incoming(status, reason)
            self._schedule_next()

    def _start_next(self) -> None:
        """Start the next request of the queue."""
        incoming = self._queue.pop(0)
        self._serving = True
        self._keep_alive = incoming.keep_alive and not self.over_limit
        try:
            if incoming.rejection is not None:
                raise RequestRejected(*incoming.rejection)
            if incoming.refused:
                self._server.activity.record("refused: too much input, or no memory for it")
                self.reply(503, self._server.refusal_headers, b"")
            else:
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
        state = socket_state(self._transport)
        if state is SocketState.DISCONNECTED:
            self.handle_disconnect()
            return
        if state is SocketState.UNREAD_INPUT:
            # A close may follow in what is still unread, so that is read first.
            self._queue.insert(0, incoming)
            self._serving = False
            return
        server, now = self._server, self._server.loop.time()
        event, head, deadline = server.validator.parse(incoming, path, query, now)
        server.record_valid_request(self)
        if self.over_limit:
            server.activity.record("refused: too many connections", event.request_id)
            self.reply(503, server.refusal_headers, b"")
            return
        if len(head) + len(incoming.body) >= MIN_ACCOUNTED_BYTES:
            self._in_flight_bytes = len(head) + len(incoming.body)
            if not self._account_memory():
                self._in_flight_bytes = 0
                raise RequestRejected(503, "out of memory")
        # `submit` may call `reply` before it returns; then there is nothing left to abandon.
        request = server.bridge.submit(event, head, bytes(incoming.body), deadline, self.reply)
        if not request.ended:
            self._current = request
            request.client_state = self.client_state

    def _reply_rejected(self, status: int, reason: str) -> None:
        """Reply with the reason for a rejection, and close the connection unless it may be kept.

        On a close, what the client still sends is read and discarded, as it could lose the reply to a reset.
        After an unknown path or method the connection is kept, but only for a few of these, as replying
        to them takes CPU time from other clients.
        """
        self._server.activity.record(f"rejected with {status} {reason}")
        self._rejected_requests += 1
        self._keep_alive = (
            self._keep_alive and status in (404, 405) and self._rejected_requests < MAX_REJECTED_REQUESTS
        )
        self._input_discarded = self._input_discarded or not self._keep_alive
        self.lingering = not self._keep_alive
        headers = self._server.refusal_headers if status == 503 else b""
        self.reply(status, b"Content-Type: text/plain\r\n" + headers, reason.encode() + b"\n")

    def reply(self, status: int, headers: bytes, body: bytes) -> None:
        """Send the final reply to the request being served."""
        self._current = None
        self._serving = False
        if self._accounted_bytes:
            self._in_flight_bytes = 0
            self._account_memory()
        transport = self._transport
        if transport is None:
            return
        keep_alive = self._keep_alive and not (self._closes_when_drained() and self._is_drained())
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
            self._schedule_next()
            return
        self._input_discarded = self._last_reply_sent = True
        self._queue.clear()
        self._input.clear()
        if self.lingering:
            transport.write_eof()
            self._server.loop.call_later(LINGER_TIMEOUT, self.abort, "closed: after a rejected request")
        else:
            transport.close()

    def paused_transport(self) -> asyncio.Transport | None:
        """The open transport if reading from it is paused, so that no event reports a disconnect."""
        transport = self._transport
        return transport if transport and not (transport.is_closing() or transport.is_reading()) else None

    def _closes_when_drained(self) -> bool:
        """Whether the connection is to be closed with the reply to the last request that has been sent."""
        return self._server.close_after_reply or self._input_overrun

    def _is_drained(self) -> bool:
        """Whether no further request waits: a close would leave it unanswered.

        A close with unread input would also reset the connection, by which the client may lose replies.
        """
        return not (self._queue or self._input.size or has_unread_input(self._transport))

    def client_state(self) -> ClientState:
        """Whether the client is connected, even if unread input precedes its disconnect; clean up after it.

        Prevents attempts for which no client waits, at the cost of one system call per attempt.
        """
        if socket_state(self._transport) is SocketState.DISCONNECTED:
            self.handle_disconnect()
            return ClientState.DISCONNECTED
        return ClientState.UNKNOWN if self._input_overrun else ClientState.CONNECTED

    def handle_disconnect(self) -> None:
        """Abandon the requests and abort the connection, once the client is known to have disconnected."""
        self._abandon_requests()
        self.abort("closed: client has disconnected")

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
        return not (
            self._serving or self._incoming is not None or self._queue or self._input.size or self.lingering
        )

    def close(self, reason: str) -> None:
        """Close once all that was written has been sent; `reason` is for the log."""
        if self._transport is not None:
            self._server.activity.record(reason)
            self._transport.close()

    def abort(self, reason: str) -> None:
        """Close at once; `reason` is for the log."""
        if self._transport is not None:
            self._server.activity.record(reason)
            self._transport.abort()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if it has been idle or stalled for too long, or reject a slow request."""
        elapsed = now - self.timeout_start
        if self._transport is None or self.lingering:
            return
        if self._writing_paused or self._transport.is_closing():
            if elapsed > TRANSFER_TIMEOUT:
                # Frees the memory and descriptor held for a client that does not read.
                self.abort("closed: replies not read")
        elif self.is_idle():
            if (
                elapsed > (IDLE_TIMEOUT if self.has_valid_request else FIRST_REQUEST_TIMEOUT)
                and self.can_close()
            ):
                self.close("closed: idle")
        elif elapsed > TRANSFER_TIMEOUT:
            self.reject_incomplete_request(408, "too slow")
