"""The watch: where it starts, what it skips, and what it does when discovery fails."""

import asyncio
from random import Random

from stand import Discovery, Worker, config, launch, run, scene, until

from oliveloft import discovery as module
from oliveloft.discovery import ASKED, LOOK, PUSHED, News


def test_it_starts_from_what_it_knew_while_discovery_is_down():
    async def scenario():
        worker = await Worker("w").start()
        discovery = Discovery([worker.entry()])
        await discovery.start()
        discovery.stop()
        gatekeeper = await launch(config(discovery.port, known=[worker.entry()]))
        try:
            assert await gatekeeper.health() == 200
            assert (await (await gatekeeper.client()).ask("write")).status == 200
            await gatekeeper.logged("keeping the list")
            other = await Worker("v").start()
            await discovery.start()
            await discovery.watched()  # from the version that it knew, for the changes alone
            assert "/v1/servers" not in discovery.asked
            discovery.change({"name": "w", "status": "removed"}, other.entry())
            await until(lambda: worker.closed == 1)
            assert (await (await gatekeeper.client()).ask("write")).status == 200 and len(other.seen) == 1
        finally:
            gatekeeper.process.kill()
            await gatekeeper.process.wait()
    run(scenario())


def test_watches_follow_one_another_and_name_the_last_version():
    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (_, discovery, client):
            for n in range(3):
                discovery.change(worker.entry(weight=1.0 + n))
                await discovery.watched()
            assert discovery.asked[0] == "/v1/servers"
            assert [path.partition("&")[0] for path in discovery.asked[1:]] == [
                f"/v1/servers?index={n}" for n in range(1, 5)]
            assert len(discovery._ends) == 1  # over one connection
            assert (await client.ask("write")).status == 200
    run(scenario())


def test_malformed_entries_are_skipped_with_a_line_and_the_rest_is_taken():
    async def scenario():
        worker, other = Worker("w"), Worker("v")
        await other.start()
        async with scene(worker) as (gatekeeper, discovery, client):
            bad = [3, {}, {"name": "x"}, other.entry(address="nowhere"), other.entry(status="odd"),
                   other.entry(weight="heavy"), other.entry(since_ms=-1), other.entry(name=5),
                   other.entry(zone=None), other.entry(weight=float("nan"))]
            discovery.change(*bad, {"name": "w", "status": "removed", "novel": 1}, other.entry(novel=[1]))
            await discovery.watched()
            assert (await client.ask("write")).status == 200
            assert len(other.seen) == 1 and not worker.seen
            await gatekeeper.logged("skipped a malformed entry")
            assert sum("malformed" in line for line in gatekeeper.log) == 1
    run(scenario())


def test_a_failing_answer_keeps_the_list_and_is_asked_again():
    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (gatekeeper, discovery, client):
            for raw in (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", b"no HTTP\r\n\r\n",
                        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
                        b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"endpoints": []}'):
                asked, discovery.raw = len(discovery.asked), raw
                discovery.change()
                await until(lambda: len(discovery.asked) > asked + 1)  # noqa: B023
                assert discovery.asked[-1] == "/v1/servers"
                discovery.raw = None
                await discovery.watched()
                assert (await client.ask("write")).status == 200
    run(scenario())


def test_an_answer_that_closes_its_connection_is_followed_by_the_next_watch():
    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (gatekeeper, discovery, client):
            body = b'{"index": 9, "snapshot": false, "endpoints": []}'
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            discovery.raw = head % len(body) + body
            discovery.change()
            await until(lambda: "index=9&" in discovery.asked[-1])
            assert (await client.ask("write")).status == 200
            assert not any("discovery" in line for line in gatekeeper.log)
    run(scenario())


def test_an_overbooked_discovery_is_asked_for_changes_ever_less_often(monkeypatch):
    monkeypatch.setattr(module, "BUSY", 0.01)
    monkeypatch.setattr(module, "LONGEST_BUSY", 0.04)
    waits: list[float] = []

    async def scenario():
        agent = await Discovery([]).start()
        agent.raw = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        told: list[News] = []
        watch = module.Discovery(asyncio.get_running_loop(), ("127.0.0.1", agent.port), 0.0, told.append,
                                 held=1, random=Random(3))
        after = watch._after
        monkeypatch.setattr(watch, "_after", lambda delay, call: (
            waits.append(delay) if call == watch.start else None, after(delay, call)))
        agent.change()
        watch.start()
        await until(lambda: len(agent.asked) < 6 and agent.change() or len(agent.asked) >= 6)
        assert all("index=1&" in path for path in agent.asked)
        assert not told
        agent.raw = None
        await until(lambda: agent.change() or told)
        assert watch._busy == module.BUSY
        watch.stop()
        agent.stop()
    run(scenario())
    assert 0.005 <= waits[0] <= 0.01 < waits[1] <= 0.02 < waits[2] <= 0.04 and max(waits) <= 0.04
    assert len(set(waits)) == len(waits)  # no two gatekeepers, nor two tries of one, in step


QUICK = module.Pace(wait=0.05, silence=0.2, longest=0.2, doubt=0.03)


def test_a_silent_agent_is_left_and_an_open_wait_is_not():
    told: list[News] = []

    async def scenario():
        agent = await Discovery([{"name": "w", "address": "h:1", "status": "up", "since_ms": 5000}]).start()
        watch = module.Discovery(asyncio.get_running_loop(), ("127.0.0.1", agent.port), 2.0, told.append,
                                 pace=QUICK)
        watch.start()
        await until(lambda: len(agent.asked) > 4)  # waits that ended with no change
        assert agent.asked.count("/v1/servers") == 1 and told[0].whole and not told[1].whole
        assert told[0].endpoints[0].entry.started == 3.0  # on the loop's clock
        agent.silent = True
        asked = len(agent.asked)
        await until(lambda: len(agent.asked) > asked + 3)  # left more than once, with no list lost
        agent.silent, heard = False, len(told)
        await until(lambda: len(told) > heard)
        assert not told[heard].whole and agent.asked.count("/v1/servers") == 1  # the version stands
        watch.stop()
        agent.stop()
    run(scenario())


def test_no_failure_of_an_agents_watch_lasts_as_long_as_a_drains_grace():
    grace = 1.0  # seconds, the least that a deployment has given so far; news may count from any moment in it
    assert PUSHED.wait + PUSHED.silence + LOOK + module.BACKOFF < grace
    assert PUSHED.doubt + PUSHED.silence + LOOK + PUSHED.longest < grace
    assert PUSHED.silence + LOOK + PUSHED.longest < grace  # a connection that does not come up
    # What had to be asked for counts as told 6 s after it changed, or 2 s after a wait is over.
    assert 2 * module.LONGEST_BUSY <= 6.0 and ASKED.silence + LOOK < 2.0


def test_a_watch_in_doubt_asks_for_short_waits_until_it_is_answered():
    async def scenario():
        agent = await Discovery([]).start()
        watch = module.Discovery(asyncio.get_running_loop(), ("127.0.0.1", agent.port), 0.0, [].append,
                                 pace=QUICK)
        watch.start()
        await agent.watched()
        agent.silent = True
        asked = len(agent.asked)
        await until(lambda: len(agent.asked) > asked + 2)  # silent again right after it was opened anew
        assert {path.rpartition("=")[2] for path in agent.asked[asked + 1:]} == {"30"}
        agent.silent = False
        await until(lambda: agent.asked[-1].endswith("wait=50"))
        watch.stop()
        agent.stop()
    run(scenario())


def test_an_answer_cut_off_in_its_middle_is_asked_for_again_and_nothing_of_it_is_taken():
    body = b'{"index": 2, "snapshot": false, "endpoints": [{"name": "w", "status": "removed"}]}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (gatekeeper, agent, client):
            agent.raw = head + body[:-9]  # and then nothing: it never ends
            asked = len(agent.asked)
            agent.change()
            await until(lambda: len(agent.asked) > asked)  # over a new connection
            assert (await client.ask("write")).status == 200
            agent.raw = head + body
            await until(lambda: agent.change() or worker.closed)
            assert (await client.ask("write")).status == 503
    run(scenario())


def test_a_move_in_the_middle_of_an_answer_leaves_what_comes_late_of_it():
    body = b'{"index": 9, "snapshot": true, "endpoints": []}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        told: list[News] = []
        old = await Discovery([]).start()
        new = await Discovery([]).start()
        new.index = 4
        watch = module.Discovery(asyncio.get_running_loop(), ("127.0.0.1", old.port), 0.0, told.append)
        old.raw = head + body[:9]
        watch.start()
        await until(lambda: watch._link is not None and watch._link._body)  # a part of it is in
        late = watch._link
        watch.move(("127.0.0.1", new.port))
        late.data_received(body[9:])  # the rest was in the system's buffer
        late.connection_lost(ConnectionResetError())
        watch.failed(late, "cannot connect")  # nor does its end, however late, touch what followed
        await new.watched()
        assert [news.index for news in told] == [4] and new.open == 1
        assert new.asked[0] == "/v1/servers" and len(new.asked) == 2
        watch.stop()
        old.stop()
        new.stop()
    run(scenario())


def test_the_late_end_of_a_connection_leaves_the_one_that_followed_it():
    async def scenario():
        agent = await Discovery([]).start()
        watch = module.Discovery(asyncio.get_running_loop(), ("127.0.0.1", agent.port), 0.0, [].append)
        watch.start()
        await agent.watched()
        old = watch._link
        agent._ends[0][1].transport.abort()
        await until(lambda: len(agent.asked) == 3)  # the next one stands, and has asked
        following = watch._link
        assert following is not None and following is not old
        watch.failed(old, "cannot connect: timed out")
        assert watch._link is following and agent.open == 1
        watch.stop()
        agent.stop()
    run(scenario())


def test_an_announced_end_leaves_no_timer_of_the_answer_before_it():
    async def scenario():
        agent = await Discovery([]).start()
        loop, held = asyncio.get_running_loop(), asyncio.Event()

        class Loop:
            calls = 0

            def __getattr__(self, name):
                return getattr(loop, name)

            async def create_connection(self, *args):
                self.calls += 1
                if self.calls > 1:
                    await held.wait()
                return await loop.create_connection(*args)

        patient = module.Pace(wait=0.05, silence=0.5, longest=0.05, doubt=0.05)
        watch = module.Discovery(Loop(), ("127.0.0.1", agent.port), 0.0, lambda news: None, pace=patient)
        body = b'{"index": 9, "snapshot": true, "endpoints": []}'
        agent.raw = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        watch.start()
        await until(lambda: watch._loop.calls == 2)  # the next connection is on its way
        assert watch._timer is None or watch._timer.cancelled()
        held.set()
        watch.stop()
        agent.stop()
    run(scenario())
