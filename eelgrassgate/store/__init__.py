"""Clients of the platform's key-value service."""
