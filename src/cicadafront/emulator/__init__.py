"""Emulated platform services and targets, and the load generator."""
