"""Range checks for numbers in settings and events."""

from __future__ import annotations

from collections.abc import Iterable


def check_at_least(owner: object, minimum: float, names: Iterable[str]) -> None:
    """Raise ValueError unless the named attributes of `owner` are finite numbers of at least `minimum`."""
    for name in names:
        value = getattr(owner, name)
        if not minimum <= value < float("inf"):
            raise ValueError(
                f"{type(owner).__name__}.{name} must be finite and at least {minimum:g}, not {value!r}"
            )
