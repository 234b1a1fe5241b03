"""Benchmarks of the routing decisions, the request path and the fleet."""
