"""The operators' command line and HTTP API."""
