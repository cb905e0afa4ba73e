"""Counts why requests are refused, retried or rejected and connections closed, and logs the counts."""

from __future__ import annotations

import logging

log = logging.getLogger("wrenladder")
MAX_SAMPLES = 3  # request ids that are logged with each count
MAX_EVENTS = 64  # descriptions of events; further ones, which clients could make up, count as `OTHER`
OTHER = "others"


class ActivityLog:
    """Counts of noteworthy events since the last line of the log, each with a few request ids.

    A line for each event would cost more CPU time than the event itself while a client misbehaves.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._samples: dict[str, list[str]] = {}

    def record(self, event: str, request_id: str = "") -> None:
        """Count an event, which `event` describes in a few words."""
        if event not in self._counts and len(self._counts) >= MAX_EVENTS:
            event = OTHER
        self._counts[event] = self._counts.get(event, 0) + 1
        if request_id and len(samples := self._samples.setdefault(event, [])) < MAX_SAMPLES:
            samples.append(request_id)

    def flush(self, state: str) -> None:
        """Log what has been counted since the last call, if anything, with the present `state`."""
        if not self._counts:
            return
        events = "; ".join(
            f"{count} {event}" + (f" ({', '.join(samples)})" if (samples := self._samples.get(event)) else "")
            for event, count in sorted(self._counts.items())
        )
        log.info("activity: %s; %s", events, state)
        self._counts.clear()
        self._samples.clear()
