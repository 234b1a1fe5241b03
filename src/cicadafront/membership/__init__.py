"""Instances and targets that this instance knows of."""
