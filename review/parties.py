"""The parties around the gateways, as the operators' pages describe them, for the cases of the review.

Job servers, discovery, clients and the platform live in the process of the test. The gateways are processes
of their own, started by the `run` command of the deploy file. All addresses are loopback addresses with ports
that the system chooses. Times in the record are seconds from its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import select
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TURN_AWAY = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
SECOND_COPY_OF = 7  # answers, of which one is sent twice
MAX_SECOND_COPY_DELAY = 0.008  # seconds; a second copy that would come later is not sent
TIME_LIMIT = 110.0  # seconds; a case that takes longer could not run
# The settings that WIRE gives as its example, less keys that only the simulator uses.
SETTINGS: dict[str, Any] = {
    "Caps": {
        "Cancel": True,
        "ConnectTimeoutUs": 250000,
        "IdleCloseUs": 15000000,
        "MaxAttempts": 5,
        "MaxRetryAfterUs": 2000000,
        "RetryAfter": True,
        "SecondCopies": True,
    },
    "Classes": [
        {
            "DeadlineUs": deadline * 1_000_000,
            "Effect": effect,
            "Group": group,
            "Importance": worth,
            "LateWorth": 0.0,
            "Name": name,
            "SloUs": target * 1_000_000,
            "Streaming": False,
            "WindowUs": window * 1_000_000,
        }
        for name, effect, group, target, deadline, window, worth in (
            ("quote", "pure", "all", 1, 4, 5, 2.0),
            ("update-order", "token", "zone", 2, 8, 15, 3.0),
            ("place-order", "side_effect", "all", 4, 10, 5, 5.0),
        )
    ],
    "Dcs": ["hall-a", "hall-b"],
    "Discovery": "pushed",
    "FamilyInfo": {"MeterUs": 1000000, "UnitsTop": 4},
    "Index": 0,
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
    "Rules": {
        "AskWithinUs": 10000000,
        "ColdFrom": 0.23,
        "DrainGraceUs": 1000000,
        "FallUs": 3000000,
        "GraceToAnswerUs": 8000,
        "OverloadFactor": 2.5,
        "RampTimeUs": 16000000,
    },
    "TickUs": 2000,
}


class CouldNotRunError(Exception):
    """The case could not be set up as planned, so it says nothing about the program."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Add a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Message:
    """A parsed HTTP message with a body of known length."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body
        self.status = int(start_line.split(" ")[1]) if start_line.startswith("HTTP/") else 0
        self.request_id = headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a Content-Length or without a body; None if the connection ends before its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start_line, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class JobServer:
    """A job server that runs each request for `service_time` seconds and answers with its id.

    While `hung`, it reads requests and does nothing with them. Where `second_copy_after` is set, it sends one
    answer in `SECOND_COPY_OF` again after that many seconds, unless a further request has come on its
    connection by then. Where `turn_away_of` is set, it turns one request in so many away, as its queue is
    full. Its sockets are the system's plain ones, without TCP_NODELAY. `received` and `runs` hold the time
    and id of each request that came whole, and of each that began to run.
    """

    def __init__(self, record: Record, name: str, zone: str, service_time: float = 0.1) -> None:
        self.record, self.name, self.zone, self.service_time = record, name, zone, service_time
        self.hung = False
        self.second_copy_after = 0.0
        self.received: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.port = 0
        self._request_count = self._answer_count = 0
        self.turn_away_of = 0
        self._socket = socket.socket()

    async def start(self) -> JobServer:
        """Start to listen."""
        self._socket.bind((HOST, 0))
        self.port = self._socket.getsockname()[1]
        await asyncio.start_server(self._serve, sock=self._socket)
        return self

    def entry(self, status: str = "up") -> dict[str, Any]:
        """Its entry in the list of discovery."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": "std-2",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _send_second_copy(
        self, request: Message, answer: bytes, sock: socket.socket, writer: asyncio.StreamWriter
    ) -> None:
        """Send an answer a second time, unless something else waits on the connection."""
        answered_at = time.monotonic()
        await asyncio.sleep(self.second_copy_after)
        late = time.monotonic() - answered_at
        if sock.fileno() < 0 or late > MAX_SECOND_COPY_DELAY or select.select([sock.fileno()], [], [], 0)[0]:
            self.record.write(f"{self.name} sent no second copy for {request.request_id}")
            return
        writer.write(answer)
        self.record.write(
            f"{self.name} sent a second copy for {request.request_id}, {late * 1000:.1f} ms late"
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            while (request := await read_message(reader)) is not None:
                self.record.write(f"{self.name} got {request.request_id}{' and hangs' * self.hung}")
                self.received.append((self.record.now(), request.request_id))
                while self.hung:
                    await asyncio.sleep(0.05)
                self._request_count += 1
                if self.turn_away_of and self._request_count % self.turn_away_of == 0:
                    self.record.write(f"{self.name} turned {request.request_id} away")
                    writer.write(TURN_AWAY)
                    await writer.drain()
                    continue
                self.runs.append((self.record.now(), request.request_id))
                await asyncio.sleep(self.service_time)
                body = request.request_id.encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
                sock = writer.get_extra_info("socket")
                assert not sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                writer.write(answer)
                await writer.drain()
                self.record.write(f"{self.name} answered {request.request_id}")
                self._answer_count += 1
                if self.second_copy_after and self._answer_count % SECOND_COPY_OF == 0:
                    await self._send_second_copy(request, answer, sock, writer)
        writer.close()


class Discovery:
    """The agent of discovery: the whole list, and a watch that ends with the changes or at its wait's end."""

    def __init__(self, record: Record, name: str, entries: list[dict[str, Any]]) -> None:
        self.record, self.name = record, name
        self.port = self.calls = 0
        self._index = 1
        self._entries = {entry["name"]: entry for entry in entries}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> Discovery:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def tell(self, *entries: dict[str, Any]) -> None:
        """Publish changed entries."""
        async with self._changed:
            self._index += 1
            for entry in entries:
                self._changes.append((self._index, entry))
                if entry["status"] == "removed":
                    self._entries.pop(entry["name"], None)
                else:
                    self._entries[entry["name"]] = entry
                self.record.write(f"{self.name}: {entry['name']} is {entry['status']}")
            self._changed.notify_all()

    async def _answer(self, path: str) -> dict[str, Any]:
        _, _, query = path.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if "index" not in values:
            return {"index": self._index, "snapshot": True, "endpoints": list(self._entries.values())}
        known = int(values["index"])
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(values.get("wait", "0")) / 1000):
                    await self._changed.wait_for(lambda: self._index > known)
        latest = {entry["name"]: entry for index, entry in self._changes if index > known}
        return {"index": self._index, "snapshot": False, "endpoints": list(latest.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            while (request := await read_message(reader)) is not None:
                self.calls += 1
                body = json.dumps(await self._answer(request.start_line.split(" ")[1])).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()


def free_port() -> int:
    """A free port below those that the system gives to other sockets, so that it stays free."""
    while True:
        port = random.randrange(20000, 30000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((HOST, port))
            return port


class Gateway:
    """A gateway process, started by the `run` command of the deploy file."""

    def __init__(self, record: Record, index: int, discovery_port: int) -> None:
        self.record, self.name = record, f"n{index}"
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": f"{index + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": {**copy.deepcopy(SETTINGS), "Index": index},
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        """Write the configuration and start the process."""
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        log = (folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env={**os.environ, "PROXY_CONFIG": str(path)}, stderr=log
        )
        log.close()

    async def ready(self) -> bool:
        """Whether it answers `GET /healthz` with 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout: float = 20.0) -> None:
        """Wait until it is ready."""
        end = time.monotonic() + timeout
        while not await self.ready():
            if self.process is None or self.process.returncode is not None:
                raise CouldNotRunError(f"{self.name} has ended")
            if time.monotonic() > end:
                raise CouldNotRunError(f"{self.name} is not ready after {timeout} s")
            await asyncio.sleep(0.05)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f"{number.name} to {self.name}")
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, if it still runs, and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def request_bytes(request_class: str, request_id: str, customer: int, timeout: float) -> bytes:
    """A request of plan `studio` for one unit, in the form of the protocol page."""
    pure = request_class == "quote"
    body = b"" if pure else f"order {request_id}".encode()
    extra = "" if pure else f"Content-Length: {len(body)}\r\n"
    if request_class == "update-order":
        extra = f"Idempotency-Key: key-{request_id}\r\n{extra}"
    return (
        f"{'GET' if pure else 'POST'} /{request_class}?customer={customer:016x} HTTP/1.1\r\n"
        f"Host: origin.svc\r\nX-Request-ID: {request_id}\r\nX-Priority-Class: {request_class}\r\n"
        f"X-Tariff: studio\r\nX-Timeout: {timeout:.3f}\r\nX-Weight: units=1,spread=2,first=0\r\n{extra}\r\n"
    ).encode() + body


class Client:
    """A client connection to a gateway: one request at a time."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self.record, self.gateway = record, gateway
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.gateway.port)
        return self

    def send(self, data: bytes) -> None:
        """Send bytes."""
        assert self.writer is not None
        self.writer.write(data)

    async def receive(self, request_id: str) -> Message | None:
        """Return the answer, or None if the connection ends without a whole one."""
        assert self.reader is not None
        answer = await read_message(self.reader)
        result = f"status {answer.status} {answer.body[:40]!r}" if answer else "end of the connection"
        self.record.write(f"answer of {self.gateway.name} to {request_id}: {result}")
        return answer

    async def exchange(
        self, request_class: str, request_id: str, customer: int, timeout: float
    ) -> Message | None:
        """Send a request and return its answer."""
        self.record.write(f"to {self.gateway.name}: {request_class} {request_id}")
        self.send(request_bytes(request_class, request_id, customer, timeout))
        return await self.receive(request_id)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


Case = Callable[[Record, Path, list[Gateway]], Coroutine[Any, Any, list[str]]]


def main(case: Case) -> None:
    """Run a case and exit. It returns what broke the rule, and adds its gateways to the list it gets."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    gateways: list[Gateway] = []

    async def run(temporary: Path) -> int:
        this_task = asyncio.current_task()
        assert this_task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # ends the gateways too
            asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
        try:
            async with asyncio.timeout(TIME_LIMIT):
                faults = await case(record, temporary, gateways)
        except (Exception, asyncio.CancelledError) as error:  # whatever it is, it says nothing about the rule
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for gateway in gateways:
                await gateway.kill()
            for path in sorted(temporary.glob("*.log")):
                for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                    record.write(f"log of {path.stem}: {line}")
        for fault in faults:
            record.write(f"BROKEN: {fault}")
            print(f"BROKEN: {fault}")
        print("the rule was broken" if faults else "the rule held")
        return BROKEN if faults else HELD

    with tempfile.TemporaryDirectory() as name:
        status = asyncio.run(run(Path(name)))
    sys.exit(status)
