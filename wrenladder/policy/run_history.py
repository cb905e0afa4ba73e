"""Remembers which requests may have run, so that an id that comes again does not run twice."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED = 8192  # ids; at rates for which the retention is too long, this bounds the memory


class _Run:
    """How many attempts of a request may have run, and until when it is remembered."""

    __slots__ = ("possible_runs", "expires_at")

    def __init__(self, expires_at: float) -> None:
        self.possible_runs, self.expires_at = 0, expires_at


class RunHistory:
    """Ids of requests that may have run, each for `retention` seconds after its first attempt.

    Clients use a fresh id for every request and retry. An id comes again only where something between client
    and gateway sends a request again, for example because its client has left.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._runs: OrderedDict[str, _Run] = OrderedDict()  # in the order of their first attempts

    def record_attempt(self, now: float, request_id: str) -> None:
        """Note that an attempt is sent, which may run."""
        run = self._runs.get(request_id)
        if run is None:
            self._forget_expired(now)
            run = self._runs[request_id] = _Run(now + self._retention)
        run.possible_runs += 1

    def record_never_ran(self, request_id: str) -> None:
        """Note that an attempt has turned out not to have run."""
        run = self._runs.get(request_id)
        if run is None:
            return
        run.possible_runs -= 1
        if not run.possible_runs:
            del self._runs[request_id]

    def may_have_run(self, now: float, request_id: str) -> bool:
        """Whether a request with this id may have run."""
        run = self._runs.get(request_id)
        return run is not None and now < run.expires_at

    def _forget_expired(self, now: float) -> None:
        while self._runs:
            run = next(iter(self._runs.values()))
            if now < run.expires_at and len(self._runs) < MAX_REMEMBERED:
                return
            self._runs.popitem(last=False)
