"""Which worker owns an address: the one that started there last, even while an older one is still listed."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

from wrenladder.policy.events import HEALTHY, REMOVED, WorkerEntry
from wrenladder.proxy.discovery_messages import Endpoint, WorkerListUpdate

Address = tuple[str, int]


class AddressOwnership:
    """Resolves conflicts between listed workers that have the same address.

    A worker may start at the address of one that has gone before discovery reports the latter as removed.
    What is sent to that address reaches the new worker, so the old one counts as removed from then on, until
    it is listed with another address or start time, or a snapshot lists it without the new one.
    """

    def __init__(self) -> None:
        self._owners: dict[Address, Endpoint] = {}
        self._endpoints: dict[str, Endpoint] = {}  # by worker name; owners of their addresses
        self._superseded: dict[str, Endpoint] = {}  # by worker name; listed, but their addresses are taken

    def resolve(self, update: WorkerListUpdate) -> list[Endpoint]:
        """Return the endpoints of an update without those whose address belongs to a newer worker.

        A delta gets an entry for each worker that is superseded by it and so counts as removed. The entry of
        a worker that takes over an address names the one that had it.
        """
        previous_owners: dict[Address, Endpoint] = {}
        if update.is_snapshot:
            previous_owners, self._owners = self._owners, {}
            self._endpoints.clear()
            self._superseded.clear()
        resolved: dict[str, Endpoint] = {}
        for endpoint in update.endpoints:
            for changed in self._apply(endpoint):
                resolved[changed.entry.name] = changed
        if not update.is_snapshot:
            return list(resolved.values())
        return [
            _with_predecessor(endpoint, previous_owners.get(endpoint.address))
            for endpoint in resolved.values()
            if endpoint.entry.state != REMOVED
        ]

    def _apply(self, endpoint: Endpoint) -> Iterable[Endpoint]:
        """Apply one entry, and return the entries that result from it."""
        name = endpoint.entry.name
        if endpoint.entry.state == REMOVED:
            self._release(name)
            self._superseded.pop(name, None)
            return [endpoint]
        superseded = self._superseded.get(name)
        if superseded is not None and _is_same_process(superseded, endpoint):
            return [_removed(endpoint)]
        owner = self._owners.get(endpoint.address)
        if owner is None or owner.entry.name == name:
            self._acquire(endpoint)
            return [endpoint]
        if not _supersedes(endpoint, owner):
            self._release(name)
            self._superseded[name] = endpoint
            return [_removed(endpoint)]
        self._superseded[owner.entry.name] = owner
        self._release(owner.entry.name)
        self._acquire(endpoint)
        return [_removed(owner), _with_predecessor(endpoint, owner)]

    def _acquire(self, endpoint: Endpoint) -> None:
        self._release(endpoint.entry.name)
        self._superseded.pop(endpoint.entry.name, None)
        self._owners[endpoint.address] = self._endpoints[endpoint.entry.name] = endpoint

    def _release(self, name: str) -> None:
        endpoint = self._endpoints.pop(name, None)
        if endpoint is not None:
            del self._owners[endpoint.address]


def _started_at(endpoint: Endpoint) -> float:
    return -math.inf if endpoint.entry.started_at is None else endpoint.entry.started_at


def _is_same_process(one: Endpoint, other: Endpoint) -> bool:
    return one.address == other.address and one.entry.started_at == other.entry.started_at


def _supersedes(endpoint: Endpoint, owner: Endpoint) -> bool:
    """Whether a worker takes over an address; of two that started together, the one listed later does."""
    if _started_at(endpoint) != _started_at(owner):
        return _started_at(endpoint) > _started_at(owner)
    return endpoint.entry.state == HEALTHY


def _removed(endpoint: Endpoint) -> Endpoint:
    return Endpoint(WorkerEntry(endpoint.entry.name, state=REMOVED), endpoint.address)


def _with_predecessor(endpoint: Endpoint, owner: Endpoint | None) -> Endpoint:
    """The endpoint, naming the worker that had its address before if that is another one."""
    if owner is None or owner.entry.name == endpoint.entry.name:
        return endpoint
    return Endpoint(replace(endpoint.entry, predecessor=owner.entry.name), endpoint.address)
