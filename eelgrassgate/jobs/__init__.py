"""Batch jobs: input files, records, ownership, execution and results."""
