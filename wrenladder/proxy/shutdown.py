"""Timing of a graceful shutdown, in seconds after the signal that begins it.

The platform sends SIGTERM, and later SIGKILL. Between the two the gateway has to reply to all requests that
it has taken.
"""

from __future__ import annotations

from dataclasses import dataclass

# SIGKILL comes no earlier than this delay plus the longest deadline after SIGTERM. A longest deadline above
# MAX_LONGEST_DEADLINE counts as that.
SIGKILL_DELAY = 0.7  # seconds
MAX_LONGEST_DEADLINE = 3.0  # seconds
MAX_STALL = 0.15  # seconds that the process may be stalled between reading its clock and writing
WRITE_TIME = 0.05  # seconds to write the last replies
# The process may be stalled when the signal comes, so that it counts from too late, and when the replies are
# due.
REPLY_MARGIN = 2 * MAX_STALL + WRITE_TIME
EXIT_MARGIN = 0.1  # seconds; the process ends by itself this long before SIGKILL may come
LAME_DUCK_PERIOD = 0.5  # seconds, with new connections accepted: the front end sends some for up to 0.4


@dataclass(frozen=True, slots=True)
class ShutdownTiming:
    """When the steps of a graceful shutdown are due, on the event loop's clock in seconds.

    Attributes:
        lame_duck_end: Until then new connections are accepted.
        reply_deadline: By then every request has its final reply.
        exit_deadline: Then the process ends, even if clients have not read their replies.
    """

    lame_duck_end: float
    reply_deadline: float
    exit_deadline: float

    @classmethod
    def after_signal(cls, now: float, longest_deadline: float) -> ShutdownTiming:
        """The timing of a shutdown that begins now; `longest_deadline` is that of all request classes."""
        sigkill_time = now + min(MAX_LONGEST_DEADLINE, longest_deadline) + SIGKILL_DELAY
        return cls(
            lame_duck_end=now + LAME_DUCK_PERIOD,
            reply_deadline=sigkill_time - REPLY_MARGIN,
            exit_deadline=sigkill_time - EXIT_MARGIN,
        )
