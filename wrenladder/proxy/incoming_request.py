"""A client's request while it is received, and the reason for which it may be rejected."""

from __future__ import annotations

from wrenladder.proxy.growing_bytes import extended
from wrenladder.proxy.http_limits import HOP_BY_HOP_HEADERS, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADER_FIELDS

# Request headers that the gateway writes itself or that apply to the client's connection only. All others
# are forwarded to the worker.
HEADERS_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"x-timeout", b"expect"}
FIELD_SEPARATORS_SIZE = 4  # bytes of ": " and CRLF
# Estimates of the memory that a request takes.
REQUEST_OVERHEAD = 512  # bytes, without its fields
FIELD_OVERHEAD = 192  # bytes, beside the name and value
FIELD_COPIES = 2  # each name and value is stored twice


class RequestRejected(Exception):
    """A request that is rejected before the policy sees it: the reply's status and the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request while it is received, and until it is served or rejected.

    Attributes:
        received_at: When its first byte was read, on the event loop's clock in seconds.
        head_complete: Whether the whole head has been received.
        method: Its method, known once the head is complete.
        url: Its request target.
        headers: Values by lower-case name; of a name that occurs twice the last one.
        forwarded_headers: Header lines for the worker.
        duplicate_header: Name of an X-* header that occurs twice, or empty.
        body: What has been received of the body.
        body_length: The announced Content-Length in bytes; 0 if there is none.
        keep_alive: Whether the client allows further requests on the connection.
        rejection: Status and reason, if it is rejected.
        refused: Whether it is refused unseen, for lack of memory or because its client may have left.
    """

    __slots__ = (
        "received_at",
        "head_complete",
        "method",
        "url",
        "headers",
        "forwarded_headers",
        "duplicate_header",
        "body",
        "body_length",
        "keep_alive",
        "rejection",
        "refused",
        "_size",
        "_head_size",
    )

    def __init__(self, received_at: float) -> None:
        self.received_at = received_at
        self.head_complete = False
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_headers: list[bytes] = []
        self.duplicate_header = b""
        self.body: bytes | bytearray = b""
        self.body_length = 0
        self.keep_alive = True
        self.rejection: tuple[int, str] | None = None
        self.refused = False
        self._head_size = 0  # bytes, once the head is complete
        self._size = 0  # bytes of the head, then bytes of the body and its trailers

    def add_url(self, part: bytes) -> None:
        """Append a part of the request target.

        Raises:
            RequestRejected: The head is too large.
        """
        self.url += part
        self._size += len(part)
        if self._size > MAX_HEAD_BYTES:
            raise RequestRejected(431, "head too large")

    def add_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are counted and ignored.

        Raises:
            RequestRejected: The head, or the body with its trailers, is too large.
        """
        self._size += len(name) + len(value) + FIELD_SEPARATORS_SIZE
        if self._size > MAX_HEAD_BYTES:
            raise RequestRejected(431, "head too large")
        if self.head_complete:
            return
        lower = name.lower()
        if lower in self.headers and lower.startswith(b"x-"):
            self.duplicate_header = lower
        self.headers[lower] = value
        if lower not in HEADERS_NOT_FORWARDED:
            self.forwarded_headers.append(b"%b: %b\r\n" % (name, value))

    def has_too_many_fields(self) -> bool:
        """Whether the head has more fields than are accepted; those that are not forwarded don't count."""
        return len(self.forwarded_headers) > MAX_HEADER_FIELDS

    def complete_head(self, method: bytes, http_version: str) -> None:
        """Check the complete head.

        Raises:
            RequestRejected: It has too many fields, or its transfer coding is not supported, or its body is
                too large.
        """
        self.method, self._head_size, self._size = method, self._size, 0
        self.head_complete = True
        if self.has_too_many_fields():
            raise RequestRejected(431, "too many header fields")
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or http_version == "1.0"):
            raise RequestRejected(501, "Transfer-Encoding")  # the parser accepts codings not decoded here
        self.body_length = int(self.headers.get(b"content-length", b"0"))
        if self.body_length > MAX_BODY_BYTES:
            raise RequestRejected(413, "body too large")

    def add_body(self, part: bytes) -> None:
        """Append a part of the body.

        Raises:
            RequestRejected: The body is too large.
        """
        self._size += len(part)
        if self._size > MAX_BODY_BYTES:
            raise RequestRejected(413, "body too large")
        self.body = extended(self.body, part)

    def refuse(self) -> None:
        """Mark the request as refused and drop its content; a rejection stays one."""
        self.refused = True
        self.url = self.body = b""
        self.headers.clear()
        self.forwarded_headers.clear()
        self._head_size = self._size = 0

    def memory(self) -> int:
        """Estimated bytes of memory that this request takes."""
        return (
            REQUEST_OVERHEAD
            + FIELD_OVERHEAD * len(self.headers)
            + FIELD_COPIES * (self._head_size + self._size)
            + len(self.body)
        )

    def missing_body_bytes(self) -> int:
        """How many bytes of the announced body have not been received yet."""
        return max(0, self.body_length - len(self.body))
