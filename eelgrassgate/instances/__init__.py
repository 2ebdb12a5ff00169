"""Adapters towards the platform's instance list."""
