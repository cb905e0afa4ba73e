"""A discovery service simulated in virtual time: when a watch polls it, and when it learns of a change."""

import asyncio
import contextlib
import selectors
from dataclasses import dataclass
from random import Random

from wrenladder.proxy import discovery_watch


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
        self.transports = []  # of all connections that were established

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
        loop.transports.append(self)

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
            self.open = False
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


MAX_RANDOM_RESPONSE_TIME = 3.0  # seconds
RANDOM_RUN_STEP = 0.05  # seconds between changes of the response time
MAX_SIMULATED_TIME = 100.0  # seconds; only ends a simulation in which the change is never known
OUTCOMES = (
    *("good", "ended", "late", "lost", "refused", "busy"),
    *("malformed", "reset", "cut", "dead", "half", "silent"),
)
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


@dataclass
class RandomRun:
    """What a watch did in a simulation with random outcomes."""

    indexes: list[int]  # of its updates
    update_delay: float  # seconds from the change until the watch had it
    most_open_connections: int
    left_open: int  # connections after the watch was stopped


def run_with_random_outcomes(seed, timing, changed_at):
    """Run a watch until it knows a change, before which connects, polls and response times are random.

    A response takes up to `MAX_RANDOM_RESPONSE_TIME`. From `changed_at` on, responses are valid and fast. The
    run ends only when no slower response from before can be under way any more.
    """
    random, run = Random(seed), RandomRun([], 0.0, 0, 0)

    def open_connections():
        return sum(transport.open for transport in loop.transports)

    def outcome_at(now):
        return random.choice(OUTCOMES) if now < changed_at else "good"

    async def run_watch():
        watch = discovery_watch.DiscoveryWatch(
            loop,
            ("discovery", 1),
            0.0,
            lambda update: run.indexes.append(update.index),
            initial_index=1,
            random=random,
            timing=timing,
        )
        watch.start()
        async with asyncio.timeout(changed_at + MAX_SIMULATED_TIME):
            while 2 not in run.indexes:
                await asyncio.sleep(RANDOM_RUN_STEP)
                is_slow = loop.time() < changed_at and random.random() < 0.5
                loop.response_time = random.uniform(0.0, MAX_RANDOM_RESPONSE_TIME) if is_slow else 0.0
                run.most_open_connections = max(run.most_open_connections, open_connections())
        run.update_delay = loop.time() - changed_at
        await asyncio.sleep(MAX_RANDOM_RESPONSE_TIME)
        watch.stop()
        run.left_open = open_connections()

    with contextlib.closing(ScriptedDiscoveryLoop(outcome_at, 0.0, changed_at, random)) as loop:
        loop.run_until_complete(run_watch())
    return run
