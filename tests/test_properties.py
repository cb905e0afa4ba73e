"""Property-based tests: the policy's rules hold for random valid sequences of events."""

import math
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from policy_driver import PolicyDriver

from wrenladder.policy.actions import Action, Cancel, Fail, Refuse, Send
from wrenladder.policy.events import (
    CANCELLED,
    CONNECTION_LOST,
    DRAINING,
    FAILURE,
    HEALTHY,
    NEVER_RAN,
    OVERLOADED,
    REMOVED,
    SUCCESS,
    TIMED_OUT,
    UNREACHABLE,
    Abandoned,
    Event,
    ShutdownStarted,
    WorkerEntry,
    WorkerList,
)
from wrenladder.policy.settings import PURE, SIDE_EFFECT, TOKEN

STATUSES = [SUCCESS, FAILURE, OVERLOADED, TIMED_OUT, UNREACHABLE, CONNECTION_LOST]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "submit",
                "submit",
                "submit",
                "finish",
                "finish",
                "list_worker",
                "wait",
                "abandon",
                "shut_down",
            ]
        ),
        st.integers(0, 10**6),
    ),
    min_size=5,
    max_size=150,
)
CLASS_EFFECTS = {"read": PURE, "keyed": TOKEN, "write": SIDE_EFFECT}


class RuleChecker(PolicyDriver):
    """A policy driver that simulates clients and workers, and checks every action against the rules."""

    def __init__(self, **settings_changes: Any) -> None:
        self.pending_requests: dict[str, dict[str, Any]] = {}
        self.attempts_in_flight: dict[tuple[str, int], dict[str, Any]] = {}
        self.worker_states: dict[str, str] = {f"w{n}": HEALTHY for n in range(6)}
        self.worker_start_times: dict[str, float] = {}
        self.ceiling_usage: list[tuple[float, float]] = []
        self.shutdown_deadline = math.inf  # of all requests
        self.concurrent_attempts = settings_changes.get("concurrent_attempts", True)
        super().__init__(**settings_changes)

    def handle(self, event: Event, delay: float = 0.0) -> list[Action]:
        """Handle an event and check the resulting actions."""
        actions = super().handle(event, delay)
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse):
                attempts = self.pending_requests.pop(action.request_id)["attempts"]
                assert all(a["status"] in NEVER_RAN for a in attempts)
            elif isinstance(action, Fail):
                del self.pending_requests[action.request_id]
            elif (
                isinstance(action, Cancel)
                and (key := (action.request_id, action.attempt_number)) in self.attempts_in_flight
            ):
                self.attempts_in_flight[key]["cancelled"] = True
        return actions

    def check_send(self, action: Send) -> None:
        """Check the rules for a new attempt."""
        request = self.pending_requests[action.request_id]  # a KeyError if the request has ended
        attempts = request["attempts"]
        assert self.now < request["deadline"]
        assert self.worker_states[action.worker] == HEALTHY
        assert self.concurrent_attempts or all(a["status"] for a in attempts)
        possible_runs = [a for a in attempts if a["status"] not in NEVER_RAN]
        if possible_runs and request["effect"] == SIDE_EFFECT:
            raise AssertionError("a side-effect request that may have run was sent again")
        if possible_runs and request["effect"] == TOKEN:
            assert int(possible_runs[0]["worker"][1]) % 3 == int(action.worker[1]) % 3
            assert self.now <= possible_runs[0]["sent_at"] + 2.0
        attempt = {"worker": action.worker, "sent_at": self.now, "status": "", "cancelled": False}
        if not attempts and request["plan"] == "capped":
            self.ceiling_usage.append((self.now, request["units"]))
            for start, _ in self.ceiling_usage:  # in every time span: a third of the ceiling's burst and rate
                used_units = sum(u for t, u in self.ceiling_usage if t >= start)
                assert used_units <= 24.0 / 3 + 6.0 / 3 * (self.now - start) + 1e-6
        worker_start = self.worker_start_times.get(action.worker, -99.0)
        if self.now - worker_start < 1.0:
            assert not any(
                other["worker"] == action.worker and other["sent_at"] >= worker_start
                for other in self.attempts_in_flight.values()
            )
        attempts.append(attempt)
        self.attempts_in_flight[action.request_id, len(attempts) - 1] = attempt

    def step(self, kind: str, number: int) -> None:
        """Simulate one event of a kind; its details are derived from a random number."""
        self.now += (number % 7) * 0.013
        if kind == "submit":
            request_class = list(CLASS_EFFECTS)[number % 3]
            plan = ["free", "metered", "capped", "few"][number // 3 % 4]
            request_id = f"r{self.request_count + 1}"
            time_left = 1.0 + number % 4
            units = 1.0 + number // 12 % 3
            self.pending_requests[request_id] = {
                "effect": CLASS_EFFECTS[request_class],
                "attempts": [],
                "deadline": min(self.now + time_left, self.shutdown_deadline),
                "plan": plan,
                "units": units,
            }
            self.submit(request_class, plan, f"{plan}-one", units, time_left=time_left)
        elif kind == "finish" and self.attempts_in_flight:
            key = list(self.attempts_in_flight)[number % len(self.attempts_in_flight)]
            attempt = self.attempts_in_flight.pop(key)
            status = (
                CANCELLED if attempt["cancelled"] and number % 2 else STATUSES[number // 5 % len(STATUSES)]
            )
            attempt["status"] = status
            request_ended = key[0] not in self.pending_requests or status == SUCCESS
            if request_ended:
                self.pending_requests.pop(key[0], None)
            self.finish_attempt(
                key[0],
                attempt["worker"],
                status,
                attempt_number=key[1],
                request_ended=request_ended,
                duration=self.now - attempt["sent_at"],
                metered_usage=[None, 0.1, 2.0][number % 3],
            )
        elif kind == "list_worker":
            worker_name = f"w{number % 6}"
            state = [HEALTHY, DRAINING, REMOVED, HEALTHY][number // 6 % 4]
            self.worker_states[worker_name], started_at = state, None
            if state == HEALTHY:
                self.worker_start_times[worker_name] = started_at = self.now
            self.handle(
                WorkerList(
                    (
                        WorkerEntry(
                            worker_name, "abc"[number % 6 % 3], number % 6 // 2, state, started_at=started_at
                        ),
                    )
                )
            )
        elif kind == "wait":
            self.advance(number % 900 / 1000)
        elif kind == "shut_down" and self.shutdown_deadline == math.inf:
            time_left = number % 3000 / 1000
            self.shutdown_deadline = self.now + time_left
            for request in self.pending_requests.values():
                request["deadline"] = min(request["deadline"], self.shutdown_deadline)
            self.handle(ShutdownStarted(time_left))
        elif kind == "abandon" and self.pending_requests:
            request_id = list(self.pending_requests)[number % len(self.pending_requests)]
            del self.pending_requests[request_id]
            self.handle(Abandoned(request_id))


@given(STEPS, st.booleans(), st.booleans())
def test_rules_hold_for_any_valid_event_order(steps, concurrent_attempts, can_cancel):
    checker = RuleChecker(concurrent_attempts=concurrent_attempts, can_cancel=can_cancel)
    for kind, number in steps:
        checker.step(kind, number)
        assert (
            all(checker.now <= r["deadline"] for r in checker.pending_requests.values())
            or checker.advance(0) is not None
        )
    for key, attempt in list(checker.attempts_in_flight.items()):  # every attempt gets its outcome
        checker.advance(0.01)
        attempt["status"] = TIMED_OUT
        del checker.attempts_in_flight[key]
        checker.finish_attempt(
            key[0],
            attempt["worker"],
            TIMED_OUT,
            attempt_number=key[1],
            request_ended=key[0] not in checker.pending_requests,
        )
    checker.advance(10)
    assert not checker.pending_requests  # every request had its final reply
    assert not checker.gateway._pending and not checker.gateway._timers  # no state is left
    assert set(checker.gateway._in_flight) == set(checker.attempts_in_flight)


@given(STEPS)
def test_same_events_produce_same_actions(steps):
    action_logs = []
    for _ in range(2):
        checker, action_log = RuleChecker(), []
        original_handle = checker.handle
        checker.handle = (
            lambda e, delay=0.0, original_handle=original_handle, action_log=action_log: action_log.append(
                original_handle(e, delay)
            )
            or action_log[-1]
        )
        for kind, number in steps:
            checker.step(kind, number)
        action_logs.append(action_log)
    assert action_logs[0] == action_logs[1]
