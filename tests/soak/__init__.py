"""Randomized soak tests: real processes under injected faults."""
