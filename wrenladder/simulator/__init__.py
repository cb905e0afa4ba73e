"""The gateway in a simulator: an adapter between `wrenladder.policy` and the simulator's protocol."""
