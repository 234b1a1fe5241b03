"""Tests of logging, tracing, metrics and the operators' endpoints."""
