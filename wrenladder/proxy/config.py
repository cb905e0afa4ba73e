"""Configuration of the gateway process, from the JSON file that PROXY_CONFIG names and the environment."""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wrenladder.policy.settings import Settings
from wrenladder.proxy.memory_budget import MEBIBYTE
from wrenladder.settings_document import MICROSECONDS_PER_SECOND, read_settings

DEFAULT_DESCRIPTOR_LIMIT = 1024  # limit of file descriptors, unless configured
DEFAULT_MEMORY_LIMIT_MB = 192  # memory that the process may take, unless configured
MIN_DESCRIPTOR_LIMIT = 32  # lowest limit that can be configured


class ConfigError(Exception):
    """The configuration can't be used; the text begins with the key or variable that is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    """A validated configuration. Times are in seconds.

    Attributes:
        name: The gateway's name in log lines.
        listen: Host and port to listen on; port 0 lets the system choose.
        discovery: Host and port of the discovery service.
        seed: Seed of the random choices.
        descriptor_limit: Most file descriptors that the process may have open.
        memory_limit: Bytes of memory that the process may take.
        initial_worker_list: The worker list to start with, in the form of discovery's responses, if any.
        settings: Settings of the policy.
        drain_grace: How long an attempt at a worker that began to drain still opens a connection; nothing is
            sent over it while the worker drains.
        connect_timeout: How long a connection to a worker may take to be established.
        worker_idle_timeout: Idle timeout after which workers close a connection.
        max_request_units: Most units of quota that one request may take.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    descriptor_limit: int
    memory_limit: int
    initial_worker_list: dict[str, Any] | None
    settings: Settings
    drain_grace: float
    connect_timeout: float
    worker_idle_timeout: float
    max_request_units: float


def parse_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Return the host and port of `host:port`; an IPv6 address stands in brackets.

    Raises:
        ValueError: It is no text of that form, or the port is not from `min_port` to 65535.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not of the form host:port")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form host:port")
    return host.strip("[]"), int(port)


def load_config(environment: Mapping[str, str]) -> Config:
    """Read and validate the configuration file that PROXY_CONFIG names in `environment`.

    Raises:
        ConfigError: PROXY_CONFIG is not set, or the file can't be read or used.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"PROXY_CONFIG: cannot read {path}: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"PROXY_CONFIG: {path} must hold a JSON object")
    return parse_config(document, environment)


def parse_config(document: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Validate a configuration; `environment` gives the name and addresses that the document leaves out.

    Raises:
        ConfigError: A key is missing or its value can't be used.
    """
    settings_object = document.get("settings")
    if not isinstance(settings_object, dict):
        raise ConfigError("settings: missing or not a JSON object")
    try:
        settings = read_settings(settings_object)
        drain_grace = settings_object["Rules"]["DrainGraceUs"] / MICROSECONDS_PER_SECOND
        connect_timeout, worker_idle_timeout = (
            settings_object["Caps"][key] / MICROSECONDS_PER_SECOND
            for key in ("ConnectTimeoutUs", "IdleCloseUs")
        )
        max_request_units = float(settings_object["FamilyInfo"].get("UnitsTop", "inf"))
    except KeyError as error:
        raise ConfigError(f"settings: missing key {error}") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigError(f"settings: {error}") from error
    for key, seconds in (
        ("DrainGraceUs", drain_grace),
        ("ConnectTimeoutUs", connect_timeout),
        ("IdleCloseUs", worker_idle_timeout),
    ):
        if not 0 <= seconds < float("inf"):
            raise ConfigError(f"settings.{key}: must be finite and at least 0, not {seconds!r} seconds")
    initial_worker_list = document.get("known")
    if initial_worker_list is not None and not isinstance(initial_worker_list, dict):
        raise ConfigError("known: must be a JSON object or null")
    try:
        seed = int(str(document.get("seed", "0")), 16)
    except ValueError as error:
        raise ConfigError(f"seed: {document['seed']!r} is not a hexadecimal number") from error
    if "counter" in document:
        # Only validated: the policy asks for no counts, so the counter service is never called.
        _read_address(document, environment, "counter", "", 1)
    return Config(
        name=str(document.get("name") or environment.get("PROXY_NAME") or "wrenladder"),
        listen=_read_address(document, environment, "listen", "PROXY_LISTEN", 0),
        discovery=_read_address(document, environment, "discovery", "PROXY_DISCOVERY", 1),
        seed=seed,
        descriptor_limit=_read_descriptor_limit(document),
        memory_limit=_read_memory_limit(document),
        initial_worker_list=initial_worker_list,
        settings=settings,
        drain_grace=drain_grace,
        connect_timeout=connect_timeout,
        worker_idle_timeout=worker_idle_timeout,
        max_request_units=max_request_units,
    )


def _read_address(
    document: dict[str, Any], environment: Mapping[str, str], key: str, variable: str, min_port: int
) -> tuple[str, int]:
    """Return an address from a key of the document, or from the variable where the key is missing."""
    try:
        return parse_address(document.get(key, environment.get(variable)), min_port)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _read_descriptor_limit(document: dict[str, Any]) -> int:
    """Return the configured limit of file descriptors, or the system's soft limit if that is lower."""
    limits = document.get("limits", {})
    descriptor_limit = limits.get("sockets", DEFAULT_DESCRIPTOR_LIMIT) if isinstance(limits, dict) else None
    if (
        not isinstance(descriptor_limit, int)
        or isinstance(descriptor_limit, bool)
        or descriptor_limit < MIN_DESCRIPTOR_LIMIT
    ):
        raise ConfigError(
            f"limits.sockets: must be an integer of at least {MIN_DESCRIPTOR_LIMIT}, not {descriptor_limit!r}"
        )
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return descriptor_limit if soft_limit == resource.RLIM_INFINITY else min(descriptor_limit, soft_limit)


def _read_memory_limit(document: dict[str, Any]) -> int:
    """Return the configured limit of memory in bytes."""
    limits = document.get("limits", {})
    limit_mb = limits.get("memory_mb", DEFAULT_MEMORY_LIMIT_MB) if isinstance(limits, dict) else None
    if not isinstance(limit_mb, int | float) or isinstance(limit_mb, bool) or not 0 < limit_mb < math.inf:
        raise ConfigError(f"limits.memory_mb: must be a finite number above 0, not {limit_mb!r}")
    return int(limit_mb * MEBIBYTE)
