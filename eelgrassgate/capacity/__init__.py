"""Learned capacity of endpoints."""
