"""Adapters for endpoints, in particular model engines."""
