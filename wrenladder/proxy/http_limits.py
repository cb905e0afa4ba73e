"""Size limits of HTTP messages, and the hop-by-hop headers."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 100  # in a head: a short field takes far more memory than bytes on the wire
# Bytes that may be received per byte of the body limit: the framing of chunks adds to the body.
RAW_SIZE_FACTOR = 4
# Headers that apply to one connection and are not forwarded, in lower case. Content-Length is among them as
# the gateway writes its own.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
