"""Benchmarks of the system, whose results are lines of JSON."""
