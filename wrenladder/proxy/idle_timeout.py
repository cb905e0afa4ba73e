"""Adaptive idle timeout for connections to workers, learned from connections that failed when reused."""

from __future__ import annotations

import math

RANGE_COUNT = 12  # ranges of idle time, each up to twice as long as the one before
DECAY_TIME_CONSTANT = 30.0  # seconds; old counts decay, so that a range ruled out earlier is tried again
# Each range, like the new connections, starts with this many assumed uses, of which this share failed.
PRIOR_USES = 8.0
PRIOR_FAILURE_SHARE = 0.05
# A range is ruled out if the share of failures in it exceeds both limits.
MAX_FAILURE_SHARE = 0.2
MAX_RATIO_TO_NEW = 2.0  # times the share of new connections that failed


class AdaptiveIdleTimeout:
    """The longest idle time after which a connection is still likely to work; `current`, in seconds.

    Counts uses of connections by the time they were idle before, and how many of them failed without a single
    byte of a response. New connections serve as the baseline. An idle time range with too many failures is
    ruled out, together with all longer ones.

    Workers, and middleboxes on the path, may close or forget connections earlier than announced, with or
    without a close that reaches this side. A request written to such a connection is lost, and must not be
    sent again if it is unsafe to repeat.

    Trade-offs: connections are opened more often, each at the cost of a handshake. One worker that drops
    connections early lowers the timeout for all workers. Each new try of a range that still fails costs a
    request or two.
    """

    def __init__(self, max_timeout: float, now: float) -> None:
        self.current = self._max_timeout = max_timeout
        # Lower bounds of all ranges but the first, which starts at 0.
        self._range_starts = [max_timeout / 2 ** (RANGE_COUNT - n) for n in range(1, RANGE_COUNT)]
        # One counter for each range, then one for new connections.
        self._uses, self._failures = [0.0] * (RANGE_COUNT + 1), [0.0] * (RANGE_COUNT + 1)
        self._decayed_at = now

    def record_use(self, idle_time: float | None, failed: bool) -> None:
        """Count a use of a connection after this idle time, or of a new connection (None)."""
        range_index = (
            RANGE_COUNT if idle_time is None else sum(idle_time >= start for start in self._range_starts)
        )
        self._uses[range_index] += 1
        if failed:
            self._failures[range_index] += 1
            self._recompute()

    def decay(self, now: float) -> None:
        """Decay the counts by the time since the last call."""
        factor, self._decayed_at = math.exp((self._decayed_at - now) / DECAY_TIME_CONSTANT), now
        self._uses = [uses * factor for uses in self._uses]
        self._failures = [failures * factor for failures in self._failures]
        self._recompute()

    def _recompute(self) -> None:
        *shares, new_share = [
            (failures + PRIOR_USES * PRIOR_FAILURE_SHARE) / (uses + PRIOR_USES)
            for uses, failures in zip(self._uses, self._failures, strict=True)
        ]
        threshold = max(MAX_FAILURE_SHARE, MAX_RATIO_TO_NEW * new_share)
        range_index = next((n for n, share in enumerate(shares) if share > threshold), RANGE_COUNT)
        self.current = [0.0, *self._range_starts, self._max_timeout][range_index]
