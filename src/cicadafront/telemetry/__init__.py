"""Logging, tracing, metrics and the operators' HTTP endpoints."""
