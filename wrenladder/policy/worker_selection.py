"""Worker selection: health of the workers, slow start, the overload check and the choice of a worker."""

from __future__ import annotations

import math
from collections import deque
from random import Random

from wrenladder.policy.events import (
    CANCELLED,
    CONNECTION_LOST,
    FAILURE,
    HEALTHY,
    MALFORMED_RESPONSE,
    NOT_SENT,
    OVERLOADED,
    SUCCESS,
    UNREACHABLE,
    WorkerEntry,
    WorkerList,
)
from wrenladder.policy.settings import SIDE_EFFECT, RequestClass, Settings

# Estimates of response times and losses. All time constants are in seconds.
EWMA_WEIGHT = 0.15  # weight of a new sample in the exponentially weighted moving averages
MEAN_WEIGHT_DIVISOR = 3  # a class's mean response time changes this many times more slowly than a worker's
PRIOR_RESPONSES = 2.0  # weight of the initial guess of a class's response time, in responses
INITIAL_GUESS_DIVISOR = 10  # of the latency target: the initial guess is a tenth of it
MAX_RELATIVE_LATENCY = 10.0  # of one sample, so that a single very late response doesn't dominate the average
ESTIMATE_TIME_CONSTANT = 10.0  # decay of a worker's relative latency and loss rate

# Choice of a worker.
WAIT_JITTER = 0.1  # highest random addition to an expected wait, as a share of it
CROSS_ZONE_FACTOR = 1.1  # on the expected wait: a worker in another zone must be this much better
# Workers that a gateway among many sends to; so few that each gets a request every few seconds.
MIN_SUBSET_SIZE = 8

# Stalls and ejection.
STALL_FACTOR = 4.0  # times the usual response time after which silence counts as a stall
MAX_STALL_LATENCY = 2.0  # a slow worker's relative latency, up to this, extends that time
DEFAULT_RESPONSE_TIME = 1.0  # seconds; stands for the usual response time until the first response
INITIAL_BACKOFF = 0.25  # seconds before the first trial of a failing worker
MAX_BACKOFF = 4.0  # seconds, at most, before any later trial
MAX_BACKOFF_DOUBLINGS = 10  # bounds the power of two; `MAX_BACKOFF` is reached long before

# Overload check. Shares are of the latency target.
RATE_TIME_CONSTANT = 2.0  # decay of the count of successes from which the service rate is estimated
MAX_WAIT_SHARE = 0.5  # expected response time from which requests are refused, if the mean age is high too
MAX_AGE_SHARE = 0.15  # mean age of the attempts in flight from which it is high
MIN_SAMPLES = 10.0  # attempts in flight or recently answered that an estimate by Little's law needs
REFUSE_NONE_SHARE = 0.3  # average response time up to which no requests are refused
REFUSE_ALL_SHARE = 0.6  # average response time from which all requests are refused
FAST_RESPONSE_SHARE = 0.2  # average response time below which silence means lost responses, not load
BURST_AGE_SHARE = 0.05  # mean age below which the attempts in flight are a burst, not a queue
SUMS_TIME_CONSTANT = 2.0  # decay of the sums over recent responses that are used below `MIN_SAMPLES`
PRIOR_SUM_RESPONSES = 1.0  # usual responses added to these sums, each with `MAX_AGE_SHARE` as its time

# Slow start of cold workers.
TURN_LOAD_SHARE = 0.75  # of the load that the settings allow a cold worker: what all gateways send by turns
TURN_VALIDITY_SHARE = 0.75  # of `overload_window`: how long an unused turn at a cold worker stays valid
# Least requests per `overload_window` that all gateways together send a cold worker by turns, used while no
# service rate is known.
MIN_TURNS_WITH_INDEX = 2.0  # where each gateway knows its index
MIN_TURNS_WITHOUT_INDEX = 1.0  # where it is not
WARMUP_CACHE_SHARE = 0.1  # of `overload_window`: how long the workers' mean warm-up fraction is cached
FULL_RATE_RESPONSES = 1.5  # recent responses from which a gateway's own service rate counts in full

# Attempts that all gateways together may always have in flight at a worker, in slow start and in the overload
# check. Subsets are large enough that about as many gateways share each worker.
MIN_SHARED_IN_FLIGHT = 3.0

# A worker loses requests of a class if its loss rate exceeds both bounds.
MIN_LOSS_RATE = 0.3  # share of the attempts left unanswered
MIN_LOSS_RATIO = 4.0  # times the lowest loss rate of any worker

# Errors or time-outs in a row after which a worker is ejected; a failed or lost connection does so at once.
EJECTION_FAILURES = 3


class Worker:
    """What this gateway knows of a worker: its entry in the list, load, speed, losses and failures."""

    __slots__ = (
        "entry",
        "usable",
        "relative_latency",
        "latency_updated_at",
        "in_flight",
        "last_response_at",
        "last_answered_sent_at",
        "loss_rates",
        "consecutive_failures",
        "ejected_until",
        "slot_expiries",
        "next_turn_at",
        "turn_interval",
    )

    def __init__(self, entry: WorkerEntry, relative_latency: float, now: float) -> None:
        self.entry = entry
        self.usable = True
        self.relative_latency = relative_latency  # response time over the usual one
        self.latency_updated_at = now
        # Send times by request and attempt number, in the order of sending.
        self.in_flight: dict[tuple[str, int], float] = {}
        # When the last response came; send time of the latest-sent attempt that was answered.
        self.last_response_at = self.last_answered_sent_at = now
        # By class: share of attempts left unanswered, and the time of that estimate.
        self.loss_rates: dict[str, tuple[float, float]] = {}
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        # When this gateway may next send to the worker, while it is too cold for all gateways at once.
        self.next_turn_at: float | None = None
        self.turn_interval = 0.0  # seconds between this gateway's turns
        # Expiry times of the slots that attempts still hold which ended without success.
        self.slot_expiries: deque[float] = deque()


class Fleet:
    """The workers with their health and load, slow start, the overload check and the choice of a worker."""

    def __init__(self, settings: Settings, random: Random, now: float) -> None:
        self._settings, self._random = settings, random
        self.workers: dict[str, Worker] = {}
        self._mean_response_times: dict[str, float] = {}  # by class
        self._recent_successes, self._successes_updated_at = 0.0, now  # count that decays with time
        # Decaying sums over recent responses: their response times, their latency targets, and the latency
        # targets of the attempts that exceeded them unanswered.
        self._time_sum, self._target_sum, self._lost_target_sum, self._sums_updated_at = 0.0, 0.0, 0.0, now
        # Attempts in flight that are within their latency target: send time, latency target and worker.
        self._within_target: dict[tuple[str, int], tuple[float, float, Worker]] = {}
        self.usable_worker_count = 0
        # The shortest usual response time so far, of the class with the longest one.
        self._min_response_time = math.inf
        self._response_count = 0
        self._class_response_counts: dict[str, int] = {}  # by class: responses behind the mean response time
        self._clock_stopped_until = -math.inf  # the clock is known to have stood still until then
        self._subset: list[Worker] = []  # the usable workers that this gateway prefers
        # Where on the ring of workers this gateway's subset begins, from 0 to 1.
        self._ring_position = (
            None if settings.gateway_index is None else settings.gateway_index / settings.gateway_count % 1
        )
        self._min_latency_target = min(c.latency_target for c in settings.classes)
        self._mean_capacity = 1.0  # of the workers in the last snapshot
        # Mean warm-up fraction of the usable workers, cached, and the time of its calculation.
        self._mean_warmup, self._mean_warmup_at = 1.0, -math.inf

    def apply_worker_list(self, now: float, worker_list: WorkerList) -> None:
        """Apply a snapshot or a delta of the worker list.

        A draining or removed worker gets no more attempts; a restarted one counts as new.
        """
        listed = {entry.name for entry in worker_list.entries}
        if worker_list.is_snapshot:
            for name, worker in self.workers.items():
                worker.usable = worker.usable and name in listed
        capacities = [e.relative_capacity for e in worker_list.entries if e.relative_capacity > 0] or [1.0]
        mean_capacity = sum(capacities) / len(capacities)
        if worker_list.is_snapshot:
            self._mean_capacity = mean_capacity
        for entry in worker_list.entries:
            current_worker = self.workers.get(entry.name)
            if current_worker is None or current_worker.entry.started_at != entry.started_at:
                new_worker = Worker(
                    entry,
                    mean_capacity / entry.relative_capacity
                    if worker_list.is_snapshot and entry.relative_capacity > 0
                    else 1.0,
                    now,
                )
                if current_worker is not None:
                    new_worker.in_flight = current_worker.in_flight
                self.workers[entry.name] = current_worker = new_worker
            current_worker.entry = entry
            current_worker.usable = entry.state == HEALTHY
        for name in [n for n, w in self.workers.items() if not w.usable and not w.in_flight]:
            del self.workers[name]
        usable = [w for w in self.workers.values() if w.usable]
        self.usable_worker_count, self._mean_warmup_at = len(usable), -math.inf
        subset_size = max(
            MIN_SUBSET_SIZE,
            math.ceil(MIN_SHARED_IN_FLIGHT * self.usable_worker_count / self._settings.gateway_count),
        )
        self._subset = (
            self._select_subset(usable, subset_size) if subset_size < self.usable_worker_count else usable
        )

    def _select_subset(self, usable: list[Worker], size: int) -> list[Worker]:
        """The workers that this gateway prefers, by deterministic subsetting.

        All gateways order the workers in the same way on a ring, and each takes those that follow its own
        position, a fixed fraction of the ring given by its index. So every worker is in the subsets of about
        equally many gateways. Random subsets would put one worker in those of ten gateways and another in
        those of two, and the first would be congested at loads that the fleet as a whole serves easily. A
        worker that is added or removed shifts the others by one position at most. Trade-off: workers that are
        neighbours on the ring have most of their gateways in common.
        """
        ring = sorted(usable, key=lambda w: w.entry.name)
        if self._ring_position is None:  # no index: a random position
            self._ring_position = self._random.random()
        start = int(self._ring_position * len(ring))
        return [ring[(start + n) % len(ring)] for n in range(size)]

    def usual_response_time(self, request_class: RequestClass) -> float:
        """The usual response time of a class, in seconds.

        Until enough responses are known, a tenth of the latency target is mixed in as an initial guess:
        otherwise a first response that happens to be immediate or late would stand for the usual one.
        """
        count = self._class_response_counts.get(request_class.name, 0)
        return (
            count * self._mean_response_times.get(request_class.name, 0.0)
            + PRIOR_RESPONSES * request_class.latency_target / INITIAL_GUESS_DIVISOR
        ) / (count + PRIOR_RESPONSES)

    def _record_response_time(self, request_class: RequestClass, response_time: float) -> float:
        """Update the mean response time of a class, and return the one before.

        The first samples count as in a plain mean, later ones as in a slow moving average.
        """
        count = self._class_response_counts[request_class.name] = (
            self._class_response_counts.get(request_class.name, 0) + 1
        )
        mean = self._mean_response_times.get(request_class.name, response_time)
        self._mean_response_times[request_class.name] = mean + max(
            EWMA_WEIGHT / MEAN_WEIGHT_DIVISOR, 1 / count
        ) * (response_time - mean)
        return mean

    def _is_stalled(self, now: float, worker: Worker) -> bool:
        """Whether all attempts in flight at a worker are unanswered for much longer than usual.

        This covers workers that hang, pause, are cut off or lose requests silently: the number of attempts
        that they hold is bounded, and any response ends the stall. Attempts sent before an answered one don't
        count: the worker is alive, and a single lost response would exclude it until the client's deadline.
        Once a backoff has passed since the last attempt, the worker doesn't count as stalled and is tried
        again; the backoff doubles with each unanswered attempt. Trade-off: a lone request that takes
        unusually long keeps others away from its worker for a while.
        """
        unanswered = [
            sent_at for sent_at in worker.in_flight.values() if sent_at > worker.last_answered_sent_at
        ]
        if not unanswered or now - max(unanswered[0], worker.last_response_at) <= self._silence_limit(worker):
            return False
        backoff: float = INITIAL_BACKOFF * 2 ** min(len(unanswered) - 1, MAX_BACKOFF_DOUBLINGS)
        return now - unanswered[-1] < min(MAX_BACKOFF, backoff)

    def _silence_limit(self, worker: Worker) -> float:
        """Up to how many seconds a worker's silence is usual."""
        return (
            STALL_FACTOR
            * max(self._mean_response_times.values(), default=DEFAULT_RESPONSE_TIME)
            * max(1.0, min(MAX_STALL_LATENCY, worker.relative_latency))
        )

    def _queued_send_times(self, now: float, worker: Worker) -> list[float]:
        """Send times of a worker's attempts in flight, except those that seem lost.

        An attempt seems lost when it is past its latency target, or silent for unusually long though
        later-sent ones were answered. Otherwise every response lost on the way, for whatever reason, would
        count as load until its client's deadline. Trade-off: after a while, unusually long requests among
        short ones don't count as load.
        """
        if not worker.in_flight:
            return []
        return [
            sent_at
            for attempt_key, sent_at in worker.in_flight.items()
            if attempt_key in self._within_target and not self._seems_lost(now, worker, sent_at)
        ]

    def _seems_lost(self, now: float, worker: Worker, sent_at: float) -> bool:
        """Whether an attempt is silent for unusually long, though later-sent ones were answered."""
        return sent_at <= worker.last_answered_sent_at and now - sent_at > self._silence_limit(worker)

    def _is_healthy(self, now: float, worker: Worker) -> bool:
        """Whether a worker is neither ejected, nor busy with a trial after a failure, nor stalled."""
        if not worker.in_flight:
            return not worker.consecutive_failures or now >= worker.ejected_until
        if worker.consecutive_failures and (
            now < worker.ejected_until or self._queued_send_times(now, worker)
        ):
            return False  # one trial at a time
        return not self._is_stalled(now, worker)

    def _is_warming_up(self, now: float, worker: Worker) -> bool:
        """Whether a worker started so recently that it may still be cold."""
        started_at = worker.entry.started_at
        return started_at is not None and now - started_at < self._settings.warmup_time

    def _warmup_fraction(self, now: float, worker: Worker) -> float:
        """The share of its capacity that a worker has.

        It grows linearly from `initial_warmup_fraction` to 1 over `warmup_time`.
        """
        if not self._is_warming_up(now, worker):
            return 1.0
        age = max(0.0, now - (worker.entry.started_at or 0.0))
        return (
            self._settings.initial_warmup_fraction
            + (1 - self._settings.initial_warmup_fraction) * age / self._settings.warmup_time
        )

    def _warm_service_rate(
        self, now: float, warmup: float, subset_size: int, sharing_gateways: float
    ) -> float:
        """Estimate how many of this gateway's requests a second a worker can serve once it is warm.

        It is the higher of two estimates. The first is the rate of successes for each worker, divided by the
        mean warm-up fraction of the workers (or this worker's own, if that is higher): where all are cold,
        the rate shows only that fraction of their capacity. The second is the rate of one core at the
        shortest response time known, shared by the gateways that send to the worker: under congestion the
        rate of successes says nothing. The first estimate counts only in part while it rests on one or two
        responses: it is right on average, but each gateway takes the higher of its two estimates, and the sum
        of these over all gateways is too high. Trade-off: where each gateway sees few responses, cold workers
        with many cores get less than they could serve.
        """
        if now - self._mean_warmup_at >= WARMUP_CACHE_SHARE * self._settings.overload_window:
            fractions = [self._warmup_fraction(now, w) for w in self.workers.values() if w.usable]
            self._mean_warmup, self._mean_warmup_at = sum(fractions) / max(1, len(fractions)), now
        self._decay_successes(now)
        served_rate = (
            self._recent_successes
            / RATE_TIME_CONSTANT
            / max(1, subset_size)
            / max(self._mean_warmup, warmup, 1e-6)
        )
        return max(
            served_rate * min(1.0, self._recent_successes / FULL_RATE_RESPONSES),
            1 / self._min_response_time / sharing_gateways,
        )

    def _has_free_slot(self, now: float, worker: Worker) -> bool:
        """Whether slow start lets this gateway send to a worker now.

        Slow start bounds what all gateways together send to a worker that started recently. In a span of
        `overload_window` a worker serves its capacity x span, so at most (overload factor - 1) x capacity x
        span may be in flight; each gateway has an equal share of these slots. With subsets, the gateways that
        have the worker in theirs share the slots, and the others don't send to it. An attempt that was not
        served keeps its slot for a span: otherwise a worker that fails at once would get any number of
        requests. Where the share is below one slot, even one attempt from each gateway is too much, and the
        gateways take turns.
        """
        if not self._is_warming_up(now, worker):
            return True
        subset_size = len(self._subset)
        if subset_size < self.usable_worker_count and worker not in self._subset:
            return False
        sharing_gateways = max(
            1.0, self._settings.gateway_count * subset_size / max(1, self.usable_worker_count)
        )
        capacity_ratio = (
            min(1.0, worker.entry.relative_capacity / self._mean_capacity)
            if worker.entry.relative_capacity > 0
            else 1.0
        )
        warmup = self._warmup_fraction(now, worker)
        capacity = (
            warmup
            * capacity_ratio
            * self._warm_service_rate(now, warmup, subset_size, sharing_gateways)
            * self._settings.overload_window
        )
        slots = int((self._settings.overload_factor - 1) * capacity)
        if not slots and sharing_gateways > MIN_SHARED_IN_FLIGHT:
            # Without indexes some turns coincide by chance, so there are fewer of them.
            min_turns = (
                MIN_TURNS_WITH_INDEX if self._settings.gateway_index is not None else MIN_TURNS_WITHOUT_INDEX
            )
            turns_per_span = max(
                TURN_LOAD_SHARE * self._settings.overload_factor * capacity, min_turns / sharing_gateways
            )
            if not self._has_turn(now, worker, turns_per_span):
                return False
        while worker.slot_expiries and worker.slot_expiries[0] <= now:
            worker.slot_expiries.popleft()
        return len(worker.in_flight) + len(worker.slot_expiries) < max(1, slots)

    def _has_turn(self, now: float, worker: Worker, turns_per_span: float) -> bool:
        """Whether this gateway has a turn at a cold worker, of which it has some in each `overload_window`.

        The gateways that share a worker start at phases spread evenly over the interval, derived from their
        indexes and the worker's start time, so that a restarted gateway continues the previous schedule. This
        keeps turns from coinciding by chance. A turn that is not used soon expires, since turns saved up
        while there is nothing to send would coincide as well. Trade-off: a gateway with few requests misses
        turns.

        When the interval changes, the remaining wait is scaled with it both ways: if it were only shortened,
        it would end too early whenever the estimated rate fluctuates.
        """
        interval = max(1e-6, self._settings.overload_window / turns_per_span)
        earliest_valid = now - TURN_VALIDITY_SHARE * self._settings.overload_window
        if worker.next_turn_at is None:
            phase = self._ring_position if self._ring_position is not None else self._random.random()
            if len(self._subset) < self.usable_worker_count:
                # The worker's position within this gateway's subset.
                phase = (self._subset.index(worker) - phase * self.usable_worker_count % 1) / len(
                    self._subset
                )
            # Differs by worker: otherwise a gateway's turns at all workers would coincide.
            phase += Random(worker.entry.name).random()
            elapsed_fraction = (phase + (now - (worker.entry.started_at or 0.0)) / interval) % 1.0
            worker.next_turn_at = now + interval * (1.0 - elapsed_fraction)
        elif worker.next_turn_at > now:
            worker.next_turn_at = now + (worker.next_turn_at - now) * interval / worker.turn_interval
        elif worker.next_turn_at < earliest_valid:
            worker.next_turn_at += interval * math.ceil((earliest_valid - worker.next_turn_at) / interval)
        worker.turn_interval = interval
        return now >= worker.next_turn_at

    def _decayed_latency(self, now: float, worker: Worker) -> float:
        """A worker's response time over the usual one; decays to 1, so that the worker is tried again."""
        return 1.0 + (worker.relative_latency - 1.0) * math.exp(
            (worker.latency_updated_at - now) / ESTIMATE_TIME_CONSTANT
        )

    def _decay_successes(self, now: float) -> None:
        """Decay the count of recent successes to the present time."""
        self._recent_successes *= math.exp((self._successes_updated_at - now) / RATE_TIME_CONSTANT)
        self._successes_updated_at = now

    def _candidates(self, now: float) -> list[Worker]:
        """The healthy workers, or all usable ones if fewer than half of them look healthy.

        When most workers look unhealthy, the cause is overload, which the throttle handles.
        """
        usable = [w for w in self.workers.values() if w.usable]
        healthy = [w for w in usable if self._is_healthy(now, w)]
        return healthy if 2 * len(healthy) >= len(usable) else usable

    def is_overloaded(self, now: float, quota_headroom: float) -> bool:
        """Whether one more request would likely miss its latency target.

        The gateway then gives the overload signal that the workers can't give. By Little's law, the number of
        attempts in flight over the rate of successes is the time that a new request takes. The mean age of
        the attempts in flight must be high as well, since a burst on idle workers has many in flight and no
        rate yet. Stalled workers don't count, and one attempt at each worker (`MIN_SHARED_IN_FLIGHT` for all
        gateways together) may always be in flight, so that refusals can't bring the rate to zero. The bounds
        are shares of the shortest latency target for all classes: if each class had its own bound, the one
        with the longest target would take all capacity. With few samples, requests are refused at
        random, and less often the more `quota_headroom` (0 to 1) there is.

        This detects overloads that time-outs show too late: slowdown of all workers, lost capacity, floods of
        requests, retries. Trade-off: responses that are long by nature look like a backlog where latency
        targets are tight.
        """
        self._decay_successes(now)
        if self.has_few_samples():
            return self._refusal_probability(now) / (1 + quota_headroom) > self._random.random()
        candidates = self._candidates(now)
        queued = [self._queued_send_times(now, w) for w in candidates]
        in_flight = sum(map(len, queued))
        if in_flight <= len(candidates) * min(1.0, MIN_SHARED_IN_FLIGHT / self._settings.gateway_count):
            return False
        mean_age = now - sum(map(sum, queued)) / in_flight
        return (
            mean_age > MAX_AGE_SHARE * self._min_latency_target
            and in_flight
            > MAX_WAIT_SHARE * self._min_latency_target * self._recent_successes / RATE_TIME_CONSTANT
        )

    def has_few_samples(self) -> bool:
        """Whether too few attempts are in flight or recently answered to estimate a queue by Little's law."""
        return len(self._within_target) + self._recent_successes < MIN_SAMPLES

    def _refusal_probability(self, now: float) -> float:
        """The share of requests to refuse, from the last responses, with too few samples for Little's law.

        It follows the average response time as a share of the latency target, over the recent responses of
        all workers and, by their ages, the attempts in flight. Some usual responses are added, so that one or
        two responses have little effect. A lost response counts once, with its latency target as response
        time, if the other responses are slow. Trade-off: it reacts seconds late.
        """
        decay = math.exp((self._sums_updated_at - now) / SUMS_TIME_CONSTANT)
        time_sum, prior_targets = self._time_sum * decay, PRIOR_SUM_RESPONSES * self._min_latency_target
        in_flight = [
            (sent_at, latency_target)
            for sent_at, latency_target, worker in self._within_target.values()
            if not self._seems_lost(now, worker, sent_at)
        ]
        total_age = sum(now - sent_at for sent_at, _ in in_flight)
        lost_targets = 0.0 if self.silence_means_loss() else self._lost_target_sum * decay
        in_flight_targets = sum(latency_target for _, latency_target in in_flight)
        # While the service rate is unknown, the attempts in flight count by their ages alone.
        rate_unknown = self._response_count < MIN_SAMPLES
        target_share = (MAX_AGE_SHARE * prior_targets + time_sum + lost_targets + total_age) / (
            prior_targets
            + self._target_sum * decay
            + lost_targets
            + (in_flight_targets if rate_unknown else 0.0)
        )
        # The attempts in flight over their usual number, which by Little's law is the sum of the response
        # times over the time in which they were summed.
        concurrency_ratio = (1 + len(in_flight)) / (1 + max(1.0, time_sum / SUMS_TIME_CONSTANT))
        if rate_unknown or total_age < BURST_AGE_SHARE * in_flight_targets:
            concurrency_ratio = min(1.0, concurrency_ratio)  # many, but all recent: a burst on idle workers
        return (target_share * concurrency_ratio - REFUSE_NONE_SHARE) / (REFUSE_ALL_SHARE - REFUSE_NONE_SHARE)

    def pick_worker(
        self,
        now: float,
        request_class: RequestClass,
        tried: set[str],
        zone: str | None = None,
        cell: int | None = None,
    ) -> str | None:
        """The worker with the least expected wait, or None.

        A gateway among many sends to each worker too seldom to estimate its wait, and all gateways would
        choose the same worker at once. So it prefers its subset of the workers, to each of which it sends
        often.
        """
        if len(self._subset) < self.usable_worker_count and zone is None and cell is None:
            healthy = [w for w in self._subset if self._is_healthy(now, w)]
            eligible = [
                w
                for w in (healthy if 2 * len(healthy) >= len(self._subset) else self._subset)
                if w.entry.name not in tried and self._has_free_slot(now, w)
            ]
            if eligible:
                return self._pick_least_wait(now, request_class, eligible)
        eligible = [
            w
            for w in self._candidates(now)
            if w.entry.name not in tried
            and zone in (None, w.entry.zone)
            and cell in (None, w.entry.cell)
            and self._has_free_slot(now, w)
        ]
        return self._pick_least_wait(now, request_class, eligible) if eligible else None

    def _pick_least_wait(self, now: float, request_class: RequestClass, eligible: list[Worker]) -> str:
        """The worker with the least expected wait, with some randomness among nearly equal ones.

        The wait includes the cost of a lost response: the time until it is noticed where the request may be
        repeated, the whole latency target where it may not. So requests that may not be repeated avoid
        network paths and workers that lose requests or responses, for whatever reason. Repeatable requests
        use these workers at a lower load of the others, and all requests do where the others are busy enough.
        Trade-off: a few losses by chance make the load uneven for seconds.
        """
        unrepeatable = request_class.effect == SIDE_EFFECT
        loss_cost = (
            max(
                STALL_FACTOR,
                request_class.latency_target / max(self.usual_response_time(request_class), 1e-6),
            )
            if unrepeatable
            else STALL_FACTOR
        )
        return min(
            eligible,
            key=lambda w: (self._expected_wait(now, w) + loss_cost * self._loss_rate(now, w, request_class))
            * (1.0 + WAIT_JITTER * self._random.random()),
        ).entry.name

    def _expected_wait(self, now: float, worker: Worker) -> float:
        """The expected wait at a worker, in usual response times."""
        zone_factor = 1.0 if worker.entry.zone == self._settings.zone else CROSS_ZONE_FACTOR
        return (
            self._decayed_latency(now, worker) * (1 + len(self._queued_send_times(now, worker))) * zone_factor
        )

    def _loss_rate(self, now: float, worker: Worker, request_class: RequestClass) -> float:
        """The share of a class that a worker leaves unanswered; decays, so that the worker is tried again."""
        loss_rate, updated_at = worker.loss_rates.get(request_class.name, (0.0, now))
        return loss_rate * math.exp((updated_at - now) / ESTIMATE_TIME_CONSTANT)

    def record_loss_sample(
        self, now: float, worker_name: str, request_class: RequestClass, lost: bool = True
    ) -> None:
        """Record that an attempt at a worker got no response or, if not `lost`, that it got one.

        The loss rate is kept by class, since a worker may serve one class well and lose another.
        """
        worker = self.workers.get(worker_name)
        if worker is not None and (lost or request_class.name in worker.loss_rates):
            loss_rate = self._loss_rate(now, worker, request_class)
            worker.loss_rates[request_class.name] = loss_rate + EWMA_WEIGHT * (lost - loss_rate), now

    def record_sent(
        self, now: float, worker_name: str, attempt_key: tuple[str, int], request_class: RequestClass
    ) -> None:
        """Record that an attempt was sent to a worker."""
        worker = self.workers[worker_name]
        worker.in_flight[attempt_key] = now
        self._within_target[attempt_key] = (now, request_class.latency_target, worker)
        if worker.next_turn_at is not None:
            worker.next_turn_at = min(worker.next_turn_at, now) + worker.turn_interval

    def record_past_target(self, now: float, attempt_key: tuple[str, int]) -> None:
        """Record that an attempt is past its latency target.

        It counts as late only this once, since from now on it may be lost rather than queued.
        """
        if (attempt := self._within_target.pop(attempt_key, None)) is not None:
            self._add_to_sums(now, 0.0, 0.0, attempt[1])

    def _add_to_sums(
        self, now: float, response_time: float, latency_target: float, lost_target: float = 0.0
    ) -> None:
        """Decay the sums over recent responses to the present time, and add to them."""
        decay, self._sums_updated_at = math.exp((self._sums_updated_at - now) / SUMS_TIME_CONSTANT), now
        self._time_sum, self._target_sum = (
            self._time_sum * decay + response_time,
            self._target_sum * decay + latency_target,
        )
        self._lost_target_sum = self._lost_target_sum * decay + lost_target

    def silence_means_loss(self) -> bool:
        """Whether silence means lost responses, not load: responses are fast and not outweighed by losses.

        This keeps losses in the network and workers that hang or crash from starting the throttle. Trade-off:
        where only part of the fleet is overloaded, only late responses start the throttle, not silence.
        """
        return (
            self._time_sum < FAST_RESPONSE_SHARE * self._target_sum
            and self._lost_target_sum <= self._target_sum
        )

    def has_answered_later_attempt(self, worker_name: str, sent_at: float) -> bool:
        """Whether a worker has answered an attempt sent at that time or later."""
        return (
            worker := self.workers.get(worker_name)
        ) is not None and sent_at <= worker.last_answered_sent_at

    def worker_loses_class(self, now: float, worker_name: str, request_class: RequestClass) -> bool:
        """Whether a worker keeps losing a large share of a class of which another worker loses little.

        Its silence then means lost responses, not load. Without this check, the silence of lossy network
        paths and of workers that served only part of their requests lowered the rate of the whole fleet and
        denied hedges to the requests that they had lost. Trade-off: a worker that is overloaded alone is
        noticed only by late responses and by refusals, not by silence.
        """
        if (worker := self.workers.get(worker_name)) is None:
            return False
        lowest = min(
            (self._loss_rate(now, w, request_class) for w in self.workers.values() if w.usable), default=0.0
        )
        return self._loss_rate(now, worker, request_class) > max(MIN_LOSS_RATE, MIN_LOSS_RATIO * lowest)

    def _clock_was_running(self, now: float, sent_at: float, response_time: float) -> bool:
        """Whether the response time of an attempt was measured by a running clock.

        A response time of zero shows that the clock stood still, as it does after a suspension, a step
        backwards, or a start whose own work had been counted in advance. Attempts sent up to that time took
        longer than measured. Without this check, a usual response time of zero made a gateway that had just
        started hedge every request at once, with all its attempts. Trade-off: with a coarse clock, nothing is
        learned from the fastest responses.
        """
        if response_time <= 0:
            self._clock_stopped_until = now
        return sent_at > self._clock_stopped_until

    def record_outcome(
        self,
        now: float,
        worker_name: str,
        attempt_key: tuple[str, int],
        request_class: RequestClass,
        status: str,
        response_time: float,
    ) -> None:
        """Record the outcome of an attempt, also after its request has ended."""
        self._within_target.pop(attempt_key, None)
        worker = self.workers.get(worker_name)
        sent_at = worker.in_flight.pop(attempt_key, None) if worker is not None else None
        if worker is None or sent_at is None:
            return
        if status not in (SUCCESS, NOT_SENT) and self._warmup_fraction(now, worker) < 1:
            worker.slot_expiries.append(now + self._settings.overload_window)
        if status in (CANCELLED, NOT_SENT):
            return
        if status in (SUCCESS, OVERLOADED, FAILURE, MALFORMED_RESPONSE):
            worker.last_response_at, worker.last_answered_sent_at = (
                now,
                max(worker.last_answered_sent_at, sent_at),
            )
            self.record_loss_sample(now, worker_name, request_class, lost=False)
        elif status == CONNECTION_LOST:
            self.record_loss_sample(now, worker_name, request_class)
        if status == SUCCESS:
            self._decay_successes(now)
            self._recent_successes += 1
            worker.consecutive_failures = 0
            if not self._clock_was_running(now, sent_at, response_time):
                return
            self._add_to_sums(now, response_time, request_class.latency_target)
            worker.relative_latency = self._decayed_latency(now, worker)
            previous_mean = self._record_response_time(request_class, response_time)
            worker.relative_latency += EWMA_WEIGHT * (
                min(MAX_RELATIVE_LATENCY, response_time / max(previous_mean, 1e-6)) - worker.relative_latency
            )
            worker.latency_updated_at = now
            self._response_count += 1
            if self._response_count < MIN_SAMPLES:
                # Classes without responses yet may take longer, so their initial guesses count as well.
                self._min_response_time = max(
                    max(self.usual_response_time(c), self._mean_response_times.get(c.name, 0.0))
                    for c in self._settings.classes
                )
            else:
                self._min_response_time = min(
                    self._min_response_time, max(self._mean_response_times.values())
                )
        elif status not in (OVERLOADED, MALFORMED_RESPONSE):  # these say nothing about the worker's health
            worker.consecutive_failures += 1
            sudden = status in (UNREACHABLE, CONNECTION_LOST)
            if sudden or worker.consecutive_failures >= EJECTION_FAILURES:
                doublings = worker.consecutive_failures - (1 if sudden else EJECTION_FAILURES)
                worker.ejected_until = now + min(
                    MAX_BACKOFF, INITIAL_BACKOFF * 2 ** min(doublings, MAX_BACKOFF_DOUBLINGS)
                )
