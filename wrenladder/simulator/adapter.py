"""Adapter between the simulator's line protocol on standard streams and the gateways of one process.

It turns lines into events and actions into lines, and decides nothing itself. The protocol calls a gateway an
instance, and gives it a number.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from wrenladder.policy.actions import Action, Cancel, Fail, Refuse, Send, SetTimer, Subscribe
from wrenladder.policy.events import (
    CANCELLED,
    CONNECTION_LOST,
    DRAINING,
    FAILURE,
    HEALTHY,
    NOT_SENT,
    OVERLOADED,
    REMOVED,
    SUCCESS,
    TIMED_OUT,
    UNREACHABLE,
    Abandoned,
    Event,
    Outcome,
    Request,
    StreamStarted,
    TimerFired,
    WorkerEntry,
    WorkerList,
)
from wrenladder.policy.request_lifecycle import Gateway
from wrenladder.settings_document import MICROSECONDS_PER_SECOND, read_settings

WORKER_STATES = {"healthy": HEALTHY, "cordoned": DRAINING, "deregistered": REMOVED}
OUTCOME_STATUSES = {
    "success": SUCCESS,
    "failure": FAILURE,
    "overloaded": OVERLOADED,
    "timed_out": TIMED_OUT,
    "unreachable": UNREACHABLE,
    "broken": CONNECTION_LOST,
    "withdrawn": CANCELLED,
    "void": NOT_SENT,
}
CLIENT_RETRY = 2  # bit of the `Options` of a SUBMIT


class ProtocolError(Exception):
    """Input that the protocol does not allow; the text says what is wrong."""


def parse_seconds(text: str) -> float:
    """Return the seconds in a field of whole microseconds; an absent one ("-") is 0."""
    return 0.0 if text == "-" else int(text) / MICROSECONDS_PER_SECOND


def to_microseconds(seconds: float) -> int:
    """Return a number of seconds as microseconds, rounded."""
    return round(seconds * MICROSECONDS_PER_SECOND)


def parse_worker_entry(line: str) -> WorkerEntry:
    """Parse an ENTRY line of a DIRECTORY.

    Raises:
        ProtocolError: It is another message, or the worker's state is unknown.
        ValueError: A field is missing or no number.
    """
    keyword, worker, zone, _kind, cell, state, capacity, start = line.split(" ")[:8]
    if keyword != "ENTRY":
        raise ProtocolError(f"expected an ENTRY, found {keyword!r}")
    if state not in WORKER_STATES:
        raise ProtocolError(f"unknown state {state!r}")
    started_at = parse_seconds(start)
    return WorkerEntry(
        name=worker,
        zone=zone,
        cell=int(cell),
        state=WORKER_STATES[state],
        relative_capacity=1.0 if capacity == "-" else float(capacity),
        started_at=started_at or None,
    )


def parse_request(fields: list[str]) -> Event:
    """Parse SUBMIT: OpId Class Tariff Account TimeLeftUs PriceUnits Spread Base Options."""
    options = 0 if fields[8] == "-" else int(fields[8])
    return Request(
        request_id=fields[0],
        request_class=fields[1],
        plan=fields[2],
        customer=fields[3],
        time_left=parse_seconds(fields[4]),
        units=1.0 if fields[5] == "-" else float(fields[5]),
        customer_gateway_count=1 if fields[6] == "-" else int(fields[6]),
        is_retry=bool(options & CLIENT_RETRY),
    )


def parse_outcome(fields: list[str]) -> Event:
    """Parse RESPONSE: OpId Shot FinalUnits Worker Terminal Status SpentUs Used Metrics.

    `Used` is 0 or absent without a meter reading, else one more than the percentage of the quota in use.
    """
    if fields[5] not in OUTCOME_STATUSES:
        raise ProtocolError(f"unknown status {fields[5]!r}")
    raw_usage = 0 if fields[7] == "-" else int(fields[7])
    return Outcome(
        request_id=fields[0],
        attempt_number=int(fields[1]),
        worker=fields[3],
        status=OUTCOME_STATUSES[fields[5]],
        request_ended=fields[4] == "1",
        duration=parse_seconds(fields[6]),
        metered_usage=(raw_usage - 1) / 100 if raw_usage else None,
        final_units=0.0 if fields[2] == "-" else float(fields[2]),
    )


# Messages for one instance: how many fields follow the instance's number, and the parser of these. The policy
# asks for no counts, samples or messages of other instances, so responses to such calls are ignored.
EVENT_PARSERS: dict[str, tuple[int, Callable[[list[str]], Event | None]]] = {
    "SUBMIT": (9, parse_request),
    "RESPONSE": (9, parse_outcome),
    "STARTED": (
        4,
        lambda fields: StreamStarted(fields[0], int(fields[3]), fields[2], parse_seconds(fields[1])),
    ),
    "WAKE": (1, lambda fields: TimerFired(int(fields[0]))),
    "ABANDONED": (1, lambda fields: Abandoned(fields[0])),
    "SUM": (4, lambda fields: None),
    "SAMPLED": (4, lambda fields: None),
    "MAIL": (2, lambda fields: None),
}


def format_action(instance: int, action: Action) -> str:
    """Return the line for an action of an instance, without a line end.

    The line of a `Send` leaves out `connect_within`.
    """
    match action:
        case Send(request_id, worker, timeout):
            return f"SUBMIT_TO {instance} {request_id} {worker} {to_microseconds(timeout)}"
        case Refuse(request_id, retry_after):
            return f"TURN_AWAY {instance} {request_id} {to_microseconds(retry_after)}"
        case Fail(request_id):
            return f"FINISH_ERROR {instance} {request_id}"
        case Cancel(request_id, attempt_number):
            return f"WITHDRAW {instance} {request_id} {attempt_number}"
        case SetTimer(delay, timer_id):
            return f"SET_TIMER {instance} {max(0, to_microseconds(delay))} {timer_id}"
        case Subscribe():
            return f"SUBSCRIBE {instance} 1"


class Adapter:
    """Reads batches of messages from `source`, runs the gateways and writes their actions to `sink`."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._lines = self._read_lines(source)
        self._sink = sink
        self._gateways: dict[int, Gateway] = {}
        self._directories: dict[int, tuple[WorkerEntry, ...]] = {}
        self._line_number = 0
        self._line = ""

    def _read_lines(self, source: TextIO) -> Iterator[str]:
        """Yield the lines of the input, and keep the current one and its number for error messages."""
        for line in source:
            self._line_number += 1
            self._line = line.rstrip("\n")
            yield self._line

    def _next_line(self) -> str:
        line = next(self._lines, None)
        if line is None:
            raise ProtocolError("input ended inside a batch")
        return line

    def run(self) -> int:
        """Process batches until the input ends, and return the exit status.

        Malformed input ends it with status 1 and one line on standard error.
        """
        try:
            for line in self._lines:
                if line:
                    self._handle_batch(line)
        except (ProtocolError, ValueError, KeyError, IndexError, TypeError, UnicodeError) as error:
            reason = f"missing setting {error}" if isinstance(error, KeyError) else str(error)
            print(
                f"wrenladder: line {self._line_number}: {reason}: {self._line[:120]!r}",
                file=sys.stderr,
            )
            return 1
        return 0

    def _handle_batch(self, line: str) -> None:
        """Process one batch, from its CLOCK line to FLUSH, and write the output, which ends with YIELD."""
        parts = line.split(" ")
        if parts[0] != "CLOCK" or len(parts) < 3:
            raise ProtocolError("expected CLOCK, a time and a batch number")
        now, batch = int(parts[1]) / MICROSECONDS_PER_SECOND, int(parts[2])
        output: list[str] = []
        while (line := self._next_line()) != "FLUSH":
            self._handle_message(now, line, output)
        output.append(f"YIELD {batch}\n")
        self._sink.write("\n".join(output))
        self._sink.flush()

    def _handle_message(self, now: float, line: str, output: list[str]) -> None:
        keyword, _, rest = line.partition(" ")
        fields = rest.split(" ")
        if keyword == "DIRECTORY":
            self._directories[int(fields[0])] = tuple(
                parse_worker_entry(self._next_line()) for _ in range(int(fields[1]))
            )
        elif keyword == "LAUNCH":
            instance, seed, facts = rest.split(" ", 2)
            self._gateways[int(instance)] = Gateway(read_settings(json.loads(facts)), int(seed), now)
        elif keyword == "DOWN":
            self._gateways.pop(int(fields[0]), None)
        elif keyword == "UPDATE":
            self._dispatch(now, int(fields[0]), self._parse_update(fields), output)
        elif keyword in EVENT_PARSERS:
            count, parse = EVENT_PARSERS[keyword]
            if len(fields) <= count:
                raise ProtocolError(f"{keyword} has too few values")
            event = parse(fields[1:])
            if event is not None:
                self._dispatch(now, int(fields[0]), event, output)
        else:
            raise ProtocolError(f"unknown message {keyword!r}")

    def _parse_update(self, fields: list[str]) -> Event:
        """Parse UPDATE, whose list of workers is a DIRECTORY that has come before."""
        scope = fields[1]
        if scope == "unavailable":
            return WorkerList(failed=True)
        if scope not in ("update", "replace", "restored"):
            raise ProtocolError(f"unknown scope {scope!r}")
        directory = int(fields[3])
        if directory not in self._directories:
            raise ProtocolError(f"unknown DIRECTORY {directory}")
        return WorkerList(self._directories[directory], is_snapshot=scope != "update")

    def _dispatch(self, now: float, instance: int, event: Event, output: list[str]) -> None:
        """Let an instance handle an event, and append the lines of its actions to the output."""
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise ProtocolError(f"no instance {instance}")
        try:
            actions = gateway.handle(now, event)
        except Exception as error:  # an error of the policy is reported in the protocol, not as a traceback
            text = " ".join(f"{type(error).__name__}: {error}".split())
            output.append(f"BAIL_OUT {instance} {text}")
            return
        output.extend(format_action(instance, action) for action in actions)


def main() -> int:
    """Run on standard input and output, and return the exit status."""
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
