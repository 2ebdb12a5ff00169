"""Batch jobs kept whole in the store: accepted, run, listed, ended."""
