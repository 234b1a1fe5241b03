"""Membership: the instances and targets known to this instance."""
