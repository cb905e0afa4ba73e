"""Stub workers, a stub discovery service, an HTTP client and the gateway process under test, on 127.0.0.1.

The operating system assigns the ports. Tests wait for events; `SCENARIO_TIMEOUT` only ends a test that hangs.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from wrenladder.proxy.worker_pool import MIN_IDLE_TIME

SCENARIO_TIMEOUT = 20.0  # seconds
CONFIG_DIRECTORY = tempfile.TemporaryDirectory()  # removed when the test process exits
PIECE_COUNT = 12  # of a response that the stub discovery service sends in pieces
SETTINGS_DOCUMENT: dict[str, Any] = {
    "Caps": {
        "Cancel": True,
        "MaxAttempts": 3,
        "MaxRetryAfterUs": 500000,
        "RetryAfter": True,
        "SecondCopies": False,
        "ConnectTimeoutUs": 250000,
        "IdleCloseUs": 15000000,
    },
    "Classes": [
        {
            "DeadlineUs": 4000000,
            "Effect": effect,
            "Group": "all",
            "Name": name,
            "SloUs": 1000000,
            "Streaming": False,
            "WindowUs": 0,
            "LateWorth": 0,
        }
        for name, effect in (("read", "pure"), ("write", "side_effect"))
    ],
    "Discovery": "pushed",
    "FamilyInfo": {"MeterUs": 500000, "UnitsTop": 4},
    "NInstances": 3,
    "MyZone": "a",
    "Plans": [
        {
            "AtOnce": 0,
            "BeyondEarns": 0,
            "CapDepth": 0,
            "CapSlack": 0,
            "ExcessCost": 0,
            "HardRate": 0,
            "MostAtOnce": 0,
            "Name": "free",
            "Refill": 0,
        }
    ],
    "Rules": {
        "ColdFrom": 0.2,
        "RampTimeUs": 1000000,
        "OverloadFactor": 2,
        "FallUs": 1000000,
        "DrainGraceUs": 500000,
    },
    "TickUs": 4000,
}


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario in a new event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(scenario, SCENARIO_TIMEOUT))


async def wait_until_reusable() -> None:
    """Wait until connections to workers have been idle long enough to be used again."""
    await asyncio.sleep(2 * MIN_IDLE_TIME)


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll a condition until it is true."""
    while not condition():
        await asyncio.sleep(0.005)


class Message:
    """A parsed HTTP request or response."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body
        self.status = int(start_line.split(" ")[1]) if start_line.startswith("HTTP/") else 0
        self.request_id = headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read the next message, or return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start_line, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


ResponseScript = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def respond_with(
    status: int = 200, body: bytes = b"done", headers: str = "", raw_response: bytes | None = None
) -> ResponseScript:
    """Return a script that sends a response.

    With `raw_response`, these bytes are sent as they are and the connection is then closed.
    """

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if raw_response is not None:
            writer.write(raw_response)
            writer.close()
        else:
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
            writer.write(head.encode() + body)

    return script


def respond_when_released() -> tuple[asyncio.Event, ResponseScript]:
    """Return an event and a script that responds with the request's id once the event is set."""
    released = asyncio.Event()

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        await released.wait()
        await respond_with(body=request.request_id.encode())(request, writer)

    return released, script


async def never_respond(request: Message, writer: asyncio.StreamWriter) -> None:
    """Send no response."""


async def reset_connection(request: Message, writer: asyncio.StreamWriter) -> None:
    """Reset the connection in place of a response."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class StubWorker:
    """A worker that records its requests and handles each with its script."""

    def __init__(self, name: str, script: ResponseScript | None = None) -> None:
        self.name, self.script = name, script or respond_with()
        self.requests: list[Message] = []
        self.request_connections: list[int] = []  # number of the connection of each request
        self.connection_count = self.closed_count = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> StubWorker:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        connection_number = self.connection_count
        with contextlib.suppress(asyncio.CancelledError):  # at the end of the test
            while (message := await read_message(reader)) is not None:
                self.requests.append(message)
                self.request_connections.append(connection_number)
                await self.script(message, writer)
        self.closed_count += 1
        writer.close()

    def list_entry(self, **changes: Any) -> dict[str, Any]:
        """Return the worker's entry in the list of discovery, with `changes` applied."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }


def with_content_length(body: bytes) -> bytes:
    """Return a response with this body and its length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class StubDiscovery:
    """A discovery service that serves a worker list and answers long polls with its changes."""

    def __init__(self, entries: list[Any]) -> None:
        self.entries, self.index, self.port = entries, 1, 0
        self.polled_paths: list[str] = []
        self.unresponsive = False
        self.raw_response: bytes | None = None  # sent in place of the worker list
        self.format_response: Callable[[bytes], bytes] = with_content_length
        self.closes_after_response = False
        self.pause_between_pieces = 0.0  # seconds; a response then comes in `PIECE_COUNT` pieces
        self.polls_awaited = 0  # number of later polls that have to come before a poll is answered
        self._changed = asyncio.Event()
        self._delta: list[Any] = []
        self._connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> StubDiscovery:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        assert self._server is not None
        self._server.close()
        for _, writer in self._connections:
            writer.transport.abort()

    @property
    def open_connection_count(self) -> int:
        """The number of open connections."""
        return sum(
            not (reader.at_eof() or writer.transport.is_closing()) for reader, writer in self._connections
        )

    def publish(self, *entries: Any) -> None:
        """Publish a new version of the list that changes these entries."""
        self.index += 1
        self._delta = list(entries)
        self._changed.set()

    async def wait_until_polled(self) -> None:
        """Wait until a long poll asks for the changes since the latest version."""
        await wait_until(lambda: any(f"index={self.index}&" in path for path in self.polled_paths))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.append((reader, writer))
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await self._respond(reader, writer)
        writer.close()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            path = message.start_line.split(" ")[1]
            self.polled_paths.append(path)
            poll_number = len(self.polled_paths)
            if self.unresponsive:
                continue
            if "index=" in path:
                with contextlib.suppress(TimeoutError):
                    wait = int(path.rpartition("wait=")[2]) / 1000
                    await asyncio.wait_for(self._changed.wait(), wait)
                self._changed.clear()
                entries, self._delta = self._delta, []
            else:
                entries = self.entries
            body = json.dumps(
                {"index": self.index, "snapshot": "index=" not in path, "endpoints": entries, "novel": 1}
            ).encode()
            await wait_until(lambda: len(self.polled_paths) >= poll_number + self.polls_awaited)  # noqa: B023
            response = self.format_response(body) if self.raw_response is None else self.raw_response
            await self._write(response, writer)
            if self.closes_after_response:
                return

    async def _write(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        if not self.pause_between_pieces:
            writer.write(response)
            return
        piece_size = -(-len(response) // PIECE_COUNT)
        for start in range(0, len(response), piece_size):
            await asyncio.sleep(self.pause_between_pieces)
            writer.write(response[start : start + piece_size])


class HttpClient:
    """An HTTP client with one connection to the gateway."""

    request_count = 0  # of all clients, for unique request ids

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    def request_bytes(
        request_class: str = "read",
        timeout: str = "2.0",
        body: bytes = b"",
        customer: str = "00000000000000aa",
        plan: str = "free",
        weight: str = "units=1,spread=1,first=0",
        request_id: str = "",
        method: str = "",
        path: str = "",
        extra_headers: str = "",
        omitted_header: str = "",
    ) -> bytes:
        """Return the bytes of a request."""
        HttpClient.request_count += 1
        method = method or ("GET" if request_class == "read" else "POST")
        path = path or f"/{request_class}?customer={customer}"
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        lines = [
            f"X-Request-ID: {request_id or f'id{HttpClient.request_count}'}\r\n",
            f"X-Priority-Class: {request_class}\r\n",
            f"X-Tariff: {plan}\r\n",
            f"X-Timeout: {timeout}\r\n",
            f"X-Weight: {weight}\r\n",
        ]
        headers = "".join(line for line in lines if not omitted_header or not line.startswith(omitted_header))
        return (
            f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n{headers}{length}{extra_headers}\r\n".encode()
            + body
        )

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def receive(self) -> Message | None:
        """Return the next reply, or None at the end of the connection."""
        return await read_message(self.reader)

    async def exchange(self, *args: Any, **changes: Any) -> Message:
        """Send a request, described as for `request_bytes`, and return its reply."""
        self.send(self.request_bytes(*args, **changes))
        reply = await self.receive()
        assert reply is not None
        return reply

    async def health_status(self) -> int:
        """Return the HTTP status of /healthz."""
        self.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        reply = await self.receive()
        assert reply is not None
        return reply.status

    async def is_closed_by_gateway(self) -> bool:
        """Wait for the end of the connection and return whether nothing more was received before it."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:  # a reset, because the gateway did not read all that was sent
            return True


class GatewayProcess:
    """The gateway in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, config_path: Path) -> None:
        self.process, self.config_path, self.port = process, config_path, 0
        self.log: list[str] = []
        self._listening_event = asyncio.Event()
        self._log_reader = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode())
            if found := re.search(r"listens at 127\.0\.0\.1:(\d+)", self.log[-1]):
                self.port = int(found[1])
                self._listening_event.set()

    async def wait_until_listening(self) -> None:
        """Wait until the process has logged its port."""
        await self._listening_event.wait()

    async def reload_config(self, text: str, log_text: str) -> None:
        """Replace the configuration file, send SIGHUP and wait for a log line that contains `log_text`."""
        self.config_path.write_text(text)
        self.log.clear()
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_log(log_text)

    async def connect(self) -> HttpClient:
        """Open a client connection."""
        return HttpClient(*await asyncio.open_connection("127.0.0.1", self.port))

    async def health_status(self) -> int:
        """Return the HTTP status of /healthz."""
        client = await self.connect()
        status = await client.health_status()
        client.writer.close()
        return status

    async def suspend(self) -> None:
        """Stop the process (SIGSTOP); a signal takes effect some time after it was sent."""
        self.process.send_signal(signal.SIGSTOP)
        await wait_until(lambda: process_state(self) == "T")

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains `text`."""
        await wait_until(lambda: any(text in line for line in self.log))


def memory_status(gateway: GatewayProcess, field: str) -> int:
    """Return a memory field of /proc/PID/status in bytes: VmRSS is resident now, VmHWM at most so far."""
    with open(f"/proc/{gateway.process.pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(f"{field}:")) * 1024


def process_state(gateway: GatewayProcess) -> str:
    """Return the state of the gateway's process: S while it waits, T while stopped, "" once it is gone."""
    try:
        with open(f"/proc/{gateway.process.pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0].strip("Z")
    except FileNotFoundError:
        return ""


def gateway_config(
    discovery_port: int,
    known_entries: list[Any] | None = None,
    sockets: int = 256,
    memory_mb: int = 192,
    settings_changes: dict[str, dict[str, Any]] | None = None,
    class_changes: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return a gateway configuration.

    `settings_changes` update the objects of the settings document, `class_changes` each request class.
    """
    settings_document = copy.deepcopy(SETTINGS_DOCUMENT)
    for key, values in (settings_changes or {}).items():
        settings_document[key].update(values)
    for request_class in settings_document["Classes"]:
        request_class.update(class_changes or {})
    return {
        "name": "g1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "settings": settings_document,
        "known": {"index": 1, "snapshot": True, "endpoints": known_entries or []},
    }


async def start_gateway(configuration: object) -> GatewayProcess:
    """Start a gateway process and wait until it listens or has exited."""
    config_path = Path(tempfile.mkstemp(suffix=".json", dir=CONFIG_DIRECTORY.name)[1])
    config_path.write_text(configuration if isinstance(configuration, str) else json.dumps(configuration))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "wrenladder.proxy",
        env={**os.environ, "PROXY_CONFIG": str(config_path)},
        cwd=Path(__file__).parent.parent,
        stderr=asyncio.subprocess.PIPE,
    )
    gateway = GatewayProcess(process, config_path)
    # After either event the process no longer needs its configuration file.
    waiting = [asyncio.create_task(gateway.wait_until_listening()), asyncio.create_task(process.wait())]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    waiting[0].cancel()
    return gateway


@contextlib.asynccontextmanager
async def running_gateway(
    *workers: StubWorker, expect_exit: bool = False, **config_options: Any
) -> AsyncIterator[tuple[GatewayProcess, StubDiscovery, HttpClient]]:
    """Start the workers, a discovery service that lists them, a gateway that has their list, and a client.

    At the end, the gateway must have exited by itself exactly if `expect_exit` is set, and must have logged
    no traceback.
    """
    for worker in workers:
        await worker.start()
    discovery = await StubDiscovery([worker.list_entry() for worker in workers]).start()
    gateway = await start_gateway(gateway_config(discovery.port, **config_options))
    try:
        await discovery.wait_until_polled()
        yield gateway, discovery, await gateway.connect()
        assert (gateway.process.returncode is not None) is expect_exit, gateway.log
        assert not any("Traceback" in line for line in gateway.log), gateway.log
    finally:
        if gateway.process.returncode is None:
            gateway.process.kill()
        await gateway.process.wait()
