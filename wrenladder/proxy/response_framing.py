"""What marks the end of an HTTP response, and how many bytes may come before it."""

from __future__ import annotations

from wrenladder.proxy.http_limits import MAX_HEAD_BYTES, RAW_SIZE_FACTOR


class ResponseFraming:
    """How a response is delimited (RFC 9112, section 6.3), from its head as far as it has been parsed.

    The parser reports the end of a response with a length, chunked ones included. A response without one
    ends with the connection, which only the protocol sees. A reset is not such an end.
    """

    __slots__ = ("head_complete", "close_announced", "_has_length")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin a response."""
        self.head_complete = False
        self.close_announced = False  # by `Connection: close`
        self._has_length = False

    def record_header(self, lower_name: bytes, value: bytes) -> None:
        """Note a header of the head, if it tells how the response is delimited."""
        if lower_name in (b"content-length", b"transfer-encoding"):
            self._has_length = True
        elif lower_name == b"connection" and value.lower() == b"close":
            self.close_announced = True

    @property
    def ends_with_connection(self) -> bool:
        """Whether the orderly end of the connection completes the response."""
        return self.head_complete and not self._has_length

    def max_received_size(self, max_body_bytes: int) -> int:
        """Bytes that may be received of a response that is still incomplete, for a limit on its body.

        Bounds memory: the parser buffers a header or trailer and reports it only once it is complete.
        """
        return MAX_HEAD_BYTES + (RAW_SIZE_FACTOR * max_body_bytes if self.head_complete else 0)
