"""Overload control: a leaky bucket whose leak rate holds the overload signal rate near a target.

Implements BT contribution C4-051699: measure the overload signals, update the leak rate, pause, repeat.
"""

from __future__ import annotations

from collections import deque

# "Specification" is C4-051699; its figure is given where it differs or is the source of a ratio. The baseline
# rate is the rate of admitted requests just before control started.
MEASUREMENT_PERIOD = 2.0  # seconds before each update of the leak rate (specification: 4)
MEASUREMENT_PAUSE = 0.5  # seconds after an update that are not measured (specification: 1)
MIN_WINDOW_SHARE = 0.1  # of the measurement period: least time that an admission rate is measured over
MIN_BASELINE_REQUESTS = 1.0  # lower bound of the baseline rate, in requests per measurement period
MAX_FILL = 5.0  # bucket size, in requests; the bucket is full when control starts
FILL_PER_REQUEST = 1.0  # fill that an admitted request adds to the bucket
# Bounds of the leak rate, relative to the baseline rate (specification: leak intervals of 1 s and 22 ms,
# relative to 0.1 s).
MIN_LEAK_RATIO = 0.1
MAX_LEAK_RATIO = 4.5
TARGET_SIGNAL_RATIO = 0.05  # target signal rate over the baseline rate (specification: 1 of 11 a second)
MIN_TARGET_SIGNALS = 3.0  # lower bound of the target, in signals per period: fewer can occur by chance
# A signal rate below the target divided by this can be chance, and would hold a low leak rate down for long.
CHANCE_FACTOR = 2
# Bounds of the factor of one update: the signals of a backlog overstate the excess load.
MIN_UPDATE_FACTOR = 0.7
MAX_UPDATE_FACTOR = 1.25
ADDITIVE_INCREASE_RATIO = 0.4  # of the baseline rate, added when requests are refused without signals
CONTROL_END_DELAY = 10.0  # seconds without refusals or excess signals, after which control ends
WORKERS_PER_SIGNALLER = 3.0  # control starts only if at least one in this many workers gives signals
MIN_SIGNALLING_PLAN_SHARE = 2 / 3  # control starts only if requests of this share of the plans give signals


class Throttle:
    """Leaky bucket admission with a control loop that adapts the leak rate to overload signals."""

    def __init__(self, now: float, plan_count: int) -> None:
        self.control_active = False
        self.leak_rate = self.baseline_rate = self.bucket_fill = 0.0
        self.worker_count, self.plan_count = 1, plan_count
        self._created_at = now
        self._leaked_at = now
        self._period_start = now  # of the measurement period
        self._next_update_at = now  # of the leak rate
        self._quiet_since = now  # the last update that found refusals or excess signals
        self._updated_at = now
        self._admission_times: deque[float] = deque()
        self._refusal_times: deque[float] = deque()
        self._signals: deque[tuple[float, str, str]] = deque()  # time, worker and plan

    def target_signal_rate(self, baseline_rate: float) -> float:
        """Return the target rate of overload signals, per second."""
        return max(MIN_TARGET_SIGNALS / MEASUREMENT_PERIOD, TARGET_SIGNAL_RATIO * baseline_rate)

    def _capped_signal_count(self, baseline_rate: float) -> float:
        """Count the recorded signals, up to a cap for each worker and for each plan.

        Overload shows at many workers and in most plans at once. The caps keep a few faulty or cold workers,
        or one plan whose requests fail everywhere, from throttling all traffic. Problems confined to a few
        workers or to one plan are left to `Fleet` and `Quotas`. Where only one of several plans is in use,
        the control loop counts fewer signals than there are.
        """
        target_count = self.target_signal_rate(baseline_rate) * MEASUREMENT_PERIOD
        totals = []
        for field, min_sources in (
            (1, self.worker_count / WORKERS_PER_SIGNALLER),
            (2, self.plan_count * MIN_SIGNALLING_PLAN_SHARE),
        ):
            counts: dict[str | float, int] = {}
            for signal in self._signals:
                counts[signal[field]] = counts.get(signal[field], 0) + 1
            cap = max(1.0, target_count / max(1.0, min_sources))
            totals.append(sum(min(cap, count) for count in counts.values()))
        return min(totals)

    def _discard_before(self, start: float) -> None:
        for times in (self._admission_times, self._refusal_times):
            while times and times[0] < start:
                times.popleft()
        while self._signals and self._signals[0][0] < start:
            self._signals.popleft()

    def record_overload_signal(self, now: float, worker: str, plan: str, sent_at: float) -> None:
        """Record an overload signal.

        Signals are a refusal by an overloaded worker or by the gateway's own overload check, a time-out and a
        missed latency target.

        Under control, signals of attempts sent before the last update are ignored: they say nothing about the
        present leak rate, and a backlog would keep lowering the rate long after it is low enough.
        """
        self.update_control(now)
        if self.control_active and sent_at < self._updated_at:
            return
        self._signals.append((now, worker, plan))
        self.update_control(now)

    def update_control(self, now: float) -> None:
        """Start or end control, or update the leak rate, if that is due."""
        if not self.control_active:
            self._discard_before(now - MEASUREMENT_PERIOD)
            window = max(
                MIN_WINDOW_SHARE * MEASUREMENT_PERIOD, min(MEASUREMENT_PERIOD, now - self._created_at)
            )
            admission_rate = len(self._admission_times) / window
            if (
                self._signals
                and self._capped_signal_count(admission_rate)
                >= self.target_signal_rate(admission_rate) * MEASUREMENT_PERIOD
            ):
                self.control_active = True
                self.baseline_rate = max(admission_rate, MIN_BASELINE_REQUESTS / MEASUREMENT_PERIOD)
                self.leak_rate = max(admission_rate, MIN_BASELINE_REQUESTS / MEASUREMENT_PERIOD)
                self.bucket_fill = MAX_FILL
                self._leaked_at = now
                self._quiet_since = now
                self._updated_at = now
                self._start_period(now)
        elif now >= self._next_update_at:
            window = now - self._period_start
            self._discard_before(self._period_start)
            signal_rate = self._capped_signal_count(self.baseline_rate) / window
            target = self.target_signal_rate(self.baseline_rate)
            new_rate = self.leak_rate + ADDITIVE_INCREASE_RATIO * self.baseline_rate
            if CHANCE_FACTOR * signal_rate > target:
                new_rate = (
                    len(self._admission_times)
                    / window
                    * min(MAX_UPDATE_FACTOR, max(MIN_UPDATE_FACTOR, target / signal_rate))
                )
            if self._refusal_times or new_rate < self.leak_rate:  # not raised while nothing is refused
                self.leak_rate = min(
                    MAX_LEAK_RATIO * self.baseline_rate, max(MIN_LEAK_RATIO * self.baseline_rate, new_rate)
                )
            if self._refusal_times or signal_rate > self.target_signal_rate(self.baseline_rate):
                self._quiet_since = now
            elif now - self._quiet_since >= CONTROL_END_DELAY:
                self.control_active = False
            self._updated_at = now
            self._start_period(now + MEASUREMENT_PAUSE)

    def _start_period(self, start: float) -> None:
        self._period_start, self._next_update_at = start, start + MEASUREMENT_PERIOD
        if self.control_active:
            self._discard_before(start)

    def admit(self, now: float) -> bool:
        """Return whether the bucket admits a request; admissions and refusals are both recorded."""
        self.update_control(now)
        if self.control_active:
            self.bucket_fill = max(0.0, self.bucket_fill - (now - self._leaked_at) * self.leak_rate)
            self._leaked_at = now
            if self.bucket_fill + FILL_PER_REQUEST > MAX_FILL:
                self._refusal_times.append(now)
                return False
            self.bucket_fill += FILL_PER_REQUEST
        self._admission_times.append(now)
        return True
