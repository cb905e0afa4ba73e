"""Tests of the bridge with a scripted policy in place of the real one.

Attempts end exactly once, requests end by their deadline, and an error affects only its own request.
"""

import asyncio
import errno
from collections.abc import Callable

import pytest
from stand_ins import StubWorker, never_respond, respond_when_released, run_scenario, wait_until

from wrenladder.policy.actions import Action, Cancel, Fail, Refuse, Send, SetTimer
from wrenladder.policy.events import (
    CANCELLED,
    CONNECTION_LOST,
    NOT_SENT,
    SUCCESS,
    TIMED_OUT,
    UNREACHABLE,
    Abandoned,
    Event,
    Outcome,
    Request,
    ShutdownStarted,
    TimerFired,
    WorkerList,
)
from wrenladder.policy.settings import SIDE_EFFECT, Plan, RequestClass, Settings
from wrenladder.proxy.bridge import Bridge, ProxiedRequest
from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.worker_connection import WorkerConnection
from wrenladder.proxy.worker_pool import WorkerPool

SETTINGS = Settings((RequestClass("write", 1.0, 4.0, SIDE_EFFECT),), (Plan("free"),), max_attempts=2)


class ScriptedPolicy:
    """Stands in for the policy: `actions_for` returns the actions for each event; all events are recorded."""

    def __init__(self, actions_for: Callable[[Event], list[Action]]) -> None:
        self.actions_for, self.events = actions_for, []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Record the event and return the scripted actions."""
        self.events.append(event)
        return self.actions_for(event)

    def outcomes(self) -> list[tuple[int, str, bool]]:
        """Return the number, status and `request_ended` of each attempt that has ended."""
        return [(e.attempt_number, e.status, e.request_ended) for e in self.events if isinstance(e, Outcome)]


class BridgeHarness:
    """A bridge with a scripted policy and real worker connections; it records the status of each reply."""

    def __init__(self, actions_for: Callable[[Event], list[Action]], **settings_changes: object) -> None:
        self.loop = asyncio.get_running_loop()
        self.policy = ScriptedPolicy(actions_for)
        self.worker_pool = WorkerPool(self.loop, 10, 0.25, 15.0, 0.5)
        defaults = {name: getattr(SETTINGS, name) for name in SETTINGS.__slots__}
        self.bridge = Bridge(
            self.loop, Settings(**{**defaults, **settings_changes}), self.policy, self.worker_pool
        )
        self.replies: list[int] = []

    def list_workers(self, *workers: StubWorker, **entry_changes: object) -> None:
        """Apply a snapshot of the worker list with these workers."""
        self.bridge.apply_worker_list_update(
            WorkerListUpdate(
                {"index": 1, "snapshot": True, "endpoints": [w.list_entry(**entry_changes) for w in workers]},
                0.0,
            )
        )

    def submit(self, request_id: str = "r", time_left: float = 3.0) -> ProxiedRequest:
        """Submit a request to the bridge."""
        event = Request(request_id, "write", "free", "c", time_left)
        head = b"POST / HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 0\r\n"
        return self.bridge.submit(
            event,
            head,
            b"",
            self.loop.time() + time_left,
            lambda status, headers, body: self.replies.append(status),
        )


def actions_on(event_type: type, *actions: Action) -> Callable[[Event], list[Action]]:
    """Return a function that gives these actions for events of one type, and none for others."""
    return lambda event: list(actions) if isinstance(event, event_type) else []


def test_success_is_replied_ends_the_request_and_removes_its_state():
    async def scenario():
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        harness.list_workers(await StubWorker("w").start())
        request = harness.submit()
        await wait_until(lambda: harness.policy.outcomes())
        assert harness.replies == [200] and harness.policy.outcomes() == [(0, SUCCESS, True)]
        assert not harness.bridge.has_request("r") and request.deadline_timer is None

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("targets", "settings_changes", "expected"),
    [
        (["nobody"], {}, [(0, NOT_SENT, False)]),
        (["w", "w"], {}, [(1, NOT_SENT, False)]),  # only one attempt may be in flight
        (["nobody"] * 3, {}, [(0, NOT_SENT, False), (1, NOT_SENT, False), (2, NOT_SENT, False)]),
    ],
)
def test_disallowed_attempt_ends_as_not_sent_and_is_not_written(targets, settings_changes, expected):
    async def scenario():
        worker = await StubWorker("w", never_respond).start()
        harness = BridgeHarness(
            actions_on(Request, *(Send("r", name) for name in targets)), **settings_changes
        )
        harness.list_workers(worker)
        harness.submit()
        assert harness.policy.outcomes() == expected and harness.replies == []
        await wait_until(lambda: len(worker.requests) == ("w" in targets))

    run_scenario(scenario())


def test_attempt_beyond_max_attempts_ends_as_not_sent():
    async def scenario():
        worker = await StubWorker("w", never_respond).start()
        harness = BridgeHarness(actions_on(Request, *(Send("r", "w"),) * 3), concurrent_attempts=True)
        harness.list_workers(worker)
        harness.submit()
        assert harness.policy.outcomes() == [(2, NOT_SENT, False)]
        await wait_until(lambda: len(worker.requests) == 2)

    run_scenario(scenario())


def test_attempt_timeout_closes_connection_without_ending_the_request():
    async def scenario():
        worker = await StubWorker("w", never_respond).start()
        harness = BridgeHarness(actions_on(Request, Send("r", "w", 0.1)))
        harness.list_workers(worker)
        harness.submit()
        await wait_until(lambda: worker.closed_count)
        assert harness.policy.outcomes() == [(0, TIMED_OUT, False)] and harness.replies == []

    run_scenario(scenario())


def test_cancel_closes_connection_and_late_cancel_is_ignored():
    async def scenario():
        worker = await StubWorker("w", never_respond).start()
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        harness.list_workers(worker)
        harness.submit()
        await wait_until(lambda: worker.requests)
        harness.policy.actions_for = actions_on(TimerFired, Cancel("r", 0), Cancel("r", 0), Cancel("r", 7))
        harness.bridge._timer_fired(1, "r")
        await wait_until(lambda: worker.closed_count)
        assert harness.policy.outcomes() == [(0, CANCELLED, False)]

    run_scenario(scenario())


def test_request_failed_by_policy_gets_one_reply_and_reports_its_attempt():
    async def scenario():
        released, script = respond_when_released()
        worker = await StubWorker("w", script).start()
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        harness.list_workers(worker)
        harness.submit()
        await wait_until(lambda: worker.requests)
        harness.policy.actions_for = actions_on(TimerFired, Fail("r"), Refuse("r", 0.1), Send("r", "w"))
        harness.bridge._timer_fired(1, "r")
        assert harness.replies == [502] and harness.policy.outcomes() == [(1, NOT_SENT, True)]
        released.set()
        await wait_until(lambda: len(harness.policy.outcomes()) == 2)
        assert harness.policy.outcomes()[1] == (0, SUCCESS, True) and harness.replies == [502]
        assert len(worker.requests) == 1 and not harness.bridge.has_request("r")

    run_scenario(scenario())


def test_request_ignored_by_policy_gets_504_at_its_deadline():
    async def scenario():
        harness = BridgeHarness(lambda event: [])
        harness.submit(time_left=0.1)
        await wait_until(lambda: harness.replies)
        assert harness.replies == [504] and isinstance(harness.policy.events[-1], Abandoned)
        assert not harness.bridge.has_request("r")

    run_scenario(scenario())


def test_shutdown_brings_deadlines_forward_and_tells_the_policy():
    def actions_for(event):
        return [Send("r", "w")] if isinstance(event, Request) and event.request_id == "r" else []

    async def scenario():
        harness = BridgeHarness(actions_for)
        worker = StubWorker("w", never_respond)
        harness.list_workers(await worker.start())
        # Only the first request has an attempt in flight, and the third comes in the shutdown.
        requests = [harness.submit("r"), harness.submit("early", time_left=0.05)]
        await wait_until(lambda: worker.requests)
        latest = harness.loop.time() + 0.1
        harness.bridge.limit_deadlines(latest)
        (event,) = [e for e in harness.policy.events if isinstance(e, ShutdownStarted)]
        assert 0 <= event.time_left <= 0.1
        requests.append(harness.submit("late"))
        assert requests[0].deadline == requests[2].deadline == latest and requests[1].deadline < latest
        assert requests[0].attempts[0].deadline == requests[0].attempts[0].write_deadline == latest
        await wait_until(lambda: len(harness.replies) == 3)
        assert harness.replies == [504] * 3
        assert harness.policy.outcomes() == [(0, TIMED_OUT, False)]

    run_scenario(scenario())


@pytest.mark.parametrize("event_type", [Request, Outcome, TimerFired])
def test_exception_in_policy_fails_only_the_request_concerned(event_type, caplog):
    async def scenario():
        def actions_for(event):
            request_id = getattr(event, "request_id", "r")
            if isinstance(event, event_type) and request_id == "r":
                raise RuntimeError("injected error")
            return [Send(request_id, "w"), SetTimer(0.05, 1)] if isinstance(event, Request) else []

        harness = BridgeHarness(actions_for)
        harness.list_workers(
            await StubWorker("w", never_respond if event_type is TimerFired else None).start()
        )
        harness.submit()
        await wait_until(lambda: harness.replies)
        assert harness.replies == [200 if event_type is Outcome else 500] and "injected error" in caplog.text
        harness.policy.actions_for = actions_on(Request, Refuse("s"))
        harness.submit("s")
        assert harness.replies[1:] == [503]

    run_scenario(scenario())


def test_timers_of_ended_request_are_cancelled_and_others_still_fire():
    async def scenario():
        harness = BridgeHarness(actions_on(Request, Send("r", "w"), SetTimer(0.3, 1)))
        harness.list_workers(await StubWorker("w").start())
        harness.submit()
        await wait_until(lambda: harness.replies)
        harness.policy.actions_for = actions_on(WorkerList, SetTimer(0.4, 2))
        harness.list_workers()
        await wait_until(lambda: TimerFired(2) in harness.policy.events)
        assert TimerFired(1) not in harness.policy.events
        harness.policy.actions_for = actions_on(Request, SetTimer(0.01, 3))
        harness.submit("s")
        await wait_until(lambda: TimerFired(3) in harness.policy.events)  # this request has not ended

    run_scenario(scenario())


def test_abandonment_is_reported_once_and_no_reply_is_sent():
    async def scenario():
        worker = await StubWorker("w", never_respond).start()
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        harness.list_workers(worker)
        request = harness.submit(time_left=0.3)
        await wait_until(lambda: worker.requests)
        harness.bridge.abandon(request)
        harness.bridge.abandon(request)
        assert harness.policy.events.count(Abandoned("r")) == 1
        await wait_until(lambda: harness.policy.outcomes())
        assert harness.policy.outcomes() == [(0, TIMED_OUT, True)] and harness.replies == []

    run_scenario(scenario())


def test_attempt_waiting_for_connection_is_not_written_if_worker_drains():
    async def scenario():
        worker = await StubWorker("w").start()
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        harness.list_workers(worker)
        harness.submit()  # the connection is not established yet
        harness.list_workers(worker, status="draining")
        await wait_until(lambda: harness.policy.outcomes())
        assert harness.policy.outcomes() == [(0, NOT_SENT, False)]  # not counted against the worker
        await wait_until(lambda: worker.closed_count == worker.connection_count)
        assert not worker.requests

    run_scenario(scenario())


class BlockedTransport(asyncio.Transport):
    """A transport whose kernel buffer accepts no data, so that writes stay in the write buffer."""

    def __init__(self) -> None:
        super().__init__()
        self.buffered_size, self.aborted = 0, False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits."""

    def write(self, data: bytes) -> None:
        """Keep all of the data buffered."""
        self.buffered_size = len(data)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that were not flushed."""
        return self.buffered_size

    def is_closing(self) -> bool:
        """Return whether the transport was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Mark the transport as aborted."""
        self.aborted = True


@pytest.mark.parametrize(("flushed", "status"), [(False, UNREACHABLE), (True, CONNECTION_LOST)])
def test_connection_loss_is_unreachable_unless_request_was_flushed(flushed, status):
    # A worker cannot have run a request unless its last byte was flushed.
    async def scenario():
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        worker = StubWorker("w")
        worker.port = 9  # not connected to: `_connect` is replaced below
        harness.list_workers(worker)
        connections: list[WorkerConnection] = []

        async def connect(connection):
            connections.append(connection)

        harness.worker_pool._connect = connect
        harness.submit()
        await wait_until(lambda: connections)
        connections[0].connection_made(BlockedTransport())
        if flushed:
            connections[0].resume_writing()
        connections[0].connection_lost(ConnectionResetError())
        assert harness.policy.outcomes() == [(0, status, False)]
        assert not harness.worker_pool._connections

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("error_number", "status"), [(errno.EMFILE, NOT_SENT), (errno.ECONNREFUSED, UNREACHABLE)]
)
def test_connect_error_is_not_sent_on_local_shortage_else_unreachable(error_number, status):
    async def scenario():
        harness = BridgeHarness(actions_on(Request, Send("r", "w")))
        worker = StubWorker("w")
        worker.port = 9
        harness.list_workers(worker)

        class FailingConnectLoop:
            def __getattr__(self, name):
                return getattr(harness.loop, name)

            async def create_connection(self, *args):
                raise OSError(error_number, "connect failed")

        harness.worker_pool.loop = FailingConnectLoop()
        harness.submit()
        await wait_until(lambda: harness.policy.outcomes())
        assert harness.policy.outcomes() == [(0, status, False)] and not harness.worker_pool._connections

    run_scenario(scenario())


def test_attempt_cancelled_before_connect_task_runs_leaves_no_connection():
    async def scenario():
        worker = await StubWorker("w").start()
        harness = BridgeHarness(actions_on(Request, Send("r", "w"), Cancel("r", 0)))
        harness.list_workers(worker)
        harness.submit()
        assert harness.policy.outcomes() == [(0, CANCELLED, False)] and not harness.worker_pool._connections
        await asyncio.sleep(0)
        assert not harness.worker_pool._connections

    run_scenario(scenario())
