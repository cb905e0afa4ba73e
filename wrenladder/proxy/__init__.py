"""The gateway as a network service: connections, discovery and signals around `wrenladder.policy`."""
