"""Timing of the discovery watch, and why it bounds the time until a change of the worker list is known.

A poll is one GET of the worker list: the snapshot, or a long poll for the changes after a known index.
"""

from __future__ import annotations

from dataclasses import dataclass

# Longest pause before the first try to reconnect after a failure; doubled with each further one.
INITIAL_BACKOFF = 0.1  # seconds
# Longest pause after the first overload response (503); doubled with each further one up to the maximum.
INITIAL_OVERLOAD_BACKOFF = 0.5  # seconds
MAX_OVERLOAD_BACKOFF = 2.6  # seconds
# Jitter: a pause is multiplied by a random factor between one of these and 1. The range is narrow once the
# backoff has reached its maximum, so that the mean pause stays close to it, and the load on the discovery
# service far below its capacity.
MIN_JITTER_FACTOR = 0.5  # while the backoff still grows
MIN_JITTER_FACTOR_AT_MAX = 0.73
READ_GRACE = 0.02  # seconds for a stalled event loop to read what has arrived, before a time-out counts
UPDATE_DEADLINE = 6.0  # seconds until a change has to be known, once discovery has it and can be reached
# Seconds until a poll for the change has to begin: 0.3 s to connect and get the response, 0.3 s of margin.
POLL_DEADLINE = UPDATE_DEADLINE - 0.6
# A poll that is brought forward to meet POLL_DEADLINE begins at a random time within this interval before it.
EARLY_POLL_JITTER = 0.3  # seconds
# How long a poll that has timed out may be quiet until a later one takes its place. Only one is kept at a
# time, since the service may respond to all. UPDATE_DEADLINE has room for three such times: for a response
# that stops half way after one, its patience, and the next response.
LATE_POLL_PATIENCE = 1.8  # seconds
EARLY_POLL_MIN_TIME_LEFT = 0.05  # seconds; a poll is not brought forward if less time is left


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Timing of a discovery watch, in seconds.

    A change has to be known `UPDATE_DEADLINE` after T, the time from which discovery both had the change and
    could be reached. A discovery service that responds with 503 (overload) counts as reachable. So a poll
    that gets a response has to begin by T + POLL_DEADLINE. It does in each case below, because the time from
    one poll to the next is made up of intervals that are at most

        b = MAX_OVERLOAD_BACKOFF    after an overload response,
        r = max_backoff             after a reset, a truncated or malformed response, or a failed connect,
        n = max(recovery_wait + response_grace + READ_GRACE, response_timeout)
                                    from a poll during recovery, or a connect, to its time-out,
        w = poll_wait + response_grace + READ_GRACE
                                    from the last response to the time-out of the long poll after it.

    1. Any number of failures that are noticed at once, and no time-out: after the last one a poll begins
       within max(b, r), so the failures may go on until T + POLL_DEADLINE - b. At least two polls begin in
       any interval as long as POLL_DEADLINE, since 2b < POLL_DEADLINE.
    2. The first failure is a time-out: w + INITIAL_BACKOFF < POLL_DEADLINE. The remaining time is enough for
       a connection that takes up to 1 s longer (with part of the margin in POLL_DEADLINE), or for two
       overload responses, see 4:
       w + INITIAL_BACKOFF + INITIAL_OVERLOAD_BACKOFF + 2 EARLY_POLL_MIN_TIME_LEFT < POLL_DEADLINE.
    3. Other failures come before the only time-out, or discovery was down or overloaded for long: the first
       poll after T begins within max(b, r) and times out, and the next one begins by
       T + b + n + r < T + POLL_DEADLINE. If there were only overload responses before, the next one begins by
       T + b + n + INITIAL_BACKOFF, which leaves time for one more overload response after the time-out, see
       4.
    4. Failures after a time-out: T is no earlier than the last contact with discovery before the time-out
       (`DiscoveryWatch._last_contact`). The first pause that would end later than POLL_DEADLINE after that
       contact is shortened to end within `EARLY_POLL_JITTER` before that time
       (`DiscoveryWatch._retry_delay`), so one more poll begins in time. A failure more than recovery_wait
       after the poll or the connect began, such as the reset of a long poll, is treated like a time-out,
       since discovery may have been unresponsive until then.
    5. A close that was announced with a response is no failure: the time until the next connection is
       established is subtracted from the wait of its first poll, so that 2 applies.

    A service that is slower than a time-out is heard through the poll that has timed out, whose connection is
    kept until it has been quiet for `LATE_POLL_PATIENCE`. A change is then known within twice the time that a
    response takes: the response under way may be too old to contain it, but not the next one.

    Not bounded: failures that last longer than in 1, more failures after a time-out than in 2 to 4, a second
    time-out (polls frequent enough for these cases would keep an overloaded discovery service unavailable to
    all gateways), and a service that is quiet for longer than `LATE_POLL_PATIENCE` before or in a response.
    """

    poll_wait: float  # for a long poll to stay open; an unresponsive service is noticed soon after it
    response_grace: float  # beyond that wait, for the response to a long poll; then the poll times out
    response_timeout: float  # for a response without a wait, or for a connect
    max_backoff: float  # longest pause between two tries to reconnect
    recovery_wait: float  # for a long poll to stay open after a failure, until the first response


# For a service of fixed capacity that all gateways share: polls cost it work, so the wait is as long as
# case 2 allows.
SHARED_SERVICE_TIMING = WatchTiming(
    poll_wait=3.8, response_grace=0.8, response_timeout=1.5, max_backoff=1.15, recovery_wait=0.8
)
# For an agent on this machine that receives every change by push: its responses cost nothing, and a change
# that it has must be known whether or not it is polled. No failure of a watch, noticed at once or not, may
# last as long as the grace period of a drain (1 s). So poll_wait + response_grace + INITIAL_BACKOFF stays
# below that, and so does recovery_wait + response_grace + max_backoff.
LOCAL_AGENT_TIMING = WatchTiming(
    poll_wait=0.5, response_grace=0.35, response_timeout=0.35, max_backoff=0.2, recovery_wait=0.2
)
