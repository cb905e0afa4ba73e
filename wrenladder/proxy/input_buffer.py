"""Input of a connection that has been read and not parsed yet."""

from __future__ import annotations

# Seconds within which input counts as received with the first of it, so that many small pieces are stored as
# few large ones.
MERGE_INTERVAL = 0.02


class _Piece:
    """Input that was read at about the same time, and how much of it has been taken."""

    __slots__ = ("received_at", "data", "taken")

    def __init__(self, received_at: float, data: bytes) -> None:
        self.received_at, self.data, self.taken = received_at, bytearray(data), 0


class InputBuffer:
    """Bytes in the order of their arrival, with the time at which they were read.

    `size` is the number of bytes that have not been taken.
    """

    __slots__ = ("size", "_pieces")

    def __init__(self) -> None:
        self.size = 0
        self._pieces: list[_Piece] = []

    def append(self, now: float, data: bytes) -> None:
        """Add input that was read at `now` (event loop time in seconds)."""
        self.size += len(data)
        if self._pieces and now - self._pieces[-1].received_at < MERGE_INTERVAL:
            self._pieces[-1].data += data
        else:
            self._pieces.append(_Piece(now, data))

    def take(self, limit: int) -> tuple[float, bytes]:
        """Remove up to `limit` bytes; return them and when they were read. The buffer must not be empty."""
        piece = self._pieces[0]
        end = piece.taken + limit
        data = bytes(piece.data[piece.taken : end])
        if end >= len(piece.data):
            self._pieces.pop(0)
        else:
            piece.taken = end
        self.size -= len(data)
        return piece.received_at, data

    def clear(self) -> None:
        """Discard everything."""
        self.size = 0
        self._pieces.clear()
