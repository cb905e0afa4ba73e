"""The discovery watch: its first list, malformed entries, and failures of the discovery service."""

import asyncio
import contextlib
import selectors
from random import Random

import pytest
from stand_ins import (
    StubDiscovery,
    StubWorker,
    gateway_config,
    run_scenario,
    running_gateway,
    start_gateway,
    wait_until,
)

from wrenladder.proxy import discovery_watch
from wrenladder.proxy.discovery_messages import WorkerListUpdate
from wrenladder.proxy.discovery_timing import (
    EARLY_POLL_MIN_TIME_LEFT,
    LATE_POLL_PATIENCE,
    LOCAL_AGENT_TIMING,
    POLL_DEADLINE,
    READ_GRACE,
    SHARED_SERVICE_TIMING,
    UPDATE_DEADLINE,
)


def test_gateway_starts_from_its_known_list_while_discovery_is_down():
    async def scenario():
        worker = await StubWorker("w").start()
        discovery = StubDiscovery([worker.list_entry()])
        await discovery.start()
        discovery.stop()
        gateway = await start_gateway(gateway_config(discovery.port, known_entries=[worker.list_entry()]))
        try:
            assert await gateway.health_status() == 200
            assert (await (await gateway.connect()).exchange("write")).status == 200
            await gateway.wait_for_log("keeping the list")
            other_worker = await StubWorker("v").start()
            await discovery.start()
            # The first poll asks for the changes since the known index, not for the snapshot.
            await discovery.wait_until_polled()
            assert "/v1/servers" not in discovery.polled_paths
            discovery.publish({"name": "w", "status": "removed"}, other_worker.list_entry())
            await wait_until(lambda: worker.closed_count == 1)
            assert (await (await gateway.connect()).exchange("write")).status == 200 and len(
                other_worker.requests
            ) == 1
        finally:
            gateway.process.kill()
            await gateway.process.wait()

    run_scenario(scenario())


def test_each_long_poll_asks_for_the_changes_since_the_last_index():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (_, discovery, client):
            for version in range(3):
                discovery.publish(worker.list_entry(weight=1.0 + version))
                await discovery.wait_until_polled()
            assert discovery.polled_paths[0] == "/v1/servers"
            assert [path.partition("&")[0] for path in discovery.polled_paths[1:]] == [
                f"/v1/servers?index={index}" for index in range(1, 5)
            ]
            assert len(discovery._connections) == 1  # over one connection
            assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_malformed_entries_are_skipped_and_logged_and_the_rest_is_applied():
    async def scenario():
        worker, other_worker = StubWorker("w"), StubWorker("v")
        await other_worker.start()
        async with running_gateway(worker) as (gateway, discovery, client):
            malformed_entries = [
                3,
                {},
                {"name": "x"},
                other_worker.list_entry(address="nowhere"),
                other_worker.list_entry(status="odd"),
                other_worker.list_entry(weight="heavy"),
                other_worker.list_entry(since_ms=-1),
                other_worker.list_entry(name=5),
                other_worker.list_entry(zone=None),
                other_worker.list_entry(weight=float("nan")),
            ]
            discovery.publish(
                *malformed_entries,
                {"name": "w", "status": "removed", "novel": 1},
                other_worker.list_entry(novel=[1]),
            )
            await discovery.wait_until_polled()
            assert (await client.exchange("write")).status == 200
            assert len(other_worker.requests) == 1 and not worker.requests
            await gateway.wait_for_log("skipped a malformed entry")
            assert sum("malformed" in line for line in gateway.log) == 1

    run_scenario(scenario())


def test_invalid_response_keeps_the_list_and_requests_the_snapshot():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, discovery, client):
            for raw_response in (
                b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
                b"no HTTP\r\n\r\n",
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
                b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"endpoints": []}',
            ):
                poll_count, discovery.raw_response = len(discovery.polled_paths), raw_response
                discovery.publish()
                await wait_until(lambda: len(discovery.polled_paths) > poll_count + 1)  # noqa: B023
                assert discovery.polled_paths[-1] == "/v1/servers"
                discovery.raw_response = None
                await discovery.wait_until_polled()
                assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_response_with_connection_close_is_followed_by_the_next_poll():
    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, discovery, client):
            body = b'{"index": 9, "snapshot": false, "endpoints": []}'
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            discovery.raw_response = head % len(body) + body
            discovery.publish()
            await wait_until(lambda: "index=9&" in discovery.polled_paths[-1])
            assert (await client.exchange("write")).status == 200
            assert not any("discovery" in line for line in gateway.log)

    run_scenario(scenario())


def test_overload_responses_increase_the_pause_between_polls(monkeypatch):
    monkeypatch.setattr(discovery_watch, "INITIAL_OVERLOAD_BACKOFF", 0.01)
    monkeypatch.setattr(discovery_watch, "MAX_OVERLOAD_BACKOFF", 0.04)
    pauses: list[float] = []

    async def scenario():
        discovery = await StubDiscovery([]).start()
        discovery.raw_response = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        updates: list[WorkerListUpdate] = []
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            0.0,
            updates.append,
            initial_index=1,
            random=Random(3),
        )
        original_schedule = watch._schedule
        monkeypatch.setattr(
            watch,
            "_schedule",
            lambda delay, callback: (
                pauses.append(delay) if callback == watch.start else None,
                original_schedule(delay, callback),
            ),
        )
        discovery.publish()
        watch.start()
        await wait_until(
            lambda: len(discovery.polled_paths) < 6
            and discovery.publish()
            or len(discovery.polled_paths) >= 6
        )
        assert all("index=1&" in path for path in discovery.polled_paths)
        assert not updates
        discovery.raw_response = None
        await wait_until(lambda: discovery.publish() or updates)
        assert watch._overload_backoff == discovery_watch.INITIAL_OVERLOAD_BACKOFF
        watch.stop()
        discovery.stop()

    run_scenario(scenario())
    assert 0.005 <= pauses[0] <= 0.01 < pauses[1] <= 0.02 < pauses[2] <= 0.04 and max(pauses) <= 0.04
    # Jitter, so that gateways that failed together don't retry together.
    assert len(set(pauses)) == len(pauses)


SHORT_TIMING = discovery_watch.WatchTiming(
    poll_wait=0.05, response_grace=0.2, response_timeout=0.2, max_backoff=0.2, recovery_wait=0.03
)


def test_unanswered_poll_times_out_but_a_waiting_long_poll_does_not():
    updates: list[WorkerListUpdate] = []

    async def scenario():
        discovery = await StubDiscovery(
            [{"name": "w", "address": "h:1", "status": "up", "since_ms": 5000}]
        ).start()
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            2.0,
            updates.append,
            timing=SHORT_TIMING,
        )
        watch.start()
        await wait_until(lambda: len(discovery.polled_paths) > 4)  # long polls that ended without a change
        assert (
            discovery.polled_paths.count("/v1/servers") == 1
            and updates[0].is_snapshot
            and not updates[1].is_snapshot
        )
        assert updates[0].endpoints[0].entry.started_at == 3.0  # in event loop time
        discovery.unresponsive = True
        poll_count = len(discovery.polled_paths)
        await wait_until(lambda: len(discovery.polled_paths) > poll_count + 3)  # more than one time-out
        discovery.unresponsive, update_count = False, len(updates)
        await wait_until(lambda: len(updates) > update_count)
        # The index is kept, so the next update is a delta.
        assert not updates[update_count].is_snapshot and discovery.polled_paths.count("/v1/servers") == 1
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_failures_with_local_agent_timing_are_shorter_than_a_drain_grace():
    # The shortest grace period of a drain in any deployment so far. The drain may have to be known at any
    # moment within it.
    drain_grace = 1.0  # seconds
    assert (
        LOCAL_AGENT_TIMING.poll_wait
        + LOCAL_AGENT_TIMING.response_grace
        + READ_GRACE
        + discovery_watch.INITIAL_BACKOFF
        < drain_grace
    )
    assert (
        LOCAL_AGENT_TIMING.recovery_wait
        + LOCAL_AGENT_TIMING.response_grace
        + READ_GRACE
        + LOCAL_AGENT_TIMING.max_backoff
        < drain_grace
    )
    # A connect that times out.
    assert LOCAL_AGENT_TIMING.response_timeout + READ_GRACE + LOCAL_AGENT_TIMING.max_backoff < drain_grace
    # With a shared service, a change has to be known 6 s after it happened, or 2 s after the end of a wait.
    assert (
        2 * discovery_watch.MAX_OVERLOAD_BACKOFF <= 6.0
        and SHARED_SERVICE_TIMING.response_timeout + READ_GRACE < 2.0
        and SHARED_SERVICE_TIMING.response_grace + READ_GRACE < 2.0
    )


def test_timing_constants_keep_the_bounds_that_watch_timing_states():
    overload_backoff, timeout_detection = (
        discovery_watch.MAX_OVERLOAD_BACKOFF,
        max(
            SHARED_SERVICE_TIMING.recovery_wait + SHARED_SERVICE_TIMING.response_grace + READ_GRACE,
            SHARED_SERVICE_TIMING.response_timeout,
        ),
    )
    long_poll_timeout = SHARED_SERVICE_TIMING.poll_wait + SHARED_SERVICE_TIMING.response_grace + READ_GRACE
    assert UPDATE_DEADLINE == 6.0 and 2 * overload_backoff < POLL_DEADLINE
    assert (
        long_poll_timeout
        + discovery_watch.INITIAL_BACKOFF
        + discovery_watch.INITIAL_OVERLOAD_BACKOFF
        + 2 * EARLY_POLL_MIN_TIME_LEFT
        < POLL_DEADLINE
    )
    # A connection may take up to 1 s longer.
    assert long_poll_timeout + discovery_watch.INITIAL_BACKOFF + 1.0 < UPDATE_DEADLINE
    assert overload_backoff + timeout_detection + SHARED_SERVICE_TIMING.max_backoff < POLL_DEADLINE


def test_polls_use_the_recovery_wait_until_the_first_response():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(), ("127.0.0.1", discovery.port), 0.0, [].append, timing=SHORT_TIMING
        )
        watch.start()
        await discovery.wait_until_polled()
        discovery.unresponsive = True
        poll_count = len(discovery.polled_paths)
        # Polls on new connections time out, too.
        await wait_until(lambda: len(discovery.polled_paths) > poll_count + 2)
        assert {path.rpartition("=")[2] for path in discovery.polled_paths[poll_count + 1 :]} == {"30"}
        discovery.unresponsive = False
        await wait_until(lambda: discovery.polled_paths[-1].endswith("wait=50"))
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_truncated_response_is_discarded_and_requested_again():
    body = b'{"index": 2, "snapshot": false, "endpoints": [{"name": "w", "status": "removed"}]}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        worker = StubWorker("w")
        async with running_gateway(worker) as (gateway, discovery, client):
            discovery.raw_response = head + body[:-9]  # the rest is never sent
            poll_count = len(discovery.polled_paths)
            discovery.publish()
            await wait_until(lambda: len(discovery.polled_paths) > poll_count)  # over a new connection
            # The log tells a response that was cut off from a service that is silent.
            await gateway.wait_for_log(f"with {len(head + body) - 9} bytes of a response")
            assert (await client.exchange("write")).status == 200
            discovery.raw_response = head + body
            await wait_until(lambda: discovery.publish() or worker.closed_count)
            assert (await client.exchange("write")).status == 503

    run_scenario(scenario())


def test_late_data_and_failures_after_an_address_change_are_ignored():
    body = b'{"index": 9, "snapshot": true, "endpoints": []}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        updates: list[WorkerListUpdate] = []
        old_discovery = await StubDiscovery([]).start()
        new_discovery = await StubDiscovery([]).start()
        new_discovery.index = 4
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(), ("127.0.0.1", old_discovery.port), 0.0, updates.append
        )
        old_discovery.raw_response = head + body[:9]
        watch.start()
        # Wait until a part of the response has been received.
        await wait_until(lambda: watch._connection is not None and watch._connection._body_parts)
        old_connection = watch._connection
        watch.change_address(("127.0.0.1", new_discovery.port))
        old_connection.data_received(body[9:])  # the rest was in the receive buffer
        old_connection.connection_lost(ConnectionResetError())
        watch.on_failure(old_connection, "cannot connect")
        await new_discovery.wait_until_polled()
        assert [update.index for update in updates] == [4] and new_discovery.open_connection_count == 1
        assert new_discovery.polled_paths[0] == "/v1/servers" and len(new_discovery.polled_paths) == 2
        watch.stop()
        old_discovery.stop()
        new_discovery.stop()

    run_scenario(scenario())


def test_late_failure_of_an_old_connection_leaves_the_current_one_open():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(), ("127.0.0.1", discovery.port), 0.0, [].append
        )
        watch.start()
        await discovery.wait_until_polled()
        old_connection = watch._connection
        discovery._connections[0][1].transport.abort()
        await wait_until(lambda: len(discovery.polled_paths) == 3)  # the new connection has polled
        new_connection = watch._connection
        assert new_connection is not None and new_connection is not old_connection
        watch.on_failure(old_connection, "cannot connect: timed out")
        assert watch._connection is new_connection and discovery.open_connection_count == 1
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


def test_reconnect_after_an_announced_close_leaves_no_poll_timer():
    async def scenario():
        discovery = await StubDiscovery([]).start()
        loop, connect_allowed = asyncio.get_running_loop(), asyncio.Event()

        class DelayedConnectLoop:
            """The running event loop, but each connect after the first waits for `connect_allowed`."""

            connect_count = 0

            def __getattr__(self, name):
                return getattr(loop, name)

            async def create_connection(self, *args):
                self.connect_count += 1
                if self.connect_count > 1:
                    await connect_allowed.wait()
                return await loop.create_connection(*args)

        timing = discovery_watch.WatchTiming(
            poll_wait=0.05, response_grace=0.5, response_timeout=0.5, max_backoff=0.05, recovery_wait=0.05
        )
        watch = discovery_watch.DiscoveryWatch(
            DelayedConnectLoop(), ("127.0.0.1", discovery.port), 0.0, lambda update: None, timing=timing
        )
        body = b'{"index": 9, "snapshot": true, "endpoints": []}'
        discovery.raw_response = (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        watch.start()
        await wait_until(lambda: watch._loop.connect_count == 2)  # the reconnect has begun
        assert watch._timer is None or watch._timer.cancelled()
        connect_allowed.set()
        watch.stop()
        discovery.stop()

    run_scenario(scenario())


class VirtualClockSelector(selectors.SelectSelector):
    """A selector that doesn't sleep but moves its virtual time on to the next timer."""

    now = 0.0  # seconds

    def select(self, timeout=None):
        """Add the timeout to the virtual time and return what is ready."""
        assert timeout is not None, "no timer is scheduled"
        self.now += timeout
        return super().select(0)


class ScriptedDiscoveryLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, whose connections lead to a simulated discovery service.

    `outcome_at` returns the outcome of the connect or poll that begins at the given time.

    A connect:
    - "late": takes 0.1 to 1 s, then the next outcome applies to it.
    - "lost": never established, so that it times out.
    - "refused": refused at once.
    - Any other: established at once; the outcome applies to the first poll.

    A poll:
    - "good": a valid response.
    - "ended": a valid response that announces the close of the connection.
    - "busy": an overload response (503).
    - "malformed": an invalid response (500).
    - "reset": the connection is reset at once.
    - "cut": a truncated response, then a reset.
    - "dead": the connection is reset after 4.0 to 4.6 s.
    - "half": a truncated response, then nothing.
    - "silent": no response.
    - "late": a valid response at once, even to a long poll.
    - "lost": no response.
    - "refused": the connection is reset at once.

    A long poll that is open at `failures_start` gets a new outcome then. The change of the worker list
    happens at `changed_at`. Each response arrives `response_time` seconds after it was made.
    """

    def __init__(self, outcome_at, failures_start, changed_at, random, response_time=0.0):
        self.clock, self.response_time = VirtualClockSelector(), response_time
        super().__init__(self.clock)
        self.outcome_at, self.failures_start, self.changed_at, self.random = (
            outcome_at,
            failures_start,
            changed_at,
            random,
        )
        self.poll_times = []

    def time(self):
        """Return the virtual time."""
        return self.clock.now

    async def create_connection(self, factory, host, port):
        """Establish a connection, or fail, according to the outcome."""
        outcome = self.outcome_at(self.time())
        while outcome in ("late", "lost", "refused"):
            await asyncio.sleep(
                {"late": self.random.uniform(0.1, 1.0), "lost": 99.0, "refused": 0.0}[outcome]
            )
            if outcome == "refused":
                raise ConnectionRefusedError
            outcome = self.outcome_at(self.time())
        protocol = factory()
        protocol.connection_made(ScriptedTransport(self, protocol, outcome))


class ScriptedTransport:
    """The transport of a connection to the simulated discovery service."""

    def __init__(self, loop, protocol, first_outcome):
        self.loop, self.protocol, self.first_outcome, self.open = loop, protocol, first_outcome, True

    def write(self, poll):
        """Receive a poll and schedule its outcome."""
        loop, outcome = self.loop, self.first_outcome or self.loop.outcome_at(self.loop.time())
        self.first_outcome, now, delay = None, loop.time(), loop.random.uniform(0.0, 0.02)
        loop.poll_times.append(now)
        if b"index=1&" not in poll or outcome not in ("good", "ended") or now >= loop.changed_at:
            loop.call_later(delay, self.respond, outcome)
        elif now + (wait := int(poll.partition(b"wait=")[2].split()[0]) / 1000) < loop.failures_start:
            loop.call_later(wait + delay, self.respond, outcome)
        else:
            loop.call_at(loop.failures_start, lambda: self.respond(loop.outcome_at(loop.time())))

    def abort(self):
        """Close the connection: no further response is delivered."""
        self.open = False

    def respond(self, outcome):
        """Deliver the response or the failure of a poll."""
        if not self.open or outcome in ("silent", "lost"):
            return
        if outcome == "dead":
            self.loop.call_later(self.loop.random.uniform(4.0, 4.6), self.respond, "reset")
            return
        status = {"busy": 503, "malformed": 500}.get(outcome, 200)
        index = 2 if self.loop.time() >= self.loop.changed_at else 1
        body = b'{"index": %d, "snapshot": true, "endpoints": []}' % index
        close_header = b"Connection: close\r\n" * (outcome == "ended")
        response = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), close_header) + body
        if outcome not in ("reset", "refused"):
            self.deliver_later(response[:-9] if outcome in ("half", "cut") else response)
        if outcome in ("reset", "refused", "cut"):
            self.protocol.connection_lost(ConnectionResetError())

    def deliver_later(self, data):
        """Let a response arrive after the response time, at once if that is zero."""
        if self.loop.response_time:
            self.loop.call_later(self.loop.response_time, self.deliver, data)
        else:
            self.deliver(data)

    def deliver(self, data):
        """Let data arrive, unless the connection was closed meanwhile."""
        if self.open:
            self.protocol.data_received(data)


MAX_SIMULATED_TIME = 100.0  # seconds; only ends a simulation in which the change is never known
IMMEDIATE_FAILURES = ("busy", "busy", "reset", "cut", "malformed")  # noticed at once
DELAYED_FAILURES = ("silent", "half", "lost", "dead")  # noticed at a time-out or a late reset


def time_until_update(
    seed,
    timing,
    delayed_failures=(),
    following_outcomes=(),
    earlier_failures=(),
    failures_until=0.0,
    response_time=0.0,
):
    """Return the seconds from a change until the watch reports it, in a simulation with this seed.

    Up to 15 s before the change, discovery begins to fail with `earlier_failures`, if there are any. From
    the change on, connects and polls have these outcomes: one of `delayed_failures`, if there are any; then
    immediate failures until `failures_until` seconds after the change; then `following_outcomes` in order;
    then valid responses.
    """
    random = Random(seed)
    changed_at = random.uniform(20.0, 30.0)
    failures_start = changed_at - random.uniform(0.0, 15.0) * bool(earlier_failures)
    first_outcomes, remaining_outcomes, update_delays = (
        [random.choice(delayed_failures)] if delayed_failures else [],
        [*following_outcomes],
        [],
    )

    def outcome_at(now):
        if now < failures_start:
            return random.choice(("good", "good", "ended"))
        if now < changed_at:
            return random.choice(earlier_failures)
        if first_outcomes:
            return first_outcomes.pop()
        if now < changed_at + failures_until:
            return random.choice(IMMEDIATE_FAILURES)
        return remaining_outcomes.pop(0) if remaining_outcomes else "good"

    async def run_watch():
        update_received = asyncio.Event()

        def on_update(update):
            if update.index == 2:
                update_delays.append(loop.time() - changed_at)
                update_received.set()

        watch = discovery_watch.DiscoveryWatch(
            loop, ("discovery", 1), 0.0, on_update, initial_index=1, random=random, timing=timing
        )
        watch.start()
        async with asyncio.timeout(MAX_SIMULATED_TIME):
            await update_received.wait()
        watch.stop()

    with contextlib.closing(
        ScriptedDiscoveryLoop(outcome_at, failures_start, changed_at, random, response_time)
    ) as loop:
        loop.run_until_complete(run_watch())
    return update_delays[0]


# Seconds allowed for a response of the simulated discovery, and for those of the failures before it.
RESPONSE_TIME = 0.1


@pytest.mark.parametrize(
    ("bound", "failures"),
    [
        (
            POLL_DEADLINE,
            {"failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME},
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "earlier_failures": IMMEDIATE_FAILURES,
            },
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "earlier_failures": ("busy",),
            },
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "earlier_failures": ("refused",),
            },
        ),
        (
            POLL_DEADLINE,
            {
                "failures_until": POLL_DEADLINE - discovery_watch.MAX_OVERLOAD_BACKOFF - RESPONSE_TIME,
                "delayed_failures": DELAYED_FAILURES,
            },
        ),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("busy", "busy")}),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("cut", "busy")}),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("busy", "reset")}),
        (UPDATE_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "following_outcomes": ("late",)}),
        (POLL_DEADLINE, {"delayed_failures": DELAYED_FAILURES, "earlier_failures": IMMEDIATE_FAILURES}),
        (
            POLL_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("busy",),
                "following_outcomes": ("busy",),
            },
        ),
        (
            UPDATE_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("busy",),
                "following_outcomes": ("late",),
            },
        ),
        (
            POLL_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("refused",),
                "following_outcomes": ("busy", "busy"),
            },
        ),
        (
            UPDATE_DEADLINE,
            {
                "delayed_failures": DELAYED_FAILURES,
                "earlier_failures": ("refused",),
                "following_outcomes": ("late", "busy"),
            },
        ),
    ],
)
def test_change_is_known_by_its_deadline_after_failures(bound, failures):
    # POLL_DEADLINE bounds the start of the last poll, so the time for its response is added.
    slack = RESPONSE_TIME * (bound < UPDATE_DEADLINE)
    assert (
        max(time_until_update(seed, SHARED_SERVICE_TIMING, **failures) for seed in range(150)) < bound + slack
    )


# Guards against a watch that gives up each poll of a slow service before its response.
@pytest.mark.parametrize(
    ("timing", "response_time", "failures"),
    [
        (LOCAL_AGENT_TIMING, 0.6, {}),
        (LOCAL_AGENT_TIMING, LATE_POLL_PATIENCE, {}),
        (LOCAL_AGENT_TIMING, LATE_POLL_PATIENCE, {"delayed_failures": ("silent", "lost")}),
        (LOCAL_AGENT_TIMING, LATE_POLL_PATIENCE, {"delayed_failures": ("half",)}),
        (SHARED_SERVICE_TIMING, 1.8, {}),
        (SHARED_SERVICE_TIMING, 2.5, {}),
    ],
)
def test_slow_service_is_heard_within_the_deadline_of_a_change(timing, response_time, failures):
    assert (
        max(time_until_update(seed, timing, response_time=response_time, **failures) for seed in range(150))
        < UPDATE_DEADLINE
    )


@pytest.mark.parametrize("earlier_failures", [(), ("reset", "cut", "malformed"), ("refused",)])
def test_unresponsive_local_agent_delays_a_change_less_than_a_drain_grace(earlier_failures):
    assert (
        max(
            time_until_update(seed, LOCAL_AGENT_TIMING, DELAYED_FAILURES, earlier_failures=earlier_failures)
            for seed in range(150)
        )
        < 1.0
    )


def poll_times(outcomes, count):
    """Return the times of the first `count` polls of a watch whose connects and polls have these outcomes."""
    loop = ScriptedDiscoveryLoop(lambda now: outcomes.pop(0) if outcomes else "good", 999.0, 999.0, Random(1))

    async def run_watch():
        watch = discovery_watch.DiscoveryWatch(
            loop, ("discovery", 1), 0.0, lambda update: None, random=Random(2)
        )
        watch.start()
        while len(loop.poll_times) < count:
            await asyncio.sleep(0.01)
        watch.stop()

    with contextlib.closing(loop):
        loop.run_until_complete(run_watch())
    return loop.poll_times


@pytest.mark.parametrize("outcomes", [["ended", "silent"], ["ended", "late", "silent"]])
def test_slow_reconnect_after_an_announced_close_delays_no_poll_timeout(outcomes):
    assert (
        0
        < poll_times(outcomes, 3)[2]
        - SHARED_SERVICE_TIMING.poll_wait
        - SHARED_SERVICE_TIMING.response_grace
        - READ_GRACE
        < discovery_watch.INITIAL_BACKOFF + RESPONSE_TIME
    )


@pytest.mark.parametrize(
    ("outcomes", "count", "brought_forward"),
    [
        (["good", "silent", "busy"], 4, True),
        (["good", "dead", "busy"], 4, True),
        (["good", "good", "reset", "busy"], 5, False),  # the reset was noticed at once
        (["good", "reset", *["refused"] * 20, "silent", "busy"], 5, True),
        ([*["malformed"] * 20, "silent", "busy"], 23, True),
    ],
)
def test_poll_is_brought_forward_only_after_a_delayed_failure(outcomes, count, brought_forward, monkeypatch):
    monkeypatch.setattr(discovery_watch, "INITIAL_OVERLOAD_BACKOFF", 60.0)
    monkeypatch.setattr(discovery_watch, "MAX_OVERLOAD_BACKOFF", 60.0)
    *_, overloaded_poll, next_poll = poll_times(outcomes, count)
    assert (next_poll - overloaded_poll < POLL_DEADLINE) is brought_forward


def test_retry_delays_have_jitter_and_one_after_a_timeout_is_shortened():
    loop = ScriptedDiscoveryLoop(None, 0.0, 0.0, Random(1))
    watch = discovery_watch.DiscoveryWatch(loop, ("discovery", 1), 0.0, lambda update: None, random=Random(2))
    with contextlib.closing(loop):
        for backoff, min_delay in ((0.4, 0.2), (SHARED_SERVICE_TIMING.max_backoff, 0.8)):
            delays = [watch._retry_delay(backoff, SHARED_SERVICE_TIMING.max_backoff) for _ in range(50)]
            assert min_delay <= min(delays) < max(delays) <= backoff and len(set(delays)) == 50
        for time_left in (2.0, 0.5, 0.1):
            watch._poll_deadline = time_left
            assert time_left - discovery_watch.EARLY_POLL_JITTER <= watch._retry_delay(2.6, 2.6) <= time_left
            assert watch._retry_delay(2.6, 2.6) > 1.8  # only one poll is brought forward


def test_overload_response_after_a_timeout_is_followed_by_a_poll_in_time(monkeypatch):
    # With this backoff, the next poll would begin too late if none were brought forward after a time-out.
    monkeypatch.setattr(discovery_watch, "INITIAL_OVERLOAD_BACKOFF", 60.0)
    monkeypatch.setattr(discovery_watch, "MAX_OVERLOAD_BACKOFF", 60.0)
    monkeypatch.setattr(discovery_watch, "POLL_DEADLINE", 2.0)

    async def scenario():
        discovery = await StubDiscovery([]).start()
        updates: list[WorkerListUpdate] = []
        watch = discovery_watch.DiscoveryWatch(
            asyncio.get_running_loop(),
            ("127.0.0.1", discovery.port),
            0.0,
            updates.append,
            timing=SHORT_TIMING,
        )
        watch.start()
        await discovery.wait_until_polled()
        discovery.unresponsive, poll_count = True, len(discovery.polled_paths)
        await wait_until(lambda: len(discovery.polled_paths) > poll_count)  # a poll that times out
        discovery.unresponsive, discovery.raw_response = False, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        discovery.publish()
        # Wait for the overload response to be handled.
        await wait_until(lambda: len(discovery.polled_paths) > poll_count + 1 and watch._connection is None)
        discovery.raw_response = None
        discovery.publish({"name": "w", "status": "removed"})
        await wait_until(lambda: updates[-1].endpoints)
        assert discovery.polled_paths.count("/v1/servers") == 1  # the index was kept
        watch.stop()
        discovery.stop()

    run_scenario(scenario())
