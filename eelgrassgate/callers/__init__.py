"""The public HTTP API."""
