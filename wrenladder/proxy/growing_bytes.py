"""Bytes that arrive in pieces, stored in little more memory than they have, however small the pieces are."""

from __future__ import annotations


def extended(received: bytes | bytearray, piece: bytes) -> bytes | bytearray:
    """Return what has been received with the next piece; the first piece is not copied."""
    if not received:
        return piece
    if isinstance(received, bytes):
        received = bytearray(received)
    received += piece
    return received
