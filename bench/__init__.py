"""Benchmarks and measurements of the decisions and of the request path."""
