"""Tests of a fleet of real processes with faults."""
