"""Logs, spans, metrics and the operators' endpoints."""
