"""Batch jobs stored in the key-value store, from submission to results."""
