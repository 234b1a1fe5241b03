"""System tests: a fleet of real processes under faults."""
