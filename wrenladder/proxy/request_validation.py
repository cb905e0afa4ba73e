"""Validates clients' requests and turns them into events for the policy."""

from __future__ import annotations

import re

from wrenladder.policy.events import Request
from wrenladder.policy.settings import PURE, Settings
from wrenladder.proxy.bridge import Bridge
from wrenladder.proxy.incoming_request import IncomingRequest, RequestRejected

MAX_CACHED_WEIGHTS = 256  # parsed values of X-Weight
MAX_TIMEOUT = 86400.0  # seconds; a request with a longer X-Timeout is rejected
CUSTOMER_ID_LIMIT = 2**33  # all customer ids are smaller
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[A-Za-z0-9._~-]{1,128}")


class RequestValidator:
    """Checks requests against the settings; a request may take up to `max_request_units` units of quota."""

    def __init__(self, settings: Settings, max_request_units: float, bridge: Bridge) -> None:
        self._bridge = bridge
        self._max_request_units, self._gateway_count = max_request_units, settings.gateway_count
        self._request_classes = {c.name.encode(): c for c in settings.classes}
        self._plan_names = {p.name.encode() for p in settings.plans}
        self._weight_cache: dict[bytes, tuple[float, int]] = {}

    def parse(
        self, incoming: IncomingRequest, path: bytes, query: bytes, now: float
    ) -> tuple[Request, bytes, float]:
        """Return the policy's event, the head to forward and the deadline.

        Raises:
            RequestRejected: The request is invalid.
        """
        path_class = path[1:].partition(b"/")[0]
        headers = incoming.headers
        header_class = headers.get(b"x-priority-class")
        request_class = self._request_classes.get(path_class)
        if request_class is None:
            raise RequestRejected(404, "path")  # the path has to begin with a request class
        if header_class != path_class:
            raise RequestRejected(400, "X-Priority-Class")  # the header repeats the class in the path
        if incoming.method != (b"GET" if request_class.effect == PURE else b"POST"):
            raise RequestRejected(405, "method")
        if incoming.body and request_class.effect == PURE:
            raise RequestRejected(400, "body")
        if incoming.duplicate_header:
            raise RequestRejected(400, incoming.duplicate_header.decode("latin-1"))
        raw_id, timeout = headers.get(b"x-request-id", b""), headers.get(b"x-timeout", b"")
        if not REQUEST_ID_PATTERN.fullmatch(raw_id):
            raise RequestRejected(400, "X-Request-ID")
        if not DECIMAL_PATTERN.fullmatch(timeout) or float(timeout) > MAX_TIMEOUT:
            raise RequestRejected(400, "X-Timeout")
        plan = headers.get(b"x-tariff", b"")
        if plan not in self._plan_names:
            raise RequestRejected(400, "X-Tariff")
        customers = [part[9:] for part in query.split(b"&") if part.startswith(b"customer=")]
        if (
            len(customers) != 1
            or not CUSTOMER_PATTERN.fullmatch(customers[0])
            or int(customers[0], 16) >= CUSTOMER_ID_LIMIT
        ):
            raise RequestRejected(400, "customer")
        weight = headers.get(b"x-weight", b"")
        weight_values = self._weight_cache.get(weight)  # few different values occur
        if weight_values is None:
            weight_values = self._parse_weight(weight)
            if len(self._weight_cache) < MAX_CACHED_WEIGHTS:
                self._weight_cache[weight] = weight_values
        units, customer_gateway_count = weight_values
        deadline = incoming.received_at + min(float(timeout), request_class.deadline)
        request_id = raw_id.decode()
        if self._bridge.has_request(request_id):
            raise RequestRejected(400, "X-Request-ID is in use")
        event = Request(
            request_id=request_id,
            request_class=header_class.decode(),
            plan=plan.decode(),
            customer=customers[0].decode().lower(),
            time_left=max(0.0, deadline - now),
            units=units,
            customer_gateway_count=customer_gateway_count,
            is_retry=headers.get(b"x-retried") == b"1",
        )
        target = path + b"?" + query
        content_length = (
            b"Content-Length: %d\r\n" % len(incoming.body)
            if incoming.method == b"POST" or incoming.body
            else b""
        )
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            incoming.method,
            target,
            b"".join(incoming.forwarded_headers),
            content_length,
        )
        return event, head, deadline

    def _parse_weight(self, text: bytes) -> tuple[float, int]:
        """The units and the number of gateways (`spread`) from X-Weight; its `first` is only validated."""
        parts = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
        units, spread, first = (parts.get(key, b"") for key in (b"units", b"spread", b"first"))
        if not all(DECIMAL_PATTERN.fullmatch(part) for part in (units, spread, first)):
            raise RequestRejected(400, "X-Weight")
        if (
            b"." in spread + first
            or not 0 < float(units) <= self._max_request_units
            or not 1 <= int(spread) <= self._gateway_count
            or int(first) >= self._gateway_count
        ):
            raise RequestRejected(400, "X-Weight")
        return float(units), int(spread)
