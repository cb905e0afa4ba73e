"""Stand-ins and the gateway as a separate process, for the cases 6 to 10; standard library only.

All times are in seconds on the monotonic clock; a record counts them from its own beginning.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit status of a case
ORDER_FACTOR = 10  # how much longer than other requests a place-order takes at a worker

# The settings that the operators' wire page gives as its example of a deployment (tbilisi-works).
SETTINGS: dict[str, Any] = {
    "Caps": {
        "Cancel": True,
        "ConnectTimeoutUs": 250000,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 456529,
        "IdleCloseUs": 15000000,
        "MaxAttempts": 5,
        "MaxOpen": 22826,
        "MaxRetryAfterUs": 2000000,
        "MaxStreams": 32,
        "PeerMessages": False,
        "Probes": False,
        "RetryAfter": True,
        "SecondCopies": False,
    },
    "Classes": [
        {
            "DeadlineUs": 4000000,
            "Effect": "pure",
            "Group": "all",
            "Importance": 2.0,
            "LateWorth": 0.2,
            "Name": "quote",
            "SloUs": 1000000,
            "Streaming": False,
            "WindowUs": 5000000,
        },
        {
            "DeadlineUs": 8000000,
            "Effect": "token",
            "Group": "zone",
            "Importance": 3.0,
            "LateWorth": 0.0,
            "Name": "update-order",
            "SloUs": 2000000,
            "Streaming": False,
            "WindowUs": 15000000,
        },
        {
            "DeadlineUs": 10000000,
            "Effect": "side_effect",
            "Group": "all",
            "Importance": 5.0,
            "LateWorth": 0.0,
            "Name": "place-order",
            "SloUs": 4000000,
            "Streaming": False,
            "WindowUs": 5000000,
        },
    ],
    "Clients": {"MarksRetry": False},
    "Dcs": ["hall-a", "hall-b"],
    "Discovery": "pushed",
    "FamilyInfo": {
        "CountFee": 0.02,
        "CountLimitUs": 80000,
        "InboxPerS": 0.0,
        "MeterUs": 1000000,
        "PostPaid": False,
        "SharedCounter": True,
        "UnitsTop": 4,
    },
    "Goal": {"Whole": 0.55, "WorstClass": 0.0, "WorstTenant": 0.25, "WorstWindow": 0.2},
    "Index": 0,
    "Kinds": ["std-2", "slow-2"],
    "Layer": 0,
    "MyZone": "hall-a",
    "NInstances": 2,
    "Plans": [
        {
            "AtOnce": 0,
            "BeyondEarns": 0.3,
            "CapDepth": 33.0,
            "CapSlack": 4.0,
            "ExcessCost": 0.0,
            "HardRate": 3.1,
            "MostAtOnce": 16.0,
            "Name": "basic",
            "Price": 1.2,
            "Refill": 1.5,
        },
        {
            "AtOnce": 0,
            "BeyondEarns": 0.0,
            "CapDepth": 0.0,
            "CapSlack": 0.0,
            "ExcessCost": 1.0,
            "HardRate": 0.0,
            "MostAtOnce": 28.0,
            "Name": "studio",
            "Price": 1.8,
            "Refill": 11.0,
        },
    ],
    "Report": {"Fields": ["lat_ms", "busy"], "How": "answers"},
    "Rules": {
        "AskWithinUs": 10000000,
        "ColdFrom": 0.23,
        "DrainGraceUs": 1000000,
        "FallUs": 3000000,
        "GraceToAnswerUs": 8000,
        "OverloadFactor": 2.5,
        "RampTimeUs": 16000000,
    },
    "Tariffs": {"CrossZone": 0.02, "LateFail": 0.05, "Waste": 0.03},
    "TickUs": 2000,
    "Tiers": ["print-servers"],
    "WeightKind": "nominal",
    "Workload": "gate",
}


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time of each."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start = time.monotonic()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        """Seconds since the beginning of the record."""
        return time.monotonic() - self.start

    def write(self, text: str) -> None:
        """Write a line with the present time."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        self._file.flush()
        print(text)


class Message:
    """An HTTP message that has been read."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body
        self.request_id = headers.get("x-request-id", "")

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a known length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start_line, *lines = head[:-4].split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
        return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as when its process dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


class Ledger:
    """What the updates of the halls have applied; the job servers of one hall drop a repeat of a key."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.halls: dict[str, dict[str, float]] = {}

    def apply(self, worker: Worker, key: str) -> None:
        """Apply an update, unless a job server of the same hall has done so."""
        if key in self.halls.setdefault(worker.zone, {}):
            self.record.write(f"{worker.name} drops the repeat of {key}")
        else:
            self.halls[worker.zone][key] = self.record.now()
            self.record.write(f"{worker.name} in {worker.zone} applies {key}")

    def twice(self, since: float) -> list[str]:
        """The updates that were applied in two halls, the earlier time not before `since`."""
        first: dict[str, float] = {}
        found: set[str] = set()
        for keys in self.halls.values():
            for key, at in keys.items():
                if key in first:
                    found.add(key)
                first[key] = min(at, first.get(key, at))
        return sorted(key for key in found if first[key] >= since)


Handler = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A job server: serves each request after `service_time`, or as `handler` says."""

    def __init__(
        self,
        record: Record,
        name: str,
        zone: str = "hall-a",
        service_time: float = 0.02,
        handler: Handler | None = None,
    ) -> None:
        self.record, self.name, self.zone, self.service_time = record, name, zone, service_time
        self.handler = handler
        self.received: list[tuple[float, Message]] = []  # when the first byte of each request was read
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Worker:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def end(self) -> None:
        """End as a process does: connections are reset, and new ones refused."""
        self.record.write(f"{self.name} ends")
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            while True:
                first = await reader.read(1)
                at = self.record.now()
                if not first:
                    break
                message = await self._rest(first, reader)
                if message is None:
                    break
                self.received.append((at, message))
                self.record.write(f"{self.name} got {message.request_id}, first byte at {at:.3f}")
                if self.handler is not None:
                    await self.handler(self, message, writer)
                else:
                    await self.answer(message, writer)
        self.writers.discard(writer)
        writer.close()

    async def _rest(self, first: bytes, reader: asyncio.StreamReader) -> Message | None:
        head = asyncio.StreamReader()
        try:
            data = first + await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        head.feed_data(data)
        head.feed_eof()
        length = 0
        for line in data.decode("latin-1").lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.partition(":")[2])
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        start_line, *lines = data[:-4].decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
        return Message(start_line, headers, body)

    async def answer(self, message: Message, writer: asyncio.StreamWriter, extra: str = "") -> None:
        """Serve a request: 200 with a body made for it."""
        is_order = message.start_line.startswith("POST /place-order")
        await asyncio.sleep(ORDER_FACTOR * self.service_time if is_order else self.service_time)
        body = f"done {message.request_id} by {self.name}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body)
        self.record.write(f"{self.name} answered {message.request_id}")

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "std-2",
            "group": 0,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }


GRACE = 1.0 + 0.05  # seconds: DrainGraceUs, and the 50 ms by which time limits are longer on sockets
LOAD_INTERVAL = 0.05  # seconds between requests
MAX_TOLD = 20.0  # seconds after which a change that was never told ends a case
PIECES = 12  # of an answer that discovery writes in pieces


class Discovery:
    """Discovery, or its agent: the full list, and watches that wait for something newer.

    `delay` is how long an answer takes beyond its wait, in seconds; `no_length` leaves the length out of
    answers, which the close of the connection then ends; `piece_pause` writes each answer in `PIECES` pieces
    with this pause before each, in seconds.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.index = 41
        self.entries = {entry["name"]: entry for entry in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.port, self.delay, self.piece_pause = 0, 0.0, 0.0
        self.no_length = False
        self.told_at: dict[int, float] = {}  # by version: when it was first written to a gateway
        self.changed = asyncio.Event()
        self.answered_at: list[float] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.given_up = 0  # calls whose connection the gateway closed before the answer

    async def start(self) -> Discovery:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def end(self) -> None:
        """Take no new connection and close the open ones, as an old address does after a move."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    def publish(self, entry: dict[str, Any]) -> None:
        """Take a changed entry into the list and answer the watches."""
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        self.record.say(f"discovery has version {self.index}: {entry['name']} is {entry['status']}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            while (message := await read_message(reader)) is not None:
                answer = asyncio.create_task(self._answer(message, writer))
                gone = asyncio.create_task(reader.read(1))  # nothing is sent ahead: this ends at the close
                await asyncio.wait((answer, gone), return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    answer.cancel()
                    self.given_up += 1
                    self.record.write("discovery: a call was given up before its answer")
                    break
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
                if answer.result():
                    break
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one call; return whether the connection is to be closed."""
        path = message.start_line.split(" ")[1]
        self.record.write(f"discovery: call {path}")
        query = dict(part.partition("=")[::2] for part in path.partition("?")[2].split("&") if part)
        if "index" in query:
            known, end = int(query["index"]), self.record.now() + int(query.get("wait", "0")) / 1000
            while known >= self.index and (left := end - self.record.now()) > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
            snapshot = False
            entries = list({e["name"]: e for v, e in self.changes if v > known}.values())
        else:
            snapshot, entries = True, [e for e in self.entries.values() if e["status"] != "removed"]
        if self.delay:
            await asyncio.sleep(self.delay)
        index = self.index
        body = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode()
        framing = b"Connection: close" if self.no_length else b"Content-Length: %d" % len(body)
        answer = b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, body)
        if self.piece_pause:
            size = -(-len(answer) // PIECES)
            for start in range(0, len(answer), size):
                await asyncio.sleep(self.piece_pause)
                writer.write(answer[start : start + size])
        else:
            writer.write(answer)
        await writer.drain()
        self.told_at.setdefault(index, self.record.now())
        self.answered_at.append(self.record.now())
        self.record.write(
            f"discovery: answered with version {index}, {len(entries)} entries"
            + (", no length, ended by a close" if self.no_length else "")
        )
        return self.no_length


def configuration(
    discovery: Discovery,
    listen: str = "127.0.0.1:0",
    known: list[dict[str, Any]] | None = None,
    index: int = 0,
) -> dict[str, Any]:
    """Return the configuration of one gateway."""
    settings = copy.deepcopy(SETTINGS)
    settings["Index"] = index
    return {
        "name": f"n{index}",
        "listen": listen,
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": discovery.index, "snapshot": True, "endpoints": known or []},
        "settings": settings,
    }


class Gateway:
    """The gateway in a process of its own, started by the `run` of the deploy file."""

    def __init__(self, folder: str, config: dict[str, Any]) -> None:
        self.name = config["name"]
        self.config_path = Path(folder) / f"{self.name}.json"
        self.config_path.write_text(json.dumps(config), encoding="utf-8")
        self.log_path = Path(folder) / f"{self.name}.log"
        self.log_path.write_bytes(b"")
        self.process: subprocess.Popen[bytes] | None = None
        self.port = 0

    def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(self.log_path.parent),
        }
        self.log_path.write_bytes(b"")
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self, limit: float = 30.0) -> None:
        """Wait until it listens and answers a health check with 200."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            assert self.process is not None
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.log()}")
            _, found, rest = self.log().partition(" listens at 127.0.0.1:")
            if found and "\n" in rest:
                self.port = int(rest.split("\n")[0])
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and message.status == 200:
                    return
            await asyncio.sleep(0.01)
        raise RuntimeError(f"{self.name} was not ready: {self.log()}")

    def log(self) -> str:
        """What the process has logged."""
        return self.log_path.read_text(encoding="utf-8")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Clients:
    """Clients with kept connections to a gateway; each connection carries one request at a time."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.count = 0
        self.answers: dict[int, int] = {}

    async def ask(
        self,
        port: int,
        request_class: str = "quote",
        plan: str = "studio",
        customer: int = 1,
        units: int = 1,
        spread: int = 1,
        first: int = 0,
        timeout: float = 3.0,
    ) -> Message | None:
        """Send a request; return its answer, or None if the connection ended without one."""
        self.count += 1
        request_id = f"r{os.getpid()}x{self.count}"
        method = "GET" if request_class == "quote" else "POST"
        head = (
            f"{method} /{request_class}?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-ID: {request_id}\r\nX-Priority-Class: {request_class}\r\nX-Tariff: {plan}\r\n"
            f"X-Timeout: {timeout:.3f}\r\nX-Weight: units={units},spread={spread},first={first}\r\n"
            + (f"Idempotency-Key: {request_id}\r\n" if request_class == "update-order" else "")
            + ("Content-Length: 0\r\n" if method == "POST" else "")
            + "\r\n"
        )
        pool = self.idle.setdefault(port, [])
        for attempt in range(2):
            try:
                if attempt == 0 and pool:
                    reader, writer = pool.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                self.record.write(f"client sends {request_id} {request_class} {plan} {customer:x}")
                writer.write(head.encode())
                message = await read_message(reader)
            except OSError:
                message = None
            if message is not None:
                break
        self.record.write(f"client got {message.status if message else 'no answer'} for {request_id}")
        self.answers[message.status if message else 0] = (
            self.answers.get(message.status if message else 0, 0) + 1
        )
        if message is not None and message.headers.get("connection", "").lower() != "close":
            pool.append((reader, writer))
        return message


async def replace_worker(
    record: Record,
    temporary: str,
    config: dict[str, Any],
    discovery: Discovery,
    workers: list[Worker],
    begin_trouble: Callable[[Gateway], None],
    settle: tuple[float, float],
    told_by: Callable[[float], float | None],
) -> int:
    """Replace s-1 by s-3 of the other hall, at its address, and look where updates are applied.

    `begin_trouble` starts the disruption; `settle` is how long requests go on before and after it until s-1
    drains. `told_by` gives the time by which the gateway counts as told of a change that discovery got at a
    time, or None if it was never told.
    """
    ledger = Ledger(record)

    async def update(worker: Worker, message: Message, writer: asyncio.StreamWriter) -> None:
        if not message.start_line.startswith("POST /update-order"):
            await worker.answer(message, writer)
            return
        ledger.apply(worker, message.headers["idempotency-key"])
        if worker.name == "s-3":  # a failing job server: what it answers with 500 may have run, and has
            writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
            record.write(f"s-3 answered {message.request_id} with 500")
        else:
            await worker.answer(message, writer)

    for worker in workers:
        worker.handler = update
    first = workers[0]
    gateway = Gateway(temporary, config)
    gateway.start()
    clients = Clients(record)
    tasks: list[asyncio.Task[object]] = []

    async def load(seconds: float, request_class: str) -> None:
        end = record.now() + seconds
        while record.now() < end:
            ask = clients.ask(gateway.port, request_class, customer=len(tasks) % 40 + 1)
            tasks.append(asyncio.create_task(ask))
            await asyncio.sleep(LOAD_INTERVAL)

    async def wait_until_told(had: float) -> float | None:
        while (told := told_by(had)) is None or record.now() < told:
            if record.now() > had + MAX_TOLD:
                return None
            await load(0.1, "quote")
        return told

    try:
        await gateway.wait_until_ready()
        await load(settle[0], "quote")
        begin_trouble(gateway)
        await load(settle[1], "quote")
        before = len(first.received)
        discovery.publish(first.entry(status="draining"))
        drain_told = await wait_until_told(record.now())
        await load(GRACE + 2.0, "quote")
        late = [at for at, _ in first.received if drain_told is not None and at > drain_told + GRACE]
        record.say(f"s-1 got {before} requests before its drain, {len(late)} that it must not get")
        # The drain is long over: the process ends, and another one comes at its address, in the other hall.
        discovery.publish(first.entry(status="removed"))
        first.end()
        third = Worker(record, "s-3", "hall-b", handler=update)
        third.port = first.port
        await third.start()
        discovery.publish(third.entry(since_ms=int(time.time() * 1000)))
        told = await wait_until_told(record.now())
        await load(GRACE, "quote")
        since = record.now()
        await load(6.0, "update-order")
        await asyncio.wait(tasks)
        record.write("log of the gateway: " + gateway.log())
    finally:
        gateway.kill()
    twice = ledger.twice(since)
    applied = sum(map(len, ledger.halls.values()))
    record.say(f"answers: {clients.answers}; {applied} updates applied, {len(twice)} orders updated twice")
    if not before or not applied or drain_told is None or told is None:
        return NOT_RUN
    return BROKEN if twice else HELD


def run_case(case: Callable[[Record, str], Awaitable[int]], folder: Path, limit: float = 110.0) -> None:
    """Run a case with a record and a temporary folder, and exit with its status."""
    record = Record(folder)

    async def limited() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, temporary), limit)

    try:
        status = asyncio.run(limited())
    except (OSError, RuntimeError, TimeoutError) as error:
        record.say(f"the case could not run: {error!r}")
        status = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
