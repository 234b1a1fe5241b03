"""Measurements of the decision modules on a virtual clock."""
