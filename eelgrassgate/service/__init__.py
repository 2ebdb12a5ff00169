"""Adapters for plain services."""
