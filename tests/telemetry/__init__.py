"""Tests of logs, spans, metrics and operators endpoints."""
