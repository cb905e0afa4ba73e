"""Parses and validates the responses of the discovery service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wrenladder.policy.events import DRAINING, HEALTHY, REMOVED, WorkerEntry
from wrenladder.proxy.config import parse_address


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the worker list: the part for the policy, and the address that the worker listens on."""

    entry: WorkerEntry
    address: tuple[str, int]


STATE_BY_STATUS = {"up": HEALTHY, "draining": DRAINING, "removed": REMOVED}


def parse_endpoint(raw: Any, clock_offset: float) -> Endpoint:
    """Parse an entry of the worker list; a ValueError names the field that is wrong.

    `clock_offset` is Unix time minus the event loop's time, in seconds.
    """
    if not isinstance(raw, dict):
        raise ValueError("entry is not an object")
    name, status = raw.get("name"), raw.get("status")
    if not isinstance(name, str) or not name:
        raise ValueError("name: missing, empty or not a string")
    if status not in STATE_BY_STATUS:
        raise ValueError(f"status: unknown value {status!r}")
    worker_address = ("", 0) if status == "removed" else parse_address(raw.get("address"))
    zone, cell = raw.get("zone", ""), raw.get("group", 0)
    if not isinstance(zone, str) or not isinstance(cell, int):
        raise ValueError("zone is not a string or group is not an integer")
    weight, since_ms = raw.get("weight", 1.0), raw.get("since_ms", 0) or 0
    for value in (weight, since_ms):
        if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e15:
            raise ValueError(f"weight or since_ms: not a number in [0, 1e15): {value!r}")
    entry = WorkerEntry(
        name=name,
        zone=zone,
        cell=cell,
        state=STATE_BY_STATUS[status],
        relative_capacity=float(weight),
        started_at=since_ms / 1000 - clock_offset if since_ms else None,
    )
    return Endpoint(entry, worker_address)


class WorkerListUpdate:
    """An update of the worker list, as discovery sends it: a snapshot (`is_snapshot`) or a delta.

    Malformed entries are left out; `skipped_error` says what is wrong with the last of them, if any.
    """

    __slots__ = ("index", "is_snapshot", "endpoints", "skipped_error")

    def __init__(self, raw: Any, clock_offset: float) -> None:
        if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
            raise ValueError("endpoints: missing or not a list")
        index = raw.get("index")
        if not isinstance(index, int) or isinstance(index, bool):
            raise ValueError(f"index: not an integer: {index!r}")
        self.index, self.is_snapshot = index, bool(raw.get("snapshot"))
        self.endpoints: list[Endpoint] = []
        self.skipped_error = ""
        for item in raw["endpoints"]:
            try:
                self.endpoints.append(parse_endpoint(item, clock_offset))
            except ValueError as error:
                self.skipped_error = str(error)
