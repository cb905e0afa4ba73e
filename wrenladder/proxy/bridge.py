"""The bridge between network code and policy: owns the requests and attempts.

It passes events to the policy and executes the actions that these call for, and decides nothing itself. Every
submitted request gets one final reply, at its deadline at the latest.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import math
from collections import deque
from collections.abc import Callable

from wrenladder.policy.actions import Action, Cancel, Fail, Refuse, Send, SetTimer, Subscribe
from wrenladder.policy.events import (
    CANCELLED,
    NOT_SENT,
    SUCCESS,
    TIMED_OUT,
    Abandoned,
    Event,
    Outcome,
    Request,
    ShutdownStarted,
    TimerFired,
    WorkerList,
)
from wrenladder.policy.request_lifecycle import Gateway
from wrenladder.policy.settings import Settings
from wrenladder.proxy.activity_log import ActivityLog
from wrenladder.proxy.address_ownership import AddressOwnership
from wrenladder.proxy.attempt import Attempt, WorkerResponse
from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.worker_pool import WorkerPool

log = logging.getLogger("wrenladder")

ReplyCallback = Callable[[int, bytes, bytes], None]  # status, header lines, body


class ClientState(enum.Enum):
    """What is known of a request's client right before an attempt."""

    CONNECTED = enum.auto()
    DISCONNECTED = enum.auto()
    UNKNOWN = enum.auto()  # it has sent so much ahead that its disconnect could not be seen


class ProxiedRequest:
    """A client's request until its final reply is sent and its attempts have ended."""

    __slots__ = (
        "event",
        "head",
        "body",
        "deadline",
        "reply",
        "attempts",
        "client_state",
        "ended",
        "attempts_in_flight",
        "deadline_timer",
        "policy_timers",
    )

    def __init__(
        self, event: Request, head: bytes, body: bytes, deadline: float, reply: ReplyCallback
    ) -> None:
        self.event, self.head, self.body, self.deadline = event, head, body, deadline
        self.reply: ReplyCallback | None = reply
        # Asks whether the client is connected, though no event has reported a disconnect; if it isn't, this
        # request has been abandoned when the call returns.
        self.client_state: Callable[[], ClientState] | None = None
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.ended = False  # replied to or abandoned
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.policy_timers: list[asyncio.TimerHandle] = []


class Bridge:
    """Passes events to the policy, and executes its actions on the sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        policy: Gateway,
        worker_pool: WorkerPool,
        activity: ActivityLog | None = None,
    ) -> None:
        self._activity = activity or ActivityLog()
        self._loop, self._settings, self._policy, self._worker_pool = loop, settings, policy, worker_pool
        self._address_ownership = AddressOwnership()
        self._requests: dict[str, ProxiedRequest] = {}  # by id
        self._event_queue: deque[tuple[Event, str]] = deque()  # with the id of the request concerned, or ""
        self._dispatching = False
        self._latest_deadline = math.inf  # of all requests; finite in a shutdown

    def has_request(self, request_id: str) -> bool:
        """Whether a request with this id has no final reply yet, or an attempt of it is still in flight."""
        return request_id in self._requests

    def submit(
        self, event: Request, head: bytes, body: bytes, deadline: float, reply: ReplyCallback
    ) -> ProxiedRequest:
        """Accept a request; `reply` is called once unless the request is abandoned before."""
        deadline = min(deadline, self._latest_deadline)
        request = self._requests[event.request_id] = ProxiedRequest(event, head, body, deadline, reply)
        request.deadline_timer = self._loop.call_at(deadline, self._deadline_reached, request)
        self._dispatch(event, event.request_id)
        return request

    def abandon(self, request: ProxiedRequest) -> None:
        """End a request whose client has disconnected, and abort its attempts that are not written yet."""
        if not request.ended:
            self._mark_ended(request)
            self._dispatch(Abandoned(request.event.request_id), request.event.request_id)
            self._abort_unwritten(request)

    def limit_deadlines(self, latest: float) -> None:
        """Give every request, present or later, its final reply by `latest` (event loop time in seconds)."""
        self._latest_deadline = latest
        for request in self._requests.values():
            self._limit_deadline(request, latest)
        self._dispatch(ShutdownStarted(max(0.0, latest - self._loop.time())), "")

    def _limit_deadline(self, request: ProxiedRequest, latest: float) -> None:
        if request.deadline <= latest:
            return
        request.deadline = latest
        for attempt in request.attempts:
            attempt.limit_deadline(latest)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.deadline_timer = self._loop.call_at(latest, self._deadline_reached, request)

    def _abort_unwritten(self, request: ProxiedRequest) -> None:
        """Abort those attempts of an ended request that are not written yet.

        The policy must have been told of the end before, or it would send these attempts again.
        """
        for attempt in request.attempts:
            attempt.abort_unwritten()

    def apply_worker_list_update(self, update: WorkerListUpdate) -> None:
        """Update the worker pool, and pass the update to the policy."""
        endpoints = self._address_ownership.resolve(update)
        for endpoint in endpoints:
            if endpoint.entry.predecessor:
                self._activity.record(f"worker took over an address: {endpoint.entry.predecessor}")
        self._worker_pool.update(endpoints, update.is_snapshot)
        self._dispatch(WorkerList(tuple(e.entry for e in endpoints), is_snapshot=update.is_snapshot), "")

    def _dispatch(self, event: Event, request_id: str) -> None:
        """Pass an event to the policy, then all events that result from its actions."""
        self._event_queue.append((event, request_id))
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._event_queue:
                event, request_id = self._event_queue.popleft()
                try:
                    actions = self._policy.handle(self._loop.time(), event)
                except Exception:
                    # An error in the policy fails the request concerned, not the process.
                    log.exception("policy failed to handle %s", type(event).__name__)
                    self._fail_after_exception(request_id)
                    continue
                for action in actions:
                    self._execute(action, request_id)
        finally:
            self._dispatching = False

    def _fail_after_exception(self, request_id: str) -> None:
        """Reply 500 to a request whose event the policy could not handle, and queue its abandonment."""
        request = self._requests.get(request_id)
        if request is not None and not request.ended:
            self._reply(request, 500, b"", b"")
            self._event_queue.append((Abandoned(request_id), request_id))

    def _execute(self, action: Action, event_request_id: str) -> None:
        match action:
            case SetTimer(delay, timer_id):
                timer = self._loop.call_later(max(0.0, delay), self._timer_fired, timer_id, event_request_id)
                if (request := self._requests.get(event_request_id)) is not None:
                    request.policy_timers.append(timer)
            case Send(request_id, worker, timeout, connect_within):
                self._start_attempt(request_id, worker, timeout, connect_within)
            case Refuse(request_id, retry_after):
                header = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0 else b""
                self._reply_error(request_id, 503, header)
            case Fail(request_id):
                self._reply_error(request_id, 502, b"")
            case Cancel(request_id, attempt_number):
                request = self._requests.get(request_id)
                if request is not None and attempt_number < len(request.attempts):
                    request.attempts[attempt_number].abort(CANCELLED)
            case Subscribe():
                pass  # discovery is watched from the start

    def _timer_fired(self, timer_id: int, request_id: str) -> None:
        self._dispatch(TimerFired(timer_id), request_id)

    def _reply_error(self, request_id: str, status: int, headers: bytes) -> None:
        """Send the error reply that the policy has asked for, and abort the attempts not written yet."""
        request = self._requests.get(request_id)
        if request is not None:
            self._activity.record("refused by the policy" if status == 503 else "failed", request_id)
            self._reply(request, status, headers, b"")
            self._abort_unwritten(request)

    def _start_attempt(self, request_id: str, worker: str, timeout: float, connect_within: float) -> None:
        """Start an attempt, or end it as not sent where it is not allowed (any more)."""
        request, now = self._requests.get(request_id), self._loop.time()
        if request is None:
            log.error("policy started an attempt of unknown request %s", request_id)
            return
        attempt = Attempt(
            request_id,
            len(request.attempts),
            worker,
            request.head,
            request.body,
            request.deadline,
            now,
            self._attempt_ended,
        )
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if attempt.number:
            self._activity.record("further attempts", request_id)
        if (
            request.ended
            or now >= request.deadline
            or attempt.number >= self._settings.max_attempts
            or (request.attempts_in_flight > 1 and not self._settings.concurrent_attempts)
        ):
            attempt.finish(NOT_SENT)
            return
        if 0 < timeout < request.deadline - now:
            attempt.deadline = now + timeout
            attempt.timer = self._loop.call_later(timeout, attempt.abort, TIMED_OUT)
        attempt.write_deadline = (
            min(attempt.deadline, now + connect_within) if connect_within > 0 else attempt.deadline
        )
        # The client may have disconnected while reading from it was paused or while the event loop was
        # delayed, so this is checked right before the attempt: no worker should serve such a request.
        state = ClientState.CONNECTED if request.client_state is None else request.client_state()
        if state is ClientState.CONNECTED:
            self._worker_pool.send(attempt)
        elif state is ClientState.UNKNOWN:
            attempt.finish(NOT_SENT)

    def _attempt_ended(self, attempt: Attempt, status: str, response: WorkerResponse | None) -> None:
        """Reply to the client on the first success, and report each outcome to the policy."""
        request = self._requests[attempt.request_id]
        request.attempts_in_flight -= 1
        if status != SUCCESS:
            self._activity.record(f"attempts {status}", attempt.request_id)
        elif response is not None and not request.ended:
            self._reply(request, 200, b"".join(response.headers), response.body)
        outcome = Outcome(
            request_id=attempt.request_id,
            attempt_number=attempt.number,
            worker=attempt.worker,
            status=status,
            request_ended=request.ended,
            duration=self._loop.time() - attempt.started_at,
            metered_usage=response.metered_usage if response is not None else None,
        )
        self._remove_if_done(request)
        self._dispatch(outcome, attempt.request_id)
        if request.ended:
            self._abort_unwritten(request)

    def _deadline_reached(self, request: ProxiedRequest) -> None:
        """Time out the attempts in flight, and reply if no reply has been sent."""
        for attempt in request.attempts:
            attempt.abort(TIMED_OUT)
        if not request.ended:
            # The policy has not ended the request; without this the client would get no reply.
            self._activity.record("ended by their deadlines", request.event.request_id)
            self._reply(request, 504, b"", b"")
            self._dispatch(Abandoned(request.event.request_id), request.event.request_id)

    def _reply(self, request: ProxiedRequest, status: int, headers: bytes, body: bytes) -> None:
        """Send the final reply, unless the request has ended."""
        if request.ended:
            return
        reply = request.reply
        self._mark_ended(request)
        if reply is not None:
            reply(status, headers, body)

    def _mark_ended(self, request: ProxiedRequest) -> None:
        request.ended, request.reply, request.client_state = True, None, None
        request.head = request.body = b""  # attempts in flight may outlast the request
        self._remove_if_done(request)

    def _remove_if_done(self, request: ProxiedRequest) -> None:
        """Remove a request that has ended and has no attempt in flight."""
        if request.ended and not request.attempts_in_flight:
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
                request.deadline_timer = None
            # Timers left running would wake the process to no purpose, which costs more than cancelling them.
            for timer in request.policy_timers:
                timer.cancel()
            request.policy_timers.clear()
            self._requests.pop(request.event.request_id, None)
