"""The life cycle of a request: first attempt, retries, hedges and the final reply.

A request passes, in this order: its customer's metered quota slice and ceiling (`Quotas`), the choice of a
worker (`Fleet`), the leaky bucket (`Throttle`) and the overload check (`Fleet`). `Gateway` owns it from then
on. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

from wrenladder.policy.actions import Action, Cancel, Fail, Refuse, Send, SetTimer, Subscribe
from wrenladder.policy.events import (
    NEVER_RAN,
    OVERLOADED,
    REMOVED,
    SUCCESS,
    TIMED_OUT,
    Abandoned,
    Event,
    Outcome,
    Request,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
    WorkerEntry,
    WorkerList,
)
from wrenladder.policy.quotas import Account, Quotas
from wrenladder.policy.run_history import RunHistory
from wrenladder.policy.settings import PURE, SIDE_EFFECT, TOKEN, RequestClass, Settings
from wrenladder.policy.throttle import Throttle
from wrenladder.policy.worker_selection import STALL_FACTOR, Fleet

MIN_HEDGE_DELAY_SHARE = 0.25  # shortest hedge delay, as a share of the latency target
RETRY_BUDGET_PER_REQUEST = 0.2  # further attempts that each request adds to the retry budget
MAX_RETRY_BUDGET = 10.0  # further attempts that the retry budget can save up
MAX_RETRY_AFTER_SHARE = 0.2  # longest wait that a refusal advises, as a share of the latency target
INITIAL_TIMEOUT_SAMPLES = 32  # initial timeouts kept for each request class
TIMEOUT_TOLERANCE = 0.02  # timeouts closer than this share of the class's deadline count as equal
# Times the longest deadline: how long it is remembered that a request may have run. It may run until its
# deadline, and its repeat may come as late after that as a client waits.
RUN_RETENTION_DEADLINES = 2.0


class Attempt:
    """An attempt at a worker; its status is empty while it is in flight.

    `place_uncertain` is set if a worker outside its repeat scope may have got it in place of this one.
    `overload_signalled` is set once its lateness has been reported to the throttle or no longer counts.
    """

    __slots__ = (
        "worker",
        "zone",
        "cell",
        "request_class",
        "sent_at",
        "status",
        "place_uncertain",
        "overload_signalled",
        "account",
        "timers",
    )

    def __init__(
        self, entry: WorkerEntry, request_class: RequestClass, sent_at: float, account: Account
    ) -> None:
        self.worker, self.zone, self.cell = entry.name, entry.zone, entry.cell
        self.request_class, self.sent_at, self.account = request_class, sent_at, account
        self.status, self.place_uncertain, self.overload_signalled = "", False, False
        self.timers: list[int] = []

    def is_repeat_safe_at(self, entry: WorkerEntry) -> bool:
        """Whether the worker is within the repeat scope of this attempt."""
        match self.request_class.repeat_scope:
            case "zone":
                return entry.zone == self.zone
            case "cell":
                return entry.cell == self.cell
        return True


class PendingRequest:
    """An admitted request without a final reply; its deadline is in seconds on the caller's clock."""

    __slots__ = (
        "request",
        "request_class",
        "account",
        "deadline",
        "within_quota",
        "attempts",
        "streaming",
        "deadline_timer",
    )

    def __init__(
        self, request: Request, request_class: RequestClass, account: Account, deadline: float
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.account = account
        self.deadline = deadline
        self.within_quota, self.streaming = True, False
        self.attempts: list[Attempt] = []
        self.deadline_timer = 0


class Gateway:
    """The decisions of one gateway: `handle` turns an event into actions.

    `seed` makes its random choices reproducible; `now` is the start in seconds on the caller's clock. It
    keeps accounts of at most `max_accounts` customers.
    """

    def __init__(self, settings: Settings, seed: int, now: float, max_accounts: float = math.inf) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._plans = {p.name: p for p in settings.plans}
        self._random = Random(seed)
        self.throttle = Throttle(now, len(settings.plans))
        prices, worths = [p.price for p in settings.plans], [c.worth for c in settings.classes]
        typical_worth = sum(prices) * sum(worths) / len(prices) / len(worths)
        self.quotas = Quotas(now, self._random, typical_worth, max_accounts)
        self.fleet = Fleet(settings, self._random, now)
        self._run_history = RunHistory(
            now, RUN_RETENTION_DEADLINES * max(c.deadline for c in settings.classes)
        )
        self._pending: dict[str, PendingRequest] = {}
        self._in_flight: dict[tuple[str, int], Attempt] = {}
        self._timers: dict[int, tuple[str, str, int]] = {}  # by id: kind, request, attempt number
        self._last_timer_id = 0
        # By class: `time_left` in seconds of the latest requests that were not client retries.
        self._initial_timeouts = {
            c.name: deque[float](maxlen=INITIAL_TIMEOUT_SAMPLES) for c in settings.classes
        }
        self._retry_budget = MAX_RETRY_BUDGET
        self._latest_deadline = math.inf  # no request may be pending for longer; finite in a shutdown
        self._subscribed = not settings.must_subscribe
        self._actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return the actions that an event calls for.

        `now` is in seconds on the caller's clock and never goes back from one call to the next.
        """
        self._actions = []
        match event:
            case Request():
                self._handle_request(now, event)
            case Outcome():
                self._handle_outcome(now, event)
            case TimerFired(timer_id):
                self._handle_timer(now, *self._timers.pop(timer_id, ("", "", 0)))
            case WorkerList():
                self._handle_worker_list(now, event)
            case StreamStarted(request_id, attempt_number):
                self._handle_stream_started(now, request_id, attempt_number, event.duration)
            case Abandoned(request_id):
                self._forget(request_id)
            case ShutdownStarted(time_left):
                self._limit_deadlines(now, time_left)
        return self._actions

    def _handle_worker_list(self, now: float, event: WorkerList) -> None:
        if not event.failed:
            self._note_replaced_workers(event)
            self.fleet.apply_worker_list(now, event)
            self.throttle.worker_count = self.fleet.usable_worker_count
        if self._settings.must_subscribe and (event.failed or not self._subscribed):
            self._subscribed = True
            if event.failed:  # subscribe again in one to two seconds, as discovery may be overloaded
                self._set_timer(1.0 + self._random.random(), "subscribe", "", 0)
            else:
                self._actions.append(Subscribe())

    def _note_replaced_workers(self, event: WorkerList) -> None:
        """Mark the attempts in flight that a new worker at the same address or name may have got."""
        for entry in event.entries:
            replaced = self.fleet.workers.get(entry.predecessor or entry.name)
            if replaced is None or not replaced.in_flight or entry.state == REMOVED:
                continue
            for key in replaced.in_flight:
                attempt = self._in_flight.get(key)
                if attempt is not None and not attempt.is_repeat_safe_at(entry):
                    attempt.place_uncertain = True

    def _handle_request(self, now: float, event: Request) -> None:
        request_class, plan = self._classes.get(event.request_class), self._plans.get(event.plan)
        time_left = min(event.time_left, self._latest_deadline - now)
        if request_class is None or plan is None or time_left <= self._settings.time_step:
            self._actions.append(Refuse(event.request_id, 0.0))
            return
        if request_class.effect != PURE and self._run_history.may_have_run(event.request_id):
            self._actions.append(Fail(event.request_id))
            return
        account = self.quotas.account(now, event.customer, plan, event.customer_gateway_count)
        if account is None:
            self._refuse(event.request_id, request_class.latency_target)
            return
        account.requested_units += event.units
        pending = PendingRequest(event, request_class, account, now + time_left)
        pending.within_quota = self.quotas.is_within_quota(account, event.units, self.throttle.control_active)
        if not event.is_retry:
            self._initial_timeouts[request_class.name].append(event.time_left)
        self._retry_budget = min(MAX_RETRY_BUDGET, self._retry_budget + RETRY_BUDGET_PER_REQUEST)
        # Beyond its quota a customer is served only where that earns more than it costs, and never while the
        # throttle controls overload.
        eligible = pending.within_quota or (
            plan.excess_revenue > plan.excess_cost and not self.throttle.control_active
        )
        eligible = eligible and not (event.is_retry and self._is_late_retry(request_class, event.time_left))
        if not eligible or not self.quotas.is_within_ceiling(account, event.units, not pending.within_quota):
            self._refuse(event.request_id, request_class.latency_target)
            return
        worker = self.fleet.pick_worker(now, request_class, set())
        if worker is not None and not self.throttle.admit(now):
            worker = None
        if worker is not None and self.fleet.is_overloaded(now, account.headroom()):
            self.throttle.record_overload_signal(now, worker, plan.name, now)
            worker = None
        if worker is None:
            self._refuse(event.request_id, request_class.latency_target)
            return
        self.quotas.consume(account, event.units, pending.within_quota)
        self._pending[event.request_id] = pending
        self._send(now, pending, worker)
        self._set_deadline_timer(pending, time_left)

    def _set_deadline_timer(self, pending: PendingRequest, time_left: float) -> None:
        pending.deadline_timer = self._set_timer(
            time_left - self._settings.time_step, "deadline", pending.request.request_id, 0
        )

    def _limit_deadlines(self, now: float, time_left: float) -> None:
        """Bring the deadlines of all requests, present or later, forward to `time_left` seconds from now."""
        latest = self._latest_deadline = now + time_left
        for pending in self._pending.values():
            if pending.deadline > latest:
                pending.deadline = latest
                self._timers.pop(pending.deadline_timer, None)
                self._set_deadline_timer(pending, time_left)

    def _is_late_retry(self, request_class: RequestClass, time_left: float) -> bool:
        """Whether a client retry has certainly missed its latency target, so that serving it earns nothing.

        A client waits as long for each retry as for its initial request, except where the deadline leaves
        less, or where it gives its last retry all the time that is left. A wait unlike all recent initial
        ones therefore ends at the deadline and tells when the request began. A wait like one of them may be
        an ordinary one and proves nothing: clients differ, and so do their last retries. The check relies on
        clients of one kind waiting alike.
        """
        elapsed = request_class.deadline - time_left
        if request_class.late_worth or elapsed <= request_class.latency_target:
            return False
        return all(
            abs(timeout - time_left) > TIMEOUT_TOLERANCE * request_class.deadline
            for timeout in self._initial_timeouts[request_class.name]
        )

    def _refuse(self, request_id: str, latency_target: float) -> None:
        """Refuse, and advise a wait (with jitter) that leaves time for several retries before the target.

        Retries after the latency target spend units and earn nothing.
        """
        retry_after = min(self._settings.max_retry_after, MAX_RETRY_AFTER_SHARE * latency_target) * (
            0.5 + 0.5 * self._random.random()
        )
        self._actions.append(Refuse(request_id, retry_after))

    def _send(self, now: float, pending: PendingRequest, worker: str, connect_within: float = 0.0) -> None:
        """Start an attempt whose connection must be established in `connect_within` seconds (0: no limit)."""
        request_id = pending.request.request_id
        attempt_number = len(pending.attempts)
        request_class = pending.request_class
        attempt = Attempt(self.fleet.workers[worker].entry, request_class, now, pending.account)
        pending.attempts.append(attempt)
        pending.account.in_flight += 1
        self._in_flight[request_id, attempt_number] = attempt
        if request_class.effect != PURE:
            self._run_history.record_attempt(now, request_id)
        self.fleet.record_sent(now, worker, (request_id, attempt_number), request_class)
        self._actions.append(Send(request_id, worker, connect_within=connect_within))
        attempt.timers.append(
            self._set_timer(request_class.latency_target, "latency_target", request_id, attempt_number)
        )
        hedge_delay = min(
            max(
                STALL_FACTOR * self.fleet.usual_response_time(request_class),
                MIN_HEDGE_DELAY_SHARE * request_class.latency_target,
            ),
            request_class.latency_target / 2,
        )
        if attempt_number + 1 < self._settings.max_attempts and request_class.effect != SIDE_EFFECT:
            attempt.timers.append(self._set_timer(hedge_delay, "hedge", request_id, attempt_number))

    def _forget(self, request_id: str) -> PendingRequest | None:
        """Forget a request that has ended, and its deadline timer.

        The caller may drop the timers of an ended request, so its entry would not be removed by firing.
        """
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            self._timers.pop(pending.deadline_timer, None)
        return pending

    def _set_timer(self, delay: float, kind: str, request_id: str, attempt_number: int) -> int:
        """Ask for a timer after `delay` seconds and return its id."""
        self._last_timer_id += 1
        self._timers[self._last_timer_id] = (kind, request_id, attempt_number)
        self._actions.append(SetTimer(max(0.0, delay), self._last_timer_id))
        return self._last_timer_id

    def _handle_timer(self, now: float, kind: str, request_id: str, attempt_number: int) -> None:
        attempt, pending = self._in_flight.get((request_id, attempt_number)), self._pending.get(request_id)
        if kind == "subscribe":
            self._actions.append(Subscribe())
        elif kind == "latency_target" and attempt is not None and not attempt.overload_signalled:
            attempt.overload_signalled = True
            self.fleet.record_past_target(now, (request_id, attempt_number))
            if attempt.request_class.effect == SIDE_EFFECT or self.fleet.has_answered_later_attempt(
                attempt.worker, attempt.sent_at
            ):
                self.fleet.record_loss_sample(now, attempt.worker, attempt.request_class)
            worker_loses_responses = self.fleet.worker_loses_class(now, attempt.worker, attempt.request_class)
            if not worker_loses_responses and not self.fleet.silence_means_loss():
                self.throttle.record_overload_signal(
                    now, attempt.worker, attempt.account.plan.name, attempt.sent_at
                )
        elif kind == "deadline" and pending is not None and not pending.streaming:
            self._end_without_success(pending)
        elif kind == "hedge" and attempt is not None and pending is not None and not pending.streaming:
            # Where no later attempt was answered, the silence may come from a queue or a pause.
            if self.fleet.has_answered_later_attempt(attempt.worker, attempt.sent_at):
                self.fleet.record_loss_sample(now, attempt.worker, attempt.request_class)
            self._hedge(now, pending, attempt_number)

    def _hedge(self, now: float, pending: PendingRequest, attempt_number: int) -> None:
        """Send another attempt beside one in flight for unusually long, or cancel that one to send it again.

        Hedging covers workers that hang, are slow, can't be reached or lose responses before a time-out
        reveals them. It costs duplicate work, which the retry budget bounds. While the throttle controls
        overload there is no hedging, except for attempts at a worker that loses responses.
        """
        if self.throttle.control_active and not self.fleet.worker_loses_class(
            now, pending.attempts[attempt_number].worker, pending.request_class
        ):
            return
        if pending.deadline - now < self.fleet.usual_response_time(pending.request_class):
            return
        if self._settings.concurrent_attempts:
            self._retry(now, pending)
        elif pending.request_class.effect == PURE and self._settings.can_cancel and self._retry_budget >= 1:
            # The outcome of the cancelled attempt starts the next one.
            self._actions.append(Cancel(pending.request.request_id, attempt_number))

    def _handle_stream_started(
        self, now: float, request_id: str, attempt_number: int, duration: float
    ) -> None:
        pending, attempt = self._pending.get(request_id), self._in_flight.get((request_id, attempt_number))
        if attempt is not None:
            self._signal_if_late(now, attempt, duration)
            attempt.overload_signalled = True  # the rest is the length of the stream, no sign of load
        if pending is not None:
            pending.streaming = True

    def _signal_if_late(self, now: float, attempt: Attempt, duration: float) -> None:
        """Give the throttle an overload signal for a late response, unless the attempt has given one."""
        if duration > attempt.request_class.latency_target and not attempt.overload_signalled:
            self.throttle.record_overload_signal(
                now, attempt.worker, attempt.account.plan.name, attempt.sent_at
            )

    def _handle_outcome(self, now: float, event: Outcome) -> None:
        key = (event.request_id, event.attempt_number)
        attempt, pending = self._in_flight.pop(key, None), self._pending.get(event.request_id)
        if attempt is None:
            return  # late or duplicate outcome
        for timer_id in attempt.timers:
            self._timers.pop(timer_id, None)
        attempt.status = event.status
        if event.status in NEVER_RAN:
            self._run_history.record_never_ran(event.request_id)
        attempt.account.in_flight -= 1
        if event.metered_usage is not None:
            attempt.account.record_meter_reading(now, event.metered_usage, self._settings.meter_period)
            if pending is not None:
                plan = attempt.account.plan
                self.quotas.record_excess(
                    plan,
                    event.metered_usage,
                    attempt.request_class.worth * plan.price * pending.request.units,
                )
        self.fleet.record_outcome(
            now, attempt.worker, key, attempt.request_class, event.status, event.duration
        )
        if event.status in (OVERLOADED, TIMED_OUT):
            if not attempt.overload_signalled and (
                event.status == OVERLOADED or not self.fleet.silence_means_loss()
            ):
                self.throttle.record_overload_signal(
                    now, attempt.worker, attempt.account.plan.name, attempt.sent_at
                )
        else:
            self._signal_if_late(now, attempt, event.duration)
        if pending is None:
            return
        if (
            event.status == SUCCESS
            and event.final_units
            and pending.within_quota
            and pending.account.plan.quota_rate
        ):
            pending.account.quota_level += pending.request.units - event.final_units
        if event.request_ended or event.status == SUCCESS:
            self._forget(event.request_id)
            if self._settings.can_cancel:
                for attempt_number, other in enumerate(pending.attempts):
                    if not other.status:
                        self._actions.append(Cancel(event.request_id, attempt_number))
        elif any(not other.status for other in pending.attempts):
            pass  # another attempt is still in flight
        elif now >= pending.deadline - self._settings.time_step or not self._retry(now, pending):
            self._end_without_success(pending)

    def _retry(self, now: float, pending: PendingRequest) -> bool:
        """Send a further attempt and return True, if it is safe and the limits allow it.

        The request class decides whether it is safe (effect, repeat scope and window). The limits are the
        number of attempts, the retry budget and the leaky bucket.
        """
        request_class, zone, cell, connect_within = pending.request_class, None, None, 0.0
        first_possible_run = next((a for a in pending.attempts if a.status not in NEVER_RAN), None)
        if first_possible_run is not None:
            if request_class.effect == SIDE_EFFECT:
                return False
            if request_class.effect == TOKEN:
                # A connection established after the window must not carry the attempt: it would run again.
                connect_within = (
                    first_possible_run.sent_at + request_class.repeat_window - self._settings.time_step - now
                )
                if connect_within <= 0 or any(a.place_uncertain for a in pending.attempts):
                    return False
                zone = first_possible_run.zone if request_class.repeat_scope == "zone" else None
                cell = first_possible_run.cell if request_class.repeat_scope == "cell" else None
        if len(pending.attempts) >= self._settings.max_attempts or self._retry_budget < 1:
            return False
        worker = self.fleet.pick_worker(now, request_class, {a.worker for a in pending.attempts}, zone, cell)
        if (
            worker is None
            or self.fleet.is_overloaded(now, pending.account.headroom())
            or not self.throttle.admit(now)
        ):
            return False
        self._retry_budget -= 1
        self._send(now, pending, worker, connect_within)
        return True

    def _end_without_success(self, pending: PendingRequest) -> None:
        """End a request without a successful response: refuse it if no attempt can have run, else fail it."""
        request_id = pending.request.request_id
        if self._forget(request_id) is None:
            return
        if all(a.status in NEVER_RAN for a in pending.attempts):
            self._refuse(request_id, pending.request_class.latency_target)
        else:
            self._actions.append(Fail(request_id))
