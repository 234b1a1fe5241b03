"""Operators' configuration: model, merging, storage and history."""
