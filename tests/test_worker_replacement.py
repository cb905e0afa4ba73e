"""A new worker process at the address of another one is not taken for the old one."""

import pytest
from policy_driver import PolicyDriver, workers_sent_to
from stand_ins import (
    StubWorker,
    reset_connection,
    respond_with,
    run_scenario,
    running_gateway,
    wait_until,
    wait_until_reusable,
)

from wrenladder.policy.actions import Fail
from wrenladder.policy.events import CONNECTION_LOST, WorkerEntry, WorkerList
from wrenladder.proxy.address_ownership import AddressOwnership
from wrenladder.proxy.discovery_messages import WorkerListUpdate

ZONE_SCOPED_TOKEN = {"Effect": "token", "Group": "zone", "WindowUs": 4_000_000}
LONG_AGO_MS = 1_000_000_000_000


@pytest.mark.parametrize("old_start_ms", [0, LONG_AGO_MS])
def test_retry_does_not_reach_another_zone_through_a_reused_address(old_start_ms):
    """The old worker is still listed as up in zone a, but its address now belongs to a worker of zone b."""

    async def scenario():
        failing, replaced = StubWorker("failing"), StubWorker("old")
        async with running_gateway(failing, replaced, class_changes=ZONE_SCOPED_TOKEN) as (
            _,
            discovery,
            client,
        ):
            failing.script = reset_connection
            entries = [
                failing.list_entry(),
                replaced.list_entry(since_ms=old_start_ms),
                replaced.list_entry(name="new", zone="b", since_ms=LONG_AGO_MS + 1),
            ]
            discovery.publish(*entries[::-1] if old_start_ms else entries)
            await discovery.wait_until_polled()
            for n in range(30):
                await client.exchange("write", request_id=f"t{n}")
            ids_at_both = {r.request_id for r in failing.requests} & {r.request_id for r in replaced.requests}
            assert failing.requests and replaced.requests and not ids_at_both

    run_scenario(scenario())


def test_idle_connection_is_not_used_for_a_new_worker_at_its_address():
    async def scenario():
        worker = StubWorker("old")
        async with running_gateway(worker) as (_, discovery, client):
            assert (await client.exchange("write")).status == 200
            await wait_until_reusable()
            discovery.publish(worker.list_entry(name="new", since_ms=LONG_AGO_MS))
            await discovery.wait_until_polled()
            await wait_until(lambda: worker.closed_count)
            assert (await client.exchange("write")).status == 200
            assert worker.request_connections == [1, 2]

    run_scenario(scenario())


def test_late_removal_of_the_old_worker_keeps_the_new_one_at_its_address():
    async def scenario():
        worker = StubWorker("old")
        async with running_gateway(worker) as (_, discovery, client):
            for entry in (
                worker.list_entry(name="new", since_ms=LONG_AGO_MS),
                worker.list_entry(status="draining"),
                {"name": "old", "status": "removed"},
            ):
                discovery.publish(entry)
                await discovery.wait_until_polled()
                assert (await client.exchange("write")).status == 200

    run_scenario(scenario())


def test_worker_moves_back_to_an_address_that_was_reused():
    async def scenario():
        worker, other = StubWorker("w"), StubWorker("other")
        async with running_gateway(worker, other) as (_, discovery, client):
            other.script = respond_with(500)
            discovery.publish(
                other.list_entry(address=worker.list_entry()["address"], since_ms=LONG_AGO_MS),
                worker.list_entry(since_ms=LONG_AGO_MS + 1),
            )
            await discovery.wait_until_polled()
            for _ in range(10):
                assert (await client.exchange("write")).status == 200
            assert not other.requests

    run_scenario(scenario())


class AddressBook:
    """Applies updates to an AddressOwnership and keeps the workers that are usable."""

    def __init__(self) -> None:
        self.ownership, self.usable = AddressOwnership(), {}

    def apply(self, *entries: tuple, snapshot: bool = False) -> dict[str, str]:
        """Apply entries (name, port, start in ms, status); return the ports of the usable workers."""
        endpoints = [
            {"name": name, "address": f"h:{port}", "since_ms": since_ms, "status": status}
            for name, port, since_ms, status in entries
        ]
        update = WorkerListUpdate({"index": 1, "snapshot": snapshot, "endpoints": endpoints}, 0.0)
        resolved = self.ownership.resolve(update)
        if snapshot:
            self.usable = {}
        for endpoint in resolved:
            if endpoint.entry.state == "healthy":
                self.usable[endpoint.entry.name] = endpoint.address[1]
            else:
                self.usable.pop(endpoint.entry.name, None)
        return self.usable


def test_superseded_worker_stays_out_until_it_is_a_new_process():
    book = AddressBook()
    assert book.apply(("old", 1, 0, "up"), ("other", 2, 0, "up"), snapshot=True) == {"old": 1, "other": 2}
    assert book.apply(("new", 1, 10, "up")) == {"new": 1, "other": 2}
    for status in ("up", "draining", "up"):  # late news of the old process
        assert book.apply(("old", 1, 0, status)) == {"new": 1, "other": 2}
    assert book.apply(("old", 3, 0, "up")) == {"new": 1, "other": 2, "old": 3}
    assert book.apply(("old", 1, 20, "up")) == {"other": 2, "old": 1}
    assert book.apply(("old", 1, 20, "removed"), ("new", 1, 30, "up")) == {"other": 2, "new": 1}


def test_workers_that_exchange_their_addresses_both_stay_usable():
    book = AddressBook()
    book.apply(("a", 1, 0, "up"), ("b", 2, 0, "up"), snapshot=True)
    assert book.apply(("a", 2, 10, "up"), ("b", 1, 10, "up")) == {"a": 2, "b": 1}


@pytest.mark.parametrize("order", [1, -1])
def test_snapshot_with_two_workers_at_an_address_keeps_the_one_that_started_last(order):
    entries = [("old", 1, 5, "up"), ("new", 1, 10, "up")][::order]
    book = AddressBook()
    assert book.apply(*entries, snapshot=True) == {"new": 1}
    assert book.apply(("old", 1, 5, "up"), snapshot=True) == {"old": 1}


@pytest.mark.parametrize(("new_zone", "may_retry"), [("a", True), ("b", False)])
def test_request_in_flight_at_a_replaced_worker_is_retried_only_in_the_same_zone(new_zone, may_retry):
    driver = PolicyDriver()
    request_id, actions = driver.submit("keyed")
    (worker,) = workers_sent_to(actions)
    zone = driver.gateway.fleet.workers[worker].entry.zone
    new = WorkerEntry("new", zone=zone if new_zone == "a" else "elsewhere", predecessor=worker)
    driver.handle(WorkerList((WorkerEntry(worker, state="removed"), new)))
    actions = driver.finish_attempt(request_id, worker, CONNECTION_LOST)
    assert bool(workers_sent_to(actions)) is may_retry
    assert may_retry or actions == [Fail(request_id)]
