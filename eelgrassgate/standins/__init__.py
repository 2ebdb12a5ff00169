"""Simulated external systems for tests, benchmarks and local runs."""
