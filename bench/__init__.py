"""Benches; each prints its seed and a table."""
