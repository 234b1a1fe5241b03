"""Operators' configuration: model, merge, storage and history."""
