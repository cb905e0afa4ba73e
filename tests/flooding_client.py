"""A client in a process of its own that sends requests at full speed: `flooding_client.py PORT COUNT KIND`.

It keeps COUNT connections, each with an endless stream of requests of KIND, discards the replies, and
connects again where the gateway closes. It prints a line once each connection has had a reply or was closed,
and runs until it is killed.
"""

import itertools
import selectors
import socket
import sys
from collections.abc import Callable, Iterator

BATCH_SIZE = 500  # requests that are made at once
SMALL_BATCH_SIZE = 50  # the same where a batch is sent only once the one before has been answered
READ_SIZE = 1 << 20  # bytes
REPLY_START = b"HTTP/1.1 "


def request(number: int, customer: int = 0xAA, timeout: str = "2.0", plan: str = "free") -> bytes:
    """Return a request with an id of its own."""
    return (
        f"GET /read?customer={customer:016x} HTTP/1.1\r\nHost: x\r\nX-Request-ID: f{number}\r\n"
        f"X-Priority-Class: read\r\nX-Tariff: {plan}\r\nX-Timeout: {timeout}\r\n"
        "X-Weight: units=1,spread=1,first=0\r\n\r\n"
    ).encode()


KINDS: dict[str, Callable[[int], bytes]] = {
    "health checks": lambda n: b"GET /healthz HTTP/1.1\r\n\r\n",
    "unknown paths": lambda n: b"GET /x%d HTTP/1.1\r\n\r\n" % n,
    "unknown plans": lambda n: request(n, plan=f"p{n}"),
    "empty lines": lambda n: b"\r\n",
    "expired requests": lambda n: request(n, timeout="0.001"),
    "expired requests of ever new customers": lambda n: request(n, customer=n, timeout="0.001"),
    "requests of ever new customers": lambda n: request(n, customer=n),
}
WAITING_KINDS = {  # of these, a batch is sent only once the one before has been answered
    "small batches of health checks": KINDS["health checks"],
    "small batches of ever new customers": KINDS["requests of ever new customers"],
}


class Connection:
    """One connection, its unsent bytes, and whether the gateway has answered or closed it."""

    def __init__(
        self, port: int, batches: Iterator[bytes], selector: selectors.BaseSelector, batch_size: int
    ) -> None:
        self.answered = False
        self._batch_size = batch_size  # of a batch whose replies it waits for; 0: it does not wait
        self._port, self._batches, self._selector = port, batches, selector
        self._connect()

    def _connect(self) -> None:
        self._socket = socket.create_connection(("127.0.0.1", self._port))
        self._socket.setblocking(False)
        self._unsent, self._unanswered_count, self._incomplete_start = b"", 0, b""
        self._selector.register(self._socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def serve(self, events: int) -> None:
        """Read and write as much as is possible at once."""
        try:
            if events & selectors.EVENT_READ:
                self._read()
            if events & selectors.EVENT_WRITE:
                self._write()
        except BlockingIOError:
            pass
        except ConnectionError:
            self.answered = True
            self._selector.unregister(self._socket)
            self._socket.close()
            self._connect()

    def _read(self) -> None:
        data = self._socket.recv(READ_SIZE)
        self.answered = True
        if not data:
            raise ConnectionResetError
        data = self._incomplete_start + data
        self._unanswered_count -= data.count(REPLY_START)
        self._incomplete_start = data[1 - len(REPLY_START) :]

    def _write(self) -> None:
        if not self._unsent and (self._unanswered_count <= 0 or not self._batch_size):
            self._unsent = next(self._batches)
            self._unanswered_count = self._batch_size
        if self._unsent:
            self._unsent = self._unsent[self._socket.send(self._unsent) :]


def main(port: int, count: int, kind: str) -> None:
    """Flood the gateway until the process is killed."""
    selector = selectors.DefaultSelector()
    numbers = itertools.count()
    waiting_batch_size = SMALL_BATCH_SIZE if kind in WAITING_KINDS else 0
    batch_size = waiting_batch_size or BATCH_SIZE
    make_request = (KINDS | WAITING_KINDS)[kind]
    batches = (b"".join(make_request(next(numbers)) for _ in range(batch_size)) for _ in itertools.count())
    connections = [Connection(port, batches, selector, waiting_batch_size) for _ in range(count)]
    announced = False
    while True:
        for key, events in selector.select():
            key.data.serve(events)
        if not announced and all(connection.answered for connection in connections):
            announced = True
            print("flooding", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
