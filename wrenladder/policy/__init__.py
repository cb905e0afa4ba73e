"""Policy of an admission gateway for a service sold by plan: every decision, without I/O or a clock."""

from wrenladder.policy.request_lifecycle import Gateway
from wrenladder.policy.settings import Plan, RequestClass, Settings

__all__ = ["Gateway", "Plan", "RequestClass", "Settings"]
