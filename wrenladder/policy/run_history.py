"""Remembers which requests may have run, so that an id that comes again does not run twice."""

from __future__ import annotations

MAX_GENERATION_SIZE = 4096  # ids; at rates for which the retention is too long, this bounds the memory


class RunHistory:
    """Ids of requests that may have run, each for at least `retention` seconds after its last attempt.

    Clients use a fresh id for every request and retry. An id comes again only where something between client
    and gateway sends a request again, for example because its client has left.

    The ids are kept in two generations; the older one is dropped when the younger one is full or old enough.
    """

    def __init__(self, now: float, retention: float) -> None:
        self._retention = retention
        # By id: how many attempts may have run.
        self._younger: dict[str, int] = {}
        self._older: dict[str, int] = {}
        self._generation_end = now + retention

    def record_attempt(self, now: float, request_id: str) -> None:
        """Note that an attempt is sent, which may run."""
        if now >= self._generation_end or len(self._younger) >= MAX_GENERATION_SIZE:
            self._older, self._younger = self._younger, {}
            self._generation_end = now + self._retention
        self._younger[request_id] = self._younger.get(request_id, 0) + 1

    def record_never_ran(self, request_id: str) -> None:
        """Note that an attempt has turned out not to have run."""
        generation = self._younger if request_id in self._younger else self._older
        if request_id not in generation:
            return
        generation[request_id] -= 1
        if not generation[request_id]:
            del generation[request_id]

    def may_have_run(self, request_id: str) -> bool:
        """Whether a request with this id may have run lately."""
        return request_id in self._younger or request_id in self._older
